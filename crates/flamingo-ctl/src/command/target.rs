//! `flamingoctl target`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query};

/// Lists the targets with their memory and the copies that are resident on them.
#[derive(Clone, Copy, Debug)]
pub struct Target;

impl Command for Target {
    fn name(&self) -> &'static str {
        "target"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List the targets with their memory and copies"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "target",
            description: "All targets",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let list = match client.query(&Query::Targets).await? {
                Answer::Targets(list) => list,
                other => return Err(unexpected_answer(&other)),
            };
            let headings = [
                "TARGET",
                "ZONE",
                "KIND",
                "STATE",
                "COMMITTED MIB",
                "OF",
                "COPIES",
            ];
            let mut table = Table::new(&headings);
            for item in &list {
                let state = if item.drained {
                    "drained".to_owned()
                } else {
                    item.availability.to_string()
                };
                let copies: Vec<_> = item
                    .resident
                    .iter()
                    .map(|copy| copy.model.as_str())
                    .collect();
                let copies = copies.join(", ");
                let cells: [&dyn ToString; 7] = [
                    &item.target,
                    &item.zone,
                    &item.kind,
                    &state,
                    &item.committed,
                    &item.memory,
                    &copies,
                ];
                table = table.row(&cells);
            }
            Ok(Output::table(&table, &list))
        })
    }
}

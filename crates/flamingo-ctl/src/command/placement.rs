//! `flamingoctl placement`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query};

/// Lists the copies of models and the targets that they are on.
#[derive(Clone, Copy, Debug)]
pub struct Placement;

impl Command for Placement {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List the copies of models and the targets that they are on"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "placement",
            description: "All copies",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let list = match client.query(&Query::Placement).await? {
                Answer::Placement(list) => list,
                other => return Err(unexpected_answer(&other)),
            };
            let mut table = Table::new(&["MODEL", "VERSION", "TARGET", "ZONE", "STATE"]);
            for copy in &list {
                let cells: [&dyn ToString; 5] = [
                    &copy.model,
                    &copy.version,
                    &copy.target,
                    &copy.zone,
                    &copy.state,
                ];
                table = table.row(&cells);
            }
            Ok(Output::table(&table, &list))
        })
    }
}

//! `flamingoctl config history`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lists the accepted configuration changes, newest first.
#[derive(Clone, Copy, Debug)]
pub struct History;

impl Command for History {
    fn name(&self) -> &'static str {
        "config history"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List the accepted changes, newest first"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "config history",
            description: "Versions with their authors and summaries",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let list = match client.query(&Query::History).await? {
                Answer::History(list) => list,
                other => return Err(unexpected_answer(&other)),
            };
            let mut table = Table::new(&["VERSION", "UNIX TIME", "AUTHOR", "CHANGE", "SUMMARY"]);
            for item in &list {
                let at = seconds(item.at);
                let cells: [&dyn ToString; 5] = [
                    &item.version,
                    &at,
                    &item.author,
                    &item.change,
                    &item.summary,
                ];
                table = table.row(&cells);
            }
            Ok(Output::table(&table, &list))
        })
    }
}

/// Returns the Unix time in seconds.
fn seconds(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

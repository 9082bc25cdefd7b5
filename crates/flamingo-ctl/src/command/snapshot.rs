//! `flamingoctl snapshot`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::Output;
use flamingo_wire::admin::{Answer, Query};

/// Makes the leader write a snapshot of the replicated state, which compacts the Raft log.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot;

impl Command for Snapshot {
    fn name(&self) -> &'static str {
        "snapshot"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "Write a snapshot of the log now"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "snapshot",
            description: "Compact the log",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            match client.query(&Query::Snapshot).await? {
                Answer::Snapshot(index) => {
                    let text = format!("a snapshot covers the log up to index {index}");
                    Ok(Output::text(text, &index))
                }
                other => Err(unexpected_answer(&other)),
            }
        })
    }
}

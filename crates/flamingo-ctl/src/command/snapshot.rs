//! `flamingoctl snapshot`.

use crate::client::Client;
use crate::command::{Command, Example, Run, unexpected};
use crate::output::Output;
use flamingo_wire::admin::{Answer, Query};

/// Write a snapshot of the log now
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

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            match client.query(&Query::Snapshot).await? {
                Answer::Snapshot(index) => {
                    let text = format!("a snapshot covers the log up to index {index}");
                    Ok(Output::text(text, &index))
                }
                other => Err(unexpected(&other)),
            }
        })
    }
}

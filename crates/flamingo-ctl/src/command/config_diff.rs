//! `flamingoctl config diff FILE`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example};
use crate::diff;
use crate::output::Output;
use flamingo_settings::set;
use std::path::Path;

/// Lists the differences between a set file and the set in force.
#[derive(Clone, Copy, Debug)]
pub struct Diff;

impl Command for Diff {
    fn name(&self) -> &'static str {
        "config diff"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["FILE"]
    }

    fn description(&self) -> &'static str {
        "List the differences between a set file and the set in force"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "config diff samples/local-set.ini",
            description: "The changes that applying this file would make",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let set = set::open(Path::new(&arguments[0]))?;
            let snapshot = client.config().await?;
            let lines = diff::lines(&snapshot.set, &set);
            if lines.is_empty() {
                let text = format!("no difference from version {}", snapshot.version);
                return Ok(Output::text(text, &lines));
            }
            Ok(Output::text(lines.join("\n"), &lines))
        })
    }
}

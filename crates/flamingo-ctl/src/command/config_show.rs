//! `flamingoctl config show`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example};
use crate::output::Output;
use flamingo_settings::set;

/// Prints the configuration set in force as INI, with its version in a comment.
#[derive(Clone, Copy, Debug)]
pub struct Show;

impl Command for Show {
    fn name(&self) -> &'static str {
        "config show"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "Print the set in force as INI"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "config show",
            description: "The set in force, in the format of a set file",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let snapshot = client.config().await?;
            let head = format!("; version {}\n\n", snapshot.version);
            let text = head + &set::format(&snapshot.set);
            Ok(Output::text(text, &snapshot))
        })
    }
}

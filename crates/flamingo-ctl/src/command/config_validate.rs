//! `flamingoctl config validate FILE`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example};
use crate::output::Output;
use flamingo_settings::set;
use std::path::Path;

/// Validates a set file locally, without contacting an instance.
#[derive(Clone, Copy, Debug)]
pub struct Validate;

impl Command for Validate {
    fn name(&self) -> &'static str {
        "config validate"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["FILE"]
    }

    fn description(&self) -> &'static str {
        "Validate a set file without contacting an instance"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "config validate samples/local-set.ini",
            description: "Report all problems of the file",
        }]
    }

    fn run<'a>(&'a self, _: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let set = set::open(Path::new(&arguments[0]))?;
            let workspaces = match set.workspaces.len() {
                0 => String::new(),
                count => format!(", {count} workspaces"),
            };
            let text = format!(
                "valid: {} profiles, {} models, {} services{workspaces}",
                set.profiles.len(),
                set.models.len(),
                set.services.len()
            );
            Ok(Output::text(text, &set))
        })
    }
}

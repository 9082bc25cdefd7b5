//! `flamingoctl config validate FILE`.

use crate::client::Client;
use crate::command::{Command, Example, Run};
use crate::output::Output;
use flamingo_settings::set;
use std::path::Path;

/// Check a set file without sending it
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
        "Check a set file without sending it"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "config validate samples/local-set.ini",
            description: "Every problem of the file at once",
        }]
    }

    fn run<'a>(&'a self, _: &'a Client, arguments: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            let set = set::open(Path::new(&arguments[0]))?;
            let text = format!(
                "valid: {} profiles, {} models, {} services",
                set.profiles.len(),
                set.models.len(),
                set.services.len()
            );
            Ok(Output::text(text, &set))
        })
    }
}

//! `flamingoctl undrain TARGET`.

use crate::client::Client;
use crate::command::{Command, Example, Run, drain};

/// End the drain of a target
#[derive(Clone, Copy, Debug)]
pub struct Undrain;

impl Command for Undrain {
    fn name(&self) -> &'static str {
        "undrain"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["TARGET"]
    }

    fn description(&self) -> &'static str {
        "End the drain of a target"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "undrain engine-7",
            description: "End the drain of a target",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> Run<'a> {
        Box::pin(drain::wish(client, &arguments[0], false))
    }
}

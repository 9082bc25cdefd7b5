//! `flamingoctl undrain TARGET`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, drain};

/// Ends the drain of a target, which then gets new work again.
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

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(drain::set_drain(client, &arguments[0], false))
    }
}

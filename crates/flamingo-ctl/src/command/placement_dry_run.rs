//! `flamingoctl placement dry-run FILE`.

use crate::client::Client;
use crate::command::moves;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::Output;
use flamingo_settings::set;
use flamingo_wire::admin::{Answer, Query};
use std::path::Path;

/// Lists the orders that an edited set would cause, without giving them.
#[derive(Clone, Copy, Debug)]
pub struct DryRun;

impl Command for DryRun {
    fn name(&self) -> &'static str {
        "placement dry-run"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["FILE"]
    }

    fn description(&self) -> &'static str {
        "List the orders that an edited set would cause, without giving them"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "placement dry-run samples/local-set.ini",
            description: "The orders that applying this file would cause",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let set = set::open(Path::new(&arguments[0]))?;
            match client.query(&Query::DryRun(Box::new(set))).await? {
                Answer::Moves(list) => Ok(Output::table(&moves::table(&list), &list)),
                other => Err(unexpected_answer(&other)),
            }
        })
    }
}

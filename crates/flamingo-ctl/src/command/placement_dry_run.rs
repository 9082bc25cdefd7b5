//! `flamingoctl placement dry-run FILE`.

use crate::client::Client;
use crate::command::moves;
use crate::command::{Command, Example, Run, unexpected};
use crate::output::Output;
use flamingo_settings::set;
use flamingo_wire::admin::{Answer, Query};
use std::path::Path;

/// List the moves that an edited set would cause, without doing them
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
        "List the moves that an edited set would cause, without doing them"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "placement dry-run samples/local-set.ini",
            description: "What applying this file would move",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            let set = set::open(Path::new(&arguments[0]))?;
            match client.query(&Query::DryRun(Box::new(set))).await? {
                Answer::Moves(list) => Ok(Output::table(&moves::table(&list), &list)),
                other => Err(unexpected(&other)),
            }
        })
    }
}

//! `flamingoctl config apply FILE`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, author, new_change_id};
use crate::output::Output;
use flamingo_settings::set;
use flamingo_wire::config::Change;
use std::path::Path;

/// Replaces the configuration set in force with the set of a file.
#[derive(Clone, Copy, Debug)]
pub struct Apply;

impl Command for Apply {
    fn name(&self) -> &'static str {
        "config apply"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["FILE"]
    }

    fn description(&self) -> &'static str {
        "Replace the set in force with the set of a file"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "config apply samples/local-set.ini",
            description: "Check the file, then apply it on top of the version in force",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let set = set::open(Path::new(&arguments[0]))?;
            let base = client.config().await?.version;
            let change = Change {
                id: new_change_id()?,
                base,
                author: author(),
                set,
            };
            let version = client.apply(&change).await?;
            Ok(Output::text(
                format!("accepted as version {version}"),
                &version,
            ))
        })
    }
}

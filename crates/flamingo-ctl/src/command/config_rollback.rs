//! `flamingoctl config rollback VERSION`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, author, new_change_id, unexpected_answer};
use crate::fault::Error;
use crate::output::Output;
use flamingo_wire::admin::{Answer, Query};
use flamingo_wire::config::Change;

/// Applies the set of an earlier version as a new version.
#[derive(Clone, Copy, Debug)]
pub struct Rollback;

impl Command for Rollback {
    fn name(&self) -> &'static str {
        "config rollback"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["VERSION"]
    }

    fn description(&self) -> &'static str {
        "Apply the set of an earlier version as a new version"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "config rollback 3",
            description: "Apply the set of version 3 again",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let version = arguments[0].parse().map_err(|_| {
                Error::Usage(format!(
                    "'{}' is not a version; see config history",
                    arguments[0]
                ))
            })?;
            let earlier = match client.query(&Query::Version(version)).await? {
                Answer::Version(snapshot) => *snapshot,
                other => return Err(unexpected_answer(&other)),
            };
            let base = client.config().await?.version;
            let change = Change {
                id: new_change_id()?,
                base,
                author: author(),
                set: earlier.set,
            };
            let version = client.apply(&change).await?;
            Ok(Output::text(
                format!("accepted as version {version}"),
                &version,
            ))
        })
    }
}

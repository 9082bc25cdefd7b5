//! `flamingoctl drain TARGET`.

use crate::client::Client;
use crate::command::{Command, Example, Run, author, change_id, unexpected};
use crate::fault::Error;
use crate::output::Output;
use flamingo_wire::admin::{self, Answer, Query};

/// Give a target no new work and move its models elsewhere
#[derive(Clone, Copy, Debug)]
pub struct Drain;

impl Command for Drain {
    fn name(&self) -> &'static str {
        "drain"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["TARGET"]
    }

    fn description(&self) -> &'static str {
        "Give a target no new work and move its models elsewhere"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "drain engine-7",
            description: "Give a target no new work and move its models elsewhere",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> Run<'a> {
        Box::pin(wish(client, &arguments[0], true))
    }
}

/// Asks that `target` be drained, or that its drain end.
///
/// # Errors
///
/// Returns an error where the instance can't be reached or refuses.
pub(super) async fn wish(client: &Client, target: &str, on: bool) -> Result<Output, Error> {
    let wish = admin::Drain {
        id: change_id()?,
        target: target.to_owned(),
        on,
        author: author(),
    };
    match client.query(&Query::Drain(wish)).await? {
        Answer::Drained(version) => {
            let text = format!("accepted as version {version}");
            Ok(Output::text(text, &version))
        }
        other => Err(unexpected(&other)),
    }
}

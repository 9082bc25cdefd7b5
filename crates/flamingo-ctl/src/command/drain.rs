//! `flamingoctl drain TARGET`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, author, new_change_id, unexpected_answer};
use crate::fault::Error;
use crate::output::Output;
use flamingo_wire::admin::{self, Answer, Query};

/// Starts the drain of a target: it gets no new work, and its models move to other targets.
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
        "Send a target no new work and move its models to other targets"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "drain engine-7",
            description: "Send a target no new work and move its models to other targets",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(set_drain(client, &arguments[0], true))
    }
}

/// Starts the drain of `target` if `on` is set, and ends it otherwise.
///
/// # Errors
///
/// Returns an error if no instance answers, or if the instance rejects the request.
pub(super) async fn set_drain(client: &Client, target: &str, on: bool) -> Result<Output, Error> {
    let request = admin::Drain {
        id: new_change_id()?,
        target: target.to_owned(),
        on,
        author: author(),
    };
    match client.query(&Query::Drain(request)).await? {
        Answer::Drained(version) => {
            let text = format!("accepted as version {version}");
            Ok(Output::text(text, &version))
        }
        other => Err(unexpected_answer(&other)),
    }
}

//! `flamingoctl undrain TARGET`.

use crate::client::Client;
use crate::command::{Command, Example, Run, author, change_id, unexpected};
use crate::output::Output;
use flamingo_wire::admin::{self, Answer, Query};

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
        Box::pin(async move {
            let wish = admin::Drain {
                id: change_id()?,
                target: arguments[0].clone(),
                on: false,
                author: author(),
            };
            match client.query(&Query::Drain(wish)).await? {
                Answer::Drained(version) => {
                    let text = format!("accepted as version {version}");
                    Ok(Output::text(text, &version))
                }
                other => Err(unexpected(&other)),
            }
        })
    }
}

//! `flamingoctl placement explain MODEL`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query};

/// Explains the placement of a model: its copies, and the candidate targets for the next copy.
#[derive(Clone, Copy, Debug)]
pub struct Explain;

impl Command for Explain {
    fn name(&self) -> &'static str {
        "placement explain"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["MODEL"]
    }

    fn description(&self) -> &'static str {
        "Explain why a model is placed where it is"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "placement explain care-notes",
            description: "Wanted copies, existing copies, and the candidates for the next copy",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let model = arguments[0].clone();
            let explanation = match client.query(&Query::Explain(model)).await? {
                Answer::Explain(explanation) => explanation,
                other => return Err(unexpected_answer(&other)),
            };
            let mut copies = Table::new(&["TARGET", "ZONE", "STATE"]);
            for copy in &explanation.copies {
                copies = copies.row(&[&copy.target, &copy.zone, &copy.state]);
            }
            let mut candidates = Table::new(&["CANDIDATE", "FREE MIB", "REASON"]);
            for candidate in &explanation.candidates {
                candidates =
                    candidates.row(&[&candidate.target, &candidate.free, &candidate.reason]);
            }
            let copies = Output::table(&copies, &()).render(false);
            let candidates = Output::table(&candidates, &()).render(false);
            let summary = format!(
                "{}: {} copies wanted, {}",
                explanation.model, explanation.wanted, explanation.reason
            );
            Ok(Output::text(
                format!("{summary}\n\n{copies}\n\n{candidates}"),
                &explanation,
            ))
        })
    }
}

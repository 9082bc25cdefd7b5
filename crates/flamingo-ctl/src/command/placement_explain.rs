//! `flamingoctl placement explain MODEL`.

use crate::client::Client;
use crate::command::{Command, Example, Run, unexpected};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query};

/// Say why a model sits where it does
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
        "Say why a model sits where it does"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "placement explain care-notes",
            description: "Copies wanted, copies held, and the targets weighed for the next",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            let model = arguments[0].clone();
            let why = match client.query(&Query::Explain(model)).await? {
                Answer::Explain(why) => why,
                other => return Err(unexpected(&other)),
            };
            let mut held = Table::new(&["TARGET", "ZONE", "STATE"]);
            for copy in &why.copies {
                held = held.row(&[&copy.target, &copy.zone, &copy.state]);
            }
            let mut weighed = Table::new(&["CANDIDATE", "FREE MIB", "REASON"]);
            for candidate in &why.candidates {
                weighed = weighed.row(&[&candidate.target, &candidate.free, &candidate.reason]);
            }
            let held = Output::table(&held, &()).print(false);
            let weighed = Output::table(&weighed, &()).print(false);
            let summary = format!(
                "{}: {} copies wanted, {}",
                why.model, why.wanted, why.reason
            );
            Ok(Output::text(
                format!("{summary}\n\n{held}\n\n{weighed}"),
                &why,
            ))
        })
    }
}

//! `flamingoctl placement`.

use crate::client::Client;
use crate::command::{Command, Example, Run, unexpected};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query};

/// List which copies sit on which targets
#[derive(Clone, Copy, Debug)]
pub struct Placement;

impl Command for Placement {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List which copies sit on which targets"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "placement",
            description: "All copies",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            let list = match client.query(&Query::Placement).await? {
                Answer::Placement(list) => list,
                other => return Err(unexpected(&other)),
            };
            let mut table = Table::new(&["MODEL", "VERSION", "TARGET", "ZONE", "STATE"]);
            for copy in &list {
                let cells: [&dyn ToString; 5] = [
                    &copy.model,
                    &copy.version,
                    &copy.target,
                    &copy.zone,
                    &copy.state,
                ];
                table = table.row(&cells);
            }
            Ok(Output::table(&table, &list))
        })
    }
}

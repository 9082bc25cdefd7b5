//! `flamingoctl model`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example};
use crate::output::{Output, Table};

/// Lists the models of the set in force.
#[derive(Clone, Copy, Debug)]
pub struct Model;

impl Command for Model {
    fn name(&self) -> &'static str {
        "model"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List the models of the set in force"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "model",
            description: "All models",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let list = client.config().await?.set.models;
            let mut table = Table::new(&[
                "MODEL",
                "VERSION",
                "MIB",
                "COPIES",
                "IMPORTANCE",
                "ADAPTERS",
            ]);
            for item in &list {
                let adapters = item.adapters.len();
                let memory = item.footprint();
                let cells: [&dyn ToString; 6] = [
                    &item.name,
                    &item.version,
                    &memory,
                    &item.copies,
                    &item.importance,
                    &adapters,
                ];
                table = table.row(&cells);
            }
            Ok(Output::table(&table, &list))
        })
    }
}

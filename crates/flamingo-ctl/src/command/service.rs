//! `flamingoctl service`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example};
use crate::output::{Output, Table};

/// Lists the plain services of the set in force.
#[derive(Clone, Copy, Debug)]
pub struct Service;

impl Command for Service {
    fn name(&self) -> &'static str {
        "service"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List the services of the set in force"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "service",
            description: "All services",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let list = client.config().await?.set.services;
            let mut table = Table::new(&["SERVICE", "CONCURRENCY", "PATIENCE", "IDEMPOTENT"]);
            for item in &list {
                let max_wait = format!("{} ms", item.max_wait.as_millis());
                let paths = item.idempotent.join(", ");
                let cells: [&dyn ToString; 4] = [&item.name, &item.concurrency, &max_wait, &paths];
                table = table.row(&cells);
            }
            Ok(Output::table(&table, &list))
        })
    }
}

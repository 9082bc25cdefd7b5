//! `flamingoctl profile`.

use crate::client::Client;
use crate::command::{Command, Example, Run};
use crate::output::{Output, Table};

/// List the profiles in force
#[derive(Clone, Copy, Debug)]
pub struct Profile;

impl Command for Profile {
    fn name(&self) -> &'static str {
        "profile"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List the profiles in force"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "profile",
            description: "All profiles",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            let list = client.config().await?.set.profiles;
            let mut table = Table::new(&[
                "PROFILE",
                "RANK",
                "FIRST TOKEN",
                "BETWEEN TOKENS",
                "PATIENCE",
                "LATE",
            ]);
            for item in &list {
                let first = format!("{} ms", item.first_token.as_millis());
                let between = format!("{} ms", item.between_tokens.as_millis());
                let patience = format!("{} ms", item.max_wait.as_millis());
                let cells: [&dyn ToString; 6] = [
                    &item.name,
                    &item.rank,
                    &first,
                    &between,
                    &patience,
                    &item.late_policy,
                ];
                table = table.row(&cells);
            }
            Ok(Output::table(&table, &list))
        })
    }
}

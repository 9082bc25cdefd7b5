//! `flamingoctl profile`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example};
use crate::output::{Output, Table};

/// Lists the profiles of the set in force.
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
        "List the profiles of the set in force"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "profile",
            description: "All profiles",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
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
                let first_token = format!("{} ms", item.first_token.as_millis());
                let between_tokens = format!("{} ms", item.between_tokens.as_millis());
                let max_wait = format!("{} ms", item.max_wait.as_millis());
                let cells: [&dyn ToString; 6] = [
                    &item.name,
                    &item.rank,
                    &first_token,
                    &between_tokens,
                    &max_wait,
                    &item.late_policy,
                ];
                table = table.row(&cells);
            }
            Ok(Output::table(&table, &list))
        })
    }
}

//! `flamingoctl status`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query};

/// Shows the members of the control group, and the configuration version of each entry.
#[derive(Clone, Copy, Debug)]
pub struct Status;

impl Command for Status {
    fn name(&self) -> &'static str {
        "status"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "Show the control instances and the configuration version of each entry"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "status",
            description: "The leader, and the version in force on each entry",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let status = match client.query(&Query::Status).await? {
                Answer::Status(status) => status,
                other => return Err(unexpected_answer(&other)),
            };
            let leader = status.leader.as_deref().unwrap_or("none known");
            let mut table = Table::new(&["INSTANCE", "ROLE", "ZONE", "STATE", "VERSION"]);
            for member in &status.members {
                let role = if member.votes { "control" } else { "learner" };
                let leads = status.leader.as_ref() == Some(&member.node);
                let state = if leads { "leads" } else { "follows" };
                let matched = format!("index {}", member.matched);
                table = table.row(&[&member.node, &role, &"-", &state, &matched]);
            }
            for follower in &status.followers {
                let liveness = &follower.liveness;
                let cells: [&dyn ToString; 5] = [
                    &follower.node,
                    &"entry",
                    &follower.zone,
                    liveness,
                    &follower.version,
                ];
                table = table.row(&cells);
            }
            let head = format!(
                "leader {leader}, term {}, committed {}, version {}",
                status.term, status.committed, status.version
            );
            let text = format!("{head}\n\n{}", Output::table(&table, &()).render(false));
            Ok(Output::text(text, &status))
        })
    }
}

//! `flamingoctl status`.

use crate::client::Client;
use crate::command::{Command, Example, Run, unexpected};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query};

/// Show the control instances and which version each entry has in force
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
        "Show the control instances and which version each entry has in force"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "status",
            description: "Who leads, and what is in force where",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            let status = match client.query(&Query::Status).await? {
                Answer::Status(status) => status,
                other => return Err(unexpected(&other)),
            };
            let leader = status.leader.as_deref().unwrap_or("none known");
            let mut table = Table::new(&["INSTANCE", "ROLE", "ZONE", "STATE", "VERSION"]);
            for member in &status.members {
                let role = if member.votes { "control" } else { "learner" };
                let leads = status.leader.as_ref() == Some(&member.node);
                let state = if leads { "leads" } else { "follows" };
                let at = format!("index {}", member.matched);
                table = table.row(&[&member.node, &role, &"-", &state, &at]);
            }
            for follower in &status.followers {
                let belief = &follower.liveness;
                let cells: [&dyn ToString; 5] = [
                    &follower.node,
                    &"entry",
                    &follower.zone,
                    belief,
                    &follower.version,
                ];
                table = table.row(&cells);
            }
            let head = format!(
                "leader {leader}, term {}, committed {}, version {}",
                status.term, status.committed, status.version
            );
            let text = format!("{head}\n\n{}", Output::table(&table, &()).print(false));
            Ok(Output::text(text, &status))
        })
    }
}

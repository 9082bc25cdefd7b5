//! `flamingoctl workspaces`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Query, Workspace, Workspaces as Answered};
use flamingo_wire::workspace::Unit;

/// Lists the workspaces with their limits and what they use of them.
#[derive(Clone, Copy, Debug)]
pub struct Workspaces;

impl Command for Workspaces {
    fn name(&self) -> &'static str {
        "workspaces"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List the workspaces, their limits and what they use of them"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "workspaces",
            description: "Who is over its limit, and by which version of the configuration",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            match client.query(&Query::Workspaces).await? {
                Answer::Workspaces(answer) => Ok(Output::text(render(&answer), &answer)),
                other => Err(unexpected_answer(&other)),
            }
        })
    }
}

fn render(answer: &Answered) -> String {
    let headings = [
        "WORKSPACE",
        "RANK",
        "UNIT",
        "LIMIT/S",
        "BURST",
        "USED",
        "OF LIMIT",
        "OVER",
    ];
    let mut table = Table::new(&headings);
    for workspace in &answer.workspaces {
        let cells = cells(workspace);
        let cells = cells.each_ref().map(|cell| cell as &dyn ToString);
        table = table.row(&cells);
    }
    format!(
        "version {}, use over the last {:.1} s\n\n{}",
        answer.version,
        std::time::Duration::from_millis(answer.window_ms).as_secs_f64(),
        Output::table(&table, &()).render(false)
    )
}

/// Returns the cells of a row. A workspace without a limit has none for its use, which nobody counts.
fn cells(workspace: &Workspace) -> [String; 8] {
    let none = || "-".to_owned();
    let name = workspace.workspace.clone();
    let rank = workspace
        .rank
        .map_or_else(|| "route".to_owned(), |rank| rank.to_string());
    let Some(per_s) = workspace.per_s else {
        return [name, rank, none(), none(), none(), none(), none(), none()];
    };
    let unit = match workspace.unit {
        Unit::Requests => "requests",
        Unit::Tokens => "tokens",
    };
    let over = if workspace.over { "over" } else { "" };
    [
        name,
        rank,
        unit.to_owned(),
        per_s.to_string(),
        workspace.burst.to_string(),
        format!("{:.0}", workspace.used),
        format!("{:.0}%", workspace.fraction * 100.0),
        over.to_owned(),
    ]
}

//! `flamingoctl moves`.

use crate::client::Client;
use crate::command::{Command, Example, Run, unexpected};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Move, Query};
use flamingo_wire::place::Action;

/// List the orders given lately, newest first, with their reasons
#[derive(Clone, Copy, Debug)]
pub struct Moves;

impl Command for Moves {
    fn name(&self) -> &'static str {
        "moves"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &[]
    }

    fn description(&self) -> &'static str {
        "List the orders given lately, newest first, with their reasons"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "moves",
            description: "The history of moves",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            match client.query(&Query::Moves).await? {
                Answer::Moves(list) => Ok(Output::table(&table(&list), &list)),
                other => Err(unexpected(&other)),
            }
        })
    }
}

/// Builds the table of a list of moves.
pub(super) fn table(list: &[Move]) -> Table {
    let headings = [
        "ORDER", "TARGET", "ACTION", "MODEL", "MIB", "OUTCOME", "REASON",
    ];
    let mut table = Table::new(&headings);
    for item in list {
        let order = &item.order;
        let (Action::Load(copy) | Action::Unload(copy)) = &order.action;
        let model = format!("{} v{}", copy.model, copy.version);
        let outcome = item
            .outcome
            .map_or_else(|| "under way".to_owned(), |outcome| outcome.to_string());
        let cells: [&dyn ToString; 7] = [
            &order.id,
            &order.target,
            &order.action,
            &model,
            &order.memory,
            &outcome,
            &order.reason,
        ];
        table = table.row(&cells);
    }
    table
}

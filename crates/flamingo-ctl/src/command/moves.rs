//! `flamingoctl moves`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example, unexpected_answer};
use crate::output::{Output, Table};
use flamingo_wire::admin::{Answer, Move, Query};
use flamingo_wire::place::Action;

/// Lists the recent load and unload orders with their outcomes and reasons.
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
        "List recent load and unload orders, newest first, with their reasons"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "moves",
            description: "Recent orders and their outcomes",
        }]
    }

    fn run<'a>(&'a self, client: &'a Client, _: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            match client.query(&Query::Moves).await? {
                Answer::Moves(list) => Ok(Output::table(&table(&list), &list)),
                other => Err(unexpected_answer(&other)),
            }
        })
    }
}

/// Builds a table with one row for each order. An order without an outcome is in progress.
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
            .map_or_else(|| "in progress".to_owned(), |outcome| outcome.to_string());
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

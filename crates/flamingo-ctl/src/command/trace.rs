//! `flamingoctl trace REQUEST FILE...`.

use crate::client::Client;
use crate::command::{Command, CommandFuture, Example};
use crate::fault::Error;
use crate::output::{Output, Table};
use crate::trace::Trace as RequestTrace;
use std::fmt::Write;

/// Shows the log lines of one request, and marks the line that explains its failure.
#[derive(Clone, Copy, Debug)]
pub struct Trace;

impl Command for Trace {
    fn name(&self) -> &'static str {
        "trace"
    }

    fn arguments(&self) -> &'static [&'static str] {
        &["REQUEST", "FILE..."]
    }

    fn description(&self) -> &'static str {
        "Show the log lines of one request from the logs of several processes"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "trace 669591b559a31b00 samples/logs/entry-2.jsonl samples/logs/entry-3.jsonl",
            description: "The lines in order of time, with a mark at the line that explains the failure",
        }]
    }

    fn run<'a>(&'a self, _: &'a Client, arguments: &'a [String]) -> CommandFuture<'a> {
        Box::pin(async move {
            let (request, files) = (&arguments[0], &arguments[1..]);
            let mut trace = RequestTrace::default();
            for file in files {
                let bytes = std::fs::read(file)
                    .map_err(|error| Error::Usage(format!("{file}: {error}")))?;
                trace.add_file(request, file, &String::from_utf8_lossy(&bytes));
            }
            trace.finish();
            Ok(Output::text(render(request, &trace), &trace))
        })
    }
}

fn render(request: &str, trace: &RequestTrace) -> String {
    let mut table = Table::new(&["", "at", "process", "what", ""]);
    for (index, line) in trace.lines.iter().enumerate() {
        let mark = if trace.deciding == Some(index) {
            ">"
        } else {
            ""
        };
        table = table.row(&[&mark, &line.at, &line.node, &line.message, &line.fields]);
    }
    let mut text = if trace.lines.is_empty() {
        format!("no line of request {request}\n")
    } else {
        format!("{}\n", Output::table(&table, &()).render(false))
    };
    if !trace.lines.is_empty() && trace.deciding.is_none() {
        text.push_str("nothing went wrong\n");
    }
    for unread in &trace.unread {
        // Writing to a String never fails.
        let _ = writeln!(
            text,
            "not read: {} line {}: {}",
            unread.file, unread.number, unread.problem
        );
    }
    if !trace.unread.is_empty() {
        let _ = writeln!(text, "{} lines not read", trace.unread.len());
    }
    text
}

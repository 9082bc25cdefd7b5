//! `flamingoctl trace REQUEST FILE...`.

use crate::client::Client;
use crate::command::{Command, Example, Run};
use crate::fault::Error;
use crate::output::{Output, Table};
use crate::trace::Trace as Story;
use std::fmt::Write;

/// Show what happened to one request, from the logs of several processes
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
        "Show what happened to one request, from the logs of several processes"
    }

    fn examples(&self) -> &'static [Example] {
        &[Example {
            line: "trace 669591b559a31b00 samples/logs/entry-2.jsonl samples/logs/entry-3.jsonl",
            description: "Its lines in order, the deciding one marked",
        }]
    }

    fn run<'a>(&'a self, _: &'a Client, arguments: &'a [String]) -> Run<'a> {
        Box::pin(async move {
            let (request, files) = (&arguments[0], &arguments[1..]);
            let mut story = Story::default();
            for file in files {
                let bytes = std::fs::read(file)
                    .map_err(|error| Error::Usage(format!("{file}: {error}")))?;
                story.take(request, file, &String::from_utf8_lossy(&bytes));
            }
            story.settle();
            Ok(Output::text(print(request, &story), &story))
        })
    }
}

fn print(request: &str, story: &Story) -> String {
    let mut table = Table::new(&["", "at", "process", "what", ""]);
    for (place, line) in story.lines.iter().enumerate() {
        let mark = if story.deciding == Some(place) {
            ">"
        } else {
            ""
        };
        table = table.row(&[&mark, &line.at, &line.node, &line.message, &line.fields]);
    }
    let mut text = if story.lines.is_empty() {
        format!("no line of request {request}\n")
    } else {
        format!("{}\n", Output::table(&table, &()).print(false))
    };
    if !story.lines.is_empty() && story.deciding.is_none() {
        text.push_str("nothing went wrong\n");
    }
    for unread in &story.unread {
        // Writing to a String can't fail.
        let _ = writeln!(
            text,
            "not read: {} line {}: {}",
            unread.file, unread.number, unread.problem
        );
    }
    if !story.unread.is_empty() {
        let _ = writeln!(text, "{} lines not read", story.unread.len());
    }
    text
}

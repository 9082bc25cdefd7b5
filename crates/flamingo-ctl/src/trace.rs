//! The lines of several processes that belong to one request, in order.

use serde::Serialize;
use serde_json::{Map, Value};

/// Messages of lines that say why a request went wrong; the last one decides.
const REASONS: [&str; 7] = [
    "adapter not brought",
    "answer replaced",
    "no room",
    "request unreadable",
    "sending failed",
    "stream broken",
    "turned away",
];
/// Message of the line that ends a request without an answer of a target.
const END: &str = "given up";

/// One line that belongs to the request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Line {
    /// When it was written.
    pub at: String,
    /// The process that wrote it.
    pub node: String,
    /// What happened.
    pub message: String,
    /// The other fields, as `name=value`.
    pub fields: String,
}

/// A line that could not be read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Unread {
    /// The file.
    pub file: String,
    /// The line's number, from 1 on.
    pub number: usize,
    /// What is wrong with it.
    pub problem: String,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Trace {
    /// Its lines, the oldest first.
    pub lines: Vec<Line>,
    /// Place of the deciding line among them, where something went wrong.
    pub deciding: Option<usize>,
    /// Lines that could not be read.
    pub unread: Vec<Unread>,
}

impl Trace {
    /// Takes the text of one file; lines of other requests are left out.
    ///
    /// ```
    /// use flamingo_ctl::trace::Trace;
    ///
    /// let mut trace = Trace::default();
    /// let line = r#"{"msg":"given up","ts":"t","node":"e","request":"r1","cause":"late"}"#;
    /// trace.take("r1", "e.log", &format!("{line}\nnot json"));
    /// trace.settle();
    /// assert_eq!((trace.deciding, trace.unread.len()), (Some(0), 1));
    /// ```
    pub fn take(&mut self, request: &str, file: &str, text: &str) {
        for (place, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            match read(line) {
                Ok(fields) if fields.get("request").and_then(Value::as_str) == Some(request) => {
                    self.lines.push(told(&fields));
                }
                Ok(_) => {}
                Err(problem) => self.unread.push(Unread {
                    file: file.to_owned(),
                    number: place + 1,
                    problem,
                }),
            }
        }
    }

    /// Puts the lines in order, and finds the deciding one.
    pub fn settle(&mut self) {
        self.lines.sort_by(|a, b| a.at.cmp(&b.at));
        let lines = self.lines.iter();
        let reason = lines
            .clone()
            .rposition(|line| REASONS.contains(&line.message.as_str()));
        let end = lines.clone().rposition(|line| line.message == END);
        self.deciding = reason.or(end);
    }
}

/// Reads a line; what a collector wrote before it is left out.
fn read(line: &str) -> Result<Map<String, Value>, String> {
    let start = line.find('{').ok_or("no JSON")?;
    let value = serde_json::from_str(&line[start..]).map_err(|error| error.to_string())?;
    let Value::Object(fields) = value else {
        return Err("no JSON object".to_owned());
    };
    for name in ["msg", "ts", "node"] {
        if !fields.get(name).is_some_and(Value::is_string) {
            return Err(format!(
                "no field '{name}': a line of another program or version"
            ));
        }
    }
    Ok(fields)
}

fn told(fields: &Map<String, Value>) -> Line {
    let text = |name: &str| {
        let value = fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let shown = ["msg", "ts", "node", "level", "request"];
    let others = fields
        .iter()
        .filter(|(name, _)| !shown.contains(&name.as_str()));
    let others = others.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    Line {
        at: text("ts"),
        node: text("node"),
        message: text("msg"),
        fields: others.collect::<Vec<_>>().join(" "),
    }
}

//! Collects the log lines of one request from the logs of several processes, in order of time,
//! and finds the line that explains why the request failed.

use serde::Serialize;
use serde_json::{Map, Value};

/// Messages of log lines that name the cause of a failed request. If a request has several,
/// the last one decides.
const FAILURE_MESSAGES: [&str; 15] = [
    "above its share",
    "adapter not brought",
    "answer replaced",
    "no memory for a body",
    "no room",
    "not authenticated",
    "not forwarded",
    "not within the quota",
    "prompt refused",
    "refused while stopping",
    "request refused",
    "request unreadable",
    "sending failed",
    "stream broken",
    "turned away",
];
/// Message of the line that an entry logs when it ends a request without a target's answer.
/// This line decides if no line names a cause.
const GIVEN_UP_MESSAGE: &str = "given up";

/// A log line that belongs to the request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Time at which the line was logged, as the log has it.
    pub at: String,
    /// Name of the node that logged the line.
    pub node: String,
    /// The log message.
    pub message: String,
    /// The other fields as `name=value`, separated by spaces.
    pub fields: String,
}

/// A log line that could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct UnreadLine {
    /// Name of the file.
    pub file: String,
    /// Number of the line in its file, counted from 1.
    pub number: usize,
    /// Why the line could not be parsed.
    pub problem: String,
}

/// The log lines of one request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Trace {
    /// The lines of the request; [`Trace::finish`] puts the oldest first.
    pub lines: Vec<Line>,
    /// Index in `lines` of the line that explains the failure; `None` if the request did not
    /// fail, and before [`Trace::finish`].
    pub deciding: Option<usize>,
    /// Lines of any request that could not be parsed.
    pub unread: Vec<UnreadLine>,
}

impl Trace {
    /// Adds the lines of `request` from the `text` of the log file named `file`, and records
    /// lines that can't be parsed. Empty lines and lines of other requests are ignored.
    ///
    /// ```
    /// use flamingo_ctl::trace::Trace;
    ///
    /// let mut trace = Trace::default();
    /// let line = r#"{"msg":"given up","ts":"t","node":"e","request":"r1","cause":"late"}"#;
    /// trace.add_file("r1", "e.log", &format!("{line}\nnot json"));
    /// trace.finish();
    /// assert_eq!((trace.deciding, trace.unread.len()), (Some(0), 1));
    /// ```
    pub fn add_file(&mut self, request: &str, file: &str, text: &str) {
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            match parse(line) {
                Ok(fields) if fields.get("request").and_then(Value::as_str) == Some(request) => {
                    self.lines.push(line_from(&fields));
                }
                Ok(_) => {}
                Err(problem) => self.unread.push(UnreadLine {
                    file: file.to_owned(),
                    number: index + 1,
                    problem,
                }),
            }
        }
    }

    /// Sorts the lines by time and sets `deciding`. Called after the last file was added.
    pub fn finish(&mut self) {
        self.lines.sort_by(|a, b| a.at.cmp(&b.at));
        let lines = self.lines.iter();
        let failure = lines
            .clone()
            .rposition(|line| FAILURE_MESSAGES.contains(&line.message.as_str()));
        let given_up = lines
            .clone()
            .rposition(|line| line.message == GIVEN_UP_MESSAGE);
        self.deciding = failure.or(given_up);
    }
}

/// Parses a log line. Text before the first `{`, such as a log collector's prefix, is ignored.
fn parse(line: &str) -> Result<Map<String, Value>, String> {
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

fn line_from(fields: &Map<String, Value>) -> Line {
    let text = |name: &str| {
        let value = fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let shown_elsewhere = ["msg", "ts", "node", "level", "request"];
    let others = fields
        .iter()
        .filter(|(name, _)| !shown_elsewhere.contains(&name.as_str()));
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

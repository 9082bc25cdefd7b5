//! The result of a command, rendered as text for people or as JSON for programs.

use serde::Serialize;
use serde_json::Value;
use std::fmt::Write;

/// A table with left-aligned columns; columns without a heading have an empty one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    headings: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Builds a table with these column headings and no rows.
    #[must_use]
    pub fn new(headings: &[&'static str]) -> Self {
        Self {
            headings: headings.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which must have one cell for each heading.
    #[must_use]
    pub fn row(mut self, cells: &[&dyn ToString]) -> Self {
        self.rows
            .push(cells.iter().map(|cell| cell.to_string()).collect());
        self
    }

    /// Returns the width of each column, in characters.
    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<_> = self.headings.iter().map(|text| text.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }

    fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        let headings: Vec<_> = self
            .headings
            .iter()
            .map(|text| (*text).to_owned())
            .collect();
        for row in std::iter::once(&headings).chain(&self.rows) {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                // Writing to a String never fails.
                let _ = write!(line, "{cell:<width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// The result of a command in both forms.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    json: Value,
    text: String,
}

impl Output {
    /// Builds a result that is shown as `table`, and as `value` with `--json`.
    #[must_use]
    pub fn table(table: &Table, value: &impl Serialize) -> Self {
        Self {
            json: json(value),
            text: table.render(),
        }
    }

    /// Builds a result that is shown as `text`, and as `value` with `--json`.
    #[must_use]
    pub fn text(text: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            json: json(value),
            text: text.into(),
        }
    }

    /// Returns the result as indented JSON if `as_json` is set, and as text otherwise,
    /// without trailing white space.
    #[must_use]
    pub fn render(&self, as_json: bool) -> String {
        let text = if as_json {
            format!("{:#}", self.json)
        } else {
            self.text.clone()
        };
        text.trim_end().to_owned()
    }
}

fn json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

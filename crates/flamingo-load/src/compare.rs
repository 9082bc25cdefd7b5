//! Compares the reports of two runs.

use crate::report::{Report, share};
use std::fmt::Write;

/// Returns a table that compares `a` with `b`.
#[must_use]
pub fn table(a: &Report, b: &Report) -> String {
    let mut text = String::new();
    let (one, two) = (&a.run.variant, &b.run.variant);
    if (a.run.workload.as_str(), a.run.seed) != (b.run.workload.as_str(), b.run.seed) {
        text.push_str("These runs differ in workload or seed.\n");
    }
    let _ = writeln!(text, "| | {one} | {two} |\n|---|---|---|");
    let mut line = |name: &str, a: f64, b: f64| {
        let _ = writeln!(text, "| {name} | {a:.4} | {b:.4} |");
    };
    line("attainment", a.attainment, b.attainment);
    line("% per accelerator", a.per_accelerator, b.per_accelerator);
    let moves = |report: &Report| {
        let moves = report.engines.loads + report.engines.unloads;
        u32::try_from(moves).map_or(f64::INFINITY, f64::from)
    };
    line("moves", moves(a), moves(b));
    let broken = |report: &Report| f64::from(report.truth.broken());
    line("broken promises", broken(a), broken(b));
    for own in &a.lines {
        let Some(other) = b.lines.iter().find(|other| other.name == own.name) else {
            continue;
        };
        let name = &own.name;
        let met = |line: &crate::tally::Line| share(line.met, line.sent);
        line(&format!("{name}: met"), met(own), met(other));
        line(
            &format!("{name}: first p95 ms"),
            own.first.p95,
            other.first.p95,
        );
        line(
            &format!("{name}: between p95 ms"),
            own.between.p95,
            other.between.p95,
        );
    }
    text
}

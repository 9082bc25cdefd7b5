//! The report of one run, as JSON and as a table.

use crate::drive::Sent;
use crate::engines::Engines;
use crate::error::Error;
use crate::plan::float;
use crate::tally::{Line, Promise, Tally};
use crate::truth::Truth;
use crate::workload::Workload;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::path::Path;
use std::time::Duration;

/// Latency objective of plain calls.
const CALL: Duration = Duration::from_secs(1);

/// Parameters of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// The workload.
    pub workload: String,
    /// The seed.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Factor on all rates.
    pub scale: f64,
    /// Difference to a calm run, such as a fault or a policy.
    pub variant: String,
}

/// Attainment in one second of the run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Point {
    /// Number of requests with an intended time in this second.
    pub sent: u32,
    /// Number of these that met their latency objective.
    pub met: u32,
}

/// The report of one run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Parameters of the run.
    pub run: Run,
    /// Results by profile and kind of call.
    pub lines: Vec<Line>,
    /// Total of all results.
    pub attainment: f64,
    /// Attainment in percent, divided by the number of engines used.
    pub per_accelerator: f64,
    /// Totals that the engines report.
    pub engines: Engines,
    /// Check against the requests that the targets recorded.
    pub truth: Truth,
    /// Number of requests whose entry did not listen.
    pub redialled: u32,
    /// Attainment by second.
    pub points: Vec<Point>,
}

impl Report {
    /// Builds the report of `sent`.
    #[must_use]
    pub fn new(
        run: Run,
        workload: &Workload,
        sent: &[Sent],
        truth: Truth,
        engines: Engines,
    ) -> Self {
        let mut tallies: BTreeMap<&str, Tally> = BTreeMap::new();
        let mut points = Vec::new();
        for one in sent {
            let promise = promise(workload, one.name());
            let tally = tallies.entry(one.name());
            let tally = tally.or_insert_with(|| Tally::new(one.name(), promise));
            let Some(first) = one.answers.first() else {
                continue;
            };
            tally.add(first);
            let second = usize::try_from(one.item.at.as_secs()).unwrap_or(usize::MAX);
            if points.len() <= second {
                points.resize(second + 1, Point::default());
            }
            points[second].sent += 1;
            points[second].met += u32::from(promise.met(first));
        }
        let lines: Vec<_> = tallies.into_values().map(Tally::line).collect();
        let sum = |count: fn(&Line) -> u32| lines.iter().map(count).sum::<u32>();
        let attainment = share(sum(|line| line.met), sum(|line| line.sent));
        Self {
            run,
            attainment,
            per_accelerator: attainment * 100.0 / f64::from(engines.used.max(1)),
            engines,
            truth,
            redialled: sent.iter().map(|one| one.redialled).sum(),
            points,
            lines,
        }
    }

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let failed = |message: String| Error::File(path.to_owned(), message);
        let text = std::fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| failed(error.to_string()))
    }

    /// Writes the report.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn save(&self, path: &Path) -> Result<(), Error> {
        let failed = |message: String| Error::File(path.to_owned(), message);
        let text = serde_json::to_string_pretty(self).map_err(|error| failed(error.to_string()))?;
        std::fs::write(path, text).map_err(|error| failed(error.to_string()))
    }
}

fn promise(workload: &Workload, name: &str) -> Promise {
    let profile = workload.set.profile(name);
    profile.map_or(
        Promise {
            first: CALL,
            between: CALL,
        },
        |profile| Promise {
            first: profile.first_token,
            between: profile.between_tokens,
        },
    )
}

/// Returns `part / whole`, or 0 if `whole` is 0.
#[must_use]
pub fn share(part: u32, whole: u32) -> f64 {
    float(u64::from(part)) / float(u64::from(whole.max(1)))
}

impl Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let run = &self.run;
        writeln!(
            out,
            "{} seed {} {} s scale {} {}",
            run.workload, run.seed, run.seconds, run.scale, run.variant
        )?;
        writeln!(
            out,
            "| profile or calls | sent | met | not run | may have run | broken | first p50/p95/p99 ms | between p50/p95/p99 ms | refused p50/p99 ms |\n|---|---|---|---|---|---|---|---|---|"
        )?;
        for line in &self.lines {
            row(out, line)?;
        }
        let (engines, truth) = (&self.engines, &self.truth);
        writeln!(
            out,
            "attainment {:.4}, per accelerator used ({}) {:.2} %; loads {}, unloads {}, over-commits {}; redialled {}",
            self.attainment,
            engines.used,
            self.per_accelerator,
            engines.loads,
            engines.unloads,
            engines.over_commits,
            self.redialled
        )?;
        writeln!(
            out,
            "checked {}: lost {}, doubled {}, foreign {}, falsely not run {}, contradicted {} {:?}",
            truth.checked,
            truth.lost,
            truth.doubled,
            truth.foreign,
            truth.falsely_not_run,
            truth.contradicted,
            truth.examples
        )
    }
}

fn row(out: &mut fmt::Formatter<'_>, line: &Line) -> fmt::Result {
    let (first, between, refused) = (&line.first, &line.between, &line.refused);
    writeln!(
        out,
        "| {} | {} | {:.4} | {} | {} | {} | {:.1}/{:.1}/{:.1} | {:.1}/{:.1}/{:.1} | {:.1}/{:.1} |",
        line.name,
        line.sent,
        share(line.met, line.sent),
        line.not_run,
        line.may_have_run,
        line.broken,
        first.p50,
        first.p95,
        first.p99,
        between.p50,
        between.p95,
        between.p99,
        refused.p50,
        refused.p99
    )
}

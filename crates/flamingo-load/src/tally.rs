//! Counts and latencies of one profile or one kind of call.

use crate::drive::{Answer, End};
use crate::plan::float;
use flamingo_wire::Verdict;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest recorded latency, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// Latency objective.
#[derive(Clone, Copy, Debug)]
pub struct Promise {
    /// Time to the first token, or to the response of a call.
    pub first: Duration,
    /// Mean time between tokens.
    pub between: Duration,
}

impl Promise {
    /// Returns whether a response met the objective.
    #[must_use]
    pub fn met(&self, answer: &Answer) -> bool {
        let Some(first) = answer.first else {
            return false;
        };
        let between = between(answer).unwrap_or_default();
        answer.end == End::Whole && first <= self.first && between <= self.between
    }
}

/// Returns the mean time between tokens.
fn between(answer: &Answer) -> Option<Duration> {
    let gaps = answer.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?;
    Some(answer.last.saturating_sub(answer.first?) / gaps)
}

/// Percentiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Times {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// One line of the report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Profile, or name of the calls.
    pub name: String,
    /// Requests sent.
    pub sent: u32,
    /// Complete responses.
    pub whole: u32,
    /// Complete responses that met the latency objective.
    pub met: u32,
    /// Rejections with the verdict that the request did not run.
    pub not_run: u32,
    /// Rejections with the verdict that the request may have run.
    pub may_have_run: u32,
    /// Rejections with the verdict that the request ran.
    pub ran: u32,
    /// Responses that were truncated without an error.
    pub broken: u32,
    /// Rejections with a `Retry-After`.
    pub with_retry_after: u32,
    /// Time to the first token, from the intended start.
    pub first: Times,
    /// Mean time between tokens of a request.
    pub between: Times,
    /// Time to a rejection.
    pub refused: Times,
}

/// Collects one line of the report.
#[derive(Debug)]
pub struct Tally {
    line: Line,
    promise: Promise,
    first: Histogram<u64>,
    between: Histogram<u64>,
    refused: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally.
    #[must_use]
    pub fn new(name: &str, promise: Promise) -> Self {
        let line = Line {
            name: name.to_owned(),
            ..Line::default()
        };
        Self {
            line,
            promise,
            first: histogram(),
            between: histogram(),
            refused: histogram(),
        }
    }

    /// Records the first response of a request.
    pub fn add(&mut self, answer: &Answer) {
        let line = &mut self.line;
        line.sent += 1;
        line.met += u32::from(self.promise.met(answer));
        if let Some(first) = answer.first {
            note(&mut self.first, first);
        }
        if let Some(between) = between(answer) {
            note(&mut self.between, between);
        }
        match answer.end {
            End::Whole => line.whole += 1,
            End::Foreign | End::Broken => line.broken += 1,
            End::Refused(verdict) => {
                line.with_retry_after += u32::from(answer.retry_after.is_some());
                note(&mut self.refused, answer.last);
                match verdict {
                    Verdict::NotRun => line.not_run += 1,
                    Verdict::MayHaveRun => line.may_have_run += 1,
                    Verdict::Ran => line.ran += 1,
                }
            }
        }
    }

    /// Returns the line of the report.
    #[must_use]
    pub fn line(mut self) -> Line {
        self.line.first = times(&self.first);
        self.line.between = times(&self.between);
        self.line.refused = times(&self.refused);
        self.line
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are in order")
}

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    let us = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
    histogram.saturating_record(us);
}

fn times(histogram: &Histogram<u64>) -> Times {
    let at = |quantile| float(histogram.value_at_quantile(quantile)) / 1_000.0;
    if histogram.is_empty() {
        return Times::default();
    }
    Times {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

//! Counters and gauges of a control instance.

use flamingo_daemon::metrics::Registry;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge};

/// Bounds of the histogram of commit latency, in seconds.
const LATENCY: [f64; 10] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 2.0,
];

/// The metrics; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    book: Registry,
    /// 1 while this instance leads.
    pub leads: IntGauge,
    /// Term.
    pub term: IntGauge,
    /// Last committed index.
    pub committed: IntGauge,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Whole records of the call ledger.
    pub records: IntGauge,
    /// Orders that may be under way.
    pub outstanding: IntGauge,
    /// Followers of the configuration on this instance.
    pub followers: IntGauge,
    /// 1 once the disk failed.
    pub broken: IntGauge,
    /// Commands proposed.
    pub proposals: IntCounter,
    /// Seconds from proposal to reply.
    pub commit: Histogram,
}

impl Metrics {
    /// Builds and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error where a name is wrong or stands twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let book = Registry::default();
        let latency = HistogramOpts::new(
            "flamingo_control_commit_seconds",
            "seconds from proposal to reply",
        );
        let latency = Histogram::with_opts(latency.buckets(LATENCY.to_vec()))?;
        Ok(Self {
            leads: book.gauge("flamingo_control_leads", "1 while this instance leads")?,
            term: book.gauge("flamingo_control_term", "election term")?,
            committed: book.gauge("flamingo_control_committed", "last committed index")?,
            version: book.gauge("flamingo_control_version", "version in force")?,
            records: book.gauge("flamingo_control_ledger_records", "whole ledger records")?,
            outstanding: book.gauge("flamingo_control_orders_outstanding", "orders under way")?,
            followers: book.gauge("flamingo_control_followers", "followers of this instance")?,
            broken: book.gauge("flamingo_control_disk_failed", "1 once the disk failed")?,
            proposals: book.counter("flamingo_control_proposals_total", "commands proposed")?,
            commit: book.add(latency)?,
            book,
        })
    }

    /// Returns the metrics in the text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.book.text()
    }
}

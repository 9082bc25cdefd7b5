//! Counters and histograms of an entry.

use crate::news::News;
use flamingo_daemon::metrics::Registry;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
};
use std::time::Duration;

/// Bounds of the histograms of times, in seconds.
const SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0,
];

/// The metrics of one entry; no label grows with callers.
#[derive(Clone, Debug)]
pub struct Metrics {
    book: Registry,
    /// Requests by route and outcome.
    requests: IntCounterVec,
    /// Time to the first event, or to a whole answer, by route.
    first: HistogramVec,
    /// Sendings to targets by how they ended.
    pub sendings: IntCounterVec,
    /// Repeats that the budget did not allow.
    pub unaffordable: IntCounter,
    /// Connections to targets, dialled or used again.
    pub connections: IntCounterVec,
    targets: IntGaugeVec,
    version: IntGauge,
    entries: IntGauge,
}

impl Metrics {
    /// Builds the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error where two of them have one name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let book = Registry::default();
        let first = HistogramOpts::new(
            "flamingo_first_event_seconds",
            "Time to the first event of a stream, or to a whole answer.",
        );
        let first = HistogramVec::new(first.buckets(SECONDS.to_vec()), &["route"])?;
        let targets = Opts::new("flamingo_targets", "Known targets by standing.");
        Ok(Self {
            requests: book.counters(
                "flamingo_requests_total",
                "Requests by route and outcome.",
                &["route", "outcome"],
            )?,
            sendings: book.counters(
                "flamingo_sendings_total",
                "Sendings to targets by how they ended.",
                &["ended"],
            )?,
            connections: book.counters(
                "flamingo_connections_total",
                "Connections to targets, dialled or used again.",
                &["how"],
            )?,
            version: book.gauge("flamingo_routes_version", "Version of the routes in force.")?,
            entries: book.gauge("flamingo_entries", "Entries that share budgets.")?,
            unaffordable: book.counter(
                "flamingo_repeats_unaffordable_total",
                "Repeats that the budget of all entries did not allow.",
            )?,
            first: book.add(first)?,
            targets: book.add(IntGaugeVec::new(targets, &["standing"])?)?,
            book,
        })
    }

    /// Counts the end of a request.
    pub fn ended(&self, route: &str, outcome: &str) {
        self.requests.with_label_values(&[route, outcome]).inc();
    }

    /// Notes the time to a first event.
    pub fn begun(&self, route: &str, time: Duration) {
        let first = self.first.with_label_values(&[route]);
        first.observe(time.as_secs_f64());
    }

    /// Returns the metrics in the text format, with what is known right now.
    #[must_use]
    pub fn text(&self, news: &News) -> String {
        self.look(news);
        self.book.text()
    }

    fn look(&self, news: &News) {
        let number = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let table = news.table.borrow();
        let open = table.iter().filter(|target| target.open()).count();
        let silent = table.iter().filter(|target| table.silent(target)).count();
        let all = table.iter().count();
        for (standing, count) in [("open", open), ("leaving", all - open), ("silent", silent)] {
            let gauge = self.targets.with_label_values(&[standing]);
            gauge.set(number(count));
        }
        let routes = news.routes.borrow();
        let version = routes.as_ref().map_or(0, |routes| routes.set.version);
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let entries = news.peers.borrow().entries().unwrap_or(0);
        self.entries.set(number(entries));
    }
}

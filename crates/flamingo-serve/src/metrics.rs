//! Metrics of an entry in the Prometheus format.

use crate::topology::Topology;
use flamingo_daemon::metrics::Registry;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts};
use std::time::{Duration, Instant};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0,
];

/// The metrics of one entry. Labels have values from the configuration and from fixed sets only,
/// so callers can't increase the number of time series.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route and outcome.
    requests: IntCounterVec,
    /// Time to the first event or to the complete response, by route.
    first_event: HistogramVec,
    /// Attempts to send a request to a target, by how they ended.
    pub sendings: IntCounterVec,
    /// Retries that were not sent because the retry budget was exhausted, by why.
    pub unaffordable: IntCounterVec,
    /// Connections to targets that requests used, newly dialled or reused.
    pub connections: IntCounterVec,
    targets: IntGaugeVec,
    version: IntGauge,
    entries: IntGauge,
    /// Followed control instances in the own zone and in others.
    controls: IntGaugeVec,
    /// Age of the leader's last push, in milliseconds; -1 before the first.
    leader_age: IntGauge,
    quarantined: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::default();
        let first_event = HistogramOpts::new(
            "flamingo_first_event_seconds",
            "Time to the first event of a stream, or to a complete response.",
        );
        let first_event =
            HistogramVec::new(first_event.buckets(LATENCY_BUCKETS_S.to_vec()), &["route"])?;
        let targets = Opts::new("flamingo_targets", "Known targets by standing.");
        let controls = Opts::new(
            "flamingo_controls_followed",
            "Followed control instances in the entry's zone and in others.",
        );
        Ok(Self {
            requests: registry.counters(
                "flamingo_requests_total",
                "Requests by route and outcome.",
                &["route", "outcome"],
            )?,
            sendings: registry.counters(
                "flamingo_sendings_total",
                "Attempts to send a request to a target, by how they ended.",
                &["ended"],
            )?,
            connections: registry.counters(
                "flamingo_connections_total",
                "Connections to targets that requests used, newly dialled or reused.",
                &["how"],
            )?,
            version: registry
                .gauge("flamingo_routes_version", "Version of the routes in force.")?,
            entries: registry.gauge("flamingo_entries", "Entries that control counts.")?,
            controls: registry.add(IntGaugeVec::new(controls, &["zone"])?)?,
            leader_age: registry.gauge(
                "flamingo_leader_age_ms",
                "Time since the leader's last push, direct or relayed; -1 before the first.",
            )?,
            quarantined: registry.gauge(
                "flamingo_quarantined_parts",
                "Prompt parts that are kept from targets since they crash them.",
            )?,
            unaffordable: registry.counters(
                "flamingo_repeats_unaffordable_total",
                "Retries that were not sent because the retry budget was exhausted, by why.",
                &["why"],
            )?,
            first_event: registry.add(first_event)?,
            targets: registry.add(IntGaugeVec::new(targets, &["standing"])?)?,
            registry,
        })
    }

    /// Counts a request that has ended with this outcome.
    pub fn record_outcome(&self, route: &str, outcome: &str) {
        self.requests.with_label_values(&[route, outcome]).inc();
    }

    /// Records the time to a first event or to a complete response.
    pub fn observe_first_event(&self, route: &str, time: Duration) {
        let first_event = self.first_event.with_label_values(&[route]);
        first_event.observe(time.as_secs_f64());
    }

    /// Returns the metrics in the text format, with gauges set from the current topology.
    #[must_use]
    pub fn text(&self, topology: &Topology) -> String {
        self.update_gauges(topology);
        self.registry.text()
    }

    fn update_gauges(&self, topology: &Topology) {
        let number = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let table = topology.table.borrow();
        let open = table
            .iter()
            .filter(|target| target.accepts_requests())
            .count();
        let silent = table
            .iter()
            .filter(|target| table.heartbeat_overdue(target))
            .count();
        let now = Instant::now();
        let paused = table
            .iter()
            .filter(|target| target.availability.paused_until(now).is_some())
            .count();
        let all = table.iter().count();
        let standings = [
            ("open", open),
            ("leaving", all - open),
            ("silent", silent),
            ("paused", paused),
        ];
        for (standing, count) in standings {
            let gauge = self.targets.with_label_values(&[standing]);
            gauge.set(number(count));
        }
        let routes = topology.routes.borrow();
        let version = routes.as_ref().map_or(0, |routes| routes.set.version);
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let entries = topology.peers.borrow().entries().unwrap_or(0);
        self.entries.set(number(entries));
        let (own, other) = topology.peers.borrow().followed;
        self.controls.with_label_values(&["own"]).set(number(own));
        self.controls
            .with_label_values(&["other"])
            .set(number(other));
        let age = topology.peers.borrow().leader_age(now);
        let age_ms = age.and_then(|age| i64::try_from(age.as_millis()).ok());
        self.leader_age.set(age_ms.unwrap_or(-1));
        let quarantined = topology.crashes.borrow().quarantined(now);
        self.quarantined.set(number(quarantined));
    }
}

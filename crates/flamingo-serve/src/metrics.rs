//! Metrics of an entry in the Prometheus format.

mod handover;
mod workspace;

pub use handover::Handovers;
pub use workspace::{Outcome, WorkspaceCounters};

use crate::pace::Standing;
use crate::table::{Table, Target};
use crate::topology::Topology;
use flamingo_daemon::clock;
use flamingo_daemon::labels::Labels;
use flamingo_daemon::metrics::Registry;
use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
};
use std::time::{Duration, Instant};
use strum::IntoEnumIterator as _;

/// What `flamingo_routes_outdated_ms` shows.
const OUTDATED_HELP: &str =
    "Time for which newer routes than those in force have been known; 0 if none are.";

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
    /// Requests of workspaces.
    workspaces: WorkspaceCounters,
    /// Time to the first event or to the complete response, by route.
    first_event: HistogramVec,
    /// Attempts to send a request to a target, by how they ended.
    pub sendings: IntCounterVec,
    /// Retries that were not sent because the retry budget was exhausted, by why.
    pub unaffordable: IntCounterVec,
    /// Connections to targets that requests used, newly dialled or reused.
    pub connections: IntCounterVec,
    /// Questions to the leader about quotas, by how they ended.
    pub quota_questions: IntCounterVec,
    /// Requests that were sent to be answered late, by route.
    late: IntCounterVec,
    /// Requests for room at brittle targets.
    pub rooms: IntCounterVec,
    /// Requests that were sent to another zone, by the zones of entry and target and the reason.
    departures: IntCounterVec,
    /// Bytes of bodies that were exchanged with another zone, by zones, reason and direction.
    departed_bytes: IntCounterVec,
    /// Zones that departures are counted by. Targets state their zone themselves.
    zones: Labels,
    targets: IntGaugeVec,
    /// Fitted prefill rates, by service: of the service, and of its slowest and fastest model.
    prefill_rates: GaugeVec,
    /// Least and largest fitted factor of a target, by service.
    target_factors: GaugeVec,
    /// Targets by whether they tell their pace.
    paces: IntGaugeVec,
    version: IntGauge,
    /// Time for which newer routes than those in force have been known, in milliseconds.
    outdated: IntGauge,
    entries: IntGauge,
    /// Followed control instances in the own zone and in others.
    controls: IntGaugeVec,
    /// Age of the leader's last push, in milliseconds; -1 before the first.
    leader_age: IntGauge,
    handovers: Handovers,
    quarantined: IntGauge,
    /// Workspaces above their share, by the leader.
    share_limits: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::default();
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            registry.add(IntGaugeVec::new(Opts::new(name, help), labels)?)
        };
        let rates = |name: &str, help: &str| {
            registry.add(GaugeVec::new(Opts::new(name, help), &["service", "of"])?)
        };
        Ok(Self {
            paces: gauges(
                "flamingo_target_paces",
                "Known targets by whether they report their pace and whether it agrees with observed times.",
                &["standing"],
            )?,
            prefill_rates: rates(
                "flamingo_prefill_tokens_per_ms",
                "Fitted prefill rate of a service, and of its slowest and fastest model.",
            )?,
            target_factors: rates(
                "flamingo_target_factor",
                "Fitted time of work at the fastest and the slowest target, relative to others.",
            )?,
            requests: registry.counters(
                "flamingo_requests_total",
                "Requests by route and outcome.",
                &["route", "outcome"],
            )?,
            workspaces: WorkspaceCounters::new(&registry)?,
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
            quota_questions: registry.counters(
                "flamingo_quota_questions_total",
                "Questions to the leader about quotas, by how they ended.",
                &["ended"],
            )?,
            late: registry.counters(
                "flamingo_sent_late_total",
                "Requests sent at the last rank since they can't meet their objective, by route.",
                &["route"],
            )?,
            rooms: registry.counters(
                "flamingo_brittle_rooms_total",
                "Requests to brittle targets, by who found room, without room, and rejected there.",
                &["decision"],
            )?,
            departures: registry.counters(
                "flamingo_departures_total",
                "Requests sent to a target in another zone, by zone and reason.",
                &["from", "to", "reason"],
            )?,
            departed_bytes: registry.counters(
                "flamingo_departed_bytes_total",
                "Bytes of request and response bodies exchanged with another zone.",
                &["from", "to", "reason", "direction"],
            )?,
            zones: Labels::default(),
            version: registry
                .gauge("flamingo_routes_version", "Version of the routes in force.")?,
            outdated: registry.gauge("flamingo_routes_outdated_ms", OUTDATED_HELP)?,
            entries: registry.gauge("flamingo_entries", "Entries that control counts.")?,
            controls: gauges(
                "flamingo_controls_followed",
                "Followed control instances in the entry's zone and in others.",
                &["zone"],
            )?,
            leader_age: registry.gauge(
                "flamingo_leader_age_ms",
                "Time since the leader's last push, direct or relayed; -1 before the first.",
            )?,
            handovers: Handovers::new(&registry)?,
            quarantined: registry.gauge(
                "flamingo_quarantined_parts",
                "Prompt parts that are kept from targets since they crash them.",
            )?,
            share_limits: registry.gauge(
                "flamingo_share_limits",
                "Workspaces that are held to their share of a model or a service now.",
            )?,
            unaffordable: registry.counters(
                "flamingo_repeats_unaffordable_total",
                "Retries that were not sent because the retry budget was exhausted, by why.",
                &["why"],
            )?,
            first_event: registry.add(first_event_histogram()?)?,
            targets: gauges(
                "flamingo_targets",
                "Known targets by standing.",
                &["standing"],
            )?,
            registry,
        })
    }

    /// Counts a request that has ended with this outcome.
    pub fn record_outcome(&self, route: &str, outcome: &str) {
        self.requests.with_label_values(&[route, outcome]).inc();
    }

    /// Returns the counters of requests by workspace.
    #[must_use]
    pub fn workspaces(&self) -> &WorkspaceCounters {
        &self.workspaces
    }

    /// Returns the metrics of requests that entries pass on to each other.
    #[must_use]
    pub fn handovers(&self) -> &Handovers {
        &self.handovers
    }

    /// Records the time to a first event or to a complete response.
    pub fn observe_first_event(&self, route: &str, time: Duration) {
        let first_event = self.first_event.with_label_values(&[route]);
        first_event.observe(time.as_secs_f64());
    }

    /// Counts a request that is sent to be answered late.
    pub fn record_late(&self, route: &str) {
        self.late.with_label_values(&[route]).inc();
    }

    /// Counts a request that was sent from the zone `from` to the zone `to`, with the bytes of its body.
    pub fn record_departure(&self, from: &str, to: &str, reason: &str, bytes: usize) {
        let to = self.zones.label(to);
        let counter = self.departures.with_label_values(&[from, &to, reason]);
        counter.inc();
        self.count_bytes([from, &to, reason, "request"], bytes);
    }

    /// Counts bytes of the answer to a request that was sent from the zone `from` to the zone `to`.
    pub fn record_departed_answer(&self, from: &str, to: &str, reason: &str, bytes: usize) {
        let to = self.zones.label(to);
        self.count_bytes([from, &to, reason, "response"], bytes);
    }

    fn count_bytes(&self, labels: [&str; 4], bytes: usize) {
        let counter = self.departed_bytes.with_label_values(&labels);
        counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
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
        for standing in Standing::iter() {
            let targets = table.iter().map(|target| target.pace.standing());
            let count = targets.filter(|of| *of == standing).count();
            let gauge = self.paces.with_label_values(&[<&str>::from(standing)]);
            gauge.set(number(count));
        }
        self.update_speeds(&table);
        let routes = topology.routes.borrow();
        let version = routes.as_ref().map_or(0, |routes| routes.set.version);
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let outdated = topology.freshness.borrow().outdated_for(clock::now());
        let outdated = outdated.unwrap_or_default().as_millis();
        self.outdated
            .set(i64::try_from(outdated).unwrap_or(i64::MAX));
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
        let limits = topology.shares.borrow().count(now);
        self.share_limits.set(number(limits));
    }

    /// Sets the gauges of fitted speeds: five for each service, however many models and targets it has.
    fn update_speeds(&self, table: &Table) {
        for (service, speed) in table.speeds() {
            let rate = speed.prefill.tokens_per_ms();
            let slowest = speed.model_rates().fold(rate, f64::min);
            let fastest = speed.model_rates().fold(rate, f64::max);
            for (of, rate) in [
                ("service", rate),
                ("slowest", slowest),
                ("fastest", fastest),
            ] {
                let gauge = self
                    .prefill_rates
                    .with_label_values(&[service.as_str(), of]);
                gauge.set(rate);
            }
            let factors = || table.of_service(service).map(Target::factor);
            let least = factors().fold(1.0, f64::min);
            let largest = factors().fold(1.0, f64::max);
            for (of, factor) in [("fastest", least), ("slowest", largest)] {
                let gauge = self
                    .target_factors
                    .with_label_values(&[service.as_str(), of]);
                gauge.set(factor);
            }
        }
    }
}

fn first_event_histogram() -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(
        "flamingo_first_event_seconds",
        "Time to the first event of a stream, or to a complete response.",
    );
    HistogramVec::new(options.buckets(LATENCY_BUCKETS_S.to_vec()), &["route"])
}

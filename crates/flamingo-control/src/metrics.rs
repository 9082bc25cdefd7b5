//! Prometheus metrics of a control instance.

use crate::controller::adapter_time::AdapterTimes;
use flamingo_daemon::metrics::Registry;
use flamingo_wire::control::Push;
use prometheus::{GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts};

/// Bucket bounds of the histogram of commit latency, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 2.0,
];

/// The metrics; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// 1 while this instance leads.
    pub leads: IntGauge,
    /// Current election term.
    pub term: IntGauge,
    /// Index of the last committed entry of the log.
    pub committed: IntGauge,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Complete records in the ledger of idempotency keys.
    pub ledger_records: IntGauge,
    /// Orders whose intent is committed and whose outcome is not.
    pub orders_outstanding: IntGauge,
    /// Followers of the configuration on this instance.
    pub followers: IntGauge,
    /// 1 once the disk has failed.
    pub disk_failed: IntGauge,
    /// 1 while the disk has no room.
    pub disk_full: IntGauge,
    /// 1 while this instance votes.
    pub votes: IntGauge,
    /// Voters in the member list of this instance.
    pub voters: IntGauge,
    /// Voters that the leader reaches, itself included; -1 where this instance does not lead.
    pub voters_reached: IntGauge,
    /// Commands proposed to the log by this instance.
    pub proposals: IntCounter,
    /// Bytes of pushes to followers, by kind and by whether another instance pushed them first.
    push_bytes: IntCounterVec,
    /// Learned load times of adapters, by service: of the fastest and of the slowest model.
    adapter_waits: GaugeVec,
    /// Requests that came before their adapter, by service.
    adapter_misses: IntCounterVec,
    /// Time from the proposal of a command to the reply, in seconds.
    pub commit_seconds: Histogram,
}

impl Metrics {
    /// Builds and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error where a metric's name is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::default();
        let commit_seconds = HistogramOpts::new(
            "flamingo_control_commit_seconds",
            "seconds from proposal to reply",
        );
        let commit_seconds =
            Histogram::with_opts(commit_seconds.buckets(LATENCY_BUCKETS.to_vec()))?;
        let adapter_waits = Opts::new(
            "flamingo_control_adapter_wait_ms",
            "learned load time of adapters, of the fastest and the slowest model of a service",
        );
        Ok(Self {
            leads: registry.gauge("flamingo_control_leads", "1 while this instance leads")?,
            term: registry.gauge("flamingo_control_term", "election term")?,
            committed: registry.gauge(
                "flamingo_control_committed",
                "index of the last committed log entry",
            )?,
            version: registry.gauge(
                "flamingo_control_version",
                "version of the configuration in force",
            )?,
            ledger_records: registry.gauge(
                "flamingo_control_ledger_records",
                "complete records in the ledger of idempotency keys",
            )?,
            orders_outstanding: registry.gauge(
                "flamingo_control_orders_outstanding",
                "orders that are not settled",
            )?,
            followers: registry.gauge(
                "flamingo_control_followers",
                "followers of the configuration on this instance",
            )?,
            disk_failed: registry
                .gauge("flamingo_control_disk_failed", "1 once the disk has failed")?,
            disk_full: registry
                .gauge("flamingo_control_disk_full", "1 while the disk has no room")?,
            votes: registry.gauge("flamingo_control_votes", "1 while this instance votes")?,
            voters: registry.gauge("flamingo_control_voters", "voters in the member list")?,
            voters_reached: registry.gauge(
                "flamingo_control_voters_reached",
                "voters that the leader reaches, itself included; -1 elsewhere",
            )?,
            proposals: registry.counter(
                "flamingo_control_proposals_total",
                "commands proposed by this instance",
            )?,
            push_bytes: registry.counters(
                "flamingo_control_push_bytes_total",
                "bytes of pushes to followers, by kind and by whether they were relayed",
                &["kind", "relayed"],
            )?,
            adapter_waits: registry.add(GaugeVec::new(adapter_waits, &["service", "of"])?)?,
            adapter_misses: registry.counters(
                "flamingo_control_adapter_misses_total",
                "requests that came before their adapter was loaded, by service",
                &["service"],
            )?,
            commit_seconds: registry.add(commit_seconds)?,
            registry,
        })
    }

    /// Counts a push of so many bytes that was sent to a follower.
    pub fn record_push(&self, push: &Push, bytes: usize) {
        let (push, relayed) = match push {
            Push::Relayed(relayed) => (&*relayed.push, "yes"),
            push => (push, "no"),
        };
        let counter = self.push_bytes.with_label_values(&[push.into(), relayed]);
        counter.inc_by(bytes as u64);
    }

    /// Counts a request that came before its adapter was loaded.
    pub fn record_adapter_miss(&self, service: &str) {
        self.adapter_misses.with_label_values(&[service]).inc();
    }

    /// Shows the learned load times of adapters in place of earlier ones. Only a leader has any.
    pub fn show_adapter_times(&self, times: &AdapterTimes) {
        self.adapter_waits.reset();
        for (service, (least, most)) in times.ranges() {
            for (of, time) in [("fastest", least), ("slowest", most)] {
                let gauge = self.adapter_waits.with_label_values(&[service, of]);
                gauge.set(time.as_secs_f64() * 1_000.0);
            }
        }
    }

    /// Returns the metrics in the text format of Prometheus.
    #[must_use]
    pub fn text(&self) -> String {
        self.registry.text()
    }
}

//! Configuration of the router: limits, rates and the selection policy.

use std::time::Duration;

/// Limits and rates of one entry's router.
///
/// ```
/// let limit = flamingo_route::Limit::default();
/// assert_eq!(limit.adapter_share(6), 8);
/// assert_eq!(limit.adapter_share(1_000), 1);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Maximum length of the queue of one pool.
    pub max_queued: usize,
    /// Maximum number of requests in flight at one engine, over all entries.
    pub engine_slots: u32,
    /// Maximum number of adapter loads in flight, over all entries.
    pub adapter_loads: u32,
    /// Retries that the budget gains per request, in thousandths of a retry.
    pub retry_permille: u32,
    /// Maximum number of retries that the budget can hold.
    pub retry_burst: u32,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Time without a first byte after which an attempt of an idempotent request is given up;
    /// extended to four times the predicted time to the first token if that is longer.
    pub first_byte_timeout: Duration,
    /// Time that a target gets no requests after its first failure; doubles with each
    /// further failure.
    pub cooldown: Duration,
    /// Maximum time that a target gets no requests after a failure.
    pub cooldown_max: Duration,
    /// Predicted time to load one adapter.
    pub adapter_load_time: Duration,
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_tokens_per_ms: u32,
    /// Time that a request takes longer if its target is in another availability zone.
    pub cross_zone_latency: Duration,
    /// Whether a request is refused when the prediction says that it will be too late.
    pub admission: bool,
    /// Policy by which a target is chosen.
    pub policy: Policy,
}

/// Policy by which a target is chosen among those that can take a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The least predicted time to the first token among the target that consistent hashing
    /// gives for the prefix or adapter and two random targets.
    #[default]
    Affine,
    /// The least predicted time to the first token of two random targets.
    TwoChoices,
    /// The target of the whole pool with the fewest requests (a baseline for comparisons).
    LeastInFlight,
    /// Each target in turn (a baseline for comparisons).
    RoundRobin,
}

impl Limit {
    /// Returns how many adapter loads this entry may have in flight when `entries` live
    /// entries share the limit; at least 1.
    #[must_use]
    pub fn adapter_share(&self, entries: usize) -> u32 {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        (self.adapter_loads / entries).max(1)
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            max_queued: 1_024,
            engine_slots: 32,
            adapter_loads: 50,
            retry_permille: 100,
            retry_burst: 10,
            max_attempts: 4,
            first_byte_timeout: Duration::from_secs(5),
            cooldown: Duration::from_millis(500),
            cooldown_max: Duration::from_secs(15),
            adapter_load_time: Duration::from_millis(10),
            prefill_tokens_per_ms: 8,
            cross_zone_latency: Duration::from_micros(1_500),
            admission: true,
            policy: Policy::default(),
        }
    }
}

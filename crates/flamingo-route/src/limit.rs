//! Bounds and rates that the decisions obey.

use std::time::Duration;

/// Bounds and rates of one entry's router.
///
/// ```
/// let limit = flamingo_route::Limit::default();
/// assert_eq!(limit.adapter_share(6), 8);
/// assert_eq!(limit.adapter_share(1_000), 1);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Requests that may wait in one pool's queue.
    pub queue: usize,
    /// Requests that one engine is given at once, over all entries.
    pub engine_slots: u32,
    /// Adapter loads in flight over all entries.
    pub adapter_loads: u32,
    /// Retries and hedges allowed per request, in thousandths.
    pub retry_share: u32,
    /// Retries that may be saved up.
    pub retry_burst: u32,
    /// Attempts of one request, the first included.
    pub attempts: u32,
    /// Time without a first byte after which an idempotent attempt is given up.
    pub silence: Duration,
    /// Time that a failed target is left alone; doubles with each failure.
    pub cooldown: Duration,
    /// Longest time that a failed target is left alone.
    pub cooldown_max: Duration,
    /// Time of one adapter's load.
    pub adapter_load: Duration,
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_rate: u32,
    /// Added time of a request to a target in another availability zone.
    pub zone_distance: Duration,
    /// Whether requests are refused when their promise can't be met.
    pub admission: bool,
    /// How a target is chosen.
    pub policy: Policy,
}

/// How a target is chosen among those that can take a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The best of the prefix-affine target and two random ones.
    #[default]
    Affine,
    /// The better of two random ones.
    TwoChoices,
    /// The one with the fewest requests in flight of all (a baseline).
    LeastInFlight,
    /// Each in turn (a baseline).
    RoundRobin,
}

impl Limit {
    /// Returns this entry's share of the adapter loads among `entries` live ones.
    #[must_use]
    pub fn adapter_share(&self, entries: usize) -> u32 {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        (self.adapter_loads / entries).max(1)
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            queue: 1_024,
            engine_slots: 32,
            adapter_loads: 50,
            retry_share: 100,
            retry_burst: 10,
            attempts: 4,
            silence: Duration::from_secs(5),
            cooldown: Duration::from_millis(500),
            cooldown_max: Duration::from_secs(15),
            adapter_load: Duration::from_millis(10),
            prefill_rate: 8,
            zone_distance: Duration::from_micros(1_500),
            admission: true,
            policy: Policy::default(),
        }
    }
}

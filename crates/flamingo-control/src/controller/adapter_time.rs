//! Estimates how long engines take to load an adapter.
//!
//! Engines do not report how long an adapter takes to load, and the time grows with the number of loads
//! in progress. A request that is sent before its adapter is loaded is rejected, and most requests may
//! be sent to one target only; a longer wait than needed adds latency.

use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that is assumed for a model without a miss so far.
const INITIAL_DELAY: Duration = Duration::from_millis(12);
/// Longest time that is waited for an adapter.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// Factor by which a request that came too early raises the time.
const MISS_FACTOR: f64 = 1.5;
/// Factor by which each further load lowers the time. About 81 loads (ln 1.5 / -ln 0.995) undo one miss,
/// so about one load in eighty is too early.
const LOAD_FACTOR: f64 = 0.995;

/// The model of a service whose adapters are loaded.
pub type Key = (id::Service, id::Model);

/// The time that the adapters of one model take.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    delay: Duration,
    /// When a miss last raised the delay.
    raised_at: Option<Instant>,
}

/// The times that the adapters of each model take, from requests that came too early.
///
/// ```
/// use flamingo_control::controller::adapter_time::AdapterTimes;
/// use std::time::Instant;
///
/// let mut times = AdapterTimes::default();
/// let key = ("llm".to_owned(), "m".to_owned());
/// let before = times.delay(&key);
/// times.record_miss(&key, Instant::now());
/// assert!(times.delay(&key) > before);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdapterTimes {
    estimates: BTreeMap<Key, Estimate>,
}

impl AdapterTimes {
    /// Returns the time after which an adapter of the model counts as loaded.
    #[must_use]
    pub fn delay(&self, key: &Key) -> Duration {
        let estimate = self.estimates.get(key);
        estimate.map_or(INITIAL_DELAY, |estimate| estimate.delay)
    }

    /// Returns the shortest and the longest learned time of each service with a miss so far.
    ///
    /// ```
    /// use flamingo_control::controller::adapter_time::AdapterTimes;
    /// use std::time::Instant;
    ///
    /// let mut times = AdapterTimes::default();
    /// assert!(times.ranges().is_empty());
    /// let key = ("llm".to_owned(), "m".to_owned());
    /// times.record_miss(&key, Instant::now());
    /// assert_eq!(times.ranges()["llm"], (times.delay(&key), times.delay(&key)));
    /// ```
    #[must_use]
    pub fn ranges(&self) -> BTreeMap<&str, (Duration, Duration)> {
        let mut ranges = BTreeMap::new();
        for ((service, _), estimate) in &self.estimates {
            let delay = estimate.delay;
            let (least, most) = ranges.entry(service.as_str()).or_insert((delay, delay));
            *least = delay.min(*least);
            *most = delay.max(*most);
        }
        ranges
    }

    /// Records that an engine did not have an adapter after the wait. Requests that were rejected after
    /// the same wait count once.
    pub fn record_miss(&mut self, key: &Key, now: Instant) {
        let estimate = self.estimates.entry(key.clone()).or_insert(Estimate {
            delay: INITIAL_DELAY,
            raised_at: None,
        });
        let counted = estimate
            .raised_at
            .is_some_and(|raised_at| now < raised_at + estimate.delay);
        if counted {
            return;
        }
        estimate.delay = estimate.delay.mul_f64(MISS_FACTOR).min(MAX_DELAY);
        estimate.raised_at = Some(now);
    }

    /// Records that an adapter of the model was loaded.
    pub fn record_load(&mut self, key: &Key) {
        if let Some(estimate) = self.estimates.get_mut(key) {
            estimate.delay = estimate.delay.mul_f64(LOAD_FACTOR).max(INITIAL_DELAY);
        }
    }
}

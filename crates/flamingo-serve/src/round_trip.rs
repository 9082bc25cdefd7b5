//! Round trips from this entry to the availability zones, measured by the time to connect.
//!
//! Establishing a TCP connection takes one round trip and no work of the target. The least time of
//! the last seconds leaves out delays of busy processes.

use flamingo_wire::id;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Additional round trip that is assumed for another zone before any connection was established.
const PRIOR: Duration = Duration::from_millis(10);
/// Time for which a least time is kept; it holds for one to two of these.
const WINDOW: Duration = Duration::from_secs(10);
/// Connections in a row that fail before a zone counts as unreachable. One may be due to its target.
const MAX_FAILURES: u32 = 2;
/// Time after a failed connection for which a zone counts as unreachable.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Largest number of zones that are measured. Targets state their zone themselves.
const MAX_ZONES: usize = 64;

/// Measurements of one zone.
#[derive(Clone, Copy, Debug)]
struct Samples {
    least: Option<Duration>,
    previous_least: Option<Duration>,
    window_end: Instant,
    failures: u32,
    failed_at: Instant,
}

/// Round trips by zone.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    zones: HashMap<id::Zone, Samples>,
}

impl RoundTrips {
    /// Records the time in which a connection to a target in `zone` was established.
    ///
    /// ```
    /// use flamingo_serve::round_trip::RoundTrips;
    /// use std::time::{Duration, Instant};
    ///
    /// let mut round_trips = RoundTrips::default();
    /// assert_eq!(round_trips.additional("a", "b"), Duration::from_millis(10));
    /// round_trips.record("a", Duration::from_millis(1), Instant::now());
    /// round_trips.record("b", Duration::from_millis(3), Instant::now());
    /// assert_eq!(round_trips.additional("a", "b"), Duration::from_millis(2));
    /// ```
    pub fn record(&mut self, zone: &str, time: Duration, now: Instant) {
        let Some(samples) = self.samples(zone, now) else {
            return;
        };
        if now >= samples.window_end {
            samples.previous_least = samples.least.take();
            samples.window_end = now + WINDOW;
        }
        let least = samples.least.unwrap_or(time);
        samples.least = Some(least.min(time));
    }

    /// Records that a target in `zone` has answered.
    pub fn record_answer(&mut self, zone: &str) {
        if let Some(samples) = self.zones.get_mut(zone) {
            samples.failures = 0;
        }
    }

    /// Records that a target in `zone` could not be reached.
    pub fn record_failure(&mut self, zone: &str, now: Instant) {
        if let Some(samples) = self.samples(zone, now) {
            samples.failures += 1;
            samples.failed_at = now;
        }
    }

    /// Returns how much longer a round trip to `zone` is than one within the zone `home`.
    #[must_use]
    pub fn additional(&self, home: &str, zone: &str) -> Duration {
        if home == zone {
            return Duration::ZERO;
        }
        let within = self.least(home).unwrap_or_default();
        let least = self.least(zone);
        least.map_or(PRIOR, |least| least.saturating_sub(within))
    }

    /// Returns whether the last connections to targets in `zone` failed a short time ago.
    #[must_use]
    pub fn is_unreachable(&self, zone: &str, now: Instant) -> bool {
        self.zones.get(zone).is_some_and(|samples| {
            samples.failures >= MAX_FAILURES && now < samples.failed_at + FAILURE_BACKOFF
        })
    }

    fn least(&self, zone: &str) -> Option<Duration> {
        let samples = self.zones.get(zone)?;
        let known = samples.least.into_iter().chain(samples.previous_least);
        known.min()
    }

    /// Returns the measurements of a zone; `None` if too many zones are measured.
    fn samples(&mut self, zone: &str, now: Instant) -> Option<&mut Samples> {
        if !self.zones.contains_key(zone) {
            if self.zones.len() >= MAX_ZONES {
                return None;
            }
            let samples = Samples {
                least: None,
                previous_least: None,
                window_end: now + WINDOW,
                failures: 0,
                failed_at: now,
            };
            self.zones.insert(zone.to_owned(), samples);
        }
        self.zones.get_mut(zone)
    }
}

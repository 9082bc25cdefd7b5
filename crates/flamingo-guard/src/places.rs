//! What one entry sends to a brittle target while it reaches no leader.
//!
//! Answers the load of [`room`](crate::room) without a count over all entries. Each request that a target
//! has taken leaves its place to the next one of the same entry, so that all entries together have no more
//! there than the leader had granted. Further places are won by lot: in each interval an entry may try one
//! with a small probability, so that the tries of all entries together stay well within the rejections that
//! the target bears. Lots are not saved up.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Time for which a place is kept that was left while the leader answered: it may be granted to another
/// entry meanwhile.
const LED_RETENTION: Duration = Duration::from_millis(300);
/// Time for which a place is kept that was left since.
const OWN_RETENTION: Duration = Duration::from_secs(3);
/// Largest number of places that are kept.
const MAX_PLACES: u32 = 64;
/// Interval for which a lot is drawn.
const LOT_INTERVAL: Duration = Duration::from_millis(100);
/// Tries of all entries together, as a part of the rejections that the target bears.
const TRIED_PART: f64 = 0.2;
/// Number of intervals among which the next lot is looked for.
const LOOKAHEAD: u64 = 20;
/// Questions a second about one target for which room is asked: many entries wait longer each.
const QUESTIONS_PER_S: u32 = 25;
/// Shortest and longest time between two questions of one entry about a full target.
const ASK_AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(4));

/// Returns the time after which each of so many entries asks again for room at a full target.
///
/// ```
/// use flamingo_guard::places::ask_again;
/// use std::time::Duration;
///
/// assert_eq!(ask_again(1), Duration::from_millis(100));
/// assert_eq!(ask_again(40), Duration::from_millis(1_600));
/// ```
#[must_use]
pub fn ask_again(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let time = Duration::from_secs(entries.into()) / QUESTIONS_PER_S;
    time.clamp(ASK_AGAIN.0, ASK_AGAIN.1)
}

/// The places of one entry at one brittle target.
#[derive(Clone, Debug)]
pub struct Places {
    free: u32,
    left_at: Option<Instant>,
    /// Since when the entry decides without a leader; `None` while a leader answers.
    alone_since: Option<Instant>,
    seed: u64,
    begun_at: Instant,
    /// The interval whose lot is used up.
    used: Option<u64>,
}

impl Places {
    /// Returns no places. `seed` must differ between entries and between targets.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            free: 0,
            left_at: None,
            alone_since: None,
            seed,
            begun_at: now,
            used: None,
        }
    }

    /// Records that a request has ended that the target had taken.
    ///
    /// ```
    /// use flamingo_guard::places::Places;
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut places = Places::new(7, now);
    /// assert!(places.try_take(0.0, 40, now).is_err());
    /// places.leave(now);
    /// assert_eq!(places.try_take(0.0, 40, now), Ok(()));
    /// ```
    pub fn leave(&mut self, now: Instant) {
        let kept = if self.is_kept(now) { self.free } else { 0 };
        self.free = (kept + 1).min(MAX_PLACES);
        self.left_at = Some(now);
    }

    /// Records that the leader has granted a request, which takes a place that the entry has left.
    pub fn record_granted(&mut self) {
        self.free = self.free.saturating_sub(1);
        self.alone_since = None;
    }

    /// Records that the leader has found no room.
    pub fn record_full(&mut self) {
        self.alone_since = None;
    }

    /// Returns whether the entry decides without a leader.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.alone_since.is_some()
    }

    /// Takes a place without a leader, where `entries` send to a target that bears `rejections_per_s`.
    ///
    /// # Errors
    ///
    /// Returns when to ask again.
    pub fn try_take(
        &mut self,
        rejections_per_s: f64,
        entries: usize,
        now: Instant,
    ) -> Result<(), Instant> {
        self.alone_since.get_or_insert(now);
        if self.free > 0 && self.is_kept(now) {
            self.free -= 1;
            return Ok(());
        }
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let tries_per_s = rejections_per_s * TRIED_PART / f64::from(entries);
        let probability = tries_per_s * LOT_INTERVAL.as_secs_f64();
        let interval = self.interval(now);
        if self.used != Some(interval) && self.lot(interval) < probability {
            self.used = Some(interval);
            return Ok(());
        }
        let mut later = interval + 1..interval + LOOKAHEAD;
        let next = later.find(|interval| self.lot(*interval) < probability);
        Err(self.start_of(next.unwrap_or(interval + LOOKAHEAD)))
    }

    fn is_kept(&self, now: Instant) -> bool {
        let Some(left_at) = self.left_at else {
            return false;
        };
        let alone = self.alone_since.is_some_and(|since| left_at >= since);
        let retention = if alone { OWN_RETENTION } else { LED_RETENTION };
        now < left_at + retention
    }

    fn interval(&self, now: Instant) -> u64 {
        let intervals =
            now.saturating_duration_since(self.begun_at).as_millis() / LOT_INTERVAL.as_millis();
        u64::try_from(intervals).unwrap_or(u64::MAX)
    }

    fn start_of(&self, interval: u64) -> Instant {
        let interval = u32::try_from(interval).unwrap_or(u32::MAX);
        self.begun_at + LOT_INTERVAL * interval
    }

    /// Returns the lot of an interval, uniformly distributed between 0 and 1.
    fn lot(&self, interval: u64) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, interval).hash(&mut hasher);
        let bits = u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX);
        f64::from(bits) / f64::from(u32::MAX)
    }
}

//! Keeps the requests that all entries together send to a target within the limit that it names.
//!
//! Answers one load: a target in need names the requests a second that it takes from all entries
//! together, while many entries send to it. The leader hands out permits, one a request, so that one
//! count holds for all entries. An entry that reaches no leader takes its part of the limit by the
//! number of entries.
//!
//! Buckets begin empty: what was sent before the limit was known, or under another leader, is not
//! known here.

use flamingo_wire::id;
use flamingo_wire::target::Limit;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Least rate of permits, in requests a second: a target that names less would not be asked again
/// whether it still does.
const MIN_PER_S: f64 = 0.1;
/// Requests that may be sent at once after a time without any.
const BURST: f64 = 2.0;
/// Longest time that a request is told to wait, also where a target takes no requests.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Time for which a limit is believed after a sender last heard it from the target.
const LIMIT_RETENTION: Duration = Duration::from_secs(2);
/// Time after which the bucket of a limit that nobody names any more is dropped.
const BUCKET_RETENTION: Duration = Duration::from_mins(1);
/// Largest number of buckets; further targets get no permits.
pub const MAX_BUCKETS: usize = 4_096;

/// A token bucket, which begins empty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    per_s: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    /// Returns an empty bucket that gains `per_s` permits a second.
    #[must_use]
    pub fn new(per_s: f64, now: Instant) -> Self {
        Self {
            per_s: per_s.max(0.0),
            tokens: 0.0,
            at: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.fill(now);
        self.per_s = per_s.max(0.0);
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// Returns when the next permit can be there.
    ///
    /// ```
    /// use flamingo_guard::permits::Bucket;
    /// use std::time::{Duration, Instant};
    ///
    /// let start = Instant::now();
    /// let mut bucket = Bucket::new(2.0, start);
    /// assert_eq!(bucket.try_take(start), Err(start + Duration::from_millis(500)));
    /// assert_eq!(bucket.try_take(start + Duration::from_millis(500)), Ok(()));
    /// ```
    pub fn try_take(&mut self, now: Instant) -> Result<(), Instant> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing_s = (1.0 - self.tokens) / self.per_s;
        let wait = Duration::try_from_secs_f64(missing_s).unwrap_or(MAX_WAIT);
        Err(now + wait.min(MAX_WAIT))
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at);
        self.tokens = (self.tokens + self.per_s * elapsed.as_secs_f64()).min(BURST);
        self.at = now;
    }
}

/// The limit of one incarnation of a target.
#[derive(Debug)]
struct Record {
    bucket: Bucket,
    per_s: f64,
    /// When an entry last said that the target names it.
    named_at: Instant,
}

/// The permits that the leader hands out.
#[derive(Debug, Default)]
pub struct Permits {
    records: HashMap<(id::Target, id::Incarnation), Record>,
}

impl Permits {
    /// Takes a permit to send one request to a target. `named` is the limit in the newest response
    /// that the sender has from it; without one, the limit that others have heard lately holds.
    ///
    /// # Errors
    ///
    /// Returns when the next permit can be there.
    pub fn try_take(
        &mut self,
        target: &str,
        incarnation: id::Incarnation,
        named: Option<f64>,
        now: Instant,
    ) -> Result<(), Instant> {
        self.remove_expired(now);
        let key = (target.to_owned(), incarnation);
        if let Some(per_s) = named {
            let full = self.records.len() >= MAX_BUCKETS;
            if full && !self.records.contains_key(&key) {
                return Err(now + MAX_WAIT);
            }
            let record = self.records.entry(key.clone()).or_insert_with(|| Record {
                bucket: Bucket::new(per_s.max(MIN_PER_S), now),
                per_s,
                named_at: now,
            });
            record.bucket.set_rate(per_s.max(MIN_PER_S), now);
            record.per_s = per_s;
            record.named_at = now;
        }
        match self.records.get_mut(&key) {
            Some(record) if now < record.named_at + LIMIT_RETENTION => record.bucket.try_take(now),
            _ => Ok(()),
        }
    }

    /// Returns the limits that entries have heard lately, by target.
    #[must_use]
    pub fn limits(&self, now: Instant) -> Vec<(id::Target, Limit)> {
        let records = self.records.iter();
        let named = records.filter(|(_, record)| now < record.named_at + LIMIT_RETENTION);
        named
            .map(|((target, incarnation), record)| {
                let limit = Limit {
                    incarnation: *incarnation,
                    per_s: record.per_s,
                };
                (target.clone(), limit)
            })
            .collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.records
            .retain(|_, record| now < record.named_at + BUCKET_RETENTION);
    }
}

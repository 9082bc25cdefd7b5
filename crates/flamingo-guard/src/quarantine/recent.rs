//! Answers that were reported lately, whether or not a crash had made them of interest.
//!
//! Entries report a crash later than the answers of the same time: an entry under load, or one that has first
//! to find out whether a target has crashed, takes seconds. The answers since the crash have been reported by
//! then.

use super::Key;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which answers are kept: as long as an entry that was isolated may need to find out whether a
/// target has crashed.
const RETENTION: Duration = Duration::from_secs(10);
/// Length of the intervals in which answers are counted together; also the longest time between an answer and
/// its report.
const INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of parts or requests whose answers are kept; those of further ones are not.
const MAX_KEYS: usize = 16_384;

/// Answers that were reported within one interval.
#[derive(Clone, Copy, Debug)]
struct Answers {
    count: u32,
    /// When the first of them was reported.
    since: Instant,
}

/// The answers of the last seconds, by part or request.
#[derive(Debug, Default)]
pub(super) struct Recent {
    /// Those of each key in the order of their reports.
    answers: HashMap<Key, SmallVec<[Answers; 1]>>,
    expire_at: Option<Instant>,
}

impl Recent {
    /// Adds reported answers.
    pub fn add(&mut self, key: Key, count: u32, now: Instant) {
        self.remove_expired(now);
        if self.answers.len() >= MAX_KEYS && !self.answers.contains_key(&key) {
            return;
        }
        let answers = self.answers.entry(key).or_default();
        match answers.last_mut() {
            Some(last) if now < last.since + INTERVAL => {
                last.count = last.count.saturating_add(count);
            }
            _ => answers.push(Answers { count, since: now }),
        }
    }

    /// Returns how many of the answers to a part or request were given after `at`.
    pub fn since(&self, key: &Key, at: Instant) -> u32 {
        let answers = self.answers.get(key).into_iter().flatten();
        let since = answers.filter(|answers| answers.since > at + INTERVAL);
        since
            .map(|answers| answers.count)
            .fold(0, u32::saturating_add)
    }

    /// Removes the answers of earlier times, once in each interval.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.expire_at.is_some_and(|at| now < at) {
            return;
        }
        self.expire_at = Some(now + INTERVAL);
        self.answers.retain(|_, answers| {
            answers.retain(|answers| now < answers.since + RETENTION);
            !answers.is_empty()
        });
    }
}

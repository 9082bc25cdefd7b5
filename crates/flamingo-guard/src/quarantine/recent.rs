//! Answers that were reported lately, whether or not a crash had made them of interest.
//!
//! Entries report a crash later than the answers of the same time: an entry under load, or one that has first
//! to find out whether a target has crashed, takes a second or more. The answers since the crash have been
//! reported by then.

use super::Key;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which answers are kept: the usual delay of a report of a crash.
const RETENTION: Duration = Duration::from_secs(3);
/// Longest time between an answer and its report.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// Largest number of reported answers that are kept; the oldest are dropped.
const MAX_ANSWERS: usize = 8_192;

/// Answers of one report to one part or request.
#[derive(Debug)]
struct Answers {
    key: Key,
    count: u32,
    reported_at: Instant,
}

/// The answers of the last seconds.
#[derive(Debug, Default)]
pub(super) struct Recent {
    /// In the order of their reports.
    answers: VecDeque<Answers>,
}

impl Recent {
    /// Adds reported answers.
    pub fn add(&mut self, key: Key, count: u32, now: Instant) {
        self.remove_expired(now);
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(Answers {
            key,
            count,
            reported_at: now,
        });
    }

    /// Returns how many of the answers to a part or request were given after `at`.
    pub fn since(&self, key: &Key, at: Instant) -> u32 {
        let answers = self.answers.iter().rev();
        let since = answers.take_while(|answers| answers.reported_at > at + REPORT_DELAY);
        let counts = since
            .filter(|answers| answers.key == *key)
            .map(|answers| answers.count);
        counts.fold(0, u32::saturating_add)
    }

    /// Removes the answers of earlier times.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_expired = |answers: &Answers| now >= answers.reported_at + RETENTION;
        while self.answers.front().is_some_and(is_expired) {
            self.answers.pop_front();
        }
    }
}

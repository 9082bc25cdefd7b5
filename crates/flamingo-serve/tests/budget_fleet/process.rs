//! The pure parts of one entry process that decide on retries.

use crate::fleet::Word;
use flamingo_serve::budget::{Allowance, Budget};
use flamingo_serve::sharers::Sharers;
use flamingo_serve::stillness::Stillness;
use std::time::Instant;

#[derive(Debug)]
pub struct Process {
    budget: Budget,
    sharers: Sharers,
    stillness: Stillness,
}

impl Process {
    pub fn new(allowance: Allowance, now: Instant) -> Self {
        Self {
            budget: Budget::new(allowance),
            sharers: Sharers::new(allowance.window),
            stillness: Stillness::new(now),
        }
    }

    pub fn receive(&mut self, word: Word, now: Instant) {
        if word.leader == Some(word.from) {
            self.sharers.record(word.entries, now);
        }
    }

    pub fn beat(&mut self, now: Instant) {
        self.stillness.beat(now);
    }

    pub fn record_request(&mut self, now: Instant) {
        if !self.stillness.catches_up(now) {
            self.budget.record_request(now);
        }
    }

    pub fn try_retry(&mut self, now: Instant) -> bool {
        let sharers = self.sharers.count(now);
        self.budget.try_retry(now, sharers).is_ok()
    }
}

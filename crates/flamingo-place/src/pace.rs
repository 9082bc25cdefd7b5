//! Limits of the store and the budget of moves.

use crate::plan::Wish;
use flamingo_wire::config::Placement;
use flamingo_wire::place::Action;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);

/// What was started lately.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// Loads of the last second.
    loads: VecDeque<Instant>,
    /// Moves of the last hour for the sake of demand.
    moves: VecDeque<Instant>,
}

impl Pace {
    /// Returns how many loads may start now while `loading` are under way.
    #[must_use]
    pub fn loads(&self, placement: &Placement, loading: usize, now: Instant) -> usize {
        let started = since(&self.loads, now, SECOND);
        let start = count(placement.loads_per_second).saturating_sub(started);
        let at_once = count(placement.loads_at_once).saturating_sub(loading);
        start.min(at_once)
    }

    /// Returns how many moves for the sake of demand the budget still allows.
    #[must_use]
    pub fn moves(&self, placement: &Placement, now: Instant) -> usize {
        let spent = since(&self.moves, now, HOUR);
        count(placement.moves_per_hour).saturating_sub(spent)
    }

    /// Notes an order that is given.
    pub fn note(&mut self, wish: &Wish, now: Instant) {
        if matches!(wish.action, Action::Load(_)) {
            push(&mut self.loads, now, SECOND);
        }
        if wish.spends {
            push(&mut self.moves, now, HOUR);
        }
    }
}

fn push(list: &mut VecDeque<Instant>, now: Instant, span: Duration) {
    while list.front().is_some_and(|first| *first + span <= now) {
        list.pop_front();
    }
    list.push_back(now);
}

fn since(list: &VecDeque<Instant>, now: Instant, span: Duration) -> usize {
    list.iter().filter(|at| **at + span > now).count()
}

fn count(value: u32) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

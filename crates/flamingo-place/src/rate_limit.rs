//! Rate limits: loads from the weight store, and the budget of moves that follow demand.

use crate::plan::PlannedOrder;
use flamingo_wire::config::Placement;
use flamingo_wire::place::Action;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);

/// Loads and moves that were started within the windows of the limits.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    /// Starts of loads within the last second.
    loads: VecDeque<Instant>,
    /// Starts of moves within the last hour that use the budget.
    moves: VecDeque<Instant>,
}

impl RateLimit {
    /// Returns how many loads may start now while `loading` loads are in progress.
    #[must_use]
    pub fn available_loads(&self, placement: &Placement, loading: usize, now: Instant) -> usize {
        let started = since(&self.loads, now, SECOND);
        let per_second = count(placement.loads_per_second).saturating_sub(started);
        let at_once = count(placement.loads_at_once).saturating_sub(loading);
        per_second.min(at_once)
    }

    /// Returns how many moves the hourly budget still allows.
    #[must_use]
    pub fn available_moves(&self, placement: &Placement, now: Instant) -> usize {
        let used = since(&self.moves, now, HOUR);
        count(placement.moves_per_hour).saturating_sub(used)
    }

    /// Counts an order that is given at `now`.
    pub fn record(&mut self, order: &PlannedOrder, now: Instant) {
        if matches!(order.action, Action::Load(_)) {
            push(&mut self.loads, now, SECOND);
        }
        if order.uses_move_budget {
            push(&mut self.moves, now, HOUR);
        }
    }
}

fn push(list: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while list.front().is_some_and(|first| *first + window <= now) {
        list.pop_front();
    }
    list.push_back(now);
}

fn since(list: &VecDeque<Instant>, now: Instant, window: Duration) -> usize {
    list.iter().filter(|at| **at + window > now).count()
}

fn count(value: u32) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

//! Decides which loads the leader publishes: all of them once a second, and in between those that
//! have changed. In a large fleet most targets' loads stay the same from one push to the next.

use flamingo_wire::control::Push;
use flamingo_wire::id;
use flamingo_wire::target::{Limit, Load};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval in which all loads are published, for followers that missed a change.
pub const COMPLETE_INTERVAL: Duration = Duration::from_secs(1);

/// The loads that the followers have.
#[derive(Debug, Default)]
pub struct PublishedLoads {
    loads: BTreeMap<id::Target, Load>,
    /// When all loads are published next; `None` before the first time.
    complete_due: Option<Instant>,
}

impl PublishedLoads {
    /// Returns the push that brings the followers from the loads published last to `loads` with
    /// `limits`, or `None` if nothing has changed.
    ///
    /// ```
    /// use flamingo_control::controller::published_loads::PublishedLoads;
    /// use flamingo_wire::control::Push;
    /// use flamingo_wire::target::Load;
    /// use std::time::Instant;
    ///
    /// let load = |target: &str, running| Load {
    ///     target: target.into(),
    ///     running,
    ///     ..Load::default()
    /// };
    /// let now = Instant::now();
    /// let mut published = PublishedLoads::default();
    /// let first = published.next_push(vec![load("a", 1), load("b", 1)], Vec::new(), now);
    /// assert!(matches!(first, Some(Push::Loads(loads)) if loads.len() == 2));
    /// let second = published.next_push(vec![load("a", 2), load("b", 1)], Vec::new(), now);
    /// assert_eq!(second, Some(Push::LoadChanges(vec![load("a", 2)])));
    /// ```
    pub fn next_push(
        &mut self,
        loads: Vec<Load>,
        limits: Vec<(id::Target, Limit)>,
        now: Instant,
    ) -> Option<Push> {
        let loads = with_limits(loads, limits);
        let former = std::mem::replace(&mut self.loads, loads);
        if self.complete_due.is_none_or(|due| now >= due) {
            self.complete_due = Some(now + COMPLETE_INTERVAL);
            return Some(Push::Loads(self.loads.values().cloned().collect()));
        }
        let loads = self.loads.values();
        let differing = loads.filter(|load| former.get(&load.target) != Some(*load));
        let mut changes: Vec<Load> = differing.cloned().collect();
        let ended = former.into_keys();
        let ended = ended.filter(|target| !self.loads.contains_key(target));
        changes.extend(ended.map(idle));
        (!changes.is_empty()).then_some(Push::LoadChanges(changes))
    }
}

/// Returns the loads by target, with the limits that targets have named.
fn with_limits(loads: Vec<Load>, limits: Vec<(id::Target, Limit)>) -> BTreeMap<id::Target, Load> {
    let loads = loads.into_iter();
    let mut loads: BTreeMap<_, _> = loads.map(|load| (load.target.clone(), load)).collect();
    for (target, limit) in limits {
        let load = loads.entry(target.clone());
        load.or_insert_with(|| idle(target)).limit = Some(limit);
    }
    loads
}

/// Returns the load of a target that has none.
fn idle(target: id::Target) -> Load {
    Load {
        target,
        ..Load::default()
    }
}

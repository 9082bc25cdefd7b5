//! What a control instance keeps to relay the pushes of the others: which of them it reaches, and the
//! newest residency and load of each target for followers that subscribe later.

use flamingo_wire::control::{Push, Relayed};
use flamingo_wire::id;
use flamingo_wire::target::{Load, Registration, Residency};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without a push after which another control instance counts as not reached. Pushes come at
/// least every half second.
pub const REACH_TIMEOUT: Duration = Duration::from_secs(1);

/// Age from which on loads are not given to a new follower: their leader publishes no more.
const LOADS_TIMEOUT: Duration = Duration::from_secs(2);

/// The other control instances whose state and pushes arrive here.
#[derive(Debug, Default)]
pub(super) struct Reach {
    heard_at: BTreeMap<SocketAddr, Instant>,
    published: Vec<SocketAddr>,
}

impl Reach {
    /// Records a push of an instance. It counts as reached from its first state on.
    pub(super) fn record(&mut self, origin: SocketAddr, is_state: bool, now: Instant) {
        if is_state || self.heard_at.contains_key(&origin) {
            self.heard_at.insert(origin, now);
        }
    }

    /// Removes an instance, since its stream has ended.
    pub(super) fn remove(&mut self, origin: SocketAddr) {
        self.heard_at.remove(&origin);
    }

    /// Returns the instances that are reached now.
    pub(super) fn current(&self, now: Instant) -> Vec<SocketAddr> {
        let heard = self.heard_at.iter();
        heard
            .filter(|(_, heard_at)| now < **heard_at + REACH_TIMEOUT)
            .map(|(origin, _)| *origin)
            .collect()
    }

    /// Returns the instances that are reached now, if that has changed since the last call.
    pub(super) fn take_change(&mut self, now: Instant) -> Option<Vec<SocketAddr>> {
        let current = self.current(now);
        if current == self.published {
            return None;
        }
        self.published.clone_from(&current);
        Some(current)
    }
}

/// The newest residency of each target.
#[derive(Debug, Default)]
pub(super) struct Residencies {
    newest: BTreeMap<id::Target, (Residency, Instant)>,
}

impl Residencies {
    /// Records residencies that this instance or another one has published.
    pub(super) fn record(&mut self, residencies: &[Residency], now: Instant) {
        for residency in residencies {
            let key = residency.target.clone();
            self.newest.insert(key, (residency.clone(), now));
        }
    }

    /// Drops the residency of a target whose registration overrides it, by the rule by which entries
    /// apply the two.
    pub(super) fn apply(&mut self, known: Option<&Registration>, registration: &Registration) {
        let Some((residency, _)) = self.newest.get(&registration.id) else {
            return;
        };
        let is_other = residency.incarnation != registration.incarnation;
        let is_changed = known.is_none_or(|known| known.models != registration.models);
        if registration.gone || is_other || is_changed && !residency.executing {
            self.newest.remove(&registration.id);
        }
    }

    /// Returns the newest residencies, as they are at `now`.
    pub(super) fn newest(&self, now: Instant) -> Vec<Residency> {
        let newest = self.newest.values();
        newest
            .map(|(residency, at)| aged(residency, now.saturating_duration_since(*at)))
            .collect()
    }

    /// Drops the residencies of targets that `is_known` does not know.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.newest.retain(|target, _| is_known(target));
    }
}

/// The load of each target, as the leader published it. A new follower would otherwise miss the loads
/// that stay as they are until all are published again.
#[derive(Debug, Default)]
pub(super) struct LoadTotals {
    /// The leader; `None` where this instance leads.
    origin: Option<SocketAddr>,
    recorded_at: Option<Instant>,
    loads: BTreeMap<id::Target, Load>,
}

impl LoadTotals {
    /// Records loads that the leader at `origin` has published.
    pub(super) fn record(&mut self, origin: Option<SocketAddr>, push: &Push, now: Instant) {
        let loads = match push {
            Push::Loads(loads) => {
                self.loads.clear();
                loads
            }
            // Changes of another leader's loads can't be applied.
            Push::LoadChanges(loads) if self.origin == origin => loads,
            _ => return,
        };
        self.origin = origin;
        self.recorded_at = Some(now);
        for load in loads {
            self.loads.insert(load.target.clone(), load.clone());
        }
    }

    /// Returns the push that gives all loads to a new follower.
    pub(super) fn current(&self, now: Instant) -> Option<Push> {
        self.recorded_at.filter(|at| now < *at + LOADS_TIMEOUT)?;
        let all = Push::Loads(self.loads.values().cloned().collect());
        let push = match self.origin {
            Some(origin) => {
                let push = Box::new(all);
                Push::Relayed(Relayed { origin, push })
            }
            None => all,
        };
        Some(push)
    }
}

/// Returns a residency with the time that a load still takes after `age`.
fn aged(residency: &Residency, age: Duration) -> Residency {
    let mut residency = residency.clone();
    if let Some(loading) = &mut residency.loading {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        loading.remaining_ms = loading.remaining_ms.saturating_sub(age_ms);
    }
    residency
}

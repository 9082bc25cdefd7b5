//! The targets, indexed by what they serve, and the choice among them.
//!
//! A choice looks at the prefix-affine target and two random ones (power of two
//! choices, Mitzenmacher 2001), then at a bounded number of others where these
//! have no room; its cost does not grow with the fleet.

use crate::action::Candidate;
use crate::limit::{Limit, Policy};
use crate::request::{Admitted, Pool};
use crate::ring::Ring;
use crate::target::Target;
use flamingo_wire::announce::Announcement;
use flamingo_wire::config::Set;
use flamingo_wire::id;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Targets looked at where the first candidates have no room.
const SCAN: usize = 16;

/// Numbers of the candidates for one request.
type Numbers = SmallVec<[usize; 3]>;

#[derive(Debug, Default)]
struct Members {
    numbers: Vec<usize>,
    ring: Ring,
    turn: usize,
}

/// What a choice depends on besides the targets.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Instant,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// The bounds.
    pub limit: &'a Limit,
    /// The configuration.
    pub set: &'a Set,
    /// Admitted entries that share the targets.
    pub entries: usize,
    /// Whether another adapter load may begin.
    pub may_load: bool,
}

/// The outcome of a choice.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Number of the chosen target.
    pub number: usize,
    /// The targets weighed.
    pub candidates: SmallVec<[Candidate; 3]>,
    /// Predicted time to the first token.
    pub predicted: Duration,
}

/// All known targets.
#[derive(Debug)]
pub struct Fleet {
    targets: Vec<Option<Target>>,
    names: HashMap<id::Target, usize>,
    free: Vec<usize>,
    pools: HashMap<Pool, Members>,
    random: ChaCha8Rng,
}

impl Fleet {
    /// Builds an empty fleet whose random choices come from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            targets: Vec::new(),
            names: HashMap::new(),
            free: Vec::new(),
            pools: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns a random number below 2^64 from the seed.
    pub fn random(&mut self) -> u64 {
        self.random.next_u64()
    }

    /// Takes an announcement if it is newer; returns the target's number if it was.
    pub fn update(&mut self, known: Announcement, drained: bool) -> Option<usize> {
        let name = known.target.clone();
        let Some(number) = self.names.get(&name).copied() else {
            let target = Target::new(known, drained);
            let pools = target.pools();
            let number = self.free.pop().unwrap_or(self.targets.len());
            if number == self.targets.len() {
                self.targets.push(None);
            }
            self.targets[number] = Some(target);
            self.names.insert(name, number);
            self.join(number, &pools);
            return Some(number);
        };
        let target = self.targets[number].as_mut()?;
        if !known.supersedes(&target.known) {
            return None;
        }
        let before = target.pools();
        target.update(known);
        let after = target.pools();
        if before != after {
            self.leave(number, &before);
            self.join(number, &after);
        }
        Some(number)
    }

    /// Forgets the target `name`.
    pub fn remove(&mut self, name: &str) {
        let Some(number) = self.names.remove(name) else {
            return;
        };
        let Some(target) = self.targets[number].take() else {
            return;
        };
        self.leave(number, &target.pools());
        if target.own() == 0 {
            // Attempts still in flight refer to the number, which then stays unused.
            self.free.push(number);
        }
    }

    /// Returns the number of the target `name`.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the target with this number.
    #[must_use]
    pub fn get(&self, number: usize) -> Option<&Target> {
        self.targets.get(number)?.as_ref()
    }

    /// Returns the target with this number.
    pub fn get_mut(&mut self, number: usize) -> Option<&mut Target> {
        self.targets.get_mut(number)?.as_mut()
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().flatten()
    }

    /// Sets which targets are drained.
    pub fn drain(&mut self, drained: &[id::Target]) {
        for target in self.targets.iter_mut().flatten() {
            target.drained = drained.contains(&target.known.target);
        }
    }

    /// Returns whether any target serves `pool`, with room or without.
    #[must_use]
    pub fn serves(&self, pool: &Pool) -> bool {
        let members = self.pools.get(pool);
        members.is_some_and(|members| !members.numbers.is_empty())
    }

    /// Returns the number of targets that serve `pool`.
    #[must_use]
    pub fn size(&self, pool: &Pool) -> usize {
        self.pools
            .get(pool)
            .map_or(0, |members| members.numbers.len())
    }

    /// Returns the numbers of the targets that serve `pool`.
    #[must_use]
    pub fn members(&self, pool: &Pool) -> Vec<usize> {
        let members = self.pools.get(pool);
        members.map_or_else(Vec::new, |members| members.numbers.clone())
    }

    /// Chooses a target with room for `live`.
    pub fn select(&mut self, live: &Admitted, view: View<'_>) -> Option<Selection> {
        let first = match view.limit.policy {
            Policy::Affine => self.sample(live, true),
            Policy::TwoChoices => self.sample(live, false),
            Policy::LeastInFlight => self
                .pools
                .get(&live.pool)?
                .numbers
                .iter()
                .copied()
                .collect(),
            Policy::RoundRobin => self.turn(&live.pool)?,
        };
        let chosen = self.best(live, &first, view);
        chosen.or_else(|| {
            let more = self.scan(&live.pool);
            self.best(live, &more, view)
        })
    }

    /// Returns whether the numbered target can take `live` now.
    #[must_use]
    pub fn fits(&self, number: usize, live: &Admitted, view: View<'_>) -> bool {
        let Some(target) = self.get(number) else {
            return false;
        };
        let room = match &live.pool {
            Pool::Model(_) => view.limit.engine_slots,
            Pool::Service(name) => view.set.service(name).map_or(1, |one| one.concurrency),
        };
        let allowed = target.allowance(room, view.entries);
        if !target.takes(view.now) || target.own() >= allowed {
            return false;
        }
        match (&live.pool, &live.adapter) {
            (Pool::Model(model), Some(adapter)) => {
                view.may_load || target.adapted(model, adapter, view.now)
            }
            _ => true,
        }
    }

    fn best(&self, live: &Admitted, numbers: &[usize], view: View<'_>) -> Option<Selection> {
        let mut candidates = SmallVec::new();
        let mut best: Option<(bool, Duration, u32, usize)> = None;
        for number in numbers {
            if !self.fits(*number, live, view) {
                continue;
            }
            let target = self.get(*number)?;
            let predicted = target.predict(live, view.zone, view.limit, view.now);
            let again = live.failed.contains(&target.known.target);
            let busy = target.busy();
            candidates.push(Candidate {
                target: target.known.target.clone(),
                predicted,
            });
            let score = match view.limit.policy {
                Policy::Affine | Policy::TwoChoices => (again, predicted, busy, *number),
                Policy::LeastInFlight => (again, Duration::ZERO, busy, *number),
                Policy::RoundRobin => (again, Duration::ZERO, 0, *number),
            };
            if best.is_none_or(|best| score < best) {
                best = Some(score);
            }
        }
        let (_, _, _, number) = best?;
        let target = self.get(number)?;
        let predicted = target.predict(live, view.zone, view.limit, view.now);
        Some(Selection {
            number,
            candidates,
            predicted,
        })
    }

    fn sample(&mut self, live: &Admitted, affine: bool) -> Numbers {
        let mut numbers = Numbers::new();
        let Some(members) = self.pools.get(&live.pool) else {
            return numbers;
        };
        let key = live.affinity().filter(|_| affine);
        numbers.extend(key.and_then(|key| members.ring.find(key)));
        let count = members.numbers.len();
        for _ in 0..2 {
            if count > 0 {
                let number = members.numbers[index(self.random.next_u64(), count)];
                if !numbers.contains(&number) {
                    numbers.push(number);
                }
            }
        }
        numbers
    }

    fn scan(&mut self, pool: &Pool) -> SmallVec<[usize; SCAN]> {
        let Some(members) = self.pools.get(pool) else {
            return SmallVec::new();
        };
        let count = members.numbers.len();
        let start = index(self.random.next_u64(), count.max(1));
        let around = members.numbers.iter().cycle().skip(start);
        around.take(count.min(SCAN)).copied().collect()
    }

    fn turn(&mut self, pool: &Pool) -> Option<Numbers> {
        let members = self.pools.get_mut(pool)?;
        members.turn += 1;
        let number = members
            .numbers
            .get(members.turn % members.numbers.len().max(1))?;
        Some(Numbers::from_slice(&[*number]))
    }

    fn join(&mut self, number: usize, pools: &[Pool]) {
        for pool in pools {
            let members = self.pools.entry(pool.clone()).or_default();
            members.numbers.push(number);
            self.rebuild(pool);
        }
    }

    fn leave(&mut self, number: usize, pools: &[Pool]) {
        for pool in pools {
            if let Some(members) = self.pools.get_mut(pool) {
                members.numbers.retain(|one| *one != number);
            }
            self.rebuild(pool);
        }
    }

    fn rebuild(&mut self, pool: &Pool) {
        let Some(members) = self.pools.get_mut(pool) else {
            return;
        };
        let targets = &self.targets;
        let named = members.numbers.iter().filter_map(|number| {
            let target = targets.get(*number)?.as_ref()?;
            Some((target.known.target.as_str(), *number))
        });
        members.ring = Ring::build(named);
    }
}

fn index(random: u64, count: usize) -> usize {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    usize::try_from(random % count).unwrap_or(0)
}

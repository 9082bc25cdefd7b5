//! The known targets, indexed by pool, and the selection of one for a request.
//!
//! The selection compares the target that consistent hashing gives for the request
//! and two random ones (power of two choices, Mitzenmacher 2001). If none of them
//! has a free slot, it compares a bounded number of others, so that its cost does
//! not grow with the number of targets.

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

/// Maximum number of targets examined when the first candidates have no free slot.
const MAX_SCAN: usize = 16;

/// Indices of the candidates for one request.
type Indices = SmallVec<[usize; 3]>;

#[derive(Debug, Default)]
struct PoolTargets {
    indices: Vec<usize>,
    ring: Ring,
    next: usize,
}

/// Inputs of a selection besides the request and the targets.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Current time.
    pub now: Instant,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// Limits of the router.
    pub limit: &'a Limit,
    /// Configuration in force.
    pub set: &'a Set,
    /// Number of live entries that share the targets.
    pub entries: usize,
    /// Whether this entry may start another adapter load.
    pub may_load: bool,
}

/// Outcome of a selection.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Index of the chosen target.
    pub index: usize,
    /// Targets that were compared.
    pub candidates: SmallVec<[Candidate; 3]>,
    /// Predicted time to the first token at the chosen target.
    pub predicted: Duration,
}

/// All known targets; a target keeps its index until it is removed.
#[derive(Debug)]
pub struct Fleet {
    targets: Vec<Option<Target>>,
    by_name: HashMap<id::Target, usize>,
    free_indices: Vec<usize>,
    pools: HashMap<Pool, PoolTargets>,
    random: ChaCha8Rng,
}

impl Fleet {
    /// Creates an empty fleet whose random choices come from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            targets: Vec::new(),
            by_name: HashMap::new(),
            free_indices: Vec::new(),
            pools: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the next random number of the generator, uniform below 2^64.
    pub fn next_random(&mut self) -> u64 {
        self.random.next_u64()
    }

    /// Applies an announcement; returns the index of the target, or `None` if a newer
    /// announcement is known already.
    pub fn update(&mut self, announcement: Announcement, drained: bool) -> Option<usize> {
        let name = announcement.target.clone();
        let Some(index) = self.by_name.get(&name).copied() else {
            let target = Target::new(announcement, drained);
            let pools = target.pools();
            let index = self.free_indices.pop().unwrap_or(self.targets.len());
            if index == self.targets.len() {
                self.targets.push(None);
            }
            self.targets[index] = Some(target);
            self.by_name.insert(name, index);
            self.add_to_pools(index, &pools);
            return Some(index);
        };
        let target = self.targets[index].as_mut()?;
        if !announcement.supersedes(&target.announcement) {
            return None;
        }
        let before = target.pools();
        target.update(announcement);
        let after = target.pools();
        if before != after {
            self.remove_from_pools(index, &before);
            self.add_to_pools(index, &after);
        }
        Some(index)
    }

    /// Removes the target `name`.
    pub fn remove(&mut self, name: &str) {
        let Some(index) = self.by_name.remove(name) else {
            return;
        };
        let Some(target) = self.targets[index].take() else {
            return;
        };
        self.remove_from_pools(index, &target.pools());
        if target.own_requests() == 0 {
            // An index that attempts in flight still refer to is never reused.
            self.free_indices.push(index);
        }
    }

    /// Returns the index of the target `name`; `None` if it is unknown.
    #[must_use]
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Returns the target at `index`; `None` if it was removed.
    #[must_use]
    pub fn get(&self, index: usize) -> Option<&Target> {
        self.targets.get(index)?.as_ref()
    }

    /// Returns the target at `index`; `None` if it was removed.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut Target> {
        self.targets.get_mut(index)?.as_mut()
    }

    /// Iterates over all known targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().flatten()
    }

    /// Marks the targets in `drained` as drained and all others as not drained.
    pub fn set_drained(&mut self, drained: &[id::Target]) {
        for target in self.targets.iter_mut().flatten() {
            target.drained = drained.contains(&target.announcement.target);
        }
    }

    /// Returns whether any target serves `pool`, with a free slot or without.
    #[must_use]
    pub fn serves(&self, pool: &Pool) -> bool {
        let group = self.pools.get(pool);
        group.is_some_and(|group| !group.indices.is_empty())
    }

    /// Returns the number of targets that serve `pool`.
    #[must_use]
    pub fn target_count(&self, pool: &Pool) -> usize {
        self.pools.get(pool).map_or(0, |group| group.indices.len())
    }

    /// Returns the indices of the targets that serve `pool`.
    #[must_use]
    pub fn pool_targets(&self, pool: &Pool) -> Vec<usize> {
        let group = self.pools.get(pool);
        group.map_or_else(Vec::new, |group| group.indices.clone())
    }

    /// Selects a target for `admitted` by the configured policy; `None` if none of the
    /// examined targets can take the request.
    pub fn select(&mut self, admitted: &Admitted, context: Context<'_>) -> Option<Selection> {
        let first = match context.limit.policy {
            Policy::Affine => self.sample(admitted, true),
            Policy::TwoChoices => self.sample(admitted, false),
            Policy::LeastInFlight => self
                .pools
                .get(&admitted.pool)?
                .indices
                .iter()
                .copied()
                .collect(),
            Policy::RoundRobin => self.round_robin(&admitted.pool)?,
        };
        let chosen = self.best(admitted, &first, context);
        chosen.or_else(|| {
            let more = self.scan(&admitted.pool);
            self.best(admitted, &more, context)
        })
    }

    /// Returns whether the target at `index` accepts work, has a slot for this entry and has
    /// the adapter of `admitted` or may load it.
    #[must_use]
    pub fn can_take(&self, index: usize, admitted: &Admitted, context: Context<'_>) -> bool {
        let Some(target) = self.get(index) else {
            return false;
        };
        let capacity = match &admitted.pool {
            Pool::Model(_) => context.limit.engine_slots,
            Pool::Service(name) => context
                .set
                .service(name)
                .map_or(1, |service| service.concurrency),
        };
        let allowed = target.allowance(capacity, context.entries);
        if !target.accepts_work(context.now) || target.own_requests() >= allowed {
            return false;
        }
        match (&admitted.pool, &admitted.adapter) {
            (Pool::Model(model), Some(adapter)) => {
                context.may_load || target.has_adapter(model, adapter, context.now)
            }
            _ => true,
        }
    }

    fn best(
        &self,
        admitted: &Admitted,
        indices: &[usize],
        context: Context<'_>,
    ) -> Option<Selection> {
        let mut candidates = SmallVec::new();
        let mut best: Option<(bool, Duration, u32, usize)> = None;
        for index in indices {
            if !self.can_take(*index, admitted, context) {
                continue;
            }
            let target = self.get(*index)?;
            let predicted = target.predict(admitted, context.zone, context.limit, context.now);
            let failed_before = admitted.failed.contains(&target.announcement.target);
            let load = target.estimated_requests();
            candidates.push(Candidate {
                target: target.announcement.target.clone(),
                predicted,
            });
            let score = match context.limit.policy {
                Policy::Affine | Policy::TwoChoices => (failed_before, predicted, load, *index),
                Policy::LeastInFlight => (failed_before, Duration::ZERO, load, *index),
                Policy::RoundRobin => (failed_before, Duration::ZERO, 0, *index),
            };
            if best.is_none_or(|best| score < best) {
                best = Some(score);
            }
        }
        let (_, _, _, index) = best?;
        let target = self.get(index)?;
        let predicted = target.predict(admitted, context.zone, context.limit, context.now);
        Some(Selection {
            index,
            candidates,
            predicted,
        })
    }

    fn sample(&mut self, admitted: &Admitted, affine: bool) -> Indices {
        let mut indices = Indices::new();
        let Some(group) = self.pools.get(&admitted.pool) else {
            return indices;
        };
        let key = admitted.affinity().filter(|_| affine);
        indices.extend(key.and_then(|key| group.ring.find(key)));
        let count = group.indices.len();
        for _ in 0..2 {
            if count > 0 {
                let index = group.indices[random_index(self.random.next_u64(), count)];
                if !indices.contains(&index) {
                    indices.push(index);
                }
            }
        }
        indices
    }

    fn scan(&mut self, pool: &Pool) -> SmallVec<[usize; MAX_SCAN]> {
        let Some(group) = self.pools.get(pool) else {
            return SmallVec::new();
        };
        let count = group.indices.len();
        let start = random_index(self.random.next_u64(), count.max(1));
        let around = group.indices.iter().cycle().skip(start);
        around.take(count.min(MAX_SCAN)).copied().collect()
    }

    fn round_robin(&mut self, pool: &Pool) -> Option<Indices> {
        let group = self.pools.get_mut(pool)?;
        group.next += 1;
        let index = group.indices.get(group.next % group.indices.len().max(1))?;
        Some(Indices::from_slice(&[*index]))
    }

    fn add_to_pools(&mut self, index: usize, pools: &[Pool]) {
        for pool in pools {
            let group = self.pools.entry(pool.clone()).or_default();
            group.indices.push(index);
            self.rebuild_ring(pool);
        }
    }

    fn remove_from_pools(&mut self, index: usize, pools: &[Pool]) {
        for pool in pools {
            if let Some(group) = self.pools.get_mut(pool) {
                group.indices.retain(|other| *other != index);
            }
            self.rebuild_ring(pool);
        }
    }

    fn rebuild_ring(&mut self, pool: &Pool) {
        let Some(group) = self.pools.get_mut(pool) else {
            return;
        };
        let targets = &self.targets;
        let named = group.indices.iter().filter_map(|index| {
            let target = targets.get(*index)?.as_ref()?;
            Some((target.announcement.target.as_str(), *index))
        });
        group.ring = Ring::build(named);
    }
}

fn random_index(random: u64, count: usize) -> usize {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    usize::try_from(random % count).unwrap_or(0)
}

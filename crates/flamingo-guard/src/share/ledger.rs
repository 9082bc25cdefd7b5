//! What the leader knows of the work of workspaces, and who is above its share where room is short.
//!
//! Addresses the load of one workspace that takes the room of the others.

use super::Pool;
use super::level::level;
use flamingo_wire::id;
use flamingo_wire::share::{Limit, Use};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant in which work is forgotten. It bounds credit and debt: who was idle, or sent too much,
/// is judged by its last second only.
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the work that lacks room from which on room counts as short. Entries see loads late, so
/// single requests find long queues also while there is room.
const SHORT_PART: f64 = 0.02;
/// Time after that for which room still counts as short: while limits hold, little lacks room.
const SHORT_TIME: Duration = Duration::from_secs(1);
/// Part by which a workspace may exceed its share without being limited: it may be chance.
const TOLERANCE: f64 = 0.05;
/// Work of a workspace, in milliseconds of an engine, below which it is forgotten.
const MIN_WORK_MS: f64 = 0.1;
/// Largest number of limits that are published, those on the most work beyond a share first.
const MAX_LIMITS: usize = 24;
/// Change of a limit, in thousandths, that is published before `MAX_INTERVAL` has passed.
const MIN_CHANGE: u16 = 50;
/// Shortest and longest time between two publications while there are limits; far shorter than the
/// time for which entries use them.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// Work of one workspace over about `WINDOW`, in milliseconds of an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    admitted: f64,
    refused: f64,
    pressed: f64,
    begun: f64,
}

impl Work {
    fn asked(&self) -> f64 {
        self.admitted + self.refused
    }

    fn lacking(&self) -> f64 {
        self.refused + self.pressed
    }
}

/// The workspaces that compete for one capacity.
#[derive(Debug, Default)]
struct Contention {
    works: BTreeMap<id::Workspace, Work>,
    /// Whether work that lacks room was reported since the last judgement. The figures of a past shortage
    /// keep their ratio while they decay.
    lacks_room: bool,
    /// Until when room counts as short; `None` if it was not short so far.
    short_until: Option<Instant>,
}

impl Contention {
    fn decay(&mut self, factor: f64) {
        self.works.retain(|_, work| {
            work.admitted *= factor;
            work.refused *= factor;
            work.pressed *= factor;
            work.begun *= factor;
            work.asked() + work.begun > MIN_WORK_MS
        });
    }

    /// Returns whether room is short. Where one workspace is alone, nobody has to be protected.
    fn is_short(&mut self, now: Instant) -> bool {
        let asked: f64 = self.works.values().map(Work::asked).sum();
        let lacking: f64 = self.works.values().map(Work::lacking).sum();
        if std::mem::take(&mut self.lacks_room) && lacking >= asked * SHORT_PART {
            self.short_until = Some(now + SHORT_TIME);
        }
        self.works.len() > 1 && self.short_until.is_some_and(|until| now < until)
    }

    /// Returns the share that each workspace can have; `None` if all can have what they ask for. What
    /// targets have begun lately is the capacity: they have queues. What was let in is more while queues
    /// grow.
    fn level(&self) -> Option<f64> {
        let capacity = self.works.values().map(|work| work.begun).sum();
        level(self.works.values().map(Work::asked), capacity)
    }
}

/// A workspace that is above its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Excess {
    /// What is published of it.
    pub limit: Limit,
    /// Work that it asks for, in milliseconds of an engine a second.
    pub asked: f64,
    /// Work beyond its share.
    pub beyond: f64,
}

/// The work of all workspaces during one leadership.
///
/// ```
/// use flamingo_guard::share::ledger::Ledger;
/// use flamingo_wire::share::Use;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let report = |workspace: &str, admitted, refused| Use {
///     workspace: workspace.into(),
///     service: "s".into(),
///     admitted,
///     refused,
///     begun: admitted,
///     ..Use::default()
/// };
/// let mut ledger = Ledger::new(now);
/// ledger.record(&[report("a", 300, 0), report("b", 500, 700)]);
/// let limits = ledger.publish(now + Duration::from_millis(100)).unwrap();
/// assert_eq!(limits.len(), 1);
/// assert_eq!((limits[0].workspace.as_str(), limits[0].permille), ("b", 417));
/// ```
#[derive(Debug)]
pub struct Ledger {
    pools: BTreeMap<Pool, Contention>,
    decayed_at: Instant,
    /// What was published last, and when; empty before the first.
    published: Vec<Limit>,
    published_at: Option<Instant>,
    excesses: Vec<Excess>,
}

impl Ledger {
    /// Returns the ledger of a leadership that begins now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            pools: BTreeMap::new(),
            decayed_at: now,
            published: Vec::new(),
            published_at: None,
            excesses: Vec::new(),
        }
    }

    /// Adds what an entry reports. Work counts for its model and for the whole service, whose models
    /// may share targets.
    pub fn record(&mut self, uses: &[Use]) {
        for record in uses {
            let models = [None, record.model.clone()];
            let pools = if record.model.is_some() { 2 } else { 1 };
            for model in models.into_iter().take(pools) {
                let pool = Pool {
                    service: record.service.clone(),
                    model,
                    rank: record.rank,
                };
                let contention = self.pools.entry(pool).or_default();
                contention.lacks_room |= record.refused > 0 || record.pressed > 0;
                let work = contention
                    .works
                    .entry(record.workspace.clone())
                    .or_default();
                work.admitted += f64::from(record.admitted);
                work.refused += f64::from(record.refused);
                work.pressed += f64::from(record.pressed);
                work.begun += f64::from(record.begun);
            }
        }
    }

    /// Returns the limits to publish; `None` if the last ones stand. Must be called every few hundred
    /// milliseconds.
    pub fn publish(&mut self, now: Instant) -> Option<Vec<Limit>> {
        let since = self.published_at;
        if since.is_some_and(|at| now < at + MIN_INTERVAL) {
            return None;
        }
        self.decay(now);
        self.excesses = self.find_excesses(now);
        let limits: Vec<Limit> = self
            .excesses
            .iter()
            .map(|excess| excess.limit.clone())
            .collect();
        let is_due = since.is_none_or(|at| now >= at + MAX_INTERVAL);
        let is_repeated = !limits.is_empty() && is_due;
        if !is_repeated && is_similar(&self.published, &limits) {
            return None;
        }
        self.published.clone_from(&limits);
        self.published_at = Some(now);
        Some(limits)
    }

    /// Returns the workspaces that were above their share when it was last judged.
    #[must_use]
    pub fn excesses(&self) -> &[Excess] {
        &self.excesses
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.decayed_at);
        self.decayed_at = now;
        let factor = (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.pools.retain(|_, contention| {
            contention.decay(factor);
            !contention.works.is_empty()
        });
    }

    /// Returns the workspaces above their share, in the order of pools and names.
    fn find_excesses(&mut self, now: Instant) -> Vec<Excess> {
        let mut excesses = Vec::new();
        for (pool, contention) in &mut self.pools {
            if !contention.is_short(now) {
                continue;
            }
            let Some(level) = contention.level() else {
                continue;
            };
            let works = contention.works.iter();
            let above = works.filter(|(_, work)| work.asked() > level * (1.0 + TOLERANCE));
            excesses.extend(above.map(|(workspace, work)| excess(pool, workspace, work, level)));
        }
        if excesses.len() > MAX_LIMITS {
            excesses.sort_by(|a, b| b.beyond.total_cmp(&a.beyond));
            excesses.truncate(MAX_LIMITS);
            excesses.sort_by(|a, b| key(&a.limit).cmp(&key(&b.limit)));
        }
        excesses
    }
}

fn excess(pool: &Pool, workspace: &str, work: &Work, level: f64) -> Excess {
    let permille = (level / work.asked() * 1_000.0).round();
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 0 and 1,000, and saturates"
    )]
    let permille = permille as u16;
    Excess {
        limit: Limit {
            workspace: workspace.to_owned(),
            rank: pool.rank,
            service: pool.service.clone(),
            model: pool.model.clone(),
            permille,
        },
        asked: work.asked(),
        beyond: work.asked() - level,
    }
}

fn key(limit: &Limit) -> (&str, Option<&str>, u8, &str) {
    let model = limit.model.as_deref();
    (&limit.service, model, limit.rank, &limit.workspace)
}

/// Returns whether both limit the same workspaces to about the same parts.
fn is_similar(published: &[Limit], limits: &[Limit]) -> bool {
    let mut pairs = published.iter().zip(limits);
    published.len() == limits.len()
        && pairs.all(|(a, b)| key(a) == key(b) && a.permille.abs_diff(b.permille) < MIN_CHANGE)
}

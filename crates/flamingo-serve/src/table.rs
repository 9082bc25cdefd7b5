//! The targets as one entry knows them: their words, what they hold, and their load.

use crate::pace::Pace;
use crate::wire::{Load, Part, Piece};
use flamingo_place::rate::Rate;
use flamingo_wire::control::Push;
use flamingo_wire::id;
use flamingo_wire::route::Rank;
use flamingo_wire::target::{self, Backlog, RANKS, Registration, Residency, Resident};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Silence after which a target is taken only where no other is left; several heartbeats.
const SILENT: Duration = Duration::from_secs(4);
/// Silence after which a target is forgotten.
const FORGET: Duration = Duration::from_secs(30);
/// Time for which a target that failed once is taken only where no other is left; it
/// doubles with each further failure.
const AVOID: Duration = Duration::from_millis(500);
/// Doublings of that time at most.
const DOUBLINGS: u32 = 4;
/// Time for which a target that lacked a model is not asked for it again.
const LACK: Duration = Duration::from_millis(300);
/// Part of a target's memory for prompts that is taken to keep what was read last.
const KEPT: f64 = 0.6;
/// Time after which a prompt that was sent tells a third as much of what is sent.
const FLOW: Duration = Duration::from_secs(1);
/// Prompt parts remembered for one target.
const PARTS: usize = 4_096;

/// Requests that were sent to a target and have not ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Requests that were sent.
    pub running: u32,
    /// Tokens of prompts of which no first event has come, by rank.
    pub reading: Backlog,
}

impl Work {
    /// Returns the tokens that are read before those of a request of `rank`.
    #[must_use]
    pub fn before(&self, rank: Rank) -> u32 {
        self.reading[..=bucket(rank)].iter().sum()
    }

    /// Counts tokens of a prompt that waits.
    pub fn wait(&mut self, rank: Rank, tokens: u32) {
        self.reading[bucket(rank)] += tokens;
    }

    /// Counts tokens of a prompt that waits no more.
    pub fn read(&mut self, rank: Rank, tokens: u32) {
        let waiting = &mut self.reading[bucket(rank)];
        *waiting = waiting.saturating_sub(tokens);
    }
}

/// Returns the place of a rank among those that are told apart.
fn bucket(rank: Rank) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// A part of a prompt under a model and adapter.
type Key = (u64, Part);

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its newest word.
    pub registration: Registration,
    /// Models that it holds, by its own word or that of the holder of its orders.
    pub models: Vec<Resident>,
    /// Requests of this entry.
    pub own: Work,
    /// Requests of the other entries, as control last told.
    pub others: Work,
    /// Whether it carries out an order, and takes no adapter meanwhile.
    pub moving: bool,
    /// Adapters that requests of this entry use, with their number.
    used: BTreeMap<(id::Model, id::Adapter), u32>,
    /// Requests of this entry, as it last told the leader.
    told: Work,
    heard: Instant,
    avoided: Option<Instant>,
    /// Failures since it last answered.
    failures: u32,
    lacks: HashMap<id::Model, Instant>,
    /// Tokens read so far, and their count when a part was last read.
    read: u64,
    parts: HashMap<Key, u64>,
}

impl Target {
    fn new(registration: Registration, now: Instant) -> Self {
        Self {
            models: registration.models.clone(),
            registration,
            own: Work::default(),
            others: Work::default(),
            moving: false,
            used: BTreeMap::new(),
            told: Work::default(),
            heard: now,
            avoided: None,
            failures: 0,
            lacks: HashMap::new(),
            read: 0,
            parts: HashMap::new(),
        }
    }

    /// Returns whether it may take new requests.
    #[must_use]
    pub fn open(&self) -> bool {
        !self.registration.leaving && !self.registration.gone
    }

    /// Returns whether it holds `model`.
    #[must_use]
    pub fn holds(&self, model: &str, now: Instant) -> bool {
        let lacked = self.lacks.get(model).is_some_and(|until| now < *until);
        !lacked && self.models.iter().any(|held| held.model == model)
    }

    /// Returns whether it holds `adapter` of `model`.
    #[must_use]
    pub fn adapted(&self, model: &str, adapter: &str) -> bool {
        let held = self.models.iter().find(|held| held.model == model);
        held.is_some_and(|held| held.adapters.iter().any(|known| known == adapter))
    }

    /// Counts a request that uses an adapter of it.
    pub fn begin(&mut self, model: &str, adapter: &str) {
        let key = (model.to_owned(), adapter.to_owned());
        *self.used.entry(key).or_default() += 1;
    }

    /// Counts a request that used an adapter of it no more.
    pub fn end(&mut self, model: &str, adapter: &str) {
        let key = (model.to_owned(), adapter.to_owned());
        let count = self.used.remove(&key).unwrap_or(0);
        if count > 1 {
            self.used.insert(key, count - 1);
        }
    }

    fn used(&self) -> Vec<Resident> {
        let used = self.used.keys().map(|(model, adapter)| Resident {
            model: model.clone(),
            adapters: vec![adapter.clone()],
        });
        used.collect()
    }

    /// Returns whether it failed a short time ago.
    #[must_use]
    pub fn avoided(&self, now: Instant) -> bool {
        self.avoided.is_some_and(|until| now < until)
    }

    /// Returns how many tokens at the beginning of a prompt it is taken to keep.
    #[must_use]
    pub fn kept(&self, space: u64, pieces: &[Piece], capacity: u64) -> u32 {
        #[allow(clippy::cast_precision_loss, reason = "an estimate")]
        let reach = capacity as f64 * KEPT;
        let mut kept = 0;
        for piece in pieces {
            let Some(read) = self.parts.get(&(space, piece.part)) else {
                break;
            };
            #[allow(clippy::cast_precision_loss, reason = "an estimate")]
            let since = (self.read - read) as f64;
            if since > reach {
                break;
            }
            kept += piece.tokens;
        }
        kept
    }

    /// Notes that a prompt was sent to it, of which it has to read `fresh` tokens.
    pub fn reads(&mut self, space: u64, pieces: &[Piece], fresh: u32) {
        self.read += u64::from(fresh);
        if self.parts.len() > PARTS {
            self.parts.clear();
        }
        for piece in pieces {
            self.parts.insert((space, piece.part), self.read);
        }
    }
}

/// The targets of all services.
#[derive(Debug, Default)]
pub struct Table {
    targets: BTreeMap<id::Target, Target>,
    paces: HashMap<id::Service, Pace>,
    /// Tokens of prompts that this entry sends: what it sends tells what the others do, which
    /// all see the same target as the least busy one until their figures are renewed.
    flows: HashMap<id::Service, HashMap<id::Model, Rate>>,
    /// When any control instance was last heard.
    fed: Option<Instant>,
}

impl Table {
    /// Takes what a control instance tells of targets; returns those whose
    /// connections are of no more use.
    pub fn take(&mut self, now: Instant, push: &Push) -> Vec<id::Target> {
        self.fed = Some(now);
        let mut ended = Vec::new();
        match push {
            Push::Targets(registrations) => {
                for registration in registrations {
                    ended.extend(self.hear(now, registration));
                }
            }
            Push::Unchanged(ids) => {
                for id in ids {
                    if let Some(target) = self.targets.get_mut(id) {
                        target.heard = now;
                    }
                }
            }
            Push::Residency(holdings) => {
                for holding in holdings {
                    self.hold(holding);
                }
            }
            Push::Loads(loads) => self.share(loads),
            _ => {}
        }
        ended
    }

    /// Takes the requests of all entries together; those of this one are taken off.
    fn share(&mut self, loads: &[target::Load]) {
        let loads: HashMap<&str, &target::Load> = loads
            .iter()
            .map(|load| (load.target.as_str(), load))
            .collect();
        for (id, target) in &mut self.targets {
            let load = loads.get(id.as_str());
            let all = load.map_or_else(Work::default, |load| Work {
                running: load.running,
                reading: load.backlog,
            });
            let mut others = Work {
                running: all.running.saturating_sub(target.told.running),
                reading: all.reading,
            };
            for (tokens, told) in others.reading.iter_mut().zip(target.told.reading) {
                *tokens = tokens.saturating_sub(told);
            }
            target.others = others;
        }
    }

    /// Returns this entry's requests for the leader.
    pub fn tell(&mut self) -> Vec<target::Load> {
        let mut loads = Vec::new();
        for target in self.targets.values_mut() {
            target.told = target.own;
            if target.own != Work::default() {
                loads.push(target::Load {
                    target: target.registration.id.clone(),
                    running: target.own.running,
                    backlog: target.own.reading,
                    adapters: target.used(),
                });
            }
        }
        loads
    }

    /// Takes a target's word; returns the target where it is a new one under an old name, or
    /// has gone.
    fn hear(&mut self, now: Instant, registration: &Registration) -> Option<id::Target> {
        let Some(known) = self.targets.get_mut(&registration.id) else {
            let target = Target::new(registration.clone(), now);
            self.targets.insert(registration.id.clone(), target);
            return None;
        };
        if !registration.supersedes(&known.registration) {
            return None;
        }
        known.heard = now;
        let restarted = known.registration.incarnation != registration.incarnation;
        if restarted {
            let fresh = Target::new(registration.clone(), now);
            let old = std::mem::replace(known, fresh);
            known.own = old.own;
            known.used = old.used;
            return Some(registration.id.clone());
        }
        // While a model makes way the target still lists it; the holder of orders tells what
        // requests may ask for.
        if !known.moving && known.registration.models != registration.models {
            known.models.clone_from(&registration.models);
        }
        known.registration = registration.clone();
        registration.gone.then(|| registration.id.clone())
    }

    fn hold(&mut self, holding: &Residency) {
        if let Some(target) = self.targets.get_mut(&holding.target)
            && target.registration.incarnation == holding.incarnation
        {
            target.models.clone_from(&holding.models);
            target.moving = holding.executing;
            target.lacks.clear();
        }
    }

    /// Returns whether a target has fallen silent, while control was heard.
    #[must_use]
    pub fn silent(&self, target: &Target) -> bool {
        self.fed.is_some_and(|fed| fed > target.heard + SILENT)
    }

    /// Forgets targets that were silent for long, and those that have gone.
    pub fn sweep(&mut self, now: Instant) {
        let fed = self.fed.unwrap_or(now);
        self.targets.retain(|_, target| {
            let gone = target.registration.gone && target.own.running == 0;
            let silent = fed > target.heard + FORGET;
            let past = gone && now > target.heard + FORGET;
            !past && !silent
        });
    }

    /// Returns the targets of a service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let targets = self.targets.values();
        targets.filter(move |target| target.registration.service == service)
    }

    /// Returns a target.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns a target, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.targets.get_mut(id)
    }

    /// Returns how fast the engines of a service read.
    #[must_use]
    pub fn pace(&self, service: &str) -> Pace {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// Returns how fast the engines of a service read, to be changed.
    pub fn pace_mut(&mut self, service: &str) -> &mut Pace {
        self.paces.entry(service.to_owned()).or_default()
    }

    /// Returns the tokens for a model that this entry sends in a millisecond.
    #[must_use]
    pub fn flow(&self, service: &str, model: &str, now: Instant) -> f64 {
        let flows = self.flows.get(service);
        let flow = flows.and_then(|flows| flows.get(model));
        flow.map_or(0.0, |flow| flow.at(now) / 1_000.0)
    }

    /// Counts the tokens of a prompt that this entry sends.
    pub fn sent(&mut self, service: &str, model: &str, tokens: u32, now: Instant) {
        let flows = self.flows.entry(service.to_owned()).or_default();
        let flow = flows.entry(model.to_owned());
        let flow = flow.or_insert_with(|| Rate::new(FLOW, now));
        flow.add(f64::from(tokens), now);
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Notes that a target could not be reached or broke off.
    pub fn failed(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            let doublings = target.failures.min(DOUBLINGS);
            target.failures += 1;
            target.avoided = Some(now + AVOID * 2u32.pow(doublings));
        }
    }

    /// Notes that a target answered.
    pub fn answered(&mut self, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.failures = 0;
            target.avoided = None;
        }
    }

    /// Notes that a target said that it lacks `model`.
    pub fn lacked(&mut self, id: &str, model: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.lacks.insert(model.to_owned(), now + LACK);
        }
    }

    /// Notes that a target holds an adapter.
    pub fn adapted(&mut self, id: &str, model: &str, adapter: &str) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.adapted(model, adapter) {
            return;
        }
        let held = target.models.iter_mut().find(|held| held.model == model);
        if let Some(held) = held {
            held.adapters.push(adapter.to_owned());
        }
    }

    /// Notes that a target said that it lacks an adapter.
    pub fn bared(&mut self, id: &str, model: &str, adapter: &str) {
        let target = self.targets.get_mut(id);
        let held = target.and_then(|target| {
            let mut models = target.models.iter_mut();
            models.find(|held| held.model == model)
        });
        if let Some(held) = held {
            held.adapters.retain(|known| known != adapter);
        }
    }

    /// Takes a target's own word on its load.
    pub fn loaded(&mut self, id: &str, load: Load) {
        if let Some(target) = self.targets.get_mut(id) {
            let all = load.running + load.waiting;
            target.others.running = all.saturating_sub(target.own.running);
        }
    }
}

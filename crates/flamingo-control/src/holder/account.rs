//! What one engine holds, as far as the holder of its orders knows.
//!
//! Every order that may still be carried out counts as carried out, so that an engine is
//! never told to take in more than it has room for.

use super::wire::{Operation, Order, Outcome, Report};
use flamingo_wire::id;
use flamingo_wire::target::{Registration, Residency, Resident};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which an adapter that was asked for is taken to be in use.
const FRESH: Duration = Duration::from_millis(400);

/// An adapter that an engine holds or may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Held {
    /// When it was last asked for.
    used: Instant,
    /// Whether it is there for sure.
    sure: bool,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Account {
    /// Its newest word.
    pub registration: Registration,
    /// Orders that it has taken; unknown until it was asked.
    sequence: Option<u64>,
    /// Whether it has to be asked before the next order.
    doubt: bool,
    /// Whether it said that it carries out an order.
    busy: bool,
    /// When the next move may begin, after one that failed.
    pub rest: Option<Instant>,
    /// The models that it holds or may hold, with their adapters.
    models: BTreeMap<id::Model, BTreeMap<id::Adapter, Held>>,
    /// A model that it is about to hold.
    pub loading: Option<id::Model>,
    /// A model that it is about to let go.
    pub leaving: Option<id::Model>,
    /// Whether a move is under way.
    pub moving: bool,
    /// Moves that it has begun: while nobody asks, it makes one copy ahead at most.
    pub moves: u32,
}

impl Account {
    /// Starts with what the engine said of itself.
    #[must_use]
    pub fn new(registration: Registration, now: Instant) -> Self {
        let mut account = Self {
            registration,
            sequence: None,
            doubt: false,
            busy: false,
            rest: None,
            models: BTreeMap::new(),
            loading: None,
            leaving: None,
            moving: false,
            moves: 0,
        };
        let models = account.registration.models.clone();
        account.adopt(&models, now);
        account
    }

    fn adopt(&mut self, models: &[Resident], now: Instant) {
        let mut fresh: BTreeMap<id::Model, BTreeMap<id::Adapter, Held>> = BTreeMap::new();
        for resident in models {
            let old = self.models.get(&resident.model);
            let adapters = resident.adapters.iter().map(|adapter| {
                let used = old
                    .and_then(|old| old.get(adapter))
                    .map_or(now, |held| held.used);
                (adapter.clone(), Held { used, sure: true })
            });
            fresh.insert(resident.model.clone(), adapters.collect());
        }
        self.models = fresh;
    }

    /// Returns the number of orders that it has taken, where that is known.
    #[must_use]
    pub fn sequence(&self) -> Option<u64> {
        self.sequence.filter(|_| !self.doubt)
    }

    /// Returns whether it takes no order for a model now.
    #[must_use]
    pub fn occupied(&self, now: Instant) -> bool {
        let rests = self.rest.is_some_and(|rest| now < rest);
        self.moving || self.busy || rests || self.sequence().is_none()
    }

    /// Takes the engine's own account, unless it is older than the last order. What was
    /// ordered without an answer and has not shown can't come any more where other orders
    /// were taken since. Returns whether it was taken in.
    pub fn reported(&mut self, report: &Report, now: Instant) -> bool {
        if self.sequence.is_some_and(|known| report.sequence < known) {
            return false;
        }
        self.doubt = false;
        self.busy = report.busy;
        let unclear: Vec<(id::Model, id::Adapter, Held)> = self
            .models
            .iter()
            .flat_map(|(model, adapters)| {
                let unsure = adapters.iter().filter(|(_, held)| !held.sure);
                unsure.map(|(adapter, held)| (model.clone(), adapter.clone(), *held))
            })
            .collect();
        let moved = self.sequence.is_some_and(|known| report.sequence > known);
        self.adopt(&report.models, now);
        for resident in &report.coming {
            let adapters = self.models.entry(resident.model.clone()).or_default();
            for adapter in &resident.adapters {
                let held = Held {
                    used: now,
                    sure: true,
                };
                adapters.entry(adapter.clone()).or_insert(held);
            }
        }
        if !moved {
            for (model, adapter, held) in unclear {
                let adapters = self.models.entry(model).or_default();
                adapters.entry(adapter).or_insert(held);
            }
        }
        self.sequence = Some(report.sequence);
        true
    }

    /// Takes what came of an order.
    pub fn settle(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        // An unused adapter goes at once; what is there already counts for nothing.
        let gone = outcome == Outcome::Holds && order.operation == Operation::Unload;
        if outcome == Outcome::Begun || gone {
            self.sequence = Some(order.expected + 1);
        }
        if matches!(outcome, Outcome::Unclear | Outcome::Conflict) {
            self.doubt = true;
        }
        if outcome == Outcome::Begun && order.adapter.is_none() {
            self.busy = true;
        }
        let taken = matches!(outcome, Outcome::Begun | Outcome::Holds);
        match (&order.adapter, order.operation) {
            (Some(adapter), Operation::Load) if taken || outcome == Outcome::Unclear => {
                let held = Held {
                    used: now,
                    sure: taken,
                };
                let adapters = self.models.entry(order.model.clone()).or_default();
                adapters.insert(adapter.clone(), held);
            }
            (Some(adapter), Operation::Unload) if taken => {
                if let Some(adapters) = self.models.get_mut(&order.model) {
                    adapters.remove(adapter);
                }
            }
            (None, Operation::Unload) if taken => {
                self.models.remove(&order.model);
            }
            _ => {}
        }
    }

    /// Notes that a model has been loaded.
    pub fn loaded(&mut self, model: &str) {
        self.models.entry(model.to_owned()).or_default();
    }

    /// Returns whether it holds a model that it is not about to let go.
    #[must_use]
    pub fn holds(&self, model: &str) -> bool {
        self.models.contains_key(model) && self.leaving.as_deref() != Some(model)
    }

    /// Returns whether it holds an adapter for sure, and notes that it is used.
    pub fn adapted(&mut self, model: &str, adapter: &str, now: Instant) -> bool {
        let adapters = self.models.get_mut(model);
        let held = adapters.and_then(|adapters| adapters.get_mut(adapter));
        held.is_some_and(|held| {
            held.used = now;
            held.sure
        })
    }

    /// Returns how many adapters it holds or may hold.
    #[must_use]
    pub fn adapters(&self) -> usize {
        self.models.values().map(BTreeMap::len).sum()
    }

    /// Returns the adapter that was asked for the longest ago, among those that no request
    /// uses.
    #[must_use]
    pub fn stale(&self, used: &[Resident], now: Instant) -> Option<(id::Model, id::Adapter)> {
        let in_use = |model: &str, adapter: &id::Adapter| {
            let mut used = used.iter().filter(|used| used.model == model);
            used.any(|used| used.adapters.contains(adapter))
        };
        let all = self.models.iter().flat_map(|(model, adapters)| {
            let idle = adapters.iter().filter(|(adapter, held)| {
                held.sure && now > held.used + FRESH && !in_use(model, adapter)
            });
            idle.map(move |(adapter, held)| (held.used, model, adapter))
        });
        let (_, model, adapter) = all.min()?;
        Some((model.clone(), adapter.clone()))
    }

    /// Returns the models that it holds or is about to hold.
    #[must_use]
    pub fn models(&self) -> Vec<id::Model> {
        let held = self.models.keys().filter(|model| self.holds(model));
        let mut models: Vec<_> = held.cloned().collect();
        if let Some(loading) = &self.loading
            && !models.contains(loading)
        {
            models.push(loading.clone());
        }
        models
    }

    /// Returns megabytes of weights and adapters that it holds or may hold.
    #[must_use]
    pub fn megabytes(&self, size: impl Fn(&str) -> (f64, f64)) -> f64 {
        let models = self.models.iter().map(|(model, adapters)| {
            let (weights, adapter) = size(model);
            let count = u32::try_from(adapters.len()).unwrap_or(u32::MAX);
            weights + adapter * f64::from(count)
        });
        models.sum()
    }

    /// Returns what the followers are told of it.
    #[must_use]
    pub fn holding(&self) -> Residency {
        let models = self.models.iter().filter(|(model, _)| self.holds(model));
        let models = models.map(|(model, adapters)| {
            let sure = adapters.iter().filter(|(_, held)| held.sure);
            Resident {
                model: model.clone(),
                adapters: sure.map(|(adapter, _)| adapter.clone()).collect(),
            }
        });
        Residency {
            target: self.registration.id.clone(),
            incarnation: self.registration.incarnation,
            models: models.collect(),
            executing: self.moving || self.busy,
        }
    }
}

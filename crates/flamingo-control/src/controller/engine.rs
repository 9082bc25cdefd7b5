//! State of one engine, as far as the controller knows it.
//!
//! An order that the engine may still execute counts as executed, so that the controller never
//! orders an engine to load more than its memory holds.

use super::engine_api::{Operation, Order, Outcome, Report};
use flamingo_wire::target::{Registration, Residency, Resident};
use flamingo_wire::{id, route};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after a request for an adapter in which the adapter counts as in use.
const ADAPTER_USE_GRACE: Duration = Duration::from_millis(400);

/// One incarnation of an engine, as one leadership knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// The engine.
    pub target: id::Target,
    /// Incarnation of the engine.
    pub incarnation: id::Incarnation,
    /// Fencing number of the leadership.
    pub fence: id::Fence,
}

/// An adapter that is resident or may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Adapter {
    /// When the adapter was last requested.
    last_used: Instant,
    /// Whether the adapter is resident for certain.
    confirmed: bool,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The newest registration that the engine sent.
    pub registration: Registration,
    /// Number of orders that the engine has accepted; `None` until its first report.
    sequence: Option<u64>,
    /// Whether a report is needed before the next order, because `sequence` may be outdated.
    uncertain: bool,
    /// Whether the engine is executing an order.
    executing: bool,
    /// When the newest report was applied.
    reported_at: Option<Instant>,
    /// When the next move may start, after a move that failed.
    pub backoff_until: Option<Instant>,
    /// The models that are resident or may be, with their adapters.
    models: BTreeMap<id::Model, BTreeMap<id::Adapter, Adapter>>,
    /// The model that the move in progress loads.
    pub loading: Option<id::Model>,
    /// The model that the move in progress unloads.
    pub unloading: Option<id::Model>,
    /// Whether a move is in progress.
    pub moving: bool,
    /// Number of moves started. While there is no demand, an engine prefetches at most one model.
    pub moves_started: u32,
}

impl EngineState {
    /// Starts with the models that the engine registered as resident.
    #[must_use]
    pub fn new(registration: Registration, now: Instant) -> Self {
        let mut engine_state = Self {
            registration,
            sequence: None,
            uncertain: false,
            executing: false,
            reported_at: None,
            backoff_until: None,
            models: BTreeMap::new(),
            loading: None,
            unloading: None,
            moving: false,
            moves_started: 0,
        };
        let models = engine_state.registration.models.clone();
        engine_state.replace_models(&models, now);
        engine_state
    }

    /// Replaces the resident models and adapters, and keeps when the adapters were last used.
    fn replace_models(&mut self, models: &[Resident], now: Instant) {
        let mut replaced: BTreeMap<id::Model, BTreeMap<id::Adapter, Adapter>> = BTreeMap::new();
        for resident in models {
            let old = self.models.get(&resident.model);
            let adapters = resident.adapters.iter().map(|adapter| {
                let last_used = old
                    .and_then(|old| old.get(adapter))
                    .map_or(now, |adapter| adapter.last_used);
                (
                    adapter.clone(),
                    Adapter {
                        last_used,
                        confirmed: true,
                    },
                )
            });
            replaced.insert(resident.model.clone(), adapters.collect());
        }
        self.models = replaced;
    }

    /// Returns the number of orders that the engine has accepted, or `None` where a report is
    /// needed before the next order.
    #[must_use]
    pub fn sequence(&self) -> Option<u64> {
        self.sequence.filter(|_| !self.uncertain)
    }

    /// Returns the key of this state under the leadership `fence`.
    #[must_use]
    pub fn key(&self, fence: id::Fence) -> Key {
        Key {
            target: self.registration.id.clone(),
            incarnation: self.registration.incarnation,
            fence,
        }
    }

    /// Returns the age of the newest report, or `None` before the first.
    #[must_use]
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let reported_at = self.reported_at?;
        Some(now.saturating_duration_since(reported_at))
    }

    /// Returns whether no move may start now: the engine moves or executes an order, backs off
    /// after a failed move, or has an unknown sequence.
    #[must_use]
    pub fn is_occupied(&self, now: Instant) -> bool {
        let backs_off = self.backoff_until.is_some_and(|until| now < until);
        self.moving || self.executing || backs_off || self.sequence().is_none()
    }

    /// Applies a report, unless it is older than the last order. Returns whether it was applied.
    ///
    /// An adapter whose load got no answer and that the report does not show is dropped where the
    /// engine has accepted other orders since: the late order then expects a past sequence and is
    /// refused.
    pub fn apply_report(&mut self, report: &Report, now: Instant) -> bool {
        if self
            .sequence
            .is_some_and(|sequence| report.sequence < sequence)
        {
            return false;
        }
        self.uncertain = false;
        self.reported_at = Some(now);
        self.executing = report.executing;
        let unconfirmed: Vec<(id::Model, id::Adapter, Adapter)> = self
            .models
            .iter()
            .flat_map(|(model, adapters)| {
                let unconfirmed = adapters.iter().filter(|(_, adapter)| !adapter.confirmed);
                unconfirmed.map(|(name, adapter)| (model.clone(), name.clone(), *adapter))
            })
            .collect();
        let advanced = self
            .sequence
            .is_some_and(|sequence| report.sequence > sequence);
        self.replace_models(&report.models, now);
        for resident in &report.loading {
            let adapters = self.models.entry(resident.model.clone()).or_default();
            for name in &resident.adapters {
                let adapter = Adapter {
                    last_used: now,
                    confirmed: true,
                };
                adapters.entry(name.clone()).or_insert(adapter);
            }
        }
        if !advanced {
            for (model, name, adapter) in unconfirmed {
                let adapters = self.models.entry(model).or_default();
                adapters.entry(name).or_insert(adapter);
            }
        }
        self.sequence = Some(report.sequence);
        true
    }

    /// Applies the outcome of an order.
    pub fn apply_outcome(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        // The unload of an unused adapter is done at once and counts as an accepted order. A load
        // of what is already resident does not count.
        let unloaded = outcome == Outcome::AlreadyDone && order.operation == Operation::Unload;
        if outcome == Outcome::Started || unloaded {
            self.sequence = Some(order.expected_sequence + 1);
        }
        if matches!(outcome, Outcome::Uncertain | Outcome::Conflict) {
            self.uncertain = true;
        }
        if outcome == Outcome::Started && order.adapter.is_none() {
            self.executing = true;
        }
        let accepted = matches!(outcome, Outcome::Started | Outcome::AlreadyDone);
        match (&order.adapter, order.operation) {
            (Some(name), Operation::Load) if accepted || outcome == Outcome::Uncertain => {
                let adapter = Adapter {
                    last_used: now,
                    confirmed: accepted,
                };
                let adapters = self.models.entry(order.model.clone()).or_default();
                adapters.insert(name.clone(), adapter);
            }
            (Some(name), Operation::Unload) if accepted => {
                if let Some(adapters) = self.models.get_mut(&order.model) {
                    adapters.remove(name);
                }
            }
            (None, Operation::Unload) if accepted => {
                self.models.remove(&order.model);
            }
            _ => {}
        }
    }

    /// Records that a model has been loaded.
    pub fn record_loaded(&mut self, model: &str) {
        self.models.entry(model.to_owned()).or_default();
    }

    /// Returns whether a model is resident and not about to be unloaded.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models.contains_key(model) && self.unloading.as_deref() != Some(model)
    }

    /// Returns whether an adapter is resident for certain, and records that it is used.
    pub fn use_adapter(&mut self, model: &str, adapter: &str, now: Instant) -> bool {
        let adapters = self.models.get_mut(model);
        let adapter = adapters.and_then(|adapters| adapters.get_mut(adapter));
        adapter.is_some_and(|adapter| {
            adapter.last_used = now;
            adapter.confirmed
        })
    }

    /// Returns the number of adapters that are resident or may be.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(BTreeMap::len).sum()
    }

    /// Returns the least recently used adapter that no request uses, or `None` where all are in
    /// use. `in_use` holds the adapters that requests use.
    #[must_use]
    pub fn idle_adapter(
        &self,
        in_use: &[Resident],
        now: Instant,
    ) -> Option<(id::Model, id::Adapter)> {
        let is_in_use = |model: &str, adapter: &id::Adapter| {
            let mut in_use = in_use.iter().filter(|resident| resident.model == model);
            in_use.any(|resident| resident.adapters.contains(adapter))
        };
        let candidates = self.models.iter().flat_map(|(model, adapters)| {
            let idle = adapters.iter().filter(|(name, adapter)| {
                adapter.confirmed
                    && now > adapter.last_used + ADAPTER_USE_GRACE
                    && !is_in_use(model, name)
            });
            idle.map(move |(name, adapter)| (adapter.last_used, model, name))
        });
        let (_, model, adapter) = candidates.min()?;
        Some((model.clone(), adapter.clone()))
    }

    /// Returns the models that are resident once the move in progress is done.
    #[must_use]
    pub fn expected_models(&self) -> Vec<id::Model> {
        let resident = self.models.keys().filter(|model| self.has_model(model));
        let mut models: Vec<_> = resident.cloned().collect();
        if let Some(loading) = &self.loading
            && !models.contains(loading)
        {
            models.push(loading.clone());
        }
        models
    }

    /// Returns the megabytes of the weights and adapters that are resident or may be, on an engine
    /// as `engine` configures it. A model that it does not list may occupy the whole engine.
    #[must_use]
    pub fn memory_megabytes(&self, engine: &route::Engine) -> f64 {
        let models = self.models.iter().map(|(model, adapters)| {
            let (weights, adapter) = size(engine, model);
            let count = u32::try_from(adapters.len()).unwrap_or(u32::MAX);
            weights + adapter * f64::from(count)
        });
        models.sum()
    }

    /// Returns the residency that entries get: the models and adapters that are resident for
    /// certain and not about to be unloaded.
    #[must_use]
    pub fn residency(&self) -> Residency {
        let models = self
            .models
            .iter()
            .filter(|(model, _)| self.has_model(model));
        let models = models.map(|(model, adapters)| {
            let confirmed = adapters.iter().filter(|(_, adapter)| adapter.confirmed);
            Resident {
                model: model.clone(),
                adapters: confirmed.map(|(name, _)| name.clone()).collect(),
            }
        });
        Residency {
            target: self.registration.id.clone(),
            incarnation: self.registration.incarnation,
            models: models.collect(),
            executing: self.moving || self.executing,
        }
    }
}

/// Returns the megabytes of a model's weights and of one of its adapters.
fn size(engine: &route::Engine, model: &str) -> (f64, f64) {
    let mut models = engine.models.iter();
    let model = models.find(|known| known.name == model);
    model.map_or((engine.megabytes, 0.0), |model| {
        (model.megabytes, model.adapter_megabytes)
    })
}

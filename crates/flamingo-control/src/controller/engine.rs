//! State of one engine, as far as the controller knows it.
//!
//! An order that the engine may still execute counts as executed. [`EngineState::admit`] compares
//! an order with the room that is left, and returns the sequence to which that comparison belongs.
//! The engine refuses an order with any other sequence, so that no order is executed on an engine
//! that holds more than the controller knew.

use super::engine_api::{Operation, Order, Outcome, Report};
use super::residents::Residents;
use flamingo_wire::target::{Loading, Registration, Residency, Resident};
use flamingo_wire::{id, route};
use quick_error::quick_error;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after a request for an adapter in which the adapter counts as in use.
const ADAPTER_USE_GRACE: Duration = Duration::from_millis(400);

/// Time in which an engine may still execute an order that got no answer.
const LATE_ORDER_LIFETIME: Duration = Duration::from_secs(20);

/// One incarnation of an engine, as one leadership knows it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The engine.
    pub target: id::Target,
    /// Incarnation of the engine.
    pub incarnation: id::Incarnation,
    /// Fencing number of the leadership.
    pub fence: id::Fence,
}

quick_error! {
    /// Why an order must not be sent to an engine now.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Denial {
        /// This instance may not give orders now.
        NotLeading {
            display("this instance may not give orders now")
        }
        /// The engine has gone, has restarted, or belongs to no service of engines.
        Gone {
            display("the engine has gone or has restarted")
        }
        /// A report is needed first.
        Unknown {
            display("it is unknown how many orders the engine has accepted")
        }
        /// The engine executes an order, of which the result is unknown.
        Executing {
            display("the engine is executing another order")
        }
        /// The memory for weights and adapters is too small.
        Memory {
            display("the engine has too little free memory")
        }
        /// Every adapter slot is taken.
        Slots {
            display("all adapter slots of the engine are taken")
        }
    }
}

/// A load that got no answer, and that the engine may still execute.
#[derive(Clone, Debug, Eq, PartialEq)]
struct LateLoad {
    expected_sequence: u64,
    model: id::Model,
    adapter: Option<id::Adapter>,
    expires: Instant,
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
    /// The resident models, with their adapters and when each of these was last requested.
    models: BTreeMap<id::Model, BTreeMap<id::Adapter, Instant>>,
    /// Since when this leadership knows each of `models` to be resident.
    resident_since: BTreeMap<id::Model, Instant>,
    /// Loads that got no answer, also those to an earlier incarnation under the same name.
    late_loads: Vec<LateLoad>,
    /// The model that the move in progress loads.
    pub loading: Option<id::Model>,
    /// When `loading` is expected to be resident.
    pub loaded_by: Option<Instant>,
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
            resident_since: BTreeMap::new(),
            late_loads: Vec::new(),
            loading: None,
            loaded_by: None,
            unloading: None,
            moving: false,
            moves_started: 0,
        };
        let models = engine_state.registration.models.clone();
        engine_state.replace_models(&models, now);
        engine_state
    }

    /// Starts with a new incarnation. Loads that `previous` may still execute stay known, because
    /// an engine under the same name accepts them where its new sequence is the expected one.
    #[must_use]
    pub fn restarted(registration: Registration, previous: &Self, now: Instant) -> Self {
        let mut engine_state = Self::new(registration, now);
        let late = previous.late_loads.iter();
        engine_state.late_loads = late.filter(|late| now < late.expires).cloned().collect();
        engine_state
    }

    /// Returns whether the engine may still execute a load that got no answer.
    #[must_use]
    pub fn awaits_late_loads(&self, now: Instant) -> bool {
        self.late_loads.iter().any(|late| now < late.expires)
    }

    /// Returns whether a load that got no answer expects this sequence.
    fn awaits_load_at(&self, sequence: u64) -> bool {
        let mut late = self.late_loads.iter();
        late.any(|late| late.expected_sequence == sequence)
    }

    /// Replaces the resident models and adapters, and keeps when the adapters were last used.
    fn replace_models(&mut self, models: &[Resident], now: Instant) {
        let mut replaced: BTreeMap<id::Model, BTreeMap<id::Adapter, Instant>> = BTreeMap::new();
        for resident in models {
            let old = self.models.get(&resident.model);
            let adapters = resident.adapters.iter().map(|adapter| {
                let last_used = old.and_then(|old| old.get(adapter));
                (adapter.clone(), last_used.copied().unwrap_or(now))
            });
            replaced.insert(resident.model.clone(), adapters.collect());
        }
        self.resident_since
            .retain(|model, _| replaced.contains_key(model));
        for model in replaced.keys() {
            self.resident_since.entry(model.clone()).or_insert(now);
        }
        self.models = replaced;
    }

    /// Returns the models that have been resident for their least time, which `least_stays` holds by
    /// model.
    #[must_use]
    pub fn settled_models(
        &self,
        least_stays: &BTreeMap<&str, Duration>,
        now: Instant,
    ) -> Vec<id::Model> {
        let settled = self.resident_since.iter().filter(|(model, since)| {
            let stay = least_stays.get(model.as_str());
            stay.is_none_or(|stay| now >= **since + *stay)
        });
        settled.map(|(model, _)| model.clone()).collect()
    }

    /// Returns the expected duration of a load of `model` in its configuration, from the engine's own
    /// memory or disk where its weights are there.
    #[must_use]
    pub fn load_time(&self, model: &route::Model) -> Duration {
        let seconds = if self.registration.in_memory.contains(&model.name) {
            model.memory_s
        } else if self.registration.on_disk.contains(&model.name) {
            model.disk_s
        } else {
            model.load_s
        };
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
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
        self.replace_models(&report.models, now);
        for resident in &report.loading {
            let adapters = self.models.entry(resident.model.clone()).or_default();
            for name in &resident.adapters {
                adapters.entry(name.clone()).or_insert(now);
            }
        }
        self.advance(report.sequence, now);
        true
    }

    /// Sets the number of orders that the engine has accepted, and drops the late loads that it
    /// must refuse from now on.
    fn advance(&mut self, sequence: u64, now: Instant) {
        self.sequence = Some(sequence);
        self.late_loads
            .retain(|late| late.expected_sequence >= sequence && now < late.expires);
    }

    /// Applies the outcome of an order.
    pub fn apply_outcome(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        // The unload of an unused adapter is done at once and counts as an accepted order. A load
        // of what is already resident does not count.
        let unloaded = outcome == Outcome::AlreadyDone && order.operation == Operation::Unload;
        // If the engine did not count it after all, a late load could make up the number.
        let ambiguous = unloaded && self.awaits_load_at(order.expected_sequence);
        if (outcome == Outcome::Started || unloaded) && !ambiguous {
            self.advance(order.expected_sequence + 1, now);
        }
        if ambiguous || matches!(outcome, Outcome::Uncertain | Outcome::Conflict) {
            self.uncertain = true;
        }
        if outcome == Outcome::Conflict {
            // The known number may be too high, so that the next report may have a lower one.
            self.sequence = None;
        }
        if outcome == Outcome::Started && order.adapter.is_none() {
            self.executing = true;
        }
        match (outcome, order.operation) {
            (Outcome::Started | Outcome::AlreadyDone, Operation::Load) => {
                if let Some(name) = &order.adapter {
                    let adapters = self.models.entry(order.model.clone()).or_default();
                    adapters.insert(name.clone(), now);
                }
            }
            (Outcome::Started | Outcome::AlreadyDone, Operation::Unload) => self.remove(order),
            (Outcome::Uncertain, Operation::Load) => self.record_late_load(order, now),
            _ => {}
        }
    }

    /// Records a load that got no answer, from this incarnation or an earlier one.
    pub fn record_late_load(&mut self, order: &Order, now: Instant) {
        self.late_loads.push(LateLoad {
            expected_sequence: order.expected_sequence,
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            expires: now + LATE_ORDER_LIFETIME,
        });
    }

    /// Removes the model or adapter that an accepted order unloads.
    fn remove(&mut self, order: &Order) {
        match &order.adapter {
            None => {
                self.models.remove(&order.model);
            }
            Some(name) => {
                if let Some(adapters) = self.models.get_mut(&order.model) {
                    adapters.remove(name);
                }
            }
        }
    }

    /// Returns the sequence that an order has to expect, if the engine has room for the order.
    ///
    /// # Errors
    ///
    /// Returns why the order must not be sent.
    pub fn admit(
        &self,
        operation: Operation,
        model: &str,
        adapter: Option<&str>,
        engine: &route::Engine,
    ) -> Result<u64, Denial> {
        let sequence = self.sequence().ok_or(Denial::Unknown)?;
        if adapter.is_none() && self.executing {
            return Err(Denial::Executing);
        }
        if operation == Operation::Load {
            let mut after = self.residents();
            after.load(model, adapter);
            after.check(engine)?;
        }
        Ok(sequence)
    }

    /// Returns the models and adapters that are resident or may be: with the model that a move
    /// loads, and with late loads.
    fn residents(&self) -> Residents<'_> {
        let models = self.models.iter().map(|(model, adapters)| {
            let adapters = adapters.keys().map(String::as_str);
            (model.as_str(), adapters.collect())
        });
        let mut residents: Residents<'_> = models.collect();
        if let Some(loading) = &self.loading {
            residents.load(loading, None);
        }
        for late in &self.late_loads {
            residents.load(&late.model, late.adapter.as_deref());
        }
        residents
    }

    /// Records that a model has been loaded.
    pub fn record_loaded(&mut self, model: &str, now: Instant) {
        self.models.entry(model.to_owned()).or_default();
        self.resident_since.insert(model.to_owned(), now);
    }

    /// Returns whether a model is resident and not about to be unloaded.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models.contains_key(model) && self.unloading.as_deref() != Some(model)
    }

    /// Records that an adapter is used. Returns when it was used before, or `None` if it is not
    /// resident.
    pub fn use_adapter(&mut self, model: &str, adapter: &str, now: Instant) -> Option<Instant> {
        let adapters = self.models.get_mut(model)?;
        let last_used = adapters.get_mut(adapter)?;
        Some(std::mem::replace(last_used, now))
    }

    /// Returns the number of adapters that are resident or may be.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        self.residents().adapter_count()
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
            let idle = adapters.iter().filter(|(name, last_used)| {
                now > **last_used + ADAPTER_USE_GRACE && !is_in_use(model, name)
            });
            idle.map(move |(name, last_used)| (*last_used, model, name))
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
    /// as `engine` configures it.
    #[must_use]
    pub fn memory_megabytes(&self, engine: &route::Engine) -> f64 {
        self.residents().megabytes(engine)
    }

    /// Returns the model that the move in progress loads, with the time that is expected to remain.
    fn loading(&self, now: Instant) -> Option<Loading> {
        let remaining = self.loaded_by?.saturating_duration_since(now);
        Some(Loading {
            model: self.loading.clone()?,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Returns the residency that entries get: the models and adapters that are resident for
    /// certain and not about to be unloaded, and the model that is being loaded.
    #[must_use]
    pub fn residency(&self, now: Instant) -> Residency {
        let models = self
            .models
            .iter()
            .filter(|(model, _)| self.has_model(model));
        let models = models.map(|(model, adapters)| Resident {
            model: model.clone(),
            adapters: adapters.keys().cloned().collect(),
        });
        Residency {
            target: self.registration.id.clone(),
            incarnation: self.registration.incarnation,
            models: models.collect(),
            executing: self.moving || self.executing,
            loading: self.loading(now),
        }
    }
}

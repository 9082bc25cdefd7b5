//! An engine in memory that carries out orders, loses and delays them, and counts its memory.

use flamingo_control::controller::engine_api::{EngineClient, Operation, Order, Outcome, Report};
use flamingo_wire::id;
use flamingo_wire::route;
use flamingo_wire::target::{Registration, Resident};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub incarnation: id::Incarnation,
    pub sequence: u64,
    pub models: BTreeMap<id::Model, BTreeSet<id::Adapter>>,
    /// The model that was loaded last.
    pub loading: Option<id::Model>,
    /// Reports that show the last model load as being executed; then it is resident, and the late
    /// orders are carried out.
    pub executing: usize,
    /// Orders that got no answer and are carried out late.
    pub late: Vec<Order>,
    /// Reports that get no answer.
    pub mute: usize,
    /// Time that the answer to an order takes.
    pub answer_after: Duration,
    /// Whether an order ever made it hold more than its memory or its slots.
    pub overfull: bool,
    /// Reports given since the last restart.
    pub reports: usize,
    /// Orders received since the last restart.
    pub orders: Vec<Order>,
}

impl Engine {
    /// Returns an engine that holds these models.
    pub fn new(sequence: u64, models: &[&str]) -> Self {
        let models = models.iter().map(|name| ((*name).into(), BTreeSet::new()));
        Self {
            incarnation: 1,
            sequence,
            models: models.collect(),
            ..Self::default()
        }
    }

    /// Restarts under the same name with these models.
    pub fn restart(&mut self, models: &[&str]) {
        let restarted = Self::new(0, models);
        self.incarnation += 1;
        self.sequence = restarted.sequence;
        self.models = restarted.models;
        self.executing = 0;
        self.orders.clear();
        self.reports = 0;
    }

    /// Carries out an order, or refuses it.
    pub fn execute(&mut self, order: &Order, config: &route::Engine) -> Outcome {
        if self.executing > 0 || order.expected_sequence != self.sequence {
            return Outcome::Conflict;
        }
        if order.adapter.is_some() && !self.models.contains_key(&order.model) {
            return Outcome::Refused;
        }
        let holds = self.holds(order);
        if holds == (order.operation == Operation::Load) {
            return Outcome::AlreadyDone;
        }
        self.sequence += 1;
        match (order.operation, &order.adapter) {
            (Operation::Load, None) => {
                self.models.insert(order.model.clone(), BTreeSet::new());
                self.loading = Some(order.model.clone());
            }
            (Operation::Load, Some(adapter)) => {
                let adapters = self.models.entry(order.model.clone()).or_default();
                adapters.insert(adapter.clone());
            }
            (Operation::Unload, None) => {
                self.loading = None;
                self.models.remove(&order.model);
            }
            (Operation::Unload, Some(adapter)) => {
                let adapters = self.models.entry(order.model.clone()).or_default();
                adapters.remove(adapter);
            }
        }
        self.overfull |= self.megabytes(config) > config.megabytes;
        self.overfull |= self.adapters() > config.adapters as usize;
        match (order.operation, &order.adapter) {
            (Operation::Unload, Some(_)) => Outcome::AlreadyDone,
            _ => Outcome::Started,
        }
    }

    fn holds(&self, order: &Order) -> bool {
        let adapters = self.models.get(&order.model);
        match &order.adapter {
            None => adapters.is_some(),
            Some(adapter) => adapters.is_some_and(|adapters| adapters.contains(adapter)),
        }
    }

    fn adapters(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    fn megabytes(&self, config: &route::Engine) -> f64 {
        let models = config.models.iter();
        let models = models.filter(|model| self.models.contains_key(&model.name));
        models.map(|model| model.megabytes).sum()
    }

    fn residents(&self) -> Vec<Resident> {
        let models = self.models.iter().map(|(model, adapters)| Resident {
            model: model.clone(),
            adapters: adapters.iter().cloned().collect(),
        });
        models.collect()
    }

    /// Returns the state as the engine reports it, without the model that it is loading.
    pub fn snapshot(&self) -> Report {
        let mut models = self.residents();
        if self.executing > 0 {
            models.retain(|resident| Some(&resident.model) != self.loading.as_ref());
        }
        Report {
            models,
            loading: Vec::new(),
            executing: self.executing > 0,
            sequence: self.sequence,
        }
    }

    /// Answers a request for a report, and lets time pass at the engine.
    fn report(&mut self, config: &route::Engine) -> Option<Report> {
        if self.mute > 0 {
            self.mute -= 1;
            return None;
        }
        self.reports += 1;
        let report = self.snapshot();
        if self.executing > 0 {
            self.executing -= 1;
            if self.executing == 0 {
                for order in std::mem::take(&mut self.late) {
                    self.execute(&order, config);
                }
            }
        }
        Some(report)
    }

    /// Returns what the engine registers under `id`.
    pub fn registration(&self, id: &str, sequence: u64) -> Registration {
        Registration {
            incarnation: self.incarnation,
            sequence,
            models: self.residents(),
            ..flamingo_test_support::registration::registration(id)
        }
    }
}

/// All engines, by name.
pub type Engines = BTreeMap<id::Target, Engine>;

/// Decides what becomes of an order: an outcome, or `None` to have the engine carry it out.
pub type Script = Box<dyn FnMut(&mut Engines, &Order) -> Option<Outcome>>;

/// All engines of a test.
#[derive(Clone)]
pub struct World {
    pub engines: Rc<RefCell<Engines>>,
    pub config: Rc<route::Engine>,
    script: Rc<RefCell<Script>>,
}

impl World {
    pub fn new(
        config: route::Engine,
        engines: impl IntoIterator<Item = (impl Into<id::Target>, Engine)>,
        script: Script,
    ) -> Self {
        let engines = engines.into_iter().map(|(id, engine)| (id.into(), engine));
        Self {
            engines: Rc::new(RefCell::new(engines.collect())),
            config: Rc::new(config),
            script: Rc::new(RefCell::new(script)),
        }
    }

    /// Returns what becomes of an order, and the time that its answer takes.
    fn carry_out(&self, order: &Order) -> (Outcome, Duration) {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(&order.target) else {
            return (Outcome::Uncertain, Duration::ZERO);
        };
        engine.orders.push(order.clone());
        let scripted = (self.script.borrow_mut())(&mut engines, order);
        let Some(engine) = engines.get_mut(&order.target) else {
            return (Outcome::Uncertain, Duration::ZERO);
        };
        let outcome = scripted.unwrap_or_else(|| engine.execute(order, &self.config));
        (outcome, engine.answer_after)
    }

    /// Returns what `look` returns for an engine.
    pub fn look<T>(&self, id: &str, look: impl FnOnce(&Engine) -> T) -> T {
        look(&self.engines.borrow()[id])
    }
}

impl EngineClient for World {
    fn order(&self, order: Order, _: Instant) -> LocalBoxFuture<'static, Outcome> {
        let world = self.clone();
        async move {
            let (outcome, answer_after) = world.carry_out(&order);
            actix_rt::time::sleep(answer_after).await;
            outcome
        }
        .boxed_local()
    }

    fn report(&self, target: &Registration, _: Instant) -> LocalBoxFuture<'static, Option<Report>> {
        let (world, id) = (self.clone(), target.id.clone());
        async move {
            let mut engines = world.engines.borrow_mut();
            engines.get_mut(&id)?.report(&world.config)
        }
        .boxed_local()
    }
}

//! Sends single orders to engines, loads adapters, and fetches reports of engines.

use super::engine::EngineState;
use super::engine_api::{Operation, Order, Outcome, Report};
use super::{Controller, engine_config};
use flamingo_daemon::clock;
use flamingo_wire::control::LoadAdapter;
use flamingo_wire::id;
use flamingo_wire::route::Set;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Time in which an engine must answer an order or send a report.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that the leadership must still last for an order to be sent.
const MIN_LEADERSHIP_LEFT: Duration = Duration::from_millis(100);
/// Time after which an adapter whose load was accepted counts as resident.
const ADAPTER_LOAD_DELAY: Duration = Duration::from_millis(12);

/// What the controller knew of an engine when it gave an order, for the log.
struct Belief {
    incarnation: id::Incarnation,
    /// Memory that is occupied or may be, in megabytes.
    megabytes: f64,
    /// Number of adapters that are resident or may be.
    adapters: usize,
    /// Age of the newest report in milliseconds; `None` before the first report.
    report_age_ms: Option<u128>,
}

impl Belief {
    fn new(engine_state: &EngineState, routes: Option<&Set>, now: Instant) -> Self {
        let registration = &engine_state.registration;
        let engine = routes.and_then(|routes| engine_config(routes, &registration.service));
        Self {
            incarnation: registration.incarnation,
            megabytes: engine.map_or(0.0, |engine| engine_state.memory_megabytes(engine)),
            adapters: engine_state.adapter_count(),
            report_age_ms: engine_state.report_age(now).map(|age| age.as_millis()),
        }
    }
}

impl Controller {
    /// Returns the lock of an engine, which a task holds while it gives the engine an order.
    pub(super) fn order_lock(&self, target: &str) -> Rc<Mutex<()>> {
        let mut term = self.term.borrow_mut();
        Rc::clone(term.order_locks.entry(target.to_owned()).or_default())
    }

    /// Fetches the report of an engine and publishes its residency.
    pub(super) async fn poll_engine(self: Rc<Self>, target: id::Target) {
        let lock = self.order_lock(&target);
        let _turn = lock.lock().await;
        if self.fetch_report(&target).await.is_some() {
            self.publish_residency(&target);
        }
    }

    /// Fetches the report of an engine and applies it to the engine's state.
    ///
    /// Returns `None` without an answer, after a restart of the engine, and for a report that is
    /// older than the last order.
    pub(super) async fn fetch_report(&self, target: &str) -> Option<Report> {
        let registration = {
            let term = self.term.borrow();
            term.engines.get(target)?.registration.clone()
        };
        let deadline = Instant::now() + ENGINE_TIMEOUT;
        let report = self.engine_client.report(&registration, deadline).await?;
        let mut term = self.term.borrow_mut();
        let engine_state = term.engines.get_mut(target)?;
        let same_incarnation = engine_state.registration.incarnation == registration.incarnation;
        (same_incarnation && engine_state.apply_report(&report, clock::now())).then_some(report)
    }

    /// Sends one order and records its outcome; the caller must hold the lock of the engine.
    ///
    /// Returns [`Outcome::Refused`] without sending where this instance may not order now, or
    /// where the number of orders that the engine has accepted is unknown.
    pub(super) async fn send_order(
        &self,
        target: &str,
        operation: Operation,
        model: &str,
        adapter: Option<&str>,
    ) -> Outcome {
        let sequence_unknown = {
            let term = self.term.borrow();
            term.engines
                .get(target)
                .is_none_or(|engine_state| engine_state.sequence().is_none())
        };
        if sequence_unknown && self.fetch_report(target).await.is_none() {
            return Outcome::Refused;
        }
        let Some(leader) = self.leader_snapshot().await else {
            return Outcome::Refused;
        };
        let now = clock::now();
        let (order, belief) = {
            let term = self.term.borrow();
            let engine_state = term.engines.get(target);
            let known = engine_state
                .and_then(|engine_state| Some((engine_state.sequence()?, engine_state)));
            let Some((expected_sequence, engine_state)) = known else {
                return Outcome::Refused;
            };
            let registration = &engine_state.registration;
            let belief = Belief::new(engine_state, term.routes.as_deref(), now);
            let current = term.fence == leader.fence && !term.superseded;
            if !current
                || term.orders_from.is_none_or(|first| now < first)
                || now + MIN_LEADERSHIP_LEFT >= leader.until
            {
                return Outcome::Refused;
            }
            let order = Order {
                target: target.to_owned(),
                address: registration.address,
                operation,
                model: model.to_owned(),
                adapter: adapter.map(str::to_owned),
                expected_sequence,
                issuer: self.node.clone(),
                fence: leader.fence,
            };
            (order, belief)
        };
        let ordered = self
            .engine_client
            .order(order.clone(), Instant::now() + ENGINE_TIMEOUT);
        let outcome = ordered.await;
        let mut term = self.term.borrow_mut();
        if outcome == Outcome::Fenced {
            term.superseded = true;
        }
        if let Some(engine_state) = term.engines.get_mut(target) {
            engine_state.apply_outcome(&order, outcome, clock::now());
        }
        let (operation, outcome_name): (&str, &str) = (operation.into(), outcome.into());
        info!(self.log, "order"; "target" => target, "operation" => operation, "model" => model,
            "adapter" => adapter, "expected" => order.expected_sequence, "fence" => order.fence,
            "incarnation" => belief.incarnation, "memory_mb" => belief.megabytes,
            "adapters" => belief.adapters, "report_age_ms" => belief.report_age_ms,
            "outcome" => outcome_name);
        outcome
    }

    /// Loads an adapter on an engine; evicts an idle adapter first where all slots are taken.
    ///
    /// # Errors
    ///
    /// Returns why the adapter was not loaded.
    pub(super) async fn load_adapter(&self, request: &LoadAdapter) -> Result<(), &'static str> {
        if !self.may_order(clock::now()) {
            return Err("it may not give orders yet");
        }
        let lock = self.order_lock(&request.target);
        let _turn = lock.lock().await;
        let leader = self.leader_snapshot().await.ok_or("it does not lead")?;
        let routes = leader.routes.ok_or("no routes are in force")?;
        {
            let mut term = self.term.borrow_mut();
            let engine_state = term
                .engines
                .get_mut(&request.target)
                .ok_or("no such engine")?;
            if engine_state.registration.incarnation != request.incarnation {
                return Err("the engine has restarted");
            }
            if !engine_state.has_model(&request.model) {
                return Err("the engine does not have the model resident");
            }
            if engine_state.loading.is_some() || engine_state.unloading.is_some() {
                return Err("the engine is executing another order");
            }
            if engine_state.use_adapter(&request.model, &request.adapter, clock::now()) {
                return Ok(());
            }
        }
        for _ in 0..2 {
            if let Some((model, adapter)) = self.adapter_to_evict(&request.target, &routes)? {
                let operation = Operation::Unload;
                let outcome = self
                    .send_order(&request.target, operation, &model, Some(&adapter))
                    .await;
                if !matches!(outcome, Outcome::Started | Outcome::AlreadyDone) {
                    return Err("no adapter could be evicted");
                }
            }
        }
        let operation = Operation::Load;
        let outcome = self
            .send_order(
                &request.target,
                operation,
                &request.model,
                Some(&request.adapter),
            )
            .await;
        if !matches!(outcome, Outcome::Started | Outcome::AlreadyDone) {
            return Err("the engine did not accept the order");
        }
        tokio::time::sleep(ADAPTER_LOAD_DELAY).await;
        self.publish_residency(&request.target);
        Ok(())
    }

    /// Returns the adapter to evict before another one can be loaded; `None` where a slot is
    /// free.
    ///
    /// # Errors
    ///
    /// Returns an error where every adapter is in use.
    fn adapter_to_evict(
        &self,
        target: &str,
        routes: &Set,
    ) -> Result<Option<(id::Model, id::Adapter)>, &'static str> {
        let term = self.term.borrow();
        let engine_state = term.engines.get(target).ok_or("no such engine")?;
        let engine =
            engine_config(routes, &engine_state.registration.service).ok_or("not an engine")?;
        let max_adapters = usize::try_from(engine.adapters).unwrap_or(usize::MAX);
        if engine_state.adapter_count() < max_adapters {
            return Ok(None);
        }
        let in_use = term.demand.adapters_in_use(target);
        let idle = engine_state.idle_adapter(&in_use, clock::now());
        idle.map(Some).ok_or("all adapters are in use")
    }
}

//! Sends single orders to engines, loads adapters, and fetches reports of engines.

use super::adapter_time;
use super::engine::{Denial, EngineState, Key};
use super::engine_api::{Operation, Order, Outcome, Report};
use super::{Controller, LeaderSnapshot, engine_config};
use flamingo_daemon::clock;
use flamingo_wire::control::LoadAdapter;
use flamingo_wire::id;
use flamingo_wire::route::Engine;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Time in which an engine must answer an order or send a report.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that the leadership must still last for an order to be sent.
const MIN_LEADERSHIP_LEFT: Duration = Duration::from_millis(100);
/// Adapters that are unloaded at most for one load.
const MAX_EVICTIONS: usize = 2;
/// Time since its last use for which an adapter that a target lacks is assumed to be still loading, so
/// that the request waits. After a longer time the adapter is loaded again.
const ADAPTER_LOADING_WINDOW: Duration = Duration::from_secs(1);
/// Shortest wait for an adapter that is assumed to be still loading.
const MIN_ADAPTER_WAIT: Duration = Duration::from_millis(4);

/// What the controller knew of an engine when it gave an order, for the log.
struct Belief {
    /// Memory that is occupied or may be, in megabytes.
    megabytes: f64,
    /// Number of adapters that are resident or may be.
    adapters: usize,
    /// Age of the newest report in milliseconds; `None` before the first report.
    report_age_ms: Option<u128>,
}

impl Belief {
    fn new(engine_state: &EngineState, engine: &Engine, now: Instant) -> Self {
        Self {
            megabytes: engine_state.memory_megabytes(engine),
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
    pub(super) async fn poll_engine(self: Rc<Self>, key: Key) {
        let lock = self.order_lock(&key.target);
        let _turn = lock.lock().await;
        if self.fetch_report(&key).await.is_some() {
            self.publish_residency(&key.target);
        }
    }

    /// Fetches the report of an engine and applies it to the engine's state.
    ///
    /// Returns `None` without an answer, after a restart of the engine, and for a report that is
    /// older than the last order.
    pub(super) async fn fetch_report(&self, key: &Key) -> Option<Report> {
        let registration = self.term.borrow().engine(key)?.registration.clone();
        let deadline = Instant::now() + ENGINE_TIMEOUT;
        let report = self.engine_client.report(&registration, deadline).await?;
        let mut term = self.term.borrow_mut();
        let engine_state = term.engine_mut(key)?;
        engine_state
            .apply_report(&report, clock::now())
            .then_some(report)
    }

    /// Sends one order and records its outcome; the caller must hold the lock of the engine.
    ///
    /// Returns without sending [`Outcome::Refused`] where this instance may not order now or the
    /// engine has no room, and [`Outcome::Conflict`] where the engine executes an order.
    pub(super) async fn send_order(
        &self,
        key: &Key,
        operation: Operation,
        model: &str,
        adapter: Option<&str>,
    ) -> Outcome {
        let sequence_unknown = {
            let term = self.term.borrow();
            term.engine(key)
                .is_none_or(|engine_state| engine_state.sequence().is_none())
        };
        if sequence_unknown && self.fetch_report(key).await.is_none() {
            return Outcome::Refused;
        }
        let Some(leader) = self.leader_snapshot().await else {
            return Outcome::Refused;
        };
        // Nothing is awaited between this check and the sending of the order.
        let (order, belief) = match self.admit(key, &leader, operation, model, adapter) {
            Ok(admitted) => admitted,
            Err(denial) => {
                info!(self.log, "order withheld"; "target" => &key.target, "model" => model,
                    "adapter" => adapter, "why" => %denial);
                return match denial {
                    Denial::Executing => Outcome::Conflict,
                    _ => Outcome::Refused,
                };
            }
        };
        let ordered = self
            .engine_client
            .order(order.clone(), Instant::now() + ENGINE_TIMEOUT);
        let outcome = ordered.await;
        let mut term = self.term.borrow_mut();
        if outcome == Outcome::Fenced && term.fence == key.fence {
            term.superseded = true;
        }
        term.apply_outcome(key, &order, outcome, clock::now());
        let (operation, outcome_name): (&str, &str) = (operation.into(), outcome.into());
        info!(self.log, "order"; "target" => &key.target, "operation" => operation,
            "model" => model, "adapter" => adapter, "expected" => order.expected_sequence,
            "fence" => order.fence, "incarnation" => key.incarnation,
            "memory_mb" => belief.megabytes, "adapters" => belief.adapters,
            "report_age_ms" => belief.report_age_ms, "outcome" => outcome_name);
        outcome
    }

    /// Returns the order to send now, with what is known of the engine.
    ///
    /// # Errors
    ///
    /// Returns why the order must not be sent.
    fn admit(
        &self,
        key: &Key,
        leader: &LeaderSnapshot,
        operation: Operation,
        model: &str,
        adapter: Option<&str>,
    ) -> Result<(Order, Belief), Denial> {
        let now = clock::now();
        let term = self.term.borrow();
        let current = term.fence == leader.fence && !term.superseded;
        if !current
            || term.orders_from.is_none_or(|first| now < first)
            || now + MIN_LEADERSHIP_LEFT >= leader.until
        {
            return Err(Denial::NotLeading);
        }
        let engine_state = term.engine(key).ok_or(Denial::Gone)?;
        let registration = &engine_state.registration;
        let routes = leader.routes.as_deref();
        let engine = routes
            .and_then(|routes| engine_config(routes, &registration.service))
            .ok_or(Denial::Gone)?;
        let order = Order {
            target: key.target.clone(),
            address: registration.address,
            operation,
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            expected_sequence: engine_state.admit(operation, model, adapter, engine)?,
            issuer: self.node.clone(),
            fence: leader.fence,
        };
        Ok((order, Belief::new(engine_state, engine, now)))
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
        let key = Key {
            target: request.target.clone(),
            incarnation: request.incarnation,
            fence: self.term.borrow().fence,
        };
        let lock = self.order_lock(&key.target);
        let _turn = lock.lock().await;
        let (times_key, used_at) = self.use_adapter(&key, request)?;
        let is_recent =
            used_at.is_some_and(|used_at| clock::now() < used_at + ADAPTER_LOADING_WINDOW);
        match (used_at, request.missed) {
            (Some(_), false) => return Ok(()),
            (Some(_), true) if is_recent => {
                self.await_missed_adapter(&times_key).await;
                return Ok(());
            }
            _ => {}
        }
        for _ in 0..MAX_EVICTIONS {
            if let Some((model, adapter)) = self.adapter_to_evict(&key)? {
                let operation = Operation::Unload;
                let outcome = self
                    .send_order(&key, operation, &model, Some(&adapter))
                    .await;
                if !matches!(outcome, Outcome::Started | Outcome::AlreadyDone) {
                    return Err("no adapter could be evicted");
                }
            }
        }
        let operation = Operation::Load;
        let adapter = Some(request.adapter.as_str());
        let outcome = self
            .send_order(&key, operation, &request.model, adapter)
            .await;
        if !matches!(outcome, Outcome::Started | Outcome::AlreadyDone) {
            return Err("the engine did not accept the order");
        }
        let delay = {
            let adapter_times = &mut self.term.borrow_mut().adapter_times;
            adapter_times.record_load(&times_key);
            adapter_times.delay(&times_key)
        };
        tokio::time::sleep(delay).await;
        self.publish_residency(&key.target);
        Ok(())
    }

    /// Records that an adapter is used. Returns the key of its load time, and when it was used before;
    /// `None` if it is not resident.
    ///
    /// # Errors
    ///
    /// Returns an error where the engine can't load adapters of the model now.
    fn use_adapter(
        &self,
        key: &Key,
        request: &LoadAdapter,
    ) -> Result<(adapter_time::Key, Option<Instant>), &'static str> {
        let mut term = self.term.borrow_mut();
        let engine_state = term
            .engine_mut(key)
            .ok_or("no such incarnation of the engine")?;
        if !engine_state.has_model(&request.model) {
            return Err("the engine does not have the model resident");
        }
        if engine_state.loading.is_some() || engine_state.unloading.is_some() {
            return Err("the engine is executing another order");
        }
        let service = engine_state.registration.service.clone();
        let used_at = engine_state.use_adapter(&request.model, &request.adapter, clock::now());
        Ok(((service, request.model.clone()), used_at))
    }

    /// Records that the wait for an adapter was too short, and waits for the difference.
    async fn await_missed_adapter(&self, times_key: &adapter_time::Key) {
        let wait = {
            let adapter_times = &mut self.term.borrow_mut().adapter_times;
            let before = adapter_times.delay(times_key);
            adapter_times.record_miss(times_key, clock::now());
            self.metrics.record_adapter_miss(&times_key.0);
            adapter_times.delay(times_key).saturating_sub(before)
        };
        tokio::time::sleep(wait.max(MIN_ADAPTER_WAIT)).await;
    }

    /// Returns the adapter to evict before another one can be loaded; `None` where a slot is
    /// free.
    ///
    /// # Errors
    ///
    /// Returns an error where every adapter is in use.
    fn adapter_to_evict(
        &self,
        key: &Key,
    ) -> Result<Option<(id::Model, id::Adapter)>, &'static str> {
        let term = self.term.borrow();
        let engine_state = term.engine(key).ok_or("no such engine")?;
        let routes = term.routes.as_ref().ok_or("no routes are in force")?;
        let engine =
            engine_config(routes, &engine_state.registration.service).ok_or("not an engine")?;
        let max_adapters = usize::try_from(engine.adapters).unwrap_or(usize::MAX);
        if engine_state.adapter_count() < max_adapters {
            return Ok(None);
        }
        let in_use = term.demand.adapters_in_use(&key.target);
        let idle = engine_state.idle_adapter(&in_use, clock::now());
        idle.map(Some).ok_or("all adapters are in use")
    }
}

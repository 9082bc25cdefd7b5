//! Moves replicas of models between engines to follow the demand.

use super::engine::{EngineState, Key};
use super::engine_api::{Operation, Outcome, Report};
use super::store::Ceiling;
use super::{Controller, LeaderSnapshot, Missing, PLANNING_INTERVAL, TermState};
use flamingo_daemon::clock;
use flamingo_place::rebalance::{self, Engine, Model, Move};
use flamingo_state::Command;
use flamingo_wire::id;
use flamingo_wire::route::{self, Service, Set};
use slog::info;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Interval at which an engine is asked whether it has executed an order.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Time between the notice to the entries that a model will be unloaded and the order.
const UNLOAD_NOTICE: Duration = Duration::from_millis(30);
/// Time in which running requests of a model that is unloaded are expected to end.
const UNLOAD_TIME: Duration = Duration::from_secs(1);
/// Time in which an engine must execute an order.
const EXECUTION_TIMEOUT: Duration = Duration::from_secs(40);
/// Time after a failed move before the engine gets another move.
const MOVE_RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Attempts at an order while it is uncertain whether the engine accepted the order.
const MAX_ORDER_ATTEMPTS: usize = 4;
/// Time after an uncertain order before the engine is asked for a report, because reports lag
/// behind.
const UNCERTAIN_ORDER_DELAY: Duration = Duration::from_millis(300);
/// Time without a replica after which a model is placed before models with demand.
const MISSING_MODEL_TIMEOUT: Duration = Duration::from_secs(15);
/// Smallest limit on the moves of a service that are in progress at a time.
const MIN_MOVE_LIMIT: usize = 8;
/// Engines of a service for each move that may be in progress. Half of the engines may load at a
/// time, because an engine serves its resident models while it loads.
const ENGINES_PER_CONCURRENT_MOVE: usize = 2;
/// Engines of a service for each move beyond the first that may start in one round.
const ENGINES_PER_NEW_MOVE: usize = 50;
/// Demand above which the log names a model, in busy engines.
const MIN_LOGGED_DEMAND: f64 = 0.05;
/// Number of moves in progress from which on no model is prefetched while there is demand.
const PREFETCH_MOVE_LIMIT: usize = 1;
/// Total demand of a service below which the service counts as idle, in busy engines.
const IDLE_DEMAND: f64 = 0.05;
/// Loads from the weight store that prefetching leaves for models with demand.
const LOADS_RESERVED_FOR_DEMAND: f64 = 3.0;
/// Time added to the window of loads for the difference between the clocks of instances.
const CLOCK_SKEW: Duration = Duration::from_millis(500);

impl Controller {
    /// Starts the next moves of each service, where they lower the cost of the assignment.
    pub(super) async fn plan(self: &Rc<Self>, leader: &LeaderSnapshot, routes: &Set, now: Instant) {
        for service in &routes.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            self.update_missing_models(service, engine, now);
            self.term.borrow_mut().demand.remove_expired(now);
            let count = self.term.borrow().engines_of(&service.name).count();
            for _ in 0..=count / ENGINES_PER_NEW_MOVE {
                let loads_left = self.available_store_loads(leader, engine, now);
                let Some(planned) = self.next_move(service, engine, loads_left, now) else {
                    break;
                };
                let model = engine
                    .models
                    .iter()
                    .find(|model| model.name == planned.load);
                self.start_move(planned, model);
                tokio::task::yield_now().await;
            }
        }
    }

    /// Returns the next move of a service, or `None` where no move helps or too many are in
    /// progress. `loads_left` is how many loads from the weight store may start now.
    fn next_move(
        &self,
        service: &Service,
        engine: &route::Engine,
        loads_left: f64,
        now: Instant,
    ) -> Option<Move> {
        let term = self.term.borrow();
        let states: Vec<_> = term.engines_of(&service.name).collect();
        let moving = states.iter().filter(|state| state.moving).count();
        if moving >= MIN_MOVE_LIMIT.max(states.len() / ENGINES_PER_CONCURRENT_MOVE) {
            return None;
        }
        let models = engine.models.iter().map(|model| Model {
            name: model.name.clone(),
            megabytes: model.megabytes,
            store_load_s: model.load_s,
            local_load_s: model.disk_s,
            demand: term.demand.forecast(&service.name, &model.name, now),
            has_adapters: model.adapters > 0,
            overdue: term.is_overdue(&service.name, &model.name, now),
            waiting_s: term.waiting_s(&service.name, &model.name, now),
        });
        let mut models: Vec<_> = models.collect();
        rebalance::hedge_demand(&mut models);
        let adapters = engine.models.iter().map(|model| model.adapter_megabytes);
        let adapter_megabytes = adapters.fold(0.0, f64::max) * f64::from(engine.adapters);
        let remaining = states.iter().filter(|state| !state.registration.leaving);
        let free_megabytes = engine.megabytes - adapter_megabytes;
        let least_stays = least_stays(engine);
        let engines =
            remaining.map(|state| planner_engine(state, &least_stays, free_megabytes, now));
        let engines: Vec<_> = engines.collect();
        let needs: Vec<_> = term.demand.needed(&service.name, now).collect();
        let engines = rebalance::hold_needed(engines, &needs);
        self.log_demand(&service.name, &models, &engines, now);
        let prefetch = || {
            let total_demand: f64 = models.iter().map(|model| model.demand).sum();
            let max_moves = if total_demand < IDLE_DEMAND {
                states.len()
            } else {
                PREFETCH_MOVE_LIMIT
            };
            if loads_left < LOADS_RESERVED_FOR_DEMAND || moving >= max_moves {
                return None;
            }
            rebalance::prefetch(&models, &engines, |engine| {
                let state = term.engines.get(&engine.target);
                total_demand >= IDLE_DEMAND || state.is_some_and(|state| state.moves_started == 0)
            })
        };
        let store = loads_left >= 1.0;
        rebalance::bring_back(&models, &engines, &needs, store)
            .or_else(|| rebalance::next_move(&models, &engines, store))
            .or_else(prefetch)
    }

    /// Records since when each model of a service has had no replica on any engine, and since when
    /// callers have asked for it.
    fn update_missing_models(&self, service: &Service, engine: &route::Engine, now: Instant) {
        let mut term = self.term.borrow_mut();
        let term = &mut *term;
        let resident: BTreeSet<_> = term
            .engines
            .values()
            .flat_map(EngineState::expected_models)
            .collect();
        for model in &engine.models {
            let key = (service.name.clone(), model.name.clone());
            if resident.contains(&model.name) {
                term.missing.remove(&key);
                continue;
            }
            let wanted = term.demand.is_wanted(&service.name, &model.name, now);
            let missing = term.missing.entry(key).or_insert(Missing {
                since: now,
                wanted_since: None,
            });
            missing.wanted_since = wanted.then(|| missing.wanted_since.unwrap_or(now));
        }
    }

    /// Logs the six models with the highest demand, at most once a second. Each is written as
    /// `model:demand/replicas-occupied`, with the demand in busy engines; `occupied` is the number
    /// of replicas on engines that can't start a move now.
    fn log_demand(&self, service: &str, models: &[Model], engines: &[Engine], now: Instant) {
        if !self.demand_log_limit.borrow_mut().allow(now) {
            return;
        }
        let mut requested: Vec<_> = models
            .iter()
            .filter(|model| model.demand > MIN_LOGGED_DEMAND)
            .collect();
        requested.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        let describe = |model: &Model| {
            let mut replicas = 0;
            let mut occupied = 0;
            for engine in engines
                .iter()
                .filter(|engine| engine.models.contains(&model.name))
            {
                replicas += 1;
                occupied += usize::from(engine.executing);
            }
            format!("{}:{:.2}/{replicas}-{occupied}", model.name, model.demand)
        };
        let requested: Vec<_> = requested.into_iter().take(6).map(describe).collect();
        info!(self.log, "demand"; "service" => service, "models" => requested.join(" "),
            "engines" => engines.len());
    }

    /// Returns how many more loads from the weight store may be planned; a fraction or a negative
    /// number means none.
    fn available_store_loads(
        &self,
        leader: &LeaderSnapshot,
        engine: &route::Engine,
        now: Instant,
    ) -> f64 {
        let window = self.bounds.load_window;
        let ceiling = Ceiling {
            loads: engine.loads_per_s * window.as_secs_f64() + self.bounds.load_burst,
            window: window + CLOCK_SKEW,
        };
        let recorded = recent_loads(leader, ceiling.window);
        let mut term = self.term.borrow_mut();
        term.store_loads.available(ceiling, recorded, now)
    }

    /// Starts a task that executes a move. The task ends with the engine's incarnation and with
    /// this leadership. `model` is the configuration of the model that it loads.
    fn start_move(self: &Rc<Self>, planned: Move, model: Option<&route::Model>) {
        info!(self.log, "move"; "target" => &planned.target, "load" => &planned.load,
            "unload" => planned.unload.join(","), "store" => planned.from_store);
        let key = {
            let mut term = self.term.borrow_mut();
            let fence = term.fence;
            let Some(engine_state) = term.engines.get_mut(&planned.target) else {
                return;
            };
            engine_state.moving = true;
            engine_state.moves_started += 1;
            engine_state.loading = Some(planned.load.clone());
            let load_time = model.map(|model| engine_state.load_time(model));
            engine_state.loaded_by = load_time.map(|load_time| {
                let unloads = u32::try_from(planned.unload.len()).unwrap_or(u32::MAX);
                clock::now() + load_time + UNLOAD_TIME * unloads
            });
            let key = engine_state.key(fence);
            if planned.from_store {
                term.store_loads.plan(key.clone());
            }
            key
        };
        self.publish_residency(&key.target);
        let controller = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let failure = controller.execute_move(&key, &planned).await.err();
            info!(controller.log, "move ended"; "target" => &planned.target, "load" => &planned.load,
                "why" => failure.unwrap_or("done"));
            let current = controller.update_engine(&key, |engine_state| {
                engine_state.moving = false;
                engine_state.backoff_until = failure.map(|_| clock::now() + MOVE_RETRY_BACKOFF);
                engine_state.loading = None;
                engine_state.loaded_by = None;
                engine_state.unloading = None;
            });
            controller.term.borrow_mut().store_loads.cancel(&key);
            if current {
                controller.publish_residency(&key.target);
            }
        });
    }

    /// Unloads the models that the move evicts, one after the other, and then loads the new one.
    ///
    /// # Errors
    ///
    /// Returns why the move stopped; models that were unloaded stay unloaded.
    async fn execute_move(&self, key: &Key, planned: &Move) -> Result<(), &'static str> {
        for model in &planned.unload {
            self.update_engine(key, |state| state.unloading = Some(model.clone()));
            self.publish_residency(&key.target);
            self.flush_residencies();
            tokio::time::sleep(UNLOAD_NOTICE).await;
            self.order_model(key, Operation::Unload, model).await?;
            self.wait_for_completion(key, model, false).await?;
            self.update_engine(key, |state| state.unloading = None);
        }
        if planned.from_store {
            self.begin_store_load(key)?;
            let load = crate::raft_actor::Propose(Command::Load(1));
            match self.core.raft_actor.send(load).await {
                Ok(flamingo_wire::control::Reply::Acknowledged) => {}
                _ => return Err("the load could not be recorded"),
            }
        }
        self.order_model(key, Operation::Load, &planned.load)
            .await?;
        self.wait_for_completion(key, &planned.load, true).await?;
        self.update_engine(key, |state| {
            state.record_loaded(&planned.load, clock::now());
        });
        Ok(())
    }

    /// Counts the load of a move from the weight store, which starts now.
    ///
    /// # Errors
    ///
    /// Returns an error where the engine or the leadership is another one by now.
    fn begin_store_load(&self, key: &Key) -> Result<(), &'static str> {
        let mut term = self.term.borrow_mut();
        term.engine(key)
            .ok_or("the engine has gone or has restarted")?;
        term.store_loads.begin(key, clock::now());
        Ok(())
    }

    /// Changes the state of an engine. Returns `false` where the engine or the leadership is
    /// another one by now.
    fn update_engine(&self, key: &Key, change: impl FnOnce(&mut EngineState)) -> bool {
        let mut term = self.term.borrow_mut();
        term.engine_mut(key).map(change).is_some()
    }

    /// Gives an order for a model and retries while it is uncertain whether the engine accepted
    /// the order. Returns once the engine has accepted or executed it.
    async fn order_model(
        &self,
        key: &Key,
        operation: Operation,
        model: &id::Model,
    ) -> Result<(), &'static str> {
        let lock = self.order_lock(&key.target);
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let turn = lock.lock().await;
            let outcome = self.send_order(key, operation, model, None).await;
            drop(turn);
            match outcome {
                Outcome::Started | Outcome::AlreadyDone => return Ok(()),
                Outcome::Fenced => return Err("another instance gives orders"),
                Outcome::Refused => return Err("the order was not sent or was refused"),
                Outcome::Uncertain | Outcome::Conflict => {}
            }
            tokio::time::sleep(UNCERTAIN_ORDER_DELAY).await;
            if let Some(report) = self.fetch_report(key).await
                && (report.executing || has_model(&report, model) == (operation == Operation::Load))
            {
                return Ok(());
            }
        }
        Err("it is uncertain whether the engine accepted the order")
    }

    /// Waits until an engine executes no order, and checks that `model` is then resident or not,
    /// as `expect_resident` says.
    async fn wait_for_completion(
        &self,
        key: &Key,
        model: &id::Model,
        expect_resident: bool,
    ) -> Result<(), &'static str> {
        let deadline = clock::now() + EXECUTION_TIMEOUT;
        while clock::now() < deadline {
            tokio::time::sleep(ORDER_POLL_INTERVAL).await;
            if self.term.borrow().engine(key).is_none() {
                return Err("the engine has gone or has restarted");
            }
            let Some(report) = self.fetch_report(key).await else {
                continue;
            };
            if report.executing {
                continue;
            }
            if has_model(&report, model) == expect_resident {
                return Ok(());
            }
            return Err("the engine did not execute the order");
        }
        Err("the engine did not execute the order in time")
    }
}

impl TermState {
    /// Returns the engines of a service.
    fn engines_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EngineState> {
        let engines = self.engines.values();
        engines.filter(move |engine_state| engine_state.registration.service == service)
    }

    /// Returns whether a model has had no replica for `MISSING_MODEL_TIMEOUT`.
    fn is_overdue(&self, service: &str, model: &str, now: Instant) -> bool {
        let key = (service.to_owned(), model.to_owned());
        let missing = self.missing.get(&key);
        missing.is_some_and(|missing| now >= missing.since + MISSING_MODEL_TIMEOUT)
    }

    /// Returns for how many seconds callers have asked for a model that no engine has; 0 if nobody
    /// asks.
    fn waiting_s(&self, service: &str, model: &str, now: Instant) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        let since = self
            .missing
            .get(&key)
            .and_then(|missing| missing.wanted_since);
        since.map_or(0.0, |since| {
            // A model that is asked for just now waits as well.
            let waited = now.saturating_duration_since(since).max(PLANNING_INTERVAL);
            waited.as_secs_f64()
        })
    }
}

/// Returns how many starts of loads within `window` the log records, under any leader.
fn recent_loads(leader: &LeaderSnapshot, window: Duration) -> usize {
    let wall = SystemTime::now();
    let recent = |started: &&SystemTime| {
        // A time ahead of this clock, from an instance whose clock is ahead, counts as now.
        wall.duration_since(**started).unwrap_or_default() < window
    };
    leader.loads.iter().filter(recent).count()
}

/// Returns whether an engine reports a model as resident.
fn has_model(report: &Report, model: &id::Model) -> bool {
    report
        .models
        .iter()
        .any(|resident| &resident.model == model)
}

/// Returns the least time that a copy of each model stays on an engine.
fn least_stays(engine: &route::Engine) -> BTreeMap<&str, Duration> {
    let stays = engine.models.iter().map(|model| {
        let stay = Duration::try_from_secs_f64(rebalance::least_stay_s(model.load_s));
        (model.name.as_str(), stay.unwrap_or_default())
    });
    stays.collect()
}

/// Returns an engine in the form that the planner takes; `megabytes` is its memory for weights.
fn planner_engine(
    engine_state: &EngineState,
    least_stays: &BTreeMap<&str, Duration>,
    megabytes: f64,
    now: Instant,
) -> Engine {
    let registration = &engine_state.registration;
    let stored = registration.in_memory.iter().chain(&registration.on_disk);
    Engine {
        target: registration.id.clone(),
        software: registration.software.clone(),
        models: engine_state.expected_models(),
        loading: engine_state.loading.clone(),
        settled: engine_state.settled_models(least_stays, now),
        cached: stored.cloned().collect(),
        held: Vec::new(),
        executing: engine_state.is_occupied(now),
        megabytes,
    }
}

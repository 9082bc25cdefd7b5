//! Moves copies of models to where the demand is.

use super::account::Account;
use super::wire::{Operation, Outcome, Report};
use super::{Holder, Lead, Term, engine_of};
use flamingo_daemon::clock;
use flamingo_place::spread::{self, Engine, Model, Move};
use flamingo_state::Command;
use flamingo_wire::id;
use flamingo_wire::route::{self, Service, Set};
use slog::info;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Time between two questions whether an engine has carried out an order.
const POLL: Duration = Duration::from_millis(120);
/// Time that the entries have to hear that a model is about to go.
const NOTICE: Duration = Duration::from_millis(30);
/// Longest time for which an order is waited for.
const LONGEST: Duration = Duration::from_secs(40);
/// Time after a move that failed before the engine is given another.
const REST: Duration = Duration::from_secs(1);
/// Times that one order is given while it stays unclear whether it was taken.
const TRIES: usize = 4;
/// Time after an unclear order before the engine is asked; its reports lag behind.
const AGAIN: Duration = Duration::from_millis(300);
/// Time after which a model that no engine holds is placed before those that are wanted.
const OVERDUE: Duration = Duration::from_secs(15);
/// Moves that may be under way at a time, at least.
const MOVES: usize = 8;
/// Engines of a service for each further one: while an engine loads, it serves what it holds.
const ENGINES_PER_MOVE: usize = 2;
/// Engines of a service for each further move that begins in one round.
const ENGINES_PER_BEGUN: usize = 50;
/// Demand from which a model is named in the log, in engines.
const NOTED: f64 = 0.05;
/// Moves under way at which no copy is made ahead of demand.
const AHEAD: usize = 1;
/// Demand below which nobody asks for anything yet, in engines.
const IDLE: f64 = 0.05;
/// Loads from the weight store that are left to demand.
const SPARE: f64 = 3.0;
/// Time added to the window of loads, for clocks that differ.
const DRIFT: Duration = Duration::from_millis(500);

impl Holder {
    /// Begins the next moves of each service, where any is worth it.
    pub(super) fn plan(self: &Rc<Self>, lead: &Lead, routes: &Set, now: Instant) {
        for service in &routes.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            self.miss(service, engine, now);
            let count = self.term.borrow().engines_of(&service.name).count();
            for _ in 0..=count / ENGINES_PER_BEGUN {
                let left = self.store(lead, engine, now);
                let Some(found) = self.next(service, engine, left, now) else {
                    break;
                };
                self.begin(found);
            }
        }
    }

    /// Returns the next move of a service; `left` loads from the weight store may begin now.
    fn next(
        &self,
        service: &Service,
        engine: &route::Engine,
        left: f64,
        now: Instant,
    ) -> Option<Move> {
        let term = self.term.borrow();
        let accounts: Vec<_> = term.engines_of(&service.name).collect();
        let moving = accounts.iter().filter(|account| account.moving).count();
        if moving >= MOVES.max(accounts.len() / ENGINES_PER_MOVE) {
            return None;
        }
        let models = engine.models.iter().map(|model| Model {
            name: model.name.clone(),
            megabytes: model.megabytes,
            store_s: model.load_s,
            own_s: model.disk_s,
            demand: term.demands.rate(&service.name, &model.name, now),
            adapted: model.adapters > 0,
            overdue: term.overdue(&service.name, &model.name, now),
        });
        let mut models: Vec<_> = models.collect();
        spread::hedge(&mut models);
        let adapters = engine.models.iter().map(|model| model.adapter_megabytes);
        let largest = adapters.fold(0.0, f64::max) * f64::from(engine.adapters);
        let staying = accounts
            .iter()
            .filter(|account| !account.registration.leaving);
        let engines = staying.map(|account| seen(account, engine.megabytes - largest, now));
        let engines: Vec<_> = engines.collect();
        self.note(&service.name, &models, &engines, now);
        let ahead = || {
            let asked: f64 = models.iter().map(|model| model.demand).sum();
            let most = if asked < IDLE { accounts.len() } else { AHEAD };
            if left < SPARE || moving >= most {
                return None;
            }
            spread::ahead(&models, &engines, |engine| {
                let account = term.accounts.get(&engine.target);
                asked >= IDLE || account.is_some_and(|account| account.moves == 0)
            })
        };
        spread::next(&models, &engines, left >= 1.0).or_else(ahead)
    }

    /// Notes since when no engine holds a model.
    fn miss(&self, service: &Service, engine: &route::Engine, now: Instant) {
        let mut term = self.term.borrow_mut();
        let term = &mut *term;
        let held: BTreeSet<_> = term.accounts.values().flat_map(Account::models).collect();
        for model in &engine.models {
            let key = (service.name.clone(), model.name.clone());
            if held.contains(&model.name) {
                term.missing.remove(&key);
            } else {
                term.missing.entry(key).or_insert(now);
            }
        }
    }

    /// Writes once a second which models are asked for, and how many copies they have.
    fn note(&self, service: &str, models: &[Model], engines: &[Engine], now: Instant) {
        if !self.noted.borrow_mut().due(now) {
            return;
        }
        let mut asked: Vec<_> = models.iter().filter(|model| model.demand > NOTED).collect();
        asked.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        let copies = |model: &Model| {
            let mut count = 0;
            let mut coming = 0;
            for engine in engines
                .iter()
                .filter(|engine| engine.models.contains(&model.name))
            {
                count += 1;
                coming += usize::from(engine.moving);
            }
            format!("{}:{:.2}/{count}-{coming}", model.name, model.demand)
        };
        let asked: Vec<_> = asked.into_iter().take(6).map(copies).collect();
        info!(self.log, "demand"; "service" => service, "models" => asked.join(" "),
            "engines" => engines.len());
    }

    /// Returns how many loads from the weight store may begin now.
    fn store(&self, lead: &Lead, engine: &route::Engine, now: Instant) -> f64 {
        let window = self.bounds.window + DRIFT;
        let most = engine.loads_per_s * self.bounds.window.as_secs_f64() + self.bounds.spare;
        let wall = SystemTime::now();
        let recent = |begun: &&SystemTime| {
            // One that lies ahead of this clock has just begun.
            wall.duration_since(**begun).unwrap_or_default() < window
        };
        let logged = lead.loads.iter().filter(recent).count();
        let mut term = self.term.borrow_mut();
        term.begun.retain(|begun| now < *begun + window);
        let begun = logged.max(term.begun.len());
        let begun = u32::try_from(begun).unwrap_or(u32::MAX);
        most - f64::from(begun)
    }

    fn begin(self: &Rc<Self>, found: Move) {
        info!(self.log, "move"; "target" => &found.target, "load" => &found.load,
            "unload" => found.unload.join(","), "store" => found.store);
        {
            let mut term = self.term.borrow_mut();
            if found.store {
                term.begun.push(clock::now());
            }
            let Some(account) = term.accounts.get_mut(&found.target) else {
                return;
            };
            account.moving = true;
            account.moves += 1;
            account.loading = Some(found.load.clone());
        }
        let holder = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let why = holder.carry(&found).await.err();
            info!(holder.log, "move ended"; "target" => &found.target, "load" => &found.load,
                "why" => why.unwrap_or("done"));
            let mut term = holder.term.borrow_mut();
            if let Some(account) = term.accounts.get_mut(&found.target) {
                account.moving = false;
                account.rest = why.map(|_| clock::now() + REST);
                account.loading = None;
                account.leaving = None;
            }
            drop(term);
            holder.publish(&found.target);
        });
    }

    async fn carry(&self, found: &Move) -> Result<(), &'static str> {
        for model in &found.unload {
            self.change(&found.target, |account| {
                account.leaving = Some(model.clone());
            });
            self.publish(&found.target);
            tokio::time::sleep(NOTICE).await;
            self.order(&found.target, Operation::Unload, model).await?;
            self.idle(&found.target, model, false).await?;
            self.change(&found.target, |account| account.leaving = None);
        }
        self.room(found)?;
        if found.store {
            let load = crate::keeper::Propose(Command::Load(1));
            match self.core.keeper.send(load).await {
                Ok(flamingo_wire::control::Reply::Acknowledged) => {}
                _ => return Err("the load could not be recorded"),
            }
        }
        self.order(&found.target, Operation::Load, &found.load)
            .await?;
        self.idle(&found.target, &found.load, true).await?;
        self.change(&found.target, |account| account.loaded(&found.load));
        Ok(())
    }

    /// Checks that an engine has room for a model, by all that it holds or may hold.
    fn room(&self, found: &Move) -> Result<(), &'static str> {
        let term = self.term.borrow();
        let account = term
            .accounts
            .get(&found.target)
            .ok_or("the engine has gone")?;
        let routes = term.routes.as_ref().ok_or("no routes are in force")?;
        let engine = engine_of(routes, &account.registration.service).ok_or("not an engine")?;
        let size = |model: &str| {
            let mut models = engine.models.iter();
            let model = models.find(|known| known.name == model);
            model.map_or((engine.megabytes, 0.0), |model| {
                (model.megabytes, model.adapter_megabytes)
            })
        };
        let (weights, _) = size(&found.load);
        if account.megabytes(size) + weights > engine.megabytes {
            return Err("the engine has no room");
        }
        Ok(())
    }

    fn change(&self, target: &str, change: impl FnOnce(&mut Account)) {
        let mut term = self.term.borrow_mut();
        if let Some(account) = term.accounts.get_mut(target) {
            change(account);
        }
    }

    /// Gives an order for a model, and again where it stays unclear whether it was taken.
    async fn order(
        &self,
        target: &str,
        operation: Operation,
        model: &id::Model,
    ) -> Result<(), &'static str> {
        let lane = self.lane(target);
        for _ in 0..TRIES {
            let turn = lane.lock().await;
            let outcome = self.give(target, operation, model, None).await;
            drop(turn);
            match outcome {
                Outcome::Begun | Outcome::Holds => return Ok(()),
                Outcome::Fenced => return Err("another holder gives orders"),
                Outcome::Refused => return Err("the order was not given or not taken"),
                Outcome::Unclear | Outcome::Conflict => {}
            }
            tokio::time::sleep(AGAIN).await;
            if let Some(report) = self.ask(target).await
                && (report.busy || holds(&report, model) == (operation == Operation::Load))
            {
                return Ok(());
            }
        }
        Err("it stays unclear whether the order was taken")
    }

    /// Waits until an engine carries out no order, and then holds `model` or not, as `wanted`.
    async fn idle(
        &self,
        target: &str,
        model: &id::Model,
        wanted: bool,
    ) -> Result<(), &'static str> {
        let end = clock::now() + LONGEST;
        while clock::now() < end {
            tokio::time::sleep(POLL).await;
            let known = self.term.borrow().accounts.contains_key(target);
            if !known {
                return Err("the engine has gone");
            }
            let Some(report) = self.ask(target).await else {
                continue;
            };
            if report.busy {
                continue;
            }
            if holds(&report, model) == wanted {
                return Ok(());
            }
            return Err("the engine did not carry it out");
        }
        Err("the engine took too long")
    }
}

impl Term {
    /// Returns the engines of a service.
    fn engines_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Account> {
        let accounts = self.accounts.values();
        accounts.filter(move |account| account.registration.service == service)
    }

    /// Returns whether no engine has held a model for long.
    fn overdue(&self, service: &str, model: &str, now: Instant) -> bool {
        let key = (service.to_owned(), model.to_owned());
        let since = self.missing.get(&key);
        since.is_some_and(|since| now >= *since + OVERDUE)
    }
}

/// Returns whether an engine says that it holds a model.
fn holds(report: &Report, model: &id::Model) -> bool {
    report.models.iter().any(|held| &held.model == model)
}

/// Returns an engine as the planner sees it.
fn seen(account: &Account, megabytes: f64, now: Instant) -> Engine {
    let registration = &account.registration;
    let copies = registration.in_memory.iter().chain(&registration.on_disk);
    Engine {
        target: registration.id.clone(),
        models: account.models(),
        coming: account.loading.clone(),
        copies: copies.cloned().collect(),
        moving: account.occupied(now),
        megabytes,
    }
}

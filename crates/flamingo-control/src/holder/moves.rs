//! Moves copies of models to where the demand is.

use super::account::Account;
use super::wire::{Operation, Outcome};
use super::{Holder, Lead};
use flamingo_daemon::clock;
use flamingo_place::spread::{self, Engine, Model, Move};
use flamingo_state::Command;
use flamingo_wire::id;
use flamingo_wire::route::Set;
use slog::info;
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
/// Moves that may be under way at a time.
const MOVES: usize = 4;
/// Time added to the window of loads, for clocks that differ.
const DRIFT: Duration = Duration::from_secs(1);

impl Holder {
    /// Begins the next move of each service, where one is worth it.
    pub(super) fn plan(self: &Rc<Self>, lead: &Lead, routes: &Set, now: Instant) {
        for service in &routes.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let store = self.store(lead, engine, now);
            let found = {
                let term = self.term.borrow();
                let accounts = term.accounts.values();
                let accounts: Vec<_> = accounts
                    .filter(|account| account.word.service == service.name)
                    .collect();
                let moving = accounts.iter().filter(|account| account.moving).count();
                if moving >= MOVES {
                    continue;
                }
                let models = engine.models.iter().map(|model| Model {
                    name: model.name.clone(),
                    megabytes: model.megabytes,
                    demand: term.demands.rate(&service.name, &model.name, now),
                });
                let models: Vec<_> = models.collect();
                let adapters = engine.models.iter().map(|model| model.adapter_megabytes);
                let largest = adapters.fold(0.0, f64::max) * f64::from(engine.adapters);
                let engines = accounts.iter().filter(|account| !account.word.leaving);
                let engines = engines.map(|account| seen(account, engine.megabytes - largest, now));
                let engines: Vec<_> = engines.collect();
                spread::next(&models, &engines, store)
            };
            if let Some(found) = found {
                self.begin(found);
            }
        }
    }

    /// Returns whether a load from the weight store may begin.
    fn store(&self, lead: &Lead, engine: &flamingo_wire::route::Engine, now: Instant) -> bool {
        let window = self.bounds.window + DRIFT;
        let most = engine.loads_per_s * self.bounds.window.as_secs_f64();
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
        f64::from(begun) + 1.0 <= most
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
            self.change(&found.target, |account| account.leaving = Some(model.clone()));
            self.publish(&found.target);
            tokio::time::sleep(NOTICE).await;
            self.order(&found.target, Operation::Unload, model).await?;
            self.idle(&found.target, None).await?;
            self.change(&found.target, |account| account.leaving = None);
        }
        if found.store {
            let load = crate::keeper::Propose(Command::Load(1));
            match self.core.keeper.send(load).await {
                Ok(flamingo_wire::control::Reply::Noted) => {}
                _ => return Err("the load could not be recorded"),
            }
        }
        self.order(&found.target, Operation::Load, &found.load).await?;
        self.idle(&found.target, Some(&found.load)).await?;
        self.change(&found.target, |account| account.loaded(&found.load));
        Ok(())
    }

    fn change(&self, target: &str, change: impl FnOnce(&mut Account)) {
        let mut term = self.term.borrow_mut();
        if let Some(account) = term.accounts.get_mut(target) {
            change(account);
        }
    }

    async fn order(
        &self,
        target: &str,
        operation: Operation,
        model: &id::Model,
    ) -> Result<(), &'static str> {
        let lane = {
            let mut term = self.term.borrow_mut();
            Rc::clone(term.lanes.entry(target.to_owned()).or_default())
        };
        let _turn = lane.lock().await;
        match self.give(target, operation, model, None).await {
            Outcome::Begun | Outcome::Holds | Outcome::Unclear => Ok(()),
            Outcome::Conflict => Err("another order is under way"),
            Outcome::Fenced => Err("another holder gives orders"),
            Outcome::Refused => Err("the order was not given or not taken"),
        }
    }

    /// Waits until an engine carries out no order, and holds `model` where one is named.
    async fn idle(&self, target: &str, model: Option<&id::Model>) -> Result<(), &'static str> {
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
            let held = model.is_none_or(|model| {
                let mut models = report.models.iter();
                models.any(|held| &held.model == model)
            });
            if !report.busy && held {
                return Ok(());
            }
            if !report.busy && model.is_some() {
                return Err("the engine did not load it");
            }
        }
        Err("the engine took too long")
    }
}

/// Returns an engine as the planner sees it.
fn seen(account: &Account, megabytes: f64, now: Instant) -> Engine {
    let word = &account.word;
    let copies = word.in_memory.iter().chain(&word.on_disk);
    Engine {
        target: word.id.clone(),
        models: account.models(),
        copies: copies.cloned().collect(),
        moving: account.occupied(now),
        megabytes,
    }
}

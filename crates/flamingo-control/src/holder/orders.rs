//! Gives single orders: brings adapters, and asks engines for their state.

use super::wire::{Operation, Order, Outcome, Report};
use super::{Holder, engine_of};
use flamingo_daemon::clock;
use flamingo_wire::control::LoadAdapter;
use flamingo_wire::id;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Time that an engine has to answer an order or a question.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time of the leadership that must be left for an order to be given.
const SPARE: Duration = Duration::from_millis(100);
/// Time after which an adapter that was ordered is taken to be there.
const SETTLE: Duration = Duration::from_millis(12);

impl Holder {
    /// Returns the lane of an engine: who holds it gives orders there.
    pub(super) fn lane(&self, target: &str) -> Rc<Mutex<()>> {
        let mut term = self.term.borrow_mut();
        Rc::clone(term.lanes.entry(target.to_owned()).or_default())
    }

    /// Asks an engine for its state.
    pub(super) async fn inquire(self: Rc<Self>, target: id::Target) {
        let lane = self.lane(&target);
        let _turn = lane.lock().await;
        if self.ask(&target).await.is_some() {
            self.publish(&target);
        }
    }

    /// Asks an engine for its state; nothing where its answer is older than the last order.
    pub(super) async fn ask(&self, target: &str) -> Option<Report> {
        let registration = {
            let term = self.term.borrow();
            term.accounts.get(target)?.registration.clone()
        };
        let deadline = Instant::now() + PATIENCE;
        let report = self.engines.report(&registration, deadline).await?;
        let mut term = self.term.borrow_mut();
        let account = term.accounts.get_mut(target)?;
        let same = account.registration.incarnation == registration.incarnation;
        (same && account.reported(&report, clock::now())).then_some(report)
    }

    /// Gives one order, while this instance leads; the lane of the engine must be held.
    pub(super) async fn give(
        &self,
        target: &str,
        operation: Operation,
        model: &str,
        adapter: Option<&str>,
    ) -> Outcome {
        let unknown = {
            let term = self.term.borrow();
            term.accounts
                .get(target)
                .is_none_or(|account| account.sequence().is_none())
        };
        if unknown && self.ask(target).await.is_none() {
            return Outcome::Refused;
        }
        let Some(lead) = self.lead().await else {
            return Outcome::Refused;
        };
        let now = clock::now();
        let order = {
            let term = self.term.borrow();
            let account = term.accounts.get(target);
            let known =
                account.and_then(|account| Some((account.sequence()?, &account.registration)));
            let Some((expected, registration)) = known else {
                return Outcome::Refused;
            };
            let current = term.fence == lead.fence && !term.fenced;
            if !current || term.first.is_none_or(|first| now < first) || now + SPARE >= lead.until {
                return Outcome::Refused;
            }
            Order {
                target: target.to_owned(),
                address: registration.address,
                operation,
                model: model.to_owned(),
                adapter: adapter.map(str::to_owned),
                expected,
                holder: self.node.clone(),
                fence: lead.fence,
            }
        };
        let given = self.engines.order(order.clone(), Instant::now() + PATIENCE);
        let outcome = given.await;
        let mut term = self.term.borrow_mut();
        if outcome == Outcome::Fenced {
            term.fenced = true;
        }
        if let Some(account) = term.accounts.get_mut(target) {
            account.settle(&order, outcome, clock::now());
        }
        let (operation, outcome_name): (&str, &str) = (operation.into(), outcome.into());
        info!(self.log, "order"; "target" => target, "operation" => operation, "model" => model,
            "adapter" => adapter, "expected" => order.expected, "fence" => order.fence,
            "outcome" => outcome_name);
        outcome
    }

    /// Brings an adapter to an engine.
    pub(super) async fn adapt(&self, adapt: &LoadAdapter) -> Result<(), &'static str> {
        if !self.may_order(clock::now()) {
            return Err("it does not hold the orders yet");
        }
        let lane = self.lane(&adapt.target);
        let _turn = lane.lock().await;
        let lead = self.lead().await.ok_or("it does not lead")?;
        let routes = lead.routes.ok_or("no routes are in force")?;
        {
            let mut term = self.term.borrow_mut();
            let account = term
                .accounts
                .get_mut(&adapt.target)
                .ok_or("no such engine")?;
            if account.registration.incarnation != adapt.incarnation {
                return Err("the engine has started again");
            }
            if !account.holds(&adapt.model) {
                return Err("the engine does not hold the model");
            }
            if account.loading.is_some() || account.leaving.is_some() {
                return Err("the engine carries out another order");
            }
            if account.adapted(&adapt.model, &adapt.adapter, clock::now()) {
                return Ok(());
            }
        }
        for _ in 0..2 {
            if let Some((model, adapter)) = self.crowded(&adapt.target, &routes)? {
                let operation = Operation::Unload;
                let outcome = self
                    .give(&adapt.target, operation, &model, Some(&adapter))
                    .await;
                if !matches!(outcome, Outcome::Begun | Outcome::Holds) {
                    return Err("no adapter could make way");
                }
            }
        }
        let operation = Operation::Load;
        let outcome = self
            .give(&adapt.target, operation, &adapt.model, Some(&adapt.adapter))
            .await;
        if !matches!(outcome, Outcome::Begun | Outcome::Holds) {
            return Err("the engine did not take the order");
        }
        tokio::time::sleep(SETTLE).await;
        self.publish(&adapt.target);
        Ok(())
    }

    /// Returns the adapter that has to make way for another one, if any.
    fn crowded(
        &self,
        target: &str,
        routes: &flamingo_wire::route::Set,
    ) -> Result<Option<(id::Model, id::Adapter)>, &'static str> {
        let term = self.term.borrow();
        let account = term.accounts.get(target).ok_or("no such engine")?;
        let engine = engine_of(routes, &account.registration.service).ok_or("not an engine")?;
        let most = usize::try_from(engine.adapters).unwrap_or(usize::MAX);
        if account.adapters() < most {
            return Ok(None);
        }
        let used = term.demands.adapters(target);
        let stale = account.stale(&used, clock::now());
        stale.map(Some).ok_or("no adapter may make way")
    }
}

//! The leader task that runs the pure [`Placer`] and sends its orders to engines.
//!
//! An order is sent only after its intent is committed and only while this instance leads. Each
//! order uses a new connection, so that the answer to an interrupted exchange can't be taken for
//! the answer to another one.

use crate::leader_task::{LeaderTask, Leadership};
use awc::Client;
use awc::error::SendRequestError;
use flamingo_place::account::ExchangeResult;
use flamingo_place::placer::{Dispatch, Output, Placer};
use flamingo_state::{Command, State};
use flamingo_wire::admin::{Answer, Query};
use flamingo_wire::config::Set;
use flamingo_wire::control::{Reply, Report};
use flamingo_wire::engine::{Body, Parameters};
use flamingo_wire::fault::Reason;
use flamingo_wire::place::{Action, Order};
use flamingo_wire::{Fault, id};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which the placer runs.
const PLANNING_INTERVAL: Duration = Duration::from_millis(100);
/// Time that sending one order and receiving the answer may take.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of sending one order.
#[derive(Clone, Copy, Debug)]
struct Delivery {
    order: id::Order,
    exchange: ExchangeResult,
}

/// State that the task shares with the deliveries in progress.
#[derive(Debug)]
struct Shared {
    /// When the leadership ends; `None` while this instance doesn't lead.
    until: Cell<Option<Instant>>,
    /// Deliveries that have ended and that the placer doesn't know of yet.
    deliveries: RefCell<Vec<Delivery>>,
}

/// Plans placement and sends orders while this instance leads.
pub struct PlacementTask {
    placer: Placer,
    /// Fencing number of the leadership that the placer knows; `None` while not leading.
    fence: Option<id::Fence>,
    /// Version of the configuration that the placer knows.
    version: Option<id::Version>,
    next_run: Instant,
    client: Client,
    shared: Rc<Shared>,
    log: Logger,
}

impl std::fmt::Debug for PlacementTask {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "PlacementTask({:?})", self.fence)
    }
}

impl PlacementTask {
    /// Builds the task, which does nothing until this instance leads.
    #[must_use]
    pub fn new(log: Logger, now: Instant) -> Self {
        Self {
            placer: Placer::new(now),
            fence: None,
            version: None,
            next_run: now,
            client: Client::default(),
            shared: Rc::new(Shared {
                until: Cell::new(None),
                deliveries: RefCell::new(Vec::new()),
            }),
            log,
        }
    }

    /// Passes a new version of the configuration to the placer.
    fn configure(&mut self, state: &State) {
        let version = state.configuration.version();
        if self.version != Some(version) {
            self.version = Some(version);
            self.placer.configure(state.configuration.snapshot());
        }
    }

    /// Logs an output of the placer and sends its order. Returns the command to propose, if any.
    fn handle_output(&self, output: Output, now: Instant) -> Option<Command> {
        match output {
            Output::Propose(order) => {
                let action: &str = (&order.action).into();
                let (Action::Load(copy) | Action::Unload(copy)) = &order.action;
                info!(self.log, "order proposed"; "order" => order.id, "action" => action,
                    "model" => &copy.model, "version" => copy.version, "target" => &order.target,
                    "memory" => order.memory, "reason" => &order.reason,
                    "free" => self.placer.account().free(&order.target, now));
                Some(Command::Intend(order))
            }
            Output::Settle(settlement) => {
                info!(self.log, "order ended"; "order" => settlement.end.order,
                    "target" => &settlement.target, "outcome" => %settlement.end.outcome);
                Some(Command::Settle(settlement))
            }
            Output::Send(dispatch) => {
                self.send_order(dispatch);
                None
            }
            Output::Alarm(missing) => {
                warn!(self.log, "no room for a model"; "model" => missing.model,
                    "reason" => missing.reason);
                None
            }
            Output::Clear(model) => {
                info!(self.log, "room for a model again"; "model" => model);
                None
            }
        }
    }

    /// Starts a task that sends an order and records the result.
    fn send_order(&self, dispatch: Dispatch) {
        let client = self.client.clone();
        let shared = Rc::clone(&self.shared);
        let log = self.log.clone();
        actix_rt::spawn(async move {
            let order = dispatch.order.id;
            let exchange = deliver(&client, &shared, &dispatch).await;
            info!(log, "order sent"; "order" => order, "fence" => dispatch.order.fence,
                "target" => dispatch.order.target, "exchange" => %exchange);
            shared
                .deliveries
                .borrow_mut()
                .push(Delivery { order, exchange });
        });
    }
}

impl LeaderTask for PlacementTask {
    fn run(&mut self, state: &State, leadership: &Leadership, now: Instant) -> Vec<Command> {
        self.shared.until.set(Some(leadership.until));
        if now < self.next_run {
            return Vec::new();
        }
        self.next_run = now + PLANNING_INTERVAL;
        for delivery in self.shared.deliveries.take() {
            self.placer
                .record_exchange(delivery.order, delivery.exchange);
        }
        self.configure(state);
        let orders = state.orders.book();
        if self.fence != Some(leadership.fence) {
            self.fence = Some(leadership.fence);
            self.placer.lead(leadership.fence, orders, now);
        }
        let outputs = self.placer.tick(orders, now);
        let commands = outputs
            .into_iter()
            .map(|output| self.handle_output(output, now));
        commands.flatten().collect()
    }

    fn leadership_lost(&mut self) {
        self.shared.until.set(None);
        self.fence = None;
        self.placer.follow();
    }

    fn command_replied(&mut self, command: &Command, reply: &Reply) {
        if let (Command::Intend(order), Reply::Refused(_)) = (command, reply) {
            self.placer.reject(order.id);
        }
    }

    fn report(&mut self, report: &Report, now: Instant) {
        self.placer.report(report, now);
    }

    fn objection(&self, set: &Set, now: Instant) -> Option<Fault> {
        let error = self.placer.objection(set, now)?;
        let help = "remove models or copies, or add accelerators";
        Some(Fault::not_run(Reason::Invalid, error.to_string(), help))
    }

    fn answer(&self, query: &Query, _: &State) -> Option<Answer> {
        let now = Instant::now();
        match query {
            Query::Targets => Some(Answer::Targets(self.placer.targets(now))),
            Query::Placement => Some(Answer::Placement(self.placer.placement(now))),
            Query::Explain(model) => self.placer.explain(model, now).map(Answer::Explain),
            Query::DryRun(set) => Some(Answer::Moves(self.placer.dry_run(set, now))),
            _ => None,
        }
    }
}

/// Sends one order, if this instance still leads right before sending.
async fn deliver(client: &Client, shared: &Shared, dispatch: &Dispatch) -> ExchangeResult {
    let order = &dispatch.order;
    let verb = match order.action {
        Action::Load(_) => "load",
        Action::Unload(_) => "unload",
    };
    let (Action::Load(copy) | Action::Unload(copy)) = &order.action;
    let address = dispatch.address;
    let url = format!(
        "http://{address}/v2/repository/models/{}/{verb}",
        copy.model
    );
    let request = client.post(url).force_close().timeout(DELIVERY_TIMEOUT);
    let body = order_body(order, copy.version);
    let leads = shared
        .until
        .get()
        .is_some_and(|until| Instant::now() < until);
    if !leads {
        return ExchangeResult::Unsent;
    }
    match request.send_json(&body).await {
        Ok(response) if response.status().is_success() => ExchangeResult::Answered,
        Ok(response) if response.status().is_client_error() => ExchangeResult::Refused,
        Err(SendRequestError::Connect(_) | SendRequestError::Url(_)) => ExchangeResult::Unsent,
        Ok(_) | Err(_) => ExchangeResult::Lost,
    }
}

fn order_body(order: &Order, version: u32) -> Body {
    Body {
        parameters: Parameters {
            order: order.id,
            fence: order.fence,
            incarnation: order.incarnation,
            version,
            memory: order.memory,
        },
    }
}

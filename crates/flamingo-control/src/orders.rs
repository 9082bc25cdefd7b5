//! Orders to engines: the leader's leader_task around the pure placement.
//!
//! An order is sent only once its intent is committed, only while the leadership
//! holds, and each time on a connection of its own, so that an exchange that was
//! cut can't be mixed up with another one.

use crate::leader_task::{LeaderTask, Leadership};
use awc::Client;
use awc::error::SendRequestError;
use flamingo_place::account::Exchange;
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

/// Time between two looks at what there is to do.
const EVERY: Duration = Duration::from_millis(100);
/// Time that the exchange of one order may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// How one exchange went.
#[derive(Clone, Copy, Debug)]
struct Sent {
    order: id::Order,
    exchange: Exchange,
}

/// What the leader_task shares with the exchanges that it started.
#[derive(Debug)]
struct Shared {
    /// When the leadership ends; nothing while this instance doesn't lead.
    until: Cell<Option<Instant>>,
    /// Exchanges that are over.
    sent: RefCell<Vec<Sent>>,
}

/// Plans placement and sends orders, on the leader.
pub struct Orders {
    placer: Placer,
    fence: Option<id::Fence>,
    version: Option<id::Version>,
    next: Instant,
    client: Client,
    shared: Rc<Shared>,
    log: Logger,
}

impl std::fmt::Debug for Orders {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Orders({:?})", self.fence)
    }
}

impl Orders {
    /// Builds the leader_task; it begins with the first leadership.
    #[must_use]
    pub fn new(log: Logger, now: Instant) -> Self {
        Self {
            placer: Placer::new(now),
            fence: None,
            version: None,
            next: now,
            client: Client::default(),
            shared: Rc::new(Shared {
                until: Cell::new(None),
                sent: RefCell::new(Vec::new()),
            }),
            log,
        }
    }

    fn configure(&mut self, state: &State) {
        let version = state.configuration.version();
        if self.version != Some(version) {
            self.version = Some(version);
            self.placer.configure(state.configuration.snapshot());
        }
    }

    fn act(&self, output: Output, now: Instant) -> Option<Command> {
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
                self.send(dispatch);
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

    fn send(&self, dispatch: Dispatch) {
        let client = self.client.clone();
        let shared = Rc::clone(&self.shared);
        let log = self.log.clone();
        actix_rt::spawn(async move {
            let order = dispatch.order.id;
            let exchange = exchange(&client, &shared, &dispatch).await;
            info!(log, "order sent"; "order" => order, "fence" => dispatch.order.fence,
                "target" => dispatch.order.target, "exchange" => %exchange);
            shared.sent.borrow_mut().push(Sent { order, exchange });
        });
    }
}

impl LeaderTask for Orders {
    fn run(&mut self, state: &State, leadership: &Leadership, now: Instant) -> Vec<Command> {
        self.shared.until.set(Some(leadership.until));
        if now < self.next {
            return Vec::new();
        }
        self.next = now + EVERY;
        for sent in self.shared.sent.take() {
            self.placer.exchanged(sent.order, sent.exchange);
        }
        self.configure(state);
        let book = state.orders.book();
        if self.fence != Some(leadership.fence) {
            self.fence = Some(leadership.fence);
            self.placer.lead(leadership.fence, book, now);
        }
        let outputs = self.placer.tick(book, now);
        let commands = outputs.into_iter().map(|output| self.act(output, now));
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
        let help = "take models or copies out, or add accelerators";
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

/// Sends one order, if this instance still leads when the bytes are to leave.
async fn exchange(client: &Client, shared: &Shared, dispatch: &Dispatch) -> Exchange {
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
    let request = client.post(url).force_close().timeout(PATIENCE);
    let body = body(order, copy.version);
    let leads = shared
        .until
        .get()
        .is_some_and(|until| Instant::now() < until);
    if !leads {
        return Exchange::Unsent;
    }
    match request.send_json(&body).await {
        Ok(answer) if answer.status().is_success() => Exchange::Answered,
        Ok(answer) if answer.status().is_client_error() => Exchange::Refused,
        Err(SendRequestError::Connect(_) | SendRequestError::Url(_)) => Exchange::Unsent,
        Ok(_) | Err(_) => Exchange::Lost,
    }
}

fn body(order: &Order, version: u32) -> Body {
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

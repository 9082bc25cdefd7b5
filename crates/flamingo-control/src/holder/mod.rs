//! The one holder of orders to engines: the leader, while its leadership lasts.
//!
//! It brings adapters to engines when entries ask, and moves copies of models to where the
//! demand is. Each order carries the fencing number of the leadership and the number of
//! orders that the engine must have taken, so that a late one changes nothing.

pub mod account;
pub mod demand;
pub mod wire;

mod moves;
mod orders;

use crate::daemon::Core;
use crate::keeper::Look;
use crate::watch::lock;
use account::Account;
use demand::Demands;
use flamingo_daemon::clock;
use flamingo_wire::control::{Push, Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::route::{Engine, Set};
use flamingo_wire::{Fault, id};
use slog::{Logger, info};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{Mutex, mpsc, oneshot};
use wire::Engines;

/// Time between two looks at demand and engines.
const ROUND: Duration = Duration::from_millis(100);
/// Time between two words to the entries on each other's requests.
const LOADS: Duration = Duration::from_millis(100);
/// Time between two questions to an engine that nothing is known to go on at.
const ASK: Duration = Duration::from_secs(2);
/// Time after an election for which a holder hears of engines before its first order, where
/// fencing numbers are checked.
const SETTLE: Duration = Duration::from_millis(300);
/// Silence after which an engine's copies are not counted on.
const SILENT: Duration = Duration::from_secs(4);

/// What an entry asks of the holder.
#[derive(Debug)]
pub struct Question {
    /// The entry.
    pub from: id::Node,
    /// What it asks.
    pub request: Request,
    /// Takes the answer.
    pub reply: oneshot::Sender<Reply>,
}

/// Asks the holder, and waits for its answer.
pub async fn ask(holder: &mpsc::Sender<Question>, from: &str, request: Request) -> Reply {
    let (reply, answer) = oneshot::channel();
    let question = Question {
        from: from.to_owned(),
        request,
        reply,
    };
    if holder.try_send(question).is_err() {
        return Reply::Refused(busy("too many questions wait"));
    }
    answer
        .await
        .unwrap_or_else(|_| Reply::Refused(busy("it ended")))
}

/// Says why the holder can't do something now.
fn busy(why: &str) -> Fault {
    let message = format!("the holder of orders can't do it: {why}");
    Fault::not_run(Reason::Overloaded, message, "ask again").retry_after(1)
}

/// Bounds on orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between the last order of one holder and the first of the next.
    pub lease: Duration,
    /// Whether engines refuse orders with a fencing number below one that they have seen.
    pub fenced: bool,
    /// Loads from the weight store that may begin in a window beside its rate.
    pub spare: f64,
    /// Window over which loads from the weight store are counted.
    pub window: Duration,
}

/// What a holder is started with.
pub struct Start {
    /// This instance.
    pub node: id::Node,
    /// Log, state and targets.
    pub core: Core,
    /// Speaks to engines.
    pub engines: Rc<dyn Engines>,
    /// What entries ask.
    pub questions: mpsc::Receiver<Question>,
    /// Bounds on orders.
    pub bounds: Bounds,
    /// Log lines.
    pub log: Logger,
}

/// A leadership that allows orders.
#[derive(Clone, Debug)]
struct Lead {
    fence: id::Fence,
    until: Instant,
    routes: Option<Arc<Set>>,
    /// Wall-clock times at which loads from the weight store began.
    loads: Vec<SystemTime>,
}

/// What is kept while this instance leads.
#[derive(Debug, Default)]
struct Term {
    fence: id::Fence,
    /// When the first order may be given.
    first: Option<Instant>,
    /// The engines have seen a higher fencing number.
    fenced: bool,
    accounts: BTreeMap<id::Target, Account>,
    lanes: BTreeMap<id::Target, Rc<Mutex<()>>>,
    asked: BTreeMap<id::Target, Instant>,
    demands: Demands,
    /// Since when no engine holds a model, by service and model.
    missing: BTreeMap<(id::Service, id::Model), Instant>,
    routes: Option<Arc<Set>>,
    /// When this instance began loads from the weight store.
    begun: Vec<Instant>,
    told: Option<Instant>,
}

/// Lets something happen once a second at most.
#[derive(Debug, Default)]
struct Pace {
    next: Option<Instant>,
}

impl Pace {
    /// Returns whether it is time again.
    fn due(&mut self, now: Instant) -> bool {
        let due = self.next.is_none_or(|next| now >= next);
        if due {
            self.next = Some(now + Duration::from_secs(1));
        }
        due
    }
}

/// Gives orders while this instance leads.
struct Holder {
    node: id::Node,
    core: Core,
    engines: Rc<dyn Engines>,
    bounds: Bounds,
    term: RefCell<Term>,
    noted: RefCell<Pace>,
    log: Logger,
}

/// Works for ever.
pub async fn run(start: Start) {
    let holder = Rc::new(Holder {
        node: start.node,
        core: start.core,
        engines: start.engines,
        bounds: start.bounds,
        term: RefCell::default(),
        noted: RefCell::default(),
        log: start.log,
    });
    let mut questions = start.questions;
    let mut round = tokio::time::interval(ROUND);
    round.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            question = questions.recv() => {
                let Some(question) = question else {
                    return;
                };
                tokio::task::spawn_local(Rc::clone(&holder).answer(question));
            }
            _ = round.tick() => holder.round().await,
        }
    }
}

impl Holder {
    async fn answer(self: Rc<Self>, question: Question) {
        let reply = match question.request {
            Request::LoadAdapter(adapt) => match self.adapt(&adapt).await {
                Ok(()) => Reply::Acknowledged,
                Err(why) => {
                    info!(self.log, "adapter not brought"; "target" => &adapt.target,
                        "model" => &adapt.model, "adapter" => &adapt.adapter, "why" => why);
                    Reply::Refused(busy(why))
                }
            },
            Request::Usage(tally) => {
                let mut term = self.term.borrow_mut();
                term.demands.take(clock::now(), &question.from, tally);
                Reply::Acknowledged
            }
            _ => Reply::Refused(busy("it is not asked that")),
        };
        // The entry may have gone.
        let _ = question.reply.send(reply);
    }

    /// Returns the leadership, if it holds right now.
    async fn lead(&self) -> Option<Lead> {
        let glance = Look(Box::new(|state, leadership| {
            leadership.map(|leadership| Lead {
                fence: leadership.fence,
                until: leadership.until,
                routes: state.routes.clone(),
                loads: state.loads.clone(),
            })
        }));
        let lead: Option<Lead> = self.core.keeper.send(glance).await.ok()?;
        lead.filter(|lead| clock::now() < lead.until)
    }

    async fn round(self: &Rc<Self>) {
        let Some(lead) = self.lead().await else {
            *self.term.borrow_mut() = Term::default();
            return;
        };
        let now = clock::now();
        self.enter(&lead, now);
        let Some(routes) = lead.routes.clone() else {
            return;
        };
        self.term.borrow_mut().routes = Some(Arc::clone(&routes));
        self.survey(&routes, now);
        self.tell(now);
        if self.may_order(now) {
            self.plan(&lead, &routes, now);
        }
    }

    /// Begins a new leadership.
    fn enter(&self, lead: &Lead, now: Instant) {
        let mut term = self.term.borrow_mut();
        if term.fence == lead.fence {
            return;
        }
        // Before the first leadership of all nobody gave orders; where engines check fencing
        // numbers, those of the holder before are refused from the first order on.
        let wait = match (lead.fence, self.bounds.fenced) {
            (0 | 1, _) => Duration::ZERO,
            (_, true) => SETTLE,
            (_, false) => self.bounds.lease,
        };
        info!(self.log, "holder of orders"; "fence" => lead.fence, "wait_ms" => wait.as_millis());
        let demands = std::mem::take(&mut term.demands);
        *term = Term {
            fence: lead.fence,
            first: Some(now + wait),
            demands,
            ..Term::default()
        };
    }

    fn may_order(&self, now: Instant) -> bool {
        let term = self.term.borrow();
        !term.fenced && term.first.is_some_and(|first| now >= first)
    }

    /// Takes in what targets said of themselves, and asks those of which too little is known.
    fn survey(self: &Rc<Self>, routes: &Set, now: Instant) {
        let registrations = lock(&self.core.registry).fresh(now, SILENT);
        let mut term = self.term.borrow_mut();
        let term = &mut *term;
        let engine = |registration: &flamingo_wire::target::Registration| {
            engine_of(routes, &registration.service).is_some() && !registration.gone
        };
        let registrations: Vec<_> = registrations.into_iter().filter(engine).collect();
        term.accounts.retain(|id, account| {
            account.moving
                || registrations
                    .iter()
                    .any(|registration| &registration.id == id)
        });
        for registration in registrations {
            let known = term.accounts.get_mut(&registration.id);
            match known {
                Some(known) if known.registration.incarnation == registration.incarnation => {
                    known.registration = registration;
                }
                _ => {
                    let id = registration.id.clone();
                    term.asked.remove(&id);
                    term.accounts.insert(id, Account::new(registration, now));
                }
            }
        }
        for (id, account) in &term.accounts {
            let asked = term.asked.get(id);
            let due = asked.is_none_or(|asked| {
                let known = account.sequence().is_some() && !account.occupied(now);
                let pause = if known { ASK } else { ROUND * 3 };
                now >= *asked + pause
            });
            if due && !account.moving {
                term.asked.insert(id.clone(), now);
                tokio::task::spawn_local(Rc::clone(self).inquire(id.clone()));
            }
        }
    }

    /// Tells the entries of each other's requests.
    fn tell(&self, now: Instant) {
        let mut term = self.term.borrow_mut();
        if term.told.is_some_and(|told| now < told + LOADS) {
            return;
        }
        term.told = Some(now);
        let loads = term.demands.loads(now);
        lock(&self.core.registry).push(Push::Loads(loads));
    }

    /// Tells the entries what an engine holds.
    fn publish(&self, target: &str) {
        let term = self.term.borrow();
        if let Some(account) = term.accounts.get(target) {
            let holding = account.holding();
            lock(&self.core.registry).hold(vec![holding]);
        }
    }
}

/// Returns the engines of a service.
fn engine_of<'a>(routes: &'a Set, service: &str) -> Option<&'a Engine> {
    let mut services = routes.services.iter();
    let found = services.find(|known| known.name == service);
    found.and_then(|service| service.engine.as_ref())
}

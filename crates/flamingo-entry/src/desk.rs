//! The actor that holds the router and tells each request's task what to do.

use crate::known::Known;
use crate::metric::Metric;
use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler, Message};
use flamingo_route::action::{Decision, Dispatch, Input};
use flamingo_route::{Action, Limit, Request, Router};
use flamingo_wire::control::Demand;
use flamingo_wire::event::{Event, Sink};
use flamingo_wire::{Fault, id};
use slog::{Logger, info};
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two updates of the gauges.
const GAUGE: u32 = 50;

/// What the task of a request is told.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a target.
    Dispatch(Dispatch),
    /// Give the caller this final answer.
    Refuse(Fault),
}

/// A new request and where its commands go.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Arrive {
    /// The request.
    pub ask: Request,
    /// Takes its commands.
    pub reply: UnboundedSender<Command>,
}

/// News for the router about one request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Tell {
    /// The request.
    pub request: id::Request,
    /// The news.
    pub input: Input,
    /// Whether the request is over with it.
    pub over: bool,
}

/// News from the link.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct News(pub Event);

/// Asks for the demand since the last such question.
#[derive(Debug, Message)]
#[rtype(result = "Vec<Demand>")]
pub struct Count;

/// Asks for the number of requests without a final answer, and ends the actor.
#[derive(Debug, Message)]
#[rtype(result = "usize")]
pub struct Close;

/// The actor.
#[derive(Debug)]
pub struct Desk {
    router: Router,
    replies: HashMap<id::Request, UnboundedSender<Command>>,
    metric: Metric,
    log: Logger,
    ticks: u32,
}

impl Desk {
    /// Builds the actor of an entry in `zone`.
    #[must_use]
    pub fn new(zone: id::Zone, limit: Limit, seed: u64, metric: Metric, log: Logger) -> Self {
        Self {
            router: Router::new(zone, limit, seed),
            replies: HashMap::new(),
            metric,
            log,
            ticks: 0,
        }
    }

    fn step(&mut self, input: Input) {
        for action in self.router.step(Instant::now(), input) {
            match action {
                Action::Dispatch(dispatch) => {
                    self.metric.attempts.inc();
                    let reply = self.replies.get(&dispatch.request);
                    if let Some(reply) = reply {
                        // A task that is gone has told so, or will by its ticket's drop.
                        let _ = reply.send(Command::Dispatch(dispatch));
                    }
                }
                Action::Refuse { request, fault } => self.refuse(&request, fault),
                // The attempt's task ends by itself: its answer was decided here.
                Action::Cancel { .. } => {}
                Action::Log(decision) => self.note(&decision),
            }
        }
    }

    fn refuse(&mut self, request: &id::Request, fault: Fault) {
        let reason: &str = fault.reason.into();
        self.metric.refused.with_label_values(&[reason]).inc();
        info!(self.log, "refused"; "request" => request, "reason" => reason,
            "verdict" => %fault.verdict, "retry_after" => fault.retry_after,
            "message" => &fault.message);
        if let Some(reply) = self.replies.remove(request) {
            let _ = reply.send(Command::Refuse(fault));
        }
    }

    fn note(&self, decision: &Decision) {
        let mut candidates = String::new();
        for candidate in &decision.candidates {
            let millis = candidate.predicted.as_secs_f64() * 1e3;
            let _ = write!(candidates, "{}={millis:.1}ms ", candidate.target);
        }
        let target = match &decision.choice {
            flamingo_route::action::Choice::Dispatch(target) => target.as_str(),
            _ => "",
        };
        info!(self.log, "routed"; "request" => &decision.request,
            "choice" => %decision.choice, "pool" => %decision.pool, "target" => target,
            "candidates" => candidates.trim_end(), "reason" => decision.reason);
    }

    fn tick(&mut self) {
        self.step(Input::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(GAUGE) {
            let number = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
            self.metric.live.set(number(self.router.admitted()));
            self.metric.queued.set(number(self.router.queued()));
            let targets = self.router.fleet().iter().count();
            self.metric.targets.set(number(targets));
        }
    }
}

impl Actor for Desk {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |desk, _| desk.tick());
    }
}

impl Handler<Arrive> for Desk {
    type Result = ();

    fn handle(&mut self, arrive: Arrive, _: &mut Self::Context) {
        self.metric.arrived.inc();
        self.replies.insert(arrive.ask.id.clone(), arrive.reply);
        self.step(Input::Arrive(arrive.ask));
    }
}

impl Handler<Tell> for Desk {
    type Result = ();

    fn handle(&mut self, tell: Tell, _: &mut Self::Context) {
        if let Input::Failed(failure) = &tell.input {
            self.metric.failed.inc();
            info!(self.log, "attempt failed"; "request" => &tell.request,
                "verdict" => %failure.verdict, "message" => &failure.message);
        }
        if tell.over {
            self.replies.remove(&tell.request);
        }
        self.step(tell.input);
    }
}

impl Handler<News> for Desk {
    type Result = ();

    fn handle(&mut self, news: News, _: &mut Self::Context) {
        self.step(Input::Update(news.0));
    }
}

impl Handler<Count> for Desk {
    type Result = Vec<Demand>;

    fn handle(&mut self, _: Count, _: &mut Self::Context) -> Vec<Demand> {
        self.router.demand()
    }
}

impl Handler<Close> for Desk {
    type Result = usize;

    fn handle(&mut self, _: Close, context: &mut Self::Context) -> usize {
        context.stop();
        self.router.admitted()
    }
}

/// Takes the link's news to the actor and to what the workers know.
#[derive(Debug)]
pub struct Inbox {
    /// The actor.
    pub desk: Addr<Desk>,
    /// What the workers know.
    pub known: Arc<Known>,
}

impl Sink for Inbox {
    fn take(&self, event: Event) {
        if let Event::Config(snapshot) = &event {
            self.known.install(snapshot);
        }
        self.desk.do_send(News(event));
    }
}

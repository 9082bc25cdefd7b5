//! Actor that owns the router and sends its decisions to the tasks of the requests.

use crate::metrics::Metrics;
use crate::worker_state::WorkerState;
use actix::fut::wrap_future;
use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message,
    MessageResult,
};
use flamingo_daemon::clock;
use flamingo_guard::observer::Life;
use flamingo_route::action::{Decision, Dispatch, Input};
use flamingo_route::{Action, Limit, Request, Router};
use flamingo_wire::control::Demand;
use flamingo_wire::event::{Event, Sink};
use flamingo_wire::prompt::Evidence;
use flamingo_wire::{Fault, id};
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// Time between two checks of the router for expired deadlines and requests that can be sent.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between a broken connection and the probe of its target: the connections of one crash break
/// within this time.
const PROBE_DELAY: Duration = Duration::from_millis(10);
/// Time within which a target must accept the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of ticks between two updates of the gauges.
const TICKS_PER_GAUGE_UPDATE: u32 = 50;

/// Instruction from the router to the task of a request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a target.
    Dispatch(Dispatch),
    /// Answer the caller with this fault; the request is over.
    Refuse(Fault),
}

/// Message that adds a request to the router.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AddRequest {
    /// The request.
    pub request: Request,
    /// Channel to the request's task.
    pub commands: UnboundedSender<Command>,
}

/// Message with the router's next input about a request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct RequestInput {
    /// Id of the request.
    pub request: id::Request,
    /// Input for the router.
    pub input: Input,
    /// Whether the request ends with this input and gets no more commands.
    pub ends_request: bool,
}

/// Message with an event from the link.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct LinkEvent(pub Event);

/// Message that asks for the demand counted since the previous `TakeDemand`.
#[derive(Debug, Message)]
#[rtype(result = "Vec<Demand>")]
pub struct TakeDemand;

/// Message that asks for the evidence against prompts that the leader does not know yet.
#[derive(Debug, Message)]
#[rtype(result = "Evidence")]
pub struct TakeEvidence {
    /// The leader.
    pub leader: id::Node,
}

/// Message that stops the actor. The reply is the number of requests without a final response.
#[derive(Debug, Message)]
#[rtype(result = "usize")]
pub struct Shutdown;

/// Owns the router, and the command channel of each request without a final response.
#[derive(Debug)]
pub struct Dispatcher {
    router: Router,
    command_channels: HashMap<id::Request, UnboundedSender<Command>>,
    metrics: Metrics,
    log: Logger,
    ticks: u32,
}

impl Dispatcher {
    /// Builds the actor of an entry in `zone`. `seed` seeds the router's random choices.
    #[must_use]
    pub fn new(zone: id::Zone, limit: Limit, seed: u64, metrics: Metrics, log: Logger) -> Self {
        Self {
            router: Router::new(zone, limit, seed),
            command_channels: HashMap::new(),
            metrics,
            log,
            ticks: 0,
        }
    }

    fn step(&mut self, input: Input, context: &mut Context<Self>) {
        for action in self.router.step(Instant::now(), input) {
            match action {
                Action::Dispatch(dispatch) => {
                    self.metrics.attempts.inc();
                    let commands = self.command_channels.get(&dispatch.request);
                    if let Some(commands) = commands {
                        // If the task is gone, the drop of its `Handle` tells the router.
                        let _ = commands.send(Command::Dispatch(dispatch));
                    }
                }
                Action::Refuse { request, fault } => self.refuse(&request, fault),
                // The router has already given the request its final response, so its task ends.
                Action::Cancel { .. } => {}
                Action::Probe { life, address } => Self::probe(life, address, context),
                Action::Quarantine(finding) => {
                    let kind: &str = finding.kind.into();
                    info!(self.log, "prompts refused"; "kind" => kind, "model" => &finding.key.service,
                        "prefix" => format!("{:x}", finding.key.part), "events" => finding.events,
                        "answered" => finding.answered);
                }
                Action::Log(decision) => self.log_decision(&decision),
            }
        }
    }

    /// Connects to a target, and tells the router whether it accepted the connection.
    fn probe(life: Life, address: SocketAddr, context: &mut Context<Self>) {
        let connect = async move {
            tokio::time::sleep(PROBE_DELAY).await;
            let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
            matches!(connected, Ok(Ok(_)))
        };
        let probe = wrap_future::<_, Self>(connect).map(|reachable, dispatcher, context| {
            let input = if reachable {
                Input::Reachable(life)
            } else {
                Input::Crashed(life)
            };
            dispatcher.step(input, context);
        });
        context.spawn(probe);
    }

    fn refuse(&mut self, request: &id::Request, fault: Fault) {
        let reason: &str = fault.reason.into();
        self.metrics.refused.with_label_values(&[reason]).inc();
        info!(self.log, "refused"; "request" => request, "reason" => reason,
            "verdict" => %fault.verdict, "retry_after" => fault.retry_after,
            "message" => &fault.message);
        if let Some(commands) = self.command_channels.remove(request) {
            let _ = commands.send(Command::Refuse(fault));
        }
    }

    fn log_decision(&self, decision: &Decision) {
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

    fn tick(&mut self, context: &mut Context<Self>) {
        self.step(Input::Tick, context);
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_GAUGE_UPDATE) {
            let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.live.set(gauge(self.router.admitted()));
            self.metrics.queued.set(gauge(self.router.queued()));
            let targets = self.router.fleet().iter().count();
            self.metrics.targets.set(gauge(targets));
        }
    }
}

impl Actor for Dispatcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK_INTERVAL, Self::tick);
    }
}

impl Handler<AddRequest> for Dispatcher {
    type Result = ();

    fn handle(&mut self, added: AddRequest, context: &mut Self::Context) {
        self.metrics.arrived.inc();
        self.command_channels
            .insert(added.request.id.clone(), added.commands);
        self.step(Input::Arrive(added.request), context);
    }
}

impl Handler<RequestInput> for Dispatcher {
    type Result = ();

    fn handle(&mut self, update: RequestInput, context: &mut Self::Context) {
        if let Input::Failed(failure) = &update.input {
            self.metrics.failed.inc();
            info!(self.log, "attempt failed"; "request" => &update.request,
                "verdict" => %failure.verdict, "message" => &failure.message);
        }
        if update.ends_request {
            self.command_channels.remove(&update.request);
        }
        self.step(update.input, context);
    }
}

impl Handler<LinkEvent> for Dispatcher {
    type Result = ();

    fn handle(&mut self, event: LinkEvent, context: &mut Self::Context) {
        if let Event::Config(snapshot) = &event.0 {
            let workspaces = snapshot.set.workspaces.iter();
            let with_quota = workspaces.filter(|workspace| workspace.quota.is_some());
            match with_quota.count() {
                0 => {}
                count => warn!(self.log, "quotas not enforced"; "workspaces" => count,
                    "version" => snapshot.version),
            }
        }
        self.step(Input::Update(event.0), context);
    }
}

impl Handler<TakeDemand> for Dispatcher {
    type Result = Vec<Demand>;

    fn handle(&mut self, _: TakeDemand, _: &mut Self::Context) -> Vec<Demand> {
        self.router.demand()
    }
}

impl Handler<TakeEvidence> for Dispatcher {
    type Result = MessageResult<TakeEvidence>;

    fn handle(&mut self, asked: TakeEvidence, _: &mut Self::Context) -> Self::Result {
        let evidence = self.router.take_evidence(&asked.leader, Instant::now());
        MessageResult(evidence)
    }
}

impl Handler<Shutdown> for Dispatcher {
    type Result = usize;

    fn handle(&mut self, _: Shutdown, context: &mut Self::Context) -> usize {
        context.stop();
        self.router.admitted()
    }
}

/// Passes the link's events to the actor, and new configurations also to the workers.
#[derive(Debug)]
pub struct EventSink {
    /// The actor that owns the router.
    pub dispatcher: Addr<Dispatcher>,
    /// State that the workers share.
    pub state: Arc<WorkerState>,
}

impl Sink for EventSink {
    fn take(&self, event: Event) {
        if let Event::Config(snapshot) = &event {
            self.state.install(snapshot);
        }
        if matches!(event, Event::LeaderHeard) {
            return self.state.record_leader(clock::now());
        }
        self.dispatcher.do_send(LinkEvent(event));
    }
}

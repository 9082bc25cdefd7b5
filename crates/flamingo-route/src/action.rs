//! What goes into the router and what comes out.

use crate::request::{Pool, Request};
use flamingo_wire::event::Event;
use flamingo_wire::{Fault, Verdict, id};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Identity of one attempt of a request.
pub type AttemptId = u64;

/// What the router is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request arrived.
    Arrive(Request),
    /// The state of a target, the configuration or the set of live entries changed.
    Update(Event),
    /// The adapter that an attempt needed is loaded.
    Loaded(AttemptId),
    /// The answer of an attempt has begun.
    Begun(AttemptId),
    /// The answer of an attempt was seen to its end.
    Ended(AttemptId),
    /// An attempt failed.
    Failed(Failure),
    /// The caller went away.
    CallerGone(id::Request),
    /// Time has passed.
    Tick,
}

/// How an attempt failed.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Whether the failure counts against the target, which then gets a cooldown.
    pub target_at_fault: bool,
    /// Time that the target asked to get no new requests; `None` if it set no such time.
    pub retry_after: Option<Duration>,
    /// Whether another attempt can still give the caller a whole answer.
    pub resumable: bool,
    /// What was seen.
    pub message: String,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to a target.
    Dispatch(Dispatch),
    /// Give the caller the final answer.
    Refuse {
        /// The request.
        request: id::Request,
        /// The answer.
        fault: Fault,
    },
    /// Stop an attempt by closing its connection.
    Cancel {
        /// The request.
        request: id::Request,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Log a decision.
    Log(Decision),
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub request: id::Request,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: id::Target,
    /// Where the target takes requests.
    pub address: SocketAddr,
    /// Model that an adapter must first be loaded on, and the adapter.
    pub load: Option<(id::Model, id::Adapter)>,
    /// Rank for the engine's own queue.
    pub rank: u8,
    /// Time by which the first byte of the response must have arrived.
    pub first_byte_deadline: Instant,
}

/// A decision, for the log.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The request.
    pub request: id::Request,
    /// What it needs.
    pub pool: Pool,
    /// What was decided.
    pub choice: Choice,
    /// The targets weighed.
    pub candidates: SmallVec<[Candidate; 3]>,
    /// Why.
    pub reason: &'static str,
}

/// What was decided.
#[derive(Clone, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Choice {
    /// Dispatched to a target.
    Dispatch(id::Target),
    /// Queued.
    Queue,
    /// To be tried again later.
    Delay,
    /// Refused.
    Refuse,
}

/// A target that was weighed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: id::Target,
    /// Predicted time to the first token.
    pub predicted: Duration,
}

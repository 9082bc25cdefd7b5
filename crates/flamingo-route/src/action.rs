//! Inputs and actions of the router.

use crate::request::{Pool, Request};
use flamingo_guard::observer::Life;
use flamingo_guard::quarantine::Finding;
use flamingo_wire::event::Event;
use flamingo_wire::{Fault, Verdict, id};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Identifier of one attempt to serve a request at a target, unique within a router.
pub type AttemptId = u64;

/// An event that the router reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request arrived.
    Arrive(Request),
    /// The state of a target, the configuration or the set of live entries changed.
    Update(Event),
    /// The target has loaded the adapter that an attempt needs.
    Loaded(AttemptId),
    /// An attempt's response says that its target leaves.
    Leaving(AttemptId),
    /// The first byte of an attempt's response arrived.
    Begun(AttemptId),
    /// An attempt's response arrived completely.
    Ended(AttemptId),
    /// An attempt failed.
    Failed(Failure),
    /// A target accepted the connection of a probe.
    Reachable(Life),
    /// A target accepted no connection after connections to it broke.
    Crashed(Life),
    /// The caller closed its connection before the final answer.
    CallerGone(id::Request),
    /// Lets the router handle timers that are due; given at short regular intervals.
    Tick,
}

/// Report of a failed attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The attempt that failed.
    pub attempt: AttemptId,
    /// Whether the target ran the request, may have run it, or did not run it.
    pub verdict: Verdict,
    /// Whether the failure counts against the target, which then gets a cooldown.
    pub target_at_fault: bool,
    /// Time that the target asked to get no new requests; `None` if it set no such time.
    pub retry_after: Option<Duration>,
    /// Whether another attempt can still give the caller a complete response.
    pub resumable: bool,
    /// Description of the failure for the caller and the log.
    pub message: String,
}

/// An effect that the owner of the router must carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to a target.
    Dispatch(Dispatch),
    /// Give the caller an error as the final answer.
    Refuse {
        /// The refused request.
        request: id::Request,
        /// Error for the caller.
        fault: Fault,
    },
    /// Stop an attempt by closing its connection.
    Cancel {
        /// The request that the attempt belongs to.
        request: id::Request,
        /// The attempt to stop.
        attempt: AttemptId,
    },
    /// Connect to a target whose connections broke, to find out whether it has crashed.
    Probe {
        /// The target and its incarnation.
        life: Life,
        /// Address at which the target accepted requests.
        address: SocketAddr,
    },
    /// Write to the log that prompts with this prefix are refused from now on.
    Quarantine(Finding),
    /// Write a routing decision to the log.
    Log(Decision),
}

/// Order to send a request to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request to send.
    pub request: id::Request,
    /// Identifier of the new attempt.
    pub attempt: AttemptId,
    /// Target that receives the request.
    pub target: id::Target,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Model and adapter to load on the target before the request is sent; `None` if the
    /// target has all that the request needs.
    pub load: Option<(id::Model, id::Adapter)>,
    /// Rank of the request, for the priority queue of the engine.
    pub rank: u8,
    /// Time by which the first byte of the response must have arrived.
    pub first_byte_deadline: Instant,
}

/// A routing decision, for the log.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The request that was decided on.
    pub request: id::Request,
    /// Model or service that serves the request.
    pub pool: Pool,
    /// Outcome of the decision.
    pub choice: Choice,
    /// Targets that were compared; empty where none were.
    pub candidates: SmallVec<[Candidate; 3]>,
    /// Reason for the outcome, for operators.
    pub reason: &'static str,
}

/// Outcome of a routing decision.
#[derive(Clone, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Choice {
    /// The request is sent to this target.
    Dispatch(id::Target),
    /// The request waits in the queue of its pool.
    Queue,
    /// The request waits for a back-off time before its next attempt.
    Delay,
    /// The request is refused.
    Refuse,
}

/// A target that was compared with others for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the target.
    pub target: id::Target,
    /// Predicted time to the first token.
    pub predicted: Duration,
}

//! A caller's request: what the router needs to know of it, and its state once admitted.

use flamingo_wire::config::LatePolicy;
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::{Verdict, id};
use smallvec::SmallVec;
use std::fmt;
use std::time::Instant;

/// A model or a plain service; all targets that serve it form one pool.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Pool {
    /// A model.
    Model(id::Model),
    /// A plain service.
    Service(id::Service),
}

impl fmt::Display for Pool {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(out, "model '{name}'"),
            Self::Service(name) => write!(out, "service '{name}'"),
        }
    }
}

/// A prefix of a prompt, identified by a hash over its first `tokens` tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prefix {
    /// Hash over the tokens of the prefix.
    pub hash: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Prefixes of one prompt, ordered from the shortest to the whole prompt.
pub type Prefixes = SmallVec<[Prefix; 8]>;

/// A request as it arrives at the router, before admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier of the request, unique in the system.
    pub id: id::Request,
    /// Model or service that the caller named; a model may be named by one of its adapters.
    pub pool: Pool,
    /// Profile that the caller named; `None` selects the default limits.
    pub profile: Option<id::Profile>,
    /// Rank of the caller's workspace, in place of the profile's; `None` leaves the profile's.
    pub rank: Option<u8>,
    /// Prefixes of the prompt; empty for a plain service.
    pub prefixes: Prefixes,
    /// Identity of the whole request, which its repeats share.
    pub fingerprint: Fingerprint,
    /// Whether the request may be retried although an earlier attempt may have run.
    pub idempotent: bool,
}

/// An admitted request that has not had its final answer yet.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Model or service that serves the request.
    pub pool: Pool,
    /// Adapter that the model needs for this request, if any.
    pub adapter: Option<id::Adapter>,
    /// Prefixes of the prompt; empty for a plain service.
    pub prefixes: Prefixes,
    /// Identity of the whole request, which its repeats share.
    pub fingerprint: Fingerprint,
    /// Whether the request may be retried although an earlier attempt may have run.
    pub idempotent: bool,
    /// Rank from the profile; 0 is the most urgent.
    pub rank: u8,
    /// Time by which the latency objective wants the first token.
    pub objective: Instant,
    /// Time at which the request fails if no byte of a response has arrived.
    pub deadline: Instant,
    /// Whether the request is refused or served late when the objective can't be met.
    pub late_policy: LatePolicy,
    /// Worst verdict over the attempts so far: how certain it is that none of them ran.
    pub verdict: Verdict,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Targets at which an attempt failed; selection prefers others.
    pub failed: SmallVec<[id::Target; 2]>,
    /// Current stage between admission and the final answer.
    pub stage: Stage,
}

/// Stage of an admitted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Waits in the queue of its pool; holds the sequence number of its queue position.
    Queued(u64),
    /// Waits until the given time before the next attempt.
    Delayed(Instant),
    /// Sent to a target by the given attempt; no byte of the response has arrived.
    Running(u64),
    /// The response of the given attempt has begun to arrive.
    Answering(u64),
}

impl Admitted {
    /// Returns the key that sends similar requests to the same target: the adapter, or
    /// else the shortest prefix of the prompt. `None` if the request has neither.
    #[must_use]
    pub fn affinity(&self) -> Option<u64> {
        let adapter = self.adapter.as_ref().map(crate::ring::hash);
        adapter.or_else(|| self.prefixes.first().map(|prefix| prefix.hash))
    }

    /// Returns the length of the whole prompt in tokens; 0 for a plain service.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.prefixes.last().map_or(0, |prefix| prefix.tokens)
    }
}

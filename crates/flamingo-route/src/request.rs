//! A caller's request as the decisions see it.

use flamingo_wire::config::Late;
use flamingo_wire::{Verdict, id};
use smallvec::SmallVec;
use std::fmt;
use std::time::Instant;

/// What a set of targets can all serve: a model or a plain service.
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

/// The start of a prompt: a hash over its first `tokens` tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prefix {
    /// Hash over the tokens.
    pub hash: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Prefixes of a prompt, from the shortest to the whole.
pub type Prefixes = SmallVec<[Prefix; 8]>;

/// A request as it arrives at the router, before admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identity.
    pub id: id::Request,
    /// What it needs; a model may be named by one of its adapters.
    pub pool: Pool,
    /// Profile that the caller picked.
    pub profile: Option<id::Profile>,
    /// Prefixes of its prompt.
    pub prefixes: Prefixes,
    /// Whether it may be sent again after it may have run.
    pub idempotent: bool,
}

/// An admitted request that has not had its final answer yet.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// What it needs.
    pub pool: Pool,
    /// Adapter that it needs.
    pub adapter: Option<id::Adapter>,
    /// Prefixes of its prompt.
    pub prefixes: Prefixes,
    /// Whether it may be sent again after it may have run.
    pub idempotent: bool,
    /// Rank of its profile; 0 is the most urgent.
    pub rank: u8,
    /// When its first token is promised.
    pub promise: Instant,
    /// When it is given up on, if no byte of an answer was seen.
    pub give_up: Instant,
    /// What happens when the promise can't be met.
    pub late: Late,
    /// The worst verdict over its attempts so far.
    pub verdict: Verdict,
    /// Attempts so far.
    pub attempts: u32,
    /// Targets that failed it.
    pub failed: SmallVec<[id::Target; 2]>,
    /// Where it stands.
    pub stage: Stage,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// In its pool's queue, under this turn.
    Queued(u64),
    /// Waits until then to be tried again.
    Delayed(Instant),
    /// At a target.
    Running(u64),
    /// At a target, and its answer has begun.
    Answering(u64),
}

impl Admitted {
    /// Returns the key by which requests gather on targets, if any.
    #[must_use]
    pub fn affinity(&self) -> Option<u64> {
        let adapter = self.adapter.as_ref().map(crate::ring::hash);
        adapter.or_else(|| self.prefixes.first().map(|prefix| prefix.hash))
    }

    /// Returns the tokens of the whole prompt.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.prefixes.last().map_or(0, |prefix| prefix.tokens)
    }
}

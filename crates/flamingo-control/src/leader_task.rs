//! What only the leader does.
//!
//! To add a leader_task, implement [`LeaderTask`] and hand it to
//! [`crate::raft_actor::Options::leader_tasks`]. The raft_actor calls [`LeaderTask::run`] a few times
//! a second, only while this instance leads by its own clock and its leadership
//! is committed; what the leader_task returns is proposed. A side effect, such as an
//! order to an engine, belongs to a later call of `run`, once the state that is
//! handed in holds its intent with the fence of [`Leadership`].

use flamingo_state::{Command, State};
use flamingo_wire::admin::{Answer, Query};
use flamingo_wire::config::Set;
use flamingo_wire::control::{Reply, Report};
use flamingo_wire::{Fault, id};
use std::time::Instant;

/// The leadership of this instance, checked just now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leadership {
    /// Its term in the log.
    pub term: id::Term,
    /// Its fencing number, committed.
    pub fence: id::Fence,
    /// When it ends, unless a majority is heard before; checked again right before
    /// an effect.
    pub until: Instant,
}

/// Something that only the leader does.
pub trait LeaderTask {
    /// Does what is due at `now` and returns commands to propose.
    ///
    /// It must not block; `state` is all that is committed.
    fn run(&mut self, state: &State, leadership: &Leadership, now: Instant) -> Vec<Command>;

    /// Takes the word that this instance no longer leads: nothing may be sent.
    fn leadership_lost(&mut self) {}

    /// Takes the reply to a committed command, on the leader alone, or the refusal of
    /// a command of its own that was not taken.
    fn command_replied(&mut self, command: &Command, reply: &Reply) {
        let _ = (command, reply);
    }

    /// Takes an entry's report.
    fn report(&mut self, report: &Report, now: Instant) {
        let _ = (report, now);
    }

    /// Returns why a set must not be accepted.
    fn objection(&self, set: &Set, now: Instant) -> Option<Fault> {
        let _ = (set, now);
        None
    }

    /// Answers an operator's question that it knows of.
    fn answer(&self, query: &Query, state: &State) -> Option<Answer> {
        let _ = (query, state);
        None
    }
}

//! Tasks that run only on the leader.
//!
//! To add a task, implement [`LeaderTask`] and pass it in
//! [`crate::raft_actor::Options::leader_tasks`]. The Raft actor calls [`LeaderTask::run`] at each
//! tick while this instance leads by its own clock and its leadership is committed, and proposes
//! the commands that `run` returns. A side effect, such as an order to an engine, belongs to a
//! later call of `run`, when the state holds the committed intent with the fencing number of
//! [`Leadership`].

use flamingo_state::{Command, State};
use flamingo_wire::admin::{Answer, Query};
use flamingo_wire::config::Set;
use flamingo_wire::control::{Reply, Report};
use flamingo_wire::{Fault, id};
use std::time::Instant;

/// The leadership of this instance, valid when it is passed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leadership {
    /// Term of the log.
    pub term: id::Term,
    /// Fencing number of this leadership, committed.
    pub fence: id::Fence,
    /// When the leadership ends unless a majority acknowledges it before. To be checked again
    /// right before a side effect.
    pub until: Instant,
}

/// A task that runs only on the leader.
pub trait LeaderTask {
    /// Does the work that is due at `now` and returns commands to propose.
    ///
    /// Must not block. `state` holds all committed commands.
    fn run(&mut self, state: &State, leadership: &Leadership, now: Instant) -> Vec<Command>;

    /// Called when this instance has lost its leadership; no side effects are allowed from now on.
    fn leadership_lost(&mut self) {}

    /// Called on the leader with each committed command and its reply, and with a refusal for a
    /// command of a task that could not be proposed.
    fn command_replied(&mut self, command: &Command, reply: &Reply) {
        let _ = (command, reply);
    }

    /// Called with each report of an entry.
    fn report(&mut self, report: &Report, now: Instant) {
        let _ = (report, now);
    }

    /// Returns why a configuration must not be accepted, or `None` where the task allows it.
    fn objection(&self, set: &Set, now: Instant) -> Option<Fault> {
        let _ = (set, now);
        None
    }

    /// Answers an operator's query, or returns `None` for a query that is not for this task.
    fn answer(&self, query: &Query, state: &State) -> Option<Answer> {
        let _ = (query, state);
        None
    }
}

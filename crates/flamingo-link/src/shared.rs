//! State that the tasks of one link share.

use crate::pool::Pool;
use crate::report::PendingReport;
use crate::status::Counters;
use flamingo_member::Machine;
use flamingo_member::machine::{Action, Envelope};
use flamingo_settings::node::Peer;
use flamingo_wire::event::{Event, Sink};
use flamingo_wire::frame::Seal;
use flamingo_wire::id;
use slog::{Logger, info};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::mpsc::UnboundedSender;

/// State that the tasks of one link share.
pub struct Shared {
    pub node: id::Node,
    pub zone: id::Zone,
    pub seal: Seal,
    pub controls: Vec<Peer>,
    pub sink: Arc<dyn Sink>,
    pub log: Logger,
    pub pool: Pool,
    pub counters: Counters,
    pub pending_report: Mutex<PendingReport>,
    /// The supposed leader: the control instance that answered last, or the one that another
    /// instance named. `None` where none is known.
    pub leader: Mutex<Option<id::Node>>,
    pub machine: Mutex<Machine>,
    pub outgoing: UnboundedSender<Envelope>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Shared({})", self.node)
    }
}

impl Shared {
    /// Passes one input to the state machine and carries out the actions that it returns.
    ///
    /// The state machine stays locked meanwhile, so that events reach the sink in the order in
    /// which they occurred.
    pub fn step<T>(&self, input: impl FnOnce(&mut Machine, Instant) -> (T, Vec<Action>)) -> T {
        let mut machine = self.machine();
        let (output, actions) = input(&mut machine, Instant::now());
        for action in actions {
            match action {
                Action::Emit(event) => {
                    self.log_event(&event);
                    self.sink.take(event);
                }
                // The receiver lives as long as the link's tasks. Once they have ended, messages
                // are not needed any more.
                Action::Send(envelope) => drop(self.outgoing.send(*envelope)),
            }
        }
        output
    }

    /// Passes one input without output to the state machine.
    pub fn tell(&self, input: impl FnOnce(&mut Machine, Instant) -> Vec<Action>) {
        self.step(|machine, now| ((), input(machine, now)));
    }

    /// Logs changes of members, targets and configuration for operators.
    fn log_event(&self, event: &Event) {
        match event {
            Event::Entries(peers) => {
                let live: Vec<_> = peers.iter().map(|peer| peer.node.as_str()).collect();
                info!(self.log, "entries of the zone"; "live" => live.join(" "));
            }
            Event::Suspect(target) => info!(self.log, "target suspected"; "target" => target),
            Event::Gone(target) => info!(self.log, "target lease ended"; "target" => target),
            Event::Config(snapshot) => {
                info!(self.log, "configuration in force"; "version" => snapshot.version);
            }
            Event::Target(_) | Event::Quarantines(_) | Event::LeaderHeard => {}
        }
    }

    pub fn machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn pending_report(&self) -> MutexGuard<'_, PendingReport> {
        self.pending_report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn leader(&self) -> MutexGuard<'_, Option<id::Node>> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

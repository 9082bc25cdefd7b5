//! What the tasks of one link share.

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

/// What the tasks of one link share.
pub struct Shared {
    pub node: id::Node,
    pub zone: id::Zone,
    pub seal: Seal,
    pub controls: Vec<Peer>,
    pub sink: Arc<dyn Sink>,
    pub log: Logger,
    pub pool: Pool,
    pub counters: Counters,
    pub draft: Mutex<PendingReport>,
    /// The control instance that answered last, or that another one named.
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
    /// Lets the machine take one input, and does what it wants.
    ///
    /// Events reach the sink in the order in which they were decided.
    pub fn step<T>(&self, input: impl FnOnce(&mut Machine, Instant) -> (T, Vec<Action>)) -> T {
        let mut machine = self.machine();
        let (output, actions) = input(&mut machine, Instant::now());
        for action in actions {
            match action {
                Action::Emit(event) => {
                    self.note(&event);
                    self.sink.take(event);
                }
                // The receiver lives as long as the link's tasks; after them
                // there is nothing left to send.
                Action::Send(envelope) => drop(self.outgoing.send(*envelope)),
            }
        }
        output
    }

    /// Lets the machine take one input that has no answer.
    pub fn tell(&self, input: impl FnOnce(&mut Machine, Instant) -> Vec<Action>) {
        self.step(|machine, now| ((), input(machine, now)));
    }

    /// Logs what operators ask about later.
    fn note(&self, event: &Event) {
        match event {
            Event::Entries(peers) => {
                let live: Vec<_> = peers.iter().map(|peer| peer.node.as_str()).collect();
                info!(self.log, "entries of the zone"; "live" => live.join(" "));
            }
            Event::Suspect(target) => info!(self.log, "target is silent"; "target" => target),
            Event::Gone(target) => info!(self.log, "target is gone"; "target" => target),
            Event::Config(snapshot) => {
                info!(self.log, "configuration in force"; "version" => snapshot.version);
            }
            Event::Target(_) => {}
        }
    }

    pub fn machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn draft(&self) -> MutexGuard<'_, PendingReport> {
        self.draft.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn leader(&self) -> MutexGuard<'_, Option<id::Node>> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

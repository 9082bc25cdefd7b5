//! What a request takes up at its target.

use super::job::Job;
use crate::choice::Pick;
use crate::topology::Topology;
use flamingo_wire::id;
use flamingo_wire::route::Rank;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Counter a request at its target until it is dropped.
pub struct Slot {
    topology: Rc<Topology>,
    /// The target.
    pub target: id::Target,
    rank: Rank,
    fresh: Cell<u32>,
    adapter: Option<(id::Model, id::Adapter)>,
}

impl Slot {
    /// Counter a job at the target that was picked.
    pub fn take(topology: &Rc<Topology>, pick: &Pick, job: &Job) -> Self {
        let rank = job.route.rank;
        let ask = &job.ask;
        let adapter = ask.model.clone().zip(ask.adapter.clone());
        let mut table = topology.table.borrow_mut();
        if let Some(model) = &ask.model {
            table.sent(&job.service, model, pick.fresh, Instant::now());
        }
        if let Some(target) = table.get_mut(&pick.target) {
            target.own.running += 1;
            target.own.add_backlog(rank, pick.fresh);
            if let Some((model, adapter)) = &adapter {
                target.begin(model, adapter);
            }
        }
        drop(table);
        Self {
            topology: Rc::clone(topology),
            target: pick.target.clone(),
            rank,
            fresh: Cell::new(pick.fresh),
            adapter,
        }
    }

    /// Notes that the prompt has been read.
    pub fn read(&self) {
        let fresh = self.fresh.take();
        if let Some(target) = self.topology.table.borrow_mut().get_mut(&self.target) {
            target.own.remove_backlog(self.rank, fresh);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.read();
        if let Some(target) = self.topology.table.borrow_mut().get_mut(&self.target) {
            target.own.running = target.own.running.saturating_sub(1);
            if let Some((model, adapter)) = &self.adapter {
                target.end(model, adapter);
            }
        }
    }
}

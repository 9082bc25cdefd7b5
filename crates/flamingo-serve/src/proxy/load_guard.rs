//! Counts a request in the load of its target while it is in flight.

use super::job::Job;
use crate::choice::Candidate;
use crate::topology::Topology;
use crate::wire::ResponseHead;
use flamingo_wire::id;
use flamingo_wire::route::Rank;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Counts a request in the load of its target until it is dropped.
pub struct LoadGuard {
    topology: Rc<Topology>,
    /// The target.
    pub target: id::Target,
    rank: Rank,
    /// Prompt tokens that count as backlog, at the prefill rate of the service; 0 after the first event.
    backlog_tokens: Cell<u32>,
    /// Whether the request is late and has no first event yet. Until then it delays no other request, so
    /// it does not count as running.
    late_and_waiting: Cell<bool>,
    adapter: Option<(id::Model, id::Adapter)>,
    /// Whether the target has taken the request.
    taken: Cell<bool>,
}

impl LoadGuard {
    /// Adds a request to the load of the chosen target.
    pub fn new(topology: &Rc<Topology>, candidate: &Candidate, job: &Job) -> Self {
        let rank = candidate.rank;
        let request = &job.request;
        let adapter = request.model.clone().zip(request.adapter.clone());
        let mut table = topology.table.borrow_mut();
        let waits = candidate.is_late(job.route.rank);
        if let Some(model) = request.model.as_ref().filter(|_| !waits) {
            table.record_prompt_tokens(
                &job.service,
                model,
                candidate.uncached_tokens,
                Instant::now(),
            );
        }
        if let Some(target) = table.get_mut(&candidate.target) {
            target.own.running += u32::from(!waits);
            target.own.add_backlog(rank, candidate.work_tokens);
            if let Some((model, adapter)) = &adapter {
                target.begin_adapter_use(model, adapter);
            }
        }
        drop(table);
        Self {
            topology: Rc::clone(topology),
            target: candidate.target.clone(),
            rank,
            backlog_tokens: Cell::new(candidate.work_tokens),
            late_and_waiting: Cell::new(waits),
            adapter,
            taken: Cell::new(false),
        }
    }

    /// Records whether the target has taken the request, by its response.
    pub fn record_response(&self, parsed: &ResponseHead) {
        self.taken.set(parsed.rejection.is_none());
    }

    /// Removes the prompt from the backlog, since its prefill is complete.
    pub fn finish_prefill(&self) {
        let tokens = self.backlog_tokens.take();
        if let Some(target) = self.topology.table.borrow_mut().get_mut(&self.target) {
            target.own.remove_backlog(self.rank, tokens);
            target.own.running += u32::from(self.late_and_waiting.take());
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        if let Some(target) = self.topology.table.borrow_mut().get_mut(&self.target) {
            target.own.running = target.own.running.saturating_sub(1);
            if self.taken.get() {
                target.leave_place(Instant::now());
            }
            if let Some((model, adapter)) = &self.adapter {
                target.end_adapter_use(model, adapter);
            }
        }
    }
}

//! Gets the permit to send a request to a target that names a limit for all entries.

use super::job::{AttemptError, Job};
use super::{ASSUMED_ENTRIES, Proxy};
use crate::choice::Candidate;
use crate::table::Target;
use crate::wire::Cause;
use flamingo_wire::control::{Permit, Reply, Request};
use flamingo_wire::fault::Reason;
use slog::info;
use std::time::{Duration, Instant};

/// Time within which the leader must answer.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

impl Proxy {
    /// Takes a permit to send a request to the chosen target, if that names a limit. Without one the
    /// request goes to another target.
    pub(super) async fn take_permit(
        &self,
        job: &Job,
        candidate: &Candidate,
    ) -> Result<(), AttemptError> {
        let (limit, named) = {
            let table = self.topology.table.borrow();
            let target = table.get(&candidate.target);
            let limit = target.and_then(Target::limit);
            let named = target.and_then(|target| target.availability.limit());
            (limit, named)
        };
        let Some(limit) = limit else {
            return Ok(());
        };
        let (taken, source) = match self.ask_for_permit(job, candidate, named).await {
            Some(taken) => (taken, "leader"),
            None => (self.take_own_permit(candidate), "own"),
        };
        let Err(permit_at) = taken else {
            return Ok(());
        };
        let now = Instant::now();
        info!(self.log, "no permit"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "limit" => limit, "source" => source,
            "wait_ms" => permit_at.saturating_duration_since(now).as_millis());
        if let Some(target) = self.topology.table.borrow_mut().get_mut(&candidate.target) {
            target.availability.record_no_permit(permit_at);
        }
        job.exclude(candidate);
        Err(AttemptError::NotRun(Cause::Paused))
    }

    /// Asks the leader for a permit. Returns `None` if no leader answers.
    async fn ask_for_permit(
        &self,
        job: &Job,
        candidate: &Candidate,
        named: Option<f64>,
    ) -> Option<Result<(), Instant>> {
        let leader = self.topology.peers.borrow().leader?;
        let request = Request::Permit(Permit {
            target: candidate.target.clone(),
            incarnation: candidate.incarnation,
            named,
        });
        let deadline = job.deadline.min(Instant::now() + PERMIT_TIMEOUT);
        let taken = match self.control_client.ask(leader, &request, deadline).await {
            Reply::Acknowledged => Ok(()),
            Reply::NoPermit(wait_ms) => Err(Instant::now() + Duration::from_millis(wait_ms)),
            Reply::Refused(fault) if fault.reason == Reason::Leaderless => {
                self.topology.peers.borrow_mut().remove_leader(leader);
                return None;
            }
            _ => return None,
        };
        if let Some(target) = self.topology.table.borrow_mut().get_mut(&candidate.target) {
            target.drop_permits();
        }
        Some(taken)
    }

    /// Takes a permit from this entry's part of the limit.
    fn take_own_permit(&self, candidate: &Candidate) -> Result<(), Instant> {
        let entries = self.topology.peers.borrow().entries();
        let mut table = self.topology.table.borrow_mut();
        let target = table.get_mut(&candidate.target);
        target.map_or(Ok(()), |target| {
            target.try_take_permit(entries.unwrap_or(ASSUMED_ENTRIES), Instant::now())
        })
    }
}

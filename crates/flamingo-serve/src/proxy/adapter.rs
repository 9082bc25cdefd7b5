//! Has the adapter of a request loaded on the chosen target.

use super::Proxy;
use super::job::{AttemptError, Job};
use crate::choice::Candidate;
use crate::wire::Cause;
use flamingo_wire::control::{LoadAdapter, Reply, Request};
use flamingo_wire::fault::Reason;
use slog::info;
use std::time::{Duration, Instant};

/// Time within which the leader must confirm that an adapter has been loaded.
const ADAPTER_LOAD_TIMEOUT: Duration = Duration::from_millis(700);

impl Proxy {
    /// Requests the leader to load the adapter of a request on the chosen target, and waits until
    /// it is loaded.
    pub(super) async fn load_adapter(
        &self,
        job: &Job,
        candidate: &Candidate,
    ) -> Result<(), AttemptError> {
        let (Some(model), Some(adapter)) = (job.request.model.clone(), job.request.adapter.clone())
        else {
            return Ok(());
        };
        let known = self.topology.peers.borrow().leader;
        let Some(leader) = known else {
            return Err(self.adapter_not_loaded(job, candidate, "no leader is known"));
        };
        let incarnation = {
            let table = self.topology.table.borrow();
            let target = table.get(&candidate.target);
            target.map(|target| target.registration.incarnation)
        };
        let Some(incarnation) = incarnation else {
            return Err(self.adapter_not_loaded(
                job,
                candidate,
                "the target is no longer registered",
            ));
        };
        let request = Request::LoadAdapter(LoadAdapter {
            target: candidate.target.clone(),
            incarnation,
            model: model.clone(),
            adapter: adapter.clone(),
            missed: job.resent.get(),
        });
        let deadline = job.deadline.min(Instant::now() + ADAPTER_LOAD_TIMEOUT);
        match self.control_client.ask(leader, &request, deadline).await {
            Reply::Acknowledged => {
                let mut table = self.topology.table.borrow_mut();
                table.record_adapter(&candidate.target, &model, &adapter);
                Ok(())
            }
            Reply::Refused(fault) => {
                if fault.reason == Reason::Leaderless {
                    // No request is sent to this instance until a control instance names a
                    // leader again, which may be the same one.
                    self.topology.peers.borrow_mut().remove_leader(leader);
                }
                Err(self.adapter_not_loaded(job, candidate, &fault.message))
            }
            other => Err(self.adapter_not_loaded(job, candidate, &format!("{other:?}"))),
        }
    }

    /// Logs that an adapter could not be loaded, and excludes the target for this request.
    fn adapter_not_loaded(&self, job: &Job, candidate: &Candidate, why: &str) -> AttemptError {
        info!(self.log, "adapter not brought"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "why" => why);
        job.exclude(candidate);
        AttemptError::NotRun(Cause::NoModel)
    }
}

//! Finds another target that goes on with a stream.

use super::Proxy;
use super::forward::Begun;
use super::job::Job;
use crate::choice::Candidate;
use slog::info;
use std::rc::Rc;

impl Proxy {
    /// Requests the events after `last_event_id` from other targets. Returns the stream of the first
    /// one that sends an event, or the end of the stream; `None` if there is none.
    pub(super) async fn find_successor(
        self: &Rc<Self>,
        job: &Rc<Job>,
        last_event_id: Option<u64>,
    ) -> Option<Begun> {
        let ask = async |candidate: Candidate| {
            let answered = self.ask(job, candidate, last_event_id).await?;
            let answered = self.check_success(job, answered)?;
            self.first_event(job, answered, last_event_id).await
        };
        let begun = self.find_other(job, ask).await?;
        info!(self.log, "stream resumed"; "request" => &job.request.attempt_id,
            "target" => &begun.candidate.target, "software" => &begun.candidate.software,
            "after" => last_event_id);
        Some(begun)
    }
}

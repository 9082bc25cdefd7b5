//! Requests whose model no target has yet: they wait for a load that is under way, or learn when the
//! model can be there.

use super::Proxy;
use super::job::{AttemptError, Job};
use crate::admission::Timing;
use crate::wire::Cause;
use flamingo_guard::share::Standing;
use flamingo_wire::id;
use flamingo_wire::route::Engine;
use slog::info;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after its expected end in which a load still counts as under way.
pub const LATE_LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// A model of a service.
pub(super) type Key = (id::Service, id::Model);

/// Prompt tokens of the requests of this entry that wait for each model.
pub type Waiting = RefCell<HashMap<Key, u32>>;

/// Counts a request that waits for its model until it is dropped.
pub(super) struct Guard<'a> {
    waiting: &'a Waiting,
    key: Key,
    tokens: u32,
}

impl<'a> Guard<'a> {
    pub(super) fn new(waiting: &'a Waiting, key: Key, tokens: u32) -> Self {
        *waiting.borrow_mut().entry(key.clone()).or_default() += tokens;
        Self {
            waiting,
            key,
            tokens,
        }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.waiting.borrow_mut();
        let rest = waiting.remove(&self.key).unwrap_or(0);
        if rest > self.tokens {
            waiting.insert(self.key.clone(), rest - self.tokens);
        }
    }
}

impl Proxy {
    /// Waits until what is known of the targets' models changes, if the request is predicted to meet its
    /// objective once its model is resident at `ready_at`.
    ///
    /// # Errors
    ///
    /// Returns that the request can't wait for its model.
    pub(super) async fn wait_for_model(
        &self,
        job: &Job,
        ready_at: Instant,
    ) -> Result<(), AttemptError> {
        let refused = AttemptError::NoAlternative(Cause::NoModel);
        let now = Instant::now();
        let (Some(timing), Some(model)) = (self.timing(job, now), job.request.model.clone()) else {
            return Err(refused);
        };
        let key = (job.service.clone(), model);
        let timing = Timing {
            standing: Standing::Unlimited,
            queueing_delay: ready_at.saturating_duration_since(now) + self.waiting_delay(&key),
            ..timing
        };
        if now >= job.deadline || !timing.admitted() {
            return Err(refused);
        }
        info!(self.log, "waits for model"; "request" => &job.request.attempt_id,
            "model" => &key.1, "wait_ms" => timing.queueing_delay.as_millis());
        let changed = self.topology.models_changed.notified();
        let until = job.deadline.min(ready_at + LATE_LOAD_TIMEOUT);
        let _guard = Guard::new(&self.waiting, key, job.request.prompt_tokens);
        // Whether the model has come or the time is over, the next choice of a target finds out.
        let _ = tokio::time::timeout_at(until.into(), changed).await;
        Ok(())
    }

    /// Predicts the time for the prompts of requests that already wait for a model. Each other entry is
    /// assumed to have as many of them as this one.
    fn waiting_delay(&self, key: &Key) -> Duration {
        let tokens = self.waiting.borrow().get(key).copied().unwrap_or(0);
        let entries = u32::try_from(self.entries()).unwrap_or(u32::MAX);
        let table = self.topology.table.borrow();
        let tokens_per_ms = table.speed(&key.0).tokens_per_ms(&key.1);
        let ms = f64::from(tokens) * f64::from(entries) / tokens_per_ms;
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Returns the time that a load of the request's model takes if it begins now: from a target's own
    /// memory or disk where one that may be sent the request has the weights there. `None` for requests
    /// without a model.
    pub(super) fn load_time(&self, job: &Job) -> Option<Duration> {
        let service = job.routes.service(&job.service)?;
        let engine: &Engine = service.engine.as_ref()?;
        let name = job.request.model.as_ref()?;
        let model = engine.models.iter().find(|model| model.name == *name)?;
        let table = self.topology.table.borrow();
        let software = job.software.borrow();
        let mut targets = table
            .of_service(&job.service)
            .filter(|target| target.accepts_requests())
            .map(|target| &target.registration)
            .filter(|target| software.as_ref().is_none_or(|it| *it == target.software));
        let cached =
            targets.any(|target| target.in_memory.contains(name) || target.on_disk.contains(name));
        let seconds = if cached { model.disk_s } else { model.load_s };
        Duration::try_from_secs_f64(seconds).ok()
    }
}

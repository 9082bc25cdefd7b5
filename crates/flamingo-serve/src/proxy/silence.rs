//! Looks for another target while one is silent.
//!
//! A sound target may fall silent for a second or so and go on, and from outside it can't be told from
//! one that is gone. So silence alone ends nothing: the connection of the silent target stays open
//! until another one has begun to answer, and whichever speaks first is taken. The load that this
//! answers is a target that stands still, or dies without a word, under many requests at a time, while
//! the others refuse, fail or are silent as well.

use super::forward::{Answered, Reply};
use super::job::{AttemptError, Job};
use super::{MAX_UNREACHABLE, Proxy};
use crate::choice::{Candidate, Choice};
use crate::exchange::PendingResponse;
use crate::isolation::{Failure, Success};
use flamingo_wire::route::Kind;
use futures_util::future::{Either, select};
use slog::info;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Shortest time beyond the objective after which a target without a response head counts as silent.
const MIN_HEAD_GRACE: Duration = Duration::from_millis(600);

/// Which of two targets answered.
pub(super) enum Winner<T, S> {
    /// The one that had been silent, or neither.
    Silent(T),
    /// The other one.
    Other(S),
}

/// Waits for a silent target and at the same time for another one. Returns what the silent target
/// yields, unless the other one answers before, or the silent one fails and the other one answers. The
/// one that is not taken is dropped, which closes its connection.
pub(super) async fn race<T, E, S>(
    silent: impl Future<Output = Result<T, E>>,
    other: impl Future<Output = Option<S>>,
) -> Winner<Result<T, E>, S> {
    match select(pin!(silent), pin!(other)).await {
        Either::Left((Ok(value), _)) => Winner::Silent(Ok(value)),
        Either::Left((Err(error), other)) => match other.await {
            Some(answer) => Winner::Other(answer),
            None => Winner::Silent(Err(error)),
        },
        Either::Right((Some(answer), _)) => Winner::Other(answer),
        Either::Right((None, silent)) => Winner::Silent(silent.await),
    }
}

impl Proxy {
    /// Sends a request to the chosen target and waits for the response head. If the target is silent
    /// for too long, others are asked as well, and the first response is taken.
    pub(super) async fn ask_or_replace(
        self: &Rc<Self>,
        job: &Rc<Job>,
        candidate: Candidate,
    ) -> Result<Reply, AttemptError> {
        let load_guard = self.prepare(job, &candidate).await?;
        match self.send_or_replace(job, &candidate).await {
            Winner::Silent(result) => {
                let response = result?;
                load_guard.record_response(&response.parsed);
                Ok(Reply::Answered(Answered {
                    candidate,
                    load_guard,
                    response,
                }))
            }
            Winner::Other(reply) => {
                job.may_have_run.set(true);
                Ok(reply)
            }
        }
    }

    async fn send_or_replace(
        self: &Rc<Self>,
        job: &Rc<Job>,
        candidate: &Candidate,
    ) -> Winner<Result<PendingResponse, AttemptError>, Reply> {
        let silent_at = Self::silent_at(job, candidate);
        let mut sending = pin!(self.send(job, candidate, job.request.last_event_id));
        let Some(silent_at) = silent_at else {
            return Winner::Silent(sending.await);
        };
        if let Ok(result) = timeout_at(silent_at.into(), sending.as_mut()).await {
            return Winner::Silent(result);
        }
        self.record_silence(&candidate.target);
        info!(self.log, "target silent"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "after_ms" => job.arrived_at.elapsed().as_millis());
        if !self.may_replace(job) {
            return Winner::Silent(sending.await);
        }
        // A late refusal of the silent target leaves the others their time.
        let silent = async {
            match sending.await {
                Ok(response) if response.is_answer() => Ok(response),
                other => Err(other),
            }
        };
        match race(silent, Box::pin(self.ask_others(job))).await {
            Winner::Silent(Ok(response)) => Winner::Silent(Ok(response)),
            Winner::Silent(Err(failed)) => Winner::Silent(failed),
            Winner::Other(begun) => Winner::Other(begun),
        }
    }

    /// Returns when a target without a response head counts as silent. Returns `None` if it never does:
    /// the request may not run twice, has no attempts left or goes to a plain service.
    fn silent_at(job: &Job, candidate: &Candidate) -> Option<Instant> {
        let attempts_left = job.sent.get() + 1 < job.route.attempts;
        if job.request.model.is_none() || !job.route.repeatable() || !attempts_left {
            return None;
        }
        let objective = Duration::from_millis(job.route.objective_ms);
        let grace = candidate.first_event_delay.max(MIN_HEAD_GRACE);
        Some(Instant::now() + objective + grace).filter(|at| *at < job.deadline)
    }

    /// Returns whether another target may be asked in place of a silent one. Spends a retry of the
    /// budget if so.
    pub(super) fn may_replace(&self, job: &Job) -> bool {
        let now = Instant::now();
        now < job.deadline
            && matches!(self.choose_target(job, now), Choice::Send(_))
            && self.try_retry(job, now)
    }

    /// Records that a target is silent, so that others are preferred.
    pub(super) fn record_silence(&self, target: &str) {
        let mut table = self.topology.table.borrow_mut();
        table.record_silence(target, Instant::now());
        drop(table);
        self.record_out_of_reach(target, Failure::Unanswered);
    }

    /// Records that a silent target has gone on.
    pub(super) fn record_sign_of_life(&self, target: &str) {
        self.topology.table.borrow_mut().record_sign_of_life(target);
        self.record_reached(target, Success::Answered, Instant::now());
    }

    /// Sends a request to other targets until one answers: with the first event, if it is a stream.
    async fn ask_others(self: &Rc<Self>, job: &Rc<Job>) -> Option<Reply> {
        let last_event_id = job.request.last_event_id;
        let ask = async |candidate: Candidate| {
            let answered = self.ask(job, candidate, last_event_id).await?;
            let answered = self.check_answer(job, answered)?;
            let is_stream =
                job.route.kind == Kind::Stream && answered.response.head.status.is_success();
            if !is_stream {
                return Ok(Reply::Answered(answered));
            }
            let deadline = job.deadline;
            let begun = self.first_event(job, answered, last_event_id, deadline);
            Ok(Reply::Begun(begun.await?))
        };
        self.find_other(job, ask).await
    }

    /// Asks other targets one after the other until one accepts, as far as the limits of the request
    /// allow it. Returns `None` if none does.
    pub(super) async fn find_other<T>(
        &self,
        job: &Job,
        ask: impl AsyncFn(Candidate) -> Result<T, AttemptError>,
    ) -> Option<T> {
        while job.unreachable.get() < MAX_UNREACHABLE {
            let candidate = self.find_target(job).await.ok()?;
            let sent_before = job.sent.get();
            let error = match ask(candidate).await {
                Ok(found) => return Some(found),
                Err(error) => error,
            };
            job.record_error(&error);
            let may_go_on = matches!(
                error,
                AttemptError::NotRun(_)
                    | AttemptError::AdapterMissing(_)
                    | AttemptError::MayHaveRun(_)
            );
            if !may_go_on {
                return None;
            }
            let was_sent = job.sent.get() > sent_before;
            if was_sent && !self.try_retry(job, Instant::now()) {
                return None;
            }
        }
        None
    }
}

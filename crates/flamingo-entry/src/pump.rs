//! Carries a streamed answer from a target to its caller, event by event.

use crate::completion::Work;
use crate::desk::Command;
use crate::exchange::{self, RESUMABLE, RESUMED};
use crate::sse::Splitter;
use crate::ticket::Ticket;
use awc::ClientResponse;
use bytes::Bytes;
use flamingo_daemon::answer::{Body, Detail};
use flamingo_route::action::{AttemptId, Dispatch, Failure};
use flamingo_wire::{Fault, Verdict};
use futures_util::StreamExt;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::Sender;

/// Time between two parts of an answer after which the target is given up.
const SILENCE: Duration = Duration::from_secs(10);
/// Time in which a caller must take what waits for it.
const SLOW: Duration = Duration::from_secs(30);
/// Parts of an answer that wait for a slow caller.
pub const WINDOW: usize = 16;

/// One streamed answer under way.
#[derive(Debug)]
pub struct Pump {
    /// What is sent to targets.
    pub work: Work,
    /// The hold on the router.
    pub ticket: Ticket,
    /// Takes the parts of the answer.
    pub out: Sender<Bytes>,
    /// Data events passed on.
    pub passed: u64,
}

/// How the carrying of one attempt's answer ended.
#[derive(Debug)]
enum End {
    Whole,
    CallerGone,
    Broken(String),
}

impl Pump {
    /// Carries the answer of `attempt`, and of the attempts that follow, to its end.
    pub async fn run(mut self, attempt: AttemptId, answer: ClientResponse) {
        let mut attempt = attempt;
        let mut answer = answer;
        loop {
            let resumable = answer.headers().contains_key(RESUMABLE);
            let end = self.carry(&mut answer).await;
            // The connection is closed before the slot is given back.
            drop(answer);
            match end {
                End::Whole => return self.ticket.ended(attempt),
                End::CallerGone => return,
                End::Broken(message) => self.ticket.failed(Failure {
                    attempt,
                    verdict: Verdict::MayHaveRun,
                    target_at_fault: true,
                    retry_after: None,
                    resumable: resumable || self.passed == 0,
                    message,
                }),
            }
            let Some((next, resumed)) = self.resume().await else {
                return;
            };
            attempt = next;
            answer = resumed;
        }
    }

    /// Passes on the events of one attempt.
    async fn carry(&mut self, answer: &mut ClientResponse) -> End {
        let mut splitter = Splitter::default();
        loop {
            let deadline = Instant::now() + SILENCE;
            let chunk = tokio::select! {
                biased;
                () = self.out.closed() => return End::CallerGone,
                chunk = tokio::time::timeout_at(deadline.into(), answer.next()) => chunk,
            };
            let chunk = match chunk {
                Err(_) => return End::Broken("the stream fell silent".to_owned()),
                Ok(None) => return End::Broken("the stream was cut short".to_owned()),
                Ok(Some(Err(error))) => return End::Broken(format!("the stream broke: {error}")),
                Ok(Some(Ok(chunk))) => chunk,
            };
            let Some(cut) = splitter.push(chunk) else {
                return End::Broken("an event of the stream is too large".to_owned());
            };
            if !cut.pass.is_empty() && !self.pass(cut.pass).await {
                return End::CallerGone;
            }
            self.passed += cut.events;
            if cut.done {
                return End::Whole;
            }
        }
    }

    async fn pass(&self, part: Bytes) -> bool {
        match self.out.try_send(part) {
            Ok(()) => true,
            Err(error) => {
                let deadline = Instant::now() + SLOW;
                let sent = self.out.send(error.into_inner());
                let sent = tokio::time::timeout_at(deadline.into(), sent).await;
                matches!(sent, Ok(Ok(())))
            }
        }
    }

    /// Waits for another attempt that goes on where the last one broke.
    async fn resume(&mut self) -> Option<(AttemptId, ClientResponse)> {
        loop {
            match self.ticket.next().await {
                Command::Refuse(fault) => {
                    self.refuse(&fault).await;
                    return None;
                }
                Command::Dispatch(dispatch) => match self.ask(&dispatch).await {
                    Ok(answer) => return Some((dispatch.attempt, answer)),
                    Err(failure) => self.ticket.failed(failure),
                },
            }
        }
    }

    async fn ask(&self, dispatch: &Dispatch) -> Result<ClientResponse, Failure> {
        let answer = self.work.send(&self.ticket, dispatch, self.passed).await?;
        let resumed = answer.headers().get(RESUMED);
        let resumed = resumed.and_then(|count| count.to_str().ok()?.parse::<u64>().ok());
        let whole = self.passed == 0 || resumed == Some(self.passed);
        if answer.status().is_success() && whole {
            self.ticket.begun(dispatch.attempt);
            return Ok(answer);
        }
        let message = format!("target '{}' did not resume the stream", dispatch.target);
        let mut failure = exchange::failure(dispatch, Verdict::MayHaveRun, message);
        failure.target_at_fault = false;
        Err(failure)
    }

    /// Ends the stream by an explicit error event.
    async fn refuse(&self, fault: &Fault) {
        let body = Body {
            error: Detail {
                message: &fault.message,
                reason: fault.reason,
                verdict: fault.verdict,
                help: &fault.help,
                request: self.ticket.request(),
            },
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        self.pass(Bytes::from(format!("event: error\ndata: {body}\n\n")))
            .await;
    }
}

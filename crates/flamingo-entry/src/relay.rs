//! Relays a streamed response from targets to the caller, event by event.
//!
//! If the stream of one target breaks off, a further attempt resumes after the events that were
//! already sent to the caller.

use crate::chunks;
use crate::completion::{EngineRequest, is_event_stream};
use crate::dispatcher::Command;
use crate::exchange::{self, RESUMABLE, RESUMED_FROM, SOFTWARE};
use crate::handle::Handle;
use crate::sse::Splitter;
use actix_web::http::header::{self, HeaderValue};
use awc::ClientResponse;
use bytes::Bytes;
use flamingo_daemon::answer::{Body, Detail};
use flamingo_route::action::{AttemptId, Dispatch, Failure};
use flamingo_wire::{Fault, Verdict};
use futures_util::StreamExt;
use std::time::{Duration, Instant};

/// Longest time without data from a target, after which the attempt fails.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a chunk may wait for a slow caller, after which the caller counts as gone.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of chunks that are buffered for a slow caller.
pub const CALLER_BUFFER: usize = 16;

/// One streamed response in progress.
#[derive(Debug)]
pub struct Relay {
    /// Request as sent to each engine.
    pub engine_request: EngineRequest,
    /// Handle of the request at the dispatcher.
    pub handle: Handle,
    /// Channel to the body of the caller's response.
    pub chunks: chunks::Sender,
    /// Number of data events sent to the caller.
    pub events_sent: u64,
    /// Version of the software that began the stream; `None` if its engine states none, or before
    /// the first event.
    pub software: Option<HeaderValue>,
}

/// How the relay of one attempt's response ended.
#[derive(Debug)]
enum Outcome {
    Complete,
    CallerGone,
    Broken(String),
}

/// What follows the response of an attempt that broke off.
#[derive(Debug)]
enum Resumption {
    /// The response of another attempt goes on.
    Continues(AttemptId, ClientResponse),
    /// The stream ends with an error event.
    ErrorSent,
    /// The caller is gone.
    CallerGone,
}

impl Relay {
    /// Relays the response of `attempt`, and of further attempts that resume it, until the response
    /// is complete, the caller is gone or the router refuses another attempt.
    pub async fn run(mut self, attempt: AttemptId, response: ClientResponse) {
        let mut attempt = attempt;
        let mut response = response;
        loop {
            let resumable = response.headers().contains_key(RESUMABLE);
            if self.events_sent == 0 {
                self.software = response.headers().get(SOFTWARE).cloned();
            }
            let outcome = self.relay_events(&mut response).await;
            // Close the connection before the router frees the target's slot.
            drop(response);
            match outcome {
                Outcome::Complete => {
                    self.handle.ended(attempt);
                    self.chunks.finish();
                    return;
                }
                Outcome::CallerGone => return,
                Outcome::Broken(message) => self.handle.failed(Failure {
                    attempt,
                    verdict: Verdict::MayHaveRun,
                    target_at_fault: true,
                    retry_after: None,
                    resumable: resumable || self.events_sent == 0,
                    message,
                }),
            }
            match self.resume().await {
                Resumption::Continues(next, resumed) => {
                    attempt = next;
                    response = resumed;
                }
                Resumption::ErrorSent => return self.chunks.finish(),
                Resumption::CallerGone => return,
            }
        }
    }

    /// Sends the complete events of one attempt to the caller.
    async fn relay_events(&mut self, response: &mut ClientResponse) -> Outcome {
        let mut splitter = Splitter::default();
        loop {
            let deadline = Instant::now() + STREAM_IDLE_TIMEOUT;
            let chunk = tokio::select! {
                biased;
                () = self.chunks.closed() => return Outcome::CallerGone,
                chunk = tokio::time::timeout_at(deadline.into(), response.next()) => chunk,
            };
            let chunk = match chunk {
                Err(_) => {
                    return Outcome::Broken(
                        "the stream sent no data within the idle timeout".to_owned(),
                    );
                }
                Ok(None) => {
                    return Outcome::Broken("the stream ended without its final event".to_owned());
                }
                Ok(Some(Err(error))) => {
                    return Outcome::Broken(format!("reading the stream failed: {error}"));
                }
                Ok(Some(Ok(chunk))) => chunk,
            };
            let Some(complete) = splitter.push(chunk) else {
                return Outcome::Broken("an event of the stream is too large".to_owned());
            };
            if !complete.bytes.is_empty() && !self.send_chunk(complete.bytes).await {
                return Outcome::CallerGone;
            }
            self.events_sent += complete.data_events;
            if complete.done {
                return Outcome::Complete;
            }
            if complete.foreign {
                return Outcome::Broken("the stream holds what is no event".to_owned());
            }
        }
    }

    /// Sends a chunk to the caller. Returns false if the caller is gone, or takes no chunk for
    /// `CALLER_TIMEOUT`.
    async fn send_chunk(&self, chunk: Bytes) -> bool {
        self.chunks
            .send(chunk, Instant::now() + CALLER_TIMEOUT)
            .await
    }

    /// Makes further attempts until one resumes the stream after the last event sent, or the router
    /// refuses another attempt.
    async fn resume(&mut self) -> Resumption {
        loop {
            match self.handle.next().await {
                Command::Refuse(fault) if self.send_error(&fault).await => {
                    return Resumption::ErrorSent;
                }
                Command::Refuse(_) => return Resumption::CallerGone,
                Command::Dispatch(dispatch) => match self.send_resumed(&dispatch).await {
                    Ok(response) => return Resumption::Continues(dispatch.attempt, response),
                    Err(failure) => self.handle.failed(failure),
                },
            }
        }
    }

    /// Sends one attempt that resumes the stream. An engine that starts over or at another event
    /// counts as failed, since the caller would get events twice or lose some. So does one of another
    /// software version, whose events don't continue those that were sent.
    async fn send_resumed(&self, dispatch: &Dispatch) -> Result<ClientResponse, Failure> {
        let response = self
            .engine_request
            .send(&self.handle, dispatch, self.events_sent)
            .await?;
        let resumed_from = response.headers().get(RESUMED_FROM);
        let resumed_from = resumed_from.and_then(|count| count.to_str().ok()?.parse::<u64>().ok());
        let same_software = response.headers().get(SOFTWARE) == self.software.as_ref();
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let is_stream = content_type.is_some_and(is_event_stream);
        let continues = resumed_from == Some(self.events_sent) && same_software;
        let continues = self.events_sent == 0 || continues;
        if response.status().is_success() && is_stream && continues {
            self.handle.begun(dispatch.attempt);
            return Ok(response);
        }
        let message = format!("target '{}' did not resume the stream", dispatch.target);
        let mut failure = exchange::failure(dispatch, Verdict::MayHaveRun, message);
        failure.target_at_fault = false;
        Err(failure)
    }

    /// Sends an explicit error event, which ends the stream. Returns false if the caller is gone.
    async fn send_error(&self, fault: &Fault) -> bool {
        let body = Body {
            error: Detail {
                message: &fault.message,
                reason: fault.reason,
                verdict: fault.verdict,
                help: &fault.help,
                request: self.handle.request(),
            },
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        self.send_chunk(Bytes::from(format!("event: error\ndata: {body}\n\n")))
            .await
    }
}

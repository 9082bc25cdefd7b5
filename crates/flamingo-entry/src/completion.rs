//! Completions of models, streamed or whole.

use crate::body;
use crate::desk::Command;
use crate::exchange::{self, Outgoing, REQUEST};
use crate::http::{Shared, request_id};
use crate::prompt::Prompt;
use crate::pump::{Pump, WINDOW};
use crate::ticket::Ticket;
use actix_web::http::{StatusCode, header};
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use awc::{Client, ClientResponse};
use flamingo_daemon::answer;
use flamingo_route::action::{Dispatch, Failure};
use flamingo_route::{Pool, Request};
use flamingo_wire::engine::Lora;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use futures_util::StreamExt;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::channel;
use tokio_stream::wrappers::ReceiverStream;

/// Header by which a caller picks its profile.
pub const PROFILE: &str = "x-flamingo-profile";
/// Time between two parts of a whole answer after which the target is given up.
const SILENCE: Duration = Duration::from_mins(1);

/// What is sent to engines for one completion.
#[derive(Clone)]
pub struct Work {
    /// The worker's client.
    pub client: Client,
    /// The request.
    pub outgoing: Outgoing,
}

impl std::fmt::Debug for Work {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Work({})", self.outgoing.request)
    }
}

impl Work {
    /// Sends one attempt, with the adapter's load before it where one is needed.
    ///
    /// # Errors
    ///
    /// Returns the attempt's failure; a server's error counts as one.
    pub async fn send(
        &self,
        ticket: &Ticket,
        dispatch: &Dispatch,
        resume: u64,
    ) -> Result<ClientResponse, Failure> {
        if let Some((model, adapter)) = &dispatch.load {
            let lora = Lora {
                lora_name: adapter.clone(),
                model: model.clone(),
            };
            exchange::load(&self.client, dispatch, &lora).await?;
            ticket.loaded(dispatch.attempt);
        }
        let answer = exchange::send(&self.client, dispatch, &self.outgoing, resume).await?;
        let status = answer.status();
        // The engine may just have unloaded the model: another copy may serve.
        let absent = status == StatusCode::NOT_FOUND;
        let refused = status == StatusCode::TOO_MANY_REQUESTS;
        if !status.is_server_error() && !absent && !refused {
            return Ok(answer);
        }
        let message = format!("target '{}' answered {status}", dispatch.target);
        let mut failure = exchange::failure(dispatch, Verdict::Ran, message);
        failure.target_at_fault = status.is_server_error();
        failure.retry_after = exchange::rest(&answer);
        Err(failure)
    }
}

/// Serves a completion.
pub async fn serve(
    shared: Data<Shared>,
    client: Data<Client>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let id = request_id();
    let body = match body::read(&request, payload, shared.serve.body).await {
        Ok(body) => body,
        Err(fault) => return answer::refuse(&fault, &id),
    };
    let prompt = match Prompt::read(&body) {
        Ok(prompt) => prompt,
        Err(fault) => return answer::refuse(&fault, &id),
    };
    let mut headers = header::HeaderMap::new();
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    let work = Work {
        client: client.get_ref().clone(),
        outgoing: Outgoing {
            request: id.clone(),
            method: request.method().clone(),
            path: request.path().to_owned(),
            headers,
            body,
        },
    };
    let ask = Request {
        id,
        prefixes: prompt.chain(),
        pool: Pool::Model(prompt.model),
        profile: profile(&request),
        idempotent: true,
    };
    let ticket = Ticket::open(shared.desk.clone(), ask);
    answered(&shared, work, ticket).await
}

/// Returns the profile that the caller picked.
#[must_use]
pub fn profile(request: &HttpRequest) -> Option<id::Profile> {
    let name = request.headers().get(PROFILE)?;
    // A name that is not text can't be a profile's: it is looked up in vain.
    Some(name.to_str().unwrap_or("?").to_owned())
}

async fn answered(shared: &Shared, work: Work, mut ticket: Ticket) -> HttpResponse {
    loop {
        let dispatch = match ticket.next().await {
            Command::Refuse(fault) => return answer::refuse(&fault, ticket.request()),
            Command::Dispatch(dispatch) => dispatch,
        };
        let began = Instant::now();
        let sent = work.send(&ticket, &dispatch, 0).await;
        match sent {
            Err(failure) => ticket.failed(failure),
            Ok(answer) => {
                shared
                    .metric
                    .first_byte
                    .observe(began.elapsed().as_secs_f64());
                ticket.begun(dispatch.attempt);
                match finish(shared, &work, ticket, &dispatch, answer).await {
                    Ok(answer) => return answer,
                    Err(open) => ticket = open,
                }
            }
        }
    }
}

/// Gives the caller the answer that has begun; returns the ticket where it broke.
async fn finish(
    shared: &Shared,
    work: &Work,
    ticket: Ticket,
    dispatch: &Dispatch,
    mut answer: ClientResponse,
) -> Result<HttpResponse, Ticket> {
    let content = answer.headers().get(header::CONTENT_TYPE).cloned();
    let streamed = content.as_ref().is_some_and(|content| {
        let content = content.as_bytes();
        content.starts_with(b"text/event-stream")
    });
    let mut reply = HttpResponse::build(answer.status());
    reply.insert_header((REQUEST, ticket.request()));
    if let Some(content) = content {
        reply.insert_header((header::CONTENT_TYPE, content));
    }
    if streamed && answer.status().is_success() {
        let (out, parts) = channel(WINDOW);
        let pump = Pump {
            work: work.clone(),
            ticket,
            out,
            passed: 0,
        };
        actix_rt::spawn(pump.run(dispatch.attempt, answer));
        let parts = ReceiverStream::new(parts).map(Ok::<_, actix_web::Error>);
        reply.insert_header((header::CACHE_CONTROL, "no-cache"));
        return Ok(reply.streaming(parts));
    }
    let method = &work.outgoing.method;
    match exchange::whole(method, &mut answer, shared.serve.answer, SILENCE).await {
        Ok(body) => {
            ticket.ended(dispatch.attempt);
            Ok(reply.body(body))
        }
        Err(message) => {
            let message = format!("target '{}': {message}", dispatch.target);
            drop(answer);
            ticket.failed(exchange::failure(dispatch, Verdict::MayHaveRun, message));
            Err(ticket)
        }
    }
}

/// Builds the refusal of a request that is wrong.
#[must_use]
pub fn invalid(message: &str, help: &str) -> Fault {
    Fault::not_run(Reason::Invalid, message, help)
}

//! Serves completions of models, streamed or as one body.

use crate::body;
use crate::chunks;
use crate::dispatcher::Command;
use crate::exchange::{self, Outgoing, REQUEST_ID};
use crate::handle::Handle;
use crate::http::{AppState, request_id};
use crate::prompt::Prompt;
use crate::relay::{CALLER_BUFFER, Relay};
use actix_web::http::StatusCode;
use actix_web::http::header::{self, HeaderValue};
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use awc::{Client, ClientResponse};
use flamingo_daemon::answer;
use flamingo_route::action::{Dispatch, Failure};
use flamingo_route::{Pool, Request};
use flamingo_wire::engine::Lora;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use std::time::{Duration, Instant};

/// Header with the name of the profile that the caller chooses.
pub const PROFILE: &str = "x-flamingo-profile";
/// Longest time without data of a response that isn't streamed, after which the attempt fails.
const RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A completion's request to engines, with the client that sends it.
#[derive(Clone)]
pub struct EngineRequest {
    /// HTTP client of the worker.
    pub client: Client,
    /// Request as sent to each engine.
    pub outgoing: Outgoing,
}

impl std::fmt::Debug for EngineRequest {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "EngineRequest({})", self.outgoing.request)
    }
}

impl EngineRequest {
    /// Sends one attempt, and before it loads the adapter on the target if that is needed.
    ///
    /// # Errors
    ///
    /// Returns the attempt's failure. Server errors, 404 and 429 count as failures.
    pub async fn send(
        &self,
        handle: &Handle,
        dispatch: &Dispatch,
        resume_from: u64,
    ) -> Result<ClientResponse, Failure> {
        if let Some((model, adapter)) = &dispatch.load {
            let lora = Lora {
                lora_name: adapter.clone(),
                model: model.clone(),
            };
            exchange::load_adapter(&self.client, dispatch, &lora).await?;
            handle.loaded(dispatch.attempt);
        }
        let response =
            exchange::send(&self.client, handle, dispatch, &self.outgoing, resume_from).await?;
        let status = response.status();
        // The engine may just have unloaded the model; another replica may still have it.
        let not_found = status == StatusCode::NOT_FOUND;
        let overloaded = status == StatusCode::TOO_MANY_REQUESTS;
        if !status.is_server_error() && !not_found && !overloaded {
            return Ok(response);
        }
        let message = format!("target '{}' responded with {status}", dispatch.target);
        let mut failure = exchange::failure(dispatch, Verdict::Ran, message);
        failure.target_at_fault = status.is_server_error();
        failure.retry_after = exchange::retry_after(&response);
        Err(failure)
    }
}

/// Handles a completion request.
pub async fn serve(
    shared: Data<AppState>,
    client: Data<Client>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let id = request_id();
    let config = shared.worker_state.config();
    let set = &config.snapshot.set;
    // The model stands in the body, which is read only where some model is open to anyone.
    let some_open = set.models.iter().any(|model| model.anonymous);
    let mut workspace = match shared.authenticate(&config, &request, some_open) {
        Ok(workspace) => workspace,
        Err(fault) => return shared.refuse_key(&config, &fault, &id),
    };
    let body = match body::read(&request, payload, shared.serve.body).await {
        Ok(body) => body,
        Err(fault) => return answer::refuse(&fault, &id),
    };
    let prompt = match Prompt::parse(&body) {
        Ok(prompt) => prompt,
        Err(fault) => return answer::refuse(&fault, &id),
    };
    let model = set.model_or_owner(&prompt.model);
    if workspace.is_none() && !model.is_some_and(|model| model.anonymous) {
        workspace = match shared.authenticate(&config, &request, false) {
            Ok(workspace) => workspace,
            Err(fault) => return shared.refuse_key(&config, &fault, &id),
        };
    }
    let mut headers = header::HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    let engine_request = EngineRequest {
        client: client.get_ref().clone(),
        outgoing: Outgoing {
            request: id.clone(),
            workspace: workspace.as_ref().map(|workspace| workspace.name.clone()),
            method: request.method().clone(),
            path: request.path().to_owned(),
            headers,
            body,
        },
    };
    let routed = Request {
        id,
        prefixes: prompt.prefixes(),
        fingerprint: engine_request.outgoing.fingerprint(&prompt.model),
        pool: Pool::Model(prompt.model),
        profile: profile(&request),
        rank: workspace.and_then(|workspace| workspace.rank),
        idempotent: true,
    };
    let handle = Handle::new(shared.dispatcher.clone(), routed);
    run(&shared, engine_request, handle).await
}

/// Returns the profile that the caller chooses, or `None` if the header is missing.
#[must_use]
pub fn profile(request: &HttpRequest) -> Option<id::Profile> {
    let name = request.headers().get(PROFILE)?;
    // A header that is not text becomes "?", which is no profile's name.
    Some(name.to_str().unwrap_or("?").to_owned())
}

/// Carries out the router's commands until the caller has a response.
async fn run(shared: &AppState, engine_request: EngineRequest, mut handle: Handle) -> HttpResponse {
    loop {
        let dispatch = match handle.next().await {
            Command::Refuse(fault) => return answer::refuse(&fault, handle.request()),
            Command::Dispatch(dispatch) => dispatch,
        };
        let started = Instant::now();
        let sent = engine_request.send(&handle, &dispatch, 0).await;
        match sent {
            Err(failure) => handle.failed(failure),
            Ok(response) => {
                shared
                    .metrics
                    .first_byte
                    .observe(started.elapsed().as_secs_f64());
                handle.begun(dispatch.attempt);
                match respond(shared, &engine_request, handle, &dispatch, response).await {
                    Ok(response) => return response,
                    Err(unfinished) => handle = unfinished,
                }
            }
        }
    }
}

/// Returns whether a content type is that of a stream of events.
pub fn is_event_stream(content_type: &HeaderValue) -> bool {
    content_type.as_bytes().starts_with(b"text/event-stream")
}

/// Builds the caller's response from the response that has begun. Returns the handle if the
/// target's response breaks off, so that the router can order another attempt.
async fn respond(
    shared: &AppState,
    engine_request: &EngineRequest,
    handle: Handle,
    dispatch: &Dispatch,
    mut response: ClientResponse,
) -> Result<HttpResponse, Handle> {
    let content_type = response.headers().get(header::CONTENT_TYPE).cloned();
    let streamed = content_type.as_ref().is_some_and(is_event_stream);
    let mut caller_response = HttpResponse::build(response.status());
    caller_response.insert_header((REQUEST_ID, handle.request()));
    if let Some(content_type) = content_type {
        caller_response.insert_header((header::CONTENT_TYPE, content_type));
    }
    if streamed && response.status().is_success() {
        let (sender, receiver) = chunks::channel(CALLER_BUFFER);
        let relay = Relay {
            engine_request: engine_request.clone(),
            handle,
            chunks: sender,
            events_sent: 0,
            software: None,
        };
        actix_rt::spawn(relay.run(dispatch.attempt, response));
        caller_response.insert_header((header::CACHE_CONTROL, "no-cache"));
        return Ok(caller_response.streaming(receiver));
    }
    let method = &engine_request.outgoing.method;
    match exchange::read_body(
        method,
        &mut response,
        shared.serve.answer,
        RESPONSE_IDLE_TIMEOUT,
    )
    .await
    {
        Ok(body) => {
            handle.ended(dispatch.attempt);
            Ok(caller_response.body(body))
        }
        Err(message) => {
            let message = format!("target '{}': {message}", dispatch.target);
            drop(response);
            handle.failed(exchange::failure(dispatch, Verdict::MayHaveRun, message));
            Err(handle)
        }
    }
}

/// Builds the refusal of an invalid request.
#[must_use]
pub fn invalid(message: &str, help: &str) -> Fault {
    Fault::not_run(Reason::Invalid, message, help)
}

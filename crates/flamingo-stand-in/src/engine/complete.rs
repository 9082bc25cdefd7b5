//! Completions: queueing, prefill, then one token per decoding step.

use super::batch::{self, Key};
use super::prefix::{self, BLOCK};
use super::state::{Run, State};
use crate::answer::{self, CHARACTERS};
use crate::record::Line;
use actix_web::web::{Bytes, Data, Json};
use actix_web::{HttpRequest, HttpResponse};
use flamingo_wire::announce::Resident;
use futures_util::stream;
use serde_json::{Value, json};
use std::time::Instant;

/// Header with the token from which to continue.
pub const RESUME: &str = "x-flamingo-resume-from";
/// Header with the priority of a request; defaults to 0, the most urgent.
pub const PRIORITY: &str = "x-flamingo-priority";
/// Number of generated tokens if the request sets none.
const TOKENS: u64 = 8;
/// Header of a response to a request that was not run.
const NOT_RUN: (&str, &str) = ("x-flamingo-verdict", "not-run");

/// Format of the response.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Chat,
    Plain,
}

pub async fn chat(state: Data<State>, request: HttpRequest, body: Json<Value>) -> HttpResponse {
    complete(state, &request, &body, Shape::Chat).await
}

pub async fn plain(state: Data<State>, request: HttpRequest, body: Json<Value>) -> HttpResponse {
    complete(state, &request, &body, Shape::Plain).await
}

/// A request in the engine. On drop, its place is freed and its end is recorded.
struct Sequence {
    state: Data<State>,
    shape: Shape,
    key: Key,
    run: usize,
    resident: Resident,
    prompt: String,
    model: String,
    step: u32,
    total: u32,
    truncate: Option<u32>,
    end: &'static str,
}

impl Drop for Sequence {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        inner.batch.leave(self.key);
        inner.account.count(&self.resident, -1);
        if self.end == "cancelled" {
            inner.cancelled += 1;
        }
        self.end.clone_into(&mut inner.runs[self.run].end);
    }
}

async fn complete(
    state: Data<State>,
    request: &HttpRequest,
    body: &Value,
    shape: Shape,
) -> HttpResponse {
    state.silence().await;
    let (refused, truncate) = state.lock().faults.request();
    if let Some(seconds) = refused {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("retry-after", seconds.to_string()))
            .insert_header(NOT_RUN)
            .json(json!({"error": {"message": "the engine refuses work"}}));
    }
    let Some((mut sequence, admitted)) = enter(&state, request, body, shape) else {
        let message = format!("{} is not loaded", body["model"]);
        return HttpResponse::NotFound()
            .insert_header(NOT_RUN)
            .json(json!({"error": {"message": message}}));
    };
    // The batch keeps the sender for as long as the sequence.
    let _ = admitted.await;
    sequence.truncate = truncate;
    sequence.prefill().await;
    if body["stream"].as_bool().unwrap_or(false) {
        let mut answer = HttpResponse::Ok();
        if sequence.state.behaviour.resumes {
            answer.insert_header(("x-flamingo-resumable", "1"));
            answer.insert_header(("x-flamingo-resumed-from", sequence.step.to_string()));
        }
        return answer
            .content_type("text/event-stream")
            .streaming(stream::unfold(Some(sequence), next));
    }
    while sequence.step < sequence.total {
        sequence.decode().await;
    }
    sequence.end = "done";
    HttpResponse::Ok().json(sequence.whole())
}

type Entered = (Sequence, tokio::sync::oneshot::Receiver<()>);

/// Queues the request if its model or adapter is resident.
fn enter(
    state: &Data<State>,
    request: &HttpRequest,
    body: &Value,
    shape: Shape,
) -> Option<Entered> {
    let named = body["adapter"].as_str().or(body["model"].as_str());
    let model = named.unwrap_or_default().to_owned();
    let prompt = answer::prompt(body);
    let total = body["max_tokens"].as_u64().unwrap_or(TOKENS);
    let total = u32::try_from(total).unwrap_or(u32::MAX);
    let resume = header(request, RESUME).parse().unwrap_or(0);
    let step = if state.behaviour.resumes { resume } else { 0 };
    let priority = header(request, PRIORITY).parse().unwrap_or(0);
    let mut inner = state.lock();
    let resident = inner.account.serving(&model)?.resident.clone();
    inner.account.count(&resident, 1);
    let run = inner.arrived(Run {
        request: header(request, "x-request-id").to_owned(),
        model: model.clone(),
        prompt: prompt.clone(),
        from: step,
        tokens: 0,
        end: "running".to_owned(),
        after_leave_ms: None,
    });
    state.record.write(&Line {
        request: header(request, "x-request-id"),
        key: "",
        method: request.method().as_str(),
        path: request.path(),
        body: &body.to_string(),
    });
    let tokens = answer::tokens(&prompt) + total as usize;
    let (key, admitted) = inner.batch.enter(priority, tokens);
    let sequence = Sequence {
        state: state.clone(),
        shape,
        key,
        run,
        resident,
        prompt,
        model,
        step,
        total,
        truncate: None,
        end: "cancelled",
    };
    Some((sequence, admitted))
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

impl Sequence {
    /// Waits for the prefill of the uncached part of the prompt. Concurrent prefills share the
    /// accelerator.
    async fn prefill(&self) {
        let blocks = prefix::blocks(&self.model, &self.prompt);
        let (cached, sharing) = {
            let mut inner = self.state.lock();
            inner.prefilling += 1;
            (inner.prefix.cached(&blocks), inner.prefilling)
        };
        // The tokens that a resumed request generated before are prefilled with its prompt.
        let tokens = answer::tokens(&self.prompt) - cached * BLOCK / CHARACTERS;
        let tokens = u32::try_from(tokens)
            .unwrap_or(u32::MAX)
            .saturating_add(self.step);
        let prefilling = Prefilling(&self.state);
        let time = self.state.behaviour.prefill.saturating_mul(tokens) * sharing;
        actix_rt::time::sleep(self.state.slowed(time)).await;
        drop(prefilling);
        self.state.lock().prefix.store(&blocks, Instant::now());
    }

    async fn decode(&mut self) {
        let running = self.state.lock().batch.running();
        let time = batch::step(self.state.settings.pace, running);
        actix_rt::time::sleep(self.state.slowed(time)).await;
        self.state.lock().generated(self.run, 1);
        self.step += 1;
    }

    fn whole(&self) -> Value {
        let text = answer::text(&self.prompt, 0, self.total);
        match self.shape {
            Shape::Chat => json!({"object": "chat.completion", "model": self.model, "choices": [{
                "index": 0, "finish_reason": "length",
                "message": {"role": "assistant", "content": text}}]}),
            Shape::Plain => json!({"object": "text_completion", "model": self.model, "choices": [{
                "index": 0, "finish_reason": "length", "text": text}]}),
        }
    }

    fn event(&self, step: u32) -> Bytes {
        let text = answer::token(&self.prompt, step);
        let last = step + 1 == self.total;
        let finish = last.then_some("length");
        let event = match self.shape {
            Shape::Chat => json!({"object": "chat.completion.chunk", "model": self.model,
                "choices": [{"index": 0, "finish_reason": finish, "delta": {"content": text}}]}),
            Shape::Plain => json!({"object": "text_completion", "model": self.model,
                "choices": [{"index": 0, "finish_reason": finish, "text": text}]}),
        };
        Bytes::from(format!("data: {event}\n\n"))
    }
}

/// Decrements the number of running prefills on drop.
struct Prefilling<'a>(&'a State);

impl Drop for Prefilling<'_> {
    fn drop(&mut self) {
        self.0.lock().prefilling -= 1;
    }
}

type Chunk = Result<Bytes, actix_web::Error>;

async fn next(sequence: Option<Sequence>) -> Option<(Chunk, Option<Sequence>)> {
    let mut sequence = sequence?;
    if sequence
        .truncate
        .is_some_and(|after| sequence.step >= after)
    {
        // Lets the previous tokens leave the write buffer first.
        actix_rt::time::sleep(sequence.state.settings.pace).await;
        sequence.end = "truncated";
        let error = actix_web::error::ErrorInternalServerError("the stream breaks off");
        return Some((Err(error), None));
    }
    if sequence.step >= sequence.total {
        sequence.end = "done";
        return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None));
    }
    let step = sequence.step;
    sequence.decode().await;
    sequence.state.silence().await;
    Some((Ok(sequence.event(step)), Some(sequence)))
}

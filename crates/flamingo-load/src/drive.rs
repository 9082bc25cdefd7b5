//! Sends the requests of a plan to running entries in an open loop: each request is sent at its
//! intended time, regardless of the responses to earlier ones.

use crate::plan::{Call, Completion, Item, Kind};
use awc::error::SendRequestError;
use awc::{Client, ClientRequest, Connector};
use flamingo_wire::Verdict;
use flamingo_wire::id;
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between the response to a call and its resend.
const RESEND: Duration = Duration::from_millis(200);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Entries, used in turn. A request whose entry does not listen goes to the next one, as behind
    /// a load balancer.
    pub entries: Vec<SocketAddr>,
    /// Timeout of a request.
    pub timeout: Duration,
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The complete response to this request.
    Whole,
    /// A complete response with a missing, repeated or foreign part.
    Foreign,
    /// An error response with its verdict.
    Refused(Verdict),
    /// No response, or one that was truncated without an error.
    Broken,
}

/// One response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Outcome of the attempt.
    pub end: End,
    /// Time from the intended start to the first token, or to the response of a call.
    pub first: Option<Duration>,
    /// Time from the intended start to the end.
    pub last: Duration,
    /// Tokens received.
    pub tokens: u32,
    /// `Retry-After` of the response, in seconds.
    pub retry_after: Option<u32>,
}

/// One item of the plan with its responses; a resend adds a second one.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The item of the plan.
    pub item: Item,
    /// The responses, in order.
    pub answers: Vec<Answer>,
    /// Number of entries that did not listen.
    pub redialled: u32,
}

impl Sent {
    /// Returns the profile, or the name of the calls.
    #[must_use]
    pub fn name(&self) -> &id::Profile {
        match &self.item.kind {
            Kind::Completion(completion) => &completion.profile,
            Kind::Call(call) => &call.name,
        }
    }
}

/// Sends all requests of the plan and waits for the last response.
///
/// # Panics
///
/// Panics if the task of a request panicked.
pub async fn run(plan: Vec<Item>, settings: &Settings) -> Vec<Sent> {
    let connector = Connector::new().limit(0).timeout(settings.timeout);
    let client = Client::builder()
        .connector(connector)
        .timeout(settings.timeout)
        .finish();
    let caller = Rc::new(Caller {
        client,
        settings: settings.clone(),
        start: Instant::now(),
    });
    let mut tasks = Vec::new();
    for (number, item) in plan.into_iter().enumerate() {
        actix_rt::time::sleep_until((caller.start + item.at).into()).await;
        let caller = caller.clone();
        tasks.push(actix_rt::spawn(
            async move { caller.serve(number, item).await },
        ));
    }
    let mut sent = Vec::new();
    for task in tasks {
        sent.push(task.await.expect("a request's task ends"));
    }
    sent
}

struct Caller {
    client: Client,
    settings: Settings,
    start: Instant,
}

impl Caller {
    async fn serve(&self, number: usize, item: Item) -> Sent {
        let mut sent = Sent {
            item,
            answers: Vec::new(),
            redialled: 0,
        };
        self.attempt(number, &mut sent).await;
        let Kind::Call(call) = &sent.item.kind else {
            return sent;
        };
        // A caller with an idempotency key retries without a response.
        let unsure = sent.answers.iter().all(|answer| answer.end != End::Whole);
        if call.keyed && (call.resend || unsure) {
            actix_rt::time::sleep(RESEND).await;
            self.attempt(number + 1, &mut sent).await;
        }
        sent
    }

    async fn attempt(&self, number: usize, sent: &mut Sent) {
        let intended = if sent.answers.is_empty() {
            self.start + sent.item.at
        } else {
            Instant::now()
        };
        let deadline = intended + self.settings.timeout;
        let entries = &self.settings.entries;
        let mut answer = None;
        for turn in 0..entries.len() {
            let entry = entries[(number + turn) % entries.len()];
            let asked = self.ask(entry, &sent.item, intended);
            match tokio::time::timeout_at(deadline.into(), asked).await {
                Ok(None) => sent.redialled += 1,
                Ok(Some(got)) => {
                    answer = Some(got);
                    break;
                }
                Err(_) => break,
            }
        }
        let broken = ended(End::Broken, intended);
        sent.answers.push(answer.unwrap_or(broken));
    }

    /// Sends the request to one entry. Returns `None` if the entry does not listen.
    async fn ask(&self, entry: SocketAddr, item: &Item, intended: Instant) -> Option<Answer> {
        match &item.kind {
            Kind::Completion(completion) => self.complete(entry, item, completion, intended).await,
            Kind::Call(call) => self.call(entry, item, call, intended).await,
        }
    }

    async fn complete(
        &self,
        entry: SocketAddr,
        item: &Item,
        completion: &Completion,
        intended: Instant,
    ) -> Option<Answer> {
        let body = json!({
            "model": completion.model, "stream": true, "max_tokens": completion.tokens,
            "messages": [{"role": "user", "content": completion.prompt}],
        });
        let request = self
            .client
            .post(format!("http://{entry}/v1/chat/completions"))
            .insert_header(("x-flamingo-profile", completion.profile.as_str()));
        let mut answer = match request.send_json(&body).await {
            Ok(answer) => answer,
            Err(SendRequestError::Connect(_)) => return None,
            Err(_) => return Some(ended(End::Broken, intended)),
        };
        if !answer.status().is_success() {
            return Some(refused(&mut answer, intended).await);
        }
        let mut stream = Stream::default();
        let mut first = None;
        while let Some(Ok(chunk)) = answer.next().await {
            stream.push(&chunk);
            if stream.tokens > 0 && first.is_none() {
                first = Some(intended.elapsed());
            }
        }
        Some(Answer {
            first,
            tokens: stream.tokens,
            ..ended(stream.end(&item.word, completion.tokens), intended)
        })
    }

    async fn call(
        &self,
        entry: SocketAddr,
        item: &Item,
        call: &Call,
        intended: Instant,
    ) -> Option<Answer> {
        let request = self.request(entry, item, call);
        let sent = if call.method == "GET" {
            request.send().await
        } else {
            request.send_json(&json!({"id": item.word})).await
        };
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(SendRequestError::Connect(_)) => return None,
            Err(_) => return Some(ended(End::Broken, intended)),
        };
        if !answer.status().is_success() {
            return Some(refused(&mut answer, intended).await);
        }
        let end = match answer.body().await {
            Ok(body) if call.method == "GET" && !body.is_empty() => End::Whole,
            Ok(body) if String::from_utf8_lossy(&body).contains(&item.word) => End::Whole,
            Ok(_) => End::Foreign,
            Err(_) => End::Broken,
        };
        Some(Answer {
            first: Some(intended.elapsed()),
            ..ended(end, intended)
        })
    }

    fn request(&self, entry: SocketAddr, item: &Item, call: &Call) -> ClientRequest {
        let url = format!("http://{entry}{}&id={}", call.path, item.word);
        let method = call.method.parse().unwrap_or(awc::http::Method::POST);
        let request = self.client.request(method, url);
        if call.keyed {
            return request.insert_header(("idempotency-key", item.word.as_str()));
        }
        request
    }
}

fn ended(end: End, intended: Instant) -> Answer {
    Answer {
        end,
        first: None,
        last: intended.elapsed(),
        tokens: 0,
        retry_after: None,
    }
}

async fn refused<S>(answer: &mut awc::ClientResponse<S>, intended: Instant) -> Answer
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let after = answer.headers().get("retry-after");
    let retry_after = after.and_then(|after| after.to_str().ok()?.parse().ok());
    let body: Value = answer.json().await.unwrap_or_default();
    Answer {
        retry_after,
        ..ended(verdict(&body).map_or(End::Broken, End::Refused), intended)
    }
}

fn verdict(body: &Value) -> Option<Verdict> {
    body["error"]["verdict"].as_str()?.parse().ok()
}

/// Reads the events of a streamed response.
#[derive(Debug, Default)]
struct Stream {
    rest: String,
    text: String,
    tokens: u32,
    done: bool,
    error: Option<Verdict>,
}

impl Stream {
    fn push(&mut self, chunk: &[u8]) {
        self.rest.push_str(&String::from_utf8_lossy(chunk));
        while let Some(end) = self.rest.find('\n') {
            let line: String = self.rest.drain(..=end).collect();
            if let Some(data) = line.strip_prefix("data:") {
                self.data(data.trim());
            }
        }
    }

    fn data(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event["error"].is_object() {
            self.error = verdict(&event).or(Some(Verdict::MayHaveRun));
        } else if let Some(text) = event["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
            self.tokens += 1;
        }
    }

    fn end(&self, word: &str, tokens: u32) -> End {
        if let Some(verdict) = self.error {
            return End::Refused(verdict);
        }
        let mut expected = String::new();
        for step in 0..tokens {
            let _ = write!(expected, "{word}.{step} ");
        }
        match (self.done, self.text == expected) {
            (true, true) => End::Whole,
            (false, _) if expected.starts_with(&self.text) => End::Broken,
            _ => End::Foreign,
        }
    }
}

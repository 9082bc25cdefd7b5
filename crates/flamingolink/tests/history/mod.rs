//! Runs a system with injected faults and records the callers' answers, to compare them with the
//! requests that the targets executed.

use awc::Client;
use flamingo_test_support::cluster::{Cluster, Instance};
use flamingo_test_support::seed::seed;
use flamingo_test_support::wait;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

const SET: &str = "\
[profile counter]
rank = 0
first_token_ms = 1500
between_tokens_ms = 100
patience_ms = 4000
late = serve

[model notes]
weights = 8000
cache = 2000

[service rota]
idempotent = /availability
concurrency = 16
patience_ms = 4000
";
/// Tokens of each completion.
const TOKENS: usize = 6;
/// Most times that a call with an idempotency key is sent.
const MAX_SENDINGS: usize = 4;

/// A fault that a test injects.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillService,
    KillEngine,
    /// Suspends a plain service's replica with SIGSTOP; `Resume` ends this.
    FreezeService,
    /// Suspends an engine with SIGSTOP; `Resume` ends this.
    FreezeEngine,
    /// Resumes all frozen targets.
    Resume,
    /// Makes the target announce that it leaves.
    LeaveService,
    LeaveEngine,
    /// Kills the first entry and starts it again.
    KillEntry,
    /// Sends SIGTERM to the first entry.
    StopEntry,
    /// Kills the control instance and starts it again.
    KillControl,
}

/// The system under test.
pub struct System {
    cluster: Cluster,
    /// Indices of the frozen targets in `cluster.targets`.
    frozen: Vec<usize>,
    /// Number of targets started so far, for their names.
    started: usize,
}

impl System {
    pub async fn start() -> Self {
        let mut system = Self {
            cluster: Cluster::start(1, 2),
            frozen: Vec::new(),
            started: 0,
        };
        for _ in 0..3 {
            system.start_target("engine");
            system.start_target("service");
        }
        system.cluster.apply(SET).await;
        for entry in system.entries() {
            wait::until("the entry to serve", || serves(entry)).await;
        }
        system
    }

    pub fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.cluster.entries.iter();
        entries.map(Instance::http).collect()
    }

    fn start_target(&mut self, kind: &str) {
        self.started += 1;
        let name = format!("{kind}-{}", self.started);
        let log = self.cluster.dir.path().join(format!("{name}.ran"));
        let log = log.to_str().unwrap().to_owned();
        let mut arguments = match kind {
            "engine" => vec!["--model", "notes", "--pace", "3"],
            _ => vec!["--service", "rota"],
        };
        arguments.extend(["--ran-log", &log]);
        self.cluster.target(kind, &name, &arguments);
    }

    /// Returns the index of the oldest target of a kind that is not frozen.
    fn oldest(&self, kind: &str) -> usize {
        let mut targets = self.cluster.targets.iter().enumerate();
        let oldest = targets
            .find(|(index, target)| target.name.starts_with(kind) && !self.frozen.contains(index));
        oldest.expect("a target that is not frozen").0
    }

    pub async fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillService => self.kill("service"),
            Fault::KillEngine => self.kill("engine"),
            Fault::FreezeService => self.freeze("service"),
            Fault::FreezeEngine => self.freeze("engine"),
            Fault::Resume => self.resume_all(),
            Fault::LeaveService => self.leave("service").await,
            Fault::LeaveEngine => self.leave("engine").await,
            Fault::KillEntry => {
                self.cluster.entries[0].process.kill();
                self.cluster.entries[0].process = self.cluster.restart("flamingo-entry", "entry-0");
            }
            Fault::StopEntry => {
                let entry = &mut self.cluster.entries[0];
                entry.process.signal(libc::SIGTERM);
            }
            Fault::KillControl => {
                self.cluster.controls[0].process.kill();
                let restarted = self.cluster.restart("flamingo-control", "control-0");
                self.cluster.controls[0].process = restarted;
            }
        }
    }

    /// Kills the oldest target of a kind and starts a new one.
    fn kill(&mut self, kind: &str) {
        let index = self.oldest(kind);
        let mut target = self.cluster.targets.remove(index);
        target.process.kill();
        for frozen in &mut self.frozen {
            *frozen -= usize::from(*frozen > index);
        }
        self.start_target(kind);
    }

    fn freeze(&mut self, kind: &str) {
        let index = self.oldest(kind);
        self.cluster.targets[index].process.signal(libc::SIGSTOP);
        self.frozen.push(index);
    }

    /// Resumes all frozen targets.
    pub fn resume_all(&mut self) {
        for index in self.frozen.drain(..) {
            self.cluster.targets[index].process.signal(libc::SIGCONT);
        }
    }

    async fn leave(&mut self, kind: &str) {
        let target = &self.cluster.targets[self.oldest(kind)];
        let url = format!("http://{}/stand-in/leave", target.target());
        Client::default().post(url).send().await.unwrap();
    }

    /// Returns how often the targets executed the request with each marker.
    pub async fn executions(&self) -> BTreeMap<String, usize> {
        // A resumed target first executes the requests that arrived while it was frozen. Once it
        // answers a later request, its log is complete.
        for target in &self.cluster.targets {
            let url = format!("http://{}/stand-in/ran", target.target());
            let _ = Client::default().get(url).send().await;
        }
        let mut executions = BTreeMap::new();
        for entry in std::fs::read_dir(self.cluster.dir.path()).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "ran") {
                let text = std::fs::read_to_string(path).unwrap();
                for line in text.lines() {
                    let line: Value = serde_json::from_str(line).unwrap();
                    let body = line["body"].as_str().unwrap_or_default();
                    *executions.entry(marker(body)).or_default() += 1;
                }
            }
        }
        executions
    }
}

async fn serves(entry: SocketAddr) -> Option<()> {
    let completion = json!({"model": "notes", "prompt": "echo:warm up", "max_tokens": 1});
    for (path, body) in [
        ("v1/completions", &completion),
        ("services/rota/warm", &json!({})),
    ] {
        let url = format!("http://{entry}/{path}");
        let request = Client::default().post(url);
        let answer = request
            .insert_header(("x-flamingo-profile", "counter"))
            .send_json(body);
        let answer = answer.await.ok()?;
        answer.status().is_success().then_some(())?;
    }
    Some(())
}

/// Returns the marker that follows `echo:` in a body, or an empty text if there is none.
fn marker(body: &str) -> String {
    let rest = body.split("echo:").nth(1).unwrap_or_default();
    rest.split([' ', '"', '\\'])
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// The outcome of a request, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Outcome {
    /// A complete answer.
    Answer,
    /// An error with this verdict.
    Rejected(String),
    /// No complete answer, because the connection to the entry broke.
    NoAnswer,
}

#[derive(Clone, Debug)]
struct Record {
    marker: String,
    /// Whether the request must not be executed more than once.
    at_most_once: bool,
    outcome: Outcome,
}

/// The history of all callers.
#[derive(Clone, Debug, Default)]
pub struct History {
    records: Rc<RefCell<Vec<Record>>>,
    ended: Rc<Cell<usize>>,
}

impl History {
    pub fn ended(&self) -> usize {
        self.ended.get()
    }

    /// Sends `requests` requests of all kinds, and uses the entries in rotation.
    pub async fn call(self, entries: Vec<SocketAddr>, caller: usize, requests: usize) {
        for number in 0..requests {
            let marker = format!("c{caller}n{number}");
            let entry = entries[(caller + number) % entries.len()];
            let kind = (number + caller + usize::try_from(seed() % 5).unwrap()) % 5;
            let outcome = match kind {
                0 => plain(entry, "confirm", &marker, None).await,
                1 => self.keyed(&entries, caller + number, &marker).await,
                2 => plain(entry, "availability", &marker, None).await,
                3 => streamed(entry, &marker).await,
                _ => unstreamed(entry, &marker).await,
            };
            let record = Record {
                marker,
                at_most_once: kind < 2,
                outcome,
            };
            self.records.borrow_mut().push(record);
            self.ended.set(self.ended.get() + 1);
        }
    }

    /// Sends a call with an idempotency key until it is answered, each time through another entry.
    /// Returns the least certain outcome if no answer comes.
    async fn keyed(&self, entries: &[SocketAddr], first: usize, marker: &str) -> Outcome {
        let mut worst = Outcome::NoAnswer;
        for sending in 0..MAX_SENDINGS {
            let entry = entries[(first + sending) % entries.len()];
            let outcome = plain(entry, "confirm", marker, Some(marker)).await;
            if outcome == Outcome::Answer {
                return outcome;
            }
            // If one of the sendings may have been executed, the call may have been executed.
            if worst == Outcome::NoAnswer || worst == Outcome::Rejected("not-run".into()) {
                worst = if sending == 0 || outcome != Outcome::Rejected("not-run".into()) {
                    outcome
                } else {
                    worst
                };
            }
        }
        worst
    }

    /// Asserts that the callers' outcomes agree with `executions`, the count for each marker, and
    /// that more than half of the `expected` requests were answered.
    pub fn check(&self, executions: &BTreeMap<String, usize>, expected: usize) {
        let records = self.records.borrow();
        assert_eq!(records.len(), expected);
        let (mut answered, mut uncertain, mut not_run) = (0, 0, 0);
        for record in records.iter() {
            let count = executions.get(&record.marker).copied().unwrap_or(0);
            assert!(
                !record.at_most_once || count <= 1,
                "ran {count} times: {record:?}"
            );
            match &record.outcome {
                Outcome::Answer => {
                    answered += 1;
                    assert!(count > 0, "answered but never executed: {record:?}");
                }
                Outcome::Rejected(verdict) if verdict == "not-run" => {
                    not_run += 1;
                    assert_eq!(count, 0, "executed despite the verdict not-run: {record:?}");
                }
                Outcome::Rejected(_) | Outcome::NoAnswer => uncertain += 1,
            }
        }
        eprintln!(
            "{expected} requests: {answered} answered, {not_run} not run, {uncertain} uncertain"
        );
        assert!(
            answered > expected / 2,
            "too few requests answered: {answered} of {expected}"
        );
    }
}

async fn plain(entry: SocketAddr, path: &str, marker: &str, key: Option<&str>) -> Outcome {
    let url = format!("http://{entry}/services/rota/{path}?delay_ms=5");
    let mut request = client().post(url);
    if let Some(key) = key {
        request = request.insert_header(("idempotency-key", key));
    }
    let Ok(mut answer) = request
        .send_json(&json!({"shift": format!("echo:{marker} ")}))
        .await
    else {
        return Outcome::NoAnswer;
    };
    let Ok(body) = answer.json::<Value>().await else {
        return Outcome::NoAnswer;
    };
    if answer.status().is_success() {
        let ran = body["ran"]["body"].as_str().unwrap_or_default();
        assert_eq!(
            self::marker(ran),
            marker,
            "answer to another request: {body}"
        );
        return Outcome::Answer;
    }
    rejection(&body)
}

fn rejection(body: &Value) -> Outcome {
    let verdict = body["error"]["verdict"].as_str();
    let verdict = verdict.unwrap_or_else(|| panic!("an error without a verdict: {body}"));
    Outcome::Rejected(verdict.to_owned())
}

fn client() -> Client {
    Client::builder().disable_timeout().finish()
}

fn completion(marker: &str, stream: bool) -> Value {
    json!({"model": "notes", "stream": stream, "max_tokens": TOKENS,
        "prompt": format!("echo:{marker} please")})
}

fn post(entry: SocketAddr) -> awc::ClientRequest {
    let request = client().post(format!("http://{entry}/v1/completions"));
    request.insert_header(("x-flamingo-profile", "counter"))
}

async fn unstreamed(entry: SocketAddr, marker: &str) -> Outcome {
    let Ok(mut answer) = post(entry).send_json(&completion(marker, false)).await else {
        return Outcome::NoAnswer;
    };
    let Ok(body) = answer.json::<Value>().await else {
        return Outcome::NoAnswer;
    };
    if !answer.status().is_success() {
        return rejection(&body);
    }
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    let expected: Vec<_> = (0..TOKENS)
        .map(|token| format!("{marker}.{token}"))
        .collect();
    let tokens: Vec<_> = text.split_whitespace().collect();
    assert_eq!(
        tokens, expected,
        "incomplete answer, or the answer to another request: {body}"
    );
    Outcome::Answer
}

async fn streamed(entry: SocketAddr, marker: &str) -> Outcome {
    let Ok(mut answer) = post(entry).send_json(&completion(marker, true)).await else {
        return Outcome::NoAnswer;
    };
    let Ok(body) = answer.body().await else {
        return Outcome::NoAnswer;
    };
    let text = String::from_utf8(body.to_vec()).unwrap();
    if !answer.status().is_success() {
        return serde_json::from_str(&text).map_or(Outcome::NoAnswer, |body| rejection(&body));
    }
    let mut tokens = 0;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        if event == "data: [DONE]" {
            assert_eq!(
                tokens, TOKENS,
                "stream marked as complete with tokens missing: {text}"
            );
            return Outcome::Answer;
        }
        if let Some(error) = event.strip_prefix("event: error\ndata: ") {
            return rejection(&serde_json::from_str(error).unwrap());
        }
        let Some(data) = event.strip_prefix("data: ") else {
            continue;
        };
        let Ok(data) = serde_json::from_str::<Value>(data) else {
            // The entry's connection broke within the last event.
            return Outcome::NoAnswer;
        };
        let token = data["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .trim();
        if !token.is_empty() {
            assert_eq!(token, format!("{marker}.{tokens}"), "{text}");
            tokens += 1;
        }
    }
    Outcome::NoAnswer
}

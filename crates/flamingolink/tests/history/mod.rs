//! A whole system under faults, and a history of its callers.

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
/// Times that a keyed call is sent at most.
const RESENDS: usize = 4;

/// What strikes the system.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillService,
    KillEngine,
    FreezeService,
    FreezeEngine,
    Thaw,
    LeaveService,
    LeaveEngine,
    KillEntry,
    StopEntry,
    KillControl,
}

/// The system under test.
pub struct System {
    cluster: Cluster,
    frozen: Vec<usize>,
    next: usize,
}

impl System {
    pub async fn start() -> Self {
        let mut system = Self {
            cluster: Cluster::start(1, 2),
            frozen: Vec::new(),
            next: 0,
        };
        for _ in 0..3 {
            system.target("engine");
            system.target("service");
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

    fn target(&mut self, kind: &str) {
        self.next += 1;
        let name = format!("{kind}-{}", self.next);
        let log = self.cluster.dir.path().join(format!("{name}.ran"));
        let log = log.to_str().unwrap().to_owned();
        let mut more = match kind {
            "engine" => vec!["--model", "notes", "--pace", "3"],
            _ => vec!["--service", "rota"],
        };
        more.extend(["--ran-log", &log]);
        self.cluster.target(kind, &name, &more);
    }

    /// Returns the oldest target of a kind that still takes work.
    fn oldest(&self, kind: &str) -> usize {
        let mut targets = self.cluster.targets.iter().enumerate();
        let found = targets.find(|(number, target)| {
            target.name.starts_with(kind) && !self.frozen.contains(number)
        });
        found.expect("a target is left").0
    }

    pub async fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::KillService => self.kill("service"),
            Fault::KillEngine => self.kill("engine"),
            Fault::FreezeService => self.freeze("service"),
            Fault::FreezeEngine => self.freeze("engine"),
            Fault::Thaw => self.thaw(),
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
                let again = self.cluster.restart("flamingo-control", "control-0");
                self.cluster.controls[0].process = again;
            }
        }
    }

    fn kill(&mut self, kind: &str) {
        let number = self.oldest(kind);
        let mut target = self.cluster.targets.remove(number);
        target.process.kill();
        for frozen in &mut self.frozen {
            *frozen -= usize::from(*frozen > number);
        }
        self.target(kind);
    }

    fn freeze(&mut self, kind: &str) {
        let number = self.oldest(kind);
        self.cluster.targets[number].process.signal(libc::SIGSTOP);
        self.frozen.push(number);
    }

    /// Wakes what is frozen.
    pub fn thaw(&mut self) {
        for number in self.frozen.drain(..) {
            self.cluster.targets[number].process.signal(libc::SIGCONT);
        }
    }

    async fn leave(&mut self, kind: &str) {
        let target = &self.cluster.targets[self.oldest(kind)];
        let url = format!("http://{}/stand-in/leave", target.target());
        Client::default().post(url).send().await.unwrap();
    }

    /// Returns how often each marker truly ran.
    pub async fn ran(&self) -> BTreeMap<String, usize> {
        // A target that was frozen first runs what waited at its door: an answer to a
        // later request shows that it has.
        for target in &self.cluster.targets {
            let url = format!("http://{}/stand-in/ran", target.target());
            let _ = Client::default().get(url).send().await;
        }
        let mut ran = BTreeMap::new();
        for entry in std::fs::read_dir(self.cluster.dir.path()).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "ran") {
                let text = std::fs::read_to_string(path).unwrap();
                for line in text.lines() {
                    let line: Value = serde_json::from_str(line).unwrap();
                    let body = line["body"].as_str().unwrap_or_default();
                    *ran.entry(marker(body)).or_default() += 1;
                }
            }
        }
        ran
    }
}

async fn serves(entry: SocketAddr) -> Option<()> {
    let ask = json!({"model": "notes", "prompt": "echo:warm up", "max_tokens": 1});
    for (path, body) in [("v1/completions", &ask), ("services/rota/warm", &json!({}))] {
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

/// Finds the marker `<...>` in a body.
fn marker(body: &str) -> String {
    let found = body.split("echo:").nth(1).unwrap_or_default();
    found
        .split([' ', '"', '\\'])
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Told {
    /// A whole answer.
    Answer,
    /// A refusal with this verdict.
    Refusal(String),
    /// Nothing: the entry went away.
    Nothing,
}

#[derive(Clone, Debug)]
struct Record {
    marker: String,
    once: bool,
    told: Told,
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

    /// Sends `requests` requests of all kinds, through the entries in turn.
    pub async fn call(self, entries: Vec<SocketAddr>, caller: usize, requests: usize) {
        for number in 0..requests {
            let marker = format!("c{caller}n{number}");
            let entry = entries[(caller + number) % entries.len()];
            let kind = (number + caller + usize::try_from(seed() % 5).unwrap()) % 5;
            let told = match kind {
                0 => plain(entry, "confirm", &marker, None).await,
                1 => self.keyed(&entries, caller + number, &marker).await,
                2 => plain(entry, "availability", &marker, None).await,
                3 => streamed(entry, &marker).await,
                _ => whole(entry, &marker).await,
            };
            let record = Record {
                marker,
                once: kind < 2,
                told,
            };
            self.records.borrow_mut().push(record);
            self.ended.set(self.ended.get() + 1);
        }
    }

    /// Sends a call with a key until it is answered, through another entry each time.
    async fn keyed(&self, entries: &[SocketAddr], first: usize, marker: &str) -> Told {
        let mut worst = Told::Nothing;
        for resend in 0..RESENDS {
            let entry = entries[(first + resend) % entries.len()];
            let told = plain(entry, "confirm", marker, Some(marker)).await;
            if told == Told::Answer {
                return told;
            }
            // One word that it may have run holds for the call as a whole.
            if worst == Told::Nothing || worst == Told::Refusal("not-run".into()) {
                worst = if resend == 0 || told != Told::Refusal("not-run".into()) {
                    told
                } else {
                    worst
                };
            }
        }
        worst
    }

    /// Compares what the callers were told with what ran.
    pub fn check(&self, ran: &BTreeMap<String, usize>, tried: usize) {
        let records = self.records.borrow();
        assert_eq!(records.len(), tried);
        let (mut answered, mut refused, mut not_run) = (0, 0, 0);
        for record in records.iter() {
            let count = ran.get(&record.marker).copied().unwrap_or(0);
            assert!(!record.once || count <= 1, "ran {count} times: {record:?}");
            match &record.told {
                Told::Answer => {
                    answered += 1;
                    assert!(count > 0, "answered and never ran: {record:?}");
                }
                Told::Refusal(verdict) if verdict == "not-run" => {
                    not_run += 1;
                    assert_eq!(count, 0, "falsely not run: {record:?}");
                }
                Told::Refusal(_) | Told::Nothing => refused += 1,
            }
        }
        eprintln!("tried {tried}: {answered} answered, {not_run} not run, {refused} unknown");
        assert!(
            answered > tried / 2,
            "too few were answered: {answered} of {tried}"
        );
    }
}

async fn plain(entry: SocketAddr, path: &str, marker: &str, key: Option<&str>) -> Told {
    let url = format!("http://{entry}/services/rota/{path}?delay_ms=5");
    let mut request = client().post(url);
    if let Some(key) = key {
        request = request.insert_header(("idempotency-key", key));
    }
    let Ok(mut answer) = request
        .send_json(&json!({"shift": format!("echo:{marker} ")}))
        .await
    else {
        return Told::Nothing;
    };
    let Ok(body) = answer.json::<Value>().await else {
        return Told::Nothing;
    };
    if answer.status().is_success() {
        let ran = body["ran"]["body"].as_str().unwrap_or_default();
        assert_eq!(self::marker(ran), marker, "a foreign answer: {body}");
        return Told::Answer;
    }
    refusal(&body)
}

fn refusal(body: &Value) -> Told {
    let verdict = body["error"]["verdict"].as_str();
    let verdict = verdict.unwrap_or_else(|| panic!("a refusal without a verdict: {body}"));
    Told::Refusal(verdict.to_owned())
}

fn client() -> Client {
    Client::builder().disable_timeout().finish()
}

fn ask(marker: &str, stream: bool) -> Value {
    json!({"model": "notes", "stream": stream, "max_tokens": TOKENS,
        "prompt": format!("echo:{marker} please")})
}

fn post(entry: SocketAddr) -> awc::ClientRequest {
    let request = client().post(format!("http://{entry}/v1/completions"));
    request.insert_header(("x-flamingo-profile", "counter"))
}

async fn whole(entry: SocketAddr, marker: &str) -> Told {
    let Ok(mut answer) = post(entry).send_json(&ask(marker, false)).await else {
        return Told::Nothing;
    };
    let Ok(body) = answer.json::<Value>().await else {
        return Told::Nothing;
    };
    if !answer.status().is_success() {
        return refusal(&body);
    }
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    let wanted: Vec<_> = (0..TOKENS)
        .map(|token| format!("{marker}.{token}"))
        .collect();
    let seen: Vec<_> = text.split_whitespace().collect();
    assert_eq!(seen, wanted, "not the whole of its own answer: {body}");
    Told::Answer
}

async fn streamed(entry: SocketAddr, marker: &str) -> Told {
    let Ok(mut answer) = post(entry).send_json(&ask(marker, true)).await else {
        return Told::Nothing;
    };
    let Ok(body) = answer.body().await else {
        return Told::Nothing;
    };
    let text = String::from_utf8(body.to_vec()).unwrap();
    if !answer.status().is_success() {
        return serde_json::from_str(&text).map_or(Told::Nothing, |body| refusal(&body));
    }
    let mut tokens = 0;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        if event == "data: [DONE]" {
            assert_eq!(tokens, TOKENS, "a whole stream with tokens missing: {text}");
            return Told::Answer;
        }
        if let Some(error) = event.strip_prefix("event: error\ndata: ") {
            return refusal(&serde_json::from_str(error).unwrap());
        }
        let Some(data) = event.strip_prefix("data: ") else {
            continue;
        };
        let Ok(data) = serde_json::from_str::<Value>(data) else {
            // The last event of a stream that ended with its entry.
            return Told::Nothing;
        };
        let seen = data["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .trim();
        if !seen.is_empty() {
            assert_eq!(seen, format!("{marker}.{tokens}"), "{text}");
            tokens += 1;
        }
    }
    Told::Nothing
}

//! Workspaces at the product's own front, with an entry and control instances as processes: which requests
//! their keys admit, and what reaches the target.

use flamingo_test_support::address::{at, host};
use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::wait;
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load, Resident, Service};
use flamingo_wire::workspace::KeyDigest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a change must be in force on open connections.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a leader after which an entry may lack a newer configuration, with what an entry needs to
/// notice.
const SILENCE: Duration = Duration::from_millis(2_600);
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

const CALL: &str = "/services/rota/confirm";
const OPEN_CALL: &str = "/services/board/notices";
const COMPLETION: &str = "/v1/completions";

/// What the set of each test has besides workspaces.
const BASE: &str = "[model notes]\nweights = 1\ncache = 1\n[model open]\nweights = 1\ncache = 1\n\
                    anonymous = true\n[service rota]\n[service board]\nanonymous = true\n";

/// Writes a set in which the workspaces have these keys.
fn set(workspaces: &[(&str, &str)]) -> String {
    let sections = workspaces.iter().map(|(name, key)| {
        let digest = KeyDigest::of(key);
        format!("[workspace {name}]\nkeys = {digest:x}\nrank = 3\n")
    });
    BASE.to_owned() + &sections.collect::<String>()
}

/// One message of HTTP.
#[derive(Clone, Debug)]
struct Message {
    head: String,
    body: String,
}

impl Message {
    fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let count = reader.read_line(&mut head).ok()?;
            if count == 0 {
                return None;
            }
        }
        let mut message = Self {
            head,
            body: String::new(),
        };
        let length = message.header("content-length");
        let length: u64 = length.map_or(0, |length| length.parse().unwrap());
        reader.take(length).read_to_string(&mut message.body).ok()?;
        Some(message)
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// A connection of a caller, which stays open.
struct Connection(BufReader<TcpStream>);

impl Connection {
    fn open(entry: SocketAddr) -> Self {
        let stream = TcpStream::connect(entry).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Self(BufReader::new(stream))
    }

    /// Sends a request with these header lines, and returns the response; `None` if the connection ends.
    fn try_post(&mut self, path: &str, headers: &str, body: &str) -> Option<Message> {
        let length = body.len();
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        );
        self.0.get_mut().write_all(text.as_bytes()).ok()?;
        Message::read(&mut self.0)
    }

    fn post(&mut self, path: &str, headers: &str, body: &str) -> Message {
        self.try_post(path, headers, body).expect("a response")
    }
}

fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

/// A system of control instances and one entry, with a target of each model and service that responds
/// with an empty object.
struct System {
    cluster: Cluster,
    received: Arc<Mutex<Vec<Message>>>,
}

impl System {
    async fn start(text: &str) -> Self {
        Self::with_controls(1, text).await
    }

    async fn with_controls(controls: usize, text: &str) -> Self {
        let cluster = Cluster::relayed(controls, 1);
        let received = Arc::new(Mutex::new(Vec::new()));
        let listener = TcpListener::bind(at(host(), 8000)).unwrap();
        let target = listener.local_addr().unwrap();
        let seen = Arc::clone(&received);
        thread::spawn(move || serve(&listener, &seen));
        let entry = cluster.entries[0].http();
        thread::spawn(move || announce(entry, target));
        cluster.apply(text).await;
        let system = Self { cluster, received };
        system.wait_for(OPEN_CALL, "", 200).await;
        system
    }

    fn connect(&self) -> Connection {
        Connection::open(self.cluster.entries[0].http())
    }

    /// Sends requests until one has this status.
    async fn wait_for(&self, path: &str, headers: &str, status: u16) {
        wait::until("a status", || async {
            TcpStream::connect(self.cluster.entries[0].http()).ok()?;
            let seen = self.connect().post(path, headers, "{}").status();
            (seen == status).then_some(())
        })
        .await;
    }

    /// Returns what targets have received since the last call.
    fn take_received(&self) -> Vec<Message> {
        std::mem::take(&mut self.received.lock().unwrap())
    }

    /// Sends a request, and returns its status and what reached the target.
    fn post(&self, path: &str, headers: &str, body: &str) -> (u16, Vec<Message>) {
        self.take_received();
        let status = self.connect().post(path, headers, body).status();
        (status, self.take_received())
    }

    fn cut_off(&self) {
        let relay = self.cluster.relay("entry-0", "control-0");
        relay.hold();
        relay.drop_all();
    }
}

fn serve(listener: &TcpListener, received: &Arc<Mutex<Vec<Message>>>) {
    for stream in listener.incoming().flatten() {
        let received = Arc::clone(received);
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some(request) = Message::read(&mut reader) {
                received.lock().unwrap().push(request);
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                if reader.get_mut().write_all(response).is_err() {
                    return;
                }
            }
        });
    }
}

/// Announces an engine with all models and a replica of each service for as long as the test runs.
fn announce(entry: SocketAddr, target: SocketAddr) {
    let resident = |model: &str| Resident {
        model: model.into(),
        version: 1,
        adapters: Vec::new(),
    };
    let engine = Kind::Engine(Engine {
        memory: 80_000,
        fenced: true,
        resident: vec![resident("notes"), resident("open")],
        loading: Vec::new(),
        ended: Vec::new(),
    });
    let service = |name: &str| Kind::Service(Service { name: name.into() });
    let kinds = [
        ("engine", engine),
        ("rota", service("rota")),
        ("board", service("board")),
    ];
    for sequence in 1.. {
        for (name, kind) in &kinds {
            let announcement = Announcement {
                target: (*name).into(),
                incarnation: 1,
                sequence,
                zone: "zone-a".into(),
                address: target,
                availability: Availability::Serving,
                load: Load::default(),
                kind: kind.clone(),
            };
            let body = serde_json::to_string(&announcement).unwrap();
            // An entry that restarts hears the next announcement.
            if let Ok(stream) = TcpStream::connect(entry) {
                let json = "content-type: application/json\r\n";
                let _ =
                    Connection(BufReader::new(stream)).try_post("/targets/announce", json, &body);
            }
        }
        thread::sleep(ANNOUNCEMENT_INTERVAL);
    }
}

/// Guards against requests that no key admits, a key that reaches a target or a log, and a workspace's name
/// that the caller chooses.
#[actix_rt::test]
async fn keys_admit_requests_and_stay_at_the_entry() {
    let system = System::start(&set(&[("acme", "sk-acme"), ("zenith", "sk-zenith")])).await;
    system.wait_for(CALL, &bearer("sk-guess"), 401).await;
    let notes = r#"{"model": "notes", "prompt": "x"}"#;
    let open = r#"{"model": "open", "prompt": "x"}"#;
    let repeated = bearer("sk-acme") + &bearer("sk-acme");
    let refused = [
        (CALL, String::new(), ""),
        (CALL, repeated, ""),
        (CALL, "authorization: Basic sk-acme\r\n".to_owned(), ""),
        ("/services/unknown/x", String::new(), ""),
        (COMPLETION, String::new(), notes),
        (COMPLETION, bearer("sk-guess"), notes),
        (COMPLETION, String::new(), r#"{"model": "unknown"}"#),
    ];
    for (path, headers, body) in refused {
        let (status, received) = system.post(path, &headers, body);
        assert_eq!(
            (status, received.len()),
            (401, 0),
            "{path} {headers} {body}"
        );
    }
    let claim = "x-flamingo-workspace: zenith\r\n";
    let admitted = [
        (CALL, bearer("sk-acme"), "", Some("acme")),
        (
            CALL,
            "AUTHORIZATION: bearer  sk-zenith\r\n".to_owned(),
            "",
            Some("zenith"),
        ),
        (COMPLETION, bearer("sk-acme"), notes, Some("acme")),
        (OPEN_CALL, bearer("sk-acme"), "", Some("acme")),
        (OPEN_CALL, String::new(), "", None),
        (OPEN_CALL, bearer("sk-guess"), "", None),
        (COMPLETION, String::new(), open, None),
    ];
    for (path, headers, body, workspace) in admitted {
        let (status, received) = system.post(path, &(headers.clone() + claim), body);
        assert_eq!(
            (status, received.len()),
            (200, 1),
            "{path} {headers} {body}"
        );
        let target = &received[0];
        assert_eq!(
            target.header("x-flamingo-workspace"),
            workspace,
            "{target:?}"
        );
        assert_eq!(target.header("authorization"), None, "{target:?}");
        let rank = if workspace.is_some() { "3" } else { "128" };
        assert_eq!(
            target.header("x-flamingo-priority"),
            Some(rank),
            "{target:?}"
        );
    }
    let log = std::fs::read_to_string(system.cluster.log("entry-0")).unwrap();
    assert!(log.contains("not authenticated"), "{log}");
    assert!(!log.contains("sk-"), "{log}");
}

/// Guards against a recorded answer that another workspace gets, and a key of calls that it blocks.
#[actix_rt::test]
async fn idempotency_keys_belong_to_a_workspace() {
    let system = System::start(&set(&[("acme", "sk-acme"), ("zenith", "sk-zenith")])).await;
    let call = |key: &str| {
        let headers = bearer(key) + "idempotency-key: order-1\r\n";
        let (status, received) = system.post(CALL, &headers, "{}");
        (status, received.len())
    };
    assert_eq!(call("sk-acme"), (200, 1));
    assert_eq!(
        call("sk-zenith"),
        (200, 1),
        "the call of another workspace runs"
    );
    assert_eq!(
        call("sk-acme"),
        (200, 0),
        "a resend gets the recorded answer"
    );
}

/// Guards against a removed key that an open connection still uses, and a new key that it can't.
#[actix_rt::test]
async fn a_change_of_keys_is_in_force_on_open_connections() {
    let system = System::with_controls(3, &set(&[("acme", "sk-old")])).await;
    let mut connection = system.connect();
    assert_eq!(connection.post(CALL, &bearer("sk-old"), "").status(), 200);
    system.cluster.apply(&set(&[("acme", "sk-new")])).await;
    let acknowledged = Instant::now();
    while connection.post(CALL, &bearer("sk-old"), "").status() == 200 {
        assert!(acknowledged.elapsed() < IN_FORCE_TIMEOUT);
    }
    println!("in force after {:?}", acknowledged.elapsed());
    // The entry hears of the leader right after the set, and is unsure until then.
    while connection.post(CALL, &bearer("sk-old"), "").status() != 401 {
        assert!(acknowledged.elapsed() < IN_FORCE_TIMEOUT);
    }
    println!("401 after {:?}", acknowledged.elapsed());
    assert_eq!(connection.post(CALL, &bearer("sk-new"), "").status(), 200);
}

/// Guards against callers with a new key who give up at an entry that lacks a newer configuration, and
/// against an entry that lets in everyone because it has none.
#[actix_rt::test]
async fn an_entry_out_of_touch_refuses_no_key_for_good() {
    let mut system = System::start(&set(&[("acme", "sk-acme")])).await;
    system.wait_for(CALL, &bearer("sk-new"), 401).await;
    system.cut_off();
    actix_rt::time::sleep(SILENCE).await;
    let refusal = system.connect().post(CALL, &bearer("sk-new"), "");
    assert_eq!(refusal.status(), 503, "{refusal:?}");
    assert_eq!(refusal.header("retry-after"), Some("1"), "{refusal:?}");
    assert_eq!(
        system.post(CALL, "", "").0,
        401,
        "no configuration admits it"
    );
    assert_eq!(system.post(CALL, &bearer("sk-acme"), "").0, 200);

    system.cluster.entries[0].process.kill();
    system.cluster.entries[0].process = system.cluster.restart("flamingo-entry", "entry-0");
    wait::until("the entry", || async {
        TcpStream::connect(system.cluster.entries[0].http()).ok()
    })
    .await;
    for headers in [String::new(), bearer("sk-acme")] {
        let (status, received) = system.post(CALL, &headers, "");
        assert_eq!(
            (status, received.len()),
            (503, 0),
            "without a configuration"
        );
    }
    system.cluster.relay("entry-0", "control-0").heal();
    system.wait_for(CALL, &bearer("sk-acme"), 200).await;
}

/// Guards against an entry that takes a control instance for up to date which is itself cut off from the
/// leader, where a new key may have been added.
#[actix_rt::test]
async fn a_control_instance_without_a_leader_is_no_contact() {
    let mut system = System::with_controls(3, &set(&[("acme", "sk-acme")])).await;
    system.wait_for(CALL, &bearer("sk-new"), 401).await;
    for control in &mut system.cluster.controls[1..] {
        control.process.kill();
    }
    let lost_at = Instant::now();
    system.wait_for(CALL, &bearer("sk-new"), 503).await;
    println!("503 after {:?}", lost_at.elapsed());
    // It stays so: the remaining instance goes on sending heartbeats.
    actix_rt::time::sleep(SILENCE).await;
    assert_eq!(system.post(CALL, &bearer("sk-new"), "").0, 503);
    assert_eq!(system.post(CALL, &bearer("sk-acme"), "").0, 200);
}

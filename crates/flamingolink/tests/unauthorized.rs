//! Tests that callers and nodes without a valid key are rejected on the admin interface and on the
//! inner protocol (control, gossip and log), and that no key is written to a log.

use flamingo_test_support::address::{at, host};
use flamingo_test_support::process::{Process, program};
use flamingo_test_support::wait;
use flamingo_wire::control::{Fetch, Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::gossip;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::inner::gossip_client::GossipClient;
use flamingo_wire::inner::log_client::LogClient;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::time::SystemTime;
use tempfile::TempDir;
use tonic::Code;

const INNER_KEY: &str = "inner-secret-4711";
const KEYS: [&str; 3] = ["caller-secret-1", "operator-secret-2", "target-secret-3"];

/// A control instance and an entry with TLS and keys for every role.
struct System {
    dir: TempDir,
    control_inner: SocketAddr,
    entry_inner: SocketAddr,
    entry: SocketAddr,
    processes: Vec<Process>,
}

impl System {
    fn start() -> Self {
        let dir = tempfile::tempdir().unwrap();
        let (control, entry) = (host(), host());
        let names = vec![control.to_string(), entry.to_string()];
        let certified = rcgen::generate_simple_self_signed(names).unwrap();
        let file = |name: &str, text: &str| std::fs::write(dir.path().join(name), text).unwrap();
        file("cert.pem", &certified.cert.pem());
        file("key.pem", &certified.signing_key.serialize_pem());
        for (name, key) in ["callers", "operators", "targets"].iter().zip(KEYS) {
            file(name, &format!("me {key}\n"));
        }
        file("operator", KEYS[1]);
        file("caller", KEYS[0]);
        let mut system = Self {
            control_inner: at(control, 7401),
            entry_inner: at(entry, 7401),
            entry: at(entry, 7400),
            processes: Vec::new(),
            dir,
        };
        system.start_daemon(
            "flamingo-control",
            "control-0",
            at(control, 7400),
            at(control, 7401),
        );
        system.start_daemon(
            "flamingo-entry",
            "entry-0",
            at(entry, 7400),
            at(entry, 7401),
        );
        system
    }

    fn path(&self, name: &str) -> String {
        self.dir.path().join(name).display().to_string()
    }

    fn start_daemon(&mut self, daemon: &str, name: &str, http: SocketAddr, inner: SocketAddr) {
        let member = self.control_inner;
        let data = if daemon == "flamingo-control" {
            format!("data = {}\n", self.path("data"))
        } else {
            String::new()
        };
        let [cert, key] = ["cert.pem", "key.pem"].map(|name| self.path(name));
        let [callers, operators, targets] =
            ["callers", "operators", "targets"].map(|name| self.path(name));
        let text = format!(
            "[node]\nname = {name}\nzone = zone-a\n[listen]\nhttp = {http}\ninner = {inner}\n\
             [inner]\nkey = {INNER_KEY}\n[control]\nmembers = control-0@{member}\n{data}\
             [log]\nlevel = debug\n[tls]\ncertificate = {cert}\nkey = {key}\n\
             [keys]\ncallers = {callers}\noperators = {operators}\ntargets = {targets}\n"
        );
        let settings = self.path(&format!("{name}.ini"));
        std::fs::write(&settings, text).unwrap();
        let log = self.path(&format!("{name}.log"));
        let process = Process::start(daemon, &["--settings", &settings], Path::new(&log));
        self.processes.push(process);
    }

    fn ctl(&self, key: Option<&str>, words: &[&str]) -> Output {
        let (at, ca) = (self.entry.to_string(), self.path("cert.pem"));
        let mut command = Command::new(program("flamingoctl"));
        command
            .env_remove("FLAMINGO_KEY")
            .args(["--at", &at, "--ca", &ca])
            .args(words);
        if let Some(key) = key {
            command.args(["--key-file", &self.path(key)]);
        }
        command.output().unwrap()
    }
}

fn text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

async fn send_request(address: SocketAddr, key: &str) -> Result<Reply, Code> {
    let seal = Seal::new("stranger", key.as_bytes());
    let fetch = Request::Fetch(Fetch {
        version: 0,
        node: "stranger".into(),
    });
    let frame = seal.seal("control-0", &fetch, SystemTime::now()).unwrap();
    let channel = ControlClient::connect(format!("http://{address}")).await;
    let mut client = channel.map_err(|_| Code::Unavailable)?;
    let answer = client.ask(frame).await.map_err(|status| status.code())?;
    Ok(seal.open(answer.get_ref(), SystemTime::now()).unwrap())
}

async fn send_gossip(address: SocketAddr, key: &str) -> Result<(), Code> {
    let seal = Seal::new("stranger", key.as_bytes());
    let message = gossip::Message::default();
    let frame = seal.seal("entry-0", &message, SystemTime::now()).unwrap();
    let channel = GossipClient::connect(format!("http://{address}")).await;
    let mut client = channel.map_err(|_| Code::Unavailable)?;
    client
        .exchange(frame)
        .await
        .map_err(|status| status.code())?;
    Ok(())
}

async fn send_log(address: SocketAddr, key: &str) -> Result<(), Code> {
    let seal = Seal::new("stranger", key.as_bytes());
    let frame = seal.seal("control-0", &"join", SystemTime::now()).unwrap();
    let channel = LogClient::connect(format!("http://{address}")).await;
    let mut client = channel.map_err(|_| Code::Unavailable)?;
    let frames = futures_util::stream::iter([frame]);
    let answer = client.send(frames).await.map_err(|status| status.code())?;
    let next = answer.into_inner().message().await;
    next.map(|_| ()).map_err(|status| status.code())
}

#[actix_rt::test]
async fn requests_without_a_valid_key_are_rejected_and_logs_hold_no_keys() {
    let system = System::start();
    wait::until("the entry to answer operators", || async {
        system
            .ctl(Some("operator"), &["status"])
            .status
            .success()
            .then_some(())
    })
    .await;

    for key in [None, Some("caller")] {
        let rejected = system.ctl(key, &["config", "show"]);
        assert_eq!(rejected.status.code(), Some(1), "{}", text(&rejected));
        assert!(
            text(&rejected).contains("no valid key"),
            "{}",
            text(&rejected)
        );
    }

    let accepted = send_request(system.control_inner, INNER_KEY).await;
    assert!(accepted.is_ok(), "{accepted:?}");
    let rejected = send_request(system.control_inner, "inner-secret-0815").await;
    assert_eq!(rejected.unwrap_err(), Code::Unauthenticated);
    let rejected = send_gossip(system.entry_inner, "inner-secret-0815").await;
    assert_eq!(rejected.unwrap_err(), Code::Unauthenticated);

    let rejected = send_log(system.control_inner, "inner-secret-0815").await;
    assert_eq!(rejected.unwrap_err(), Code::Unauthenticated);

    for name in ["control-0.log", "entry-0.log"] {
        let log = std::fs::read_to_string(system.path(name)).unwrap();
        assert!(!log.is_empty());
        for secret in KEYS.iter().chain(&[INNER_KEY]) {
            assert!(!log.contains(secret), "{name} contains {secret}");
        }
        for line in log.lines() {
            let parsed = serde_json::from_str::<serde_json::Value>(line);
            assert!(parsed.is_ok(), "{name} has a line that is not JSON: {line}");
        }
    }
}

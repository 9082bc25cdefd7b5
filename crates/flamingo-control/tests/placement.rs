//! Placement with real processes: engines start without models and get orders to load them.

use awc::Client;
use awc::http::StatusCode;
use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::wait;
use serde_json::{Value, json};
use std::net::SocketAddr;

const MODELS: [&str; 5] = ["notes", "roster", "tablet", "prices", "fleet"];

const SET: &str = "\
[profile counter]
rank = 0
first_token_ms = 1700
between_tokens_ms = 54

[model notes]
weights = 8000
cache = 2000
copies = 2

[model roster]
weights = 7000
cache = 1000

[model tablet]
weights = 5000
cache = 1000

[model prices]
weights = 4000
cache = 1000

[model fleet]
weights = 9000
cache = 1000

[placement]
loads_per_second = 4
";

/// Memory of one engine in MiB: three engines fit all models of the set, one fits less than half.
const MEMORY: u64 = 20_000;

/// Sends a request for a model; returns `None` unless it is answered with 200.
async fn request_model(entry: SocketAddr, model: &str) -> Option<()> {
    let url = format!("http://{entry}/v1/chat/completions");
    let body = json!({"model": model, "max_tokens": 2,
        "messages": [{"role": "user", "content": "hello"}]});
    let request = Client::default()
        .post(url)
        .insert_header(("x-flamingo-profile", "counter"));
    let response = request.send_json(&body).await.ok()?;
    (response.status() == StatusCode::OK).then_some(())
}

async fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let url = format!("http://{address}{path}");
    let mut response = Client::default().get(url).send().await.ok()?;
    response.json().await.ok()
}

fn start(controls: usize, extra_args: &[&str]) -> Cluster {
    let mut cluster = Cluster::start(controls, 2);
    let memory = MEMORY.to_string();
    for name in ["engine-1", "engine-2", "engine-3"] {
        let mut args = vec!["--memory", &memory];
        args.extend(extra_args);
        cluster.target("engine", name, &args);
    }
    cluster
}

async fn every_model_answers(cluster: &Cluster) {
    let entry = cluster.entries[0].http();
    for model in MODELS {
        wait::until(model, || request_model(entry, model)).await;
    }
}

async fn no_engine_was_over_committed(cluster: &Cluster) {
    for target in &cluster.targets {
        let account = wait::until("the engine's memory account", || {
            get(target.target(), "/stand-in/orders")
        })
        .await;
        let peak = account["committed_peak"].as_u64().unwrap();
        assert!(peak > 0, "{account}");
        assert!(peak <= MEMORY, "{}: {account}", target.name);
    }
}

/// Returns the resident copies, each as `model version target`.
fn resident(cluster: &Cluster) -> Vec<String> {
    let output = cluster.ctl(&["--json", "placement"]);
    let copies: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let copies = copies.as_array().cloned().unwrap_or_default();
    let copies = copies.iter().filter(|copy| copy["state"] == "resident");
    let texts = copies.map(|copy| {
        let text = |key: &str| copy[key].as_str().unwrap_or_default().to_owned();
        format!("{} {} {}", text("model"), copy["version"], text("target"))
    });
    texts.collect()
}

/// Returns the number of lines in the log of the process `name` that contain `text`.
fn count_log_lines(cluster: &Cluster, name: &str, text: &str) -> usize {
    let log = std::fs::read_to_string(cluster.log(name)).unwrap_or_default();
    log.lines().filter(|line| line.contains(text)).count()
}

#[actix_rt::test]
async fn empty_engines_are_given_every_model() {
    let cluster = start(1, &["--load-ms", "100"]);
    cluster.apply(SET).await;
    every_model_answers(&cluster).await;
    no_engine_was_over_committed(&cluster).await;
}

#[actix_rt::test]
async fn engines_that_check_nothing_are_given_every_model() {
    let cluster = start(1, &["--load-ms", "100", "--unfenced"]);
    cluster.apply(SET).await;
    every_model_answers(&cluster).await;
    no_engine_was_over_committed(&cluster).await;
}

#[actix_rt::test]
async fn a_set_that_cannot_be_resident_is_refused_with_the_arithmetic() {
    let cluster = start(1, &["--load-ms", "100"]);
    cluster.apply(SET).await;
    every_model_answers(&cluster).await;
    let set = SET.replace("weights = 9000", "weights = 19500");
    let path = cluster.dir.path().join("large.ini");
    std::fs::write(&path, set).unwrap();
    let refused = cluster.ctl(&["config", "apply", path.to_str().unwrap()]);
    assert!(!refused.status.success());
    let message = String::from_utf8_lossy(&refused.stderr).into_owned();
    let expected = "model 'fleet' needs 20500 MiB on one accelerator; the largest has 20000 MiB";
    assert!(message.contains(expected), "{message}");
}

#[actix_rt::test]
async fn a_leader_frozen_while_loads_are_under_way_does_no_harm() {
    let cluster = start(3, &["--load-ms", "2000"]);
    cluster.apply(SET).await;
    let leader = wait::until("an order to be sent", || async {
        let controls = cluster.controls.iter();
        controls
            .filter(|control| count_log_lines(&cluster, &control.name, "order sent") > 0)
            .max_by_key(|control| count_log_lines(&cluster, &control.name, "order sent"))
    })
    .await;
    leader.process.signal(libc::SIGSTOP);
    every_model_answers(&cluster).await;
    leader.process.signal(libc::SIGCONT);
    wait::until("the frozen leader to step down", || async {
        (count_log_lines(&cluster, &leader.name, "\"role\"") >= 2).then_some(())
    })
    .await;
    every_model_answers(&cluster).await;
    no_engine_was_over_committed(&cluster).await;
    let others = cluster
        .controls
        .iter()
        .filter(|other| other.name != leader.name);
    let settled: usize = others
        .map(|other| count_log_lines(&cluster, &other.name, "order ended"))
        .sum();
    assert!(settled > 0, "another leader settled orders");
}

#[actix_rt::test]
async fn a_version_is_rolled_while_every_request_is_answered() {
    let cluster = start(1, &["--load-ms", "100"]);
    cluster.apply(SET).await;
    every_model_answers(&cluster).await;
    let entry = cluster.entries[0].http();
    cluster
        .apply(&SET.replace("weights = 5000", "version = 2\nweights = 5000"))
        .await;
    let mut requests = 0;
    loop {
        requests += 1;
        assert!(
            request_model(entry, "tablet").await.is_some(),
            "request {requests} was not answered"
        );
        let resident = resident(&cluster);
        let rolled = resident.iter().any(|copy| copy.starts_with("tablet 2"));
        if rolled && !resident.iter().any(|copy| copy.starts_with("tablet 1")) {
            break;
        }
    }
    assert!(request_model(entry, "tablet").await.is_some());
    no_engine_was_over_committed(&cluster).await;
}

#[actix_rt::test]
async fn a_drained_target_is_relieved_of_its_models() {
    let cluster = start(1, &["--load-ms", "100"]);
    cluster.apply(SET).await;
    every_model_answers(&cluster).await;
    assert!(cluster.ctl(&["drain", "engine-1"]).status.success());
    wait::until("every model on the other engines", || async {
        let resident = resident(&cluster);
        let resident_elsewhere = |model: &str| {
            let mut resident = resident.iter();
            resident.any(|copy| copy.starts_with(model) && !copy.ends_with("engine-1"))
        };
        MODELS
            .iter()
            .all(|model| resident_elsewhere(model))
            .then_some(())
    })
    .await;
    every_model_answers(&cluster).await;
    no_engine_was_over_committed(&cluster).await;
}

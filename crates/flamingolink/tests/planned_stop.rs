//! Tests that an entry that stops on SIGTERM completes its streams, and that a call whose grant
//! from the ledger is lost is not executed and can be resent.

use awc::Client;
use awc::http::StatusCode;
use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::wait;
use serde_json::{Value, json};
use std::net::SocketAddr;

const SET: &str = "\
[profile counter]
rank = 0
first_token_ms = 5000
between_tokens_ms = 100

[model notes]
weights = 8000
cache = 2000

[service rota]
idempotent = /availability
";
/// Streams in progress when the entry gets SIGTERM.
const STREAMS: usize = 20;
/// Tokens of each stream. At 20 ms each, a stream lasts longer than a stopping entry accepts new
/// requests.
const TOKENS: usize = 200;

fn client() -> Client {
    Client::builder().disable_timeout().finish()
}

async fn stream(entry: SocketAddr, marker: String, tokens: usize) -> Option<String> {
    let body = json!({"model": "notes", "stream": true, "max_tokens": tokens,
        "prompt": format!("echo:{marker} please")});
    let request = client().post(format!("http://{entry}/v1/completions"));
    let request = request.insert_header(("x-flamingo-profile", "counter"));
    let mut answer = request.send_json(&body).await.ok()?;
    let body = answer.body().await.ok()?;
    let successful = answer.status() == StatusCode::OK;
    successful.then(|| String::from_utf8(body.to_vec()).unwrap())
}

async fn status(entry: SocketAddr, path: &str) -> Option<u16> {
    let request = client().get(format!("http://{entry}{path}"));
    Some(request.send().await.ok()?.status().as_u16())
}

#[actix_rt::test]
async fn streams_in_progress_complete() {
    let mut cluster = Cluster::start(1, 1);
    cluster.target("engine", "engine-1", &["--model", "notes", "--pace", "20"]);
    cluster.apply(SET).await;
    let entry = cluster.entries[0].http();
    wait::until("the entry to serve", || stream(entry, "warm".into(), 1)).await;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| actix_rt::spawn(stream(entry, format!("s{number}"), TOKENS)))
        .collect();
    let engine = cluster.targets[0].target();
    let all_running = || async move {
        let url = format!("http://{engine}/stand-in/ran");
        let mut answer = client().get(url).send().await.ok()?;
        let ran: Vec<Value> = answer.json().await.ok()?;
        let running = ran.iter().filter(|run| run["end"] == "running").count();
        (running == STREAMS).then_some(())
    };
    wait::until("all streams to run", all_running).await;
    cluster.entries[0].process.signal(libc::SIGTERM);
    let unready = || async { (status(entry, "/readyz").await? == 503).then_some(()) };
    wait::until("the entry to report that it is not ready", unready).await;
    let late = stream(entry, "late".into(), 1).await;
    assert!(
        late.is_some(),
        "requests are served until the balancer has noticed that the entry is not ready"
    );
    for (number, stream) in streams.into_iter().enumerate() {
        let text = stream.await.unwrap().expect("an answer");
        let last = format!("s{number}.{} ", TOKENS - 1);
        assert!(text.contains(&last), "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    assert!(cluster.entries[0].process.wait().success());
}

async fn confirm(entry: SocketAddr, key: &str) -> (u16, Value) {
    let request = client().post(format!("http://{entry}/services/rota/confirm"));
    let request = request.insert_header(("idempotency-key", key));
    let mut answer = request.send_json(&json!({"shift": 17})).await.unwrap();
    let body = answer.json().await.unwrap();
    (answer.status().as_u16(), body)
}

#[actix_rt::test]
async fn a_call_with_a_lost_grant_is_not_run_and_a_resend_runs_once() {
    let mut cluster = Cluster::relayed(1, 2);
    cluster.target("service", "rota-1", &["--service", "rota"]);
    cluster.apply(SET).await;
    let (first, second) = (cluster.entries[0].http(), cluster.entries[1].http());
    for entry in [first, second] {
        let warm = || async move { (confirm(entry, "warm").await.0 == 200).then_some(()) };
        wait::until("the entry to serve", warm).await;
    }
    let relay = cluster.relay("entry-0", "control-0");
    relay.hold();
    let (status, body) = confirm(first, "shift-17").await;
    assert_eq!(status, 503, "{body}");
    assert_eq!(body["error"]["verdict"], "not-run", "{body}");
    relay.heal();
    let resend = || async move { (confirm(second, "shift-17").await.0 == 200).then_some(()) };
    wait::until("the resend to run", resend).await;
    assert_eq!(confirm(first, "shift-17").await.0, 200);
    let url = format!("http://{}/stand-in/ran", cluster.targets[0].target());
    let ran: Vec<Value> = client()
        .get(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    let runs = ran.iter().filter(|run| run["key"] == "shift-17").count();
    assert_eq!(runs, 1, "{ran:?}");
}

//! Sends a streamed completion and a call of a plain service through separate control, entry and
//! target processes.

use awc::Client;
use awc::http::StatusCode;
use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::wait;
use serde_json::{Value, json};
use std::net::SocketAddr;

const SET: &str = "\
[profile counter]
rank = 0
first_token_ms = 1700
between_tokens_ms = 54
late = refuse

[model notes]
weights = 8000
cache = 2000

[service rota]
idempotent = /availability
";

async fn served(entry: SocketAddr) -> Option<Vec<u8>> {
    let url = format!("http://{entry}/v1/chat/completions");
    let body = json!({"model": "notes", "stream": true, "max_tokens": 4,
        "messages": [{"role": "user", "content": "hello"}]});
    let request = Client::default()
        .post(url)
        .insert_header(("x-flamingo-profile", "counter"));
    let mut answer = request.send_json(&body).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    Some(answer.body().await.ok()?.to_vec())
}

async fn confirmed(entry: SocketAddr) -> Option<Value> {
    let url = format!("http://{entry}/services/rota/confirm");
    let body = json!({"shift": 17});
    let mut answer = Client::default().post(url).send_json(&body).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    answer.json().await.ok()
}

#[actix_rt::test]
async fn a_request_is_served_from_start_to_finish() {
    let mut cluster = Cluster::start(1, 2);
    cluster.target("engine", "engine-1", &["--model", "notes"]);
    cluster.target("engine", "engine-2", &["--model", "notes"]);
    cluster.target("service", "rota-1", &["--service", "rota"]);
    cluster.apply(SET).await;

    let entry = cluster.entries[0].http();
    let body = wait::until("a streamed completion", || served(entry)).await;
    let text = String::from_utf8(body).unwrap();
    assert_eq!(text.matches("data: {").count(), 4, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");

    let ran = wait::until("a confirmed shift", || confirmed(entry)).await;
    assert_eq!(ran["count"], 1);
    assert_eq!(ran["ran"]["path"], "/confirm");
}

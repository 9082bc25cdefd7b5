//! The fake engine over HTTP.

use awc::Client;
use awc::http::StatusCode;
use flamingo_stand_in::engine::{self, Behaviour, Run, Settings};
use flamingo_stand_in::{answer, store};
use flamingo_test_support::wait;
use flamingo_wire::announce::Resident;
use flamingo_wire::engine::{Body, Parameters};
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

const PACE: Duration = Duration::from_millis(2);

fn start() -> SocketAddr {
    let store = store::Store::new(store::Limits {
        spacing: Duration::from_millis(1),
        ..store::Limits::default()
    });
    let settings = Settings {
        name: "engine-1".into(),
        zone: "zone-a".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        entries: Vec::new(),
        memory: 100,
        resident: vec![Resident {
            model: "notes".into(),
            version: 1,
            adapters: Vec::new(),
        }],
        pace: PACE,
    };
    let behaviour = Behaviour {
        load: PACE,
        footprint: 40,
        store: store::Source::Local(store),
        ..Behaviour::default()
    };
    let (server, address) = engine::start_with(settings, behaviour).unwrap();
    actix_rt::spawn(server);
    address
}

async fn order(at: SocketAddr, path: &str, order: u64, memory: u64) -> (StatusCode, Value) {
    let state = get(at, "state").await;
    let parameters = Parameters {
        order,
        fence: 1,
        incarnation: state["incarnation"].as_u64().unwrap(),
        version: 1,
        memory,
    };
    let url = format!("http://{at}/v2/repository/models/{path}");
    let sent = Client::default().post(url).send_json(&Body { parameters });
    let mut answer = sent.await.unwrap();
    (answer.status(), answer.json().await.unwrap())
}

/// Waits for the end of an order and returns how it ended.
async fn ended(at: SocketAddr, order: u64) -> String {
    wait::until("the order's end", || async {
        let orders = get(at, "orders").await;
        let ran = orders["ran"].as_array()?.iter();
        let end = ran.clone().find(|end| end["order"] == order)?;
        Some(end["outcome"].as_str()?.to_owned())
    })
    .await
}

async fn get(at: SocketAddr, what: &str) -> Value {
    let url = format!("http://{at}/stand-in/{what}");
    let mut answer = Client::default().get(url).send().await.unwrap();
    answer.json().await.unwrap()
}

async fn fault(at: SocketAddr, faults: Value) {
    let url = format!("http://{at}/stand-in/faults");
    let answer = Client::default()
        .post(url)
        .send_json(&faults)
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::NO_CONTENT);
}

async fn runs(at: SocketAddr) -> Vec<Run> {
    serde_json::from_value(get(at, "ran").await).unwrap()
}

/// Returns the text of a stream and whether its end marker came.
async fn stream(at: SocketAddr, prompt: &str, from: u32) -> (String, bool) {
    let ask = json!({"model": "notes", "stream": true, "max_tokens": 6, "prompt": prompt});
    let request = Client::default()
        .post(format!("http://{at}/v1/completions"))
        .insert_header(("x-flamingo-resume-from", from.to_string()));
    let mut answer = request.send_json(&ask).await.unwrap();
    let mut body = Vec::new();
    while let Some(Ok(chunk)) = answer.next().await {
        body.extend(chunk);
    }
    let body = String::from_utf8(body).unwrap();
    let events = body.lines().filter_map(|line| line.strip_prefix("data: {"));
    let events = events.map(|rest| serde_json::from_str::<Value>(&format!("{{{rest}")).unwrap());
    let text = events.map(|event| event["choices"][0]["text"].as_str().unwrap().to_owned());
    (text.collect(), body.ends_with("data: [DONE]\n\n"))
}

#[actix_rt::test]
async fn a_resumed_stream_continues_the_text_of_its_prompt() {
    let at = start();
    assert_eq!(
        stream(at, "mine", 0).await,
        (answer::text("mine", 0, 6), true)
    );
    assert_eq!(
        stream(at, "mine", 4).await,
        (answer::text("mine", 4, 6), true)
    );
    assert_ne!(stream(at, "other", 0).await.0, answer::text("mine", 0, 6));
    fault(at, json!({"truncate_after": 2})).await;
    assert_eq!(
        stream(at, "mine", 0).await,
        (answer::text("mine", 0, 2), false)
    );
    let ends: Vec<_> = runs(at).await.into_iter().map(|run| run.end).collect();
    assert_eq!(ends, ["done", "done", "done", "truncated"]);
}

#[actix_rt::test]
async fn a_closed_connection_cancels_its_stream() {
    let at = start();
    let ask = json!({"model": "notes", "stream": true, "max_tokens": 1_000_000});
    let url = format!("http://{at}/v1/completions");
    let mut answer = Client::default().post(url).send_json(&ask).await.unwrap();
    assert!(answer.next().await.unwrap().is_ok());
    drop(answer);
    wait::until("the end", || async {
        (runs(at).await[0].end == "cancelled").then_some(())
    })
    .await;
    assert_eq!(get(at, "state").await["running"], 0);
}

#[actix_rt::test]
async fn orders_change_what_is_resident() {
    let at = start();
    assert_eq!(order(at, "rosters/load", 1, 60).await.0, StatusCode::OK);
    assert_eq!(order(at, "rosters/load", 1, 60).await.0, StatusCode::OK);
    ended(at, 1).await;
    let (status, why) = order(at, "third/load", 2, 1).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(why["error"], "only 0 MiB are free");
    assert_eq!(order(at, "notes/unload", 3, 40).await.0, StatusCode::OK);
    ended(at, 3).await;
    let account = get(at, "state").await["account"].clone();
    assert_eq!(account["loads"], 1);
    assert_eq!(account["copies"][0]["resident"]["model"], "rosters");
    assert_eq!(account["ended"][2]["outcome"], "done");
}

#[actix_rt::test]
async fn an_order_whose_answer_is_lost_is_carried_out() {
    let at = start();
    fault(at, json!({"lose_answers": 1})).await;
    let asker = actix_rt::spawn(async move { order(at, "rosters/load", 1, 10).await });
    wait::until("the load", || async {
        (get(at, "state").await["account"]["loads"] == 1).then_some(())
    })
    .await;
    assert!(!asker.is_finished());
    fault(at, json!({"lose_orders": 1})).await;
    let lost = actix_rt::spawn(async move { order(at, "notes/unload", 2, 40).await });
    wait::until("the loss", || async {
        (get(at, "state").await["faults"]["lose_orders"] == 0).then_some(())
    })
    .await;
    fault(at, json!({"fail_loads": 1})).await;
    assert_eq!(order(at, "third/load", 3, 10).await.0, StatusCode::OK);
    assert_eq!(ended(at, 3).await, "failed");
    assert!(!lost.is_finished());
    assert_eq!(get(at, "state").await["committed"], 50);
}

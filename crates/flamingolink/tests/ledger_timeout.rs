//! Tests a keyed call for which the entry got no answer from the ledger in time: the call is not
//! executed, and the caller's resend through another entry is executed once.

use awc::Client;
use awc::http::StatusCode;
use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::wait;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const SET: &str = "[service rota]\nidempotent = /availability\n";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay of the ledger's answers, longer than an entry waits for one.
const LEDGER_DELAY: Duration = Duration::from_secs(2);

/// Sends a call with the idempotency key `key`, and returns its status and body. `None` if the
/// call got no answer.
async fn confirm(entry: SocketAddr, key: &str) -> Option<(StatusCode, Value)> {
    let url = format!("http://{entry}/services/rota/confirm");
    let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let request = client.post(url).insert_header(("idempotency-key", key));
    let mut answer = request.send_body("shift 17").await.ok()?;
    let body = answer.json().await.ok()?;
    Some((answer.status(), body))
}

async fn confirmed(entry: SocketAddr, key: &str) -> Option<()> {
    let (status, _) = confirm(entry, key).await?;
    (status == StatusCode::OK).then_some(())
}

/// Returns how often the target executed the call with `key`.
async fn runs(cluster: &Cluster, key: &str) -> usize {
    let url = format!("http://{}/stand-in/ran", cluster.targets[0].target());
    let mut answer = Client::default().get(url).send().await.unwrap();
    let list: Value = answer.json().await.unwrap();
    let list = list.as_array().unwrap();
    list.iter().filter(|run| run["key"] == key).count()
}

#[actix_rt::test]
async fn a_resend_runs_once_after_a_ledger_timeout() {
    let mut cluster = Cluster::relayed(1, 2);
    cluster.target("service", "rota-1", &["--service", "rota"]);
    cluster.apply(SET).await;
    let [first, second] = [0, 1].map(|n| cluster.entries[n].http());
    for (entry, key) in [(first, "warm-1"), (second, "warm-2")] {
        wait::until("a confirmed shift", || confirmed(entry, key)).await;
    }

    let relay = cluster.relay("entry-0", "control-0");
    relay.delay(LEDGER_DELAY);
    let (status, rejection) = confirm(first, "shift-17").await.unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{rejection}");
    assert_ne!(rejection["error"]["verdict"], "ran", "{rejection}");
    assert_eq!(runs(&cluster, "shift-17").await, 0);
    // The ledger received the begin request or receives it now; the entry never saw its answer.
    relay.delay(Duration::ZERO);
    wait::until("the resend to run", || confirmed(second, "shift-17")).await;
    wait::until("a second resend to be answered", || {
        confirmed(first, "shift-17")
    })
    .await;
    assert_eq!(runs(&cluster, "shift-17").await, 1);
}

//! Memory and moves of the fake engines, as they report them.

use awc::Client;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request to an engine.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Totals over the engines that responded.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Engines {
    /// Number of engines that responded.
    pub answered: u32,
    /// Number of engines that ran at least one request.
    pub used: u32,
    /// Number of loaded copies.
    pub loads: u64,
    /// Number of unloaded copies.
    pub unloads: u64,
    /// Number of loads that would have exceeded the memory of an engine; must be 0.
    pub over_commits: u64,
}

impl Engines {
    /// Queries all engines.
    pub async fn ask(engines: &[SocketAddr]) -> Self {
        let mut sum = Self::default();
        for engine in engines {
            if let Some(state) = get(*engine, "state").await {
                sum.add(&state["account"]);
                let ran = get(*engine, "ran").await;
                let ran = ran.as_ref().and_then(Value::as_array);
                sum.used += u32::from(ran.is_some_and(|ran| !ran.is_empty()));
            }
        }
        sum
    }

    fn add(&mut self, account: &Value) {
        let count = |name: &str| account[name].as_u64().unwrap_or(0);
        self.answered += 1;
        self.loads += count("loads");
        self.unloads += count("unloads");
        self.over_commits += count("over_commits");
    }
}

async fn get(engine: SocketAddr, what: &str) -> Option<Value> {
    let client = Client::builder().timeout(TIMEOUT).finish();
    let url = format!("http://{engine}/stand-in/{what}");
    let mut answer = client.get(url).send().await.ok()?;
    answer.json().limit(1 << 28).await.ok()
}

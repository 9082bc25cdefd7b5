//! What the fake engines say of their memory and moves.

use awc::Client;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which an engine must answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sums over the engines that answered.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Engines {
    /// Engines that answered.
    pub answered: u32,
    /// Engines that ran at least one request.
    pub used: u32,
    /// Copies loaded.
    pub loads: u64,
    /// Copies unloaded.
    pub unloads: u64,
    /// Loads asked for beyond an engine's size; must be 0.
    pub over_commits: u64,
}

impl Engines {
    /// Asks each engine.
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

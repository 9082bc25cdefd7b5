//! Measures the time until a change is in force on 8 entry processes, and the processor time and
//! memory of an idle entry.
//!
//! Run `cargo run -p flamingo-link --example in_force` after building the daemons in the same
//! profile.

use awc::Client;
use flamingo_test_support::cluster::Cluster;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ENTRIES: usize = 8;
const CHANGES: u64 = 40;
/// Time over which the cost of an idle entry is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

async fn version(entry: SocketAddr) -> Option<u64> {
    let url = format!("http://{entry}/admin/config");
    let mut answer = Client::default().get(url).send().await.ok()?;
    let reply: Value = answer.json().await.ok()?;
    reply["Config"]["version"].as_u64()
}

/// Polls until an entry has version `wanted` in force; returns the time since `start`.
async fn in_force(entry: SocketAddr, wanted: u64, start: Instant) -> Duration {
    while version(entry).await.is_none_or(|seen| seen < wanted) {
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
    start.elapsed()
}

/// Returns the processor time that a process has used, in clock ticks.
fn cpu_ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = text.split_whitespace().collect();
    let field = |n: usize| {
        fields
            .get(n)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    };
    field(13) + field(14)
}

/// Returns the line of `/proc/PID/status` on the resident memory of a process.
fn resident_memory(pid: u32) -> String {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    line.unwrap_or_default().replace(['\t', ' '], "")
}

async fn apply(cluster: &Cluster, rank: u64) {
    let path = cluster.dir.path().join("set.ini");
    let text = format!(
        "[profile counter]\nrank = {rank}\nfirst_token_ms = 1700\nbetween_tokens_ms = 54\n\
         late = refuse\n[model notes]\nweights = 8000\ncache = 2000\n"
    );
    std::fs::write(&path, text).expect("the set can be written");
    let args = ["config", "apply", path.to_str().expect("the path is text")];
    while !cluster.ctl(&args).status.success() {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

#[actix_rt::main]
async fn main() {
    let mut cluster = Cluster::start(3, ENTRIES);
    apply(&cluster, 1).await;
    let entries: Vec<_> = cluster
        .entries
        .iter()
        .map(flamingo_test_support::cluster::Instance::http)
        .collect();
    let mut times = Vec::new();
    for change in 0..CHANGES {
        let base = version(entries[0]).await.unwrap_or_default();
        let start = Instant::now();
        let watching: Vec<_> = entries
            .iter()
            .map(|entry| actix_rt::spawn(in_force(*entry, base + 1, start)))
            .collect();
        apply(&cluster, 1 + change % 2).await;
        for watch in watching {
            times.push(watch.await.expect("the polling task ends"));
        }
    }
    times.sort();
    let last = times.len() - 1;
    let (p50, p99, worst) = (times[last / 2], times[last * 99 / 100], times[last]);
    println!(
        "{CHANGES} changes on {ENTRIES} entries, from the operator's command on: p50 {p50:?}, p99 {p99:?}, worst {worst:?}"
    );
    for n in 0..3 {
        cluster.target("engine", &format!("engine-{n}"), &["--model", "notes"]);
    }
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let before: Vec<_> = cluster
        .entries
        .iter()
        .map(|entry| cpu_ticks(entry.process.id()))
        .collect();
    actix_rt::time::sleep(IDLE_PERIOD).await;
    for (entry, before) in cluster.entries.iter().zip(before) {
        let pid = entry.process.id();
        let millis = (cpu_ticks(pid) - before) * 1_000 / TICKS_PER_SECOND;
        println!(
            "{}: {millis} ms of processor time in {IDLE_PERIOD:?}, {}",
            entry.name,
            resident_memory(pid)
        );
    }
}

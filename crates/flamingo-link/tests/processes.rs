//! Entry processes whose connections, peers and control instances fail.

use awc::Client;
use awc::http::StatusCode;
use flamingo_test_support::cluster::{Cluster, Instance};
use flamingo_test_support::wait;
use serde_json::{Value, json};
use std::path::PathBuf;

/// Writes a configuration whose profile has the given rank; returns the path of the file.
fn write_set(cluster: &Cluster, rank: u8) -> PathBuf {
    let path = cluster.dir.path().join(format!("set-{rank}.ini"));
    let text = format!(
        "[profile counter]\nrank = {rank}\nfirst_token_ms = 1700\nbetween_tokens_ms = 54\n\
         late = refuse\n[model notes]\nweights = 8000\ncache = 2000\n"
    );
    std::fs::write(&path, text).unwrap();
    path
}

/// Applies a configuration through the first entry, and retries until it is accepted.
async fn apply(cluster: &Cluster, rank: u8) {
    let path = write_set(cluster, rank);
    let path = path.to_str().unwrap();
    wait::until("the change to be accepted", || async {
        let output = cluster.ctl(&["config", "apply", path]);
        output.status.success().then_some(())
    })
    .await;
}

/// Returns the rank of the profile and the version that an entry has in force.
async fn in_force(entry: &Instance) -> Option<(u64, u64)> {
    let url = format!("http://{}/admin/config", entry.http());
    let mut answer = Client::default().get(url).send().await.ok()?;
    let reply: Value = answer.json().await.ok()?;
    let snapshot = &reply["Config"];
    let rank = snapshot["set"]["profiles"][0]["rank"].as_u64()?;
    Some((rank, snapshot["version"].as_u64()?))
}

/// Waits until an entry has the given rank in force; returns the version.
async fn wait_for_rank(entry: &Instance, rank: u64) -> u64 {
    let what = format!("rank {rank} on {}", entry.name);
    wait::until(&what, || async {
        let (seen, version) = in_force(entry).await?;
        (seen == rank).then_some(version)
    })
    .await
}

/// Returns the lists of live entries that an entry has logged, newest last.
fn views(cluster: &Cluster, name: &str) -> Vec<String> {
    let text = std::fs::read_to_string(cluster.log(name)).unwrap_or_default();
    let lines = text
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let lines = lines.filter(|line| line["msg"] == "entries of the zone");
    lines
        .filter_map(|line| line["live"].as_str().map(ToOwned::to_owned))
        .collect()
}

async fn wait_for_view(cluster: &Cluster, name: &str, live: &str) {
    wait::until(&format!("{name} to see {live}"), || async {
        let views = views(cluster, name);
        (views.last().map(String::as_str) == Some(live)).then_some(())
    })
    .await;
}

/// Sends a completion request to an entry; returns `None` where it fails.
async fn served(entry: &Instance) -> Option<()> {
    let url = format!("http://{}/v1/completions", entry.http());
    let ask = json!({"model": "notes", "max_tokens": 2, "prompt": "hello"});
    let request = Client::default()
        .post(url)
        .insert_header(("x-flamingo-profile", "counter"));
    let answer = request.send_json(&ask).await.ok()?;
    (answer.status() == StatusCode::OK).then_some(())
}

#[actix_rt::test]
async fn a_change_is_in_force_after_the_links_to_control_went_silent() {
    let cluster = Cluster::relayed(1, 1);
    let entry = &cluster.entries[0];
    apply(&cluster, 1).await;
    wait_for_rank(entry, 1).await;
    let relay = cluster.relay("entry-0", "control-0");
    let dialled = relay.accepted();
    relay.silence();
    apply(&cluster, 2).await;
    wait_for_rank(entry, 2).await;
    assert!(relay.accepted() > dialled, "the entry did not reconnect");
}

#[actix_rt::test]
async fn an_entry_cut_from_control_gets_the_change_from_its_zone() {
    let cluster = Cluster::relayed(1, 2);
    apply(&cluster, 1).await;
    wait_for_rank(&cluster.entries[1], 1).await;
    cluster.relay("entry-1", "control-0").hold();
    apply(&cluster, 2).await;
    wait_for_rank(&cluster.entries[1], 2).await;
}

#[actix_rt::test]
async fn a_target_that_announces_itself_to_one_entry_is_known_to_all() {
    let mut cluster = Cluster::start(1, 8);
    apply(&cluster, 1).await;
    cluster.target("engine", "engine-1", &["--model", "notes"]);
    for entry in &cluster.entries {
        wait_for_rank(entry, 1).await;
        wait::until("a completion", || served(entry)).await;
    }
}

#[actix_rt::test]
async fn a_frozen_entry_is_taken_to_be_dead_and_refutes_when_it_wakes() {
    let cluster = Cluster::start(1, 3);
    let all = "entry-0 entry-1 entry-2";
    for entry in &cluster.entries {
        wait_for_view(&cluster, &entry.name, all).await;
    }
    let frozen = &cluster.entries[2];
    frozen.process.signal(libc::SIGSTOP);
    for name in ["entry-0", "entry-1"] {
        wait_for_view(&cluster, name, "entry-0 entry-1").await;
    }
    apply(&cluster, 1).await;
    frozen.process.signal(libc::SIGCONT);
    for entry in &cluster.entries {
        wait_for_view(&cluster, &entry.name, all).await;
    }
    wait_for_rank(frozen, 1).await;
    let views = views(&cluster, "entry-2");
    let shrunk = views.windows(2).find(|pair| pair[1].len() < pair[0].len());
    assert_eq!(shrunk, None, "the resumed entry considered others dead");
}

#[actix_rt::test]
async fn a_zone_killed_at_once_restarts_with_the_newest_and_never_goes_back() {
    let mut cluster = Cluster::start(1, 4);
    apply(&cluster, 1).await;
    apply(&cluster, 2).await;
    let mut versions = Vec::new();
    for entry in &cluster.entries {
        versions.push(wait_for_rank(entry, 2).await);
    }
    for entry in &mut cluster.entries {
        entry.process.kill();
    }
    for n in 0..cluster.entries.len() {
        let name = cluster.entries[n].name.clone();
        cluster.entries[n].process = cluster.restart("flamingo-entry", &name);
    }
    let all = "entry-0 entry-1 entry-2 entry-3";
    for (entry, version) in cluster.entries.iter().zip(versions) {
        let seen = wait::until("a configuration", || in_force(entry)).await;
        assert_eq!(seen, (2, version), "an older configuration came back");
        wait_for_view(&cluster, &entry.name, all).await;
    }
}

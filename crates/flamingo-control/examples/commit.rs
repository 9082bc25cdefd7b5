//! Measures the log on this machine, with real processes on loopback:
//! `cargo run --release -p flamingo-control --example commit`.
//!
//! It prints the cost of a sync, commit latency and rate with one caller and
//! with many, time to elect, time and bytes of catch-up, and the ledger's memory.

use flamingo_log::disk::Disk;
use flamingo_log::file::Folder;
use flamingo_log::{Entry, Payload, Record};
use flamingo_state::{Command, Stamped, State};
use flamingo_test_support::cluster::{Cluster, Instance, KEY};
use flamingo_test_support::operator::{Applied, Operator, change};
use flamingo_test_support::wait;
use flamingo_wire::Verdict;
use flamingo_wire::control::{Answer, Call, Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client::ControlClient;
use std::time::{Duration, Instant, SystemTime};

/// Callers at once in the batched runs.
const CALLERS: usize = 64;
/// Calls of the runs with one caller.
const ALONE: usize = 300;
/// Calls of each caller in the batched runs.
const EACH: usize = 60;
/// Records of the ledger's memory.
const RECORDS: usize = 50_000;
/// Bytes of a recorded answer.
const BODY: usize = 200;

#[actix_rt::main]
async fn main() {
    syncs();
    memory();
    for members in [1, 3] {
        let cluster = Cluster::start(members, 0);
        let leader = leader(&cluster).await;
        let at = &cluster.controls[leader];
        report(members, 1, &calls(at, 1, ALONE).await);
        report(members, CALLERS, &calls(at, CALLERS, EACH).await);
    }
    elections().await;
    for missed in [100, 500, 2_000] {
        catch_up(missed).await;
    }
}

/// The cost of a sync, with one record and with many.
fn syncs() {
    let dir = tempfile::tempdir().expect("a folder");
    for batch in [1, CALLERS] {
        let path = dir.path().join(batch.to_string());
        let mut folder = Folder::open(&path, 1).expect("a folder").folder;
        let begun = Instant::now();
        for n in 0..ALONE {
            let entries = (0..batch).map(|at| entry((n * batch + at) as u64 + 1));
            let records: Vec<_> = entries.collect();
            folder.write(&records).expect("a write");
        }
        let each = begun.elapsed() / u32::try_from(ALONE).expect("small");
        println!("sync of {batch} records: {each:?}");
    }
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        index,
        term: 1,
        payload: Payload::Command(vec![0; BODY]),
    })
}

/// The ledger's memory, encoded and resident.
fn memory() {
    let mut state = State::default();
    let before = resident();
    for n in 0..RECORDS {
        let at = SystemTime::now();
        for command in [
            Command::Begin(begin(&format!("key-{n}"), "request-1")),
            Command::Finish(finish(&format!("key-{n}"), "request-1")),
        ] {
            state.apply(Stamped { at, command });
        }
    }
    let held = resident() - before;
    let encoded = state.encode().expect("it can be encoded").len();
    println!(
        "ledger, answers of {BODY} bytes: {} bytes a record resident, {} encoded",
        held / RECORDS,
        encoded / RECORDS
    );
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = text.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<usize>().expect("a number") * 4_096
}

fn begin(key: &str, request: &str) -> Call {
    Call {
        service: "rota".into(),
        key: key.into(),
        digest: vec![1; 32],
        request: request.into(),
    }
}

fn finish(key: &str, request: &str) -> Answer {
    Answer {
        service: "rota".into(),
        key: key.into(),
        request: request.into(),
        verdict: Verdict::Ran,
        status: 200,
        content: "application/json".into(),
        body: Some(vec![0; BODY]),
    }
}

async fn leader(cluster: &Cluster) -> usize {
    let name = wait::until("a leader", || async {
        Operator::new(&cluster.controls[0]).status().await?.leader
    })
    .await;
    let mut numbers = 0..cluster.controls.len();
    numbers
        .find(|n| cluster.controls[*n].name == name)
        .expect("a member")
}

/// What a run of calls took.
struct Run {
    latencies: Vec<Duration>,
    took: Duration,
}

async fn calls(at: &Instance, callers: usize, each: usize) -> Run {
    let begun = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let (name, inner) = (at.name.clone(), at.inner());
            actix_rt::spawn(async move {
                let seal = Seal::new("entry-1", KEY.as_bytes());
                let client = ControlClient::connect(format!("http://{inner}")).await;
                let mut client = client.expect("a connection");
                let mut latencies = Vec::new();
                for n in 0..each {
                    let call = begin(&format!("{callers}-{caller}-{n}"), "request-1");
                    let sent = Instant::now();
                    let now = SystemTime::now();
                    let frame = seal
                        .seal(&name, &Request::Begin(call), now)
                        .expect("sealed");
                    let reply = client.ask(frame).await.expect("a reply");
                    let reply: Reply = seal.open(reply.get_ref(), now).expect("opened");
                    assert!(matches!(reply, Reply::Grant(_)), "{reply:?}");
                    latencies.push(sent.elapsed());
                }
                latencies
            })
        })
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.expect("a caller"));
    }
    latencies.sort_unstable();
    let took = begun.elapsed();
    Run { latencies, took }
}

fn report(members: usize, callers: usize, run: &Run) {
    let at = |part: usize| run.latencies[run.latencies.len() * part / 1_000];
    let each = run.took / u32::try_from(run.latencies.len()).expect("few calls");
    let rate = each.as_secs_f64().recip();
    println!(
        "{members} members, {callers} callers: {rate:.0} commits/s, p50 {:?}, p99 {:?}",
        at(500),
        at(990)
    );
}

/// Time from a leader's death to the next accepted change.
async fn elections() {
    let mut cluster = Cluster::start(3, 0);
    for round in 0..5 {
        let killed = leader(&cluster).await;
        let name = cluster.controls[killed].name.clone();
        let other = Operator::new(&cluster.controls[(killed + 1) % 3]);
        cluster.controls[killed].process.kill();
        let begun = Instant::now();
        accept(&other, &format!("elected-{round}")).await;
        println!(
            "killed leader to next accepted change: {:?}",
            begun.elapsed()
        );
        cluster.controls[killed].process = cluster.restart("flamingo-control", &name);
        let restarted = Operator::new(&cluster.controls[killed]);
        wait::until("its return", || async {
            let status = restarted.status().await?;
            status.leader.map(|_| ())
        })
        .await;
    }
}

async fn accept(operator: &Operator, id: &str) -> u64 {
    wait::until("an accepted change", || async {
        let base = operator.config().await?.version;
        match operator.apply(&change(id, base)).await {
            Applied::Accepted(version) => Some(version),
            _ => None,
        }
    })
    .await
}

/// Time and bytes until a member that was away has all changes.
async fn catch_up(missed: u64) {
    let mut cluster = Cluster::start(3, 0);
    let leader = leader(&cluster).await;
    let away = (leader + 1) % 3;
    let name = cluster.controls[away].name.clone();
    let operator = Operator::new(&cluster.controls[leader]);
    accept(&operator, "first").await;
    cluster.controls[away].process.kill();
    let folder = cluster.dir.path().join(&name);
    let before = size(&folder);
    for version in 1..=missed {
        let applied = operator
            .apply(&change(&format!("change-{version}"), version))
            .await;
        assert_eq!(applied, Applied::Accepted(version + 1));
    }
    let begun = Instant::now();
    cluster.controls[away].process = cluster.restart("flamingo-control", &name);
    let restarted = Operator::new(&cluster.controls[away]);
    wait::until("it to be current", || async {
        let status = restarted.status().await?;
        (status.version == missed + 1).then_some(())
    })
    .await;
    let took = begun.elapsed();
    let bytes = size(&folder) - before;
    println!("{missed} changes missed: {took:?} from the start of the process, {bytes} bytes");
}

fn size(folder: &std::path::Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("a folder");
    let sizes = files.filter_map(|file| file.ok()?.metadata().ok());
    sizes.map(|meta| meta.len()).sum()
}

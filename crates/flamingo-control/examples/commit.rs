//! Benchmark of the replicated log, with real processes on loopback:
//! `cargo run --release -p flamingo-control --example commit`.
//!
//! Prints the duration of a sync, commit latency and rate with one caller and with many, the time
//! to elect a leader, time and bytes of a member's catch-up, and the memory of the ledger.

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

/// Concurrent callers in the batched runs.
const CONCURRENT_CALLERS: usize = 64;
/// Calls in a run with one caller; also writes in a measurement of syncs.
const SEQUENTIAL_CALLS: usize = 300;
/// Calls of each caller in a batched run.
const CALLS_PER_CALLER: usize = 60;
/// Records for which the ledger's memory is measured.
const LEDGER_RECORDS: usize = 50_000;
/// Bytes of the body of a recorded answer.
const ANSWER_BYTES: usize = 200;

#[actix_rt::main]
async fn main() {
    measure_syncs();
    measure_ledger_memory();
    for members in [1, 3] {
        let cluster = Cluster::start(members, 0);
        let leader = leader(&cluster).await;
        let instance = &cluster.controls[leader];
        report(members, 1, &run_calls(instance, 1, SEQUENTIAL_CALLS).await);
        report(
            members,
            CONCURRENT_CALLERS,
            &run_calls(instance, CONCURRENT_CALLERS, CALLS_PER_CALLER).await,
        );
    }
    measure_elections().await;
    for missed in [100, 500, 2_000] {
        measure_catch_up(missed).await;
    }
}

/// Measures the duration of a write with sync, with one record and with many.
fn measure_syncs() {
    let dir = tempfile::tempdir().expect("a folder");
    for batch in [1, CONCURRENT_CALLERS] {
        let path = dir.path().join(batch.to_string());
        let mut folder = Folder::open(&path, 1).expect("a folder").folder;
        let started = Instant::now();
        for n in 0..SEQUENTIAL_CALLS {
            let entries = (0..batch).map(|at| entry((n * batch + at) as u64 + 1));
            let records: Vec<_> = entries.collect();
            folder.write(&records).expect("a write");
        }
        let mean = started.elapsed() / u32::try_from(SEQUENTIAL_CALLS).expect("small");
        println!("sync of {batch} records: {mean:?}");
    }
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        index,
        term: 1,
        payload: Payload::Command(vec![0; ANSWER_BYTES]),
    })
}

/// Measures the memory of the ledger, encoded and resident.
fn measure_ledger_memory() {
    let mut state = State::default();
    let before = resident_bytes();
    for n in 0..LEDGER_RECORDS {
        let at = SystemTime::now();
        for command in [
            Command::Begin(begin(&format!("key-{n}"), "request-1")),
            Command::Finish(finish(&format!("key-{n}"), "request-1")),
        ] {
            state.apply(Stamped { at, command });
        }
    }
    let used = resident_bytes() - before;
    let encoded = state.encode().expect("it can be encoded").len();
    println!(
        "ledger, answers of {ANSWER_BYTES} bytes: {} bytes a record resident, {} encoded",
        used / LEDGER_RECORDS,
        encoded / LEDGER_RECORDS
    );
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
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
        body: Some(vec![0; ANSWER_BYTES]),
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

/// Sorted latencies of a run of calls, and the duration of the run.
struct Run {
    latencies: Vec<Duration>,
    took: Duration,
}

/// Makes `each` calls with each of `callers` concurrent callers.
async fn run_calls(instance: &Instance, callers: usize, each: usize) -> Run {
    let started = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let (name, inner) = (instance.name.clone(), instance.inner());
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
    let took = started.elapsed();
    Run { latencies, took }
}

fn report(members: usize, callers: usize, run: &Run) {
    let quantile = |part: usize| run.latencies[run.latencies.len() * part / 1_000];
    let mean = run.took / u32::try_from(run.latencies.len()).expect("few calls");
    let rate = mean.as_secs_f64().recip();
    println!(
        "{members} members, {callers} callers: {rate:.0} commits/s, p50 {:?}, p99 {:?}",
        quantile(500),
        quantile(990)
    );
}

/// Measures the time from the kill of a leader to the next accepted change.
async fn measure_elections() {
    let mut cluster = Cluster::start(3, 0);
    for round in 0..5 {
        let killed = leader(&cluster).await;
        let name = cluster.controls[killed].name.clone();
        let survivor = Operator::new(&cluster.controls[(killed + 1) % 3]);
        cluster.controls[killed].process.kill();
        let started = Instant::now();
        apply_change(&survivor, &format!("elected-{round}")).await;
        println!(
            "killed leader to next accepted change: {:?}",
            started.elapsed()
        );
        cluster.controls[killed].process = cluster.restart("flamingo-control", &name);
        let restarted = Operator::new(&cluster.controls[killed]);
        wait::until("the killed instance to know a leader", || async {
            let status = restarted.status().await?;
            status.leader.map(|_| ())
        })
        .await;
    }
}

async fn apply_change(operator: &Operator, id: &str) -> u64 {
    wait::until("an accepted change", || async {
        let base = operator.config().await?.version;
        match operator.apply(&change(id, base)).await {
            Applied::Accepted(version) => Some(version),
            _ => None,
        }
    })
    .await
}

/// Measures time and written bytes until a member that missed changes has all of them.
async fn measure_catch_up(missed: u64) {
    let mut cluster = Cluster::start(3, 0);
    let leader = leader(&cluster).await;
    let stopped = (leader + 1) % 3;
    let name = cluster.controls[stopped].name.clone();
    let operator = Operator::new(&cluster.controls[leader]);
    apply_change(&operator, "first").await;
    cluster.controls[stopped].process.kill();
    let folder = cluster.dir.path().join(&name);
    let before = folder_bytes(&folder);
    for version in 1..=missed {
        let applied = operator
            .apply(&change(&format!("change-{version}"), version))
            .await;
        assert_eq!(applied, Applied::Accepted(version + 1));
    }
    let started = Instant::now();
    cluster.controls[stopped].process = cluster.restart("flamingo-control", &name);
    let restarted = Operator::new(&cluster.controls[stopped]);
    wait::until("the restarted member to catch up", || async {
        let status = restarted.status().await?;
        (status.version == missed + 1).then_some(())
    })
    .await;
    let took = started.elapsed();
    let bytes = folder_bytes(&folder) - before;
    println!("{missed} changes missed: {took:?} from the start of the process, {bytes} bytes");
}

fn folder_bytes(folder: &std::path::Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("a folder");
    let sizes = files.filter_map(|file| file.ok()?.metadata().ok());
    sizes.map(|meta| meta.len()).sum()
}

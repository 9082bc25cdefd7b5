//! Origins of streams that entries report to a control instance.

use flamingo_control::origins::{Journal, Opened, Origins, RETENTION, Store};
use flamingo_test_support::cluster::{Cluster, KEY};
use flamingo_test_support::wait;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::stream::{Begun, Key, Knowledge, Origin};
use slog::{Discard, Logger, o};
use std::fs::OpenOptions;
use std::io::Write;
use std::ops::Range;
use std::path::Path;
use std::time::{Instant, SystemTime};

/// Streams that an instance keeps for a short time at most, by its limit of memory.
const MANY: Key = 1_000_000;

fn begun(software: &str, streams: Range<Key>) -> Vec<Begun> {
    vec![Begun {
        origin: Some(origin(software)),
        streams: streams.collect(),
    }]
}

fn origin(software: &str) -> Origin {
    Origin {
        service: "s".into(),
        software: software.into(),
    }
}

fn known(software: &str) -> Knowledge {
    Knowledge::Known(origin(software))
}

#[test]
fn a_stream_is_found_at_the_version_that_began_it() {
    let now = Instant::now();
    let mut origins = Origins::new(now, Vec::new());
    origins.record(now, begun("v1", 0..10));
    origins.record(now, begun("v1.1", 10..20));
    assert_eq!(origins.find(now, 9), known("v1"));
    assert_eq!(origins.find(now, 10), known("v1.1"));
    assert_eq!(origins.find(now, 20), Knowledge::Unknown);
}

#[test]
fn a_stream_is_kept_for_its_time_whenever_it_began() {
    let start = Instant::now();
    let mut origins = Origins::new(start, Vec::new());
    for tenth in 0..30 {
        let now = start + RETENTION * tenth / 10;
        let stream = Key::from(tenth);
        origins.record(now, begun("v1", stream..stream + 1));
        let oldest = stream.saturating_sub(10);
        assert_eq!(origins.find(now, oldest), known("v1"));
    }
}

#[test]
fn too_many_streams_push_out_the_oldest() {
    let now = Instant::now();
    let mut origins = Origins::new(now, Vec::new());
    for stream in (0..MANY).step_by(1_000) {
        origins.record(now, begun("v1", stream..stream + 1_000));
    }
    assert_eq!(origins.find(now, 0), Knowledge::Unknown);
    assert_eq!(origins.find(now, MANY - 1), known("v1"));
}

/// Returns reports that take a stream's origin back.
fn retracted(stream: Key) -> Vec<Begun> {
    vec![Begun {
        origin: None,
        streams: vec![stream],
    }]
}

#[test]
fn an_origin_that_was_taken_back_stays_uncertain() {
    let start = Instant::now();
    let mut origins = Origins::new(start, Vec::new());
    origins.record(start, begun("v1", 0..1));
    let later = start + RETENTION;
    origins.record(later, retracted(0));
    origins.record(later, begun("v1", 0..1));
    assert_eq!(origins.find(later, 0), Knowledge::Uncertain);
}

#[test]
fn a_stream_that_two_versions_are_said_to_have_begun_is_uncertain() {
    let now = Instant::now();
    let mut origins = Origins::new(now, Vec::new());
    origins.record(now, begun("v1", 0..1));
    origins.record(now, begun("v1.1", 0..1));
    assert_eq!(origins.find(now, 0), Knowledge::Uncertain);
}

/// Opens the journal in a folder and returns it with what it held.
fn open(folder: &Path, now: Instant) -> (Journal, Origins) {
    let Opened { journal, reports } = Journal::open(folder).expect("a journal");
    (journal, Origins::new(now, reports))
}

/// Records a stream that begins at `now` in memory and on disk.
fn record(journal: &mut Journal, origins: &mut Origins, now: Instant, stream: Key) {
    let reports = begun("v1", stream..stream + 1);
    let generation = origins.record(now, reports.clone());
    journal.append(generation, &reports).expect("written");
}

/// Returns the number of files in a folder.
fn files(folder: &Path) -> usize {
    std::fs::read_dir(folder).expect("a folder").count()
}

#[test]
fn streams_survive_restarts_that_follow_each_other() {
    let folder = tempfile::tempdir().expect("a folder");
    let now = Instant::now();
    for stream in 0..10 {
        let (mut journal, mut origins) = open(folder.path(), now);
        for earlier in 0..stream {
            assert_eq!(origins.find(now, earlier), known("v1"));
        }
        record(&mut journal, &mut origins, now, stream);
    }
}

#[test]
fn a_restart_at_any_time_finds_the_streams_of_the_last_minute_in_few_files() {
    let folder = tempfile::tempdir().expect("a folder");
    let start = Instant::now();
    let (mut journal, mut origins) = open(folder.path(), start);
    for tenth in 0..40 {
        let now = start + RETENTION * tenth / 10;
        record(&mut journal, &mut origins, now, Key::from(tenth));
        let (_, mut restarted) = open(folder.path(), now);
        for stream in tenth.saturating_sub(10)..=tenth {
            assert_eq!(restarted.find(now, Key::from(stream)), known("v1"));
        }
        assert!(files(folder.path()) <= 2);
    }
}

#[test]
fn starts_without_end_leave_a_bounded_number_of_files() {
    let folder = tempfile::tempdir().expect("a folder");
    let now = Instant::now();
    for stream in 0..100 {
        let (mut journal, mut origins) = open(folder.path(), now);
        record(&mut journal, &mut origins, now, stream);
        assert!(files(folder.path()) <= 17);
    }
}

#[test]
fn a_record_that_a_crash_has_torn_costs_no_other() {
    let folder = tempfile::tempdir().expect("a folder");
    let now = Instant::now();
    let (mut journal, mut origins) = open(folder.path(), now);
    record(&mut journal, &mut origins, now, 1);
    let file = folder.path().join("0");
    let mut torn = OpenOptions::new().append(true).open(file).expect("a file");
    torn.write_all(&[40, 0, 0, 0, 7, 7]).expect("written");
    let (mut journal, mut origins) = open(folder.path(), now);
    assert_eq!(origins.find(now, 1), known("v1"));
    record(&mut journal, &mut origins, now, 2);
    let (_, mut origins) = open(folder.path(), now);
    assert_eq!(origins.find(now, 1), known("v1"));
    assert_eq!(origins.find(now, 2), known("v1"));
}

#[test]
fn files_of_other_names_are_left_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    for name in ["notes", "18446744073709551615", "-1"] {
        std::fs::write(folder.path().join(name), "x").expect("written");
    }
    let now = Instant::now();
    let (mut journal, mut origins) = open(folder.path(), now);
    for turn in 0..3 {
        record(&mut journal, &mut origins, now + RETENTION * turn, 1);
    }
    assert_eq!(files(folder.path()), 3 + 2);
}

#[test]
fn a_journal_goes_on_after_a_failed_write() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("origins");
    let now = Instant::now();
    let (mut journal, mut origins) = open(&path, now);
    std::fs::remove_dir_all(&path).expect("removed");
    let reports = begun("v1", 0..1);
    let generation = origins.record(now, reports.clone());
    assert!(journal.append(generation, &reports).is_err());
    std::fs::create_dir_all(&path).expect("made");
    record(&mut journal, &mut origins, now, 1);
    let (_, mut restarted) = open(&path, now);
    assert_eq!(restarted.find(now, 1), known("v1"));
}

#[actix_rt::test]
async fn a_store_on_a_failing_disk_answers_from_memory_and_returns_to_the_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("origins");
    std::fs::write(&path, "no folder").expect("written");
    let log = Logger::root(Discard, o!());
    let store = Store::open(&path, log.clone()).expect("a store");
    store.record(begun("v1", 0..1)).await;
    assert_eq!(store.find(0), known("v1"));
    std::fs::remove_file(&path).expect("removed");
    store.record(begun("v1", 1..2)).await;
    drop(store);
    let store = Store::open(&path, log).expect("a store");
    assert_eq!(
        [0, 1].map(|stream| store.find(stream)),
        [Knowledge::Unknown, known("v1")]
    );
}

/// Sends a request to an instance of a cluster and returns its reply.
async fn ask(cluster: &Cluster, instance: usize, request: &Request) -> Reply {
    let control = &cluster.controls[instance];
    let seal = Seal::new("entry-1", KEY.as_bytes());
    let address = format!("http://{}", control.inner());
    let connect = || async { ControlClient::connect(address.clone()).await.ok() };
    let mut client = wait::until("the instance to listen", connect).await;
    let frame = seal.seal(&control.name, request, SystemTime::now());
    let response = client.ask(frame.unwrap()).await.unwrap();
    seal.open(response.get_ref(), SystemTime::now()).unwrap()
}

#[actix_rt::test]
async fn each_instance_answers_for_the_streams_that_it_was_told() {
    let cluster = Cluster::start(3, 0);
    for instance in 0..3 {
        let unknown = Reply::Origin(Knowledge::Unknown);
        assert_eq!(ask(&cluster, instance, &Request::Origin(7)).await, unknown);
        let told = Request::Begun(begun("v1", 7..8));
        assert_eq!(ask(&cluster, instance, &told).await, Reply::Acknowledged);
        let known = Reply::Origin(known("v1"));
        assert_eq!(ask(&cluster, instance, &Request::Origin(7)).await, known);
    }
}

/// Guards against origins that were kept in memory alone, and so lost when the whole core was killed.
#[actix_rt::test]
async fn a_killed_core_still_knows_the_streams_that_it_acknowledged() {
    let mut cluster = Cluster::start(3, 0);
    for instance in 0..3 {
        let told = Request::Begun(begun("v1", 7..8));
        assert_eq!(ask(&cluster, instance, &told).await, Reply::Acknowledged);
    }
    for _ in 0..2 {
        for control in &mut cluster.controls {
            control.process.kill();
        }
        for instance in 0..3 {
            let name = cluster.controls[instance].name.clone();
            let process = cluster.restart("flamingo-control", &name);
            cluster.controls[instance].process = process;
        }
        for instance in 0..3 {
            let known = Reply::Origin(known("v1"));
            assert_eq!(ask(&cluster, instance, &Request::Origin(7)).await, known);
        }
    }
}

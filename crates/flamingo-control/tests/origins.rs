//! Origins of streams that entries report to a control instance.

use flamingo_control::origins::{Origins, RETENTION};
use flamingo_test_support::cluster::{Cluster, KEY};
use flamingo_test_support::wait;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::stream::{Begun, Key, Knowledge, Origin};
use std::ops::Range;
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
    let mut origins = Origins::new(now);
    origins.record(now, begun("v1", 0..10));
    origins.record(now, begun("v1.1", 10..20));
    assert_eq!(origins.find(now, 9), known("v1"));
    assert_eq!(origins.find(now, 10), known("v1.1"));
    assert_eq!(origins.find(now, 20), Knowledge::Unknown);
}

#[test]
fn a_stream_is_kept_for_its_time_whenever_it_began() {
    let start = Instant::now();
    let mut origins = Origins::new(start);
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
    let mut origins = Origins::new(now);
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
    let mut origins = Origins::new(start);
    origins.record(start, begun("v1", 0..1));
    let later = start + RETENTION;
    origins.record(later, retracted(0));
    origins.record(later, begun("v1", 0..1));
    assert_eq!(origins.find(later, 0), Knowledge::Uncertain);
}

#[test]
fn a_stream_that_two_versions_are_said_to_have_begun_is_uncertain() {
    let now = Instant::now();
    let mut origins = Origins::new(now);
    origins.record(now, begun("v1", 0..1));
    origins.record(now, begun("v1.1", 0..1));
    assert_eq!(origins.find(now, 0), Knowledge::Uncertain);
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

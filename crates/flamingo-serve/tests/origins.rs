//! Which streams an entry reports to which control instances, and what it still knows of them.

use flamingo_serve::origins::{Origins, Reports};
use flamingo_wire::stream::{Begun, Key, Knowledge, Origin};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn origin(software: &str) -> Origin {
    Origin {
        service: "s".into(),
        software: software.into(),
    }
}

/// Returns the addresses of so many control instances.
fn controls(count: u16) -> Vec<SocketAddr> {
    let ports = 1..=count;
    ports
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

/// Returns an entry's streams, of which the first `count` have begun at v1.
fn begun(count: Key, now: Instant) -> Origins {
    let mut origins = Origins::default();
    for stream in 0..count {
        origins.record(stream, origin("v1"), "i-0", now);
    }
    origins
}

/// Returns the control instances that get a stream.
fn receivers(reports: &Reports, stream: Key) -> Vec<SocketAddr> {
    let with_stream = reports.iter().filter(|(_, report)| {
        let mut streams = report.iter().flat_map(|begun| &begun.streams);
        streams.any(|other| *other == stream)
    });
    with_stream.map(|(control, _)| *control).collect()
}

#[test]
fn a_stream_is_reported_once_to_two_control_instances() {
    let controls = controls(3);
    let mut origins = begun(1, Instant::now());
    let reports = origins.take_reports(&controls, 3, 0);
    assert_eq!(receivers(&reports, 0).len(), 2);
    assert!(origins.take_reports(&controls, 3, 1).is_empty());
}

#[test]
fn a_stream_is_reported_where_its_service_has_one_version() {
    let mut origins = begun(1, Instant::now());
    let reports = origins.take_reports(&controls(1), 1, 0);
    let report = Begun {
        origin: Some(origin("v1")),
        streams: vec![0],
    };
    assert_eq!(reports.into_values().collect::<Vec<_>>(), [vec![report]]);
}

#[test]
fn a_stream_gets_its_second_holder_when_another_control_instance_connects() {
    let controls = controls(2);
    let mut origins = begun(1, Instant::now());
    let first = origins.take_reports(&controls[..1], 1, 0);
    assert_eq!(receivers(&first, 0), controls[..1]);
    let second = origins.take_reports(&controls, 2, 0);
    assert_eq!(receivers(&second, 0), controls[1..]);
}

/// Guards against streams that no control instance knows any more after a restart of the core.
#[test]
fn streams_are_reported_again_when_control_instances_have_disconnected() {
    let controls = controls(3);
    let mut origins = begun(2, Instant::now());
    origins.take_reports(&controls, 3, 0);
    for control in &controls {
        origins.remove_holder(*control);
    }
    let again = origins.take_reports(&controls, 3, 1);
    assert_eq!(receivers(&again, 0).len(), 2);
    assert_eq!(receivers(&again, 1).len(), 2);
}

#[test]
fn only_the_lost_holder_of_a_stream_is_replaced() {
    let controls = controls(3);
    let mut origins = begun(1, Instant::now());
    let holders = receivers(&origins.take_reports(&controls, 3, 0), 0);
    origins.remove_holder(holders[0]);
    let rest: Vec<SocketAddr> = controls
        .into_iter()
        .filter(|control| *control != holders[0])
        .collect();
    let replacement = receivers(&origins.take_reports(&rest, 2, 1), 0);
    assert_eq!(replacement.len(), 1);
    assert!(!holders.contains(&replacement[0]));
}

#[test]
fn a_report_that_is_not_acknowledged_is_due_again() {
    let controls = controls(2);
    let mut origins = begun(1, Instant::now());
    let reports = origins.take_reports(&controls, 2, 0);
    origins.return_report(controls[0], &reports[&controls[0]]);
    let again = origins.take_reports(&controls, 2, 1);
    assert_eq!(receivers(&again, 0), controls[..1]);
}

#[test]
fn reports_are_spread_over_the_control_instances() {
    let controls = controls(4);
    let mut origins = Origins::default();
    let mut told = [0; 4];
    for stream in 0..40 {
        origins.record(stream, origin("v1"), "i-0", Instant::now());
        let round = usize::try_from(stream).expect("small");
        for receiver in origins.take_reports(&controls, 4, round).keys() {
            told[usize::from(receiver.port()) - 1] += 1;
        }
    }
    assert_eq!(told, [20; 4]);
}

#[test]
fn a_stream_is_forgotten_after_its_time() {
    let now = Instant::now();
    let mut origins = begun(1, now);
    origins.remove_expired(now + Duration::from_secs(59));
    assert_eq!(origins.find(0), Knowledge::Known(origin("v1")));
    origins.remove_expired(now + Duration::from_mins(1));
    assert_eq!(origins.find(0), Knowledge::Unknown);
    assert!(origins.take_reports(&controls(2), 2, 0).is_empty());
}

#[test]
fn only_the_latest_streams_of_a_restarted_target_become_uncertain() {
    let now = Instant::now();
    let heartbeat = now + Duration::from_secs(1);
    let mut origins = Origins::default();
    origins.record(1, origin("v1"), "i-0", now);
    origins.record(2, origin("v1"), "i-0", heartbeat);
    origins.record(3, origin("v1"), "i-1", heartbeat);
    origins.forget("i-0", Some(heartbeat));
    let known = |stream| origins.find(stream) == Knowledge::Known(origin("v1"));
    assert_eq!([1, 2, 3].map(known), [true, false, true]);
    assert_eq!(origins.find(2), Knowledge::Uncertain);
}

#[test]
fn all_control_instances_are_told_that_an_origin_is_uncertain() {
    let controls = controls(3);
    let now = Instant::now();
    let mut origins = begun(1, now);
    let reports = origins.take_reports(&controls, 3, 0);
    origins.forget("i-0", None);
    // The late failure of the earlier report changes nothing.
    for (control, report) in &reports {
        origins.return_report(*control, report);
    }
    let retractions = origins.take_reports(&controls, 3, 1);
    assert_eq!(receivers(&retractions, 0), controls);
    let mut retracted = retractions.values().flatten();
    assert!(retracted.all(|begun| begun.origin.is_none()));
}

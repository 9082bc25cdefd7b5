//! Which streams an entry reports, and what it still knows of them.

use flamingo_serve::origins::Origins;
use flamingo_serve::table::Table;
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::stream::{Key, Origin};
use flamingo_wire::target::Registration;
use std::collections::HashSet;
use std::time::{Duration, Instant};

fn origin(service: &str, software: &str) -> Origin {
    Origin {
        service: service.into(),
        software: software.into(),
    }
}

fn services(names: &[&str]) -> HashSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Returns the keys of all streams that are reported for these services.
fn reported(origins: &mut Origins, ambiguous: &[&str]) -> Vec<Key> {
    let begun = origins.take_unreported(&services(ambiguous));
    let mut streams: Vec<Key> = begun.into_iter().flat_map(|begun| begun.streams).collect();
    streams.sort_unstable();
    streams
}

#[test]
fn streams_are_reported_once_and_when_their_service_becomes_ambiguous() {
    let now = Instant::now();
    let mut origins = Origins::default();
    origins.record(1, origin("s", "v1"), "i-0", now);
    origins.record(2, origin("other", "v1"), "i-1", now);
    assert!(reported(&mut origins, &[]).is_empty());
    assert_eq!(reported(&mut origins, &["s"]), [1]);
    assert!(reported(&mut origins, &["s"]).is_empty());
    assert_eq!(reported(&mut origins, &["s", "other"]), [2]);
}

#[test]
fn a_stream_is_forgotten_after_its_time() {
    let now = Instant::now();
    let mut origins = Origins::default();
    origins.record(1, origin("s", "v1"), "i-0", now);
    origins.remove_expired(now + Duration::from_secs(59));
    assert!(origins.get(1).is_some());
    origins.remove_expired(now + Duration::from_mins(1));
    assert!(origins.get(1).is_none());
}

#[test]
fn only_the_latest_streams_of_a_restarted_target_are_forgotten() {
    let now = Instant::now();
    let heartbeat = now + Duration::from_secs(1);
    let mut origins = Origins::default();
    origins.record(1, origin("s", "v1"), "i-0", now);
    origins.record(2, origin("s", "v1"), "i-0", heartbeat);
    origins.record(3, origin("s", "v1"), "i-1", heartbeat);
    origins.forget("i-0", heartbeat);
    let known: Vec<Key> = (1..=3).filter(|key| origins.get(*key).is_some()).collect();
    assert_eq!(known, [1, 3]);
}

#[test]
fn a_service_is_mixed_while_targets_of_several_versions_are_known() {
    let now = Instant::now();
    let targets = [
        ("i-0", "s", "v1"),
        ("i-1", "s", "v1.1"),
        ("i-2", "other", "v2"),
    ];
    let registrations = targets.map(|(id, service, software)| Registration {
        service: service.into(),
        software: software.into(),
        ..registration(id)
    });
    let mut table = Table::default();
    table.apply(now, &Push::Targets(vec![registrations[0].clone()]));
    assert!(table.mixed_services().is_empty());
    table.apply(now, &Push::Targets(registrations.to_vec()));
    assert_eq!(table.mixed_services(), services(&["s"]));
}

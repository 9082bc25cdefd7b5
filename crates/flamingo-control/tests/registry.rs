//! Which registration of a target is the newest, and what is published about it.

use flamingo_control::registry::Registry;
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::target::Registration;
use std::time::{Duration, Instant};

fn version(id: &str, incarnation: u64, sequence: u64) -> Registration {
    Registration {
        incarnation,
        sequence,
        ..registration(id)
    }
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let leaving = Registration {
        leaving: true,
        ..version("t", 1, 5)
    };
    assert!(registry.record_heartbeat(now, leaving));
    assert!(!registry.record_heartbeat(now, version("t", 1, 4)));
    assert!(registry.get("t").expect("known").leaving);
}

#[test]
fn a_restart_under_the_same_name_supersedes() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, version("t", 1, 90));
    registry.record_departure(now, "t", 1);
    assert!(registry.record_heartbeat(now, version("t", 2, 1)));
    assert!(!registry.get("t").expect("known").gone);
}

#[test]
fn a_departure_of_an_earlier_incarnation_changes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, version("t", 2, 1));
    registry.record_departure(now, "t", 1);
    assert!(!registry.get("t").expect("known").gone);
}

#[test]
fn a_heartbeat_of_a_target_that_lost_its_address_is_dropped() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, version("new", 2, 1));
    assert!(!registry.record_heartbeat(now, version("old", 1, 9)));
    assert!(registry.get("old").is_none());
}

#[test]
fn changes_are_published_at_once_and_unchanged_heartbeats_together() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (all, mut pushes) = registry.subscribe();
    assert!(all.is_empty());
    registry.record_heartbeat(now, version("t", 1, 1));
    registry.record_heartbeat(now, version("t", 1, 2));
    assert!(
        matches!(pushes.try_recv().expect("a push").push(), Push::Targets(registrations) if registrations.len() == 1)
    );
    assert!(pushes.try_recv().is_err());
    registry.publish_unchanged(now);
    assert_eq!(
        pushes.try_recv().expect("a push").push(),
        &Push::Unchanged(vec!["t".into()])
    );
}

#[test]
fn a_target_without_heartbeats_becomes_inactive_and_is_removed() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, version("t", 1, 1));
    let timeout = Duration::from_secs(4);
    assert_eq!(
        registry.active(now + Duration::from_secs(1), timeout).len(),
        1
    );
    assert!(registry.active(now + timeout, timeout).is_empty());
    registry.publish_unchanged(now + Duration::from_mins(1));
    assert!(registry.get("t").is_none());
}

#[test]
fn a_push_of_another_instance_is_merged_and_not_published() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (_, mut pushes) = registry.subscribe();
    registry.merge(now, &Push::Targets(vec![version("t", 1, 1)]));
    assert!(registry.get("t").is_some());
    assert!(pushes.try_recv().is_err());
}

//! Which requests their keys admit, and how an entry knows whether it can tell.

use flamingo_guard::authentication::{Decision, Index, MAX_LEADER_SILENCE, decide};
use flamingo_link::subscription::PushHandler;
use flamingo_serve::metrics::Metrics;
use flamingo_serve::topology::{Routes, Topology};
use flamingo_test_support::cases;
use flamingo_wire::control::{Peers, Push};
use flamingo_wire::route::Set;
use flamingo_wire::workspace::{KeyDigest, Workspace};
use slog::{Discard, Logger, o};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        ..Workspace::default()
    }
}

/// Returns the decision by name, with the name of the workspace.
fn decision(key: Option<&str>, anonymous: bool, hears_leader: bool) -> (&'static str, String) {
    let index = Index::new(&[workspace("a", &["a1", "a2"]), workspace("b", &["b1"])]);
    let key = key.map(KeyDigest::of);
    let decision = decide(&index, key.as_ref(), anonymous, hears_leader);
    let found = match decision {
        Decision::Allowed(Some(workspace)) => workspace.name.clone(),
        _ => String::new(),
    };
    (decision.into(), found)
}

/// Guards against requests that are let in, named or refused by the wrong rule.
fn check(key: Option<&str>, anonymous: bool, hears_leader: bool, expected: &str, workspace: &str) {
    let decision = decision(key, anonymous, hears_leader);
    assert_eq!(decision, (expected, workspace.to_owned()));
}

cases! { check:
    the_first_key_of_a_workspace(Some("a1"), false, true, "allowed", "a");
    another_key_of_a_workspace(Some("a2"), false, true, "allowed", "a");
    the_key_of_another_workspace(Some("b1"), false, true, "allowed", "b");
    a_known_key_needs_no_leader(Some("b1"), false, false, "allowed", "b");
    a_known_key_counts_on_an_anonymous_route(Some("b1"), true, true, "allowed", "b");
    an_unknown_key(Some("c1"), false, true, "unknown", "");
    an_unknown_key_that_a_newer_configuration_may_have(Some("c1"), false, false, "unsure", "");
    an_unknown_key_on_an_anonymous_route(Some("c1"), true, true, "allowed", "");
    an_anonymous_route_needs_no_leader(Some("c1"), true, false, "allowed", "");
    no_key(None, false, true, "unknown", "");
    no_configuration_admits_no_key(None, false, false, "unknown", "");
    no_key_on_an_anonymous_route(None, true, false, "allowed", "");
}

/// Guards against an index that lets everybody in where an operator removed the last workspace.
#[test]
fn an_empty_list_of_workspaces_still_needs_keys() {
    let keys = |workspaces| {
        let set = Set {
            workspaces,
            ..Set::default()
        };
        Routes::new(Arc::new(set)).keys
    };
    assert!(keys(None).is_none());
    let index = keys(Some(Vec::new())).expect("keys are needed");
    assert_eq!(decide(&index, None, false, true), Decision::Unknown);
}

fn control(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn peers(leader: Option<SocketAddr>) -> Push {
    Push::Peers(Peers {
        leader,
        ..Peers::default()
    })
}

/// Guards against 401 for a new key at an entry that is cut off, and against 503 for wrong keys at one
/// that isn't. Each case is a series of pushes; a leader is heard or not after it.
fn check_leader(pushes: &[(SocketAddr, Push)], expected: bool) {
    let topology = Topology::new(Logger::root(Discard, o!()));
    for (from, push) in pushes {
        topology.on_push(*from, push.clone());
    }
    let now = flamingo_daemon::clock::now();
    assert_eq!(topology.hears_leader(now), expected);
    let later = now + MAX_LEADER_SILENCE + Duration::from_millis(1);
    assert!(!topology.hears_leader(later));
}

cases! { check_leader:
    nothing_was_heard(&[], false);
    the_leader_names_itself(&[(control(1), peers(Some(control(1))))], true);
    another_control_instance_names_the_leader(&[(control(2), peers(Some(control(1))))], true);
    a_control_instance_that_knows_no_leader(&[(control(2), peers(None))], false);
    other_pushes_of_a_control_instance(&[(control(2), Push::Heartbeat(0))], false);
}

/// Guards against a leader that is taken for silent between two lists of the control instances.
#[test]
fn any_push_of_the_leader_counts() {
    let topology = Topology::new(Logger::root(Discard, o!()));
    topology.on_push(control(1), peers(Some(control(1))));
    let named_at = flamingo_daemon::clock::now();
    while flamingo_daemon::clock::now() == named_at {}
    topology.on_push(control(2), Push::Heartbeat(0));
    assert!(!topology.hears_leader(named_at + MAX_LEADER_SILENCE + Duration::from_nanos(1)));
    topology.on_push(control(1), Push::Heartbeat(0));
    assert!(topology.hears_leader(named_at + MAX_LEADER_SILENCE + Duration::from_nanos(1)));
}

/// Guards against time series without bound where an operator renames workspaces again and again.
#[test]
fn the_number_of_exported_workspaces_is_bounded() {
    let metrics = Metrics::new().expect("metrics");
    for number in 0..1_000 {
        metrics
            .workspaces()
            .record_authentication(Some(&format!("w{number}")), Decision::Unknown);
    }
    let text = metrics.text(&Topology::new(Logger::root(Discard, o!())));
    let series = text.lines().filter(|line| line.contains("workspace="));
    let series: BTreeSet<_> = series.collect();
    assert_eq!(series.len(), 33);
    assert!(text.contains("workspace=\"other\"} 968"), "{text}");
}

/// Guards against a comparison of keys by their beginnings, by which a caller could guess.
#[test]
fn keys_that_begin_alike_are_different() {
    let index = Index::new(&[workspace("a", &["sk-0000000000000000"])]);
    for key in [
        "sk-000000000000000",
        "sk-00000000000000000",
        "SK-0000000000000000",
        "",
    ] {
        assert!(index.find(&KeyDigest::of(key)).is_none(), "{key}");
    }
}

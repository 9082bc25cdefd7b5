//! Which requests their keys admit, and how an entry knows whether it can tell.

use flamingo_guard::authentication::{Decision, Index, decide};
use flamingo_link::freshness::MAX_PROOF_AGE;
use flamingo_link::subscription::PushHandler;
use flamingo_serve::metrics::Metrics;
use flamingo_serve::topology::{Routes, Topology};
use flamingo_test_support::cases;
use flamingo_wire::control::{NewestRoutes, Peers, Push};
use flamingo_wire::id;
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

/// What an entry is told.
enum Told {
    /// A push of the control instance at this port.
    Push(u16, Push),
    /// The leader's answer that routes of this version were the newest when it was asked, so long ago.
    Newest(id::Version, Duration),
}
use Told::{Newest, Push as Pushed};

fn routes(version: id::Version) -> Push {
    Push::Routes(Arc::new(Set {
        version,
        ..Set::default()
    }))
}

fn known_routes(version: id::Version) -> Push {
    Push::Peers(Peers {
        leader: Some(control(1)),
        routes: version,
        ..Peers::default()
    })
}

/// Guards against 401 for a new key, and 404 for a new route, at an entry that lacks the newest routes; and
/// against 503 for what no configuration has at one that lacks nothing. The entry is told a series of things,
/// and may refuse for good after it or not. It never may once the answer is old.
fn check_newest(told: &[Told], expected: bool) {
    let topology = Topology::new(Logger::root(Discard, o!()));
    let now = flamingo_daemon::clock::now();
    for told in told {
        match told {
            Told::Push(from, push) => topology.on_push(control(*from), push.clone()),
            Told::Newest(version, age) => {
                let asked_at = now
                    .checked_sub(*age)
                    .expect("the machine has run for longer");
                let newest = NewestRoutes {
                    version: *version,
                    bytes: 0,
                };
                topology.record_newest(control(1), newest, asked_at);
            }
        }
    }
    assert_eq!(topology.has_newest_routes(now), expected);
    let later = now + MAX_PROOF_AGE + Duration::from_millis(1);
    assert!(!topology.has_newest_routes(later));
}

const NOW: Duration = Duration::ZERO;

cases! { check_newest:
    nothing_was_heard(&[], false);
    the_leader_has_confirmed_the_routes(&[Pushed(2, routes(4)), Newest(4, NOW)], true);
    the_leader_names_itself_and_pushes(&[Pushed(1, routes(4)), Pushed(1, known_routes(4)), Pushed(1, Push::Heartbeat(0))], false);
    a_relay_names_the_leader(&[Pushed(2, routes(4)), Pushed(2, known_routes(4))], false);
    a_control_instance_that_knows_no_leader(&[Pushed(2, routes(4)), Pushed(2, peers(None))], false);
    the_leader_has_newer_routes(&[Pushed(2, routes(4)), Newest(5, NOW)], false);
    newer_routes_become_known_after_the_answer(&[Pushed(2, routes(4)), Newest(4, NOW), Pushed(2, known_routes(5))], false);
    newer_routes_arrive_after_the_answer(&[Pushed(2, routes(4)), Newest(4, NOW), Pushed(2, routes(5))], true);
    missing_routes_arrive(&[Pushed(2, routes(4)), Newest(5, NOW), Pushed(2, routes(5))], true);
    the_answer_is_as_old_as_may_be(&[Pushed(2, routes(4)), Newest(4, MAX_PROOF_AGE)], true);
    the_answer_is_to_an_old_question(&[Pushed(2, routes(4)), Newest(4, MAX_PROOF_AGE + Duration::from_nanos(1))], false);
    answers_overtake_each_other(&[Pushed(2, routes(4)), Newest(4, NOW), Newest(4, MAX_PROOF_AGE + Duration::from_nanos(1))], true);
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

//! Compare-and-set changes of the configuration, with change ids and drains.

use flamingo_state::{Command, Stamped, State};
use flamingo_test_support::operator::change;
use flamingo_test_support::seed;
use flamingo_wire::admin::{Answer, Drain};
use flamingo_wire::config::{Model, Placement, Profile, Service, Set};
use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::workspace::{KeyDigest, Quota, Unit, Workspace};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::SystemTime;

fn apply(state: &mut State, id: &str, base: u64) -> Reply {
    let command = Command::Apply(change(id, base));
    state.apply(Stamped {
        at: SystemTime::now(),
        command,
    })
}

#[test]
fn of_equal_versions_one_wins_and_the_loser_is_told_who() {
    let mut state = State::default();
    assert_eq!(apply(&mut state, "alice", 0), Reply::Accepted(1));
    let Reply::Refused(fault) = apply(&mut state, "bob", 0) else {
        panic!("both won");
    };
    assert_eq!(fault.reason, Reason::Conflict);
    let winner = "version 1 was made by alice (change alice)";
    assert!(fault.message.contains(winner), "{fault}");
    assert_eq!(state.configuration.version(), 1);
}

#[test]
fn a_resend_gets_the_first_answer_after_hundreds_of_changes() {
    let mut state = State::default();
    apply(&mut state, "first", 0);
    let lost = apply(&mut state, "loser", 0);
    for version in 1..500 {
        let id = format!("change-{version}");
        let reply = apply(&mut state, &id, version);
        assert_eq!(reply, Reply::Accepted(version + 1));
    }
    let mut state = State::decode(&state.encode().unwrap()).unwrap();
    assert_eq!(apply(&mut state, "first", 0), Reply::Accepted(1));
    assert_eq!(apply(&mut state, "loser", 0), lost);
    assert_eq!(state.configuration.version(), 500);
}

#[test]
fn a_change_id_that_is_used_for_another_change_is_refused() {
    let mut state = State::default();
    apply(&mut state, "first", 0);
    let Reply::Refused(fault) = apply(&mut state, "first", 1) else {
        panic!("it was taken");
    };
    assert_eq!(fault.reason, Reason::Reused);
}

#[test]
fn a_drain_makes_a_version_once() {
    let mut state = State::default();
    let drain = Drain {
        id: "drain".into(),
        target: "engine-1".into(),
        on: true,
        author: "alice".into(),
    };
    for _ in 0..2 {
        let reply = state.apply(Stamped {
            at: SystemTime::now(),
            command: Command::Drain(drain.clone()),
        });
        assert_eq!(reply, Reply::Admin(Answer::Drained(1)));
    }
    assert_eq!(state.configuration.snapshot().drained, ["engine-1"]);
}

fn workspace() -> Workspace {
    Workspace {
        name: "acme".into(),
        keys: vec![KeyDigest::of("k")],
        rank: Some(3),
        quota: Some(Quota {
            unit: Unit::Tokens,
            per_s: 0.5,
            burst: 10.0,
            plain_units: 200.0,
        }),
    }
}

/// Guards against workspaces that a restart, or the return to an older version, loses.
#[test]
fn workspaces_are_kept_with_each_version() {
    let mut state = State::default();
    let mut add = change("add", 0);
    add.set.workspaces.push(workspace());
    for change in [add, change("remove", 1)] {
        let stamped = Stamped {
            at: SystemTime::now(),
            command: Command::Apply(change),
        };
        state.apply(Stamped::decode(&stamped.encode().unwrap()).unwrap());
    }
    let state = State::decode(&state.encode().unwrap()).unwrap();
    let configuration = &state.configuration;
    assert_eq!(configuration.kept(1).unwrap().set.workspaces, [workspace()]);
    assert!(configuration.set().workspaces.is_empty());
    let summaries: Vec<_> = configuration.history().into_iter().rev().collect();
    assert_eq!(summaries[0].summary, "+workspace acme");
    assert_eq!(summaries[1].summary, "-workspace acme");
}

/// A set as it was written before it could have workspaces.
#[derive(Serialize)]
struct EarlierSet {
    profiles: Vec<Profile>,
    models: Vec<Model>,
    services: Vec<Service>,
    placement: Placement,
}

/// Guards against a change id that is refused as used for another change, since an earlier version of the
/// software made the digest of the change.
#[test]
fn a_set_without_workspaces_is_written_as_before() {
    let earlier = EarlierSet {
        profiles: Vec::new(),
        models: Vec::new(),
        services: Vec::new(),
        placement: Placement::default(),
    };
    let earlier = rmp_serde::to_vec(&earlier).unwrap();
    assert_eq!(rmp_serde::to_vec(&Set::default()).unwrap(), earlier);
    assert_eq!(
        rmp_serde::from_slice::<Set>(&earlier).unwrap(),
        Set::default()
    );
}

/// Applies changes, resends and restarts from a snapshot. Returns whether every resend got
/// the first reply, every version was made by one change, and no version went back.
fn applies_consistently(changes: &[(u8, u8)]) -> bool {
    let mut state = State::default();
    let mut first = BTreeMap::new();
    let mut made = BTreeMap::new();
    for (n, (id, base)) in changes.iter().enumerate() {
        let before = state.configuration.version();
        let name = format!("{}-{}", id % 32, base % 8);
        let reply = apply(&mut state, &name, u64::from(base % 8));
        if first.entry(name.clone()).or_insert_with(|| reply.clone()) != &reply {
            return false;
        }
        if let Reply::Accepted(version) = reply
            && made.entry(version).or_insert(name.clone()) != &name
        {
            return false;
        }
        if state.configuration.version() < before {
            return false;
        }
        if n % 5 == 0 {
            state = State::decode(&state.encode().unwrap()).unwrap();
        }
    }
    true
}

#[test]
fn any_mix_of_changes_and_resends_makes_each_version_once() {
    let property = |changes: Vec<(u8, u8)>| applies_consistently(&changes);
    seed::check(1_000, 100, property as fn(Vec<(u8, u8)>) -> bool);
}

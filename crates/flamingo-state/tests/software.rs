//! Software versions of targets: which ones may have begun streams that callers go on with.

use flamingo_state::software::{MAX_VERSIONS, RETENTION};
use flamingo_state::{Command, Stamped, State};
use flamingo_wire::control::Reply;
use flamingo_wire::stream::Origin;
use std::time::{Duration, SystemTime};

fn origin(service: &str, software: &str) -> Origin {
    Origin {
        service: service.into(),
        software: software.into(),
    }
}

/// Commits a version at a time after the start of the test.
fn confirm(state: &mut State, after: Duration, service: &str, software: &str) -> Reply {
    state.apply(Stamped {
        at: SystemTime::UNIX_EPOCH + after,
        command: Command::Confirm(origin(service, software)),
    })
}

#[test]
fn versions_are_kept_by_service_and_in_snapshots() {
    let mut state = State::default();
    for (service, software) in [("s", "v2"), ("s", "v1"), ("t", "v1"), ("s", "v1")] {
        let reply = confirm(&mut state, Duration::ZERO, service, software);
        assert_eq!(reply, Reply::Acknowledged);
    }
    let again = State::decode(&state.encode().expect("encoded")).expect("decoded");
    assert_eq!(again, state);
    assert_eq!(again.software.versions("s"), ["v1", "v2"]);
    assert_eq!(again.software.versions("t"), ["v1"]);
    assert!(again.software.versions("u").is_empty());
}

#[test]
fn a_version_is_removed_some_time_after_its_last_confirmation() {
    let mut state = State::default();
    let half = RETENTION / 2;
    confirm(&mut state, Duration::ZERO, "s", "v1");
    confirm(&mut state, half, "s", "v1");
    confirm(&mut state, half, "s", "v2");
    confirm(&mut state, RETENTION, "s", "v2");
    assert_eq!(state.software.versions("s"), ["v1", "v2"]);
    confirm(&mut state, half + RETENTION, "s", "v2");
    assert_eq!(state.software.versions("s"), ["v2"]);
}

#[test]
fn a_clock_that_goes_back_removes_nothing() {
    let mut state = State::default();
    confirm(&mut state, RETENTION, "s", "v1");
    confirm(&mut state, Duration::ZERO, "s", "v2");
    assert_eq!(state.software.versions("s"), ["v1", "v2"]);
}

#[test]
fn versions_beyond_the_limit_are_refused_and_known_ones_stay() {
    let mut state = State::default();
    for number in 0..MAX_VERSIONS {
        confirm(&mut state, Duration::ZERO, "s", &number.to_string());
    }
    let refused = confirm(&mut state, Duration::ZERO, "s", "further");
    assert!(matches!(refused, Reply::Refused(_)));
    let known = confirm(&mut state, Duration::ZERO, "s", "0");
    assert_eq!(known, Reply::Acknowledged);
    assert_eq!(state.software.versions("s").len(), MAX_VERSIONS);
}

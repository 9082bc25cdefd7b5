//! Routes: the highest version stays in force, whatever the order of commands and resends.

use flamingo_state::{Command, Stamped, State};
use flamingo_wire::control::Reply;
use flamingo_wire::route::{Route, Service, Set, Share};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

fn set(version: u64, name: &str) -> Arc<Set> {
    Arc::new(Set {
        version,
        text: name.to_owned(),
        ..Set::default()
    })
}

fn apply(state: &mut State, command: Command) -> Reply {
    let at = SystemTime::UNIX_EPOCH + Duration::from_secs(1);
    state.apply(Stamped { at, command })
}

#[test]
fn a_lower_version_is_acknowledged_and_changes_nothing() {
    let mut state = State::default();
    let reply = apply(&mut state, Command::Route(set(7, "new")));
    assert_eq!(reply, Reply::Accepted(7));
    let reply = apply(&mut state, Command::Route(set(5, "late")));
    assert_eq!(reply, Reply::Accepted(7));
    assert_eq!(state.routes.expect("routes").text, "new");
}

#[test]
fn other_content_under_the_version_in_force_changes_nothing() {
    let mut state = State::default();
    apply(&mut state, Command::Route(set(7, "first")));
    apply(&mut state, Command::Route(set(7, "second")));
    assert_eq!(state.routes.expect("routes").text, "first");
}

#[test]
fn a_snapshot_keeps_routes_and_begun_loads() {
    let mut state = State::default();
    apply(&mut state, Command::Route(set(3, "kept")));
    apply(&mut state, Command::Load(2));
    let again = State::decode(&state.encode().expect("encoded")).expect("decoded");
    assert_eq!(again, state);
    assert_eq!(again.loads.len(), 2);
}

fn route(change: impl FnOnce(&mut Route)) -> Set {
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        timeout_ms: 1,
        shares: vec![Share {
            service: "s".into(),
            weight: 1,
        }],
        ..Route::default()
    };
    change(&mut route);
    Set {
        routes: vec![route],
        services: vec![Service {
            name: "s".into(),
            ..Service::default()
        }],
        ..Set::default()
    }
}

macro_rules! invalid {
    ($($name:ident: $change:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(route($change).problems().len(), 1);
        })*
    };
}

invalid! {
    an_unknown_service_is_a_problem: |route| route.shares[0].service = "other".into();
    weights_that_add_up_to_nothing_are_a_problem: |route| route.shares[0].weight = 0;
    no_timeout_is_a_problem: |route| route.timeout_ms = 0;
}

#[test]
fn a_good_route_has_no_problem() {
    assert!(route(|_| {}).problems().is_empty());
}

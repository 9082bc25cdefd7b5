//! Check of a set of routes before it is sent.

use flamingo_wire::lint::{Severity, changes, findings};
use flamingo_wire::route::{Engine, Kind, Model, Route, Service, Set, Share};
use flamingo_wire::workspace::{KeyDigest, Quota, Workspace};

fn share(weight: u32) -> Share {
    Share {
        service: "llm".into(),
        weight,
    }
}

/// Returns a set in which each entry has an effect.
fn sound() -> Set {
    let route = Route {
        name: "notes".into(),
        host: "shop.example".into(),
        prefix: "/notes/".into(),
        kind: Kind::Stream,
        timeout_ms: 5_000,
        objective_ms: 500,
        attempts: 1,
        shares: vec![share(1)],
        ..Route::default()
    };
    let model = Model {
        name: "m".into(),
        megabytes: 70_000.0,
        adapters: 3,
        ..Model::default()
    };
    let engine = Engine {
        slots: 64,
        megabytes: 200_000.0,
        adapters: 8,
        loads_per_s: 1.0,
        models: vec![model],
        ..Engine::default()
    };
    let service = Service {
        name: "llm".into(),
        connections: 100,
        engine: Some(engine),
    };
    let quota = Quota {
        per_s: 100.0,
        burst: 500.0,
        plain_units: 200.0,
        ..Quota::default()
    };
    let workspace = Workspace {
        name: "bern".into(),
        keys: vec![KeyDigest::of("secret")],
        quota: Some(quota),
        ..Workspace::default()
    };
    Set {
        version: 1,
        routes: vec![route],
        services: vec![service],
        workspaces: Some(vec![workspace]),
        ..Set::default()
    }
}

fn workspace(set: &mut Set) -> &mut Workspace {
    &mut set.workspaces.as_mut().expect("workspaces")[0]
}

fn engine(set: &mut Set) -> &mut Engine {
    set.services[0].engine.as_mut().expect("an engine")
}

#[test]
fn a_sound_set_has_no_finding() {
    assert_eq!(findings(&sound()), []);
}

#[test]
fn what_keeps_a_set_from_being_applied_is_an_error() {
    let mut set = sound();
    set.routes[0].timeout_ms = 0;
    let found = findings(&set);
    let errors = found.iter().filter(|one| one.severity == Severity::Error);
    let errors: Vec<String> = errors.map(|one| one.text.clone()).collect();
    assert_eq!(errors, set.problems());
    assert_eq!(errors.len(), 1);
}

macro_rules! warned {
    ($($name:ident: $change:expr => $entry:expr, $text:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut set = sound();
            let change: fn(&mut Set) = $change;
            change(&mut set);
            let found = findings(&set);
            let hit = found.iter().any(|one| {
                one.severity == Severity::Warning
                    && one.entry == $entry
                    && one.text.contains($text)
            });
            assert!(hit, "{found:?}");
        })*
    };
}

warned! {
    a_prefix_without_a_slash_matches_nothing:
        |set| set.routes[0].prefix = "notes/".into() => "route 'notes'", "matches no request";
    a_share_of_weight_0_gets_nothing:
        |set| set.routes[0].shares.push(share(0)) => "route 'notes'", "weight is 0";
    a_timeout_below_the_objective_contradicts_it:
        |set| set.routes[0].timeout_ms = 400 => "route 'notes'", "ends before the objective";
    a_route_without_attempts_serves_nothing:
        |set| set.routes[0].attempts = 0 => "route 'notes'", "allows no attempt";
    a_service_that_no_route_leads_to_gets_nothing:
        |set| set.routes.clear() => "service 'llm'", "no route leads to it";
    a_model_larger_than_an_engine_is_never_loaded:
        |set| engine(set).models[0].megabytes = 3e5 => "service 'llm'", "larger than an engine";
    adapters_without_a_place_are_never_loaded:
        |set| engine(set).adapters = 0 => "service 'llm'", "no place";
    a_workspace_without_a_key_has_no_callers:
        |set| workspace(set).keys.clear() => "workspace 'bern'", "no key";
    a_burst_below_a_plain_request_contradicts_it:
        |set| workspace(set).quota.as_mut().expect("a quota").burst = 100.0
        => "workspace 'bern'", "burst";
    a_limit_of_0_lets_nothing_in:
        |set| set.limits.head_ms = 0 => "limits", "time for a head";
}

#[test]
fn changes_are_named_by_entry_and_field() {
    let old = sound();
    let mut new = sound();
    new.routes[0].timeout_ms = 6_000;
    engine(&mut new).models.clear();
    new.services.push(Service {
        name: "plain".into(),
        ..Service::default()
    });
    let found = changes(&old, &new);
    let texts: Vec<String> = found
        .into_iter()
        .map(|change| format!("{} {}", change.entry, change.text))
        .collect();
    assert_eq!(texts.len(), 3, "{texts:?}");
    assert_eq!(texts[0], "route 'notes' timeout ms: 5000 -> 6000");
    assert!(texts[1].starts_with("service 'llm' model 'm': ") && texts[1].ends_with("removed"));
    assert_eq!(texts[2], "service 'plain' added");
    assert_eq!(changes(&old, &old), []);
}

#[test]
fn a_change_of_keys_names_no_key() {
    let old = sound();
    let mut new = sound();
    workspace(&mut new).keys = vec![KeyDigest::of("another")];
    let found = changes(&old, &new);
    assert_eq!(found.len(), 1);
    assert!(!found[0].text.contains("secret") && !found[0].text.contains("another"));
}

//! The controller's state of an engine where answers and reports are late or missing.

use flamingo_control::controller::engine::{Denial, EngineState};
use flamingo_control::controller::engine_api::{Operation, Order, Outcome, Report};
use flamingo_test_support::registration::registration;
use flamingo_wire::route::{Engine, Model};
use flamingo_wire::target::Resident;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

fn resident(model: &str, adapters: &[&str]) -> Resident {
    Resident {
        model: model.into(),
        adapters: adapters.iter().map(|name| (*name).into()).collect(),
    }
}

fn report(sequence: u64, adapters: &[&str]) -> Report {
    Report {
        models: vec![resident("m", adapters)],
        sequence,
        ..Report::default()
    }
}

fn order(operation: Operation, adapter: &str, expected_sequence: u64) -> Order {
    Order {
        target: "e".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        operation,
        model: "m".into(),
        adapter: Some(adapter.into()),
        expected_sequence,
        issuer: "c".into(),
        fence: 1,
    }
}

fn engine_state(now: Instant) -> EngineState {
    let mut engine = EngineState::new(registration("e"), now);
    assert!(engine.apply_report(&report(4, &["x"]), now));
    engine
}

/// Memory for two models, and two adapter slots.
fn engine_config() -> Engine {
    let model = |name: &str| Model {
        name: name.into(),
        megabytes: 70.0,
        adapter_megabytes: 2.0,
        ..Model::default()
    };
    Engine {
        megabytes: 200.0,
        adapters: 2,
        models: vec![model("m"), model("n"), model("o")],
        ..Engine::default()
    }
}

#[test]
fn no_order_is_given_before_the_first_report() {
    let now = Instant::now();
    let engine = EngineState::new(registration("e"), now);
    assert_eq!(engine.sequence(), None);
    assert!(engine.is_occupied(now));
}

#[test]
fn a_report_older_than_the_last_order_does_not_count() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    engine.apply_outcome(&order(Operation::Load, "y", 4), Outcome::Started, now);
    assert!(!engine.apply_report(&report(4, &["x"]), now));
    assert!(engine.use_adapter("m", "y", now).is_some());
    assert_eq!(engine.sequence(), Some(5));
}

#[test]
fn an_unanswered_load_counts_until_the_engine_must_refuse_it() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    engine.apply_outcome(&order(Operation::Load, "y", 4), Outcome::Uncertain, now);
    assert_eq!(engine.adapter_count(), 2);
    assert_eq!(engine.sequence(), None);
    // The engine has not accepted the order yet, and still may.
    assert!(engine.apply_report(&report(4, &["x"]), now));
    assert_eq!(engine.adapter_count(), 2);
    assert!(engine.use_adapter("m", "y", now).is_none());
    // The engine has accepted another order: the late one now expects a past sequence.
    assert!(engine.apply_report(&report(5, &["x"]), now));
    assert_eq!(engine.adapter_count(), 1);
}

#[test]
fn a_conflict_requires_a_report_before_the_next_order() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    engine.apply_outcome(&order(Operation::Load, "y", 4), Outcome::Conflict, now);
    assert_eq!(engine.sequence(), None);
    assert_eq!(engine.adapter_count(), 1);
}

#[test]
fn an_engine_that_executes_an_order_takes_no_move() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    let busy = Report {
        executing: true,
        ..report(4, &["x"])
    };
    assert!(engine.apply_report(&busy, now));
    assert!(engine.is_occupied(now));
    assert!(engine.residency(now).executing);
}

#[test]
fn a_copy_settles_after_its_least_time_on_the_engine() {
    let start = Instant::now();
    let mut engine = engine_state(start);
    let stay = Duration::from_secs(4);
    let stays = BTreeMap::from([("m", stay)]);
    let before = start + Duration::from_secs(3);
    assert!(engine.settled_models(&stays, before).is_empty());
    assert_eq!(engine.settled_models(&stays, start + stay), ["m"]);
    // A copy that has been away begins anew.
    let empty = Report {
        models: Vec::new(),
        ..report(4, &[])
    };
    assert!(engine.apply_report(&empty, before));
    assert!(engine.apply_report(&report(5, &[]), before));
    assert!(engine.settled_models(&stays, start + stay).is_empty());
    assert_eq!(engine.settled_models(&stays, before + stay), ["m"]);
}

#[test]
fn a_load_is_published_with_the_time_that_remains() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    engine.loading = Some("n".into());
    engine.loaded_by = Some(now + Duration::from_secs(5));
    let loading = engine.residency(now + Duration::from_secs(2)).loading;
    let loading = loading.expect("a load");
    assert_eq!((loading.model.as_str(), loading.remaining_ms), ("n", 3_000));
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    let start = Instant::now();
    let engine = engine_state(start);
    let now = start + Duration::from_secs(5);
    assert_eq!(engine.idle_adapter(&[resident("m", &["x"])], now), None);
    let idle = engine.idle_adapter(&[], now);
    assert_eq!(idle, Some(("m".to_owned(), "x".to_owned())));
}

#[test]
fn a_model_about_to_be_unloaded_is_not_published() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    engine.unloading = Some("m".into());
    assert!(engine.residency(now).models.is_empty());
    assert!(!engine.has_model("m"));
}

#[test]
fn memory_counts_weights_and_adapters() {
    let now = Instant::now();
    let engine = engine_state(now);
    let megabytes = engine.memory_megabytes(&engine_config());
    assert!((megabytes - 72.0).abs() < 1e-9);
}

fn admits(engine: &EngineState, model: &str, adapter: Option<&str>) -> Result<u64, Denial> {
    engine.admit(Operation::Load, model, adapter, &engine_config())
}

#[test]
fn an_order_expects_the_sequence_whose_room_was_checked() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    assert_eq!(admits(&engine, "n", None), Ok(4));
    let full = Report {
        models: vec![resident("m", &["x"]), resident("n", &[])],
        ..report(5, &[])
    };
    assert!(engine.apply_report(&full, now));
    assert_eq!(admits(&engine, "o", None), Err(Denial::Memory));
    assert_eq!(admits(&engine, "m", Some("y")), Ok(5));
}

#[test]
fn a_taken_slot_denies_an_adapter() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    assert!(engine.apply_report(&report(5, &["x", "y"]), now));
    assert_eq!(admits(&engine, "m", Some("z")), Err(Denial::Slots));
    assert_eq!(admits(&engine, "m", Some("y")), Ok(5));
}

#[test]
fn a_load_without_answer_takes_room_in_the_next_incarnation() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    let lost = Order {
        model: "n".into(),
        adapter: None,
        ..order(Operation::Load, "", 4)
    };
    engine.apply_outcome(&lost, Outcome::Uncertain, now);
    let mut restarted = EngineState::restarted(registration("e"), &engine, now);
    assert!(restarted.apply_report(&report(3, &[]), now));
    assert_eq!(admits(&restarted, "o", None), Err(Denial::Memory));
    assert_eq!(admits(&restarted, "n", None), Ok(3));
    // The engine now refuses an order that expects the fourth.
    assert!(restarted.apply_report(&report(5, &[]), now));
    assert_eq!(admits(&restarted, "o", None), Ok(5));
}

#[test]
fn a_load_without_answer_is_forgotten_in_time() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    engine.apply_outcome(&order(Operation::Load, "y", 4), Outcome::Uncertain, now);
    assert!(engine.awaits_late_loads(now));
    assert!(!engine.awaits_late_loads(now + Duration::from_mins(1)));
}

#[test]
fn no_model_is_ordered_while_an_order_is_executed() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    let executing = Report {
        executing: true,
        ..report(5, &["x"])
    };
    assert!(engine.apply_report(&executing, now));
    assert_eq!(admits(&engine, "n", None), Err(Denial::Executing));
}

#[test]
fn an_unload_that_changed_nothing_does_not_hide_a_late_load() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    engine.apply_outcome(&order(Operation::Load, "y", 4), Outcome::Uncertain, now);
    assert!(engine.apply_report(&report(4, &["x"]), now));
    // The engine may not have counted this order; the late load would then be the fifth.
    engine.apply_outcome(&order(Operation::Unload, "z", 4), Outcome::AlreadyDone, now);
    assert_eq!(engine.sequence(), None);
    assert_eq!(engine.adapter_count(), 2);
}

#[test]
fn a_conflict_accepts_a_report_of_fewer_orders() {
    let now = Instant::now();
    let mut engine = engine_state(now);
    engine.apply_outcome(&order(Operation::Unload, "z", 4), Outcome::AlreadyDone, now);
    engine.apply_outcome(&order(Operation::Load, "y", 5), Outcome::Conflict, now);
    assert!(engine.apply_report(&report(4, &["x"]), now));
    assert_eq!(engine.sequence(), Some(4));
}

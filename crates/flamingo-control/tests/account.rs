//! What the holder of orders counts on an engine, when answers and reports are late.

use flamingo_control::holder::account::Account;
use flamingo_control::holder::wire::{Operation, Order, Outcome, Report};
use flamingo_test_support::registration::registration;
use flamingo_wire::target::Resident;
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

fn order(operation: Operation, adapter: &str, expected: u64) -> Order {
    Order {
        target: "e".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        operation,
        model: "m".into(),
        adapter: Some(adapter.into()),
        expected,
        holder: "c".into(),
        fence: 1,
    }
}

fn account(now: Instant) -> Account {
    let mut account = Account::new(registration("e"), now);
    assert!(account.reported(&report(4, &["x"]), now));
    account
}

#[test]
fn nothing_is_ordered_before_the_engine_was_asked() {
    let now = Instant::now();
    let account = Account::new(registration("e"), now);
    assert_eq!(account.sequence(), None);
    assert!(account.occupied(now));
}

#[test]
fn a_report_older_than_the_last_order_does_not_count() {
    let now = Instant::now();
    let mut account = account(now);
    account.settle(&order(Operation::Load, "y", 4), Outcome::Begun, now);
    assert!(!account.reported(&report(4, &["x"]), now));
    assert!(account.adapted("m", "y", now));
    assert_eq!(account.sequence(), Some(5));
}

#[test]
fn an_order_without_an_answer_takes_room_until_it_can_come_no_more() {
    let now = Instant::now();
    let mut account = account(now);
    account.settle(&order(Operation::Load, "y", 4), Outcome::Unclear, now);
    assert_eq!(account.adapters(), 2);
    assert_eq!(account.sequence(), None);
    // The engine has not taken it yet, and still may.
    assert!(account.reported(&report(4, &["x"]), now));
    assert_eq!(account.adapters(), 2);
    assert!(!account.adapted("m", "y", now));
    // Another order was taken: the late one expects a sequence that is past.
    assert!(account.reported(&report(5, &["x"]), now));
    assert_eq!(account.adapters(), 1);
}

#[test]
fn a_conflict_is_asked_after_before_the_next_order() {
    let now = Instant::now();
    let mut account = account(now);
    account.settle(&order(Operation::Load, "y", 4), Outcome::Conflict, now);
    assert_eq!(account.sequence(), None);
    assert_eq!(account.adapters(), 1);
}

#[test]
fn an_engine_that_is_busy_takes_no_move() {
    let now = Instant::now();
    let mut account = account(now);
    let busy = Report {
        busy: true,
        ..report(4, &["x"])
    };
    assert!(account.reported(&busy, now));
    assert!(account.occupied(now));
    assert!(account.holding().executing);
}

#[test]
fn an_adapter_in_use_does_not_make_way() {
    let start = Instant::now();
    let account = account(start);
    let now = start + Duration::from_secs(5);
    assert_eq!(account.stale(&[resident("m", &["x"])], now), None);
    let stale = account.stale(&[], now);
    assert_eq!(stale, Some(("m".to_owned(), "x".to_owned())));
}

#[test]
fn a_model_that_is_about_to_go_is_not_told_of() {
    let now = Instant::now();
    let mut account = account(now);
    account.leaving = Some("m".into());
    assert!(account.holding().models.is_empty());
    assert!(!account.holds("m"));
}

#[test]
fn room_counts_weights_and_adapters() {
    let now = Instant::now();
    let account = account(now);
    let megabytes = account.megabytes(|_| (70.0, 2.0));
    assert!((megabytes - 72.0).abs() < 1e-9);
}

//! Which word of a target is the newest.

use flamingo_control::registry::Registry;
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::target::Registration;
use std::time::{Duration, Instant};

fn word(id: &str, incarnation: u64, sequence: u64) -> Registration {
    Registration {
        incarnation,
        sequence,
        ..registration(id)
    }
}

#[test]
fn a_late_word_changes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let leaving = Registration {
        leaving: true,
        ..word("t", 1, 5)
    };
    assert!(registry.hear(now, leaving));
    assert!(!registry.hear(now, word("t", 1, 4)));
    assert!(registry.get("t").expect("known").leaving);
}

#[test]
fn a_restart_under_the_same_name_supersedes() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.hear(now, word("t", 1, 90));
    registry.leave(now, "t", 1);
    assert!(registry.hear(now, word("t", 2, 1)));
    assert!(!registry.get("t").expect("known").gone);
}

#[test]
fn a_farewell_of_an_earlier_life_changes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.hear(now, word("t", 2, 1));
    registry.leave(now, "t", 1);
    assert!(!registry.get("t").expect("known").gone);
}

#[test]
fn a_word_of_who_had_the_address_before_is_left_out() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.hear(now, word("new", 2, 1));
    assert!(!registry.hear(now, word("old", 1, 9)));
    assert!(registry.get("old").is_none());
}

#[test]
fn followers_hear_of_changes_at_once_and_of_the_rest_together() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (all, mut news) = registry.follow();
    assert!(all.is_empty());
    registry.hear(now, word("t", 1, 1));
    registry.hear(now, word("t", 1, 2));
    assert!(matches!(&*news.try_recv().expect("a push"), Push::Targets(words) if words.len() == 1));
    assert!(news.try_recv().is_err());
    registry.flush(now);
    assert_eq!(
        *news.try_recv().expect("a push"),
        Push::Unchanged(vec!["t".into()])
    );
}

#[test]
fn a_silent_target_is_not_counted_on_and_then_forgotten() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.hear(now, word("t", 1, 1));
    let silence = Duration::from_secs(4);
    assert_eq!(
        registry.fresh(now + Duration::from_secs(1), silence).len(),
        1
    );
    assert!(registry.fresh(now + silence, silence).is_empty());
    registry.flush(now + Duration::from_mins(1));
    assert!(registry.get("t").is_none());
}

#[test]
fn what_another_instance_tells_is_taken_in_without_telling_on() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (_, mut news) = registry.follow();
    registry.learn(now, &Push::Targets(vec![word("t", 1, 1)]));
    assert!(registry.get("t").is_some());
    assert!(news.try_recv().is_err());
}

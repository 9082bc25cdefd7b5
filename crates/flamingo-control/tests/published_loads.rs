//! Which loads the leader publishes.

use flamingo_control::controller::published_loads::{COMPLETE_INTERVAL, PublishedLoads};
use flamingo_wire::control::Push;
use flamingo_wire::target::{Limit, Load};
use std::time::Instant;

fn load(target: &str, running: u32) -> Load {
    Load {
        target: target.into(),
        running,
        ..Load::default()
    }
}

/// Guards against targets that count as busy after their requests have ended, or as limited after the
/// limit has.
#[test]
fn loads_and_limits_that_end_are_published() {
    let now = Instant::now();
    let mut published = PublishedLoads::default();
    let limit = Limit {
        incarnation: 1,
        per_s: 5.0,
    };
    let limits = vec![("b".into(), limit)];
    published.next_push(vec![load("a", 3)], limits, now);
    let changes = published.next_push(Vec::new(), Vec::new(), now);
    let ended = vec![load("a", 0), load("b", 0)];
    assert_eq!(changes, Some(Push::LoadChanges(ended)));
    assert_eq!(published.next_push(Vec::new(), Vec::new(), now), None);
}

/// Guards against followers that never learn of a change whose push was lost.
#[test]
fn all_loads_are_published_again_after_the_interval() {
    let now = Instant::now();
    let mut published = PublishedLoads::default();
    let loads = || vec![load("a", 3), load("b", 2)];
    published.next_push(loads(), Vec::new(), now);
    assert_eq!(published.next_push(loads(), Vec::new(), now), None);
    let again = published.next_push(loads(), Vec::new(), now + COMPLETE_INTERVAL);
    assert_eq!(again, Some(Push::Loads(loads())));
}

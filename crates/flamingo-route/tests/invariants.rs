//! Invariants of the router for any order of events, as property tests.

mod harness;

use flamingo_test_support::seed;
use harness::{Event, Harness};
use quickcheck::{Arbitrary, Gen};

/// Number of random histories in CI.
const RUNS: u64 = 1_500;
/// Maximum number of events in one history.
const MAX_EVENTS: usize = 160;

#[derive(Clone, Debug)]
struct History(Vec<Event>);

impl Arbitrary for History {
    fn arbitrary(source: &mut Gen) -> Self {
        Self(Vec::arbitrary(source))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

#[test]
fn the_invariants_hold_for_any_history() {
    fn holds(history: History) -> bool {
        let mut harness = Harness::new();
        for event in history.0 {
            harness.take(event);
        }
        harness.settle();
        true
    }
    seed::check(RUNS, MAX_EVENTS, holds as fn(History) -> bool);
}

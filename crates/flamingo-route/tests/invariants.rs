//! What must hold of the router for any order of events.

mod world;

use flamingo_test_support::seed;
use quickcheck::{Arbitrary, Gen};
use world::{Event, World};

/// Property runs in CI.
const RUNS: u64 = 1_500;
/// Longest history of one run.
const LENGTH: usize = 160;

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
        let mut world = World::new();
        for event in history.0 {
            world.take(event);
        }
        world.settle();
        true
    }
    seed::check(RUNS, LENGTH, holds as fn(History) -> bool);
}

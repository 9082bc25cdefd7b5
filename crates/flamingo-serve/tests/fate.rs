//! What control's messages say of a target whose connections broke.

use flamingo_guard::observer::Fate;
use flamingo_serve::table::Table;
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::target::Registration;
use std::time::{Duration, Instant};

/// When connections to the target broke, in milliseconds.
const BROKEN_AT_MS: u64 = 10_000;

/// A table, and its clock.
struct World {
    table: Table,
    start: Instant,
}

impl World {
    /// The target registers, and control tells of its heartbeats until the connections break.
    fn new() -> Self {
        let mut world = Self {
            table: Table::default(),
            start: Instant::now(),
        };
        world.push(0, &Push::Targets(vec![target()]));
        world.heartbeats(500, BROKEN_AT_MS, "t");
        world
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn push(&mut self, ms: u64, push: &Push) {
        let at = self.at(ms);
        self.table.apply(at, push);
    }

    fn heartbeats(&mut self, from_ms: u64, until_ms: u64, target: &str) {
        for ms in (from_ms..until_ms).step_by(500) {
            self.push(ms, &Push::Unchanged(vec![target.to_owned()]));
        }
    }

    fn fate(&self) -> Fate {
        let life = ("t".to_owned(), target().incarnation);
        self.table.fate(&life, self.at(BROKEN_AT_MS))
    }
}

fn target() -> Registration {
    registration("t")
}

#[test]
fn a_target_whose_heartbeats_go_on_is_alive() {
    let mut world = World::new();
    world.heartbeats(10_000, 15_000, "t");
    assert_eq!(world.fate(), Fate::Unknown);
    world.heartbeats(15_000, 16_000, "t");
    assert_eq!(world.fate(), Fate::Alive);
}

#[test]
fn a_target_whose_heartbeats_end_has_ended() {
    let mut world = World::new();
    world.heartbeats(10_000, 13_000, "u");
    assert_eq!(world.fate(), Fate::Unknown);
    world.heartbeats(13_000, 15_000, "u");
    assert_eq!(world.fate(), Fate::Ended);
}

#[test]
fn a_new_incarnation_has_ended_the_one_before() {
    let mut world = World::new();
    let incarnation = target().incarnation + 1;
    let restarted = Registration {
        incarnation,
        ..target()
    };
    world.push(10_500, &Push::Targets(vec![restarted]));
    assert_eq!(world.fate(), Fate::Ended);
}

#[test]
fn a_list_of_a_new_stream_does_not_withdraw_a_crash() {
    let mut world = World::new();
    let listed = Registration {
        sequence: target().sequence + 20,
        ..target()
    };
    world.push(15_500, &Push::Targets(vec![listed]));
    assert_eq!(world.fate(), Fate::Unknown);
}

#[test]
fn the_first_message_after_a_silence_of_control_ends_no_target() {
    let mut world = World::new();
    world.push(15_000, &Push::Unchanged(Vec::new()));
    assert_eq!(world.fate(), Fate::Unknown);
    world.heartbeats(15_500, 16_500, "t");
    assert_eq!(world.fate(), Fate::Alive);
}

//! What the leader tells operators of the use of quotas.

use flamingo_guard::quota::Terms;
use flamingo_guard::quota::ledger::{Ledger, Level};
use flamingo_wire::quota::{Decision, Grant, Question, Use, Want};
use flamingo_wire::workspace::{Quota, Unit};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(100);
/// Window of the default terms.
const WINDOW: Duration = Duration::from_secs(8);

/// A leader and one entry that asks for requests of a workspace with 10 units a second.
struct World {
    ledger: Ledger,
    now: Instant,
    sequence: u64,
    admitted: f64,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            ledger: Ledger::new(Terms::default(), now, false),
            now,
            sequence: 0,
            admitted: 0.0,
        }
    }

    /// Asks with this usage after one step.
    fn ask(&mut self, usage: Use) -> Grant {
        self.now += STEP;
        self.sequence += 1;
        let question = Question {
            incarnation: 1,
            sequence: self.sequence,
            heard: self.sequence - 1,
            uses: vec![Use {
                workspace: "w".into(),
                ..usage
            }],
        };
        let quota = Quota {
            unit: Unit::Requests,
            per_s: 10.0,
            burst: 10.0,
            plain_units: 0.0,
        };
        let answer = self
            .ledger
            .answer("e", &question, |_| Some(quota), self.now);
        answer.expect("a new question").grants.remove(0)
    }

    /// Asks for as many requests.
    fn want(&mut self, requests: usize) {
        let want = Want {
            units: 1.0,
            returning: false,
        };
        let grant = self.ask(Use {
            wants: vec![want; requests],
            ..Use::default()
        });
        let admitted = grant
            .decisions
            .iter()
            .filter(|of| **of == Decision::Admitted);
        self.admitted += admitted.map(|_| 1.0).sum::<f64>();
    }

    fn level(&mut self) -> Level {
        self.ledger.levels(self.now).remove(0)
    }
}

fn check_near(seen: f64, expected: f64) {
    assert!((seen - expected).abs() < 1e-6, "{seen}, not {expected}");
}

/// Guards against use that is not counted, or counted beyond the window.
#[test]
fn use_is_counted_over_the_last_window() {
    let mut world = World::new();
    for _ in 0..40 {
        world.want(1);
    }
    let level = world.level();
    assert!(world.admitted > 20.0);
    check_near(level.granted, world.admitted);
    assert_eq!(world.ledger.observed(world.now), STEP * 40);
    world.now += WINDOW;
    check_near(world.level().granted, 0.0);
    assert_eq!(world.ledger.observed(world.now), WINDOW);
}

/// Guards against a workspace that is shown to use more than its limit allows, or not shown as over it.
#[test]
fn a_workspace_that_wants_more_than_its_limit_is_shown_with_refusals() {
    let mut world = World::new();
    for _ in 0..200 {
        world.want(3);
    }
    let level = world.level();
    let limit = 10.0 * WINDOW.as_secs_f64();
    assert!(
        (0.9 * limit..1.1 * limit).contains(&level.granted),
        "{level:?}"
    );
    assert!(level.refused > limit, "{level:?}");
}

/// Guards against credit that comes back and still counts as used.
#[test]
fn credit_that_comes_back_is_not_used() {
    let mut world = World::new();
    world.now += WINDOW;
    world.want(0);
    let granted = world.ask(Use {
        ahead: 3.0,
        ..Use::default()
    });
    check_near(granted.credit, 3.0);
    check_near(world.level().granted, 3.0);
    world.ask(Use {
        returned: 2.0,
        held: 0.0,
        ..Use::default()
    });
    check_near(world.level().granted, 1.0);
}

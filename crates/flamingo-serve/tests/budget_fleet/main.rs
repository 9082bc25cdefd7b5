//! All entries together stay within the retry allowance, whatever starts, ends, moves or is cut off.

mod fleet;
mod judge;
mod plan;
mod process;

use flamingo_test_support::seed::{VARIABLE, seed};
use fleet::Fleet;
use plan::{Fault, Plan};

/// Number of generated plans.
const PLANS: u64 = 150;

fn check(name: &str, plan: Plan) {
    let printed = format!("{plan:?}");
    let (judge, wanted) = Fleet::new(plan).play();
    let worst = judge.worst();
    let spent = judge.retries();
    println!("{name}: {worst}, {spent} of {wanted} retries paid");
    assert!(worst.used() <= 1.0, "{name}: {worst} in {printed}");
}

#[test]
fn generated_orders_of_faults_stay_within_the_allowance() {
    let first = seed();
    let mut broken = Vec::new();
    for seed in first..first + PLANS {
        let (judge, _) = Fleet::new(Plan::generated(seed)).play();
        let worst = judge.worst();
        if worst.used() > 1.0 {
            broken.push((worst.used(), seed, worst));
        }
    }
    broken.sort_by(|left, right| right.0.total_cmp(&left.0));
    if let Some((_, seed, worst)) = broken.first() {
        let plan = Plan::generated(*seed);
        let count = broken.len();
        panic!("{count} of {PLANS} plans, worst {VARIABLE}={seed}: {worst} in {plan:?}");
    }
}

#[test]
fn entries_killed_in_turn_share_one_allowance() {
    for every_ms in [1_200, 2_000, 4_500] {
        let plan = Plan::steady(3, 60.0, 40_000).failing_from(0, 1.0);
        check("in turn", plan.kill_in_turn(12_000, every_ms));
    }
}

#[test]
fn entries_killed_at_once_share_one_allowance() {
    let kill = || Fault::Kill {
        places: vec![0, 1, 2],
        down_ms: 200,
    };
    let plan = Plan::steady(3, 60.0, 40_000).failing_from(0, 1.0);
    check("twice", plan.with(15_000, kill()).with(19_000, kill()));
}

#[test]
fn callers_that_move_bring_no_second_allowance() {
    let plan = Plan::steady(4, 60.0, 40_000).failing_from(0, 0.0);
    let first = Fault::Move { places: vec![0, 1] };
    let then = Fault::Move { places: vec![2, 3] };
    let crash = || Fault::Crash { share: 1.0 };
    let plan = plan.with(0, first).with(18_000, crash());
    check("moved", plan.with(18_100, then).with(27_900, crash()));
}

#[test]
fn entries_that_join_at_once_share_one_allowance() {
    let plan = Plan::steady(3, 25.0, 40_000).failing_from(0, 1.0);
    let plan = Plan {
        max_entries: 62,
        ..plan
    };
    check("joined", plan.with(14_000, Fault::Join { count: 59 }));
}

#[test]
fn requests_that_are_read_after_a_freeze_bring_no_second_allowance() {
    // Five of eight entries are frozen for 14.75 s while the traffic falls.
    check("frozen", Plan::generated(117));
}

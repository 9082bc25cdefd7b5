//! Random network faults, restarts and changes of the leader must not violate the invariants of
//! the memory account.

mod world;

use flamingo_test_support::seed;
use quickcheck::TestResult;
use world::World;

const TESTS: u64 = 400;
const STEPS: usize = 1_000;

fn check(fenced: [bool; 3], steps: Vec<(u8, u8, u8)>) -> TestResult {
    let mut world = World::new(fenced);
    for (op, a, b) in steps {
        world.act(op, a, b);
        if let Some(violation) = world.violation() {
            return TestResult::error(violation);
        }
    }
    TestResult::passed()
}

fn fenced(steps: Vec<(u8, u8, u8)>) -> TestResult {
    check([true, true, true], steps)
}

fn unfenced(steps: Vec<(u8, u8, u8)>) -> TestResult {
    check([false, false, false], steps)
}

fn mixed(steps: Vec<(u8, u8, u8)>) -> TestResult {
    check([true, false, true], steps)
}

fn recovers(steps: Vec<(u8, u8, u8)>) -> TestResult {
    let mut world = World::new([true, true, true]);
    for (op, a, b) in steps {
        world.act(op, a, b);
    }
    world.run_without_faults();
    if let Some(violation) = world.violation() {
        return TestResult::error(violation);
    }
    for model in &world.set.models {
        let mut engines = world.engines.iter();
        let wanted = |engine: &world::engine::SimulatedEngine| {
            let mut copies = engine.resident.keys();
            copies.any(|copy| copy.model == model.name && copy.version == model.version)
        };
        if !engines.any(wanted) {
            return TestResult::error(format!(
                "no engine has {} {} resident",
                model.name, model.version
            ));
        }
    }
    TestResult::passed()
}

#[test]
fn fenced_engines_are_never_over_committed() {
    seed::check(TESTS, STEPS, fenced as fn(_) -> _);
}

#[test]
fn unfenced_engines_are_never_over_committed() {
    seed::check(TESTS, STEPS, unfenced as fn(_) -> _);
}

#[test]
fn a_mixed_fleet_is_never_over_committed() {
    seed::check(TESTS, STEPS, mixed as fn(_) -> _);
}

#[test]
fn every_model_is_resident_again_once_the_network_works() {
    seed::check(TESTS / 4, STEPS, recovers as fn(_) -> _);
}

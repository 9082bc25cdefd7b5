//! Starts of loads from the weight store, in virtual time.

use flamingo_control::controller::engine::Key;
use flamingo_control::controller::store::{Ceiling, Loads};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CEILING: Ceiling = Ceiling {
    loads: 4.0,
    window: Duration::from_secs(5),
};
const STEP: Duration = Duration::from_millis(100);

fn key(target: &str, incarnation: u64) -> Key {
    Key {
        target: target.into(),
        incarnation,
        fence: 1,
    }
}

/// Returns when loads start that are planned whenever one may be, and that wait for unloads of
/// these lengths in turn.
fn simulate(unloads: &[Duration]) -> Vec<Instant> {
    let begin = Instant::now();
    let mut loads = Loads::default();
    let (mut started, mut waiting) = (Vec::new(), BTreeMap::new());
    let mut unloads = unloads.iter().cycle().enumerate();
    for step in 0..600 {
        let now = begin + STEP * step;
        while loads.available(CEILING, 0, now) >= 1.0 {
            let (number, unload) = unloads.next().expect("a cycle does not end");
            let key = key(&format!("engine-{number}"), 1);
            loads.plan(key.clone());
            waiting.insert(key, now + *unload);
        }
        for (key, _) in waiting.extract_if(.., |_, ready| *ready <= now) {
            loads.begin(&key, now);
            started.push(now);
        }
    }
    started
}

fn most_in_a_window(started: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let later = started.iter().filter(|at| *at >= from);
        later.filter(|at| **at < *from + CEILING.window).count()
    };
    started.iter().map(within).max().unwrap_or(0)
}

#[test]
fn long_unloads_do_not_let_loads_start_above_the_ceiling() {
    for long in 0..15 {
        let long = Duration::from_secs(long);
        let unloads = [[long; 4], [Duration::ZERO; 4]].concat();
        assert!(most_in_a_window(&simulate(&unloads)) <= 4, "{long:?}");
    }
}

#[test]
fn loads_without_unloads_use_the_ceiling() {
    // Four loads in each of the twelve windows of a minute.
    assert_eq!(simulate(&[Duration::ZERO]).len(), 48);
}

#[test]
fn a_load_that_an_earlier_incarnation_cancels_frees_its_own_place_only() {
    let now = Instant::now();
    let mut loads = Loads::default();
    loads.plan(key("engine", 1));
    loads.plan(key("engine", 2));
    loads.cancel(&key("engine", 1));
    let left = loads.available(CEILING, 0, now);
    assert!((left - 3.0).abs() < 1e-9, "{left}");
}

/// Time in which the log records a load.
const COMMIT_TIME: Duration = Duration::from_millis(300);

#[test]
fn a_load_that_is_not_recorded_yet_counts_beside_those_of_an_earlier_leader() {
    let begin = Instant::now();
    let earlier: Vec<Instant> = (0..3).map(|number| begin + STEP * number).collect();
    let takeover = begin + STEP * 3;
    let mut loads = Loads::default();
    loads.adopt(earlier.iter().map(|at| takeover - *at), takeover);
    let mut started = earlier.clone();
    for step in 3..600 {
        let now = begin + STEP * step;
        let recorded = started.iter().enumerate().filter(|(index, at)| {
            let committed = *index < earlier.len() || now >= **at + COMMIT_TIME;
            committed && now < **at + CEILING.window
        });
        let recorded = recorded.count();
        if loads.available(CEILING, recorded, now) >= 1.0 {
            let key = key(&format!("engine-{step}"), 1);
            loads.plan(key.clone());
            loads.begin(&key, now);
            started.push(now);
        }
    }
    let most = most_in_a_window(&started);
    assert!(most <= 4, "{most} loads in a window that allows 4");
    assert!(started.len() >= 45, "{} loads in a minute", started.len());
}

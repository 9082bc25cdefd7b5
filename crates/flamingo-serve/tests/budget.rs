//! Repeats of all entries together stay within their allowance.

use flamingo_serve::budget::{Allowance, Budget};
use quickcheck::{TestResult, quickcheck};
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

fn allowance() -> Allowance {
    Allowance {
        ratio: 0.2,
        slack: 56.0,
        window: WINDOW,
    }
}

#[test]
fn a_storm_of_repeats_at_many_entries_stays_within_the_slack() {
    let now = Instant::now();
    let entries = 64;
    let mut sent = 0;
    for _ in 0..entries {
        let mut budget = Budget::new(allowance());
        sent += (0..100).filter(|_| budget.repeat(now, entries)).count();
    }
    assert!(sent <= 56, "{sent}");
}

#[test]
fn one_entry_alone_spends_most_of_the_slack() {
    let mut budget = Budget::new(allowance());
    let now = Instant::now();
    let sent = (0..100).filter(|_| budget.repeat(now, 1)).count();
    assert!((40..=56).contains(&sent), "{sent}");
}

#[test]
fn what_left_the_window_may_be_spent_again() {
    let mut budget = Budget::new(allowance());
    let now = Instant::now();
    while budget.repeat(now, 1) {}
    assert!(!budget.repeat(now + WINDOW, 1));
    assert!(budget.repeat(now + WINDOW * 2, 1));
}

quickcheck! {
    fn no_window_holds_more_repeats_than_allowed(steps: Vec<(u16, bool)>) -> TestResult {
        let start = Instant::now();
        let mut now = start;
        let mut budget = Budget::new(allowance());
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (pause, request) in steps {
            now += Duration::from_millis(u64::from(pause % 700));
            if request {
                budget.request(now);
                requests.push(now);
            } else if budget.repeat(now, 2) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let within = |at: &&Instant| **at <= *end && *end < **at + WINDOW;
            let spent = repeats.iter().filter(within).count();
            let earlier = |at: &&Instant| **at <= *end && *end < **at + WINDOW * 2;
            let asked = requests.iter().filter(earlier).count();
            let most = 0.2 * f64::from(u32::try_from(asked).unwrap_or(0)) + 28.0;
            if f64::from(u32::try_from(spent).unwrap_or(u32::MAX)) > most {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
}

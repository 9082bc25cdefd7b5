//! The retries of all entries together stay within their allowance.

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
fn retries_of_many_entries_stay_within_the_slack() {
    let now = Instant::now();
    let entries = 64;
    let mut sent = 0;
    for _ in 0..entries {
        let mut budget = Budget::new(allowance());
        sent += (0..100)
            .filter(|_| budget.try_retry(now, Some(entries)).is_ok())
            .count();
    }
    assert!(sent <= 56, "{sent} retries sent with a slack of 56");
}

#[test]
fn one_entry_alone_spends_most_of_the_slack() {
    let mut budget = Budget::new(allowance());
    let now = Instant::now();
    let sent = (0..100)
        .filter(|_| budget.try_retry(now, Some(1)).is_ok())
        .count();
    assert!(
        (40..=56).contains(&sent),
        "{sent} retries sent with a slack of 56"
    );
}

#[test]
fn what_left_the_window_may_be_spent_again() {
    let mut budget = Budget::new(allowance());
    let now = Instant::now();
    while budget.try_retry(now, Some(1)).is_ok() {}
    assert!(budget.try_retry(now + WINDOW, Some(1)).is_err());
    assert!(budget.try_retry(now + WINDOW * 2, Some(1)).is_ok());
}

quickcheck! {
    fn no_window_has_more_retries_than_allowed(steps: Vec<(u16, bool)>) -> TestResult {
        let start = Instant::now();
        let mut now = start;
        let mut budget = Budget::new(allowance());
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (pause_ms, is_request) in steps {
            now += Duration::from_millis(u64::from(pause_ms % 700));
            if is_request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_retry(now, Some(2)).is_ok() {
                retries.push(now);
            }
        }
        for end in &retries {
            let in_window = |at: &&Instant| **at <= *end && *end < **at + WINDOW;
            let spent = retries.iter().filter(in_window).count();
            let in_two_windows = |at: &&Instant| **at <= *end && *end < **at + WINDOW * 2;
            let counted = requests.iter().filter(in_two_windows).count();
            let max_retries = 0.2 * f64::from(u32::try_from(counted).unwrap_or(0)) + 28.0;
            if f64::from(u32::try_from(spent).unwrap_or(u32::MAX)) > max_retries {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
}

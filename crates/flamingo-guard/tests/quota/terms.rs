//! What is derived from the window, the overage and the slack.

use flamingo_guard::quota::{Allowance, Problem, Terms};
use std::time::Duration;

/// A short window with little overage and slack.
pub const SHORT: Allowance = Allowance {
    window: Duration::from_secs(4),
    overage: 0.05,
    slack: 3_000.0,
};
/// A long window without slack.
pub const LONG: Allowance = Allowance {
    window: Duration::from_secs(20),
    overage: 0.2,
    slack: 0.0,
};

/// Guards against settings whose defaults change how quotas are kept.
#[test]
fn the_default_terms_are_those_before_there_were_settings() {
    let terms = Terms::new(Allowance::default()).expect("enforceable");
    assert_eq!(terms, Terms::default());
    let times = [
        terms.credit_lifetime,
        terms.send_timeout,
        terms.share_send_timeout,
        terms.answer_timeout,
        terms.question_interval,
    ];
    assert_eq!(
        times.map(|time| time.as_micros()),
        [500_000, 500_000, 100_000, 150_000, 200_000]
    );
    let amounts = [
        (terms.share_saving_s, 0.4),
        (terms.share_saving_tokens, 5_000.0),
        (terms.reserve_s, 0.3),
        (terms.reserve_tokens, 5_000.0),
        (terms.max_debt_tokens, 6_000.0),
    ];
    for (derived, earlier) in amounts {
        assert!((derived - earlier).abs() < 1e-9, "{derived}, not {earlier}");
    }
}

/// Guards against credit and requests on their way that outlive a lowered limit by more than a window.
#[test]
fn a_large_overage_does_not_outlive_the_window() {
    let allowance = Allowance {
        overage: 3.0,
        ..SHORT
    };
    let terms = Terms::new(allowance).expect("enforceable");
    assert!(terms.credit_lifetime + terms.send_timeout <= allowance.window);
}

/// Guards against a start with settings under which each request would be refused.
fn is_refused(allowance: Allowance, problem: Problem) {
    assert_eq!(Terms::new(allowance), Err(problem));
}

flamingo_test_support::cases! { is_refused:
    no_window_is_refused(Allowance { window: Duration::ZERO, ..SHORT }, Problem::Tolerance(0.0));
    no_overage_is_refused(Allowance { overage: 0.0, ..SHORT }, Problem::Tolerance(0.0));
    too_little_overage_is_refused(Allowance { overage: 0.01, ..SHORT }, Problem::Tolerance(0.04));
    more_overage_than_counts_is_refused(Allowance { window: Duration::from_millis(100), overage: 1.0, ..SHORT }, Problem::Tolerance(0.05));
    a_negative_slack_is_refused(Allowance { slack: -1.0, ..SHORT }, Problem::Slack(-1.0));
}

//! Evidence that waits, or whose report failed, must not look younger than it is.

use flamingo_link::report::PendingReport;
use flamingo_wire::prompt::{Answered, Crash, Evidence, Quarantine};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// A crash of this age, a quarantine that lasts as long again, and one answer.
fn evidence(age_ms: u64) -> Evidence {
    Evidence {
        answered: vec![Answered {
            service: "s".into(),
            parts: vec![(1, 1)],
        }],
        crashes: vec![Crash {
            service: "s".into(),
            target: "t".into(),
            incarnation: 1,
            age_ms,
            exposures: Vec::new(),
        }],
        quarantines: vec![Quarantine {
            service: "s".into(),
            part: 1,
            remaining_ms: age_ms,
        }],
        ..Evidence::default()
    }
}

/// Returns the ages of crashes and the remaining times of quarantines, in order.
fn times(evidence: &Evidence) -> (Vec<u64>, Vec<u64>) {
    let crashes = evidence.crashes.iter().map(|crash| crash.age_ms);
    let quarantines = evidence.quarantines.iter();
    let mut times = (
        crashes.collect::<Vec<_>>(),
        quarantines.map(|of| of.remaining_ms).collect::<Vec<_>>(),
    );
    times.0.sort_unstable();
    times.1.sort_unstable();
    times
}

macro_rules! cases {
    ($($name:ident: $scenario:expr;)*) => {
        $(#[test]
        fn $name() {
            let scenario: fn(&mut PendingReport, Instant) = $scenario;
            scenario(&mut PendingReport::default(), Instant::now());
        })*
    };
}

cases! {
    evidence_that_waits_keeps_its_times: |pending, start| {
        pending.add_evidence(evidence(3_000), start);
        let sent = pending.take_evidence(start + SECOND);
        assert_eq!(times(&sent), (vec![4_000], vec![2_000]));
    };
    evidence_of_failed_reports_keeps_its_times: |pending, start| {
        pending.add_evidence(evidence(8_000), start);
        for tries in 1..4 {
            let sent = pending.take_evidence(start + SECOND * tries);
            pending.add_evidence(sent, start + SECOND * tries);
        }
        let sent = pending.take_evidence(start + SECOND * 5);
        assert_eq!(times(&sent), (vec![13_000], vec![3_000]));
    };
    newer_evidence_makes_that_of_a_failed_report_younger: |pending, start| {
        pending.add_evidence(evidence(5_000), start);
        let failed = pending.take_evidence(start);
        pending.add_evidence(evidence(4_000), start + SECOND * 2);
        pending.add_evidence(failed, start);
        let sent = pending.take_evidence(start + SECOND * 3);
        assert_eq!(times(&sent), (vec![5_000, 8_000], vec![2_000, 3_000]));
    };
    evidence_of_a_failed_report_ages_what_is_newer: |pending, start| {
        pending.add_evidence(evidence(5_000), start);
        pending.add_evidence(evidence(4_000), start + SECOND * 2);
        let sent = pending.take_evidence(start + SECOND * 2);
        assert_eq!(times(&sent), (vec![4_000, 7_000], vec![3_000, 4_000]));
    };
    a_quarantine_that_ended_meanwhile_is_sent: |pending, start| {
        pending.add_evidence(evidence(1_000), start);
        let sent = pending.take_evidence(start + SECOND);
        assert_eq!(times(&sent), (vec![2_000], vec![]));
    };
    answers_of_a_failed_report_are_lost: |pending, start| {
        pending.add_evidence(evidence(1_000), start);
        let failed = pending.take_evidence(start);
        pending.add_evidence(failed, start);
        let sent = pending.take_evidence(start + SECOND);
        assert_eq!(sent.answered, evidence(1_000).answered);
    };
}

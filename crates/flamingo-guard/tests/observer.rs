//! Answers whose reports are lost, again and again, must not fill the memory of an entry.

use flamingo_guard::observer::{MAX_ANSWERED_PARTS, Observer};
use flamingo_wire::prompt::{Evidence, PartId};
use std::collections::BTreeMap;
use std::time::Instant;

const FULL: u64 = MAX_ANSWERED_PARTS as u64;

/// Records one answer of each of these parts.
fn answer(observer: &mut Observer, parts: impl Iterator<Item = PartId>) {
    observer.record_answered("s", &parts.collect::<Vec<_>>(), 0);
}

/// Takes a report for a leader.
fn report(observer: &mut Observer) -> Evidence {
    observer.take_evidence("control-1", Instant::now())
}

/// Returns the answers that wait to be reported, by part.
fn waiting(observer: &mut Observer) -> BTreeMap<PartId, u32> {
    let answered = report(observer).answered;
    answered.into_iter().flat_map(|of| of.parts).collect()
}

macro_rules! cases {
    ($($name:ident: $scenario:expr;)*) => {
        $(#[test]
        fn $name() {
            let scenario: fn(&mut Observer) = $scenario;
            scenario(&mut Observer::default());
        })*
    };
}

cases! {
    answers_of_lost_reports_grow_without_bound: |observer| {
        for round in 0..4 {
            let lost = report(observer);
            answer(observer, round * FULL..(round + 1) * FULL);
            observer.return_answered(lost);
        }
        assert!(waiting(observer).len() <= MAX_ANSWERED_PARTS);
    };
    one_lost_report_beside_new_answers_exceeds_the_bound: |observer| {
        answer(observer, 0..FULL);
        let lost = report(observer);
        answer(observer, FULL..=FULL);
        observer.return_answered(lost);
        assert_eq!(waiting(observer).len(), MAX_ANSWERED_PARTS);
    };
    a_lost_report_loses_answers_of_parts_that_are_counted: |observer| {
        answer(observer, 0..FULL);
        let lost = report(observer);
        answer(observer, 0..FULL);
        observer.return_answered(lost);
        let waiting = waiting(observer);
        assert_eq!(waiting.len(), MAX_ANSWERED_PARTS);
        assert!(waiting.values().all(|count| *count == 2));
    };
    a_lost_report_loses_answers_where_there_is_room: |observer| {
        answer(observer, 0..3);
        let lost = report(observer);
        answer(observer, 2..4);
        observer.return_answered(lost);
        assert_eq!(waiting(observer), [(0, 1), (1, 1), (2, 2), (3, 1)].into());
    };
}

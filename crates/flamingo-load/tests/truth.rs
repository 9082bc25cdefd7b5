//! Answers checked against what truly ran.

use flamingo_load::drive::{Answer, End, Sent};
use flamingo_load::plan::{Call, Item, Kind};
use flamingo_load::truth::{Record, Truth};
use flamingo_test_support::cases;
use flamingo_wire::Verdict;
use std::time::Duration;

const WORD: &str = "q1n0z";

/// Checks a keyed call with these answers that ran `runs` times; the numbers
/// are lost, doubled, foreign, falsely not run and contradicted.
fn found(ends: &[End], runs: u32, expected: [u32; 5]) {
    let answer = |end: &End| Answer {
        end: *end,
        first: None,
        last: Duration::ZERO,
        tokens: 0,
        retry_after: None,
    };
    let call = Call {
        name: "confirmation".into(),
        method: "POST".into(),
        path: "/services/rostering/confirm?delay_ms=0".into(),
        keyed: true,
        resend: false,
    };
    let sent = Sent {
        item: Item {
            word: WORD.into(),
            at: Duration::ZERO,
            kind: Kind::Call(call),
        },
        answers: ends.iter().map(answer).collect(),
        redialled: 0,
    };
    let mut record = Record::default();
    (0..runs).for_each(|_| record.add(WORD));
    let truth = record.check(&[sent]);
    let Truth {
        lost,
        doubled,
        foreign,
        falsely_not_run,
        contradicted,
        ..
    } = truth;
    assert_eq!(
        [lost, doubled, foreign, falsely_not_run, contradicted],
        expected
    );
}

const NOT_RUN: End = End::Refused(Verdict::NotRun);
const MAY: End = End::Refused(Verdict::MayHaveRun);

cases! { found:
    answered_and_ran(&[End::Whole], 1, [0; 5]);
    answered_and_never_ran(&[End::Whole], 0, [1, 0, 0, 0, 0]);
    ran_twice(&[End::Whole, End::Whole], 2, [0, 1, 0, 0, 0]);
    another_answer(&[End::Foreign], 1, [0, 0, 1, 0, 0]);
    refused_and_did_not_run(&[NOT_RUN, NOT_RUN], 0, [0; 5]);
    refused_as_not_run_and_ran(&[NOT_RUN], 1, [0, 0, 0, 1, 0]);
    may_have_run_and_ran(&[MAY, MAY], 1, [0; 5]);
    resend_refused_after_the_call_ran(&[End::Whole, NOT_RUN], 1, [0, 0, 0, 0, 1]);
    resent_after_not_run_and_ran(&[NOT_RUN, End::Whole], 1, [0; 5]);
    broken_off_and_ran(&[End::Broken], 1, [0; 5]);
}

#[test]
fn a_record_is_read_from_its_file() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("ran.jsonl");
    let lines = r#"{"body":"{\"prompt\":\"query\necho:q1n0z\"}"}
{"body":"{\"id\":\"q1n1z\"}"}
"#;
    std::fs::write(&path, lines).unwrap();
    let record = Record::open(&[path]).unwrap();
    let mut other = Record::default();
    other.add("q1n0z");
    other.add("q1n1z");
    assert_eq!(record, other);
}

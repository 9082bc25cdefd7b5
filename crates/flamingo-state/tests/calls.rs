//! The ledger of calls that must not run twice.

use flamingo_state::calls::{ANSWER_RETENTION, MAX_BODY_BYTES, TOMBSTONE_RETENTION};
use flamingo_state::{Command, Stamped, State};
use flamingo_test_support::seed;
use flamingo_wire::Verdict;
use flamingo_wire::control::{Answer, Call, Grant, Reply};
use flamingo_wire::fault::Reason;
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

struct Ledger {
    state: State,
    now: SystemTime,
}

impl Ledger {
    fn new() -> Self {
        let now = SystemTime::UNIX_EPOCH + Duration::from_hours(480_000);
        let state = State::default();
        Self { state, now }
    }

    fn apply(&mut self, command: Command) -> Reply {
        let at = self.now;
        self.state.apply(Stamped { at, command })
    }

    fn begin(&mut self, key: &str, digest: u8, request: &str) -> Reply {
        self.apply(Command::Begin(Call {
            service: "rota".into(),
            key: key.into(),
            digest: vec![digest],
            request: request.into(),
        }))
    }

    fn finish(&mut self, key: &str, request: &str, verdict: Verdict, body: &[u8]) -> Reply {
        self.apply(Command::Finish(answer(key, request, verdict, body)))
    }
}

fn answer(key: &str, request: &str, verdict: Verdict, body: &[u8]) -> Answer {
    Answer {
        service: "rota".into(),
        key: key.into(),
        request: request.into(),
        verdict,
        status: 200,
        content: "text/plain".into(),
        body: Some(body.to_vec()),
    }
}

const DISPATCH: Reply = Reply::Grant(Grant::Dispatch);
const PENDING: Reply = Reply::Grant(Grant::Pending);

fn reason(reply: &Reply) -> Option<Reason> {
    match reply {
        Reply::Refused(fault) => Some(fault.reason),
        _ => None,
    }
}

#[test]
fn only_the_named_attempt_dispatches() {
    let mut ledger = Ledger::new();
    assert_eq!(ledger.begin("k", 1, "a"), DISPATCH);
    assert_eq!(ledger.begin("k", 1, "b"), PENDING);
    // The same attempt resends its begin because the reply was lost.
    assert_eq!(ledger.begin("k", 1, "a"), DISPATCH);
    assert_eq!(
        ledger.finish("k", "a", Verdict::Ran, b"done"),
        Reply::Acknowledged
    );
    let kept = answer("k", "a", Verdict::Ran, b"done");
    assert_eq!(
        ledger.begin("k", 1, "b"),
        Reply::Grant(Grant::Answered(kept))
    );
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    let mut ledger = Ledger::new();
    ledger.begin("k", 1, "a");
    assert_eq!(reason(&ledger.begin("k", 2, "b")), Some(Reason::Reused));
}

#[test]
fn a_call_that_did_not_run_may_be_tried_again() {
    let mut ledger = Ledger::new();
    ledger.begin("k", 1, "a");
    ledger.finish("k", "a", Verdict::NotRun, b"");
    assert_eq!(ledger.begin("k", 1, "b"), DISPATCH);
    assert_eq!(ledger.begin("k", 1, "c"), PENDING);
    // The first attempt's answer comes late and changes nothing.
    let late = ledger.finish("k", "a", Verdict::Ran, b"");
    assert_eq!(reason(&late), Some(Reason::Conflict));
}

#[test]
fn a_large_body_is_not_recorded() {
    let mut ledger = Ledger::new();
    ledger.begin("k", 1, "a");
    ledger.finish("k", "a", Verdict::Ran, &vec![0; MAX_BODY_BYTES + 1]);
    let Reply::Grant(Grant::Answered(kept)) = ledger.begin("k", 1, "b") else {
        panic!("not answered");
    };
    assert_eq!(
        (kept.verdict, kept.status, kept.body),
        (Verdict::Ran, 200, None)
    );
}

#[test]
fn a_late_resend_is_refused_and_not_run() {
    let mut ledger = Ledger::new();
    ledger.begin("k", 1, "a");
    ledger.finish("k", "a", Verdict::Ran, b"done");
    ledger.now += ANSWER_RETENTION + Duration::from_secs(1);
    let Reply::Refused(fault) = ledger.begin("k", 1, "b") else {
        panic!("it ran again");
    };
    assert_eq!(
        (fault.reason, fault.verdict),
        (Reason::Reused, Verdict::Ran)
    );
    let calls = &ledger.state.calls;
    assert_eq!((calls.records(), calls.tombstones()), (0, 1));
}

#[test]
fn a_key_with_a_creation_time_is_refused_after_its_tombstone_expires() {
    let mut ledger = Ledger::new();
    let since = ledger.now.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let hex = format!("{:012x}", since.as_millis());
    let key = format!("{}-{}-7abc-8def-0123456789ab", &hex[..8], &hex[8..]);
    assert_eq!(ledger.begin(&key, 1, "a"), DISPATCH);
    ledger.now += TOMBSTONE_RETENTION * 2;
    assert_eq!(reason(&ledger.begin(&key, 1, "b")), Some(Reason::Reused));
    assert_eq!(ledger.state.calls.tombstones(), 0);
}

#[test]
fn a_clock_that_goes_back_expires_nothing_early() {
    let mut ledger = Ledger::new();
    ledger.begin("k", 1, "a");
    ledger.now -= Duration::from_hours(100);
    assert_eq!(ledger.begin("k", 1, "b"), PENDING);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Begin(u8, u8),
    Finish(u8, u8),
    Pass(u8),
    Restore,
}

impl Arbitrary for Op {
    fn arbitrary(source: &mut Gen) -> Self {
        let key = u8::arbitrary(source) % 4;
        match u8::arbitrary(source) % 10 {
            0..=4 => Self::Begin(key, u8::arbitrary(source) % 6),
            5..=7 => Self::Finish(key, u8::arbitrary(source) % 3),
            8 => Self::Pass(u8::arbitrary(source)),
            _ => Self::Restore,
        }
    }
}

/// Whether a second attempt of a key is granted only after the first reported that it did
/// not run.
fn at_most_one_runs(ops: Vec<Op>) -> bool {
    let mut ledger = Ledger::new();
    let limit = ledger.now + TOMBSTONE_RETENTION - Duration::from_secs(1);
    let mut running: BTreeMap<u8, u8> = BTreeMap::new();
    for op in ops {
        match op {
            Op::Begin(key, request) => {
                let reply = ledger.begin(&key.to_string(), 1, &request.to_string());
                if reply != DISPATCH {
                    continue;
                }
                let before = running.insert(key, request);
                if before.is_some_and(|other| other != request) {
                    return false;
                }
            }
            Op::Finish(key, verdict) => {
                let verdicts = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
                let verdict = verdicts[usize::from(verdict)];
                let Some(request) = running.get(&key).copied() else {
                    continue;
                };
                // Only the first answer of an attempt may end it; a later "not run" must
                // not free the key.
                let open = ledger.begin(&key.to_string(), 1, "stranger") == PENDING;
                ledger.finish(&key.to_string(), &request.to_string(), verdict, b"");
                if open && verdict == Verdict::NotRun {
                    running.remove(&key);
                }
            }
            Op::Pass(hours) => {
                // A key without a creation time is recognised only until its tombstone is
                // dropped.
                let later = ledger.now + Duration::from_hours(u64::from(hours) / 4);
                ledger.now = later.min(limit);
            }
            Op::Restore => {
                let bytes = ledger.state.encode().unwrap();
                ledger.state = State::decode(&bytes).unwrap();
            }
        }
    }
    true
}

#[test]
fn at_most_one_attempt_of_a_key_runs() {
    seed::check(2_000, 200, at_most_one_runs as fn(Vec<Op>) -> bool);
}

//! When an entry counts as isolated from its targets.

use flamingo_serve::isolation::{Change, Failure, Isolation, Reach, Success};
use std::time::{Duration, Instant};

/// Number of targets that the entry of each test knows.
const KNOWN: usize = 20;

/// The state of an entry, with a clock.
struct Entry {
    isolation: Isolation,
    started_at: Instant,
    known: usize,
}

impl Entry {
    fn new(known: usize) -> Self {
        let started_at = Instant::now();
        Self {
            isolation: Isolation::new(started_at),
            started_at,
            known,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.started_at + Duration::from_millis(ms)
    }

    fn fail(&mut self, target: &str, failure: Failure, ms: u64) -> Option<Change> {
        let now = self.at(ms);
        self.isolation
            .record_failure(target, failure, self.known, now)
    }

    fn refuse(&mut self, target: &str, ms: u64) -> Option<Change> {
        self.fail(target, Failure::Unreached, ms)
    }

    fn succeed(&mut self, target: &str, success: Success, ms: u64) -> Option<Change> {
        let now = self.at(ms);
        self.isolation.record_success(target, success, now)
    }

    fn reach(&self) -> Reach {
        self.isolation.reach(self.known)
    }
}

#[test]
fn an_entry_that_reaches_none_of_three_targets_is_isolated() {
    let mut entry = Entry::new(KNOWN);
    assert_eq!(entry.refuse("a", 1_000), None);
    assert_eq!(entry.refuse("b", 1_100), None);
    assert_eq!(entry.reach(), Reach::Reaching);
    assert_eq!(entry.refuse("c", 1_300), None);
    assert_eq!(entry.reach(), Reach::Suspected);
    let change = entry.refuse("a", 1_500);
    let expected = Change::Isolated {
        failed: 3,
        answering: 0,
        quiet: Duration::from_millis(1_500),
    };
    assert_eq!(change, Some(expected));
    assert_eq!(entry.reach(), Reach::Isolated);
    assert_eq!(entry.refuse("d", 1_600), None, "said once");
}

#[test]
fn silence_counts_as_a_failure() {
    let mut entry = Entry::new(KNOWN);
    for (target, ms) in [("a", 0), ("b", 300), ("c", 600)] {
        entry.fail(target, Failure::Unanswered, ms);
    }
    assert_eq!(entry.reach(), Reach::Isolated);
}

#[test]
fn one_target_that_fails_often_does_not_isolate() {
    let mut entry = Entry::new(KNOWN);
    for ms in 0..5_000 {
        entry.refuse("a", ms);
    }
    assert_eq!(entry.reach(), Reach::Reaching);
}

#[test]
fn failures_of_one_moment_do_not_isolate() {
    let mut entry = Entry::new(KNOWN);
    for (target, ms) in [("a", 0), ("b", 5), ("c", 10), ("d", 399)] {
        entry.refuse(target, ms);
    }
    assert_eq!(entry.reach(), Reach::Suspected);
}

#[test]
fn an_entry_that_knows_two_targets_is_isolated_from_both() {
    let mut entry = Entry::new(2);
    entry.refuse("a", 0);
    entry.refuse("a", 500);
    assert_eq!(entry.reach(), Reach::Reaching);
    entry.refuse("b", 600);
    assert_eq!(entry.reach(), Reach::Isolated);
}

#[test]
fn an_accepted_connection_ends_an_isolation_and_all_suspicion() {
    let mut entry = Entry::new(KNOWN);
    for (target, ms) in [("a", 0), ("b", 300), ("c", 600)] {
        entry.refuse(target, ms);
    }
    let change = entry.succeed("d", Success::Connected, 2_600);
    let lasted = Duration::from_secs(2);
    assert_eq!(change, Some(Change::Reaching { lasted }));
    assert_eq!(entry.reach(), Reach::Reaching);
    entry.refuse("a", 2_700);
    entry.refuse("b", 3_700);
    assert_eq!(
        entry.reach(),
        Reach::Reaching,
        "earlier failures don't count"
    );
}

#[test]
fn an_answer_on_an_open_connection_does_not_end_an_isolation() {
    let mut entry = Entry::new(KNOWN);
    for (target, ms) in [("a", 0), ("b", 300), ("c", 600)] {
        entry.refuse(target, ms);
    }
    assert_eq!(entry.succeed("d", Success::Answered, 700), None);
    assert_eq!(entry.reach(), Reach::Isolated);
}

#[test]
fn time_alone_does_not_end_an_isolation() {
    let mut entry = Entry::new(KNOWN);
    for (target, ms) in [("a", 0), ("b", 300), ("c", 600)] {
        entry.refuse(target, ms);
    }
    assert!(entry.isolation.begin_probes(entry.at(600_000)) > 0);
    assert_eq!(entry.reach(), Reach::Isolated);
}

#[test]
fn half_of_the_targets_can_crash_while_open_connections_serve_the_others() {
    let mut entry = Entry::new(KNOWN);
    // Only the crashed ones are dialled, as the others have open connections.
    for round in 0..50 {
        for crashed in 0..10 {
            entry.refuse(&format!("crashed-{crashed}"), round * 100);
        }
        for sound in 0..10 {
            entry.succeed(
                &format!("sound-{sound}"),
                Success::Answered,
                round * 100 + 1,
            );
        }
    }
    assert_eq!(entry.reach(), Reach::Reaching);
}

#[test]
fn targets_that_answer_and_refuse_new_connections_isolate() {
    let mut entry = Entry::new(KNOWN);
    let targets: Vec<_> = (0..10).map(|index| format!("t-{index}")).collect();
    for ms in [0, 300, 600] {
        entry.refuse("t-0", ms);
        for target in &targets {
            entry.succeed(target, Success::Answered, ms + 1);
        }
    }
    entry.refuse("t-1", 700);
    assert_eq!(entry.reach(), Reach::Reaching);
    let change = entry.refuse("t-2", 710);
    let expected = Change::Isolated {
        failed: 3,
        answering: 10,
        quiet: Duration::from_millis(710),
    };
    assert_eq!(change, Some(expected));
}

#[test]
fn a_silent_target_that_answers_after_all_counts_no_more() {
    let mut entry = Entry::new(KNOWN);
    entry.fail("a", Failure::Unanswered, 0);
    entry.fail("b", Failure::Unanswered, 300);
    entry.succeed("a", Success::Answered, 400);
    entry.fail("c", Failure::Unanswered, 600);
    assert_eq!(entry.reach(), Reach::Reaching);
}

#[test]
fn an_idle_entry_probes_now_and_then_and_is_not_isolated() {
    let mut entry = Entry::new(KNOWN);
    let mut probes = 0;
    for ms in (0..60_000).step_by(50) {
        let now = entry.at(ms);
        let count = entry.isolation.begin_probes(now);
        probes += count;
        if count > 0 {
            entry.succeed("a", Success::Connected, ms + 1);
        }
    }
    assert_eq!(entry.reach(), Reach::Reaching);
    assert!((60..=90).contains(&probes), "{probes} in a minute");
}

#[test]
fn a_busy_entry_does_not_probe() {
    let mut entry = Entry::new(KNOWN);
    for ms in (0..10_000).step_by(50) {
        entry.succeed("a", Success::Answered, ms);
        assert_eq!(entry.isolation.begin_probes(entry.at(ms)), 0);
    }
}

#[test]
fn an_idle_entry_whose_targets_hang_is_isolated_within_two_seconds() {
    /// Time after which a connection that hangs is given up.
    const DIAL_MS: u64 = 300;
    let mut entry = Entry::new(KNOWN);
    let mut next = 0;
    let mut ms = 0;
    while entry.reach() != Reach::Isolated {
        let now = entry.at(ms);
        let count = entry.isolation.begin_probes(now);
        ms += if count > 0 { DIAL_MS } else { 50 };
        for _ in 0..count {
            entry.refuse(&format!("t-{next}"), ms);
            next += 1;
        }
        assert!(ms <= 2_000, "not isolated after {ms} ms");
    }
}

#[test]
fn an_isolated_entry_probes_a_handful_a_second() {
    let mut entry = Entry::new(KNOWN);
    for (target, ms) in [("a", 0), ("b", 300), ("c", 600)] {
        entry.refuse(target, ms);
    }
    let times = (1_000..11_000).step_by(10);
    let probes: usize = times
        .map(|ms| entry.isolation.begin_probes(entry.at(ms)))
        .sum();
    assert!((30..=70).contains(&probes), "{probes} in ten seconds");
}

#[test]
fn targets_that_could_refute_are_probed_first() {
    let mut entry = Entry::new(KNOWN);
    entry.refuse("refuses", 0);
    entry.refuse("refuses-and-answers", 1);
    entry.succeed("refuses-and-answers", Success::Answered, 2);
    entry.succeed("answers", Success::Answered, 3);
    let mut targets = ["refuses", "unheard", "answers"];
    targets.sort_by_key(|target| entry.isolation.probe_rank(target));
    assert_eq!(targets, ["answers", "unheard", "refuses"]);
    let rank = entry.isolation.probe_rank("refuses-and-answers");
    assert_eq!(rank, entry.isolation.probe_rank("refuses"));
}

#[test]
fn targets_that_have_left_do_not_count() {
    let mut entry = Entry::new(KNOWN);
    entry.refuse("a", 0);
    entry.refuse("b", 300);
    entry.isolation.retain(|target| target != "a");
    entry.refuse("c", 600);
    assert_eq!(entry.reach(), Reach::Reaching);
}

#[test]
fn targets_that_answered_and_then_broke_do_not_hide_an_isolation() {
    let mut entry = Entry::new(KNOWN);
    entry.refuse("a", 0);
    // The last answers on connections that the partition ends.
    entry.succeed("d", Success::Answered, 100);
    entry.succeed("e", Success::Answered, 100);
    for (target, ms) in [("d", 300), ("e", 400)] {
        entry.fail(target, Failure::Unanswered, ms);
    }
    entry.refuse("b", 600);
    entry.refuse("c", 900);
    assert_eq!(entry.reach(), Reach::Isolated);
}

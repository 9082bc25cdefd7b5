//! Single rules of the quarantine of whole requests.

use flamingo_guard::observer::{Fate, Interrupted, Observer};
use flamingo_guard::quarantine::{Kind, Ledger, SETTLING_TIME};
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::prompt::{AnsweredRequests, Crash, Evidence, Exposure, PartId, Parts};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const DEADLY: Fingerprint = 1_001;
const SOUND: Fingerprint = 1_002;
const PART: PartId = 7;

/// A ledger with its clock.
struct World {
    ledger: Ledger,
    now: Instant,
    crashes: u64,
}

impl World {
    fn new() -> Self {
        Self {
            ledger: Ledger::default(),
            now: Instant::now(),
            crashes: 0,
        }
    }

    /// A target crashes a second after the last event, under requests that were sent to it this many
    /// milliseconds before.
    fn crash(&mut self, requests: &[(Fingerprint, u64)]) {
        self.crash_with(requests, &[]);
    }

    fn crash_with(&mut self, requests: &[(Fingerprint, u64)], parts: &[PartId]) {
        let exposures = requests.iter().map(|(request, waited_ms)| Exposure {
            parts: Parts::from_slice(parts),
            request: Some(*request),
            waited_ms: *waited_ms,
            ..Exposure::default()
        });
        self.crash_under(SECOND, exposures.collect());
    }

    /// A target crashes two milliseconds after the last event, under requests that were sent to it
    /// once another target had broken off under them.
    fn crash_next(&mut self, requests: &[Fingerprint]) {
        let exposures = requests.iter().map(|request| Exposure {
            request: Some(*request),
            follows: true,
            ..Exposure::default()
        });
        self.crash_under(Duration::from_millis(2), exposures.collect());
    }

    fn crash_under(&mut self, gap: Duration, exposures: Vec<Exposure>) {
        self.now += gap;
        self.crashes += 1;
        let crash = Crash {
            service: "s".into(),
            target: "t".into(),
            incarnation: self.crashes,
            age_ms: 0,
            exposures,
        };
        let entry = format!("entry-{}", self.crashes % 3);
        self.ledger.record_crash(&entry, &crash, self.now);
    }

    /// Returns the requests that are put in quarantine once all crashes count.
    fn judge(&mut self) -> Vec<Fingerprint> {
        self.now += SETTLING_TIME;
        let findings = self.ledger.judge(self.now);
        let requests = findings.iter().filter(|found| found.kind == Kind::Request);
        requests.map(|found| found.key.part).collect()
    }

    fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.ledger.find("s", &[request], self.now).is_some()
    }
}

macro_rules! cases {
    ($($name:ident: $scenario:expr;)*) => {
        $(#[test]
        fn $name() {
            let scenario: fn(&mut World) = $scenario;
            scenario(&mut World::new());
        })*
    };
}

cases! {
    a_request_is_suspected_after_three_crashes_at_several_entries: |world| {
        world.crash(&[(DEADLY, 40)]);
        world.crash(&[(DEADLY, 90)]);
        assert_eq!(world.judge(), []);
        world.crash(&[(DEADLY, 40)]);
        assert_eq!(world.judge(), [DEADLY]);
        assert!(!world.is_quarantined(SOUND));
    };

    crashes_within_milliseconds_of_tries_that_follow_each_other_count_each: |world| {
        world.crash(&[(DEADLY, 0)]);
        world.crash_next(&[DEADLY]);
        assert_eq!(world.judge(), []);
        world.crash(&[(DEADLY, 0)]);
        assert_eq!(world.judge(), [DEADLY]);
    };

    one_caller_s_three_tries_within_milliseconds_suffice: |world| {
        world.crash(&[(DEADLY, 0), (SOUND, 30)]);
        world.crash_next(&[DEADLY]);
        world.crash_next(&[DEADLY]);
        assert_eq!(world.judge(), [DEADLY]);
    };

    crashes_of_one_moment_without_an_order_are_one_event: |world| {
        for _ in 0..6 {
            let exposure = Exposure {
                request: Some(SOUND),
                waited_ms: 40,
                ..Exposure::default()
            };
            world.crash_under(Duration::from_millis(2), vec![exposure]);
        }
        assert_eq!(world.judge(), []);
    };

    a_rack_that_is_lost_under_a_request_and_its_retries_is_one_event: |world| {
        world.crash(&[(SOUND, 40)]);
        world.crash_next(&[SOUND]);
        world.crash_next(&[SOUND]);
        let other = Exposure {
            request: Some(DEADLY),
            waited_ms: 90,
            ..Exposure::default()
        };
        world.crash_under(Duration::from_millis(2), vec![other]);
        assert_eq!(world.judge(), []);
    };

    a_try_at_another_entry_that_was_sent_after_a_crash_counts_by_itself: |world| {
        for _ in 0..3 {
            let exposure = Exposure {
                request: Some(DEADLY),
                waited_ms: 3,
                ..Exposure::default()
            };
            world.crash_under(Duration::from_millis(8), vec![exposure]);
        }
        assert_eq!(world.judge(), [DEADLY]);
    };

    of_requests_that_all_waited_for_no_time_none_stands_out: |world| {
        for _ in 0..3 {
            world.crash(&[(SOUND, 0), (DEADLY, 0)]);
        }
        assert_eq!(world.judge(), []);
        world.crash(&[(DEADLY, 0)]);
        assert_eq!(world.judge(), [DEADLY]);
    };

    a_request_that_comes_once_in_some_minutes_becomes_known: |world| {
        for _ in 0..2 {
            world.crash(&[(DEADLY, 40)]);
            world.now += Duration::from_secs(200);
            world.ledger.remove_expired(world.now);
        }
        world.crash(&[(DEADLY, 40)]);
        assert_eq!(world.judge(), [DEADLY]);
    };

    a_request_that_is_rare_is_not_forgotten_over_many_ordinary_crashes: |world| {
        for number in 0..3 {
            world.crash(&[(DEADLY, 40)]);
            for other in 0..40 {
                let sound = 10_000 + 100 * number + other;
                world.crash(&[(sound, 40)]);
                world.ledger.record_answered_request("s", sound);
            }
        }
        assert_eq!(world.judge(), [DEADLY]);
    };

    a_request_that_was_answered_since_is_sound: |world| {
        for _ in 0..20 {
            world.crash(&[(SOUND, 40)]);
            world.crash(&[(SOUND, 40)]);
            world.ledger.record_answered_request("s", SOUND);
            assert_eq!(world.judge(), []);
        }
    };

    an_answer_in_another_service_says_nothing: |world| {
        for _ in 0..3 {
            world.crash(&[(DEADLY, 40)]);
            world.ledger.record_answered_request("other", DEADLY);
        }
        assert_eq!(world.judge(), [DEADLY]);
    };

    a_request_that_waited_longer_in_the_same_crashes_is_sound: |world| {
        for _ in 0..6 {
            world.crash(&[(SOUND, 300), (DEADLY, 40)]);
            world.judge();
        }
        assert!(world.is_quarantined(DEADLY));
        assert!(!world.is_quarantined(SOUND));
    };

    while_no_request_stands_out_the_next_crash_decides: |world| {
        for _ in 0..3 {
            world.crash(&[(SOUND, 40), (DEADLY, 40)]);
        }
        assert_eq!(world.judge(), []);
        world.crash(&[(DEADLY, 40)]);
        assert_eq!(world.judge(), [DEADLY]);
        world.crash(&[(SOUND, 40)]);
        assert_eq!(world.judge(), []);
    };

    a_request_that_was_under_way_for_long_is_not_suspected: |world| {
        for _ in 0..10 {
            world.crash(&[(SOUND, 5_000)]);
            assert_eq!(world.judge(), []);
        }
    };

    one_request_that_comes_again_says_nothing_of_its_parts: |world| {
        for _ in 0..4 {
            world.crash_with(&[(DEADLY, 40)], &[PART]);
        }
        world.now += SETTLING_TIME;
        let findings = world.ledger.judge(world.now);
        assert_eq!(findings.len(), 1);
        assert!(!world.is_quarantined(PART));
    };

    requests_that_a_deadly_part_explains_are_sound: |world| {
        for number in 0..4 {
            world.crash_with(&[(number, 40)], &[PART]);
        }
        world.judge();
        assert!(world.is_quarantined(PART));
        for _ in 0..3 {
            world.crash_with(&[(SOUND, 40)], &[PART]);
        }
        assert_eq!(world.judge(), []);
    };

    after_a_quarantine_one_crash_suffices: |world| {
        for _ in 0..3 {
            world.crash(&[(DEADLY, 40)]);
        }
        world.judge();
        let until = world.ledger.find("s", &[DEADLY], world.now).expect("a quarantine");
        world.now = until;
        assert!(!world.is_quarantined(DEADLY));
        world.crash(&[(DEADLY, 40)]);
        assert_eq!(world.judge(), [DEADLY]);
    };

    memory_is_bounded: |world| {
        for number in 0..300 {
            let requests: Vec<_> = (0..100).map(|request| (number * 100 + request, 40)).collect();
            world.crash(&requests);
            world.judge();
        }
        let debug = format!("{:?}", world.ledger);
        assert!(debug.len() < 4_000_000, "{}", debug.len());
    };
}

fn interrupted(request: Fingerprint, sent_at: Instant) -> Interrupted<'static> {
    Interrupted {
        service: "s",
        parts: &[],
        request,
        sent_at,
        headless: false,
        answered_at: None,
    }
}

#[test]
fn an_entry_reports_requests_under_which_targets_crashed_and_those_that_were_answered() {
    let mut observer = Observer::default();
    let now = Instant::now();
    let life = ("t".to_owned(), 1);
    assert!(observer.record_break(&life, &interrupted(DEADLY, now), now + SECOND));
    assert!(observer.record_crash(&life, now + SECOND));
    observer.record_answered("s", &[], SOUND);
    let evidence = observer.take_evidence("leader", now + SECOND);
    let exposure = &evidence.crashes[0].exposures[0];
    assert_eq!(
        (exposure.request, exposure.waited_ms),
        (Some(DEADLY), 1_000)
    );
    assert_eq!(evidence.answered_requests[0].requests, [SOUND]);
    observer.return_answered(evidence);
    let again: Evidence = observer.take_evidence("leader", now + SECOND);
    assert_eq!(again.answered_requests[0].requests, [SOUND]);
}

/// An entry that was isolated when three targets, which it took for crashed, broke off under one request.
fn isolated(now: Instant) -> Observer {
    let mut observer = Observer::default();
    for (target, number) in ["t", "u", "v"].into_iter().zip(0..) {
        let life = (target.to_owned(), 1);
        let broken_at = now + SECOND * number;
        observer.record_break(&life, &interrupted(DEADLY, broken_at), broken_at);
        observer.record_unreached(&life, broken_at);
        observer.doubt_likely();
    }
    // Connections are accepted again.
    observer.confirm_likely("w", now + 3 * SECOND);
    observer
}

#[test]
fn a_partition_quarantines_no_request_once_its_targets_are_known_to_have_gone_on() {
    let now = Instant::now();
    let mut observer = isolated(now);
    assert_eq!(observer.settle(|_, _| Fate::Alive).len(), 3);
    let later = now + 4 * SECOND;
    assert!(observer.judge(later).is_empty());
    assert!(observer.take_evidence("leader", later).crashes.is_empty());
}

#[test]
fn crashes_during_a_partition_are_reported_once_their_targets_are_known_to_have_ended() {
    let now = Instant::now();
    let mut observer = isolated(now);
    let later = now + 4 * SECOND;
    observer.settle(|_, _| Fate::Unknown);
    assert!(observer.take_evidence("leader", later).crashes.is_empty());
    observer.settle(|_, _| Fate::Ended);
    assert_eq!(observer.take_evidence("leader", later).crashes.len(), 3);
}

/// A report of crashes under one request, with the age of each in milliseconds.
fn crashes(ages_ms: &[u64]) -> Evidence {
    let crashes = ages_ms.iter().zip(1..).map(|(age_ms, incarnation)| Crash {
        service: "s".into(),
        target: "t".into(),
        incarnation,
        age_ms: *age_ms,
        exposures: vec![Exposure {
            request: Some(SOUND),
            waited_ms: 40,
            ..Exposure::default()
        }],
    });
    Evidence {
        crashes: crashes.collect(),
        ..Evidence::default()
    }
}

/// A report of an answer to that request.
fn answer() -> Evidence {
    let answered = AnsweredRequests {
        service: "s".into(),
        requests: vec![SOUND],
    };
    Evidence {
        answered_requests: vec![answered],
        ..Evidence::default()
    }
}

#[test]
fn answers_that_are_reported_before_a_late_report_of_earlier_crashes_count() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for ms in [500, 900] {
        ledger.record("entry-2", &answer(), at(ms));
    }
    // The crashes were at 0, 300 and 600 ms.
    ledger.record("entry-1", &crashes(&[1_000, 700, 400]), at(1_000));
    assert_eq!(ledger.judge(at(1_500)), []);
}

#[test]
fn answers_count_against_crashes_that_become_certain_seconds_later() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    ledger.record("entry-2", &answer(), at(900));
    ledger.record("entry-1", &crashes(&[5_000, 4_700, 4_400]), at(5_000));
    assert_eq!(ledger.judge(at(5_500)), []);
}

#[test]
fn answers_to_other_requests_do_not_displace_those_that_count() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    ledger.record("entry-2", &answer(), at(900));
    for number in 0..600 {
        let mut others = answer();
        let first = 10_000 + number * 14;
        others.answered_requests[0].requests = (first..first + 14).collect();
        ledger.record("entry-2", &others, at(950 + number));
    }
    ledger.record("entry-1", &crashes(&[1_600, 1_300, 1_000]), at(1_600));
    assert_eq!(ledger.judge(at(2_100)), []);
}

#[test]
fn a_target_that_accepts_a_connection_confirms_no_crash_of_its_own() {
    let now = Instant::now();
    let life = ("t".to_owned(), 1);
    let mut observer = Observer::default();
    observer.record_break(&life, &interrupted(DEADLY, now), now);
    observer.record_unreached(&life, now);
    observer.confirm_likely("t", now + SECOND);
    assert!(observer.take_evidence("leader", now).crashes.is_empty());
    observer.confirm_likely("u", now + SECOND);
    assert_eq!(observer.take_evidence("leader", now).crashes.len(), 1);
}

#[test]
fn a_connection_from_before_the_break_confirms_no_crash() {
    let now = Instant::now();
    let life = ("t".to_owned(), 1);
    let mut observer = Observer::default();
    observer.record_break(&life, &interrupted(DEADLY, now), now + SECOND);
    observer.record_unreached(&life, now + SECOND);
    observer.confirm_likely("u", now);
    assert!(
        observer
            .take_evidence("leader", now + SECOND)
            .crashes
            .is_empty()
    );
}

#[test]
fn answers_before_a_crash_do_not_speak_for_a_request() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    ledger.record("entry-2", &answer(), at(100));
    ledger.record("entry-1", &crashes(&[800, 500, 200]), at(1_000));
    assert_eq!(ledger.judge(at(1_500)).len(), 1);
}

#[test]
fn a_try_that_was_sent_after_a_broken_connection_says_so() {
    let mut observer = Observer::default();
    let now = Instant::now();
    let lives = [
        ("t".to_owned(), 1),
        ("u".to_owned(), 1),
        ("v".to_owned(), 1),
    ];
    // The third try was on its way when the second target broke off.
    let sent_at = [now, now + SECOND, now + SECOND / 2];
    for (life, sent_at) in lives.iter().zip(sent_at) {
        observer.record_break(life, &interrupted(DEADLY, sent_at), sent_at + SECOND);
        observer.record_crash(life, sent_at + SECOND);
    }
    let evidence = observer.take_evidence("leader", now + 2 * SECOND);
    let follows = evidence
        .crashes
        .iter()
        .map(|crash| crash.exposures[0].follows);
    assert_eq!(follows.collect::<Vec<_>>(), [false, true, false]);
}

#[test]
fn answered_requests_that_nobody_takes_are_bounded() {
    let mut observer = Observer::default();
    for request in 0..100_000 {
        observer.record_answered("s", &[], request);
    }
    let evidence = observer.take_evidence("leader", Instant::now());
    let requests = &evidence.answered_requests[0].requests;
    assert!(requests.len() <= 1_024, "{}", requests.len());
    assert_eq!(requests.last(), Some(&99_999));
}

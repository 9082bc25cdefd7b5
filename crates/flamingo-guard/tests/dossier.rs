//! What the evidence of one ledger is worth at another one.

use flamingo_guard::quarantine::{Ledger, MIN_EVENTS, SETTLING_TIME};
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::prompt::{Answered, Crash, Exposure, PartId};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const PART: PartId = 7;
const REQUEST: Fingerprint = 1_001;

/// A ledger that other ones take over from, with its clock and the crashes that entries may report
/// again.
struct World {
    ledger: Ledger,
    now: Instant,
    crashes: Vec<(Crash, Instant)>,
}

impl World {
    fn new() -> Self {
        Self {
            ledger: Ledger::default(),
            now: Instant::now(),
            crashes: Vec::new(),
        }
    }

    fn crash(&mut self, exposure: Exposure) {
        self.now += SECOND;
        let crash = Crash {
            service: "s".into(),
            target: "t".into(),
            incarnation: self.crashes.len() as u64,
            age_ms: 0,
            exposures: vec![exposure],
        };
        self.ledger.record_crash("entry-1", &crash, self.now);
        self.crashes.push((crash, self.now));
    }

    fn crash_under_part(&mut self) {
        let number = self.crashes.len() as u64;
        self.crash(Exposure {
            parts: [PART, 100 + number].into_iter().collect(),
            request: Some(number),
            waited_ms: 40,
            ..Exposure::default()
        });
    }

    fn crash_under_request(&mut self) {
        self.crash(Exposure {
            request: Some(REQUEST),
            waited_ms: 40,
            ..Exposure::default()
        });
    }

    fn answer_part(&mut self, count: u32) {
        self.ledger.record_answered(&Answered {
            service: "s".into(),
            parts: vec![(PART, count)],
        });
    }

    /// Another instance takes over, `later` after the last event.
    fn succeed(&mut self, later: Duration) {
        let dossier = self.ledger.dossier(self.now);
        self.now += later;
        self.ledger = Ledger::default();
        self.ledger.restore(&dossier, self.now);
    }

    /// The entry reports all crashes again, as to a new leader.
    fn report_again(&mut self) {
        for (crash, at) in &self.crashes {
            let age = u64::try_from((self.now - *at).as_millis()).expect("short");
            let crash = Crash {
                age_ms: age,
                ..crash.clone()
            };
            self.ledger.record_crash("entry-1", &crash, self.now);
        }
    }

    /// Returns what is put in quarantine once all crashes count.
    fn judge(&mut self) -> Vec<u64> {
        self.now += SETTLING_TIME;
        let findings = self.ledger.judge(self.now);
        findings.iter().map(|finding| finding.key.part).collect()
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
    what_is_quarantined_stays_so: |world| {
        for _ in 0..3 {
            world.crash_under_request();
        }
        assert_eq!(world.judge(), [REQUEST]);
        world.succeed(SECOND);
        assert!(world.ledger.find("s", &[REQUEST], world.now).is_some());
    };

    crashes_before_and_after_count_together: |world| {
        world.crash_under_request();
        world.crash_under_request();
        world.succeed(SECOND);
        assert_eq!(world.judge(), []);
        world.crash_under_request();
        assert_eq!(world.judge(), [REQUEST]);
    };

    a_part_whose_requests_were_answered_before_stays_sound_when_crashes_are_reported_again: |world| {
        for _ in 0..2 * MIN_EVENTS {
            world.crash_under_part();
            world.answer_part(3);
        }
        world.succeed(SECOND);
        world.report_again();
        assert_eq!(world.judge(), []);
        world.crash_under_part();
        assert_eq!(world.judge(), []);
    };

    a_part_that_is_cleared_stays_sound_when_crashes_are_reported_again: |world| {
        for _ in 0..2 * MIN_EVENTS {
            world.crash_under_part();
            world.answer_part(100);
        }
        world.ledger.remove_expired(world.now);
        world.succeed(SECOND);
        world.ledger.remove_expired(world.now);
        world.report_again();
        assert_eq!(world.judge(), []);
    };

    a_request_that_was_answered_before_stays_sound_when_crashes_are_reported_again: |world| {
        for _ in 0..3 {
            world.crash_under_request();
        }
        world.ledger.record_answered_request("s", REQUEST);
        world.succeed(SECOND);
        world.report_again();
        assert_eq!(world.judge(), []);
    };

    evidence_that_comes_again_and_again_changes_nothing: |world| {
        world.crash_under_request();
        world.crash_under_part();
        world.succeed(Duration::ZERO);
        let revision = world.ledger.revision();
        let dossier = world.ledger.dossier(world.now);
        for _ in 0..10 {
            world.ledger.restore(&dossier, world.now);
        }
        assert_eq!(world.ledger.revision(), revision);
    };

    a_deadly_part_is_found_over_two_successions: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash_under_part();
            world.succeed(SECOND / 2);
        }
        assert_eq!(world.judge(), [PART]);
    };
}

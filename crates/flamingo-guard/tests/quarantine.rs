//! Single rules of the quarantine of prompt parts.

use flamingo_guard::quarantine::{Key, Ledger, MIN_EVENTS, MIN_HEADLESS_EVENTS, SETTLING_TIME};
use flamingo_wire::prompt::{Answered, Crash, Exposure, PartId, Quarantine};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const FIRST: PartId = 1;
const SECOND_PART: PartId = 2;
const DEADLY: PartId = 3;

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

    /// A target crashes under a request with these parts, `gap` after the last event.
    fn crash(&mut self, gap: Duration, parts: &[PartId]) {
        self.crashes += 1;
        self.now += gap;
        let crash = crash(self.crashes, &[parts]);
        self.ledger.record_crash("entry-1", &crash, self.now);
    }

    /// A target crashes a second after the last event under a request that had no head yet.
    fn crash_before_head(&mut self, parts: &[PartId], waited_ms: u64) {
        self.crashes += 1;
        self.now += SECOND;
        let mut crash = crash(self.crashes, &[parts]);
        for exposure in &mut crash.exposures {
            exposure.headless = true;
            exposure.waited_ms = waited_ms;
        }
        self.ledger.record_crash("entry-1", &crash, self.now);
    }

    fn answer(&mut self, parts: &[PartId]) {
        let answered = Answered {
            service: "s".into(),
            parts: parts.iter().map(|part| (*part, 1)).collect(),
        };
        self.ledger.record_answered(&answered);
    }

    /// Returns the parts that are put in quarantine once all crashes count.
    fn judge(&mut self) -> Vec<PartId> {
        self.now += SETTLING_TIME;
        let findings = self.ledger.judge(self.now);
        findings.iter().map(|finding| finding.key.part).collect()
    }

    fn is_quarantined(&self, part: PartId) -> bool {
        self.ledger.find("s", &[part], self.now).is_some()
    }
}

fn crash(incarnation: u64, exposures: &[&[PartId]]) -> Crash {
    let exposures = exposures.iter().map(|parts| Exposure {
        parts: (*parts).into(),
        answered: false,
        waited_ms: 40,
        ..Exposure::default()
    });
    Crash {
        service: "s".into(),
        target: "t".into(),
        incarnation,
        age_ms: 0,
        exposures: exposures.collect(),
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
    a_part_is_suspected_only_after_enough_crashes: |world| {
        for _ in 1..MIN_EVENTS {
            world.crash(SECOND, &[DEADLY]);
            assert_eq!(world.judge(), []);
        }
        world.crash(SECOND, &[DEADLY]);
        assert_eq!(world.judge(), [DEADLY]);
    };

    a_part_that_crashes_targets_before_the_head_takes_one_crash_more: |world| {
        for _ in 1..MIN_HEADLESS_EVENTS {
            world.crash_before_head(&[DEADLY], 20);
            assert_eq!(world.judge(), []);
        }
        world.crash_before_head(&[DEADLY], 20);
        assert_eq!(world.judge(), [DEADLY]);
    };

    a_part_that_waited_for_long_without_a_head_is_not_suspected: |world| {
        for _ in 0..20 {
            world.crash_before_head(&[DEADLY], 3_000);
            assert_eq!(world.judge(), []);
        }
    };

    a_part_whose_requests_are_answered_is_sound: |world| {
        for _ in 0..20 {
            world.crash(SECOND, &[DEADLY]);
            for _ in 0..2 {
                world.answer(&[DEADLY]);
            }
            assert_eq!(world.judge(), []);
        }
    };

    a_part_that_was_sound_before_is_suspected_once_it_crashes_targets: |world| {
        world.crash(SECOND, &[DEADLY]);
        for _ in 0..100 {
            world.answer(&[DEADLY]);
        }
        for _ in 0..MIN_EVENTS {
            world.crash(SECOND, &[DEADLY]);
        }
        assert_eq!(world.judge(), [DEADLY]);
    };

    targets_that_crash_at_the_same_moment_are_one_event: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(Duration::from_millis(5), &[DEADLY]);
        }
        assert_eq!(world.judge(), []);
    };

    parts_that_share_crashes_with_a_deadly_one_stay_sound: |world| {
        for number in 0..10 {
            world.crash(SECOND, &[FIRST, 100 + number, DEADLY]);
            world.answer(&[FIRST]);
            world.judge();
        }
        assert!(world.is_quarantined(DEADLY));
        assert!(!world.is_quarantined(FIRST));
    };

    of_parts_that_always_stand_together_the_last_is_taken: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(SECOND, &[FIRST, SECOND_PART, DEADLY]);
        }
        assert_eq!(world.judge(), [DEADLY]);
    };

    answers_that_are_reported_after_the_crashes_count: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(Duration::from_millis(50), &[FIRST]);
        }
        assert_eq!(world.ledger.judge(world.now), []);
        world.answer(&[FIRST]);
        world.answer(&[FIRST]);
        assert_eq!(world.judge(), []);
    };

    a_deadly_first_part_is_told_from_the_parts_after_it: |world| {
        for number in 0..MIN_EVENTS {
            world.crash(SECOND, &[DEADLY, 100 + number as PartId]);
        }
        assert_eq!(world.judge(), [DEADLY]);
    };

    two_deadly_parts_are_both_found: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(SECOND, &[FIRST, DEADLY]);
            world.crash(SECOND, &[FIRST, DEADLY + 1]);
            world.answer(&[FIRST]);
            world.answer(&[FIRST]);
        }
        let mut found = world.judge();
        found.sort_unstable();
        assert_eq!(found, [DEADLY, DEADLY + 1]);
    };

    a_crash_that_a_quarantined_part_explains_counts_against_no_other: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(SECOND, &[DEADLY]);
        }
        assert_eq!(world.judge(), [DEADLY]);
        for _ in 0..10 {
            world.crashes += 1;
            world.now += SECOND;
            let crash = crash(world.crashes, &[&[DEADLY], &[SECOND_PART]]);
            world.ledger.record_crash("entry-1", &crash, world.now);
        }
        assert_eq!(world.judge(), []);
    };

    reports_of_one_crash_by_several_entries_are_one_crash: |world| {
        for entry in ["a", "b", "c", "a"] {
            world.now += SECOND;
            world.ledger.record_crash(entry, &crash(1, &[&[DEADLY]]), world.now);
        }
        assert_eq!(world.judge(), []);
    };

    a_crash_counts_only_once_the_answers_of_its_time_are_known: |world| {
        let start = world.now;
        for _ in 0..MIN_EVENTS {
            world.crash(SETTLING_TIME / 5, &[FIRST]);
        }
        assert!(world.now < start + SETTLING_TIME);
        world.now = start + SETTLING_TIME + SETTLING_TIME / 5;
        assert_eq!(world.ledger.judge(world.now), []);
        world.answer(&[FIRST]);
        world.answer(&[FIRST]);
        assert_eq!(world.judge(), []);
    };

    a_report_that_comes_again_adds_nothing: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(SECOND, &[DEADLY]);
            let again = crash(world.crashes, &[&[DEADLY]]);
            for _ in 0..8 {
                world.ledger.record_crash("entry-1", &again, world.now);
            }
            world.answer(&[DEADLY]);
        }
        assert_eq!(world.judge(), []);
    };

    crashes_that_several_entries_saw_count_together: |world| {
        for (number, entry) in ["a", "b", "c", "d"].into_iter().enumerate() {
            world.now += SECOND;
            let crash = crash(number as u64, &[&[DEADLY]]);
            world.ledger.record_crash(entry, &crash, world.now);
        }
        assert_eq!(world.judge(), [DEADLY]);
    };

    a_part_of_another_service_is_another_part: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(SECOND, &[DEADLY]);
        }
        world.judge();
        assert!(world.ledger.find("other", &[DEADLY], world.now).is_none());
    };

    old_crashes_do_not_count: |world| {
        for _ in 0..10 {
            world.crash(Duration::from_mins(6), &[DEADLY]);
            assert_eq!(world.judge(), []);
        }
    };

    a_part_that_crashes_a_target_every_few_minutes_becomes_known: |world| {
        for _ in 1..MIN_EVENTS {
            world.crash(Duration::from_mins(4), &[DEADLY]);
            assert_eq!(world.judge(), []);
        }
        world.crash(Duration::from_mins(2), &[DEADLY]);
        assert_eq!(world.judge(), [DEADLY]);
    };

    a_late_report_is_counted_at_the_time_of_the_crash: |world| {
        for number in 1..=MIN_EVENTS as u64 {
            world.now += SECOND;
            let late = Crash { age_ms: 1_000 * number, ..crash(number, &[&[DEADLY]]) };
            world.ledger.record_crash("a", &late, world.now);
        }
        assert_eq!(world.judge(), []);
    };

    a_quarantine_ends_and_one_more_crash_doubles_it: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(SECOND, &[DEADLY]);
        }
        world.judge();
        let first = world.ledger.find("s", &[DEADLY], world.now).expect("a quarantine") - world.now;
        world.now += first;
        assert!(!world.is_quarantined(DEADLY));
        world.crash(SECOND, &[DEADLY]);
        assert_eq!(world.judge(), [DEADLY]);
        let second = world.ledger.find("s", &[DEADLY], world.now).expect("a quarantine") - world.now;
        assert_eq!(second, 2 * first);
    };

    a_part_that_stays_sound_after_its_quarantine_starts_anew: |world| {
        for _ in 0..MIN_EVENTS {
            world.crash(SECOND, &[DEADLY]);
        }
        world.judge();
        let first = world.ledger.find("s", &[DEADLY], world.now).expect("a quarantine") - world.now;
        world.now += 2 * first;
        world.crash(SECOND, &[DEADLY]);
        assert_eq!(world.judge(), []);
    };

    an_adopted_quarantine_holds_for_the_time_that_was_left: |world| {
        let quarantine = Quarantine { service: "s".into(), part: DEADLY, remaining_ms: 5_000 };
        let key = Key { service: "s".into(), part: DEADLY };
        assert_eq!(world.ledger.adopt(std::slice::from_ref(&quarantine), world.now), [key]);
        assert_eq!(world.ledger.adopt(&[quarantine], world.now), []);
        world.now += 4 * SECOND;
        assert!(world.is_quarantined(DEADLY));
        world.now += 2 * SECOND;
        assert!(!world.is_quarantined(DEADLY));
    };

    an_earlier_end_does_not_shorten_a_quarantine: |world| {
        for remaining_ms in [60_000, 1_000] {
            let quarantine = Quarantine { service: "s".into(), part: DEADLY, remaining_ms };
            world.ledger.adopt(&[quarantine], world.now);
        }
        world.now += 30 * SECOND;
        assert!(world.is_quarantined(DEADLY));
    };

    a_quarantine_from_elsewhere_never_lasts_for_ever: |world| {
        let quarantine = Quarantine { service: "s".into(), part: DEADLY, remaining_ms: u64::MAX };
        world.ledger.adopt(&[quarantine], world.now);
        world.now += Duration::from_hours(1);
        assert!(!world.is_quarantined(DEADLY));
    };

    memory_is_bounded: |world| {
        for number in 0..300 {
            let parts: Vec<PartId> = (0..100).map(|part| number * 100 + part).collect();
            world.crash(Duration::from_millis(30), &parts);
            let part = number;
            let quarantine = Quarantine { service: "s".into(), part, remaining_ms: 1_000_000 };
            world.ledger.adopt(&[quarantine], world.now);
        }
        assert!(world.ledger.quarantines(world.now).len() <= 256);
        let debug = format!("{:?}", world.ledger);
        assert!(debug.len() < 4_000_000, "{}", debug.len());
    };
}

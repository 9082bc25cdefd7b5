//! Targets that leave, pause and restart in random orders, in virtual time.

use flamingo_guard::observer::Life;
use flamingo_serve::choice::{Choice, Requirements, choose};
use flamingo_serve::table::Table;
use flamingo_serve::wire::{Pause, RequestHead, Tolerance};
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::target::Registration;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// Seed where `FLAMINGO_SEED` gives no other.
const SEED: u64 = 20_261_203;
const HISTORIES: usize = 300;
const STEPS: usize = 120;
const TARGETS: usize = 3;
const MAX_PAUSE_MS: u64 = 3_000;
const MAX_STEP_MS: u64 = 800;

/// Requirements of a request to a plain service.
fn required<'a>(request: &'a RequestHead, tried: &'a [Life]) -> Requirements<'a> {
    Requirements {
        service: "s",
        engine: None,
        request,
        rank: 0,
        zone: "z",
        leaving: None,
        software: None,
        late: false,
        tried,
        can_load_adapters: false,
        entries: 1,
        timing: None,
    }
}

/// What a test knows of a target without looking at the table.
#[derive(Clone, Debug)]
struct Expected {
    registration: Registration,
    leaving: bool,
    paused_until: Option<Instant>,
}

struct History {
    random: ChaCha8Rng,
    now: Instant,
    table: Table,
    targets: Vec<Expected>,
}

impl History {
    fn new(seed: u64) -> Self {
        let targets = (0..TARGETS).map(|number| Expected {
            registration: registration(&format!("i-{number}")),
            leaving: false,
            paused_until: None,
        });
        let mut history = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            table: Table::default(),
            targets: targets.collect(),
        };
        for target in 0..TARGETS {
            history.push(target);
        }
        history
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    /// Sends the target's registration to the table.
    fn push(&mut self, target: usize) {
        let registration = self.targets[target].registration.clone();
        self.table
            .apply(self.now, &Push::Targets(vec![registration]));
    }

    fn step(&mut self) {
        let target = usize::try_from(self.below(3)).unwrap_or(0);
        let id = self.targets[target].registration.id.clone();
        // Some responses come late, from before a restart.
        let late = self.below(4) == 0;
        let incarnation = self.targets[target].registration.incarnation - u64::from(late);
        match self.below(6) {
            0 => {
                self.table.record_leaving(&id, incarnation);
                self.targets[target].leaving |= !late;
            }
            1 => {
                let length = Duration::from_millis(self.below(MAX_PAUSE_MS));
                self.table
                    .record_pause(&id, incarnation, Pause::For(length), self.now);
                if !late {
                    let until = Some(self.now + length);
                    let known = &mut self.targets[target].paused_until;
                    *known = until.max(*known);
                }
            }
            2 => {
                self.targets[target].registration.sequence += 1;
                self.push(target);
            }
            3 if self.below(3) == 0 => {
                let registration = &mut self.targets[target].registration;
                registration.incarnation += 1;
                self.targets[target].leaving = false;
                self.targets[target].paused_until = None;
                self.push(target);
            }
            _ => {
                let time = Duration::from_millis(self.below(MAX_STEP_MS));
                self.now += time;
            }
        }
    }

    fn takes_requests(&self, target: &Expected) -> bool {
        let paused = target.paused_until.is_some_and(|until| self.now < until);
        !target.leaving && !paused
    }

    /// Checks a choice against what the targets said.
    fn check(&mut self) {
        let salt = self.random.next_u64();
        let request = RequestHead::default();
        let required = required(&request, &[]);
        let staying = self.targets.iter().filter(|target| !target.leaving);
        let first_pause_end = staying.filter_map(|target| target.paused_until).min();
        match choose(&self.table, &required, salt, self.now) {
            Choice::Send(candidate) => {
                let mut targets = self.targets.iter();
                let chosen = targets.find(|target| target.registration.id == candidate.target);
                assert!(chosen.is_some_and(|target| self.takes_requests(target)));
            }
            Choice::Paused(until) => {
                assert!(
                    !self
                        .targets
                        .iter()
                        .any(|target| self.takes_requests(target))
                );
                assert_eq!(Some(until), first_pause_end);
            }
            Choice::NoTarget => assert!(self.targets.iter().all(|target| target.leaving)),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn no_target_gets_a_request_that_it_said_it_does_not_want() {
    let seed = std::env::var("FLAMINGO_SEED");
    let seed = seed.ok().and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    let mut seeds = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..HISTORIES {
        let mut history = History::new(seeds.next_u64());
        for _ in 0..STEPS {
            history.step();
            history.check();
        }
    }
}

#[test]
fn a_pause_does_not_count_while_another_target_is_open() {
    let now = Instant::now();
    let mut history = History::new(SEED);
    for target in ["i-0", "i-1"] {
        let pause = Pause::For(Duration::from_secs(1));
        history.table.record_pause(target, 1, pause, now);
    }
    let request = RequestHead::default();
    let tried = [("i-2".to_owned(), 1)];
    let choice = choose(&history.table, &required(&request, &tried), 1, now);
    assert_eq!(choice, Choice::NoTarget);
}

#[test]
fn a_target_that_control_believes_again_replaces_the_registration_that_hid_it() {
    let now = Instant::now();
    let sound = registration("t");
    let odd = Registration {
        incarnation: 9,
        sequence: 9,
        address: "127.0.0.1:9".parse().expect("an address"),
        ..sound.clone()
    };
    let believed = Registration {
        revision: 1,
        ..sound.clone()
    };
    let mut table = Table::default();
    for registration in [&sound, &odd, &believed, &odd] {
        table.apply(now, &Push::Targets(vec![registration.clone()]));
    }
    let known = &table.get("t").expect("known").registration;
    assert_eq!(known, &believed);
}

#[test]
fn what_a_target_said_holds_after_control_did_not_hear_of_it_for_long() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut table = Table::default();
    let leaving = registration("i-0");
    let paused = registration("i-1");
    let targets = Push::Targets(vec![leaving.clone(), paused.clone()]);
    table.apply(now, &targets);
    table.record_leaving(&leaving.id, leaving.incarnation);
    table.record_pause(&paused.id, paused.incarnation, Pause::For(90 * second), now);
    let later = now + 40 * second;
    table.apply(later, &Push::Targets(Vec::new()));
    table.remove_expired(later);
    assert_eq!(table.iter().count(), 0);
    table.apply(later + second, &targets);
    let request = RequestHead::default();
    let choice = choose(&table, &required(&request, &[]), 1, later + second);
    assert_eq!(choice, Choice::Paused(now + 90 * second));
    let restarted = Registration {
        incarnation: leaving.incarnation + 1,
        ..leaving
    };
    table.apply(later + second, &Push::Targets(vec![restarted]));
    let choice = choose(&table, &required(&request, &[]), 1, later + second);
    assert!(matches!(choice, Choice::Send(_)), "{choice:?}");
}

/// Returns a table with two targets of which the first has just said that it bears three rejections.
fn table_with_brittle(now: Instant) -> Table {
    let mut table = Table::default();
    let targets = vec![registration("i-0"), registration("i-1")];
    let incarnation = targets[0].incarnation;
    table.apply(now, &Push::Targets(targets));
    let bears = Some(Tolerance::PerSecond(3.0));
    assert!(table.record_tolerance("i-0", incarnation, bears, now));
    table
}

fn tolerance(table: &Table, id: &str, now: Instant) -> Option<f64> {
    table.tolerance(table.get(id).expect("known"), now)
}

#[test]
fn a_target_that_was_not_heard_is_not_taken_for_brittle() {
    let now = Instant::now();
    let table = table_with_brittle(now);
    assert_eq!(tolerance(&table, "i-1", now), Some(3.0));
    let later = now + Duration::from_secs(2);
    assert_eq!(tolerance(&table, "i-1", later), None);
    assert_eq!(tolerance(&table, "i-0", later), Some(3.0));
}

#[test]
fn a_sound_target_is_taken_for_brittle() {
    let now = Instant::now();
    let mut table = table_with_brittle(now);
    let incarnation = registration("i-1").incarnation;
    assert!(!table.record_tolerance("i-1", incarnation, None, now));
    assert_eq!(tolerance(&table, "i-1", now), None);
    assert!(table.record_tolerance("i-0", incarnation, None, now));
    assert_eq!(tolerance(&table, "i-0", now), None);
}

#[test]
fn a_full_brittle_target_gets_requests() {
    let now = Instant::now();
    let mut table = table_with_brittle(now);
    let until = now + Duration::from_secs(1);
    for id in ["i-0", "i-1"] {
        let target = table.get_mut(id).expect("known");
        target.availability.record_full(until);
    }
    let request = RequestHead::default();
    let choice = choose(&table, &required(&request, &[]), 1, now);
    assert_eq!(choice, Choice::Paused(until));
    let incarnation = registration("i-0").incarnation;
    table.record_tolerance("i-0", incarnation, None, now);
    let choice = choose(&table, &required(&request, &[]), 1, now);
    assert!(matches!(choice, Choice::Send(_)), "{choice:?}");
}

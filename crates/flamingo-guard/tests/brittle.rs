//! Brittle targets and the entries that send to them, in virtual time: no target rejects more requests
//! for want of room in a second than it bears, and most of its slots are used.

use flamingo_guard::places::{Places, ask_again};
use flamingo_guard::room::{Ledger, MAX_RECORDS};
use flamingo_test_support::cases;
use flamingo_wire::control::Room;
use flamingo_wire::target::Load;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const SEEDS: u64 = 3;
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 2_400;
/// Steps after which the targets let fewer requests wait and the bound holds: four seconds.
const GRACE_STEPS: u32 = 400;
/// Steps after which a report reaches the leader.
const REPORT_DELAY_STEPS: u32 = 4;
/// Steps between two reports of an entry, and between two publications of the leader.
const REPORT_STEPS: u32 = 10;
const WINDOW: Duration = Duration::from_secs(1);
/// Targets that an entry asks about for one request.
const TRIES: usize = 3;

/// Who decides whether a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// The leader, and each entry for itself while none answers.
    Room,
    /// Each entry, by the published loads: what is done at targets that are not brittle.
    Loads,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    policy: Policy,
    entries: usize,
    targets: usize,
    slots: usize,
    /// Requests that may wait at a target, before and after the grace.
    queue: [usize; 2],
    /// Rejections a second that a target bears.
    bears: f64,
    /// Requests that arrive, in the capacity of the targets.
    demand: f64,
    /// Mean time of a request, in steps.
    work_steps: u32,
    /// Steps between two changes of the leader; the new one knows nothing.
    steps_a_leader: u32,
    /// Steps at the beginning of each leadership but the first in which no leader answers.
    steps_without: u32,
    /// Part of the slots that must be used after the grace, where demand suffices.
    used: f64,
}

const STEADY: Scenario = Scenario {
    policy: Policy::Room,
    entries: 40,
    targets: 6,
    slots: 4,
    queue: [8, 2],
    bears: 3.0,
    demand: 3.0,
    work_steps: 40,
    steps_a_leader: STEPS + 1,
    steps_without: 0,
    used: 0.75,
};

/// As [`STEADY`], but no leader answers for two of seven seconds.
const CHANGING: Scenario = Scenario {
    steps_a_leader: 700,
    steps_without: 200,
    used: STEADY.used * 5.0 / 7.0,
    ..STEADY
};

/// What happened after the grace.
struct Outcome {
    /// Times at which each target rejected a request.
    rejected_at: Vec<Vec<Instant>>,
    /// Part of all slots that was used.
    used: f64,
}

impl Outcome {
    /// Returns the most rejections of one target in a second.
    fn worst(&self) -> usize {
        let worst = |times: &Vec<Instant>| {
            let windows = times.iter().enumerate().map(|(index, first)| {
                let within = times[index..].iter();
                within.take_while(|at| **at < *first + WINDOW).count()
            });
            windows.max().unwrap_or(0)
        };
        self.rejected_at.iter().map(worst).max().unwrap_or(0)
    }
}

/// A request at a target.
struct Work {
    entry: usize,
    /// Steps of work that are left.
    left: u32,
}

struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    ledger: Ledger,
    /// Requests at each target; the first `slots` of them run.
    work: Vec<Vec<Work>>,
    places: Vec<Vec<Places>>,
    closed_until: Vec<Vec<Instant>>,
    published: Vec<usize>,
    /// Reports under way: the step in which each arrives, its entry and the loads.
    reports: VecDeque<(u32, usize, Vec<Load>)>,
    leads: bool,
    queue: usize,
    outcome: Outcome,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut places = || Places::new(rng.next_u64(), now);
        let of_entry = |_| (0..scenario.targets).map(|_| places()).collect();
        Self {
            places: (0..scenario.entries).map(of_entry).collect(),
            scenario,
            rng,
            now,
            ledger: Ledger::default(),
            work: (0..scenario.targets).map(|_| Vec::new()).collect(),
            closed_until: vec![vec![now; scenario.targets]; scenario.entries],
            published: vec![0; scenario.targets],
            reports: VecDeque::new(),
            leads: true,
            queue: scenario.queue[0],
            outcome: Outcome {
                rejected_at: vec![Vec::new(); scenario.targets],
                used: 0.0,
            },
        }
    }

    /// Returns a number below `bound`.
    fn below(&mut self, bound: usize) -> usize {
        let bound = u64::try_from(bound).expect("small");
        usize::try_from(self.rng.next_u64() % bound).expect("small")
    }

    fn own(&self, entry: usize, target: usize) -> usize {
        let of_entry = |work: &&Work| work.entry == entry;
        self.work[target].iter().filter(of_entry).count()
    }

    fn room(&self, entry: usize, target: usize) -> Room {
        Room {
            target: target.to_string(),
            incarnation: 1,
            rejections_per_s: self.scenario.bears,
            slots: u32::try_from(self.scenario.slots).expect("few"),
            running: u32::try_from(self.own(entry, target) + 1).expect("few"),
        }
    }

    /// Returns whether the entry may send a request to the target, and remembers it if not.
    fn admits(&mut self, entry: usize, target: usize) -> bool {
        if self.scenario.policy == Policy::Loads {
            return true;
        }
        let asked = self.room(entry, target);
        let places = &mut self.places[entry][target];
        let entries = self.scenario.entries;
        let taken = if self.leads {
            let taken = self.ledger.try_take(&format!("e{entry}"), &asked, self.now);
            match taken {
                Ok(()) => places.record_granted(),
                Err(_) => places.record_full(),
            }
            taken.map_err(|until| until.max(self.now + ask_again(entries)))
        } else {
            places.try_take(self.scenario.bears, entries, self.now)
        };
        if let Err(until) = taken {
            self.closed_until[entry][target] = until;
        }
        taken.is_ok()
    }

    /// Sends a request of an entry to the target that it takes for the least loaded, or to no target.
    fn arrive(&mut self, entry: usize) {
        let mut tried = Vec::new();
        while tried.len() < TRIES {
            let first = self.below(self.scenario.targets);
            let targets = (0..self.scenario.targets).map(|i| (first + i) % self.scenario.targets);
            let open = targets.filter(|target| {
                self.closed_until[entry][*target] <= self.now && !tried.contains(target)
            });
            let known = |target: &usize| self.published[*target].max(self.own(entry, *target));
            let Some(target) = open.min_by_key(known) else {
                return;
            };
            tried.push(target);
            if self.admits(entry, target) {
                self.send(entry, target);
                return;
            }
        }
    }

    fn send(&mut self, entry: usize, target: usize) {
        if self.work[target].len() < self.scenario.slots + self.queue {
            let mean = usize::try_from(self.scenario.work_steps).expect("few");
            let left = u32::try_from(mean / 2 + self.below(mean + 1)).expect("few");
            self.work[target].push(Work { entry, left });
            return;
        }
        self.outcome.rejected_at[target].push(self.now);
        if self.leads {
            let rejected = self.room(entry, target);
            self.ledger.record_rejection(&rejected, self.now);
        }
        self.closed_until[entry][target] = self.now + WINDOW / 2;
    }

    /// Lets the targets work for a step, and returns how many slots were used.
    fn run_targets(&mut self) -> usize {
        let mut used = 0;
        for (target, work) in self.work.iter_mut().enumerate() {
            for running in work.iter_mut().take(self.scenario.slots) {
                used += 1;
                running.left = running.left.saturating_sub(1);
            }
            for ended in work.extract_if(.., |work| work.left == 0) {
                self.places[ended.entry][target].leave(self.now);
                if !self.leads {
                    self.closed_until[ended.entry][target] = self.now;
                }
            }
        }
        used
    }

    /// Returns the requests of an entry at all targets.
    fn loads(&self, entry: usize) -> Vec<Load> {
        let targets = 0..self.scenario.targets;
        let loads = targets.map(|target| Load {
            target: target.to_string(),
            running: u32::try_from(self.own(entry, target)).expect("few"),
            ..Load::default()
        });
        loads.filter(|load| load.running > 0).collect()
    }

    /// Has the entries report whose turn it is, and the leader apply what arrives.
    fn report(&mut self, step: u32) {
        let turn = usize::try_from(step % REPORT_STEPS).expect("few");
        let interval = usize::try_from(REPORT_STEPS).expect("few");
        for entry in (turn..self.scenario.entries).step_by(interval) {
            let loads = self.loads(entry);
            let arrives = step + REPORT_DELAY_STEPS;
            self.reports.push_back((arrives, entry, loads));
        }
        while let Some((_, entry, loads)) = self.reports.pop_front_if(|(at, ..)| *at <= step) {
            if self.leads {
                self.ledger
                    .record_report(&format!("e{entry}"), &loads, self.now);
            }
        }
        if self.leads && step.is_multiple_of(REPORT_STEPS) {
            self.published = self.work.iter().map(Vec::len).collect();
        }
    }

    /// Changes the leader where that is due.
    fn elect(&mut self, step: u32) {
        let in_term = step % self.scenario.steps_a_leader;
        if in_term == 0 {
            self.ledger = Ledger::default();
        }
        let first = step < self.scenario.steps_a_leader && self.scenario.steps_without < STEPS;
        self.leads = first || in_term >= self.scenario.steps_without;
    }

    fn run(mut self) -> Outcome {
        let capacity = self.scenario.targets * self.scenario.slots;
        let capacity = f64::from(u32::try_from(capacity).expect("few"));
        let per_step = self.scenario.demand * capacity / f64::from(self.scenario.work_steps);
        let (mut due, mut used) = (0.0, 0);
        for step in 0..STEPS {
            self.now += STEP;
            self.elect(step);
            if step == GRACE_STEPS {
                self.queue = self.scenario.queue[1];
                self.outcome.rejected_at.iter_mut().for_each(Vec::clear);
                used = 0;
            }
            used += self.run_targets();
            self.report(step);
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                let entry = self.below(self.scenario.entries);
                self.arrive(entry);
            }
        }
        let used = f64::from(u32::try_from(used).expect("few"));
        self.outcome.used = used / capacity / f64::from(STEPS - GRACE_STEPS);
        self.outcome
    }
}

fn check(scenario: Scenario) {
    for seed in 0..SEEDS {
        let outcome = Fleet::new(scenario, seed).run();
        let worst = outcome.worst();
        let count = f64::from(u32::try_from(worst).expect("few"));
        let used = outcome.used;
        println!("seed {seed}: {worst} rejections in the worst second, {used:.2} used");
        assert!(
            count <= scenario.bears,
            "seed {seed}: a target rejects {worst} requests in a second"
        );
        assert!(
            used >= scenario.used.min(scenario.demand * 0.9),
            "seed {seed}: {used:.2} of the slots are used"
        );
    }
}

cases! { check:
    a_brittle_target_rejects_too_many_of_forty_entries(STEADY);
    a_brittle_target_rejects_too_many_of_four_hundred_entries(
        Scenario { entries: 400, targets: 20, ..STEADY });
    a_brittle_target_rejects_too_many_at_five_times_its_room(Scenario { demand: 5.0, ..STEADY });
    a_brittle_target_that_lets_none_wait_rejects_too_many(Scenario { queue: [8, 0], ..STEADY });
    a_small_brittle_target_rejects_too_many_short_requests(Scenario {
        entries: 6, targets: 1, slots: 2, queue: [1, 1], bears: 2.0, work_steps: 20, ..STEADY });
    a_brittle_target_alone_rejects_too_many(Scenario { targets: 1, ..STEADY });
    a_brittle_target_that_bears_one_rejects_more(Scenario { bears: 1.0, ..STEADY });
    a_brittle_target_that_bears_none_rejects_some(
        Scenario { bears: 0.0, queue: [8, 0], used: STEADY.used * 3.0 / 4.0, ..STEADY });
    a_brittle_target_with_room_is_not_used(Scenario { demand: 0.5, ..STEADY });
    a_brittle_target_rejects_too_many_over_new_leaders(
        CHANGING);
    a_brittle_target_rejects_too_many_of_four_hundred_entries_over_new_leaders(
        Scenario { entries: 400, targets: 20, ..CHANGING });
    a_brittle_target_rejects_too_many_without_a_leader(
        Scenario { steps_without: STEPS, used: 0.0, ..STEADY });
    a_brittle_target_rejects_too_many_of_four_hundred_entries_without_a_leader(
        Scenario { entries: 400, targets: 20, steps_without: STEPS, used: 0.0, ..STEADY });
}

#[test]
fn the_load_would_not_make_a_target_fall_over() {
    let scenario = Scenario {
        policy: Policy::Loads,
        ..STEADY
    };
    let worst = Fleet::new(scenario, 0).run().worst();
    assert!(
        worst > 3,
        "{worst} rejections a second, the target bears three"
    );
}

#[test]
fn the_room_of_too_many_targets_is_counted() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let asked = |target: usize| Room {
        target: target.to_string(),
        incarnation: 1,
        rejections_per_s: 1.0,
        slots: 4,
        running: 1,
    };
    for target in 0..=MAX_RECORDS {
        assert!(ledger.try_take("e", &asked(target), now).is_err());
    }
    let later = now + WINDOW / 2;
    assert!(ledger.try_take("e", &asked(MAX_RECORDS), later).is_err());
    assert_eq!(ledger.try_take("e", &asked(0), later), Ok(()));
}

#[test]
fn the_records_of_targets_that_nobody_asks_about_are_kept() {
    let now = Instant::now();
    let asked = Room {
        target: "t".into(),
        incarnation: 1,
        rejections_per_s: 1.0,
        slots: 4,
        running: 1,
    };
    let mut ledger = Ledger::default();
    assert!(ledger.try_take("e", &asked, now).is_err());
    ledger.record_report("e", &[], now + 11 * WINDOW);
    assert_eq!(format!("{ledger:?}"), format!("{:?}", Ledger::default()));
}

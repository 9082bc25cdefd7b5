//! A fleet in virtual time, whose entries report to one ledger: targets crash under requests with a
//! deadly part, and at random.

use flamingo_guard::quarantine::Ledger;
use flamingo_wire::prompt::{Answered, Crash, Dossier, Exposure, PartId, Parts};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SEEDS: u64 = 30;
const DEADLY: PartId = 999;
/// Crashes after which the deadly part must be known.
const CRASHES_TO_KNOW: usize = 5;
/// Time within which all entries must know it then.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests with the deadly part that may still be sent afterwards.
const REQUESTS_AFTERWARDS: usize = 3;
/// Time between two saves of the evidence.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(5);
const STEPS_PER_S: u64 = 200;
/// Time from the head of a response to its first event, or to the crash of its target.
const TIME_TO_EVENT: Duration = Duration::from_millis(40);
/// Time from the arrival of a request to the crash of its target, if that comes before the head.
const TIME_TO_HARM: Duration = Duration::from_millis(20);
/// Time that a target is down after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Time after its first event for which a request is at the point of writing.
const POINT_OF_WRITING: Duration = Duration::from_millis(100);
/// Longest time from an observation to its arrival at the ledger.
const MAX_REPORT_MS: u64 = 250;

/// Load and faults of a fleet.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    targets: usize,
    requests_per_s: u64,
    /// Number of different first and second parts.
    firsts: u64,
    seconds: u64,
    /// Requests with the deadly part, in thousandths.
    deadly_permille: u64,
    /// Crashes in a minute for other reasons.
    crashes_per_min: u64,
    /// Targets that crash together for other reasons.
    crash_together: usize,
    /// Position of the deadly part in the prompt.
    depth: usize,
    /// Whether targets crash as they get the deadly part, before the head of their answer.
    before_head: bool,
    /// When all processes are killed and start again, which then know what they last saved.
    killed_at: Option<Duration>,
}

const QUIET: Scenario = Scenario {
    targets: 9,
    requests_per_s: 40,
    firsts: 3,
    seconds: 60,
    deadly_permille: 50,
    crashes_per_min: 0,
    crash_together: 1,
    depth: 2,
    before_head: false,
    killed_at: None,
};

/// A request that is running on a target, or is being read there.
struct Running {
    parts: Parts,
    sent_at: Duration,
    begins_at: Duration,
    ends_at: Duration,
    answered: bool,
}

enum Report {
    Answered(Answered),
    Crash(Crash, Duration),
}

/// Result of a run.
#[derive(Debug, Default)]
struct Outcome {
    deadly_crashes: usize,
    /// When the deadly part had crashed `CRASHES_TO_KNOW` targets.
    known_at: Option<Duration>,
    /// Requests with the deadly part sent later than `CONTACT` after that.
    sent_afterwards: usize,
    quarantined: Vec<PartId>,
}

/// A fleet in the middle of its run.
struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    start: Instant,
    elapsed: Duration,
    ledger: Ledger,
    /// The evidence as it was last saved.
    saved: Dossier,
    outcome: Outcome,
    /// When each target is up again.
    up_at: Vec<Duration>,
    running: Vec<Vec<Running>>,
    /// Reports by the time of their arrival at the ledger.
    reports: BTreeMap<(Duration, u64), Report>,
    incarnation: u64,
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            ledger: Ledger::default(),
            saved: Dossier::default(),
            outcome: Outcome::default(),
            up_at: vec![Duration::ZERO; scenario.targets],
            running: (0..scenario.targets).map(|_| Vec::new()).collect(),
            reports: BTreeMap::new(),
            incarnation: 0,
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn random_target(&mut self) -> usize {
        let targets = u64::try_from(self.scenario.targets).expect("few");
        usize::try_from(self.random(targets)).expect("few")
    }

    fn random_ms(&mut self, below: u64) -> Duration {
        Duration::from_millis(self.random(below))
    }

    fn prompt(&mut self) -> Parts {
        let scenario = self.scenario;
        let mut parts = Parts::new();
        parts.push(1 + self.random(scenario.firsts));
        parts.push(100 + self.random(scenario.seconds));
        if self.random(1_000) < scenario.deadly_permille {
            parts.insert(scenario.depth, DEADLY);
        }
        parts
    }

    /// Lets a request arrive, or none.
    fn arrive(&mut self) {
        if self.random(STEPS_PER_S) >= self.scenario.requests_per_s {
            return;
        }
        let parts = self.prompt();
        let target = self.random_target();
        let now = self.start + self.elapsed;
        if self.ledger.find("s", &parts, now).is_some() {
            return;
        }
        let known_at = self.outcome.known_at;
        let known = known_at.is_some_and(|at| self.elapsed > at + CONTACT);
        let killed_at = self.scenario.killed_at;
        let out_of_touch = killed_at.is_some_and(|at| (at..=at + CONTACT).contains(&self.elapsed));
        let counts = known && !out_of_touch && parts.contains(&DEADLY);
        self.outcome.sent_afterwards += usize::from(counts);
        if self.elapsed < self.up_at[target] {
            return;
        }
        let begins_at = self.elapsed + Duration::from_millis(50) + self.random_ms(400);
        let ends_at = begins_at + Duration::from_millis(200) + self.random_ms(2_000);
        self.running[target].push(Running {
            parts,
            sent_at: self.elapsed,
            begins_at,
            ends_at,
            answered: false,
        });
    }

    /// Advances the requests of a target. Returns whether one has crashed it.
    fn advance(&mut self, target: usize) -> bool {
        let elapsed = self.elapsed;
        let mut running = std::mem::take(&mut self.running[target]);
        let mut crashes = false;
        for request in &mut running {
            let has_come = elapsed >= request.sent_at + TIME_TO_HARM;
            if self.scenario.before_head && has_come && request.parts.contains(&DEADLY) {
                crashes = true;
                continue;
            }
            if request.answered || elapsed < request.begins_at + TIME_TO_EVENT {
                continue;
            }
            if request.parts.contains(&DEADLY) {
                crashes = true;
                continue;
            }
            request.answered = true;
            let parts = request.parts.iter().map(|part| (*part, 1)).collect();
            let service = "s".into();
            self.report(Report::Answered(Answered { service, parts }));
        }
        running.retain(|request| elapsed < request.ends_at);
        self.running[target] = running;
        crashes
    }

    /// Queues a report, which arrives after a random time.
    fn report(&mut self, report: Report) {
        let arrives_at = self.elapsed + self.random_ms(MAX_REPORT_MS);
        let number = self.rng.next_u64();
        self.reports.insert((arrives_at, number), report);
    }

    fn crash(&mut self, target: usize) {
        let elapsed = self.elapsed;
        if elapsed < self.up_at[target] {
            return;
        }
        self.incarnation += 1;
        self.up_at[target] = elapsed + DOWN;
        let struck = self.running[target].drain(..).filter(|request| {
            let first_event_at = request.begins_at + TIME_TO_EVENT;
            elapsed < first_event_at + POINT_OF_WRITING
        });
        let exposures = struck.map(|request| Exposure {
            answered: request.answered,
            parts: request.parts,
            waited_ms: u64::try_from(elapsed.saturating_sub(request.sent_at).as_millis())
                .expect("short"),
            headless: elapsed < request.begins_at,
            ..Exposure::default()
        });
        let crash = Crash {
            service: "s".into(),
            target: format!("t{target}"),
            incarnation: self.incarnation,
            age_ms: 0,
            exposures: exposures.collect(),
        };
        self.report(Report::Crash(crash, elapsed));
    }

    /// Lets targets crash: under deadly requests, or without a reason.
    fn crash_targets(&mut self) {
        for target in 0..self.scenario.targets {
            if self.advance(target) {
                self.outcome.deadly_crashes += 1;
                if self.outcome.deadly_crashes == CRASHES_TO_KNOW {
                    self.outcome.known_at = Some(self.elapsed);
                }
                self.crash(target);
            }
        }
        if self.random(60 * STEPS_PER_S) < self.scenario.crashes_per_min {
            for _ in 0..self.scenario.crash_together {
                let target = self.random_target();
                self.crash(target);
            }
        }
    }

    /// Kills all processes: reports on their way are lost.
    fn restart(&mut self) {
        self.reports.clear();
        self.ledger = Ledger::default();
        let now = self.start + self.elapsed;
        self.ledger.restore(&self.saved, now);
    }

    /// Gives the ledger the reports that have arrived, and has it judge.
    fn judge(&mut self) {
        let now = self.start + self.elapsed;
        while let Some(first) = self.reports.first_entry() {
            if first.key().0 > self.elapsed {
                break;
            }
            match first.remove() {
                Report::Answered(answered) => self.ledger.record_answered(&answered),
                Report::Crash(crash, at) => {
                    let age = self.elapsed.saturating_sub(at).as_millis();
                    let age_ms = u64::try_from(age).expect("short");
                    self.ledger
                        .record_crash("e", &Crash { age_ms, ..crash }, now);
                }
            }
        }
        let findings = self.ledger.judge(now);
        let parts = findings.iter().map(|finding| finding.key.part);
        self.outcome.quarantined.extend(parts);
    }
}

/// Runs a fleet for 30 seconds, and 30 more if its processes are killed.
fn run(scenario: Scenario, seed: u64) -> Outcome {
    let mut world = World::new(scenario, seed);
    let seconds = if scenario.killed_at.is_some() { 60 } else { 30 };
    while world.elapsed < Duration::from_secs(seconds) {
        world.elapsed += STEP;
        if scenario.killed_at == Some(world.elapsed) {
            world.restart();
        } else if world
            .elapsed
            .as_millis()
            .is_multiple_of(SAVE_INTERVAL.as_millis())
        {
            world.saved = world.ledger.dossier(world.start + world.elapsed);
        }
        world.arrive();
        world.crash_targets();
        world.judge();
    }
    world.outcome
}

fn check(scenario: Scenario) {
    for seed in 0..SEEDS {
        let outcome = run(scenario, seed);
        let sound = outcome.quarantined.iter().any(|part| *part != DEADLY);
        assert!(
            !sound,
            "seed {seed}: a sound part in quarantine: {outcome:?}"
        );
        assert!(
            outcome.sent_afterwards <= REQUESTS_AFTERWARDS,
            "seed {seed}: {outcome:?}"
        );
    }
}

macro_rules! fleets {
    ($($name:ident: $scenario:expr;)*) => {
        $(#[test]
        fn $name() {
            check($scenario);
        })*
    };
}

fleets! {
    a_rare_deadly_part_is_found_among_sound_ones: QUIET;
    a_frequent_deadly_part_is_found_among_sound_ones:
        Scenario { deadly_permille: 300, ..QUIET };
    a_deadly_part_is_found_while_targets_also_crash_at_random:
        Scenario { crashes_per_min: 30, ..QUIET };
    a_deadly_part_is_found_while_racks_of_targets_crash:
        Scenario { crashes_per_min: 6, crash_together: 4, targets: 12, ..QUIET };
    a_deadly_part_in_the_middle_of_the_prompt_is_found: Scenario { depth: 1, ..QUIET };
    a_deadly_part_at_the_beginning_of_the_prompt_is_found: Scenario { depth: 0, ..QUIET };
    random_crashes_make_no_part_suspect:
        Scenario { deadly_permille: 0, crashes_per_min: 60, ..QUIET };
    racks_that_crash_make_no_part_suspect:
        Scenario { deadly_permille: 0, crashes_per_min: 30, crash_together: 4, ..QUIET };
    random_crashes_make_no_rare_part_suspect:
        Scenario { deadly_permille: 0, crashes_per_min: 60, seconds: 3_000, ..QUIET };
    a_deadly_part_stays_known_where_all_processes_are_killed:
        Scenario { deadly_permille: 10, killed_at: Some(Duration::from_secs(25)), ..QUIET };
    a_part_that_crashes_targets_before_the_head_is_found: Scenario { before_head: true, ..QUIET };
    a_part_that_crashes_targets_before_the_head_is_found_while_targets_also_crash_at_random:
        Scenario { before_head: true, crashes_per_min: 30, ..QUIET };
    a_deadly_part_is_found_in_a_large_fleet:
        Scenario { targets: 90, requests_per_s: 180, seconds: 600, ..QUIET };
}

//! Orders of faults, traffic and failures, generated from a seed.

use crate::fleet::{CONTROLS, chance, pick};
use crate::judge::STEP_MS;
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;

/// Largest number of entries.
const MAX_ENTRIES: usize = 62;

#[derive(Clone, Debug)]
pub enum Fault {
    Kill {
        places: Vec<usize>,
        down_ms: u64,
    },
    Freeze {
        places: Vec<usize>,
        for_ms: u64,
    },
    /// Entries can't reach these control instances.
    Cut {
        places: Vec<usize>,
        controls: Vec<usize>,
        for_ms: u64,
    },
    Join {
        count: usize,
    },
    /// All callers send to these entries from now on.
    Move {
        places: Vec<usize>,
    },
    LoseZone {
        zone: usize,
        for_ms: u64,
    },
    /// A share of the streams break at once.
    Crash {
        share: f64,
    },
    KillControls {
        controls: Vec<usize>,
        down_ms: u64,
    },
    ChangeLeader {
        after_ms: u64,
    },
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub run_ms: u64,
    /// Entries at the start.
    pub entries: usize,
    /// Entries once all have joined.
    pub max_entries: usize,
    pub requests_per_s: f64,
    /// Factors of the traffic, with the time from which each holds.
    pub traffic: Vec<(u64, f64)>,
    /// Shares of the attempts that fail, with the time from which each holds.
    pub failures: Vec<(u64, f64)>,
    /// Faults with their times.
    pub faults: Vec<(u64, Fault)>,
}

impl Plan {
    /// Returns a plan of steady traffic to a number of entries, without faults.
    pub fn steady(entries: usize, requests_per_s: f64, run_ms: u64) -> Self {
        Self {
            seed: 1,
            run_ms,
            entries,
            max_entries: entries,
            requests_per_s,
            traffic: Vec::new(),
            failures: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Lets a share of the attempts fail from a time on.
    pub fn failing_from(mut self, at_ms: u64, share: f64) -> Self {
        self.failures.push((at_ms, share));
        self
    }

    pub fn with(mut self, at_ms: u64, fault: Fault) -> Self {
        self.faults.push((at_ms, fault));
        self
    }

    /// Kills entries in turn.
    pub fn kill_in_turn(mut self, from_ms: u64, every_ms: u64) -> Self {
        let times = (from_ms..self.run_ms).step_by(usize::try_from(every_ms).expect("a step"));
        for (turn, at_ms) in times.enumerate() {
            let places = vec![turn % self.entries];
            self.faults.push((
                at_ms / STEP_MS * STEP_MS,
                Fault::Kill {
                    places,
                    down_ms: 200,
                },
            ));
        }
        self
    }

    /// Returns the plan of a seed.
    pub fn generated(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let random = &mut random;
        let run_ms = 60_000;
        let entries = 1 + pick(random, 8);
        let max_entries = match pick(random, 3) {
            0 => MAX_ENTRIES,
            1 => entries + pick(random, 9),
            _ => entries,
        };
        let mut plan = Self {
            seed,
            run_ms,
            entries,
            max_entries,
            requests_per_s: [3.0, 25.0, 60.0, 200.0][pick(random, 4)],
            traffic: Vec::new(),
            failures: Vec::new(),
            faults: Vec::new(),
        };
        for _ in 0..pick(random, 4) {
            let factor = [0.0, 0.3, 1.0, 2.0, 4.0][pick(random, 5)];
            plan.traffic.push((time(random, run_ms), factor));
        }
        for _ in 0..=pick(random, 3) {
            let share = [1.0, 1.0, 0.7, 0.3, 0.0][pick(random, 5)];
            plan.failures.push((time(random, run_ms), share));
        }
        if chance(random, 0.6) {
            plan.failures.push((0, 1.0));
        }
        for _ in 0..pick(random, 12) {
            let fault = any_fault(random, max_entries);
            plan.faults.push((time(random, run_ms), fault));
        }
        if chance(random, 0.3) {
            let every_ms = 500 + u64::try_from(pick(random, 5_000)).expect("a time");
            plan = plan.kill_in_turn(time(random, run_ms / 2), every_ms);
        }
        plan.traffic.sort_by_key(|(at_ms, _)| *at_ms);
        plan.failures.sort_by_key(|(at_ms, _)| *at_ms);
        plan
    }

    /// Returns the faults that are due at this moment.
    pub fn due(&self, at_ms: u64) -> Vec<Fault> {
        let due = self.faults.iter().filter(|(due_ms, _)| *due_ms == at_ms);
        due.map(|(_, fault)| fault.clone()).collect()
    }

    /// Returns the factor of the traffic at a moment.
    pub fn growth(&self, at_ms: u64) -> f64 {
        value(&self.traffic, at_ms).unwrap_or(1.0)
    }

    /// Returns the share of the attempts that fail at a moment.
    pub fn failing(&self, at_ms: u64) -> f64 {
        value(&self.failures, at_ms).unwrap_or(0.0)
    }
}

fn value(changes: &[(u64, f64)], at_ms: u64) -> Option<f64> {
    let mut past = changes.iter().filter(|(from_ms, _)| *from_ms <= at_ms);
    past.next_back().map(|(_, value)| *value)
}

fn time(random: &mut ChaCha8Rng, until_ms: u64) -> u64 {
    let points = usize::try_from(until_ms / STEP_MS).expect("a length");
    u64::try_from(pick(random, points)).expect("a time") * STEP_MS
}

fn any_fault(random: &mut ChaCha8Rng, max_entries: usize) -> Fault {
    match pick(random, 10) {
        0 | 1 => Fault::Kill {
            places: some(random, max_entries),
            down_ms: time(random, 3_000),
        },
        2 => Fault::Freeze {
            places: some(random, max_entries),
            for_ms: time(random, 15_000),
        },
        3 => Fault::Cut {
            places: some(random, max_entries),
            controls: some(random, CONTROLS),
            for_ms: time(random, 20_000),
        },
        4 => Fault::Join {
            count: 1 + pick(random, MAX_ENTRIES),
        },
        5 => Fault::Move {
            places: some(random, max_entries),
        },
        6 => Fault::LoseZone {
            zone: pick(random, 3),
            for_ms: time(random, 15_000),
        },
        7 => Fault::Crash {
            share: [0.25, 0.5, 1.0][pick(random, 3)],
        },
        8 => Fault::KillControls {
            controls: some(random, CONTROLS),
            down_ms: time(random, 6_000),
        },
        _ => Fault::ChangeLeader {
            after_ms: time(random, 6_000),
        },
    }
}

/// Returns all, a half or one of the numbers below `count`.
fn some(random: &mut ChaCha8Rng, count: usize) -> Vec<usize> {
    match pick(random, 3) {
        0 => (0..count).collect(),
        1 => (0..count).filter(|_| chance(random, 0.5)).collect(),
        _ => vec![pick(random, count)],
    }
}

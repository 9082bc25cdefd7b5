//! Random failures, under which no window may exceed what the platform allows.

use super::fleet::{Fleet, Link, allowed, uniform};
use super::quota;
use super::terms;
use flamingo_guard::quota::Allowance;
use flamingo_wire::workspace::Quota;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(20);
const STEPS: u32 = 1_200;
const ENTRIES: usize = 6;
/// Steps after which each entry has the limit that the leader has.
const STEPS_IN_FORCE: u32 = 100;
const RATES: [f64; 4] = [300.0, 4_200.0, 40_000.0, 600_000.0];
const BURSTS: [f64; 4] = [0.0, 900.0, 4_200.0, 60_000.0];

/// What goes wrong in one run.
struct Walk {
    fleet: Fleet,
    /// When a new leader answers; `None` while one leads.
    elected_at: Option<u32>,
    /// When all entries have the newest limit.
    in_force_at: Option<u32>,
    /// Limits with the time until which they were in force somewhere.
    limits: Vec<(Quota, Option<Instant>)>,
}

fn pick<T: Copy>(rng: &mut ChaCha8Rng, list: &[T]) -> T {
    list[below(rng, list.len())]
}

fn below(rng: &mut ChaCha8Rng, bound: usize) -> usize {
    usize::try_from(rng.next_u32()).expect("32 bits") % bound
}

impl Walk {
    fn new(allowance: Allowance, mut rng: ChaCha8Rng) -> Self {
        let first = quota(pick(&mut rng, &RATES), pick(&mut rng, &BURSTS));
        let mut fleet = Fleet::with_allowance(ENTRIES, &[first], allowance, rng);
        fleet.loss = 0.02;
        fleet.delay = |rng| {
            let slow = rng.next_u32().is_multiple_of(20);
            Duration::from_millis(u64::from(rng.next_u32() % if slow { 400 } else { 30 }))
        };
        Self {
            fleet,
            elected_at: None,
            in_force_at: None,
            limits: vec![(first, None)],
        }
    }

    /// Lets something go wrong, or end, about once a second.
    fn disturb(&mut self, step: u32) {
        if self.elected_at == Some(step) {
            self.elected_at = None;
            self.fleet.elect();
        }
        if self.in_force_at == Some(step) {
            self.adopt_limit();
        }
        if !self.fleet.rng.next_u32().is_multiple_of(40) {
            return;
        }
        let entry = below(&mut self.fleet.rng, ENTRIES);
        match self.fleet.rng.next_u32() % 12 {
            0 | 1 => {
                self.fleet.leader = None;
                let steps = self.fleet.rng.next_u32() % 700;
                self.elected_at = Some(step + 1 + steps);
            }
            2 | 3 => self.fleet.entries[entry].link = Link::Down,
            4 => self.fleet.entries[entry].link = Link::Deaf,
            5 | 6 => self.fleet.entries[entry].link = Link::Up,
            7 => self.fleet.entries[entry].frozen = true,
            8 | 9 => self.fleet.entries[entry].frozen = false,
            10 => self.fleet.restart(entry),
            _ if self.in_force_at.is_none() => self.change_limit(step),
            _ => {}
        }
    }

    /// The leader has another limit at once, the entries each at some time, the last after a while.
    fn change_limit(&mut self, step: u32) {
        let rng = &mut self.fleet.rng;
        let next = quota(pick(rng, &RATES), pick(rng, &BURSTS));
        self.fleet.quotas = vec![next];
        self.limits.push((next, None));
        self.in_force_at = Some(step + STEPS_IN_FORCE);
    }

    fn adopt_limit(&mut self) {
        self.in_force_at = None;
        let now = self.fleet.now;
        for entry in &mut self.fleet.entries {
            entry.quotas.clone_from(&self.fleet.quotas);
        }
        let earlier = self.limits.iter_mut().rev().skip(1);
        for (_, until) in earlier {
            until.get_or_insert(now);
        }
    }

    fn run(mut self) -> Result<(), String> {
        for step in 0..STEPS {
            self.disturb(step);
            let _ = self.fleet.step(STEP);
            let per_s = self.fleet.quotas[0].per_s;
            let requests = (per_s * STEP.as_secs_f64() * 2.0 / 2_500.0).min(12.0);
            let mut left = requests.max(0.2);
            while uniform(&mut self.fleet.rng) < left {
                left -= 1.0;
                self.request();
            }
        }
        self.check()
    }

    /// A request hits an entry, more often one of the first. Costs fit the limit.
    fn request(&mut self) {
        let rng = &mut self.fleet.rng;
        let entry = below(rng, ENTRIES);
        let entry = below(rng, entry + 1);
        let scale = (self.fleet.quotas[0].per_s / 120_000.0).max(1.0);
        let units = (200.0 + 9_800.0 * uniform(rng)) * scale;
        let returning = rng.next_u32().is_multiple_of(3);
        if !self.fleet.entries[entry].frozen {
            let _ = self.fleet.request(entry, 0, units, returning);
        }
    }

    /// Compares each window with the largest limit that was in force within it or one window before.
    fn check(&self) -> Result<(), String> {
        let sent = &self.fleet.sent[0];
        let allowance = self.fleet.allowance;
        let window = allowance.window;
        let (mut sum, mut first) = (0.0, 0);
        for (at, units) in sent {
            sum += units;
            while sent[first].0 + window <= *at {
                sum -= sent[first].1;
                first += 1;
            }
            let begin = sent[first].0;
            let in_force = self
                .limits
                .iter()
                .filter(|(_, until)| until.is_none_or(|until| begin < until + window));
            let most = in_force
                .map(|(limit, _)| allowed(limit, allowance))
                .fold(0.0, f64::max);
            if sum > most {
                return Err(format!("{sum} of {most} in the window from {begin:?}"));
            }
        }
        Ok(())
    }
}

fn no_window_exceeds_the_quota(allowance: Allowance, seed: u64) -> bool {
    let walk = Walk::new(allowance, ChaCha8Rng::seed_from_u64(seed));
    let result = walk.run();
    if let Err(problem) = &result {
        println!("seed {seed}: {problem}");
    }
    result.is_ok()
}

/// Guards against any order of failures in which entries together send more than the quota.
fn no_order_of_failures_exceeds_it(property: fn(u64) -> bool) {
    flamingo_test_support::seed::check(1_000, 100, property);
}

flamingo_test_support::cases! { no_order_of_failures_exceeds_it:
    no_order_of_failures_exceeds_a_quota(|seed| no_window_exceeds_the_quota(Allowance::default(), seed));
    no_order_of_failures_exceeds_a_quota_of_short_windows(|seed| no_window_exceeds_the_quota(terms::SHORT, seed));
    no_order_of_failures_exceeds_a_quota_without_slack(|seed| no_window_exceeds_the_quota(terms::LONG, seed));
}

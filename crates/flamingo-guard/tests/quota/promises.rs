//! One workspace above its limit, whose rejected callers come back once at the time that they were told,
//! all of them, a part, or none.

use super::fleet::{Fleet, allowed, largest_window, uniform};
use super::{Skew, entry, levels, quota};
use flamingo_guard::quota::Terms;
use flamingo_guard::quota::account::Refusal;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(4);
const STEPS_PER_S: u32 = 250;
const ENTRIES: usize = 65;
/// Requests for each unit of the limit.
const LOAD: f64 = 1.3;
/// Mean cost of a request.
const MEAN: f64 = 5_750.0;
const WARM_UP_S: u32 = 60;
const SEEDS: u64 = 3;

/// One bucket that admits whatever it can pay for, and promises nothing. Random arrivals leave a bucket
/// of a few requests full for a part of the time, whatever the policy.
struct Greedy {
    per_s: f64,
    units: f64,
    filled_at: Instant,
    used: f64,
}

impl Greedy {
    fn new(per_s: f64, now: Instant) -> Self {
        Self {
            per_s,
            units: 0.0,
            filled_at: now,
            used: 0.0,
        }
    }

    fn take(&mut self, units: f64, now: Instant) {
        let terms = Terms::default();
        let size = self.per_s * (1.0 + terms.reserve_s) + terms.reserve_tokens;
        let elapsed_s = (now - self.filled_at).as_secs_f64();
        self.units = (self.units + self.per_s * elapsed_s).min(size);
        self.filled_at = now;
        if self.units >= units - terms.max_debt_tokens {
            self.units -= units;
            self.used += units;
        }
    }
}

/// Arrivals of first attempts.
#[derive(Clone, Copy, Debug)]
enum Arrivals {
    /// Independent of each other.
    Random,
    /// Between half and three halves of the mean interval after each other.
    Paced,
}

/// One workspace and its callers.
struct Callers {
    fleet: Fleet,
    arrivals: Arrivals,
    next_at: Instant,
    returning_part: f64,
    /// Rejected requests by the time at which they come back: entry and cost.
    returns: BTreeMap<Instant, Vec<(usize, f64)>>,
    greedy: Greedy,
    returned: u32,
    refused_again: u32,
}

impl Callers {
    fn new(per_s: f64, arrivals: Arrivals, returning_part: f64, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new(ENTRIES, &[quota(per_s, per_s)], rng);
        fleet.delay = |rng| Duration::from_millis(1 + u64::from(rng.next_u32() % 4));
        Self {
            arrivals,
            next_at: fleet.now,
            returning_part,
            returns: BTreeMap::new(),
            greedy: Greedy::new(per_s, fleet.now),
            returned: 0,
            refused_again: 0,
            fleet,
        }
    }

    fn interval(&mut self) -> Duration {
        let mean_s = MEAN / (self.fleet.quotas[0].per_s * LOAD);
        let drawn = uniform(&mut self.fleet.rng);
        Duration::from_secs_f64(match self.arrivals {
            Arrivals::Random => -drawn.max(1e-9).ln() * mean_s,
            Arrivals::Paced => (0.5 + drawn) * mean_s,
        })
    }

    fn step(&mut self) {
        let mut outcomes = self.fleet.step(STEP);
        let now = self.fleet.now;
        let later = self.returns.split_off(&now);
        let due = std::mem::replace(&mut self.returns, later);
        for (index, units) in due.into_values().flatten() {
            outcomes.extend(self.fleet.request(index, 0, units, true));
        }
        while self.next_at <= now {
            let interval = self.interval();
            self.next_at += interval;
            let units = 1_500.0 + 8_500.0 * uniform(&mut self.fleet.rng);
            self.greedy.take(units, now);
            let index = entry(Skew::Even, ENTRIES, &mut self.fleet.rng);
            outcomes.extend(self.fleet.request(index, 0, units, false));
        }
        for outcome in outcomes {
            self.returned += u32::from(outcome.returning);
            self.refused_again += u32::from(outcome.returning && outcome.result.is_err());
            if let Err(Refusal::Over(wait, _)) = outcome.result
                && !outcome.returning
                && uniform(&mut self.fleet.rng) < self.returning_part
            {
                let request = (outcome.entry, outcome.units);
                self.returns.entry(now + wait).or_default().push(request);
            }
        }
    }

    /// Runs for some time. Returns what was used, as a part of the limit.
    fn run(&mut self, seconds: u32) -> f64 {
        let from = self.fleet.now;
        let before = levels(&mut self.fleet)[0];
        (self.returned, self.refused_again, self.greedy.used) = (0, 0, 0.0);
        for _ in 0..seconds * STEPS_PER_S {
            self.step();
        }
        let sent = self.fleet.sent[0].iter().filter(|(at, _)| *at > from);
        let units: f64 = sent.map(|(_, units)| units).sum();
        // What is still in the bucket is not lost.
        let kept = levels(&mut self.fleet)[0] - before;
        (units + kept) / (self.fleet.quotas[0].per_s * f64::from(seconds))
    }
}

/// Guards against promises that keep first attempts out although nobody redeems them, and against
/// promises that are not kept.
fn limit_is_used_and_promises_are_kept(
    per_s: f64,
    arrivals: Arrivals,
    seconds: u32,
    returning_part: f64,
) {
    let (mut returned, mut refused_again) = (0, 0);
    for seed in 0..SEEDS {
        let mut callers = Callers::new(per_s, arrivals, returning_part, seed);
        callers.run(WARM_UP_S);
        let start = callers.fleet.now;
        let part = callers.run(seconds);
        let greedy = callers.greedy.used / (per_s * f64::from(seconds));
        println!(
            "seed {seed}: {part:.4} of the limit, {greedy:.4} without promises, {} of {} refused again",
            callers.refused_again, callers.returned
        );
        let fleet = &callers.fleet;
        let largest = largest_window(&fleet.sent[0], fleet.allowance.window, start);
        assert!(largest <= allowed(&fleet.quotas[0], fleet.allowance));
        // Of random arrivals, a bucket of three requests uses 0.85 to 0.9 of a limit at any policy.
        let least = match arrivals {
            Arrivals::Random => (0.95 * greedy).min(0.97),
            Arrivals::Paced => 0.97,
        };
        assert!(part >= least, "{part}, {greedy} without promises");
        returned += callers.returned;
        refused_again += callers.refused_again;
    }
    assert!(returning_part <= 0.0 || returned >= 100, "{returned}");
    assert!(
        refused_again * 20 <= returned,
        "{refused_again} of {returned}"
    );
}

flamingo_test_support::cases! { limit_is_used_and_promises_are_kept:
    a_small_limit_whose_callers_do_not_return(4_200.0, Arrivals::Paced, 600, 0.0);
    a_small_limit_whose_callers_return_in_part(4_200.0, Arrivals::Paced, 600, 0.3);
    a_small_limit_whose_callers_all_return(4_200.0, Arrivals::Paced, 600, 1.0);
    a_small_limit_of_random_callers_that_do_not_return(4_200.0, Arrivals::Random, 600, 0.0);
    a_small_limit_of_random_callers_that_return_in_part(4_200.0, Arrivals::Random, 600, 0.3);
    a_small_limit_of_random_callers_that_all_return(4_200.0, Arrivals::Random, 600, 1.0);
    a_large_limit_whose_callers_do_not_return(300_000.0, Arrivals::Paced, 60, 0.0);
    a_large_limit_whose_callers_return_in_part(300_000.0, Arrivals::Paced, 60, 0.3);
    a_large_limit_whose_callers_all_return(300_000.0, Arrivals::Paced, 60, 1.0);
    a_large_limit_of_random_callers_that_return_in_part(300_000.0, Arrivals::Random, 60, 0.3);
}

//! Quotas of a fleet in virtual time: no window gets more than the platform allows, whatever fails,
//! and a workspace that asks for more than its limit gets nearly all of it.

mod cost;
mod failures;
mod fleet;
mod promises;
mod terms;
mod walk;

use flamingo_guard::quota::Allowance;
use flamingo_guard::quota::account::Refusal;
use flamingo_wire::workspace::{Quota, Unit};
use fleet::{Fleet, allowed, largest_window, uniform};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(4);

/// Quota in tokens.
fn quota(per_s: f64, burst: f64) -> Quota {
    Quota {
        unit: Unit::Tokens,
        per_s,
        burst,
        plain_units: 200.0,
    }
}

/// How the callers of a workspace are spread over the entries.
#[derive(Clone, Copy, Debug)]
enum Skew {
    Even,
    One,
    Zipf,
}

/// Returns the entry that a caller hits.
fn entry(skew: Skew, entries: usize, rng: &mut ChaCha8Rng) -> usize {
    match skew {
        Skew::Even => usize::try_from(rng.next_u64()).expect("64 bits") % entries,
        Skew::One => 3,
        // The inverse of the distribution function of 1 / x.
        Skew::Zipf => {
            let count = f64::from(u32::try_from(entries).expect("few"));
            let rank = count.powf(uniform(rng)) - 1.0;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let rank = rank as usize;
            rank.min(entries - 1)
        }
    }
}

/// What a run of a fleet gave.
struct Run {
    /// Part of the limit that each workspace got.
    parts: Vec<f64>,
    /// Requests that came back when they were told, and those of them that were refused again.
    returned: usize,
    refused_again: usize,
    /// Requests, and those of them that waited for the leader.
    requests: usize,
    waited: usize,
    questions_per_s: f64,
}

/// Runs 16 workspaces, each of which asks for `load` times its limit. Part of the rejected callers
/// come back at the time that they were told.
fn run(entries: usize, skew: Skew, quotas: &[Quota], load: f64, seed: u64) -> Run {
    run_within(Allowance::default(), entries, skew, quotas, load, seed)
}

/// The same with what an operator allows in a window.
fn run_within(
    allowance: Allowance,
    entries: usize,
    skew: Skew,
    quotas: &[Quota],
    load: f64,
    seed: u64,
) -> Run {
    const SECONDS: u32 = 32;
    const FROM_S: u32 = 8;
    let mut fleet =
        Fleet::with_allowance(entries, quotas, allowance, ChaCha8Rng::seed_from_u64(seed));
    fleet.delay = |rng| Duration::from_millis(1 + u64::from(rng.next_u32() % 4));
    let start = fleet.now;
    let mut run = Run {
        parts: Vec::new(),
        returned: 0,
        refused_again: 0,
        requests: 0,
        waited: 0,
        questions_per_s: 0.0,
    };
    let mut returns: BTreeMap<Instant, Vec<(usize, usize, f64)>> = BTreeMap::new();
    let mut before = Vec::new();
    for step in 0..SECONDS * 250 {
        if step == FROM_S * 250 {
            before = levels(&mut fleet);
            (run.requests, run.waited) = (0, 0);
        }
        let mut outcomes = fleet.step(STEP);
        let later = returns.split_off(&fleet.now);
        let due = std::mem::replace(&mut returns, later);
        for (index, workspace, units) in due.into_values().flatten() {
            run.returned += 1;
            outcomes.extend(fleet.request(index, workspace, units, true));
        }
        for (workspace, quota) in quotas.iter().enumerate() {
            let expected = quota.per_s * load * STEP.as_secs_f64() / 2_500.0;
            let mut left = expected;
            while uniform(&mut fleet.rng) < left {
                left -= 1.0;
                let units = 500.0 + 4_000.0 * uniform(&mut fleet.rng);
                let index = entry(skew, entries, &mut fleet.rng);
                outcomes.extend(fleet.request(index, workspace, units, false));
                run.requests += 1;
            }
        }
        for outcome in outcomes {
            run.waited += usize::from(outcome.waited);
            let Err(Refusal::Over(wait, _)) = outcome.result else {
                continue;
            };
            run.refused_again += usize::from(outcome.returning);
            if !outcome.returning && uniform(&mut fleet.rng) < 0.3 {
                let request = (outcome.entry, outcome.workspace, outcome.units);
                returns.entry(fleet.now + wait).or_default().push(request);
            }
        }
    }
    let from = start + Duration::from_secs(u64::from(FROM_S));
    let after = levels(&mut fleet);
    for (workspace, quota) in quotas.iter().enumerate() {
        let sent = &fleet.sent[workspace];
        let largest = largest_window(sent, fleet.allowance.window, start);
        assert!(
            largest <= allowed(quota, fleet.allowance),
            "{largest} in a window, {quota:?}"
        );
        let late = sent.iter().filter(|(at, _)| *at >= from);
        let units: f64 = late.map(|(_, units)| units).sum();
        // What is still in the bucket is not lost.
        let kept = after[workspace] - before[workspace];
        let limit = quota.per_s * f64::from(SECONDS - FROM_S);
        run.parts.push((units + kept) / limit);
    }
    let questions = f64::from(u32::try_from(fleet.questions).expect("few"));
    run.questions_per_s = questions / f64::from(SECONDS);
    run
}

/// Returns the units in the leader's bucket of each workspace.
fn levels(fleet: &mut Fleet) -> Vec<f64> {
    let now = fleet.now;
    let leader = fleet.leader.as_mut().expect("there is one");
    let mut levels = vec![0.0; fleet.quotas.len()];
    for level in leader.levels(now) {
        let number: usize = level.workspace[2..].parse().expect("a number");
        levels[number] = level.units;
    }
    levels
}

/// Returns 16 quotas: three large ones, the others of 4,200 tokens a second and more.
fn quotas(large: f64) -> Vec<Quota> {
    let small = (0..13).map(|number| 4_200.0 + 1_500.0 * f64::from(number));
    let rates = [large, large / 2.0, large / 4.0].into_iter().chain(small);
    rates.map(|rate| quota(rate, rate)).collect()
}

/// Guards against a limit that gives less than it says.
fn gets_its_limit(entries: usize, skew: Skew) {
    let run = run(entries, skew, &quotas(400_000.0), 2.0, 1);
    println!("{:?}", run.parts);
    for (workspace, part) in run.parts.iter().enumerate() {
        assert!(*part >= 0.97, "workspace {workspace} got {part}");
    }
    println!("{} questions a second", run.questions_per_s);
}

flamingo_test_support::cases! { gets_its_limit:
    even_callers_of_65_entries_get_the_limit(65, Skew::Even);
    callers_of_one_of_65_entries_get_the_limit(65, Skew::One);
    uneven_callers_of_65_entries_get_the_limit(65, Skew::Zipf);
    even_callers_of_400_entries_get_the_limit(400, Skew::Even);
    callers_of_one_of_400_entries_get_the_limit(400, Skew::One);
    uneven_callers_of_400_entries_get_the_limit(400, Skew::Zipf);
}

/// Guards against a bound that holds for the default settings only.
fn stays_within_other_settings(allowance: Allowance) {
    run_within(allowance, 65, Skew::Zipf, &quotas(400_000.0), 2.0, 4);
}

flamingo_test_support::cases! { stays_within_other_settings:
    a_fleet_stays_within_short_windows(terms::SHORT);
    a_fleet_stays_within_long_windows_without_slack(terms::LONG);
}

/// Guards against times of rejections at which the request is rejected again.
#[test]
fn callers_that_come_back_when_told_are_served() {
    let run = run(65, Skew::Zipf, &quotas(400_000.0), 1.5, 2);
    assert!(run.returned > 500, "{}", run.returned);
    let again = run.refused_again * 100;
    assert!(again <= run.returned * 5, "{again}% of {}", run.returned);
}

/// Guards against round trips of requests far below the limit.
#[test]
fn requests_far_below_a_large_limit_do_not_wait() {
    let run = run(65, Skew::Even, &[quota(616_669.0, 616_669.0)], 0.3, 3);
    assert!(
        run.waited * 20 <= run.requests,
        "{} of {}",
        run.waited,
        run.requests
    );
}

//! Many entries choose targets from the same delayed load reports, in virtual time.
//!
//! Without an estimate of unreported requests, all entries send to the target that was least
//! loaded in the last report, and overload it (the herd effect).

use flamingo_guard::share::Standing;
use flamingo_serve::admission::Timing;
use flamingo_serve::choice::{Candidate, Choice, Requirements, choose};
use flamingo_serve::speed::Sample;
use flamingo_serve::table::Table;
use flamingo_serve::wire::{Load, RequestHead};
use flamingo_test_support::cases;
use flamingo_test_support::registration::registration;
use flamingo_test_support::seed::seed;
use flamingo_wire::control::Push;
use flamingo_wire::route::Engine;
use flamingo_wire::target;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

const TARGETS: [&str; 6] = ["1", "2", "3", "4", "5", "6"];
const ENTRIES: usize = 24;
/// Tokens of each prompt.
const PROMPT_TOKENS: u32 = 1_500;
/// Prefill rate of an engine.
const TOKENS_PER_MS: u32 = 20;
/// Time to the first event above which a request counts as late.
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Interval at which all entries receive each other's load.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

fn request() -> RequestHead {
    RequestHead {
        model: Some("m".into()),
        prompt_tokens: PROMPT_TOKENS,
        ..RequestHead::default()
    }
}

fn choice(
    table: &Table,
    entries: usize,
    timing: Option<Timing>,
    salt: u64,
    now: Instant,
) -> Choice {
    let engine = Engine {
        tokens: 100_000,
        ..Engine::default()
    };
    let required = Requirements {
        service: "s",
        engine: Some(&engine),
        request: &request(),
        rank: 1,
        zone: "z",
        leaving: None,
        software: None,
        late: false,
        tried: &[],
        can_load_adapters: true,
        entries,
        timing,
    };
    choose(table, &required, salt, now)
}

fn choose_target(
    table: &Table,
    entries: usize,
    timing: Option<Timing>,
    salt: u64,
    now: Instant,
) -> Candidate {
    match choice(table, entries, timing, salt, now) {
        Choice::Send(candidate) => candidate,
        other => panic!("no target chosen: {other:?}"),
    }
}

fn table(now: Instant) -> Table {
    table_of(now, &TARGETS)
}

fn table_of(now: Instant, targets: &[impl AsRef<str>]) -> Table {
    let mut table = Table::default();
    let registrations = targets.iter().map(|id| registration(id.as_ref()));
    table.apply(now, &Push::Targets(registrations.collect()));
    table
}

/// Sends the total load of all entries to each entry.
fn exchange_loads(now: Instant, tables: &mut [Table]) {
    let loads: Vec<_> = tables.iter_mut().flat_map(Table::report_loads).collect();
    let push = Push::Loads(target::sum(&loads));
    for table in tables {
        table.apply(now, &push);
    }
}

/// A prompt in prefill at a target.
struct Prefill {
    end: Instant,
    entry: usize,
    target: String,
}

/// Simulates 20 s at 85 % of the engines' capacity, with entries that each assume
/// `assumed_entries` entries. Returns the number of late requests per thousand.
fn late_per_thousand(assumed_entries: usize) -> u32 {
    let start = Instant::now();
    let mut tables: Vec<Table> = (0..ENTRIES).map(|_| table(start)).collect();
    let mut idle_from = HashMap::from(TARGETS.map(|target| (target.to_owned(), start)));
    let mut prefills: Vec<Prefill> = Vec::new();
    let mut reported_at = start;
    let mut late = 0;
    let mut count = 0;
    let mut now = start;
    while now < start + Duration::from_secs(20) {
        prefills.retain(|prefill| {
            if prefill.end <= now {
                let target = tables[prefill.entry].get_mut(&prefill.target);
                target
                    .expect("target is known")
                    .own
                    .remove_backlog(1, PROMPT_TOKENS);
            }
            prefill.end > now
        });
        if now >= reported_at + REPORT_INTERVAL {
            exchange_loads(now, &mut tables);
            reported_at = now;
        }
        let entry = count as usize * 7 % ENTRIES;
        let candidate = choose_target(&tables[entry], assumed_entries, None, u64::from(count), now);
        let begin = idle_from[&candidate.target].max(now);
        let end = begin + Duration::from_millis(u64::from(PROMPT_TOKENS / TOKENS_PER_MS));
        idle_from.insert(candidate.target.clone(), end);
        tables[entry].record_prompt_tokens("s", "m", candidate.uncached_tokens, now);
        let target = tables[entry]
            .get_mut(&candidate.target)
            .expect("target is known");
        target.own.add_backlog(1, PROMPT_TOKENS);
        prefills.push(Prefill {
            end,
            entry,
            target: candidate.target,
        });
        late += u32::from(end - now > OBJECTIVE);
        count += 1;
        now += Duration::from_micros(14_700);
    }
    late * 1_000 / count
}

#[test]
fn entries_do_not_all_send_to_the_target_that_was_least_busy() {
    let (alone, together) = (late_per_thousand(1), late_per_thousand(ENTRIES));
    // One in twenty may be late, as in the other load tests.
    assert!(together <= 50, "{together} of 1,000 late");
    assert!(
        alone >= together.max(1) * 4,
        "{alone} of 1,000 late without the estimate, {together} with it"
    );
}

/// Guards against rejecting a request at the drawn target while another target has capacity.
#[test]
fn a_request_is_drawn_only_among_targets_that_admit_it() {
    let now = Instant::now();
    let mut table = table(now);
    for (index, target) in TARGETS.iter().enumerate() {
        let tokens = if index == 3 { 9_000 } else { 13_000 };
        let target = table.get_mut(target).expect("target is known");
        target.own.add_backlog(1, tokens);
    }
    // Enough unreported work that every target has a share of it.
    for _ in 0..20 {
        table.record_prompt_tokens("s", "m", 2_000, now);
    }
    let timing = Timing {
        standing: Standing::Unlimited,
        elapsed: Duration::ZERO,
        objective: Duration::from_millis(600),
        remaining: Duration::from_secs(4),
        has_begun: false,
        queueing_delay: Duration::ZERO,
    };
    let drawn_elsewhere = |timing| {
        let salts = 0..50;
        let candidates = salts.map(|salt| choose_target(&table, ENTRIES, timing, salt, now));
        candidates
            .filter(|candidate| candidate.target != "4")
            .count()
    };
    assert!(drawn_elsewhere(None) > 0);
    assert_eq!(drawn_elsewhere(Some(timing)), 0);
}

/// Targets of the uneven fleet.
const UNEVEN_TARGETS: usize = 140;
/// Requests in a millisecond: three quarters of what the uneven fleet serves at its usual pace.
const UNEVEN_REQUESTS: f64 = 1.4;
/// Time to the first event above which a request to the uneven fleet counts as late.
const UNEVEN_OBJECTIVE: Duration = Duration::from_millis(800);
/// Time of the run, in milliseconds.
const UNEVEN_RUN_MS: u64 = 10_000;
const SLOW_PACE: f64 = 2.5;
const SLOW_MS: u64 = 600;
/// Probability that a target becomes slow in a millisecond, so that it is slow for 15% of the time.
const SLOW_PER_MS: f64 = 0.15 / 0.85 / 600.0;

/// A target of the uneven fleet.
#[derive(Default)]
struct Uneven {
    /// Prompts with their entry, time of arrival in milliseconds, and tokens left.
    queue: VecDeque<(usize, Candidate, u64, f64)>,
    slow_until_ms: u64,
    received: f64,
    late: f64,
}

impl Uneven {
    /// Processes prompts for one millisecond.
    fn process(&mut self, tables: &mut [Table], start: Instant, now_ms: u64) {
        let now = start + Duration::from_millis(now_ms);
        let slow = now_ms < self.slow_until_ms;
        let pace = if slow { SLOW_PACE } else { 1.0 };
        let mut budget = f64::from(TOKENS_PER_MS) / pace;
        while let Some((_, _, _, left)) = self.queue.front_mut() {
            let done = left.min(budget);
            *left -= done;
            budget -= done;
            if *left > 0.0 {
                break;
            }
            let (entry, candidate, arrived_ms, _) = self.queue.pop_front().expect("the first one");
            let table = &mut tables[entry];
            let target = table.get_mut(&candidate.target).expect("target is known");
            target.own.running -= 1;
            target.own.remove_backlog(1, candidate.work_tokens);
            let load = Load {
                running: target.own.running + target.others.running,
                waiting: 0,
                slots: 64,
                pace: Some(pace),
            };
            table.record_load(&candidate.target, load, now);
            let sample = Sample {
                tokens: candidate.uncached_tokens,
                running: candidate.basis.running,
                time: Duration::from_millis(now_ms + 1 - arrived_ms),
            };
            self.late += f64::from(u8::from(sample.time > UNEVEN_OBJECTIVE));
            if candidate.backlog_tokens == 0 {
                table.observe_first_event("s", "m", &candidate.target, &sample, now);
            }
        }
    }
}

/// Guards against entries that all turn away from slow targets to the same other ones, and against
/// rejections while others have capacity. The bounds are the page's; the busiest target is the one that
/// received the most requests over the run.
fn slow_targets_cause_no_herd(entries: usize) {
    let start = Instant::now();
    let names: Vec<_> = (0..UNEVEN_TARGETS).map(|id| id.to_string()).collect();
    let mut tables: Vec<_> = (0..entries).map(|_| table_of(start, &names)).collect();
    let mut targets: Vec<_> = names.iter().map(|_| Uneven::default()).collect();
    let mut random = ChaCha8Rng::seed_from_u64(seed());
    let mut fraction = move || (f64::from(random.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0);
    let timing = Timing {
        standing: Standing::Unlimited,
        elapsed: Duration::ZERO,
        objective: UNEVEN_OBJECTIVE,
        remaining: Duration::from_secs(4),
        has_begun: false,
        queueing_delay: Duration::ZERO,
    };
    let (mut due, mut received, mut rejected) = (0.0, 0.0, 0.0);
    for now_ms in 0..UNEVEN_RUN_MS {
        let now = start + Duration::from_millis(now_ms);
        if now_ms % 200 == 0 {
            exchange_loads(now, &mut tables);
        }
        due += UNEVEN_REQUESTS;
        while due >= 0.0 {
            // Times between arrivals have an exponential distribution.
            due += fraction().ln();
            let salt = fraction().to_bits();
            let entry = usize::try_from(salt % 1_000_003).expect("small") % entries;
            let table = &mut tables[entry];
            let Choice::Send(candidate) = choice(table, entries, Some(timing), salt, now) else {
                rejected += 1.0;
                continue;
            };
            received += 1.0;
            table.record_prompt_tokens("s", "m", candidate.uncached_tokens, now);
            let target = table.get_mut(&candidate.target).expect("target is known");
            target.own.running += 1;
            target.own.add_backlog(1, candidate.work_tokens);
            let id: usize = candidate.target.parse().expect("a number");
            targets[id].received += 1.0;
            let prompt = (entry, candidate, now_ms, f64::from(PROMPT_TOKENS));
            targets[id].queue.push_back(prompt);
        }
        for target in &mut targets {
            if fraction() < SLOW_PER_MS && now_ms >= target.slow_until_ms {
                target.slow_until_ms = now_ms + SLOW_MS;
            }
            target.process(&mut tables, start, now_ms);
        }
    }
    let most = targets
        .iter()
        .map(|target| target.received)
        .fold(0.0, f64::max);
    let busiest = most * 140.0 / received;
    let rejected = rejected / (received + rejected);
    let late = targets.iter().map(|target| target.late).sum::<f64>() / received;
    println!("{entries} entries: busiest {busiest:.3}, rejected {rejected:.4}, late {late:.4}");
    // The page names no bound of late ones. Over a whole run a herd moves on from target to target, so it
    // shows here only: 34 in 1,000 without the estimate of unreported requests.
    assert!(late <= 0.02, "{late:.3} of the requests late");
    assert!(
        busiest <= 1.3,
        "the busiest target has {busiest:.2} times the mean"
    );
    assert!(rejected <= 0.02, "{rejected:.3} of the arrivals rejected");
}

cases! { slow_targets_cause_no_herd:
    slow_targets_cause_no_herd_of_134_entries(134);
    slow_targets_cause_no_herd_of_400_entries(400);
}

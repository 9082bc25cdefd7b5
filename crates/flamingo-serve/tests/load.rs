//! Admission and choice of targets under load, in virtual time.

use flamingo_guard::observer::Life;
use flamingo_guard::share::Standing;
use flamingo_serve::admission::Timing;
use flamingo_serve::choice::{Candidate, Choice, Requirements, choose};
use flamingo_serve::table::Table;
use flamingo_serve::wire::{PromptPart, RequestHead};
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::route::Engine;
use flamingo_wire::target::{Loading, Registration, Residency, Resident};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Prefill rate of an engine.
const TOKENS_PER_MS: u32 = 20;
const OBJECTIVE: Duration = Duration::from_millis(800);
const MAX_WAIT: Duration = Duration::from_secs(4);

fn table(now: Instant, targets: &[&str]) -> Table {
    let mut table = Table::default();
    let registrations = targets.iter().map(|id| registration(id)).collect();
    table.apply(now, &Push::Targets(registrations));
    table
}

fn request(prompt_tokens: u32) -> RequestHead {
    RequestHead {
        model: Some("m".into()),
        prompt_tokens,
        ..RequestHead::default()
    }
}

fn required<'a>(
    request: &'a RequestHead,
    engine: &'a Engine,
    tried: &'a [Life],
) -> Requirements<'a> {
    Requirements {
        service: "s",
        engine: Some(engine),
        request,
        rank: 1,
        zone: "z",
        leaving: None,
        software: None,
        late: false,
        tried,
        can_load_adapters: true,
        entries: 1,
        timing: None,
    }
}

fn choose_target(table: &Table, request: &RequestHead, now: Instant) -> Candidate {
    let engine = Engine {
        tokens: 100_000,
        ..Engine::default()
    };
    match choose(table, &required(request, &engine, &[]), 1, now) {
        Choice::Send(candidate) => candidate,
        other => panic!("no target chosen: {other:?}"),
    }
}

/// A prompt in prefill at a target.
struct Prefill {
    sent_at: Instant,
    end: Instant,
    target: String,
    tokens: u32,
    backlog_tokens: u32,
}

/// Outcomes by prompt size.
type OutcomesBySize = HashMap<u32, Outcomes>;

/// Numbers of requests by outcome.
#[derive(Debug, Default)]
struct Outcomes {
    requests: u32,
    on_time: u32,
    late: u32,
    refused: u32,
}

/// A simulated load and the engines that serve it.
struct Load {
    duration: Duration,
    /// Time from the n-th arrival to the next.
    pause: fn(u32) -> Duration,
    /// Prompt tokens of the n-th request.
    prompt_tokens: fn(u32) -> u32,
    /// Whether requests may be refused.
    admission: bool,
    /// Prefill rate of the engines.
    tokens_per_ms: u32,
    /// Whether the prefill rate is learned from observed latencies.
    learn: bool,
}

/// Simulates a load of 20 s on three engines with the default prefill rate.
fn simulate_default(
    pause: fn(u32) -> Duration,
    prompt_tokens: fn(u32) -> u32,
    admission: bool,
) -> (Outcomes, OutcomesBySize) {
    simulate(&Load {
        duration: Duration::from_secs(20),
        pause,
        prompt_tokens,
        admission,
        tokens_per_ms: TOKENS_PER_MS,
        learn: true,
    })
}

/// Simulates a load on three engines.
fn simulate(load: &Load) -> (Outcomes, OutcomesBySize) {
    let start = Instant::now();
    let targets = ["1", "2", "3"];
    let mut table = table(start, &targets);
    let mut idle_from = HashMap::from(targets.map(|target| (target.to_owned(), start)));
    let mut prefills: Vec<Prefill> = Vec::new();
    let mut all = Outcomes::default();
    let mut by_size: HashMap<u32, Outcomes> = HashMap::new();
    let mut now = start;
    while now < start + load.duration {
        prefills.retain(|prefill| {
            if prefill.end <= now {
                let target = table.get_mut(&prefill.target).expect("target is known");
                target.own.remove_backlog(1, prefill.tokens);
                if load.learn && prefill.backlog_tokens == 0 {
                    let estimator = table.prefill_mut("s");
                    estimator.observe(prefill.tokens, prefill.end - prefill.sent_at);
                }
            }
            prefill.end > now
        });
        let tokens = (load.prompt_tokens)(all.requests);
        let pause = (load.pause)(all.requests);
        let candidate = choose_target(&table, &request(tokens), now);
        let timing = Timing {
            standing: Standing::Unlimited,
            elapsed: Duration::ZERO,
            objective: OBJECTIVE,
            remaining: MAX_WAIT,
            has_begun: false,
            queueing_delay: candidate.queueing_delay,
        };
        let of_size = by_size.entry(tokens).or_default();
        for outcomes in [&mut all, &mut *of_size] {
            outcomes.requests += 1;
        }
        if load.admission && !timing.admitted() {
            all.refused += 1;
            of_size.refused += 1;
        } else {
            let begin = idle_from[&candidate.target].max(now);
            let end = begin + Duration::from_millis(u64::from(tokens / load.tokens_per_ms));
            idle_from.insert(candidate.target.clone(), end);
            table
                .get_mut(&candidate.target)
                .expect("target is known")
                .own
                .add_backlog(1, tokens);
            prefills.push(Prefill {
                sent_at: now,
                end,
                target: candidate.target,
                tokens,
                backlog_tokens: candidate.backlog_tokens,
            });
            for outcomes in [&mut all, of_size] {
                if end - now <= OBJECTIVE {
                    outcomes.on_time += 1;
                } else {
                    outcomes.late += 1;
                }
            }
        }
        now += pause;
    }
    (all, by_size)
}

#[test]
fn within_capacity_nobody_is_refused_or_late() {
    let (all, _) = simulate_default(|_| Duration::from_millis(30), |_| 1_500, true);
    assert_eq!((all.refused, all.late), (0, 0), "{all:?}");
}

#[test]
fn at_twice_the_capacity_admitted_requests_are_on_time() {
    let pause = |_| Duration::from_millis(13);
    let (with, _) = simulate_default(pause, |_| 1_500, true);
    let (without, _) = simulate_default(pause, |_| 1_500, false);
    // Three engines have capacity for half of the requests.
    assert!(with.on_time * 100 >= with.requests * 48, "{with:?}");
    assert!(with.late * 20 <= with.on_time, "{with:?}");
    assert!(without.on_time * 4 < with.on_time, "{without:?}");
}

#[test]
fn the_rate_of_engines_slower_than_assumed_is_learned_before_an_overload() {
    // First prompts that rarely overlap, then twice the capacity of three engines.
    let load = |learn| Load {
        duration: Duration::from_secs(200),
        pause: |n| Duration::from_millis(if n < 3_000 { 60 } else { 12 }),
        prompt_tokens: |n| 300 + n % 4 * 300,
        admission: true,
        tokens_per_ms: TOKENS_PER_MS / 2,
        learn,
    };
    let (with, _) = simulate(&load(true));
    let (without, _) = simulate(&load(false));
    assert!(with.late * 20 <= with.on_time, "{with:?}");
    // With the default rate, which is too high, admission accepts too many requests.
    assert!(without.late > with.late * 4, "{with:?} {without:?}");
}

#[test]
fn large_requests_are_not_the_ones_that_are_refused() {
    let prompt_tokens = |n| if n % 10 == 0 { 6_000 } else { 1_200 };
    let (all, by_size) = simulate_default(|_| Duration::from_millis(16), prompt_tokens, true);
    let served = |outcomes: &Outcomes| outcomes.requests - outcomes.refused;
    assert!(all.refused > 0);
    let (large, all_served) = (&by_size[&6_000], served(&all));
    // The users require that large requests are served at least half as often as all requests.
    assert!(
        served(large) * all.requests * 2 >= all_served * large.requests,
        "{by_size:?}"
    );
}

#[test]
fn a_prompt_goes_where_its_parts_are_kept() {
    let now = Instant::now();
    let mut table = table(now, &["1", "2", "3"]);
    let mut request = request(1_500);
    request.prompt_parts = [
        PromptPart { id: 1, tokens: 800 },
        PromptPart { id: 2, tokens: 700 },
    ]
    .into_iter()
    .collect();
    let first = choose_target(&table, &request, now);
    let cache_key = flamingo_serve::choice::cache_key(&request);
    let target = table.get_mut(&first.target).expect("target is known");
    target.record_prompt(cache_key, &request.prompt_parts, first.uncached_tokens);
    let second = choose_target(&table, &request, now);
    assert_eq!((second.target, second.uncached_tokens), (first.target, 1));
}

#[test]
fn a_target_that_failed_is_taken_only_where_no_other_is_left() {
    let now = Instant::now();
    let mut table = table(now, &["1", "2"]);
    table.record_failure("1", now);
    for _ in 0..5 {
        assert_eq!(choose_target(&table, &request(100), now).target, "2");
    }
    table.record_failure("2", now);
    let later = now + Duration::from_secs(1);
    choose_target(&table, &request(100), later);
    table.record_response("1");
    assert_eq!(choose_target(&table, &request(100), now).target, "1");
}

#[test]
fn a_target_whose_heads_are_sound_and_whose_bodies_break_stays_avoided() {
    let start = Instant::now();
    let mut table = table(start, &["1", "2"]);
    let mut tries = 0;
    for ms in (0..20_000).step_by(100) {
        let now = start + Duration::from_millis(ms);
        if table.get("1").expect("target is known").is_avoided(now) {
            continue;
        }
        // Three requests at a time.
        for _ in 0..3 {
            table.record_sign_of_life("1");
            table.record_failure("1", now);
        }
        tries += 1;
    }
    assert!(tries <= 6, "{tries} tries in 20 s");
    table.record_response("1");
    let later = start + Duration::from_secs(20);
    assert!(!table.get("1").expect("target is known").is_avoided(later));
}

#[test]
fn requests_that_fail_together_count_once() {
    let now = Instant::now();
    let mut table = table(now, &["1", "2"]);
    for _ in 0..60 {
        table.record_failure("1", now);
    }
    let later = now + Duration::from_secs(1);
    assert!(!table.get("1").expect("target is known").is_avoided(later));
}

#[test]
fn a_target_that_lacks_the_model_is_passed_over_for_a_while() {
    let now = Instant::now();
    let mut table = table(now, &["1"]);
    table.record_missing_model("1", "m", now);
    let engine = Engine::default();
    let request = request(100);
    assert_eq!(
        choose(&table, &required(&request, &engine, &[]), 1, now),
        Choice::NoModel
    );
    choose_target(&table, &request, now + Duration::from_secs(1));
}

#[test]
fn more_urgent_prompts_count_before_less_urgent_ones() {
    let now = Instant::now();
    let mut table = table(now, &["1"]);
    table
        .get_mut("1")
        .expect("target is known")
        .own
        .add_backlog(2, 10_000);
    assert_eq!(
        choose_target(&table, &request(100), now).queueing_delay,
        Duration::ZERO
    );
    table
        .get_mut("1")
        .expect("target is known")
        .own
        .add_backlog(0, 2_000);
    assert_eq!(
        choose_target(&table, &request(100), now).queueing_delay,
        Duration::from_millis(100)
    );
}

#[test]
fn a_model_that_is_being_unloaded_gets_no_requests_while_its_last_ones_end() {
    let now = Instant::now();
    let mut table = table(now, &["i-0"]);
    let registration = registration("i-0");
    // The control instance that gives the target's orders is about to unload the model.
    let unloading = Residency {
        target: registration.id.clone(),
        incarnation: registration.incarnation,
        models: Vec::new(),
        executing: true,
        loading: None,
    };
    table.apply(now, &Push::Residency(vec![unloading]));
    // The target's registration still lists the model until its last requests have ended, and an
    // adapter that was loaded just before.
    let lagging = Registration {
        sequence: registration.sequence + 1,
        models: vec![Resident {
            model: "m".into(),
            adapters: vec!["late".into()],
        }],
        ..registration
    };
    table.apply(now, &Push::Targets(vec![lagging]));
    let request = request(100);
    let engine = Engine::default();
    let choice = choose(&table, &required(&request, &engine, &[]), 1, now);
    assert_eq!(choice, Choice::NoModel);
}

#[test]
fn a_model_that_is_being_loaded_is_named_with_the_end_of_its_first_load() {
    let now = Instant::now();
    let mut table = table(now, &["i-0", "i-1"]);
    let residency = |target: &str, remaining_ms| Residency {
        target: target.into(),
        incarnation: registration(target).incarnation,
        models: Vec::new(),
        executing: true,
        loading: Some(Loading {
            model: "m".into(),
            remaining_ms,
        }),
    };
    let loads = vec![residency("i-0", 3_000), residency("i-1", 2_000)];
    table.apply(now, &Push::Residency(loads));
    let request = request(100);
    let engine = Engine::default();
    let choice = |now| choose(&table, &required(&request, &engine, &[]), 1, now);
    let ready_at = now + Duration::from_secs(2);
    assert_eq!(choice(now), Choice::Loading(ready_at));
    let late = ready_at + Duration::from_secs(30);
    assert_eq!(choice(late), Choice::NoModel, "a load that never ends");
}

//! Many entries choose targets from the same delayed load reports, in virtual time.
//!
//! Without an estimate of unreported requests, all entries send to the target that was least
//! loaded in the last report, and overload it (the herd effect).

use flamingo_serve::admission::Timing;
use flamingo_serve::choice::{Candidate, Choice, Requirements, choose};
use flamingo_serve::table::Table;
use flamingo_serve::wire::RequestHead;
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::route::Engine;
use flamingo_wire::target;
use std::collections::HashMap;
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

fn choose_target(
    table: &Table,
    entries: usize,
    timing: Option<Timing>,
    salt: u64,
    now: Instant,
) -> Candidate {
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
    match choose(table, &required, salt, now) {
        Choice::Send(candidate) => candidate,
        other => panic!("no target chosen: {other:?}"),
    }
}

fn table(now: Instant) -> Table {
    let mut table = Table::default();
    let registrations = TARGETS.iter().map(|id| registration(id)).collect();
    table.apply(now, &Push::Targets(registrations));
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

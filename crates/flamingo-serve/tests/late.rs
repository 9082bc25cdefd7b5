//! Requests that can't meet their objective are answered late, in virtual time: entries that choose by
//! delayed reports, and engines that process the most urgent prompt first.

use flamingo_guard::share::Standing;
use flamingo_serve::admission::{LATE_RANK, Timing};
use flamingo_serve::choice::{Candidate, Choice, Requirements, choose_by_policy};
use flamingo_serve::table::Table;
use flamingo_serve::wire::RequestHead;
use flamingo_test_support::cases;
use flamingo_test_support::registration::registration;
use flamingo_wire::config::LatePolicy;
use flamingo_wire::control::Push;
use flamingo_wire::route::{Engine, Rank};
use flamingo_wire::target;
use std::time::{Duration, Instant};

const TARGETS: usize = 6;
const ENTRIES: usize = 12;
const PROMPT_TOKENS: u32 = 1_500;
const TOKENS_PER_MS: u32 = 20;
const REPORT_INTERVAL_MS: u64 = 200;
const RANK: Rank = 1;
const OBJECTIVE_MS: u64 = 1_000;
const MAX_WAIT_MS: u64 = 8_000;

fn choose(table: &Table, policy: LatePolicy, remaining_ms: u64, salt: u64, now: Instant) -> Choice {
    let engine = Engine {
        tokens: 100_000,
        ..Engine::default()
    };
    let request = RequestHead {
        model: Some("m".into()),
        prompt_tokens: PROMPT_TOKENS,
        ..RequestHead::default()
    };
    let required = Requirements {
        service: "s",
        engine: Some(&engine),
        request: &request,
        rank: RANK,
        zone: "z",
        leaving: None,
        software: None,
        tried: &[],
        can_load_adapters: true,
        entries: ENTRIES,
        timing: Some(Timing {
            standing: Standing::Unlimited,
            elapsed: Duration::ZERO,
            objective: Duration::from_millis(OBJECTIVE_MS),
            remaining: Duration::from_millis(remaining_ms),
            has_begun: false,
            queueing_delay: Duration::ZERO,
        }),
        late: false,
    };
    choose_by_policy(table, &required, policy, salt, now)
}

fn table(now: Instant, targets: usize) -> Table {
    let mut table = Table::default();
    let registrations = (0..targets).map(|id| registration(&id.to_string()));
    table.apply(now, &Push::Targets(registrations.collect()));
    table
}

struct Prompt {
    rank: Rank,
    entry: usize,
    arrived_ms: u64,
    left: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    on_time: u64,
    /// Answered after the objective, while the caller waits.
    late: u64,
    /// Answered after the caller has left.
    in_vain: u64,
    /// Sent at the rank of the route, and late.
    made_late: u64,
    refused: u64,
}

/// Plays bursts of 2 s at twice the capacity, with 6 s at half of it in between.
fn play(policy: LatePolicy) -> Outcome {
    let start = Instant::now();
    let mut tables: Vec<Table> = (0..ENTRIES).map(|_| table(start, TARGETS)).collect();
    let mut queues: [Vec<Prompt>; TARGETS] = Default::default();
    let mut outcome = Outcome::default();
    let mut due = 0;
    let mut requests = 0;
    for now_ms in 0..48_000 {
        let now = start + Duration::from_millis(now_ms);
        if now_ms % REPORT_INTERVAL_MS == 0 {
            let loads: Vec<_> = tables.iter_mut().flat_map(Table::report_loads).collect();
            let push = Push::Loads(target::sum(&loads));
            for table in &mut tables {
                table.apply(now, &push);
            }
        }
        // Twice the work of a millisecond, or half of it.
        due += if now_ms % 8_000 < 2_000 { 240 } else { 60 };
        while due >= PROMPT_TOKENS && now_ms < 40_000 {
            due -= PROMPT_TOKENS;
            requests += 1;
            let entry = usize::try_from(requests * 7_919 % 1_009).expect("small") % ENTRIES;
            let table = &mut tables[entry];
            let Choice::Send(candidate) = choose(table, policy, MAX_WAIT_MS, requests, now) else {
                outcome.refused += 1;
                continue;
            };
            // As the entry does: a late request counts as running from its first event on.
            let runs = candidate.rank == RANK;
            if runs {
                table.record_prompt_tokens("s", "m", PROMPT_TOKENS, now);
            }
            let target = table.get_mut(&candidate.target).expect("a known target");
            target.own.add_backlog(candidate.rank, PROMPT_TOKENS);
            target.own.running += u32::from(runs);
            let queue: usize = candidate.target.parse().expect("a number");
            queues[queue].push(Prompt {
                rank: candidate.rank,
                entry,
                arrived_ms: now_ms,
                left: PROMPT_TOKENS,
            });
        }
        for (id, queue) in queues.iter_mut().enumerate() {
            process(queue, &id.to_string(), now_ms, &mut tables, &mut outcome);
        }
    }
    println!("{policy:?}: {outcome:?} of {requests}");
    outcome
}

/// Lets an engine process prompts for one millisecond.
fn process(
    queue: &mut Vec<Prompt>,
    id: &str,
    now_ms: u64,
    tables: &mut [Table],
    outcome: &mut Outcome,
) {
    let next = queue.iter().enumerate();
    let next = next.min_by_key(|(index, prompt)| (prompt.rank, *index));
    let Some(index) = next.map(|(index, _)| index) else {
        return;
    };
    queue[index].left -= TOKENS_PER_MS;
    if queue[index].left > 0 {
        return;
    }
    let prompt = queue.remove(index);
    let target = tables[prompt.entry].get_mut(id).expect("a known target");
    target.own.remove_backlog(prompt.rank, PROMPT_TOKENS);
    target.own.running -= u32::from(prompt.rank == RANK);
    match now_ms - prompt.arrived_ms {
        0..=OBJECTIVE_MS => outcome.on_time += 1,
        waited => {
            outcome.made_late += u64::from(prompt.rank == RANK);
            let answered = waited <= MAX_WAIT_MS;
            *(if answered {
                &mut outcome.late
            } else {
                &mut outcome.in_vain
            }) += 1;
        }
    }
}

/// Guards against refusing what the idle time after a burst can serve, and against late answers at the
/// expense of requests that would be on time.
#[test]
fn after_a_burst_its_requests_are_answered_late() {
    let refusing = play(LatePolicy::Refuse);
    let serving = play(LatePolicy::Serve);
    assert!(refusing.refused > 100, "{refusing:?}");
    assert!(serving.refused * 10 <= refusing.refused, "{serving:?}");
    assert_eq!(serving.in_vain, 0, "{serving:?}");
    assert!(serving.on_time >= refusing.on_time, "{serving:?}");
    assert!(serving.made_late <= refusing.made_late, "{serving:?}");
}

/// Checks what becomes of a request before a target with prompts of these ranks: its rank if it is sent.
fn decided(backlog: &[(Rank, u32)], remaining_ms: u64, policy: LatePolicy, expected: Option<Rank>) {
    let now = Instant::now();
    let mut table = table(now, 1);
    let target = table.get_mut("0").expect("a known target");
    for (rank, tokens) in backlog {
        target.own.add_backlog(*rank, *tokens);
    }
    let choice = choose(&table, policy, remaining_ms, 1, now);
    let rank = match choice {
        Choice::Send(Candidate { rank, .. }) => Some(rank),
        _ => None,
    };
    assert_eq!(rank, expected, "{choice:?}");
}

cases! { decided:
    a_request_on_time_keeps_its_rank(
        &[(1, 10_000)], 8_000, LatePolicy::Serve, Some(RANK));
    late_prompts_do_not_delay_a_request_on_time(
        &[(LATE_RANK, 100_000)], 8_000, LatePolicy::Serve, Some(RANK));
    a_request_that_can_be_late_gets_the_last_rank(
        &[(1, 40_000)], 8_000, LatePolicy::Serve, Some(LATE_RANK));
    without_the_policy_it_is_refused(
        &[(1, 40_000)], 8_000, LatePolicy::Refuse, None);
    a_request_whose_caller_leaves_first_is_refused(
        &[(1, 40_000)], 4_000, LatePolicy::Serve, None);
    a_request_behind_too_many_late_ones_is_refused(
        &[(1, 40_000), (LATE_RANK, 60_000)], 8_000, LatePolicy::Serve, None);
}

/// Guards against late requests that a target without a free slot turns away.
#[test]
fn a_full_target_gets_no_late_request() {
    let now = Instant::now();
    let mut table = table(now, 1);
    let target = table.get_mut("0").expect("a known target");
    target.own.add_backlog(RANK, 40_000);
    target.own.running = target.registration.slots;
    let choice = choose(&table, LatePolicy::Serve, MAX_WAIT_MS, 1, now);
    assert!(matches!(choice, Choice::QueueTooLong(_)), "{choice:?}");
}

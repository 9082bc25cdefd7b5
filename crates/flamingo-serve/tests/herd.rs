//! Many entries that choose by the same old figures, in virtual time: what callers get.

use flamingo_serve::admission::Claim;
use flamingo_serve::choice::{Choice, Need, Pick, choose};
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
/// Tokens of each prompt, and those that an engine reads in a millisecond.
const PROMPT: u32 = 1_500;
const RATE: u32 = 20;
/// Wait from which a first event counts as late.
const LATE: Duration = Duration::from_millis(400);
/// Time after which all entries learn of each other's requests.
const PERIOD: Duration = Duration::from_millis(200);

fn ask() -> RequestHead {
    RequestHead {
        model: Some("m".into()),
        prompt_tokens: PROMPT,
        ..RequestHead::default()
    }
}

fn pick(table: &Table, entries: usize, claim: Option<Claim>, salt: u64, now: Instant) -> Pick {
    let engine = Engine {
        tokens: 100_000,
        ..Engine::default()
    };
    let need = Need {
        service: "s",
        engine: Some(&engine),
        ask: &ask(),
        rank: 1,
        zone: "z",
        tried: &[],
        orders: true,
        entries,
        claim,
    };
    match choose(table, &need, salt, now) {
        Choice::Send(pick) => pick,
        other => panic!("{other:?}"),
    }
}

fn table(now: Instant) -> Table {
    let mut table = Table::default();
    let words = TARGETS.iter().map(|id| registration(id)).collect();
    table.take(now, &Push::Targets(words));
    table
}

/// Tells each entry of the requests of all.
fn share(now: Instant, tables: &mut [Table]) {
    let loads: Vec<_> = tables.iter_mut().flat_map(Table::tell).collect();
    let push = Push::Loads(target::sum(&loads));
    for table in tables {
        table.take(now, &push);
    }
}

/// A prompt that a target reads.
struct Reading {
    end: Instant,
    entry: usize,
    target: String,
}

/// Plays 20 s at 85 % of what the engines read, over entries that each believe in `known` of
/// them; returns how many of a thousand requests had a late first event.
fn late(known: usize) -> u32 {
    let start = Instant::now();
    let mut tables: Vec<Table> = (0..ENTRIES).map(|_| table(start)).collect();
    let mut free = HashMap::from(TARGETS.map(|target| (target.to_owned(), start)));
    let mut reading: Vec<Reading> = Vec::new();
    let mut told = start;
    let mut late = 0;
    let mut count = 0;
    let mut now = start;
    while now < start + Duration::from_secs(20) {
        reading.retain(|prompt| {
            if prompt.end <= now {
                let target = tables[prompt.entry].get_mut(&prompt.target);
                target.expect("known").own.remove_backlog(1, PROMPT);
            }
            prompt.end > now
        });
        if now >= told + PERIOD {
            share(now, &mut tables);
            told = now;
        }
        let entry = count as usize * 7 % ENTRIES;
        let pick = pick(&tables[entry], known, None, u64::from(count), now);
        let begin = free[&pick.target].max(now);
        let end = begin + Duration::from_millis(u64::from(PROMPT / RATE));
        free.insert(pick.target.clone(), end);
        tables[entry].sent("s", "m", pick.fresh, now);
        let target = tables[entry].get_mut(&pick.target).expect("known");
        target.own.add_backlog(1, PROMPT);
        reading.push(Reading {
            end,
            entry,
            target: pick.target,
        });
        late += u32::from(end - now > LATE);
        count += 1;
        now += Duration::from_micros(14_700);
    }
    late * 1_000 / count
}

#[test]
fn entries_do_not_all_send_to_the_target_that_was_least_busy() {
    let (alone, together) = (late(1), late(ENTRIES));
    // One in twenty, as in the other loads.
    assert!(together <= 50, "{together} of 1,000 late");
    assert!(alone >= together.max(1) * 4, "{alone} against {together}");
}

/// A draw must not refuse a request that another target has room for.
#[test]
fn a_request_is_drawn_only_among_targets_that_let_it_in() {
    let now = Instant::now();
    let mut table = table(now);
    for (place, target) in TARGETS.iter().enumerate() {
        let tokens = if place == 3 { 9_000 } else { 13_000 };
        let target = table.get_mut(target).expect("known");
        target.own.add_backlog(1, tokens);
    }
    // So much is on its way unseen that all of them have a share.
    for _ in 0..20 {
        table.sent("s", "m", 2_000, now);
    }
    let claim = Claim {
        elapsed: Duration::ZERO,
        objective: Duration::from_millis(600),
        left: Duration::from_secs(4),
        wait: Duration::ZERO,
    };
    let drawn = |claim| {
        let salts = 0..50;
        let picks = salts.map(|salt| pick(&table, ENTRIES, claim, salt, now));
        picks.filter(|pick| pick.target != "4").count()
    };
    assert!(drawn(None) > 0);
    assert_eq!(drawn(Some(claim)), 0);
}

//! Admission and choice under load, in virtual time: what callers get.

use flamingo_serve::admission::Claim;
use flamingo_serve::choice::{Choice, Need, Pick, choose};
use flamingo_serve::table::Table;
use flamingo_serve::wire::{Ask, Piece};
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::route::Engine;
use flamingo_wire::target::{Registration, Residency, Resident};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Tokens that an engine reads in a millisecond.
const RATE: u32 = 20;
const OBJECTIVE: Duration = Duration::from_millis(800);
const PATIENCE: Duration = Duration::from_secs(4);

fn table(now: Instant, targets: &[&str]) -> Table {
    let mut table = Table::default();
    let words = targets.iter().map(|id| registration(id)).collect();
    table.take(now, &Push::Targets(words));
    table
}

fn ask(prompt: u32) -> Ask {
    Ask {
        model: Some("m".into()),
        prompt,
        ..Ask::default()
    }
}

fn need<'a>(ask: &'a Ask, engine: &'a Engine, tried: &'a [String]) -> Need<'a> {
    Need {
        service: "s",
        engine: Some(engine),
        ask,
        rank: 1,
        zone: "z",
        tried,
        orders: true,
        entries: 1,
        claim: None,
    }
}

fn pick(table: &Table, ask: &Ask, now: Instant) -> Pick {
    let engine = Engine {
        tokens: 100_000,
        ..Engine::default()
    };
    match choose(table, &need(ask, &engine, &[]), 1, now) {
        Choice::Send(pick) => pick,
        other => panic!("{other:?}"),
    }
}

/// A prompt that a target reads.
struct Prompt {
    begun: Instant,
    end: Instant,
    target: String,
    tokens: u32,
    before: u32,
}

/// What callers of each size got.
type Tallies = HashMap<u32, Tally>;

/// What callers got.
#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    prompt: u32,
    late: u32,
    refused: u32,
}

/// A load, and the engines that it meets.
struct Load {
    lasts: Duration,
    /// Time from the n-th arrival to the next.
    pause: fn(u32) -> Duration,
    /// Tokens of the n-th request.
    size: fn(u32) -> u32,
    /// Whether requests are refused at all.
    admit: bool,
    /// Tokens that an engine reads in a millisecond.
    rate: u32,
    /// Whether waits are learnt from.
    learn: bool,
}

/// Plays a load that three engines of the usual rate meet for 20 s.
fn play(pause: fn(u32) -> Duration, size: fn(u32) -> u32, admit: bool) -> (Tally, Tallies) {
    run(&Load {
        lasts: Duration::from_secs(20),
        pause,
        size,
        admit,
        rate: RATE,
        learn: true,
    })
}

/// Plays a load at three engines.
fn run(load: &Load) -> (Tally, Tallies) {
    let start = Instant::now();
    let targets = ["1", "2", "3"];
    let mut table = table(start, &targets);
    let mut free = HashMap::from(targets.map(|target| (target.to_owned(), start)));
    let mut reading: Vec<Prompt> = Vec::new();
    let mut all = Tally::default();
    let mut sizes: HashMap<u32, Tally> = HashMap::new();
    let mut now = start;
    while now < start + load.lasts {
        reading.retain(|prompt| {
            if prompt.end <= now {
                let target = table.get_mut(&prompt.target).expect("known");
                target.own.read(1, prompt.tokens);
                if load.learn && prompt.before == 0 {
                    let pace = table.pace_mut("s");
                    pace.learn(prompt.tokens, prompt.end - prompt.begun);
                }
            }
            prompt.end > now
        });
        let tokens = (load.size)(all.asked);
        let pause = (load.pause)(all.asked);
        let pick = pick(&table, &ask(tokens), now);
        let claim = Claim {
            elapsed: Duration::ZERO,
            objective: OBJECTIVE,
            left: PATIENCE,
            wait: pick.queue,
        };
        let of_size = sizes.entry(tokens).or_default();
        for tally in [&mut all, &mut *of_size] {
            tally.asked += 1;
        }
        if load.admit && !claim.admitted() {
            all.refused += 1;
            of_size.refused += 1;
        } else {
            let begin = free[&pick.target].max(now);
            let end = begin + Duration::from_millis(u64::from(tokens / load.rate));
            free.insert(pick.target.clone(), end);
            table
                .get_mut(&pick.target)
                .expect("known")
                .own
                .wait(1, tokens);
            reading.push(Prompt {
                begun: now,
                end,
                target: pick.target,
                tokens,
                before: pick.before,
            });
            for tally in [&mut all, of_size] {
                if end - now <= OBJECTIVE {
                    tally.prompt += 1;
                } else {
                    tally.late += 1;
                }
            }
        }
        now += pause;
    }
    (all, sizes)
}

#[test]
fn within_capacity_nobody_is_refused_or_late() {
    let (all, _) = play(|_| Duration::from_millis(30), |_| 1_500, true);
    assert_eq!((all.refused, all.late), (0, 0), "{all:?}");
}

#[test]
fn twice_the_capacity_leaves_what_is_let_in_prompt() {
    let pause = |_| Duration::from_millis(13);
    let (with, _) = play(pause, |_| 1_500, true);
    let (without, _) = play(pause, |_| 1_500, false);
    // Half of it is all that three engines can read.
    assert!(with.prompt * 100 >= with.asked * 48, "{with:?}");
    assert!(with.late * 20 <= with.prompt, "{with:?}");
    assert!(without.prompt * 4 < with.prompt, "{without:?}");
}

#[test]
fn engines_that_are_slower_than_guessed_are_learnt_before_a_rush() {
    // Prompts that hardly ever meet, then twice as many as three engines can read.
    let load = |learn| Load {
        lasts: Duration::from_secs(200),
        pause: |n| Duration::from_millis(if n < 3_000 { 60 } else { 12 }),
        size: |n| 300 + n % 4 * 300,
        admit: true,
        rate: RATE / 2,
        learn,
    };
    let (with, _) = run(&load(true));
    let (without, _) = run(&load(false));
    assert!(with.late * 20 <= with.prompt, "{with:?}");
    // Taken to be as fast as guessed, they keep most of the rush waiting too long.
    assert!(without.late > with.late * 4, "{with:?} {without:?}");
}

#[test]
fn large_requests_are_not_the_ones_that_are_refused() {
    let size = |n| if n % 10 == 0 { 6_000 } else { 1_200 };
    let (all, sizes) = play(|_| Duration::from_millis(16), size, true);
    let served = |tally: &Tally| tally.asked - tally.refused;
    assert!(all.refused > 0);
    let (large, all_served) = (&sizes[&6_000], served(&all));
    // The bound is that of the users: half as often as the whole kind at least.
    assert!(
        served(large) * all.asked * 2 >= all_served * large.asked,
        "{sizes:?}"
    );
}

#[test]
fn a_prompt_goes_where_its_parts_are_kept() {
    let now = Instant::now();
    let mut table = table(now, &["1", "2", "3"]);
    let mut asked = ask(1_500);
    asked.pieces = [
        Piece {
            part: 1,
            tokens: 800,
        },
        Piece {
            part: 2,
            tokens: 700,
        },
    ]
    .into_iter()
    .collect();
    let first = pick(&table, &asked, now);
    let space = flamingo_serve::choice::space(&asked);
    let target = table.get_mut(&first.target).expect("known");
    target.reads(space, &asked.pieces, first.fresh);
    let again = pick(&table, &asked, now);
    assert_eq!((again.target, again.fresh), (first.target, 1));
}

#[test]
fn a_target_that_failed_is_taken_only_where_no_other_is_left() {
    let now = Instant::now();
    let mut table = table(now, &["1", "2"]);
    table.failed("1", now);
    for _ in 0..5 {
        assert_eq!(pick(&table, &ask(100), now).target, "2");
    }
    table.failed("2", now);
    let later = now + Duration::from_secs(1);
    pick(&table, &ask(100), later);
    table.answered("1");
    assert_eq!(pick(&table, &ask(100), now).target, "1");
}

#[test]
fn a_target_that_lacks_the_model_is_passed_over_for_a_while() {
    let now = Instant::now();
    let mut table = table(now, &["1"]);
    table.lacked("1", "m", now);
    let engine = Engine::default();
    let asked = ask(100);
    assert_eq!(
        choose(&table, &need(&asked, &engine, &[]), 1, now),
        Choice::NoModel
    );
    pick(&table, &asked, now + Duration::from_secs(1));
}

#[test]
fn more_urgent_prompts_count_before_less_urgent_ones() {
    let now = Instant::now();
    let mut table = table(now, &["1"]);
    table.get_mut("1").expect("known").own.wait(2, 10_000);
    assert_eq!(pick(&table, &ask(100), now).queue, Duration::ZERO);
    table.get_mut("1").expect("known").own.wait(0, 2_000);
    assert_eq!(
        pick(&table, &ask(100), now).queue,
        Duration::from_millis(100)
    );
}

#[test]
fn a_model_that_makes_way_is_asked_for_no_more_while_its_last_runs_end() {
    let now = Instant::now();
    let mut table = table(now, &["i-0"]);
    let word = registration("i-0");
    // The holder of orders is about to unload the model.
    let making_way = Residency {
        target: word.id.clone(),
        incarnation: word.incarnation,
        models: Vec::new(),
        executing: true,
    };
    table.take(now, &Push::Residency(vec![making_way]));
    // The target's own word still lists it until its runs have ended, and an adapter that was
    // brought just before.
    let lagging = Registration {
        sequence: word.sequence + 1,
        models: vec![Resident {
            model: "m".into(),
            adapters: vec!["late".into()],
        }],
        ..word
    };
    table.take(now, &Push::Targets(vec![lagging]));
    let ask = ask(100);
    let engine = Engine::default();
    let choice = choose(&table, &need(&ask, &engine, &[]), 1, now);
    assert_eq!(choice, Choice::NoModel);
}

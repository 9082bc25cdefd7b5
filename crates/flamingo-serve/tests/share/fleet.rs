//! Entries, engines and a leader in virtual time, with state that is up to 200 ms old.

use flamingo_guard::share::ledger::Ledger;
use flamingo_guard::share::limits::Limits;
use flamingo_guard::share::tally::{Event, Tally};
use flamingo_guard::share::{Pool, is_pressed};
use flamingo_serve::admission::Timing;
use flamingo_serve::choice::{Choice, Requirements, choose};
use flamingo_serve::table::Table;
use flamingo_serve::wire::RequestHead;
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::frame::Seal;
use flamingo_wire::route::{Engine, Rank};
use flamingo_wire::share::Use;
use flamingo_wire::target::{self, Usage};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant, SystemTime};

pub const WORKSPACES: usize = 16;
const TOKENS_PER_MS: u32 = 20;
/// Prompts have from 500 to 3,500 tokens.
const MEAN_TOKENS: f64 = 2_000.0;
const OBJECTIVE: Duration = Duration::from_secs(1);
const MAX_WAIT_MS: u64 = 6_000;
const ROUND_MS: u64 = 100;
const END_MS: u64 = 19_000;
/// When one workspace sends six times its usual load.
pub const SURGE_MS: Range<u64> = 4_000..15_000;

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    pub entries: usize,
    pub targets: usize,
    /// Usual load of all workspaces together, in parts of the capacity.
    pub load: f64,
    /// The workspace that surges.
    pub surge: Option<usize>,
    /// Whether the leader publishes shares.
    pub shares: bool,
    /// When another instance begins to lead, after half a second without a leader.
    pub new_leader_ms: Option<u64>,
    /// When some entries can't reach the leader, and how many.
    pub cut_off: (Range<u64>, usize),
    /// Ranks of the workspaces.
    pub ranks: [Rank; WORKSPACES],
    /// A workspace that sends nothing before this time.
    pub newcomer: Option<(usize, u64)>,
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 65,
            targets: 36,
            load: 0.7,
            surge: None,
            shares: true,
            new_leader_ms: None,
            cut_off: (0..0, 0),
            ranks: [1; WORKSPACES],
            newcomer: None,
            seed: 1,
        }
    }
}

/// What came of a play.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Tokens of the requests that came during the surge and were answered within the objective.
    pub on_time: [f64; WORKSPACES],
    /// The same of all that were answered.
    pub answered: [f64; WORKSPACES],
    /// Part of the engines' time that was used during the surge.
    pub used: f64,
    /// Bytes of rows about shares that one entry sent and got, per second of the surge.
    pub sent_bytes: f64,
    pub received_bytes: f64,
}

struct Entry {
    table: Table,
    tally: Tally,
    limits: Limits,
}

struct Prompt {
    workspace: usize,
    rank: Rank,
    entry: usize,
    came_ms: u64,
    tokens: u32,
    left: u32,
}

/// A request that comes, for the first time or again.
#[derive(Clone, Copy)]
struct Arrival {
    workspace: usize,
    tokens: u32,
    first_ms: u64,
}

pub struct Fleet {
    plan: Plan,
    start: Instant,
    entries: Vec<Entry>,
    queues: Vec<Vec<Prompt>>,
    ledger: Ledger,
    /// Messages that arrive in the next round.
    reports: Vec<Vec<Use>>,
    pushes: Vec<Push>,
    returns: BTreeMap<u64, Vec<Arrival>>,
    rngs: Vec<ChaCha8Rng>,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

pub fn play(plan: Plan) -> Outcome {
    let start = Instant::now();
    let registrations = (0..plan.targets).map(|id| registration(&id.to_string()));
    let targets = Push::Targets(registrations.collect());
    let entry = |_| {
        let mut table = Table::default();
        table.apply(start, &targets);
        Entry {
            table,
            tally: Tally::default(),
            limits: Limits::default(),
        }
    };
    let seeds = (0..WORKSPACES as u64).map(|workspace| plan.seed * 1_000 + workspace);
    let mut fleet = Fleet {
        start,
        entries: (0..plan.entries).map(entry).collect(),
        queues: (0..plan.targets).map(|_| Vec::new()).collect(),
        ledger: Ledger::new(start),
        reports: Vec::new(),
        pushes: Vec::new(),
        returns: BTreeMap::new(),
        rngs: seeds.map(ChaCha8Rng::seed_from_u64).collect(),
        rng: ChaCha8Rng::seed_from_u64(plan.seed),
        outcome: Outcome::default(),
        plan,
    };
    for now_ms in 0..END_MS {
        if now_ms % ROUND_MS == 0 {
            fleet.exchange(now_ms);
        }
        fleet.arrive(now_ms);
        for target in 0..fleet.plan.targets {
            fleet.process(target, now_ms);
        }
    }
    let surge_ms = (SURGE_MS.end - SURGE_MS.start) as f64;
    fleet.outcome.used /= surge_ms * fleet.plan.targets as f64;
    let entries = fleet.plan.entries as f64;
    fleet.outcome.sent_bytes /= surge_ms / 1_000.0 * entries;
    fleet.outcome.received_bytes /= surge_ms / 1_000.0;
    fleet.outcome
}

fn uniform(rng: &mut ChaCha8Rng) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// Returns the size of a push.
fn push_bytes(push: &Push) -> f64 {
    let frame = Seal::new("a", b"secret").seal("b", push, SystemTime::now());
    frame.expect("a frame").body.len() as f64
}

/// Returns by how much the work of workspaces makes a report larger.
fn report_bytes(uses: &[Use]) -> f64 {
    let size = |shares: &[Use]| {
        let usage = Usage {
            shares: shares.to_vec(),
            ..Usage::default()
        };
        let frame = Seal::new("a", b"secret").seal("b", &usage, SystemTime::now());
        frame.expect("a frame").body.len() as f64
    };
    size(uses) - size(&[])
}

fn name(workspace: usize) -> String {
    format!("workspace-{workspace:02}")
}

fn pool(rank: Rank) -> Pool {
    Pool {
        service: "s".into(),
        model: Some("m".into()),
        rank,
    }
}

impl Fleet {
    fn at(&self, now_ms: u64) -> Instant {
        self.start + Duration::from_millis(now_ms)
    }

    fn is_cut_off(&self, entry: usize, now_ms: u64) -> bool {
        let (time, count) = &self.plan.cut_off;
        time.contains(&now_ms) && entry < *count
    }

    /// Delivers the messages of the last round and sends new ones.
    fn exchange(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        let in_surge = SURGE_MS.contains(&now_ms);
        let pushes = std::mem::take(&mut self.pushes);
        for push in &pushes {
            for index in 0..self.entries.len() {
                if self.is_cut_off(index, now_ms) {
                    continue;
                }
                let entry = &mut self.entries[index];
                entry.table.apply(now, push);
                if let Push::Shares(limits) = push {
                    entry.limits.replace(limits, now);
                }
            }
        }
        let leaderless = self
            .plan
            .new_leader_ms
            .is_some_and(|at| (at.saturating_sub(500)..at).contains(&now_ms));
        if self.plan.new_leader_ms == Some(now_ms) {
            self.ledger = Ledger::new(now);
        }
        let reports = std::mem::take(&mut self.reports);
        if !leaderless {
            for uses in &reports {
                self.ledger.record(uses);
            }
            let limits = self.ledger.publish(now).filter(|_| self.plan.shares);
            if let Some(limits) = limits {
                let push = Push::Shares(limits);
                if in_surge {
                    self.outcome.received_bytes += push_bytes(&push);
                }
                self.pushes.push(push);
            }
        }
        let mut loads = Vec::new();
        for index in 0..self.entries.len() {
            let is_cut_off = self.is_cut_off(index, now_ms);
            let entry = &mut self.entries[index];
            let uses = entry.tally.take();
            let own = entry.table.report_loads();
            if is_cut_off {
                continue;
            }
            loads.extend(own);
            if !uses.is_empty() {
                if in_surge {
                    self.outcome.sent_bytes += report_bytes(&uses);
                }
                self.reports.push(uses);
            }
        }
        if !leaderless {
            self.pushes.push(Push::Loads(target::sum(&loads)));
        }
    }

    /// Requests of all workspaces, and those that come back, arrive at random entries.
    fn arrive(&mut self, now_ms: u64) {
        let capacity = f64::from(TOKENS_PER_MS) * self.plan.targets as f64 / MEAN_TOKENS;
        let total: f64 = (1..=WORKSPACES).map(|place| 1.0 / place as f64).sum();
        for workspace in 0..WORKSPACES {
            let newcomer = self.plan.newcomer;
            if newcomer.is_some_and(|(new, from)| new == workspace && now_ms < from) {
                continue;
            }
            let usual = self.plan.load * capacity / total / (workspace + 1) as f64;
            let surges = self.plan.surge == Some(workspace) && SURGE_MS.contains(&now_ms);
            // The usual requests of a workspace that surges, and five times as many others.
            let streams = if surges { 6 } else { 1 };
            for _ in 0..streams {
                let rng = &mut self.rngs[workspace];
                if uniform(rng) >= usual {
                    continue;
                }
                let arrival = Arrival {
                    workspace,
                    tokens: 500 + rng.next_u32() % 3_001,
                    first_ms: now_ms,
                };
                self.decide(arrival, now_ms);
            }
        }
        for arrival in self.returns.remove(&now_ms).unwrap_or_default() {
            self.decide(arrival, now_ms);
        }
    }

    /// Lets a request in at a random entry, or refuses it; its caller comes back once.
    fn decide(&mut self, arrival: Arrival, now_ms: u64) {
        let now = self.at(now_ms);
        let index = self.rng.next_u32() as usize % self.entries.len();
        let rank = self.plan.ranks[arrival.workspace];
        let workspace = name(arrival.workspace);
        let pool = pool(rank);
        let draw = uniform(&mut self.rng);
        let salt = u64::from(self.rng.next_u32());
        let entries = self.entries.len();
        let entry = &mut self.entries[index];
        let elapsed = now_ms - arrival.first_ms;
        let timing = Timing {
            elapsed: Duration::from_millis(elapsed),
            objective: OBJECTIVE,
            remaining: Duration::from_millis(MAX_WAIT_MS - elapsed),
            has_begun: false,
            queueing_delay: Duration::ZERO,
            standing: entry.limits.standing(&pool, &workspace, draw, now),
        };
        let work_ms = f64::from(arrival.tokens) * 0.04;
        let choice = choose_target(
            &entry.table,
            arrival.tokens,
            rank,
            timing,
            entries,
            salt,
            now,
        );
        let Choice::Send(candidate) = choice else {
            entry
                .tally
                .record(&pool, &workspace, work_ms, Event::Refused);
            if elapsed == 0 {
                let returns_ms = now_ms + 300 + u64::from(self.rng.next_u32() % 700);
                self.returns.entry(returns_ms).or_default().push(arrival);
            }
            return;
        };
        let event = if is_pressed(candidate.queueing_delay, OBJECTIVE) {
            Event::Pressed
        } else {
            Event::Admitted
        };
        entry.tally.record(&pool, &workspace, work_ms, event);
        let table = &mut entry.table;
        table.record_prompt_tokens("s", "m", arrival.tokens, now);
        let target = table.get_mut(&candidate.target).expect("a known target");
        target.own.add_backlog(rank, arrival.tokens);
        target.own.running += 1;
        let queue: usize = candidate.target.parse().expect("a number");
        self.queues[queue].push(Prompt {
            workspace: arrival.workspace,
            rank,
            entry: index,
            came_ms: arrival.first_ms,
            tokens: arrival.tokens,
            left: arrival.tokens,
        });
    }

    /// Lets an engine process prompts for one millisecond, the most urgent first.
    fn process(&mut self, target: usize, now_ms: u64) {
        let queue = &mut self.queues[target];
        let next = queue.iter().enumerate();
        let next = next.min_by_key(|(index, prompt)| (prompt.rank, *index));
        let Some(index) = next.map(|(index, _)| index) else {
            return;
        };
        if SURGE_MS.contains(&now_ms) {
            self.outcome.used += 1.0;
        }
        queue[index].left = queue[index].left.saturating_sub(TOKENS_PER_MS);
        if queue[index].left > 0 {
            return;
        }
        let prompt = queue.remove(index);
        let table = &mut self.entries[prompt.entry].table;
        let known = table.get_mut(&target.to_string());
        let own = &mut known.expect("a known target").own;
        own.remove_backlog(prompt.rank, prompt.tokens);
        own.running -= 1;
        let workspace = name(prompt.workspace);
        let pool = pool(prompt.rank);
        let work_ms = f64::from(prompt.tokens) * 0.04;
        let tally = &mut self.entries[prompt.entry].tally;
        tally.record(&pool, &workspace, work_ms, Event::Begun);
        if SURGE_MS.contains(&prompt.came_ms) {
            let tokens = f64::from(prompt.tokens);
            self.outcome.answered[prompt.workspace] += tokens;
            let took = Duration::from_millis(now_ms - prompt.came_ms);
            if took <= OBJECTIVE {
                self.outcome.on_time[prompt.workspace] += tokens;
            }
        }
    }
}

fn choose_target(
    table: &Table,
    prompt_tokens: u32,
    rank: Rank,
    timing: Timing,
    entries: usize,
    salt: u64,
    now: Instant,
) -> Choice {
    let engine = Engine {
        tokens: 100_000,
        ..Engine::default()
    };
    let request = RequestHead {
        model: Some("m".into()),
        prompt_tokens,
        ..RequestHead::default()
    };
    let required = Requirements {
        service: "s",
        engine: Some(&engine),
        request: &request,
        rank,
        zone: "z",
        leaving: None,
        software: None,
        tried: &[],
        can_load_adapters: true,
        entries,
        timing: Some(timing),
        late: false,
    };
    choose(table, &required, salt, now)
}

//! Each failure that the design note names, in a run of its own.

use super::fleet::{Fleet, Link, allowed, largest_window};
use super::quota;
use flamingo_guard::quota::account::{Refusal, Source};
use flamingo_guard::quota::ledger::Ledger;
use flamingo_guard::quota::{SHARED_PART, Terms};
use flamingo_wire::quota::{Question, Use};
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
const PER_S: f64 = 100_000.0;
const ENTRIES: usize = 10;

/// A fleet whose callers ask evenly for twice the limit.
struct Load(Fleet);

impl Load {
    fn new(per_s: f64, burst: f64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(1);
        Self(Fleet::new(ENTRIES, &[quota(per_s, burst)], rng))
    }

    /// Runs for some time. Returns the units that were sent, and why requests were not.
    fn run(&mut self, time: Duration, requests_per_step: usize) -> (f64, Vec<Refusal>) {
        let begin = self.0.now;
        let mut refusals = Vec::new();
        let mut next = 0;
        while self.0.now < begin + time {
            let mut outcomes = self.0.step(STEP);
            for _ in 0..requests_per_step {
                next += 1;
                let entry = next % ENTRIES;
                if !self.0.entries[entry].frozen {
                    outcomes.extend(self.0.request(entry, 0, 500.0, false));
                }
            }
            refusals.extend(
                outcomes
                    .into_iter()
                    .filter_map(|outcome| outcome.result.err()),
            );
        }
        (self.sent_since(begin), refusals)
    }

    fn sent_since(&self, begin: Instant) -> f64 {
        let sent = self.0.sent[0].iter().filter(|(at, _)| *at > begin);
        sent.map(|(_, units)| units).sum()
    }

    /// Checks all windows until now.
    fn check(&self) {
        let sent = &self.0.sent[0];
        let largest = largest_window(sent, self.0.allowance.window, sent[0].0);
        let allowed = allowed(&self.0.quotas[0], self.0.allowance);
        assert!(largest <= allowed, "{largest} of {allowed} in a window");
    }
}

fn loaded() -> Load {
    let mut load = Load::new(PER_S, PER_S);
    load.run(Duration::from_secs(5), 2);
    load
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a fleet that stops, or sends without limit, when the leader is lost.
#[test]
fn shares_serve_while_there_is_no_leader_and_end() {
    let mut load = loaded();
    load.0.leader = None;
    load.run(seconds(1), 2);
    let (sent, refusals) = load.run(seconds(8), 2);
    assert!(sent >= PER_S * SHARED_PART * 8.0 * 0.9, "{sent}");
    let by_share = |refusal: &Refusal| matches!(refusal, Refusal::Over(_, Source::Share));
    assert!(refusals.iter().any(by_share));
    load.run(seconds(2), 2);
    let (sent, refusals) = load.run(seconds(2), 2);
    assert!(sent <= 0.0, "{sent} without a share");
    assert!(refusals.iter().all(|refusal| *refusal == Refusal::Unknown));
    load.check();
}

/// Guards against a new leader that grants what entries use as shares of the earlier one.
#[test]
fn a_new_leader_counts_the_shares_of_the_earlier_one() {
    let mut load = loaded();
    for entry in 0..ENTRIES / 2 {
        load.0.entries[entry].link = Link::Down;
    }
    load.0.elect();
    let (sent, _) = load.run(seconds(9), 4);
    assert!(sent <= PER_S * 9.8, "{sent}");
    load.check();
    let (sent, _) = load.run(seconds(6), 4);
    assert!(sent >= PER_S * 6.0 * 0.9, "{sent}");
    load.check();
}

/// Guards against a new leader that serves nobody until the leases of entries that have restarted end.
#[test]
fn a_workspace_below_its_limit_is_served_after_all_processes_restart() {
    let mut load = Load::new(PER_S, PER_S);
    load.run(seconds(5), 1);
    for entry in 0..ENTRIES {
        load.0.restart(entry);
    }
    load.0.elect();
    load.run(seconds(1), 1);
    // One request of 500 units each 10 ms is half of the limit.
    let mut sent = 0.0;
    for _ in 0..500 {
        sent += load.run(STEP, 1).0;
        sent += load.run(STEP, 0).0;
    }
    assert!(sent >= PER_S * 0.5 * 5.0 * 0.9, "{sent}");
    load.check();
}

/// Guards against a leader that takes an entry for heard which gets no answers.
#[test]
fn shares_of_entries_whose_answers_are_lost_are_withheld() {
    let mut load = loaded();
    for entry in 0..ENTRIES / 2 {
        load.0.entries[entry].link = Link::Deaf;
    }
    load.run(seconds(14), 4);
    load.check();
}

/// Guards against a vanished entry whose share is never given to others, or given too early.
#[test]
fn the_share_of_a_vanished_entry_returns() {
    let mut load = loaded();
    for entry in 0..ENTRIES / 2 {
        load.0.entries[entry].frozen = true;
    }
    // The shares of the frozen entries end after 10 s. What is promised to callers that don't come
    // back makes the bucket vary by half of its size.
    load.run(seconds(11), 4);
    let (sent, _) = load.run(seconds(8), 4);
    assert!(sent >= PER_S * 8.0 - 70_000.0, "{sent}");
    load.check();
}

/// Guards against credit and shares that outlive the suspension of their holder.
#[test]
fn an_entry_that_was_suspended_has_nothing() {
    let mut load = loaded();
    load.0.entries[1].frozen = true;
    load.0.run_idle(seconds(11));
    load.0.leader = None;
    load.0.entries[1].frozen = false;
    let outcome = load.0.request(1, 0, 500.0, false);
    assert!(outcome.is_none(), "{outcome:?}");
}

/// Guards against credit that lasts for longer than the leader counts it.
#[test]
fn credit_ends_while_its_holder_is_suspended() {
    let mut load = loaded();
    load.0.run_idle(seconds(1));
    load.run(seconds(1), 1);
    load.0.entries[1].frozen = true;
    load.0.run_idle(Duration::from_millis(510));
    load.0.entries[1].frozen = false;
    let outcome = load.0.request(1, 0, 500.0, false);
    assert!(outcome.is_none(), "{outcome:?}");
}

/// Guards against credit of an earlier incarnation that a restarted entry gives back.
#[test]
fn restarts_of_entries_do_not_exceed_the_quota() {
    let mut load = loaded();
    for round in 0..40 {
        load.0.restart(round % ENTRIES);
        load.run(Duration::from_millis(300), 2);
    }
    load.check();
}

/// Guards against leaders each of which forgets the debt that its predecessor allowed.
#[test]
fn debts_hold_over_changes_of_the_leader() {
    let mut load = Load::new(4_200.0, 500.0);
    for _ in 0..50 {
        for _ in 0..80 {
            let _ = load.0.step(STEP);
            let _ = load.0.request(0, 0, 6_000.0, false);
        }
        load.0.elect();
    }
    load.check();
}

/// Guards against small workspaces that never get a request through.
#[test]
fn a_limit_below_one_request_a_second_gives_its_limit() {
    let mut load = Load::new(1_000.0, 1_000.0);
    let start = load.0.now;
    for step in 0..200 * 60 {
        let _ = load.0.step(STEP);
        if step % 40 == 0 {
            let _ = load.0.request(step % ENTRIES, 0, 2_500.0, false);
        }
    }
    let sent = load.sent_since(start);
    assert!(sent >= 1_000.0 * 60.0 * 0.9, "{sent}");
    load.check();
}

/// Guards against a lowered limit that credit and shares of the higher one outlast.
#[test]
fn a_lowered_limit_binds_after_one_window() {
    let mut load = loaded();
    for entry in 0..ENTRIES / 2 {
        load.0.entries[entry].link = Link::Down;
    }
    let lower = quota(PER_S / 10.0, PER_S / 10.0);
    load.0.quotas = vec![lower];
    for entry in &mut load.0.entries {
        entry.quotas = vec![lower];
    }
    let begin = load.0.now;
    load.run(seconds(16), 2);
    let largest = largest_window(&load.0.sent[0], load.0.allowance.window, begin + seconds(8));
    assert!(largest <= allowed(&lower, load.0.allowance), "{largest}");
}

/// Guards against a new leader that confirms to each entry a share of a higher limit: together they were
/// several times the lower one.
#[test]
fn a_new_leader_does_not_renew_shares_of_a_higher_limit() {
    let mut load = loaded();
    let lower = quota(PER_S / 10.0, PER_S / 10.0);
    load.0.quotas = vec![lower];
    for entry in &mut load.0.entries {
        entry.quotas = vec![lower];
    }
    let begin = load.0.now;
    load.0.elect();
    load.run(Duration::from_millis(15), 2);
    load.0.leader = None;
    load.run(seconds(18), 2);
    let largest = largest_window(&load.0.sent[0], load.0.allowance.window, begin + seconds(1));
    assert!(largest <= allowed(&lower, load.0.allowance), "{largest}");
}

/// Guards against requests that wait for good because no refill can ever pay for them.
#[test]
fn a_request_far_above_the_burst_is_refused() {
    let mut load = Load::new(1_000.0, 1_000.0);
    let _ = load.0.request(0, 0, 50_000.0, false);
    let mut outcomes = Vec::new();
    for _ in 0..20 {
        outcomes.extend(load.0.step(STEP));
    }
    assert!(matches!(outcomes[0].result, Err(Refusal::TooLarge)));
}

/// Guards against a request that was not sent and still uses the quota.
#[test]
fn what_is_given_back_pays_for_the_next_request() {
    let mut load = loaded();
    load.0.run_idle(seconds(6));
    let mut sent = load
        .0
        .request(2, 0, 500.0, false)
        .into_iter()
        .collect::<Vec<_>>();
    while sent.is_empty() {
        sent = load.0.step(STEP);
    }
    let ticket = sent[0].result.clone().expect("the bucket is full");
    load.0.leader = None;
    load.0.entries[2].account.give_back(&ticket, load.0.now);
    let outcome = load.0.request(2, 0, 500.0, false);
    assert!(outcome.is_some_and(|outcome| outcome.result.is_ok()));
}

/// Guards against a bucket that saves up while nobody asks.
#[test]
fn an_idle_time_is_not_saved_up() {
    let mut load = loaded();
    load.0.run_idle(seconds(60));
    load.run(seconds(8), 8);
    load.check();
}

/// Returns a question of an entry about one workspace.
fn question(sequence: u64, heard: u64, usage: Use) -> Question {
    Question {
        incarnation: 1,
        sequence,
        heard,
        uses: vec![usage],
    }
}

/// Guards against credit that comes from nowhere.
#[test]
fn no_more_is_taken_back_than_was_granted() {
    let now = Instant::now();
    let mut ledger = Ledger::new(Terms::default(), now, false);
    let quota = |_: &str| Some(quota(1_000.0, 1_000.0));
    let usage = Use {
        workspace: "w".into(),
        returned: 1e9,
        ..Use::default()
    };
    ledger.answer("e", &question(1, 0, usage), quota, now);
    assert!(ledger.levels(now)[0].units <= 0.0);
}

/// Guards against a share that counts as unused because its holder has asked about another workspace.
#[test]
fn shares_of_all_workspaces_are_withheld_until_their_holder_is_heard() {
    let now = Instant::now();
    let mut ledger = Ledger::new(Terms::default(), now, false);
    let quota = |_: &str| Some(quota(1_000.0, 50_000.0));
    let usage = |workspace: &str| Use {
        workspace: workspace.into(),
        rate: 1_000.0,
        mean: 1.0,
        ..Use::default()
    };
    let at = |millis| now + Duration::from_millis(millis);
    ledger.answer("e", &question(1, 0, usage("w")), quota, now);
    let answer = ledger.answer("e", &question(2, 1, usage("w")), quota, at(200));
    assert!(answer.expect("new").grants[0].share >= 1_000.0 * SHARED_PART);
    ledger.answer("e", &question(3, 2, usage("v")), quota, at(6_000));
    ledger.answer("e", &question(4, 3, usage("v")), quota, at(6_200));
    let levels = ledger.levels(at(6_200));
    let level = levels.iter().find(|level| level.workspace == "w");
    let units = level.expect("known").units;
    let most = 1_000.0 + 5_500.0 * (1.0 - SHARED_PART);
    assert!(units <= most, "{units} after 6.2 s, 5.5 of them silent");
}

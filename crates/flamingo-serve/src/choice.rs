//! Which target a request goes to.
//!
//! The choice answers load that differs by target and prompt, and many entries that choose at
//! once: each target's first event is predicted from the prompts that wait there, what it keeps
//! of the prompt and how many requests share its steps, and the targets are drawn so that these
//! predictions become equal once what other entries send unseen is there too.

use crate::admission::Claim;
use crate::table::{Table, Target};
use crate::wire::Ask;
use flamingo_place::water_filling::fill;
use flamingo_wire::id;
use flamingo_wire::route::{Engine, Rank};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Time by which each running request lengthens a first event, in milliseconds.
const SHARE_MS: f64 = 0.3;
/// Time for bringing an adapter to a target, in milliseconds.
const ADAPTER_MS: f64 = 12.0;
/// Time added for a target in another zone, in milliseconds.
const ZONE_MS: f64 = 10.0;
/// Time of a request to a plain service, in milliseconds, before any was observed.
const PLAIN_MS: f64 = 60.0;

/// Waits that differ by less hardly matter, in milliseconds.
const STEP_MS: f64 = 8.0;
/// Mean age of what is known of the requests of other entries, in milliseconds: an entry tells
/// of its own every 100, the leader of all every 100.
const AGE_MS: f64 = 100.0;

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a str,
    /// Its engines, where it has any.
    pub engine: Option<&'a Engine>,
    /// The request.
    pub ask: &'a Ask,
    /// Its rank.
    pub rank: Rank,
    /// The entry's zone.
    pub zone: &'a str,
    /// Targets that it must not go to again.
    pub tried: &'a [id::Target],
    /// Whether someone is known who could bring an adapter.
    pub orders: bool,
    /// Entries that send requests, with this one.
    pub entries: usize,
    /// What it asks of a wait; nothing where it may wait anywhere.
    pub claim: Option<Claim>,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it.
    Send(Pick),
    /// Its wait at the best target is longer than it may be; so long would it be.
    Full(Duration),
    /// No target of the service may take requests.
    NoTarget,
    /// No target of the service holds the model.
    NoModel,
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The target.
    pub target: id::Target,
    /// Tokens of the prompt that it has to read.
    pub fresh: u32,
    /// Tokens of others' prompts that it reads before.
    pub before: u32,
    /// Predicted time to the first event.
    pub wait: Duration,
    /// The part of it that others' prompts take.
    pub queue: Duration,
    /// Whether the adapter has to be brought there first.
    pub bare: bool,
    /// Whether it is taken only where all are doubtful.
    pub doubtful: bool,
}

impl Pick {
    /// Returns whether a request that claims so much may wait there.
    fn admits(&self, claim: Option<Claim>) -> bool {
        let claim = claim.map(|claim| Claim {
            wait: self.queue,
            ..claim
        });
        claim.is_none_or(|claim| claim.admitted())
    }
}

/// Returns the identity under which prompts of a model and adapter are kept.
#[must_use]
pub fn space(ask: &Ask) -> u64 {
    let mut hasher = DefaultHasher::new();
    ask.model.hash(&mut hasher);
    ask.adapter.hash(&mut hasher);
    hasher.finish()
}

/// Returns what parts equal targets for a request: prompts that share a part go the same way.
#[must_use]
pub fn salt(ask: &Ask, count: u64) -> u64 {
    let shared = ask.pieces.iter().rev().nth(1);
    shared.map_or(count, |piece| piece.part)
}

/// Chooses a target. Requests go to targets in proportion to what each of them takes of the
/// work that other entries send unseen, where that is spread so that all waits become equal
/// (M. Dahlin, "Interpreting Stale Load Information", 1999); `salt` decides between them.
#[must_use]
pub fn choose(table: &Table, need: &Need<'_>, salt: u64, now: Instant) -> Choice {
    let mut any = false;
    let mut holding = false;
    let mut picks: Vec<Pick> = Vec::new();
    let model = need.ask.model.as_deref();
    let speed = table.pace(need.service).rate();
    for target in table.of(need.service).filter(|target| target.open()) {
        any = true;
        if need.engine.is_some() && model.is_some_and(|model| !target.holds(model, now)) {
            continue;
        }
        holding = true;
        if need.tried.contains(&target.registration.id) {
            continue;
        }
        let mut pick = rate(target, need, speed);
        let closed = pick.bare && (target.moving || !need.orders);
        pick.doubtful = target.avoided(now) || table.silent(target) || closed;
        picks.push(pick);
    }
    prefer(&mut picks, |pick| !pick.doubtful);
    // None is refused by a target that was drawn while another would let it in.
    prefer(&mut picks, |pick| pick.admits(need.claim));
    let flow = model.map_or(0.0, |model| table.flow(need.service, model, now));
    match draw(picks, unseen(flow, need.entries) / speed, salt) {
        Some(pick) if pick.admits(need.claim) => Choice::Send(pick),
        Some(pick) => Choice::Full(pick.queue),
        None if any && !holding => Choice::NoModel,
        None => Choice::NoTarget,
    }
}

/// Leaves the good picks only, where there are any.
fn prefer(picks: &mut Vec<Pick>, good: impl Fn(&Pick) -> bool) {
    if picks.iter().any(&good) {
        picks.retain(good);
    }
}

/// Returns the tokens that other entries are likely to have sent unseen, each as many as this
/// one sends in a millisecond, which is `flow`.
fn unseen(flow: f64, entries: usize) -> f64 {
    let others = u32::try_from(entries.saturating_sub(1)).unwrap_or(u32::MAX);
    flow * AGE_MS * f64::from(others)
}

/// Draws one of the picks by the share that each takes of so many milliseconds of work.
fn draw(picks: Vec<Pick>, work: f64, salt: u64) -> Option<Pick> {
    let waits: Vec<f64> = picks
        .iter()
        .map(|pick| pick.wait.as_secs_f64() * 1_000.0)
        .collect();
    let shares = fill(&waits, work.max(STEP_MS));
    let drawn = picks.into_iter().zip(shares).map(|(pick, share)| {
        let lot = lot(salt, &pick.target);
        (share / -lot.ln(), pick)
    });
    let best = drawn.max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, pick)| pick)
}

/// Returns the lot of a target, evenly between 0 and 1: by weighted rendezvous hashing, requests
/// of the same salt go the same way as long as the shares allow it.
fn lot(salt: u64, target: &str) -> f64 {
    let part = u32::try_from(salted(salt, target) >> 32).unwrap_or(u32::MAX);
    (f64::from(part) + 1.0) / (f64::from(u32::MAX) + 2.0)
}

/// Predicts what a request gets of a target that reads `speed` tokens in a millisecond.
fn rate(target: &Target, need: &Need<'_>, speed: f64) -> Pick {
    let mut wait = 0.0;
    let mut queue = 0.0;
    let mut fresh = 0;
    let mut before = 0;
    let mut bare = false;
    let running = f64::from(target.own.running + target.others.running);
    if let Some(engine) = need.engine {
        let ask = need.ask;
        let kept = target.kept(space(ask), &ask.pieces, engine.tokens);
        fresh = ask.prompt.saturating_sub(kept).max(1);
        before = target.own.before(need.rank) + target.others.before(need.rank);
        queue = f64::from(before) / speed;
        wait += queue + f64::from(fresh) / speed + running * SHARE_MS;
        let model = ask.model.as_deref().unwrap_or_default();
        bare = ask
            .adapter
            .as_deref()
            .is_some_and(|adapter| !target.adapted(model, adapter));
        if bare {
            wait += ADAPTER_MS;
        }
    } else {
        let slots = f64::from(target.registration.slots.max(1));
        wait += (running / slots).floor() * PLAIN_MS + running / slots;
    }
    if target.registration.zone != need.zone {
        wait += ZONE_MS;
    }
    Pick {
        target: target.registration.id.clone(),
        fresh,
        before,
        wait: Duration::from_secs_f64(wait / 1_000.0),
        queue: Duration::from_secs_f64(queue / 1_000.0),
        bare,
        doubtful: false,
    }
}

fn salted(salt: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}

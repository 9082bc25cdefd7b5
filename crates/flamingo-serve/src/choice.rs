//! Which target a request goes to.
//!
//! The choice answers load that differs by target and prompt: it takes the target with the
//! earliest predicted first event, from the prompts that wait there, what it keeps of the
//! prompt, and how many requests share its steps.

use crate::table::{Table, Target};
use crate::wire::Ask;
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

/// Waits that differ by less are equal, in milliseconds.
const STEP_MS: u128 = 25;

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
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it.
    Send(Pick),
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

/// Chooses a target; `salt` parts equal ones.
#[must_use]
pub fn choose(table: &Table, need: &Need<'_>, salt: u64, now: Instant) -> Choice {
    let mut any = false;
    let mut holding = false;
    let mut best: Option<(Rating, Pick)> = None;
    let speed = table.pace(need.service).rate();
    for target in table.of(need.service).filter(|target| target.open()) {
        any = true;
        let model = need.ask.model.as_deref();
        if need.engine.is_some() && model.is_some_and(|model| !target.holds(model, now)) {
            continue;
        }
        holding = true;
        if need.tried.contains(&target.registration.id) {
            continue;
        }
        let pick = rate(target, need, speed);
        let closed = pick.bare && (target.moving || !need.orders);
        let doubtful = target.avoided(now) || table.silent(target) || closed;
        let rating = Rating {
            doubtful,
            step: pick.wait.as_millis() / STEP_MS,
            salt: salted(salt, &target.registration.id),
        };
        if best.as_ref().is_none_or(|(known, _)| rating < *known) {
            best = Some((rating, pick));
        }
    }
    match best {
        Some((_, pick)) => Choice::Send(pick),
        None if !any => Choice::NoTarget,
        None if !holding => Choice::NoModel,
        None => Choice::NoTarget,
    }
}

/// The order of candidates; the least is taken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rating {
    doubtful: bool,
    /// The predicted wait, in steps: what others send meanwhile blurs it anyway.
    step: u128,
    salt: u64,
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
    }
}

fn salted(salt: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}

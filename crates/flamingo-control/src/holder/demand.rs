//! Demand and load as the entries tell them.
//!
//! Answers demand that moves between models within seconds, and models that are asked for so
//! seldom that two requests soon after each other say nothing.

use flamingo_wire::id;
use flamingo_wire::target::{Load, Resident, Tally};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant of the demand of the moment.
const FAST: Duration = Duration::from_millis(800);
/// Time constant of the demand that it is compared with, to see where it goes.
const SLOW: Duration = Duration::from_secs(3);
/// Time that counts as seen at least: what entries told first was asked for before.
const SHORT: Duration = Duration::from_millis(400);
/// How far a rise goes on, against the difference of the two.
const TREND: f64 = 1.5;
/// Time after which what an entry said of its requests no longer counts.
const STALE: Duration = Duration::from_secs(2);

/// A rate over two times, each of which forgets.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rate {
    /// Engines kept busy, lately.
    fast: f64,
    /// The same over a longer time.
    slow: f64,
    /// Work of one request, in seconds of an engine.
    request: f64,
    at: Instant,
    /// Since when it is counted.
    since: Instant,
}

impl Rate {
    fn new(at: Instant, since: Instant) -> Self {
        Self {
            fast: 0.0,
            slow: 0.0,
            request: 0.0,
            at,
            since,
        }
    }

    /// Returns the rate at a later time, when nothing more arrives until then.
    fn later(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        Self {
            fast: self.fast * (-age / FAST.as_secs_f64()).exp(),
            slow: self.slow * (-age / SLOW.as_secs_f64()).exp(),
            request: self.request,
            at: now,
            since: self.since,
        }
    }

    /// Returns the part of a window that has been seen.
    fn seen(&self, window: Duration) -> f64 {
        let age = self.at.saturating_duration_since(self.since).max(SHORT);
        1.0 - (-age.as_secs_f64() / window.as_secs_f64()).exp()
    }

    fn add(&mut self, work: f64, requests: u32) {
        if requests > 0 {
            self.request = work / f64::from(requests);
        }
        self.fast += work / FAST.as_secs_f64();
        self.slow += work / SLOW.as_secs_f64();
    }

    /// Returns what is about to arrive: the demand over the longer time, and more where it rises
    /// by more than requests that arrive by chance would make it.
    fn forecast(&self) -> f64 {
        // A rate that begins at nothing is as much too low as its window is not seen yet.
        let slow = self.slow / self.seen(SLOW);
        let fast = self.fast / self.seen(FAST);
        // Standard deviation of a Poisson process under an exponential window.
        let chance = (slow * self.request / (2.0 * FAST.as_secs_f64())).sqrt();
        let rise = (fast - slow - chance).max(0.0);
        slow + rise * (1.0 + TREND)
    }
}

/// Model of a service.
type Key = (id::Service, id::Model);

/// Demand for models, and the requests of each entry.
#[derive(Debug, Default)]
pub struct Demands {
    rates: BTreeMap<Key, Rate>,
    /// When an entry first told of anything.
    since: Option<Instant>,
    entries: BTreeMap<id::Node, (Instant, Vec<Load>)>,
}

impl Demands {
    /// Takes what an entry told.
    pub fn take(&mut self, now: Instant, from: &str, tally: Tally) {
        let since = *self.since.get_or_insert(now);
        for demand in tally.demand {
            let key = (demand.service, demand.model);
            let old = self.rates.get(&key).copied();
            let mut rate = old.unwrap_or(Rate::new(now, since)).later(now);
            rate.add(demand.work_ms / 1_000.0, demand.requests);
            self.rates.insert(key, rate);
        }
        self.entries.insert(from.to_owned(), (now, tally.loads));
    }

    /// Returns the engines that the demand for a model is about to keep busy.
    #[must_use]
    pub fn rate(&self, service: &str, model: &str, now: Instant) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        self.rates
            .get(&key)
            .map_or(0.0, |rate| rate.later(now).forecast())
    }

    /// Returns the adapters of a target that requests of entries use.
    #[must_use]
    pub fn adapters(&self, target: &str) -> Vec<Resident> {
        let loads = self.entries.values().flat_map(|(_, loads)| loads);
        let loads = loads.filter(|load| load.target == target);
        loads.flat_map(|load| load.adapters.clone()).collect()
    }

    /// Returns the requests of all entries together.
    #[must_use]
    pub fn loads(&mut self, now: Instant) -> Vec<Load> {
        self.entries.retain(|_, (at, _)| now < *at + STALE);
        let mut sums: BTreeMap<&str, Load> = BTreeMap::new();
        for load in self.entries.values().flat_map(|(_, loads)| loads) {
            let sum = sums.entry(&load.target).or_insert_with(|| Load {
                target: load.target.clone(),
                ..Load::default()
            });
            sum.running += load.running;
            for (sum, tokens) in sum.reading.iter_mut().zip(load.reading) {
                *sum += tokens;
            }
        }
        sums.into_values().collect()
    }
}

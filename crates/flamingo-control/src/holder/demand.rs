//! Demand and load as the entries tell them.
//!
//! Answers demand that moves between models within seconds, and models that are asked for so
//! seldom that two requests soon after each other say nothing.

use flamingo_place::rate::Rate;
use flamingo_wire::id;
use flamingo_wire::target::{self, Load, Resident, Usage};
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

/// The demand for one model.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Estimate {
    /// Engines kept busy, lately.
    fast: Rate,
    /// The same over a longer time.
    slow: Rate,
    /// Work of one request, in seconds of an engine.
    request: f64,
}

impl Estimate {
    fn new(now: Instant) -> Self {
        Self {
            fast: Rate::new(FAST, now),
            slow: Rate::new(SLOW, now),
            request: 0.0,
        }
    }

    fn add(&mut self, work: f64, requests: u32, now: Instant) {
        if requests > 0 {
            self.request = work / f64::from(requests);
        }
        self.fast.add(work, now);
        self.slow.add(work, now);
    }

    /// Returns what is about to arrive: the demand over the longer time, and more where it rises
    /// by more than requests that arrive by chance would make it. Entries have told of demand
    /// for `age`.
    fn forecast(&self, now: Instant, age: Duration) -> f64 {
        let slow = self.slow.young(now, age);
        let fast = self.fast.young(now, age);
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
    estimates: BTreeMap<Key, Estimate>,
    /// When an entry first told of anything.
    since: Option<Instant>,
    entries: BTreeMap<id::Node, (Instant, Vec<Load>)>,
}

impl Demands {
    /// Takes what an entry told.
    pub fn take(&mut self, now: Instant, from: &str, tally: Usage) {
        self.since.get_or_insert(now);
        for demand in tally.demand {
            let key = (demand.service, demand.model);
            let estimate = self.estimates.entry(key).or_insert(Estimate::new(now));
            estimate.add(demand.work_ms / 1_000.0, demand.requests, now);
        }
        self.entries.insert(from.to_owned(), (now, tally.loads));
    }

    /// Returns the engines that the demand for a model is about to keep busy.
    #[must_use]
    pub fn rate(&self, service: &str, model: &str, now: Instant) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        let age = self.since.map(|since| now.saturating_duration_since(since));
        let age = age.unwrap_or_default().max(SHORT);
        let estimate = self.estimates.get(&key);
        estimate.map_or(0.0, |estimate| estimate.forecast(now, age))
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
        target::sum(self.entries.values().flat_map(|(_, loads)| loads))
    }
}

//! Demand and load as the entries tell them.

use flamingo_wire::id;
use flamingo_wire::target::{Load, Resident, Tally};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant of the demand that placement follows.
const MEMORY: Duration = Duration::from_millis(1_500);
/// Time after which what an entry said of its requests no longer counts.
const STALE: Duration = Duration::from_secs(2);

/// A rate that forgets.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rate {
    /// Engines kept busy.
    value: f64,
    at: Instant,
}

impl Rate {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / MEMORY.as_secs_f64()).exp()
    }
}

/// Model of a service.
type Key = (id::Service, id::Model);

/// Demand for models, and the requests of each entry.
#[derive(Debug, Default)]
pub struct Demands {
    rates: BTreeMap<Key, Rate>,
    entries: BTreeMap<id::Node, (Instant, Vec<Load>)>,
}

impl Demands {
    /// Takes what an entry told.
    pub fn take(&mut self, now: Instant, from: &str, tally: Tally) {
        for demand in tally.demand {
            let key = (demand.service, demand.model);
            let old = self.rates.get(&key).map_or(0.0, |rate| rate.at(now));
            let added = demand.work_ms / 1_000.0 / MEMORY.as_secs_f64();
            let value = old + added;
            self.rates.insert(key, Rate { value, at: now });
        }
        self.entries.insert(from.to_owned(), (now, tally.loads));
    }

    /// Returns the engines that the demand for a model keeps busy.
    #[must_use]
    pub fn rate(&self, service: &str, model: &str, now: Instant) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        self.rates.get(&key).map_or(0.0, |rate| rate.at(now))
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

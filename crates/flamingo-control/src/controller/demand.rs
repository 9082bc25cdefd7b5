//! Demand for models and load of targets, from the reports of entries.
//!
//! The forecast has to follow demand that moves between models within seconds, and must not
//! overestimate models that are requested so seldom that two requests shortly after each other
//! mean nothing.

use flamingo_place::rate::Rate;
use flamingo_place::rebalance::Need;
use flamingo_wire::id;
use flamingo_wire::target::{self, Demand, Load, Resident, Usage};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant of the current demand.
const SHORT_WINDOW: Duration = Duration::from_millis(800);
/// Time constant of the demand that the current demand is compared with to see a trend.
const LONG_WINDOW: Duration = Duration::from_secs(3);
/// Shortest time that counts as observed: the first report covers demand from before it.
const MIN_OBSERVED: Duration = Duration::from_millis(400);
/// Factor by which a rise is expected to continue, relative to the difference of the two windows.
const TREND_FACTOR: f64 = 1.5;
/// Time after which the loads that an entry reported no longer count.
const LOADS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time constant in which a rejected caller that has not come back is forgotten: it may have given up.
const RETURN_WINDOW: Duration = Duration::from_secs(5);
/// Time after a request in which callers are assumed to still want the model.
const INTEREST_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the last stream that began at a version, or could not go on there, in which streams are
/// assumed to need the model at that version.
const NEED_TIMEOUT: Duration = Duration::from_secs(10);

/// The demand for one model.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Estimate {
    /// Demand over `SHORT_WINDOW`, in busy engines.
    short: Rate,
    /// Demand over `LONG_WINDOW`, in busy engines.
    long: Rate,
    /// Work of one request, in seconds of an engine.
    request_s: f64,
    /// Until when callers are assumed to want the model.
    wanted_until: Instant,
    /// Rejected callers that have not come back yet, in callers a second over `RETURN_WINDOW`.
    absent: Rate,
}

impl Estimate {
    fn new(now: Instant) -> Self {
        Self {
            short: Rate::new(SHORT_WINDOW, now),
            long: Rate::new(LONG_WINDOW, now),
            request_s: 0.0,
            wanted_until: now,
            absent: Rate::new(RETURN_WINDOW, now),
        }
    }

    /// Adds the demand of a report. A caller that comes back after a rejection counts once.
    fn add(&mut self, demand: &Demand, now: Instant) {
        let repeated = self.match_returns(demand, now);
        if demand.requests == 0 {
            return;
        }
        self.request_s = demand.work_ms / 1_000.0 / f64::from(demand.requests);
        self.wanted_until = now + INTEREST_TIMEOUT;
        let work = self.request_s * (f64::from(demand.requests) - repeated);
        self.short.add(work, now);
        self.long.add(work, now);
    }

    /// Returns how many requests of a report are of callers that were rejected and counted before.
    /// Others that have waited are first tries of callers that state less time.
    fn match_returns(&mut self, demand: &Demand, now: Instant) -> f64 {
        let absent = self.absent.at(now) * RETURN_WINDOW.as_secs_f64();
        let repeated = f64::from(demand.returned.min(demand.requests)).min(absent);
        self.absent.add(f64::from(demand.refused) - repeated, now);
        repeated
    }

    /// Returns the demand that is expected next, in busy engines, after entries have reported for
    /// `age`: the demand over the long window, plus a trend where the demand over the short window
    /// is higher by more than requests that arrive at random would make it.
    fn forecast(&self, now: Instant, age: Duration) -> f64 {
        let long = self.long.bias_corrected(now, age);
        let short = self.short.bias_corrected(now, age);
        // Standard deviation of a Poisson process under an exponential window.
        let deviation = (long * self.request_s / (2.0 * SHORT_WINDOW.as_secs_f64())).sqrt();
        let rise = (short - long - deviation).max(0.0);
        long + rise * (1.0 + TREND_FACTOR)
    }
}

/// A model of a service.
type ModelKey = (id::Service, id::Model);

/// A model at a version of the software of a service.
type VersionKey = (id::Service, id::Software, id::Model);

/// Until when streams are assumed to need a model at a version.
#[derive(Clone, Copy, Debug, Default)]
struct Needed {
    /// Until when some may have to go on there.
    until: Option<Instant>,
    /// Until when callers are assumed to ask for it in vain.
    stranded_until: Option<Instant>,
}

/// Tracks the demand for each model, and the loads that each entry reports.
#[derive(Debug, Default)]
pub struct Tracker {
    estimates: BTreeMap<ModelKey, Estimate>,
    /// What streams need at the version at which they began; dropped after `NEED_TIMEOUT`.
    needed: BTreeMap<VersionKey, Needed>,
    /// When the first report of any entry arrived.
    first_report: Option<Instant>,
    /// The newest loads of each entry, with the time of their report.
    entries: BTreeMap<id::Node, (Instant, Vec<Load>)>,
}

impl Tracker {
    /// Records a report of the entry `from`. Demand adds up; loads replace the entry's previous
    /// loads.
    pub fn record(&mut self, now: Instant, from: &str, usage: Usage) {
        self.first_report.get_or_insert(now);
        for demand in usage.demand {
            let key = (demand.service.clone(), demand.model.clone());
            let estimate = self.estimates.entry(key).or_insert(Estimate::new(now));
            estimate.add(&demand, now);
        }
        for need in usage.needs {
            let key = (need.service, need.software, need.model);
            let needed = self.needed.entry(key).or_default();
            let until = Some(now + NEED_TIMEOUT);
            needed.until = until;
            if need.stranded > 0 {
                needed.stranded_until = until;
            }
        }
        self.entries.insert(from.to_owned(), (now, usage.loads));
    }

    /// Forgets what streams have not needed for `NEED_TIMEOUT`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.needed
            .retain(|_, needed| needed.until.is_some_and(|until| now < until));
    }

    /// Returns what streams of a service need, by version: the model, and whether callers ask for it
    /// in vain.
    pub fn needed<'a>(&'a self, service: &'a str, now: Instant) -> impl Iterator<Item = Need> + 'a {
        let needed = self.needed.iter();
        let needed = needed.filter(move |((of, _, _), _)| of == service);
        needed.map(move |((_, software, model), needed)| Need {
            software: software.clone(),
            model: model.clone(),
            stranded: needed.stranded_until.is_some_and(|until| now < until),
        })
    }

    /// Returns the forecast demand for a model, in busy engines; 0 for an unknown model.
    #[must_use]
    pub fn forecast(&self, service: &str, model: &str, now: Instant) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        let age = self
            .first_report
            .map(|first| now.saturating_duration_since(first));
        let age = age.unwrap_or_default().max(MIN_OBSERVED);
        let estimate = self.estimates.get(&key);
        estimate.map_or(0.0, |estimate| estimate.forecast(now, age))
    }

    /// Returns whether a caller has asked for a model within the last `INTEREST_TIMEOUT`.
    #[must_use]
    pub fn is_wanted(&self, service: &str, model: &str, now: Instant) -> bool {
        let key = (service.to_owned(), model.to_owned());
        let estimate = self.estimates.get(&key);
        estimate.is_some_and(|estimate| now < estimate.wanted_until)
    }

    /// Returns the adapters of a target that requests of any entry use, by model.
    #[must_use]
    pub fn adapters_in_use(&self, target: &str) -> Vec<Resident> {
        let loads = self.entries.values().flat_map(|(_, loads)| loads);
        let loads = loads.filter(|load| load.target == target);
        loads.flat_map(|load| load.adapters.clone()).collect()
    }

    /// Returns the load of each target, summed over the entries that reported within
    /// `LOADS_TIMEOUT`.
    #[must_use]
    pub fn total_loads(&mut self, now: Instant) -> Vec<Load> {
        self.entries
            .retain(|_, (reported, _)| now < *reported + LOADS_TIMEOUT);
        target::sum(self.entries.values().flat_map(|(_, loads)| loads))
    }
}

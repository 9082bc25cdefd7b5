//! Turns of models on engines that can't hold all of them at once, in virtual time.

use flamingo_place::rebalance::{Engine, Model, Move, least_stay_s, next_move};
use flamingo_test_support::{cases, seed};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

/// Virtual time of one planning round, in seconds.
const ROUND_S: f64 = 0.1;
/// Time in which an engine finishes the requests of models that it unloads, in seconds.
const DRAIN_S: f64 = 1.0;
/// Wait after which the page on placement promises a model the next place, in seconds.
const LONGEST_WAIT_S: f64 = 60.0;
/// Window of the weight store's limit, in seconds.
const STORE_WINDOW_S: f64 = 5.0;
/// Memory of an engine, in megabytes.
const ENGINE_MEGABYTES: f64 = 200.0;
/// Places for models on an engine.
const PLACES: usize = 2;
/// Random fleets of one test.
const FLEETS: u64 = 5;
/// Virtual time of one fleet, in seconds.
const RUN_S: f64 = 300.0;

/// A random fleet.
struct Plan {
    engines: usize,
    models: usize,
    loads_per_s: f64,
    /// Demand of each model by turns of this length, in seconds.
    phase_s: f64,
    demands: Vec<Vec<f64>>,
    /// Engines that restart empty, with the time.
    restarts: Vec<(f64, usize)>,
}

impl Plan {
    /// Returns a fleet with `ratio` models for each place.
    fn random(source: &mut Gen, ratio: f64) -> Self {
        let mut below = |limit: u32| u32::arbitrary(source) % limit;
        let engines = 3 + below(5) as usize;
        let places = f64::from(u32::try_from(engines * PLACES).unwrap());
        let models = (1_u32..200)
            .find(|count| f64::from(*count) >= places * ratio)
            .unwrap() as usize;
        let phases = 1 + below(4) as usize;
        let demands = (0..phases).map(|_| {
            let demand = (0..models).map(|_| match below(4) {
                0 => 0.0,
                1 => 0.01,
                2 => 0.05,
                _ => f64::from(1 + below(6)) / 10.0,
            });
            demand.collect::<Vec<f64>>()
        });
        let demands = demands.collect::<Vec<_>>();
        let loads_per_s = f64::from(1 + below(8)) / 2.0;
        Self {
            engines,
            models,
            loads_per_s,
            phase_s: RUN_S / f64::from(u32::try_from(phases).unwrap()),
            demands,
            restarts: (0..below(3))
                .map(|_| (f64::from(below(250)), below(3) as usize))
                .collect(),
        }
    }

    /// Returns the time within which a model that is asked for all the time has to be resident.
    ///
    /// At its longest wait a model gets the next place whose copy has stayed for its time, behind
    /// the models that have waited longer, as fast as the weight store allows.
    fn bound_s(&self) -> f64 {
        let models = f64::from(u32::try_from(self.models).unwrap());
        let engines = f64::from(u32::try_from(self.engines).unwrap());
        let turn_s = least_stay_s(LOAD_S) + LOAD_S + DRAIN_S + ROUND_S;
        LONGEST_WAIT_S + (models / engines).ceil() * turn_s + models / self.loads_per_s
    }
}

/// Duration of a load, in seconds.
const LOAD_S: f64 = 5.0;

/// A fleet under way.
struct Fleet {
    plan: Plan,
    now_s: f64,
    engines: Vec<Engine>,
    /// When the load of each engine ends, by its index.
    loads: BTreeMap<usize, f64>,
    /// Since when each engine has a model, by both indexes.
    since: BTreeMap<(usize, String), f64>,
    /// Since when a model is asked for without a copy, by its name.
    waiting: BTreeMap<String, f64>,
    store_loads: Vec<f64>,
    /// Moves that unloaded a last copy, by engine.
    swaps: BTreeMap<usize, u32>,
    longest_wait_s: f64,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let engine = |index: usize| Engine {
            target: format!("engine-{index}"),
            megabytes: ENGINE_MEGABYTES,
            ..Engine::default()
        };
        Self {
            engines: (0..plan.engines).map(engine).collect(),
            plan,
            now_s: 0.0,
            loads: BTreeMap::new(),
            since: BTreeMap::new(),
            waiting: BTreeMap::new(),
            store_loads: Vec::new(),
            swaps: BTreeMap::new(),
            longest_wait_s: 0.0,
        }
    }

    fn demand(&self, model: usize) -> f64 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let phase = (self.now_s / self.plan.phase_s) as usize;
        self.plan.demands[phase.min(self.plan.demands.len() - 1)][model]
    }

    fn name(model: usize) -> String {
        format!("model-{model}")
    }

    /// Returns how many engines have a model resident, without those that are loading it.
    fn ready(&self, model: &str) -> usize {
        let ready = self.engines.iter().filter(|engine| {
            engine.loading.as_deref() != Some(model) && engine.models.iter().any(|m| m == model)
        });
        ready.count()
    }

    /// Ends loads, restarts engines, and counts the waits.
    fn advance(&mut self) {
        self.now_s += ROUND_S;
        let now = self.now_s;
        for (index, ends) in self.loads.clone() {
            if now >= ends {
                self.loads.remove(&index);
                let engine = &mut self.engines[index];
                let loaded = engine.loading.take().expect("a load");
                engine.executing = false;
                engine.cached.push(loaded.clone());
                self.since.insert((index, loaded), now);
            }
        }
        for (_, index) in self.plan.restarts.extract_if(.., |(at, _)| now >= *at) {
            let engine = &mut self.engines[index];
            engine.models.clear();
            engine.loading = None;
            engine.executing = false;
            self.loads.remove(&index);
            self.since.retain(|(engine, _), _| *engine != index);
        }
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let settled = engine.models.iter().filter(|model| {
                let since = self.since.get(&(index, (*model).clone()));
                since.is_some_and(|since| now >= since + least_stay_s(LOAD_S))
            });
            engine.settled = settled.cloned().collect();
        }
        for model in 0..self.plan.models {
            let name = Self::name(model);
            if self.demand(model) > 0.0 && self.ready(&name) == 0 {
                let since = *self.waiting.entry(name).or_insert(now);
                self.longest_wait_s = self.longest_wait_s.max(now - since);
            } else {
                self.waiting.remove(&name);
            }
        }
    }

    fn models(&self) -> Vec<Model> {
        let model = |index: usize| {
            let name = Self::name(index);
            let waiting = self.waiting.get(&name);
            Model {
                megabytes: 90.0,
                store_load_s: LOAD_S,
                local_load_s: 1.0,
                demand: self.demand(index),
                has_adapters: false,
                overdue: waiting.is_some_and(|since| self.now_s >= since + 15.0),
                waiting_s: waiting.map_or(0.0, |since| self.now_s - since + ROUND_S),
                name,
            }
        };
        (0..self.plan.models).map(model).collect()
    }

    /// Plans one move, and carries it out. Returns whether there was one.
    fn plan_move(&mut self) -> bool {
        let now = self.now_s;
        self.store_loads
            .retain(|start| now < start + STORE_WINDOW_S);
        let started = f64::from(u32::try_from(self.store_loads.len()).unwrap());
        let store = self.plan.loads_per_s * STORE_WINDOW_S - started >= 1.0;
        let Some(next) = next_move(&self.models(), &self.engines, store) else {
            return false;
        };
        assert!(store || !next.from_store, "a load beyond the store's limit");
        self.carry_out(&next);
        true
    }

    fn carry_out(&mut self, next: &Move) {
        let last = next.unload.iter().any(|model| self.ready(model) == 1);
        let mut engines = self.engines.iter();
        let index = engines
            .position(|engine| engine.target == next.target)
            .expect("a known engine");
        if last {
            *self.swaps.entry(index).or_default() += 1;
        }
        if last && self.ready(&next.load) == 0 {
            let loading = self
                .engines
                .iter()
                .filter(|engine| engine.models.contains(&next.load));
            assert_eq!(loading.count(), 0, "{} is loaded twice at once", next.load);
        }
        let engine = &mut self.engines[index];
        assert!(!engine.executing, "two orders at once on {}", next.target);
        assert!(
            !engine.models.contains(&next.load),
            "{} is there",
            next.load
        );
        engine.models.retain(|model| !next.unload.contains(model));
        engine.models.push(next.load.clone());
        assert!(engine.models.len() <= PLACES, "memory exceeded: {engine:?}");
        engine.loading = Some(next.load.clone());
        engine.executing = true;
        let drain = if next.unload.is_empty() { 0.0 } else { DRAIN_S };
        let load = if next.from_store { LOAD_S } else { 1.0 };
        self.loads.insert(index, self.now_s + drain + load);
        if next.from_store {
            self.store_loads.push(self.now_s);
        }
    }

    fn run(&mut self) {
        while self.now_s < RUN_S {
            self.advance();
            self.plan_move();
        }
    }
}

fn fleets(ratio: f64) -> impl Iterator<Item = (u64, Fleet)> {
    let seed = seed::seed();
    (seed..seed + FLEETS).map(move |seed| {
        let mut source = Gen::from_size_and_seed(50, seed);
        (seed, Fleet::new(Plan::random(&mut source, ratio)))
    })
}

/// Each model that is asked for all the time becomes resident within the stated bound.
fn each_model_gets_its_turn(ratio: f64) {
    for (seed, mut fleet) in fleets(ratio) {
        let bound_s = fleet.plan.bound_s();
        fleet.run();
        let waited_s = fleet.longest_wait_s;
        assert!(
            waited_s <= bound_s,
            "seed {seed}: {waited_s} s, at most {bound_s} s"
        );
    }
}

/// No engine swaps a last copy more often than the least stay of its copies allows.
fn swaps_are_bounded(ratio: f64) {
    for (seed, mut fleet) in fleets(ratio) {
        fleet.run();
        for (engine, swaps) in &fleet.swaps {
            let stays = RUN_S / least_stay_s(LOAD_S) + 1.0;
            let most = stays * f64::from(u32::try_from(PLACES).unwrap());
            assert!(
                f64::from(*swaps) <= most,
                "seed {seed}, engine {engine}: {swaps} swaps"
            );
        }
    }
}

/// Where all models fit, no last copy goes, also while an engine that restarted is empty.
fn no_last_copy_goes(ratio: f64) {
    for (seed, mut fleet) in fleets(ratio) {
        fleet.run();
        assert!(fleet.swaps.is_empty(), "seed {seed}: {:?}", fleet.swaps);
    }
}

cases! { each_model_gets_its_turn:
    fewer_models_than_places_are_all_served(0.5);
    as_many_models_as_places_are_all_served(1.0);
    three_times_as_many_models_as_places_take_turns(3.0);
}

cases! { swaps_are_bounded:
    swaps_of_half_more_models_than_places_are_bounded(1.5);
    swaps_of_three_times_as_many_models_are_bounded(3.0);
}

cases! { no_last_copy_goes:
    where_models_are_few_no_last_copy_goes(0.5);
    where_models_just_fit_no_last_copy_goes(1.0);
}

fn model(name: &str, demand: f64, waiting_s: f64) -> Model {
    Model {
        name: name.into(),
        megabytes: 90.0,
        store_load_s: LOAD_S,
        local_load_s: 1.0,
        demand,
        waiting_s,
        ..Model::default()
    }
}

/// One engine with room for one model, which it has had for long enough.
fn full_engine(resident: &str) -> Engine {
    Engine {
        target: "engine".into(),
        models: vec![resident.into()],
        settled: vec![resident.into()],
        megabytes: 100.0,
        ..Engine::default()
    }
}

#[test]
fn an_idle_last_copy_makes_room_for_a_model_that_is_asked_for() {
    let models = [model("idle", 0.0, 0.0), model("asked", 0.02, 0.5)];
    let next = next_move(&models, &[full_engine("idle")], true).expect("a move");
    assert_eq!(
        (next.load.as_str(), next.unload.as_slice()),
        ("asked", &["idle".to_owned()][..])
    );
}

#[test]
fn a_copy_that_has_just_come_is_not_swapped() {
    let models = [model("idle", 0.0, 0.0), model("asked", 0.02, 100.0)];
    let engine = Engine {
        settled: Vec::new(),
        ..full_engine("idle")
    };
    assert_eq!(next_move(&models, &[engine], true), None);
}

#[test]
fn a_model_that_nobody_asks_for_takes_no_turn() {
    let models = [model("idle", 0.0, 0.0), model("other", 0.0, 0.0)];
    assert_eq!(next_move(&models, &[full_engine("idle")], true), None);
}

#[test]
fn a_busy_copy_stays_until_the_others_wait_outweighs_it() {
    let engines = [full_engine("busy")];
    let models = |waited_s| [model("busy", 0.5, 0.0), model("asked", 0.02, waited_s)];
    assert_eq!(next_move(&models(30.0), &engines, true), None);
    let next = next_move(&models(LONGEST_WAIT_S), &engines, true).expect("a move");
    assert_eq!(next.load, "asked");
}

/// Two engines with a place each for three models.
fn two_engines(first: &str, second: &str) -> [Engine; 2] {
    let other = Engine {
        target: "other".into(),
        ..full_engine(second)
    };
    [full_engine(first), other]
}

#[test]
fn a_busy_model_takes_the_place_of_an_idle_one_for_a_second_copy() {
    let models = [
        model("busy", 1.5, 0.0),
        model("idle", 0.0, 0.0),
        model("away", 0.0, 0.0),
    ];
    let next = next_move(&models, &two_engines("busy", "idle"), true).expect("a move");
    assert_eq!(
        (next.load.as_str(), next.target.as_str()),
        ("busy", "other")
    );
}

#[test]
fn a_busy_model_that_lost_its_copies_takes_a_second_copy_of_another_at_once() {
    let models = [
        model("warm", 0.4, 0.0),
        model("lost", 3.0, 0.1),
        model("away", 0.0, 0.0),
    ];
    let next = next_move(&models, &two_engines("warm", "warm"), true).expect("a move");
    assert_eq!(next.load, "lost");
}

#[test]
fn a_model_that_nobody_asks_for_does_not_displace_a_second_copy() {
    let away = Model {
        overdue: true,
        ..model("away", 0.0, 0.0)
    };
    let models = [model("busy", 1.5, 0.0), model("idle", 0.0, 0.0), away];
    assert_eq!(next_move(&models, &two_engines("busy", "busy"), true), None);
}

#[test]
fn a_second_copy_in_demand_stays_until_a_wait_outweighs_it() {
    let models = |waited_s| {
        let asked = Model {
            overdue: true,
            ..model("asked", 0.02, waited_s)
        };
        [model("busy", 1.5, 0.0), asked, model("idle", 0.0, 0.0)]
    };
    let engines = two_engines("busy", "busy");
    assert_eq!(next_move(&models(20.0), &engines, true), None);
    let next = next_move(&models(LONGEST_WAIT_S), &engines, true).expect("a move");
    assert_eq!(next.load, "asked");
}

#[test]
fn the_longest_wait_comes_first() {
    let models = [
        model("busy", 0.1, 0.0),
        model("much", 0.4, 20.0),
        model("long", 0.02, LONGEST_WAIT_S + 1.0),
    ];
    let overdue = models.map(|model| Model {
        overdue: model.waiting_s > 0.0,
        ..model
    });
    let next = next_move(&overdue, &[full_engine("busy")], true).expect("a move");
    assert_eq!(next.load, "long");
}

/// Two engines of 200 MB with 60 and 90 MB taken: a model of 150 MB fits only once the smaller
/// model has been copied to the other engine.
#[test]
fn where_all_models_fit_a_last_copy_goes_only_after_it_was_copied() {
    let sized = |name: &str, megabytes, waiting_s| Model {
        megabytes,
        ..model(name, 0.02, waiting_s)
    };
    let models = [
        sized("small", 60.0, 0.0),
        sized("middle", 90.0, 0.0),
        sized("large", 150.0, 20.0),
    ];
    let engine = |target: &str, resident: &str| Engine {
        target: target.into(),
        megabytes: 200.0,
        ..full_engine(resident)
    };
    let mut engines = [engine("one", "small"), engine("two", "middle")];
    let next = next_move(&models, &engines, true).expect("a move");
    assert!(next.load != "large" && next.unload.is_empty(), "{next:?}");
    let copied = engines
        .iter_mut()
        .find(|engine| engine.target == next.target);
    copied.expect("an engine").models.push(next.load);
    let next = next_move(&models, &engines, true).expect("a move");
    assert_eq!((next.load.as_str(), next.unload.len()), ("large", 1));
}

#[test]
fn a_model_that_fits_no_engine_does_not_cost_others_their_last_copies() {
    let giant = Model {
        megabytes: 500.0,
        ..model("giant", 0.5, 100.0)
    };
    let models = [model("busy", 1.5, 0.0), model("idle", 0.0, 0.0), giant];
    assert_eq!(next_move(&models, &two_engines("busy", "idle"), true), None);
}

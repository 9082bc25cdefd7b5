//! Moves of copies when the demand shifts between models.

use flamingo_place::rebalance::{Engine, Model, Move, hedge_demand, next_move, prefetch};

fn model(name: &str, demand: f64) -> Model {
    Model {
        name: name.into(),
        megabytes: 70.0,
        store_load_s: 5.0,
        local_load_s: 1.0,
        demand,
        has_adapters: true,
        overdue: false,
        waiting_s: 0.0,
    }
}

fn engine(target: &str, models: &[&str]) -> Engine {
    Engine {
        target: target.into(),
        models: models.iter().map(|name| (*name).into()).collect(),
        megabytes: 150.0,
        ..Engine::default()
    }
}

fn apply(engines: &mut [Engine], next: &Move) {
    let engine = engines
        .iter_mut()
        .find(|engine| engine.target == next.target);
    let engine = engine.expect("an engine");
    engine.models.retain(|model| !next.unload.contains(model));
    engine.models.push(next.load.clone());
    assert!(engine.models.len() <= 2, "{engine:?}");
}

fn copies(engines: &[Engine], model: &str) -> usize {
    let replicas = engines
        .iter()
        .filter(|engine| engine.models.iter().any(|name| name == model));
    replicas.count()
}

/// Four engines with room for two models each. All have `a`, but the demand has shifted to `b`.
fn shifted_demand() -> (Vec<Model>, Vec<Engine>) {
    let models = vec![model("a", 0.0), model("b", 2.0), model("c", 0.05)];
    let engines = vec![
        engine("1", &["a", "b"]),
        engine("2", &["a", "c"]),
        engine("3", &["a"]),
        engine("4", &["a"]),
    ];
    (models, engines)
}

#[test]
fn a_shift_of_demand_moves_copies_until_no_move_is_worth_it() {
    let (models, mut engines) = shifted_demand();
    let mut moves = 0;
    while let Some(next) = next_move(&models, &engines, true) {
        apply(&mut engines, &next);
        moves += 1;
        assert!(moves < 10, "the moves do not end");
    }
    assert!(copies(&engines, "b") >= 3, "{engines:?}");
    for name in ["a", "c"] {
        assert!(copies(&engines, name) >= 1, "{name} has no copy");
    }
}

/// Two models are in demand, and an engine has to unload one before it loads the other.
#[test]
fn a_copy_in_demand_is_evicted_for_a_short_load_but_not_for_a_long_one() {
    let models = [
        Model {
            store_load_s: 13.0,
            ..model("hot", 1.6)
        },
        model("warm", 0.9),
    ];
    let mut engines = [("1", "hot"), ("2", "warm"), ("3", "warm")].map(|(target, model)| Engine {
        megabytes: 80.0,
        ..engine(target, &[model])
    });
    assert_eq!(next_move(&models, &engines, true), None);
    engines[2].cached.push("hot".into());
    let next = next_move(&models, &engines, true).expect("a move");
    assert_eq!((next.target.as_str(), next.unload.len()), ("3", 1));
}

#[test]
fn without_the_store_only_cached_models_are_loaded() {
    let (models, mut engines) = shifted_demand();
    assert_eq!(next_move(&models, &engines, false), None);
    engines[3].cached.push("b".into());
    let next = next_move(&models, &engines, false).expect("a move");
    assert_eq!((next.target.as_str(), next.from_store), ("4", false));
}

#[test]
fn the_last_ready_copy_is_never_evicted() {
    let models = [model("a", 0.3), model("b", 2.0), model("c", 0.0)];
    let mut engines = [
        engine("1", &["b", "c"]),
        engine("2", &["a", "c"]),
        engine("3", &["a", "c"]),
    ];
    // Engine 3 is still loading 'a', so the copy on engine 2 is the last ready one.
    engines[2].loading = Some("a".into());
    engines[2].executing = true;
    let next = next_move(&models, &engines, true);
    let safe = next.is_none_or(|next| !next.unload.contains(&"a".to_owned()));
    assert!(safe, "the last ready copy of a was evicted");
}

#[test]
fn a_model_without_a_copy_that_overloads_an_engine_is_placed_before_a_further_copy() {
    let models = [model("busy", 3.0), model("lost", 7.0)];
    let mut engines = ["1", "2", "3", "4"].map(|target| engine(target, &["busy"]));
    engines[3].models.clear();
    for target in &mut engines {
        target.megabytes = 80.0;
    }
    let next = next_move(&models, &engines, true).expect("a move");
    assert_eq!(next.load, "lost");
}

#[test]
fn a_model_without_a_copy_is_placed_first() {
    let models = [model("a", 3.0), model("lost", 0.0)];
    let engines = [engine("1", &["a"]), engine("2", &["a"])];
    let next = next_move(&models, &engines, true).expect("a move");
    assert_eq!(next.load, "lost");
}

/// The only copy of a model was lost while another model has too few copies for its demand.
#[test]
fn a_lost_model_is_placed_first_if_it_is_in_demand_or_overdue() {
    let engines = [engine("1", &["a"]), engine("2", &["a"]), engine("3", &[])];
    let load = |lost: Model| {
        let next = next_move(&[model("a", 1.6), lost], &engines, true);
        next.expect("a move").load
    };
    assert_eq!(load(model("lost", 0.01)), "a");
    assert_eq!(load(model("lost", 0.4)), "lost");
    let overdue = Model {
        overdue: true,
        ..model("lost", 0.01)
    };
    assert_eq!(load(overdue), "lost");
}

/// Engines with the only copies of two models were lost while another model has too few copies
/// for its demand. An engine that loads a model without demand can take no other order for
/// seconds.
#[test]
fn lost_models_without_demand_are_placed_after_copies_in_demand() {
    let models = [model("a", 4.0), model("lost", 0.0), model("gone", 0.0)];
    let mut engines = vec![engine("1", &["a"]), engine("2", &[]), engine("3", &[])];
    let mut order = Vec::new();
    while let Some(next) = next_move(&models, &engines, true) {
        apply(&mut engines, &next);
        order.push(next.load);
        assert!(order.len() < 10, "the moves do not end");
    }
    assert_eq!(order[..2], ["a", "a"]);
    for name in ["lost", "gone"] {
        assert!(copies(&engines, name) >= 1, "{name} was not placed");
    }
}

#[test]
fn a_lost_model_evicts_a_copy_in_demand_only_if_in_demand_or_overdue() {
    let move_on_full_engines = |lost: Model| {
        let models = [model("a", 2.0), model("b", 2.0), lost];
        let engines = [engine("1", &["a", "b"]), engine("2", &["a", "b"])];
        next_move(&models, &engines, true)
    };
    assert_eq!(move_on_full_engines(model("lost", 0.0)), None);
    let in_demand = move_on_full_engines(model("lost", 0.8)).expect("a move");
    assert_eq!(in_demand.load, "lost");
    let overdue = Model {
        overdue: true,
        ..model("lost", 0.0)
    };
    assert_eq!(move_on_full_engines(overdue).expect("a move").load, "lost");
}

#[test]
fn low_demand_moves_nothing() {
    let models = [model("a", 0.3), model("b", 0.2)];
    let engines = [engine("1", &["a"]), engine("2", &["b"])];
    assert_eq!(next_move(&models, &engines, true), None);
}

#[test]
fn an_engine_that_executes_an_order_gets_no_other() {
    let (models, mut engines) = shifted_demand();
    for engine in &mut engines {
        engine.executing = true;
    }
    assert_eq!(next_move(&models, &engines, true), None);
    assert_eq!(prefetch(&models, &engines, |_| true), None);
}

#[test]
fn the_second_highest_demand_is_raised_to_a_fraction_of_the_highest() {
    let mut models = [model("a", 2.0), model("b", 0.1), model("c", 0.0)];
    hedge_demand(&mut models);
    assert!(models[1].demand > 1.0);
    assert!(models[2].demand < 0.01);
}

#[test]
fn the_second_highest_demand_of_a_large_fleet_is_given_one_engine_more() {
    let mut models = [model("a", 50.0), model("b", 4.0), model("c", 1.0)];
    hedge_demand(&mut models);
    assert!((models[1].demand - 5.0).abs() < 1e-9);
    assert!((models[2].demand - 1.0).abs() < 1e-9);
}

#[test]
fn a_prefetch_loads_a_model_that_the_engine_has_not_cached() {
    let models = [model("a", 0.0), model("b", 0.0)];
    let mut engines = [engine("1", &["a"]), engine("2", &["b"])];
    engines[0].cached.push("a".into());
    engines[1].cached.push("b".into());
    let next = prefetch(&models, &engines, |_| true).expect("a move");
    assert!(next.from_store && next.unload.is_empty());
}

//! Copies of models under demand that moves.

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

fn carry_out(engines: &mut [Engine], found: &Move) {
    let engine = engines
        .iter_mut()
        .find(|engine| engine.target == found.target);
    let engine = engine.expect("an engine");
    engine.models.retain(|model| !found.unload.contains(model));
    engine.models.push(found.load.clone());
    assert!(engine.models.len() <= 2, "{engine:?}");
}

fn copies(engines: &[Engine], model: &str) -> usize {
    let held = engines
        .iter()
        .filter(|engine| engine.models.iter().any(|held| held == model));
    held.count()
}

/// Four engines of two models each: `a` was wanted, `b` now is.
fn shifted() -> (Vec<Model>, Vec<Engine>) {
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
fn a_shift_of_demand_moves_copies_until_nothing_is_strained() {
    let (models, mut engines) = shifted();
    let mut moves = 0;
    while let Some(found) = next_move(&models, &engines, true) {
        carry_out(&mut engines, &found);
        moves += 1;
        assert!(moves < 10, "it goes on for ever");
    }
    assert!(copies(&engines, "b") >= 3, "{engines:?}");
    for name in ["a", "c"] {
        assert!(copies(&engines, name) >= 1, "{name} has gone");
    }
}

/// Two models are wanted, and an engine would have to give up one for the other.
#[test]
fn a_wanted_copy_makes_way_for_a_short_load_but_not_for_a_long_one() {
    let models = [
        Model {
            store_load_s: 13.0,
            ..model("hot", 1.6)
        },
        model("warm", 0.9),
    ];
    let mut engines = [("1", "hot"), ("2", "warm"), ("3", "warm")].map(|(target, held)| Engine {
        megabytes: 80.0,
        ..engine(target, &[held])
    });
    assert_eq!(next_move(&models, &engines, true), None);
    engines[2].cached.push("hot".into());
    let found = next_move(&models, &engines, true).expect("a move");
    assert_eq!((found.target.as_str(), found.unload.len()), ("3", 1));
}

#[test]
fn without_the_store_only_kept_copies_are_loaded() {
    let (models, mut engines) = shifted();
    assert_eq!(next_move(&models, &engines, false), None);
    engines[3].cached.push("b".into());
    let found = next_move(&models, &engines, false).expect("a move");
    assert_eq!((found.target.as_str(), found.from_store), ("4", false));
}

#[test]
fn the_last_copy_that_is_there_makes_way_for_nothing() {
    let models = [model("a", 0.3), model("b", 2.0), model("c", 0.0)];
    let mut engines = [
        engine("1", &["b", "c"]),
        engine("2", &["a", "c"]),
        engine("3", &["a", "c"]),
    ];
    // The copy of 'a' on the third is only coming: that on the second is the last one.
    engines[2].loading = Some("a".into());
    engines[2].executing = true;
    let found = next_move(&models, &engines, true);
    let safe = found.is_none_or(|found| !found.unload.contains(&"a".to_owned()));
    assert!(safe);
}

#[test]
fn a_model_without_a_copy_is_placed_first() {
    let models = [model("a", 3.0), model("lost", 0.0)];
    let engines = [engine("1", &["a"]), engine("2", &["a"])];
    let found = next_move(&models, &engines, true).expect("a move");
    assert_eq!(found.load, "lost");
}

/// The only copy of a model was lost while one copy of another meets the demand of many.
#[test]
fn a_lost_model_goes_before_others_by_what_is_asked_of_it() {
    let engines = [engine("1", &["a"]), engine("2", &["a"]), engine("3", &[])];
    let load = |lost: Model| {
        let found = next_move(&[model("a", 1.6), lost], &engines, true);
        found.expect("a move").load
    };
    assert_eq!(load(model("lost", 0.01)), "a");
    assert_eq!(load(model("lost", 0.4)), "lost");
    let overdue = Model {
        overdue: true,
        ..model("lost", 0.01)
    };
    assert_eq!(load(overdue), "lost");
}

/// Engines were lost with the only copies of two models while one copy of another meets the
/// demand of many: an engine that loads what nobody asks for takes no other order for seconds.
#[test]
fn lost_models_that_nobody_asks_for_wait_for_copies_of_wanted_ones() {
    let models = [model("a", 4.0), model("lost", 0.0), model("gone", 0.0)];
    let mut engines = vec![engine("1", &["a"]), engine("2", &[]), engine("3", &[])];
    let mut order = Vec::new();
    while let Some(found) = next_move(&models, &engines, true) {
        carry_out(&mut engines, &found);
        order.push(found.load);
        assert!(order.len() < 10, "it goes on for ever");
    }
    assert_eq!(order[..2], ["a", "a"]);
    for name in ["lost", "gone"] {
        assert!(copies(&engines, name) >= 1, "{name} was not placed");
    }
}

#[test]
fn a_lost_model_takes_a_wanted_copy_only_where_it_is_asked_for_or_overdue() {
    let full = |lost: Model| {
        let models = [model("a", 2.0), model("b", 2.0), lost];
        let engines = [engine("1", &["a", "b"]), engine("2", &["a", "b"])];
        next_move(&models, &engines, true)
    };
    assert_eq!(full(model("lost", 0.0)), None);
    let asked = full(model("lost", 0.8)).expect("a move");
    assert_eq!(asked.load, "lost");
    let overdue = Model {
        overdue: true,
        ..model("lost", 0.0)
    };
    assert_eq!(full(overdue).expect("a move").load, "lost");
}

#[test]
fn calm_demand_moves_nothing() {
    let models = [model("a", 0.3), model("b", 0.2)];
    let engines = [engine("1", &["a"]), engine("2", &["b"])];
    assert_eq!(next_move(&models, &engines, true), None);
}

#[test]
fn an_engine_that_carries_out_an_order_is_left_alone() {
    let (models, mut engines) = shifted();
    for engine in &mut engines {
        engine.executing = true;
    }
    assert_eq!(next_move(&models, &engines, true), None);
    assert_eq!(prefetch(&models, &engines, |_| true), None);
}

#[test]
fn the_second_model_is_prepared_for_part_of_the_first() {
    let mut models = [model("a", 2.0), model("b", 0.1), model("c", 0.0)];
    hedge_demand(&mut models);
    assert!(models[1].demand > 1.0);
    assert!(models[2].demand < 0.01);
}

#[test]
fn a_copy_ahead_goes_where_none_is_kept() {
    let models = [model("a", 0.0), model("b", 0.0)];
    let mut engines = [engine("1", &["a"]), engine("2", &["b"])];
    engines[0].cached.push("a".into());
    engines[1].cached.push("b".into());
    let found = prefetch(&models, &engines, |_| true).expect("a move");
    assert!(found.from_store && found.unload.is_empty());
}

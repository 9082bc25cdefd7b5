//! Copies of models at the software version at which streams began.

use flamingo_place::rebalance::{Engine, Model, Need, bring_back, hold_needed, next_move};

fn model(name: &str, demand: f64) -> Model {
    Model {
        name: name.into(),
        megabytes: 70.0,
        store_load_s: 8.0,
        local_load_s: 1.5,
        demand,
        ..Model::default()
    }
}

/// An engine with room for two models.
fn engine(target: &str, software: &str, models: &[&str]) -> Engine {
    Engine {
        target: target.into(),
        software: software.into(),
        models: models.iter().map(|name| (*name).into()).collect(),
        settled: models.iter().map(|name| (*name).into()).collect(),
        megabytes: 150.0,
        ..Engine::default()
    }
}

fn need(model: &str, software: &str, stranded: bool) -> Need {
    Need {
        software: software.into(),
        model: model.into(),
        stranded,
    }
}

/// Demand shifts to `hot`. Engine 1 could give up `a`, of which engine 3 has a copy at another version.
fn shifted(software: [&str; 3]) -> (Vec<Model>, Vec<Engine>) {
    let models = vec![model("a", 0.0), model("hot", 2.0), model("c", 0.6)];
    let [first, second, third] = software;
    let engines = vec![
        engine("1", first, &["a", "c"]),
        engine("2", second, &["hot", "c"]),
        engine("3", third, &["a", "hot"]),
    ];
    (models, engines)
}

#[test]
fn the_last_copy_at_a_version_stays_while_streams_need_it_there() {
    let (models, engines) = shifted(["v1", "v1", "v2"]);
    let next = next_move(&models, &engines, true).expect("a move");
    assert_eq!((next.target.as_str(), next.unload), ("1", vec!["a".into()]));
    let held = hold_needed(engines.clone(), &[need("a", "v1", false)]);
    assert_eq!(next_move(&models, &held, true), None);
    let elsewhere = hold_needed(engines, &[need("a", "v2", false)]);
    let next = next_move(&models, &elsewhere, true).expect("a move");
    assert_eq!((next.target.as_str(), next.unload), ("1", vec!["a".into()]));
}

#[test]
fn nothing_is_held_where_one_version_serves() {
    let (_, engines) = shifted(["v1"; 3]);
    let held = hold_needed(engines.clone(), &[need("a", "v1", true)]);
    assert_eq!(held, engines);
}

#[test]
fn a_model_without_any_copy_takes_the_place_of_one_that_is_held() {
    let models = [model("a", 0.0), model("lost", 0.5), model("b", 0.0)];
    let models = models.map(|model| Model {
        overdue: model.name == "lost",
        waiting_s: if model.name == "lost" { 20.0 } else { 0.0 },
        ..model
    });
    let engines = vec![
        engine("1", "v1", &["a", "b"]),
        engine("2", "v2", &["a", "b"]),
    ];
    let needs = ["v1", "v2"].map(|software| need("a", software, false));
    let held = hold_needed(engines, &needs);
    assert!(held.iter().all(|engine| engine.held == ["a"]));
    let next = next_move(&models, &held, true).expect("a move");
    assert_eq!(next.load, "lost");
}

#[test]
fn a_model_that_its_version_has_lost_is_brought_back_from_a_cache() {
    let models = [model("a", 0.3), model("b", 0.0)];
    let mut engines = vec![
        engine("1", "v1", &["b"]),
        engine("2", "v1", &["b"]),
        engine("3", "v2", &["a"]),
    ];
    engines[1].cached.push("a".into());
    let stranded = [need("a", "v1", true)];
    let found = bring_back(&models, &engines, &stranded, true).expect("a move");
    assert_eq!((found.target.as_str(), found.from_store), ("2", false));
    assert!(found.unload.is_empty(), "{found:?}");
    engines[1].cached.clear();
    assert_eq!(bring_back(&models, &engines, &stranded, false), None);
    let found = bring_back(&models, &engines, &stranded, true).expect("a move");
    assert!(found.from_store && found.target != "3", "{found:?}");
}

#[test]
fn a_model_is_brought_back_once() {
    let models = [model("a", 0.3), model("b", 0.0)];
    let mut engines = vec![engine("1", "v1", &["a"]), engine("2", "v2", &["a"])];
    let stranded = [need("a", "v1", true)];
    assert_eq!(bring_back(&models, &engines, &stranded, true), None);
    engines[0].loading = Some("a".into());
    engines[0].executing = true;
    assert_eq!(bring_back(&models, &engines, &stranded, true), None);
}

#[test]
fn a_model_is_not_brought_back_in_place_of_a_last_copy() {
    let models = [model("a", 0.3), model("b", 0.0), model("c", 0.0)];
    let engines = vec![engine("1", "v1", &["b", "c"]), engine("2", "v2", &["a"])];
    let stranded = [need("a", "v1", true)];
    assert_eq!(bring_back(&models, &engines, &stranded, true), None);
}

#[test]
fn a_model_that_is_not_asked_for_in_vain_is_not_brought_back() {
    let models = [model("a", 0.3)];
    let engines = vec![engine("1", "v1", &[]), engine("2", "v2", &["a"])];
    let begun = [need("a", "v1", false)];
    assert_eq!(bring_back(&models, &engines, &begun, true), None);
}

//! The controller against engines that lose, delay and repeat orders, and restart.

mod engine;
mod harness;

use engine::{Engine, Script, World};
use flamingo_control::controller::engine_api::{Operation, Order};
use flamingo_test_support::wait;
use flamingo_wire::control::{LoadAdapter, Request};
use flamingo_wire::route;
use harness::Harness;

/// Names a test after what must not happen.
macro_rules! case {
    ($name:ident, $run:expr) => {
        #[actix_rt::test]
        async fn $name() {
            $run.await;
        }
    };
}

/// Engines with memory for two of the models `a`, `b` and `c`, and slots for `adapters`.
fn config(adapters: u32) -> route::Engine {
    let model = |name: &str, megabytes| route::Model {
        name: name.into(),
        megabytes,
        load_s: 1.0,
        disk_s: 1.0,
        adapters,
        adapter_megabytes: 1.0,
        ..route::Model::default()
    };
    route::Engine {
        slots: 8,
        tokens: 1_000,
        megabytes: 200.0,
        adapters,
        loads_per_s: 10.0,
        models: vec![model("a", 70.0), model("b", 70.0), model("c", 70.0)],
        ..route::Engine::default()
    }
}

/// Returns an order that an earlier leader gave at `sequence`.
fn late(order: &Order, model: &str, adapter: Option<&str>, sequence: u64) -> Order {
    Order {
        operation: Operation::Load,
        model: model.into(),
        adapter: adapter.map(str::to_owned),
        expected_sequence: sequence,
        fence: 0,
        ..order.clone()
    }
}

async fn until(world: &World, what: &str, look: impl Fn(&Engine) -> bool) {
    wait::until(what, || {
        let seen = world.look("e", &look);
        async move { seen.then_some(()) }
    })
    .await;
}

/// A load of an earlier leader, which takes the last room, is carried out right before the first
/// order of this one.
fn earlier_load_wins(config: route::Engine, model: &'static str) -> Script {
    let mut done = false;
    Box::new(move |engine, order| {
        if std::mem::replace(&mut done, true) {
            return None;
        }
        let earlier = late(order, model, None, engine.sequence);
        engine.execute(&earlier, &config);
        None
    })
}

async fn retry_after_an_earlier_load() {
    let script = earlier_load_wins(config(0), "c");
    let world = World::new(config(0), [("e", Engine::new(0, &["a"]))], script);
    let _harness = Harness::start(&world).await;
    until(&world, "the first order", |engine| {
        !engine.orders.is_empty()
    })
    .await;
    let reports = world.look("e", |engine| engine.reports);
    until(&world, "reports after it", |engine| {
        engine.reports >= reports + 3
    })
    .await;
    assert!(!world.look("e", |engine| engine.overfull));
}

case! { a_retried_load_does_not_overfill_an_engine, retry_after_an_earlier_load() }

/// Asks for adapter `x` twice; before the first order an earlier leader's load of `y` takes the
/// only slot.
async fn adapter_after_an_earlier_one() {
    let mut done = false;
    let script: Script = Box::new(move |engine, order| {
        if std::mem::replace(&mut done, true) {
            return None;
        }
        let earlier = late(order, "a", Some("y"), engine.sequence);
        engine.execute(&earlier, &config(1));
        None
    });
    let world = World::new(config(1), [("e", Engine::new(0, &["a", "b"]))], script);
    let harness = Harness::start(&world).await;
    let request = LoadAdapter {
        target: "e".into(),
        incarnation: 1,
        model: "a".into(),
        adapter: "x".into(),
    };
    until(&world, "a report", |engine| engine.reports > 0).await;
    for _ in 0..2 {
        harness.ask(Request::LoadAdapter(request.clone())).await;
    }
    assert!(!world.look("e", |engine| engine.overfull));
    assert!(world.look("e", |engine| !engine.orders.is_empty()));
}

case! { a_late_adapter_does_not_overfill_the_slots, adapter_after_an_earlier_one() }

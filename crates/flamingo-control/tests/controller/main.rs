//! The controller against engines that lose, delay and repeat orders, and restart.

mod engine;
mod harness;
mod property;

use engine::{Engine, Script, World};
use flamingo_control::controller::engine_api::{Operation, Order, Outcome};
use flamingo_test_support::wait;
use flamingo_wire::admin::{Answer, Query};
use flamingo_wire::control::{LoadAdapter, Permit, Push, Reply, Request, Room};
use flamingo_wire::prompt::{Crash, Evidence, Exposure};
use flamingo_wire::quota::{Decision, Question, Use, Want};
use flamingo_wire::route;
use flamingo_wire::share;
use flamingo_wire::target::{Demand, Load, Usage};
use harness::Harness;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Names each scenario after what must not happen.
macro_rules! cases {
    ($($name:ident: $scenario:expr,)*) => {
        $(
            #[actix_rt::test]
            async fn $name() {
                $scenario.await;
            }
        )*
    };
}

/// Returns engines with 200 MB and slots for `adapters`, and models of these sizes.
fn config(models: &[(&str, f64)], adapters: u32) -> route::Engine {
    let models = models.iter().map(|(name, megabytes)| route::Model {
        name: (*name).into(),
        megabytes: *megabytes,
        load_s: 1.0,
        disk_s: 1.0,
        adapters,
        adapter_megabytes: 1.0,
        ..route::Model::default()
    });
    route::Engine {
        slots: 8,
        tokens: 1_000,
        megabytes: 200.0,
        adapters,
        loads_per_s: 10.0,
        models: models.collect(),
        ..route::Engine::default()
    }
}

/// Time in which the controller learns that an engine has restarted.
const RESTART_SEEN: Duration = Duration::from_millis(500);

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

/// Returns a script that calls `first` with the first order, and has all orders carried out for
/// which that returns nothing.
fn at_first_order(first: impl Fn(&mut Engine, &Order) -> Option<Outcome> + 'static) -> Script {
    let mut done = false;
    Box::new(move |engines, order| {
        if std::mem::replace(&mut done, true) {
            return None;
        }
        first(engines.get_mut(&order.target)?, order)
    })
}

/// A load of an earlier leader takes the last room right before the first order of this one.
async fn retry_after_an_earlier_load() {
    let models = [("a", 70.0), ("b", 70.0), ("c", 70.0)];
    let script = at_first_order(move |engine, order| {
        let earlier = late(order, "c", None, engine.sequence);
        engine.execute(&earlier, &config(&models, 0));
        None
    });
    let world = World::new(config(&models, 0), [("e", Engine::new(0, &["a"]))], script);
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

/// An engine executes an earlier leader's load of `c` when the load of `b` is sent again. What gets
/// no answer is carried out once that is done.
async fn load_beside_an_earlier_one() {
    let models = [("a", 70.0), ("b", 70.0), ("c", 70.0)];
    let mut first = true;
    let script: Script = Box::new(move |engines, order| {
        let engine = engines.get_mut(&order.target)?;
        if std::mem::take(&mut first) {
            let earlier = late(order, "c", None, engine.sequence);
            engine.execute(&earlier, &config(&models, 0));
            engine.executing = 3;
            engine.mute = 1;
        } else if engine.executing > 0 {
            engine.late.push(order.clone());
        } else {
            return None;
        }
        Some(Outcome::Uncertain)
    });
    let world = World::new(config(&models, 0), [("e", Engine::new(0, &["a"]))], script);
    let _harness = Harness::start(&world).await;
    until(&world, "the earlier load", |engine| {
        engine.executing == 0 && engine.sequence > 0
    })
    .await;
    let reports = world.look("e", |engine| engine.reports);
    until(&world, "reports after it", |engine| {
        engine.reports >= reports + 2
    })
    .await;
    assert!(!world.look("e", |engine| engine.overfull));
}

/// Asks for adapter `x` twice; before the first order an earlier leader's load of `y` takes the
/// only slot.
async fn adapter_after_an_earlier_one() {
    let models = [("a", 70.0), ("b", 70.0)];
    let script = at_first_order(move |engine, order| {
        let earlier = late(order, "a", Some("y"), engine.sequence);
        engine.execute(&earlier, &config(&models, 1));
        None
    });
    let engine = Engine::new(0, &["a", "b"]);
    let world = World::new(config(&models, 1), [("e", engine)], script);
    let harness = Harness::start(&world).await;
    let request = LoadAdapter {
        missed: false,
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

/// A request is rejected after the leader has said that its adapter is loaded.
async fn adapter_that_comes_late() {
    let models = [("a", 70.0)];
    let engines = [("e", Engine::new(0, &["a"]))];
    let world = World::new(config(&models, 1), engines, Box::new(|_, _| None));
    let harness = Harness::start(&world).await;
    until(&world, "a report", |engine| engine.reports > 0).await;
    let before = harness.metrics.text();
    assert!(!before.contains("adapter_wait_ms{"), "{before}");
    let ask = async |missed| {
        let request = LoadAdapter {
            missed,
            target: "e".into(),
            incarnation: 1,
            model: "a".into(),
            adapter: "x".into(),
        };
        harness.ask(Request::LoadAdapter(request)).await
    };
    wait::until("the adapter", || async {
        matches!(ask(false).await, Reply::Acknowledged).then_some(())
    })
    .await;
    assert_eq!(ask(true).await, Reply::Acknowledged);
    wait::until("the learned time", || async {
        let text = harness.metrics.text();
        text.contains("flamingo_control_adapter_wait_ms{of=\"slowest\",service=\"s\"} 18\n")
            .then_some(())
    })
    .await;
    let text = harness.metrics.text();
    assert!(
        text.contains("adapter_misses_total{service=\"s\"} 1"),
        "{text}"
    );
}

/// A move unloads `a` to load `b`. The engine restarts with `b` before the unload is answered, so
/// that its new incarnation needs no order.
async fn restart_within_a_move() {
    let models = [("a", 150.0), ("b", 70.0)];
    let script = at_first_order(|engine, _| {
        engine.restart(&["b"]);
        Some(Outcome::Uncertain)
    });
    let engines = [("e", Engine::new(0, &["a"])), ("f", Engine::new(0, &["a"]))];
    let world = World::new(config(&models, 0), engines, script);
    let _harness = Harness::start(&world).await;
    let restarted = || {
        let engines = world.engines.borrow();
        let restarted = engines.values().find(|engine| engine.incarnation > 1);
        restarted.map(|engine| (engine.reports, engine.orders.len()))
    };
    let orders = wait::until("reports after the restart", || {
        let seen = restarted().filter(|(reports, _)| *reports >= 3);
        async move { seen.map(|(_, orders)| orders) }
    })
    .await;
    assert_eq!(orders, 0);
}

/// A new leader gets the reports of 40 engines at once. It publishes the loads of all targets once
/// in each round.
async fn takeover_of_many_engines() {
    const ENGINES: usize = 40;
    let models = [("a", 70.0)];
    let engines = (0..ENGINES).map(|n| (n.to_string(), Engine::new(0, &["a"])));
    let world = World::new(config(&models, 0), engines, at_first_order(|_, _| None));
    let harness = Harness::start(&world).await;
    let mut pushes = harness.pushes();
    let (mut rounds, mut residencies, mut published) = (0, 0, BTreeSet::new());
    while published.len() < ENGINES {
        match pushes.recv().await.expect("a push").push() {
            Push::Loads(_) => rounds += 1,
            Push::Residency(residency) => {
                residencies += 1;
                published.extend(residency.iter().map(|residency| residency.target.clone()));
            }
            _ => {}
        }
    }
    assert!(
        residencies <= rounds + 1,
        "{residencies} in {rounds} rounds"
    );
}

/// The engine restarts under its name before it answers a load of `b`, and carries that load out
/// late, once the new incarnation has accepted as many orders as the load expects. Meanwhile the
/// other engine has restarted with `b` in place of `a`.
async fn late_load_of_an_earlier_incarnation() {
    let models = [("a", 70.0), ("b", 70.0), ("c", 70.0), ("d", 120.0)];
    let mut lost: Option<Order> = None;
    let script: Script = Box::new(move |engines, order| {
        let Some(late) = &lost else {
            lost = Some(order.clone());
            engines.get_mut("f")?.restart(&["b", "d"]);
            let engine = engines.get_mut(&order.target)?;
            engine.restart(&[]);
            engine.answer_after = RESTART_SEEN;
            return Some(Outcome::Uncertain);
        };
        let engine = engines.get_mut(&order.target)?;
        engine.answer_after = Duration::ZERO;
        let outcome = engine.execute(order, &config(&models, 0));
        if engine.sequence == late.expected_sequence {
            engine.execute(late, &config(&models, 0));
        }
        Some(outcome)
    });
    let engines = [
        ("e", Engine::new(2, &[])),
        ("f", Engine::new(0, &["a", "d"])),
    ];
    let world = World::new(config(&models, 0), engines, script);
    let _harness = Harness::start(&world).await;
    until(&world, "a load of the next incarnation", |engine| {
        engine.incarnation > 1 && engine.sequence > 0
    })
    .await;
    let reports = world.look("e", |engine| engine.reports);
    until(&world, "reports after it", |engine| {
        engine.reports >= reports + 3
    })
    .await;
    assert!(!world.look("e", |engine| engine.overfull));
}

/// Four entries each see another engine crash under prompts with one part; a fifth one subscribes
/// after that.
async fn crashes_that_several_entries_saw() {
    let world = World::new(
        config(&[], 0),
        [("e", Engine::new(0, &[]))],
        Box::new(|_, _| None),
    );
    let harness = Harness::start(&world).await;
    let mut pushes = harness.pushes();
    for number in 0..4 {
        let exposure = Exposure {
            parts: [7, 100 + number].into_iter().collect(),
            answered: false,
            waited_ms: 40,
            ..Exposure::default()
        };
        let crash = Crash {
            service: "s".into(),
            target: format!("e{number}"),
            incarnation: 1,
            age_ms: 10_000 - 1_000 * number,
            exposures: vec![exposure],
        };
        let evidence = Evidence {
            crashes: vec![crash],
            ..Evidence::default()
        };
        let usage = Usage {
            evidence,
            ..Usage::default()
        };
        let from = format!("entry-{number}");
        let reply = harness.ask_as(&from, Request::Usage(usage)).await;
        assert_eq!(reply, Reply::Acknowledged);
    }
    let quarantines = loop {
        if let Push::Quarantines(quarantines) = pushes.recv().await.expect("a push").push() {
            break quarantines.clone();
        }
    };
    assert_eq!(quarantines.len(), 1);
    assert_eq!(quarantines[0].part, 7);
    assert_eq!(harness.quarantines().len(), 1);
}

/// Six entries ask for permits for one engine at the same time.
async fn permits_of_several_entries() {
    let world = World::new(
        config(&[], 0),
        [("e", Engine::new(0, &[]))],
        Box::new(|_, _| None),
    );
    let harness = Harness::start(&world).await;
    let permit = |named| {
        Request::Permit(Permit {
            target: "e".into(),
            incarnation: 1,
            named,
        })
    };
    let until_leading = || async {
        let reply = harness.ask_as("entry-0", permit(Some(20.0))).await;
        (!matches!(reply, Reply::Refused(_))).then_some(())
    };
    wait::until("a leader", until_leading).await;
    let begun = Instant::now();
    let mut granted = 0;
    while begun.elapsed() < Duration::from_secs(1) {
        for number in 0..6 {
            // Only the first entry has heard the limit from the engine.
            let named = (number == 0).then_some(20.0);
            let reply = harness
                .ask_as(&format!("entry-{number}"), permit(named))
                .await;
            granted += u32::from(reply == Reply::Acknowledged);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let allowed = 20.0 * begun.elapsed().as_secs_f64() * 1.5 + 5.0;
    assert!((1.0..=allowed).contains(&f64::from(granted)), "{granted}");
}

/// Six entries ask for room at a target with three slots, and none of their requests ends.
async fn room_of_several_entries() {
    let engines = [("e", Engine::new(0, &[]))];
    let world = World::new(config(&[], 0), engines, Box::new(|_, _| None));
    let harness = Harness::start(&world).await;
    let room = || {
        Request::Room(Room {
            target: "e".into(),
            incarnation: 1,
            rejections_per_s: 0.0,
            slots: 3,
            running: 1,
        })
    };
    let until_room = || async {
        let reply = harness.ask_as("entry-0", room()).await;
        (reply == Reply::Acknowledged).then_some(())
    };
    wait::until("room", until_room).await;
    let begun = Instant::now();
    let mut granted = BTreeSet::from([0]);
    while begun.elapsed() < Duration::from_millis(500) {
        for number in 0..6 {
            if granted.contains(&number) {
                let load = Load {
                    target: "e".into(),
                    running: 1,
                    ..Load::default()
                };
                let usage = Usage {
                    loads: vec![load],
                    ..Usage::default()
                };
                let entry = format!("entry-{number}");
                harness.ask_as(&entry, Request::Usage(usage)).await;
            } else {
                let reply = harness.ask_as(&format!("entry-{number}"), room()).await;
                if reply == Reply::Acknowledged {
                    granted.insert(number);
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // A target that bears no rejection keeps one of its three slots free.
    assert_eq!(granted.len(), 2);
}

/// Two entries ask for requests of one workspace; a question of one comes again late.
async fn quotas_of_several_entries() {
    let engines = [("e", Engine::new(0, &[]))];
    let world = World::new(config(&[], 0), engines, Box::new(|_, _| None));
    let harness = Harness::start(&world).await;
    let question = |sequence, workspace: &str, requests| {
        let want = Want {
            units: 1.0,
            returning: false,
        };
        let usage = Use {
            workspace: workspace.into(),
            wants: vec![want; requests],
            ..Use::default()
        };
        Request::Quota(Question {
            incarnation: 1,
            sequence,
            uses: vec![usage],
            ..Question::default()
        })
    };
    let mut sequence = 0;
    let mut ask = async |entry: &str, requests| {
        sequence += 1;
        match harness
            .ask_as(entry, question(sequence, "w", requests))
            .await
        {
            Reply::Quota(answer) => Some(answer.grants[0].decisions.clone()),
            _ => None,
        }
    };
    while ask("entry-0", 0).await.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // More than the bucket ever holds.
    let first = ask("entry-0", 40).await.expect("a leader");
    assert!(matches!(first[39], Decision::Wait(1..)), "{first:?}");
    let second = ask("entry-1", 1).await.expect("a leader");
    assert!(matches!(second[0], Decision::Wait(1..)), "{second:?}");
    let late = harness.ask_as("entry-0", question(1, "w", 1)).await;
    assert!(matches!(late, Reply::Refused(_)), "{late:?}");
    let other = harness.ask_as("entry-2", question(1, "x", 1)).await;
    let Reply::Quota(answer) = other else {
        panic!("{other:?}");
    };
    assert!(answer.grants.is_empty());
    check_workspaces(harness.ask(Request::Admin(Query::Workspaces)).await);
}

/// Checks what operators are shown after 41 requests, of which the bucket held a few.
fn check_workspaces(reply: Reply) {
    let Reply::Admin(Answer::Workspaces(answer)) = reply else {
        panic!("{reply:?}");
    };
    let [shown] = answer.workspaces.as_slice() else {
        panic!("{answer:?}");
    };
    assert_eq!((answer.version, shown.workspace.as_str()), (1, "w"));
    assert_eq!((shown.per_s, shown.burst), (Some(20.0), 5.0));
    assert!(shown.over && shown.used < 41.0, "{shown:?}");
    let text = serde_json::to_string(&answer).expect("JSON");
    assert!(!text.contains("keys"), "{text}");
}

/// One engine has room for one of two models, and callers ask for the other one.
async fn asked_for_without_a_place() {
    let models = [("a", 150.0), ("b", 150.0)];
    let engines = [("e", Engine::new(0, &["a"]))];
    let world = World::new(config(&models, 0), engines, Box::new(|_, _| None));
    let harness = Harness::start(&world).await;
    let mut pushes = harness.pushes();
    let demand = Demand {
        service: "s".into(),
        model: "b".into(),
        work_ms: 20.0,
        requests: 1,
        refused: 1,
        returned: 0,
    };
    let usage = Usage {
        demand: vec![demand],
        ..Usage::default()
    };
    let announced = loop {
        harness.ask(Request::Usage(usage.clone())).await;
        if let Push::Residency(residencies) = pushes.recv().await.expect("a push").push() {
            let mut loading = residencies.iter().filter_map(|known| known.loading.clone());
            if let Some(loading) = loading.next() {
                break loading;
            }
        }
    };
    assert_eq!(announced.model, "b");
    assert!(announced.remaining_ms > 0, "{announced:?}");
    until(&world, "the model that is asked for", |engine| {
        engine.models.contains_key("b")
    })
    .await;
    assert!(!world.look("e", |engine| engine.overfull));
}

/// An entry reports a workspace that has no room beside one that asks for ten times as much.
async fn workspace_above_its_share() {
    let world = World::new(
        config(&[], 0),
        [("e", Engine::new(0, &[]))],
        Box::new(|_, _| None),
    );
    let harness = Harness::start(&world).await;
    let mut pushes = harness.pushes();
    let work = |workspace: &str, admitted, refused| share::Use {
        workspace: workspace.into(),
        rank: 1,
        service: "s".into(),
        admitted,
        refused,
        begun: admitted,
        ..share::Use::default()
    };
    let usage = Usage {
        shares: vec![work("a", 100, 10), work("b", 400, 600)],
        ..Usage::default()
    };
    let mut limits = Vec::new();
    while limits.is_empty() {
        harness.ask(Request::Usage(usage.clone())).await;
        if let Push::Shares(published) = pushes.recv().await.expect("a push").push() {
            limits.clone_from(published);
        }
    }
    assert_eq!((limits.len(), limits[0].workspace.as_str()), (1, "b"));
    assert_eq!(limits[0].permille, 390);
    while !limits.is_empty() {
        if let Push::Shares(published) = pushes.recv().await.expect("a push").push() {
            limits.clone_from(published);
        }
    }
}

/// Guards against entries that refuse for good by old routes: only the leader can tell them that theirs are the
/// newest.
async fn entries_ask_for_the_newest_routes() {
    let world = World::new(
        config(&[], 0),
        [("e", Engine::new(0, &[]))],
        Box::new(|_, _| None),
    );
    let harness = Harness::start(&world).await;
    let report = |asks_routes| Usage {
        asks_routes,
        ..Usage::default()
    };
    let reports = |asks| {
        let of = |asks_routes| ("entry".to_owned(), report(asks_routes));
        Request::Usages(vec![of(false), of(asks)])
    };
    for request in [Request::Usage(report(true)), reports(true)] {
        let reply = harness.ask(request).await;
        assert!(matches!(reply, Reply::NewestRoutes(newest) if newest.version > 0));
    }
    for request in [Request::Usage(report(false)), reports(false)] {
        assert_eq!(harness.ask(request).await, Reply::Acknowledged);
    }
    // Entries get no key of a caller.
    let Reply::Routes(Some(routes)) = harness.ask_log(Request::PushedRoutes).await else {
        panic!("the leader gives the routes");
    };
    assert!(routes.version > 0 && routes.text.is_empty());
}

cases! {
    the_leader_gives_those_who_ask_its_newest_routes_without_keys: entries_ask_for_the_newest_routes(),
    a_workspace_above_its_share_is_published_until_room_is_there: workspace_above_its_share(),
    a_model_that_is_asked_for_takes_the_place_of_an_idle_one: asked_for_without_a_place(),
    crashes_that_several_entries_saw_quarantine_a_part: crashes_that_several_entries_saw(),
    a_learned_load_time_is_shown: adapter_that_comes_late(),
    quotas_of_several_entries_come_from_one_bucket: quotas_of_several_entries(),
    permits_of_several_entries_come_from_one_count: permits_of_several_entries(),
    room_of_several_entries_comes_from_one_count: room_of_several_entries(),
    a_late_load_of_an_earlier_incarnation_has_room: late_load_of_an_earlier_incarnation(),
    a_retried_load_does_not_overfill_an_engine: retry_after_an_earlier_load(),
    a_load_is_not_sent_to_an_engine_that_executes_another: load_beside_an_earlier_one(),
    a_late_adapter_does_not_overfill_the_slots: adapter_after_an_earlier_one(),
    a_move_does_not_go_on_at_a_restarted_engine: restart_within_a_move(),
    a_takeover_does_not_publish_each_engine_by_itself: takeover_of_many_engines(),
}

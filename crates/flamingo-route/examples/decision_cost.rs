//! Measures the time of one routing decision against the number of targets.
//!
//! `cargo run --release -p flamingo-route --example decision_cost`

use flamingo_route::action::{Action, Input};
use flamingo_route::request::Prefix;
use flamingo_route::{Limit, Pool, Request, Router};
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load, Resident};
use flamingo_wire::event::Event;
use std::time::Instant;

/// Number of requests routed at each size.
const DECISIONS: u32 = 200_000;
/// Sizes to measure: number of targets, and number of models spread over them.
const FLEETS: [(usize, usize); 3] = [(10, 13), (87, 60), (1_300, 370)];
/// Number of models resident on each target.
const MODELS_PER_TARGET: usize = 2;

fn main() {
    println!("{:>8} {:>8} {:>12}", "targets", "models", "ns/request");
    for (targets, models) in FLEETS {
        let mut router = fleet(targets, models);
        let started = Instant::now();
        for number in 0..DECISIONS {
            let now = Instant::now();
            let model = number as usize % models;
            let actions = router.step(now, Input::Arrive(request(number, model)));
            let dispatch = actions.iter().find_map(|action| match action {
                Action::Dispatch(dispatch) => Some(dispatch.attempt),
                _ => None,
            });
            let attempt = dispatch.expect("every target has room");
            router.step(now, Input::Ended(attempt));
        }
        let nanos = started.elapsed().as_nanos() / u128::from(DECISIONS);
        println!("{targets:>8} {models:>8} {nanos:>12}");
    }
}

fn fleet(targets: usize, models: usize) -> Router {
    let mut router = Router::new("zone-a".into(), Limit::default(), 1);
    let now = Instant::now();
    for target in 0..targets {
        let first = target * MODELS_PER_TARGET;
        let resident = (first..first + MODELS_PER_TARGET).map(|number| Resident {
            model: format!("model-{}", number % models),
            version: 1,
            adapters: Vec::new(),
        });
        let announcement = Announcement {
            target: format!("engine-{target}"),
            incarnation: 1,
            sequence: 1,
            zone: "zone-a".into(),
            address: ([127, 0, 0, 1], 8_000).into(),
            availability: Availability::Serving,
            load: Load::default(),
            kind: Kind::Engine(Engine {
                memory: 80_000,
                fenced: true,
                resident: resident.collect(),
                loading: Vec::new(),
                ended: Vec::new(),
            }),
        };
        router.step(now, Input::Update(Event::Target(Box::new(announcement))));
    }
    router
}

fn request(number: u32, model: usize) -> Request {
    let prefixes = (0..4).map(|step| Prefix {
        hash: u64::from(number % 50) * 10 + step,
        tokens: 64 << step,
    });
    Request {
        id: format!("req-{number:032x}"),
        pool: Pool::Model(format!("model-{model}")),
        profile: None,
        prefixes: prefixes.collect(),
        fingerprint: 0,
        rank: None,
        idempotent: true,
    }
}

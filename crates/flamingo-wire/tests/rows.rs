//! Loads and demand are written as rows without field names, and read in both forms.

use flamingo_wire::control::Push;
use flamingo_wire::frame::Seal;
use flamingo_wire::share;
use flamingo_wire::target::{Backlog, Demand, Limit, Load, Resident, Usage};
use serde::Serialize;
use std::time::SystemTime;

/// A load as processes wrote it before: a map with field names.
#[derive(Serialize)]
struct NamedLoad {
    target: String,
    running: u32,
    reading: Backlog,
    adapters: Vec<Resident>,
}

#[derive(Serialize)]
struct NamedDemand {
    service: String,
    model: String,
    work_ms: f64,
    requests: u32,
    refused: u32,
}

#[derive(Serialize)]
struct NamedUsage {
    demand: Vec<NamedDemand>,
    loads: Vec<NamedLoad>,
}

fn load(target: &str) -> Load {
    Load {
        target: target.into(),
        running: 3,
        backlog: [0, 900, 0, 0],
        ..Load::default()
    }
}

fn demand() -> Demand {
    Demand {
        service: "chat".into(),
        model: "model-17".into(),
        work_ms: 812.5,
        requests: 4,
        refused: 1,
        returned: 0,
    }
}

fn named() -> NamedUsage {
    let load = load("engine-117");
    let demand = demand();
    NamedUsage {
        demand: vec![NamedDemand {
            service: demand.service,
            model: demand.model,
            work_ms: demand.work_ms,
            requests: demand.requests,
            refused: demand.refused,
        }],
        loads: vec![NamedLoad {
            target: load.target,
            running: load.running,
            reading: load.backlog,
            adapters: load.adapters,
        }],
    }
}

fn usage() -> Usage {
    Usage {
        demand: vec![demand()],
        loads: vec![load("engine-117")],
        ..Usage::default()
    }
}

/// Guards against reports that get lost while instances of two versions run side by side.
#[test]
fn records_with_field_names_are_still_read() {
    let now = SystemTime::now();
    let seal = Seal::new("a", b"secret");
    let frame = seal.seal("a", &named(), now).expect("a frame");
    assert_eq!(seal.open::<Usage>(&frame, now).expect("a usage"), usage());
}

/// Guards against fields that are read in another order than they are written.
#[test]
fn rows_are_read_as_they_were_written() {
    let now = SystemTime::now();
    let seal = Seal::new("a", b"secret");
    let mut loads = vec![load("engine-1"), load("engine-2")];
    loads[1].adapters.push(Resident {
        model: "m".into(),
        adapters: vec!["x".into()],
    });
    loads[1].limit = Some(Limit {
        incarnation: 7,
        per_s: 1.5,
    });
    let push = Push::Loads(loads);
    let frame = seal.seal("a", &push, now).expect("a frame");
    assert_eq!(seal.open::<Push>(&frame, now).expect("a push"), push);
    let frame = seal.seal("a", &usage(), now).expect("a frame");
    assert_eq!(seal.open::<Usage>(&frame, now).expect("a usage"), usage());
}

/// Guards against fields of the work of workspaces that are read in another order than they are written.
#[test]
fn shares_are_read_as_they_were_written() {
    let now = SystemTime::now();
    let seal = Seal::new("a", b"secret");
    let usage = Usage {
        shares: vec![share::Use {
            workspace: "w".into(),
            rank: 1,
            service: "s".into(),
            model: Some("m".into()),
            admitted: 2,
            refused: 3,
            pressed: 4,
            begun: 5,
        }],
        ..usage()
    };
    let frame = seal.seal("a", &usage, now).expect("a frame");
    assert_eq!(seal.open::<Usage>(&frame, now).expect("a usage"), usage);
    let push = Push::Shares(vec![share::Limit {
        workspace: "w".into(),
        rank: 1,
        service: "s".into(),
        model: None,
        permille: 417,
    }]);
    let frame = seal.seal("a", &push, now).expect("a frame");
    assert_eq!(seal.open::<Push>(&frame, now).expect("a push"), push);
}

/// Guards against field names that return to the messages that are sent most often.
#[test]
fn a_row_takes_less_than_half_of_a_record_with_field_names() {
    let now = SystemTime::now();
    let seal = Seal::new("a", b"secret");
    let row = seal.seal("a", &load("engine-117"), now).expect("a frame");
    let named = named().loads.pop().expect("a load");
    let named = seal.seal("a", &named, now).expect("a frame");
    let (row, named) = (row.body.len(), named.body.len());
    println!("row {row} B, with names {named} B");
    assert!(row * 2 < named, "{row} of {named} bytes");
}

//! Registrations of targets for tests.

use flamingo_wire::target::{Registration, Resident};

/// Returns the first registration of a target of the service `s` in the zone `z`, with the model
/// `m` and its adapter `x` resident.
///
/// # Panics
///
/// Never: the address is valid.
#[must_use]
pub fn registration(id: &str) -> Registration {
    Registration {
        id: id.into(),
        revision: 0,
        incarnation: 1,
        sequence: 1,
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".into(),
        software: "v1".into(),
        slots: 64,
        leaving: false,
        gone: false,
        models: vec![Resident {
            model: "m".into(),
            adapters: vec!["x".into()],
        }],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

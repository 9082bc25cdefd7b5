//! Loads of all entries, as the leader publishes them.

use flamingo_serve::table::Table;
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::target::Load;
use std::time::Instant;

/// Guards against entries that take a target for idle whose load has stayed the same.
#[test]
fn loads_that_are_not_repeated_stay_until_all_are_published() {
    let now = Instant::now();
    let mut table = Table::default();
    let registrations = vec![registration("a"), registration("b")];
    table.apply(now, &Push::Targets(registrations));
    let load = |target: &str, running| Load {
        target: target.into(),
        running,
        ..Load::default()
    };
    let others = |table: &Table| ["a", "b"].map(|id| table.get(id).expect("known").others.running);
    table.apply(now, &Push::Loads(vec![load("a", 3), load("b", 2)]));
    table.apply(now, &Push::LoadChanges(vec![load("b", 7), load("c", 1)]));
    assert_eq!(others(&table), [3, 7]);
    table.apply(now, &Push::Loads(vec![load("b", 1)]));
    assert_eq!(others(&table), [0, 1]);
}

/// Guards against a busy target that counts as idle because its load came before its registration.
#[test]
fn the_load_of_a_target_that_registers_later_is_kept() {
    let now = Instant::now();
    let mut table = Table::default();
    let load = Load {
        target: "a".into(),
        running: 3,
        ..Load::default()
    };
    table.apply(now, &Push::LoadChanges(vec![load]));
    table.apply(now, &Push::Targets(vec![registration("a")]));
    table.apply(now, &Push::LoadChanges(Vec::new()));
    assert_eq!(table.get("a").expect("known").others.running, 3);
}

//! Properties of membership under random faults, in virtual time.

mod sim;

use flamingo_member::digest;
use flamingo_test_support::seed;
use flamingo_wire::announce::Availability;
use flamingo_wire::event::Event;
use flamingo_wire::gossip::Liveness;
use quickcheck::{Arbitrary, Gen};
use sim::{Node, Sim};
use std::collections::BTreeMap;
use std::time::Duration;

/// One random fault or recovery.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Wake(usize),
    Cut(usize),
    Heal,
    Loss(u64),
    Leave(usize),
    Return(usize),
    NewIncarnation(usize),
    Config(usize),
    /// A control instance that lags behind delivers an old version.
    StaleConfig(usize),
    Pause(u64),
}

impl Arbitrary for Fault {
    fn arbitrary(source: &mut Gen) -> Self {
        let number = usize::arbitrary(source);
        match u8::arbitrary(source) % 18 {
            0 => Self::Kill(number),
            1 => Self::Restart(number),
            2 => Self::Freeze(number),
            3 => Self::Wake(number),
            4 => Self::Cut(number),
            5 => Self::Heal,
            6 => Self::Loss(u64::arbitrary(source) % 300),
            7 => Self::Leave(number),
            8 => Self::Config(number),
            9 => Self::Return(number),
            10 => Self::NewIncarnation(number),
            11 => Self::StaleConfig(number),
            _ => Self::Pause(u64::arbitrary(source) % 12_000),
        }
    }
}

const ENTRIES: usize = 8;
const TARGETS: usize = 6;
/// Time after the last fault by which all entries must agree again.
const RECOVERY_TIME: Duration = Duration::from_mins(1);

fn apply(sim: &mut Sim, fault: Fault, version: &mut u64) {
    match fault {
        Fault::Kill(n) => sim.kill(n % ENTRIES),
        Fault::Restart(n) => sim.restart(n % ENTRIES),
        Fault::Freeze(n) => sim.freeze(n % ENTRIES),
        Fault::Wake(n) => sim.wake(n % ENTRIES),
        Fault::Cut(n) => sim.partition[n % ENTRIES] = 1,
        Fault::Heal => sim.partition.fill(0),
        Fault::Loss(loss) => {
            sim.loss = loss;
            sim.duplication = loss;
        }
        Fault::Leave(n) => {
            sim.targets[n % TARGETS].announcement.availability = Availability::Leaving;
            sim.announce(n % TARGETS);
        }
        // Violates the protocol: a target that is leaving announces that it serves.
        Fault::Return(n) => {
            sim.targets[n % TARGETS].announcement.availability = Availability::Serving;
            sim.announce(n % TARGETS);
        }
        Fault::NewIncarnation(n) => {
            let announcement = &mut sim.targets[n % TARGETS].announcement;
            announcement.incarnation += 1;
            announcement.sequence = 0;
            announcement.availability = Availability::Serving;
            sim.announce(n % TARGETS);
        }
        Fault::Config(n) if is_running(sim, n) => {
            *version += 1;
            sim.config(n % ENTRIES, *version);
        }
        Fault::StaleConfig(n) if is_running(sim, n) => {
            sim.config(n % ENTRIES, version.saturating_sub(1));
        }
        Fault::Config(_) | Fault::StaleConfig(_) => {}
        Fault::Pause(millis) => sim.run(Duration::from_millis(millis)),
    }
}

fn is_running(sim: &Sim, n: usize) -> bool {
    let node = &sim.nodes[n % ENTRIES];
    node.up && !node.frozen
}

fn repair(sim: &mut Sim) {
    sim.partition.fill(0);
    sim.loss = 0;
    sim.duplication = 0;
    for n in 0..ENTRIES {
        sim.wake(n);
        if !sim.nodes[n].up {
            sim.restart(n);
        }
    }
}

fn world(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, &[ENTRIES]);
    for _ in 0..TARGETS {
        sim.target(0);
    }
    sim.run(Duration::from_secs(5));
    sim
}

/// Checks that no event of a node brings an older state back.
fn assert_monotonic(node: &Node) {
    let mut targets = BTreeMap::new();
    let mut version = 0;
    for (_, event) in &node.events {
        match event {
            Event::Config(snapshot) => {
                assert!(
                    snapshot.version > version,
                    "the configuration version decreased"
                );
                version = snapshot.version;
            }
            Event::Target(next) => {
                let last = targets.insert(next.target.clone(), next.clone());
                let Some(last) = last else { continue };
                assert!(next.supersedes(&last), "{last:?} then {next:?}");
                let serves_again = last.incarnation == next.incarnation
                    && last.availability == Availability::Leaving
                    && next.availability == Availability::Serving;
                assert!(!serves_again, "a leaving target serves again: {next:?}");
            }
            Event::Gone(_)
            | Event::Suspect(_)
            | Event::Entries(_)
            | Event::Quarantines(_)
            | Event::LeaderHeard => {}
        }
    }
}

#[test]
fn all_live_entries_agree_again_and_no_older_state_returns() {
    fn property(seed: u64, faults: Vec<Fault>) -> bool {
        let mut sim = world(seed);
        let mut version = 0;
        for fault in faults {
            apply(&mut sim, fault, &mut version);
        }
        repair(&mut sim);
        sim.run(RECOVERY_TIME);
        for node in &sim.nodes {
            assert_monotonic(node);
            let dead: Vec<_> = node.machine.members().dead().collect();
            assert!(dead.is_empty(), "a live entry is believed dead: {dead:?}");
            let sums = |node: &Node| {
                let digests = digest::all(node.machine.table(), sim.now);
                digests
                    .iter()
                    .map(|digest| digest.checksum)
                    .collect::<Vec<_>>()
            };
            assert_eq!(sums(node), sums(&sim.nodes[0]), "the tables differ");
        }
        assert!(sim.agreed(), "the entries differ");
        let versions: Vec<_> = sim
            .nodes
            .iter()
            .map(|node| node.machine.version())
            .collect();
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "{versions:?}"
        );
        true
    }
    seed::check(60, 24, property as fn(u64, Vec<Fault>) -> bool);
}

#[test]
fn an_answering_entry_is_not_declared_dead_under_loss() {
    fn property(seed: u64) -> bool {
        let mut sim = world(seed);
        sim.loss = 100;
        sim.duplication = 50;
        for _ in 0..30 {
            sim.run(Duration::from_secs(4));
            for node in sim.live() {
                let dead: Vec<_> = node.machine.members().dead().collect();
                assert!(dead.is_empty(), "{dead:?}");
            }
        }
        true
    }
    seed::check(40, 10, property as fn(u64) -> bool);
}

#[test]
fn a_leaving_target_is_known_everywhere_within_two_seconds_under_loss() {
    fn property(seed: u64, entries: u8) -> bool {
        let entries = 2 + usize::from(entries) % 26;
        let mut sim = Sim::new(seed, &[entries]);
        let target = sim.target(0);
        sim.run(Duration::from_secs(8));
        sim.loss = 200;
        sim.run(Duration::from_secs(2));
        sim.targets[target].announcement.availability = Availability::Leaving;
        sim.announce(target);
        // The target makes only this one announcement, so no later one can help.
        sim.targets[target].up = false;
        let took = sim.until(Duration::from_secs(2), |sim| {
            sim.known(target, Availability::Leaving)
        });
        assert!(took.is_some(), "not known to {entries} entries within 2 s");
        true
    }
    seed::check(150, 100, property as fn(u64, u8) -> bool);
}

fn liveness(node: &Node, of: usize) -> Option<Liveness> {
    let record = node.machine.members().get(&sim::name(of));
    record.map(|record| record.liveness)
}

/// Checks that the entry `n` considers no entry but the woken one dead, and, unless `n` is
/// the woken one, suspects none.
fn assert_no_false_suspicion(node: &Node, n: usize, woken: usize) {
    for other in (0..ENTRIES).filter(|other| *other != woken) {
        let liveness = liveness(node, other);
        assert_ne!(liveness, Some(Liveness::Dead), "entry-{n} of entry-{other}");
        let suspected_elsewhere = n != woken && liveness == Some(Liveness::Suspect);
        assert!(!suspected_elsewhere, "entry-{n} suspects entry-{other}");
    }
}

#[test]
fn a_frozen_entry_that_wakes_does_no_harm() {
    fn property(seed: u64, entry: usize, millis: u32) -> bool {
        let entry = entry % ENTRIES;
        let other = (entry + 1) % ENTRIES;
        let mut sim = world(seed);
        // At the freeze, the entry suspects another entry and a target, which both recover
        // during the freeze.
        sim.targets[0].up = false;
        sim.run(Duration::from_secs(9));
        sim.partition[other] = 1;
        let suspected = |sim: &Sim| liveness(&sim.nodes[entry], other) == Some(Liveness::Suspect);
        sim.until(Duration::from_secs(20), suspected)
            .expect("a suspicion");
        sim.freeze(entry);
        sim.partition.fill(0);
        sim.targets[0].up = true;
        sim.run(Duration::from_millis(15_000 + u64::from(millis % 60_000)));
        sim.wake(entry);
        for _ in 0..100 {
            sim.run(Duration::from_millis(100));
            for (n, node) in sim.nodes.iter().enumerate() {
                assert_no_false_suspicion(node, n, entry);
            }
            let mut events = sim.nodes[entry].events.iter();
            let gone = events.find(|(_, event)| matches!(event, Event::Gone(_)));
            assert!(gone.is_none(), "a lease ended during the freeze: {gone:?}");
        }
        assert!(sim.agreed(), "the woken entry did not refute");
        true
    }
    seed::check(60, 100, property as fn(u64, usize, u32) -> bool);
}

#[test]
fn a_restarted_entry_never_serves_under_less_than_its_zone_knows() {
    fn property(seed: u64, control: bool) -> bool {
        let mut sim = Sim::new(seed, &[4]);
        sim.run(Duration::from_secs(5));
        sim.config(0, 1);
        sim.run(Duration::from_secs(5));
        sim.partition[1] = 1;
        sim.config(0, 2);
        sim.run(Duration::from_secs(3));
        assert_eq!(sim.nodes[2].machine.version(), 2, "it had 2 in force");
        sim.kill(2);
        sim.partition.fill(0);
        sim.restart(2);
        if control {
            // The first to deliver is a control instance that lags behind.
            sim.config(2, 1);
        }
        sim.run(Duration::from_secs(10));
        let mut events = sim.nodes[2].events.iter();
        let first = events.find_map(|(_, event)| match event {
            Event::Config(snapshot) => Some(snapshot.version),
            _ => None,
        });
        assert_eq!(first, Some(2), "an older configuration was in force");
        true
    }
    seed::check(100, 100, property as fn(u64, bool) -> bool);
}

#[test]
fn bytes_stay_below_the_bound_at_the_design_size() {
    // The largest zone of the design: 400 entries over 15 zones are 27 in a zone, and 1,300
    // targets are 87.
    let mut sim = Sim::new(seed::seed(), &[27]);
    for _ in 0..87 {
        sim.target(0);
    }
    sim.run(Duration::from_secs(30));
    let before: Vec<_> = sim.nodes.iter().map(|node| node.sent).collect();
    sim.run(Duration::from_mins(1));
    for (node, before) in sim.nodes.iter().zip(before) {
        let rate = (node.sent - before) / 60;
        assert!(rate < 3_000, "{rate} bytes a second sent by one entry");
        let silent = node
            .events
            .iter()
            .filter(|(_, event)| matches!(event, Event::Suspect(_)));
        assert_eq!(
            silent.count(),
            0,
            "a target that announces itself was suspected"
        );
    }
}

#[test]
fn bytes_stay_bounded_where_loads_lag() {
    // With twice the targets of the design size, load updates lag, and nothing else does.
    let mut sim = Sim::new(seed::seed(), &[27]);
    for _ in 0..174 {
        sim.target(0);
    }
    sim.run(Duration::from_secs(30));
    let before: Vec<_> = sim.nodes.iter().map(|node| node.sent).collect();
    sim.run(Duration::from_secs(30));
    for (node, before) in sim.nodes.iter().zip(before) {
        let rate = (node.sent - before) / 30;
        assert!(rate < 3_000, "{rate} bytes a second sent by one entry");
    }
}

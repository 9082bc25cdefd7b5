//! What a control instance relays of the pushes of the others, and what a new follower gets.

use flamingo_control::registry::{Broadcast, Registry};
use flamingo_test_support::registration::registration;
use flamingo_wire::control::{Peers, Push, Relayed};
use flamingo_wire::target::{Load, Loading, Registration, Residency, Resident};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::broadcast::Receiver;

const SECOND: Duration = Duration::from_secs(1);

fn control(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn heartbeat(id: &str, sequence: u64) -> Registration {
    Registration {
        sequence,
        ..registration(id)
    }
}

fn residency(target: &str, model: &str, executing: bool) -> Residency {
    let known = registration(target);
    Residency {
        target: target.into(),
        incarnation: known.incarnation,
        models: vec![Resident {
            model: model.into(),
            ..Resident::default()
        }],
        executing,
        loading: None,
    }
}

/// Returns what was relayed, with its origin.
fn relayed(pushes: &mut Receiver<Arc<Broadcast>>) -> Vec<(SocketAddr, Push)> {
    let mut relayed = Vec::new();
    while let Ok(broadcast) = pushes.try_recv() {
        if let Push::Relayed(Relayed { origin, push }) = broadcast.push() {
            relayed.push((*origin, Push::clone(push)));
        }
    }
    relayed
}

/// Guards against followers of a relay that miss what the instance of the target said.
#[test]
fn pushes_are_relayed_with_their_origin() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (_, mut pushes) = registry.subscribe();
    let sent = [
        Push::Targets(vec![heartbeat("t", 1)]),
        Push::Unchanged(vec!["t".into()]),
        Push::Loads(vec![Load::default()]),
        Push::LoadChanges(vec![Load::default()]),
        Push::Shares(Vec::new()),
        Push::Residency(vec![residency("t", "m", false)]),
        Push::Quarantines(Vec::new()),
        Push::Peers(Peers {
            leader: Some(control(1)),
            ..Peers::default()
        }),
    ];
    for push in &sent {
        registry.receive(now, control(1), push.clone());
    }
    let expected: Vec<_> = sent.into_iter().map(|push| (control(1), push)).collect();
    assert_eq!(relayed(&mut pushes), expected);
}

/// Guards against pushes that go round between relays, and counts of instances that do not lead.
#[test]
fn relayed_pushes_and_lists_of_others_than_the_leader_are_not_relayed() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (_, mut pushes) = registry.subscribe();
    let push = Box::new(Push::Loads(Vec::new()));
    let origin = control(2);
    registry.receive(now, control(1), Push::Relayed(Relayed { origin, push }));
    let peers = Peers {
        leader: Some(control(2)),
        ..Peers::default()
    };
    registry.receive(now, control(1), Push::Peers(peers));
    assert!(relayed(&mut pushes).is_empty());
}

/// Guards against departures that are lost while the relay's own stream is being reopened, and against
/// relaying the whole registry to all followers then.
#[test]
fn of_a_whole_registry_only_the_differences_are_relayed() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let both = vec![heartbeat("gone", 1), heartbeat("stays", 1)];
    registry.receive(now, control(1), Push::Targets(both));
    registry.disconnect(now, control(1));
    let (_, mut pushes) = registry.subscribe();
    let gone = Registration {
        gone: true,
        ..heartbeat("gone", 2)
    };
    let all = vec![gone.clone(), heartbeat("stays", 2)];
    registry.receive(now, control(1), Push::Targets(all));
    let expected = [
        (control(1), Push::Targets(vec![gone])),
        (control(1), Push::Unchanged(vec!["stays".into()])),
    ];
    assert_eq!(relayed(&mut pushes), expected);
}

/// Guards against a relay that seems to serve although it hears nobody.
#[test]
fn an_instance_is_reached_from_its_state_to_its_silence() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let reached = |registry: &Registry, now| {
        let mut state = registry.state_after_targets(true, now);
        state.pop().expect("the last push of the state")
    };
    registry.receive(now, control(1), Push::Heartbeat(0));
    assert_eq!(reached(&registry, now), Push::Reached(vec![]));
    registry.receive(now, control(1), Push::Targets(Vec::new()));
    registry.receive(now, control(2), Push::Targets(Vec::new()));
    let both = Push::Reached(vec![control(1), control(2)]);
    assert_eq!(reached(&registry, now), both);
    registry.receive(now + SECOND / 2, control(2), Push::Heartbeat(0));
    let (_, mut pushes) = registry.subscribe();
    registry.publish_reached(now + SECOND);
    let second = Push::Reached(vec![control(2)]);
    assert_eq!(pushes.try_recv().expect("a change").push(), &second);
    registry.disconnect(now + SECOND, control(2));
    assert_eq!(reached(&registry, now + SECOND), Push::Reached(vec![]));
}

/// Guards against an entry that sends requests to a model that is being unloaded, because it
/// subscribed after the leader had said so.
#[test]
fn a_late_follower_gets_the_last_residency_of_each_target() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let targets = ["loads", "restarts", "changes"].map(|id| heartbeat(id, 1));
    registry.receive(now, control(1), Push::Targets(targets.to_vec()));
    let mut loads = residency("loads", "m", true);
    loads.loading = Some(Loading {
        model: "n".into(),
        remaining_ms: 1_500,
    });
    let others = ["restarts", "changes"].map(|id| residency(id, "m", false));
    let all = [vec![loads.clone()], others.to_vec()].concat();
    registry.receive(now, control(1), Push::Residency(all));
    let mut restarted = heartbeat("restarts", 1);
    restarted.incarnation += 1;
    let mut changed = heartbeat("changes", 2);
    changed.models.push(Resident::default());
    registry.receive(now, control(1), Push::Targets(vec![changed, restarted]));
    let state = registry.state_after_targets(true, now + SECOND);
    loads.loading.as_mut().expect("a load").remaining_ms = 500;
    assert_eq!(state[0], Push::Residency(vec![loads]));
    // A control instance gets it from the leader alone: an earlier leader may know older ones.
    registry.publish_residency(now, vec![residency("loads", "n", false)]);
    assert!(registry.state_after_targets(false, now).is_empty());
    registry.publish_peers(now, Peers::default(), true);
    assert_eq!(registry.state_after_targets(false, now).len(), 1);
    assert!(registry.state_after_targets(false, now + SECOND).is_empty());
}

/// Guards against a new follower that takes busy targets for idle ones until all loads are published.
#[test]
fn a_new_follower_gets_the_loads_with_their_changes() {
    let now = Instant::now();
    let load = |target: &str, running| Load {
        target: target.into(),
        running,
        ..Load::default()
    };
    let mut registry = Registry::default();
    let all = Push::Loads(vec![load("a", 1), load("b", 1)]);
    registry.receive(now, control(1), all);
    let changes = Push::LoadChanges(vec![load("b", 5)]);
    registry.receive(now, control(1), changes);
    let outdated = Push::LoadChanges(vec![load("a", 9)]);
    registry.receive(now, control(2), outdated);
    let expected = Push::Relayed(Relayed {
        origin: control(1),
        push: Box::new(Push::Loads(vec![load("a", 1), load("b", 5)])),
    });
    assert!(registry.state_after_targets(true, now).contains(&expected));
    let later = registry.state_after_targets(true, now + 2 * SECOND);
    assert!(!later.contains(&expected));
}

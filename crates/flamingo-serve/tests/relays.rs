//! An entry that hears most control instances through a relay keeps the rules that rest on which
//! instance said what.

use flamingo_link::subscription::PushHandler;
use flamingo_serve::topology::Topology;
use flamingo_wire::control::{Peers, Push, Relayed};
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ENTRIES: u32 = 134;

fn control(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

const RELAY: u8 = 1;
const LEADER: u8 = 2;
const OTHER: u8 = 3;

/// Returns a list of the processes as an instance sends it that counts so many entries.
fn peers(entries: u32) -> Push {
    Push::Peers(Peers {
        controls: [RELAY, LEADER, OTHER].map(control).to_vec(),
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        entries,
        routes: 0,
        leader: Some(control(LEADER)),
        neighbours: None,
    })
}

fn relayed(origin: u8, push: Push) -> Push {
    let push = Box::new(push);
    let origin = control(origin);
    Push::Relayed(Relayed { origin, push })
}

/// Returns an entry that follows the relay, which reaches the others.
fn topology() -> Topology {
    let topology = Topology::new(Logger::root(Discard, o!()));
    topology.on_push(control(RELAY), peers(3));
    let reached = Push::Reached(vec![control(LEADER), control(OTHER)]);
    topology.on_push(control(RELAY), reached);
    topology
}

fn count(topology: &Topology) -> Option<usize> {
    let last = topology.peers.borrow().sharers.last(Instant::now());
    last.map(|(entries, _)| entries)
}

/// Guards against a part of the retry budget that is too large: the relay counts only its followers,
/// and a count that is only heard may not contain this entry.
#[test]
fn the_retry_budget_needs_a_count_and_an_acknowledgement_of_the_leader() {
    let topology = topology();
    topology.on_push(control(RELAY), relayed(LEADER, peers(ENTRIES)));
    assert_eq!(count(&topology), None);
    let now = Instant::now();
    let old = now.checked_sub(Duration::from_secs(3)).expect("a time");
    let acknowledge = |control, sent_at| {
        let mut peers = topology.peers.borrow_mut();
        peers.record_acknowledged(control, sent_at);
    };
    acknowledge(control(OTHER), now);
    topology.on_push(control(RELAY), relayed(LEADER, peers(ENTRIES)));
    assert_eq!(count(&topology), None);
    acknowledge(control(LEADER), old);
    topology.on_push(control(RELAY), relayed(LEADER, peers(ENTRIES)));
    assert_eq!(count(&topology), None);
    acknowledge(control(LEADER), now);
    topology.on_push(control(RELAY), relayed(LEADER, peers(ENTRIES)));
    assert_eq!(count(&topology), Some(ENTRIES as usize));
    topology.on_push(control(RELAY), peers(3));
    assert_eq!(count(&topology), Some(ENTRIES as usize));
    assert_eq!(topology.peers.borrow().entries(), Some(ENTRIES as usize));
}

/// Guards against streams whose origin only one zone knows.
#[test]
fn instances_that_the_relay_reaches_are_asked_and_keep_origins() {
    let topology = topology();
    let all = [RELAY, LEADER, OTHER].map(control);
    assert_eq!(topology.peers.borrow().connected(), all);
    assert!(topology.peers.borrow().are_all(all.len()));
    topology.on_push(control(RELAY), Push::Reached(vec![control(LEADER)]));
    let rest = [RELAY, LEADER].map(control);
    assert_eq!(topology.peers.borrow().connected(), rest);
}

/// Guards against an entry that waits for a leader that the relay has lost.
#[test]
fn a_leader_that_the_relay_does_not_reach_any_more_is_forgotten() {
    let topology = topology();
    assert_eq!(topology.peers.borrow().leader, Some(control(LEADER)));
    topology.on_push(control(RELAY), Push::Reached(vec![control(OTHER)]));
    assert_eq!(topology.peers.borrow().leader, None);
}

/// Guards against a gap at each change of relays: what the last one reached holds until the next one
/// says what it reaches.
#[test]
fn a_change_of_relays_forgets_nothing_that_the_next_one_reaches() {
    let topology = topology();
    topology.on_push(control(OTHER), peers(4));
    topology.on_disconnect(control(RELAY));
    assert_eq!(topology.peers.borrow().leader, Some(control(LEADER)));
    topology.on_push(control(OTHER), Push::Reached(vec![control(LEADER)]));
    let left = [LEADER, OTHER].map(control);
    assert_eq!(topology.peers.borrow().connected(), left);
    assert_eq!(topology.peers.borrow().leader, Some(control(LEADER)));
    topology.on_close(control(OTHER));
    topology.on_push(
        control(RELAY),
        Push::Reached(vec![control(LEADER), control(OTHER)]),
    );
    assert_eq!(topology.peers.borrow().connected().len(), 3);
    topology.on_disconnect(control(RELAY));
    assert_eq!(topology.peers.borrow().leader, None);
}

/// Guards against a question that counts as answered by all since an instance without a list names none.
#[test]
fn a_control_instance_that_knows_no_others_does_not_change_how_many_there_are() {
    let topology = topology();
    let unlisted = Push::Peers(Peers::default());
    topology.on_push(control(OTHER), unlisted);
    let peers = topology.peers.borrow();
    assert!(!peers.are_all(0) && !peers.are_all(2));
    assert!(peers.are_all(3));
}

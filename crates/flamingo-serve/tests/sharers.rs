//! An entry spends a part of the slack only while it can prove that all sharers are counted.

use flamingo_link::subscription::PushHandler;
use flamingo_serve::sharers::{COUNT_TIMEOUT, Sharers};
use flamingo_serve::topology::Topology;
use flamingo_wire::control::{Peers, Push};
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);

/// Returns sharers that heard these counts, one a second, and the time of the last.
fn hear(counts: &[usize]) -> (Sharers, Instant) {
    let mut sharers = Sharers::new(WINDOW);
    let mut now = Instant::now();
    for entries in counts {
        now += SECOND;
        sharers.record(*entries, now);
    }
    (sharers, now)
}

#[test]
fn an_entry_that_has_just_started_has_no_part_of_the_slack() {
    let (sharers, now) = hear(&[3; 11]);
    assert_eq!(sharers.count(now), None);
    let (sharers, now) = hear(&[3; 20]);
    assert_eq!(sharers.count(now), Some(3));
}

#[test]
fn an_entry_that_is_cut_off_loses_its_part_of_the_slack() {
    let (sharers, now) = hear(&[3; 20]);
    assert_eq!(sharers.count(now + COUNT_TIMEOUT), Some(3));
    assert_eq!(sharers.count(now + COUNT_TIMEOUT + SECOND), None);
}

#[test]
fn a_smaller_count_holds_only_once_the_larger_one_is_a_window_old() {
    let (sharers, now) = hear(&[&[3; 20][..], &[62], &[3; 13]].concat());
    assert_eq!(sharers.count(now), Some(62));
    let (sharers, now) = hear(&[&[3; 20][..], &[62], &[3; 15]].concat());
    assert_eq!(sharers.count(now), Some(3));
}

#[test]
fn an_entry_that_was_away_for_a_window_must_prove_its_part_again() {
    let (mut sharers, now) = hear(&[3; 20]);
    let back = now + WINDOW / 2;
    sharers.record(3, back);
    assert_eq!(sharers.count(back), Some(3));
    let back = back + WINDOW + SECOND;
    sharers.record(3, back);
    assert_eq!(sharers.count(back), None);
}

#[test]
fn only_the_leader_counts_the_sharers() {
    let topology = Topology::new(Logger::root(Discard, o!()));
    let leader: SocketAddr = "10.0.0.1:1".parse().expect("an address");
    let other: SocketAddr = "10.0.0.2:1".parse().expect("an address");
    let peers = |entries| {
        Push::Peers(Peers {
            entries,
            leader: Some(leader),
            ..Peers::default()
        })
    };
    topology.on_push(other, peers(9));
    let last = || topology.peers.borrow().sharers.last(Instant::now());
    assert_eq!(last(), None);
    topology.on_push(leader, peers(3));
    assert_eq!(last().map(|(entries, _)| entries), Some(3));
}

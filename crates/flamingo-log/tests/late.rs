//! Replies that arrive after the leadership that they belong to. Heartbeat numbers restart
//! with each leadership, so such a reply could extend the lease of a leader that no
//! majority answers.

use flamingo_log::message::{Body, Message};
use flamingo_log::{Raft, entry};
use flamingo_test_support::group::Group;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(20);
/// Longer than the lease for reads (800 ms) and shorter than the election timeout (1 s).
const ISOLATION: Duration = Duration::from_millis(850);
/// Upper bound for the number of heartbeats that the leader has sent.
const ROUNDS: u64 = 200;

fn answer(raft: &Raft, from: &entry::Member, term: u64, round: u64) -> Message {
    Message {
        from: from.node.clone(),
        from_storage: from.storage,
        to: raft.leader().cloned().unwrap(),
        to_storage: raft.storage(),
        cluster: raft.cluster(),
        term,
        body: Body::Installed {
            round,
            index: 0,
            offset: 0,
            done: false,
        },
    }
}

#[test]
fn an_answer_of_an_earlier_term_does_not_stretch_the_lease() {
    let mut group = Group::new(3, 7);
    assert!(group.until(LIMIT, |group| group.leader().is_some()));
    let leader = group.leader().unwrap();
    group.advance(Duration::from_secs(2));
    group.isolate(leader);
    group.advance(ISOLATION);
    let raft = group.nodes[leader].raft.as_ref().unwrap();
    assert!(raft.is_leader(group.now) && !raft.has_read_lease(group.now));
    let name = &group.nodes[leader].name;
    let peers: Vec<_> = raft
        .members()
        .iter()
        .filter(|peer| &peer.node != name)
        .cloned()
        .collect();
    let late = raft.term() - 1;
    let mut messages = Vec::new();
    for peer in &peers {
        messages.extend((0..ROUNDS).map(|round| answer(raft, peer, late, round)));
    }
    for message in messages {
        group.with_raft(leader, |raft, now| raft.receive(now, message));
    }
    let raft = group.nodes[leader].raft.as_ref().unwrap();
    assert!(
        !raft.has_read_lease(group.now),
        "a reply of an earlier term extended the lease"
    );
}

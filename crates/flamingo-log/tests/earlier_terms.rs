//! A leader commits entries of earlier terms only together with an entry of its own term
//! (Raft, Ongaro and Ousterhout 2014, section 5.4.2). Otherwise a later leader could
//! overwrite an entry that a majority has and that was reported as committed.

use flamingo_log::disk::Stored;
use flamingo_log::message::{Body, LogMatch, Message};
use flamingo_log::raft::{MembershipPolicy, Options, Seed};
use flamingo_log::{Action, Entry, Member, Payload, Raft, Role, Snapshot, Timing, Vote};
use flamingo_test_support::group::name;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

const CLUSTER: u64 = 9;

fn address(n: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(n).unwrap()))
}

fn member(n: u64) -> Member {
    Member {
        node: format!("control-{n}"),
        address: address(n),
        storage: n + 1,
        votes: true,
        replaces: None,
    }
}

/// Creates one of three members, with one entry of term 1 and one of term 2.
fn raft(now: Instant) -> Raft {
    let entry = |index| Entry {
        index,
        term: index,
        payload: Payload::Empty,
    };
    let snapshot = Snapshot {
        cluster: CLUSTER,
        members: (0..3).map(member).collect(),
        ..Snapshot::default()
    };
    let stored = Stored {
        storage: 1,
        vote: Vote {
            term: 2,
            node: None,
        },
        snapshot: Arc::new(snapshot),
        entries: vec![entry(1), entry(2)],
        torn_bytes: 0,
        commit: 0,
    };
    let seeds = (0..3).map(|n| Seed {
        node: member(n).node,
        address: address(n),
    });
    let options = Options {
        node: name(0),
        address: address(0),
        seeds: seeds.collect(),
        timing: Timing::default(),
        membership: MembershipPolicy::default(),
        seed: 1,
        stored,
    };
    Raft::new(options, now)
}

fn receive(raft: &mut Raft, now: Instant, body: Body) {
    let message = Message {
        from: name(1),
        from_storage: 2,
        to: name(0),
        to_storage: 1,
        cluster: CLUSTER,
        term: 3,
        body,
    };
    raft.receive(now, message);
}

/// Reports all writes as synced.
fn sync(raft: &mut Raft, now: Instant, written: &mut u64) {
    let actions = raft.take_actions();
    let writes = actions
        .iter()
        .filter(|action| matches!(action, Action::Write(_)));
    *written += writes.count() as u64;
    raft.synced(now, *written);
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_copies() {
    let start = Instant::now();
    let now = start + Timing::default().election * 2;
    let mut raft = raft(start);
    let mut written = 0;
    raft.tick(now);
    for pre in [true, false] {
        sync(&mut raft, now, &mut written);
        receive(&mut raft, now, Body::VoteReply { pre, granted: true });
    }
    sync(&mut raft, now, &mut written);
    assert_eq!(
        (raft.role(), raft.term(), raft.last_index()),
        (Role::Leader, 3, 3)
    );
    let log_match = |index| Body::appended(1, LogMatch::Matched(index));
    receive(&mut raft, now, log_match(2));
    assert_eq!(
        raft.commit_index(),
        0,
        "two of three hold entry 2, which is of term 2"
    );
    receive(&mut raft, now, log_match(3));
    assert_eq!(raft.commit_index(), 3);
}

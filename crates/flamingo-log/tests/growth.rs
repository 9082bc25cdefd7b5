//! The automatic membership policy: a group forms from a few seeds, adds instances that ask
//! to join, and removes unresponsive voters.

use flamingo_test_support::group::{Group, name};
use std::time::Duration;

/// Time within which each step must take effect.
const LIMIT: Duration = Duration::from_secs(30);

fn votes(group: &Group, n: usize) -> bool {
    let voters = group.voters();
    voters.iter().any(|voter| voter.node == name(n))
}

/// Starts a group in which every member knows the same three seeds, and waits until all
/// vote.
fn grown(count: usize, seed: u64) -> Group {
    let mut group = Group::open(count, 3, 3, seed);
    let all = |group: &Group| (0..count).all(|n| votes(group, n));
    assert!(group.until(LIMIT, all), "{:?}", group.voters());
    group
}

macro_rules! cases {
    ($($name:ident: $seed:expr => $body:expr;)*) => {
        $(#[test]
        fn $name() {
            let body: fn(u64) = $body;
            body($seed);
        })*
    };
}

cases! {
    members_that_are_no_seeds_join: 1 => |seed| {
        grown(6, seed);
    };
    a_gone_voter_is_voted_out_once_enough_others_vote: 2 => |seed| {
        let mut group = grown(4, seed);
        let gone = (group.leader().expect("a leader") + 1) % 4;
        group.crash(gone);
        assert!(group.until(LIMIT, |group| !votes(group, gone)));
        assert_eq!(group.voters().len(), 3);
    };
    no_voter_is_voted_out_of_the_fewest: 3 => |seed| {
        let mut group = grown(3, seed);
        let gone = (group.leader().expect("a leader") + 1) % 3;
        group.crash(gone);
        group.advance(LIMIT);
        assert!(votes(&group, gone));
    };
    a_voter_that_comes_back_is_let_in_again: 4 => |seed| {
        let mut group = grown(4, seed);
        let gone = (group.leader().expect("a leader") + 1) % 4;
        group.crash(gone);
        assert!(group.until(LIMIT, |group| !votes(group, gone)));
        group.start(gone);
        assert!(group.until(LIMIT, |group| votes(group, gone)));
    };
    what_was_committed_outlives_two_replacements: 5 => |seed| {
        let mut group = grown(5, seed);
        let leader = group.leader().expect("a leader");
        group.propose(leader, b"kept").expect("taken");
        for _ in 0..2 {
            let leader = group.leader().expect("a leader");
            group.crash(leader);
            assert!(group.until(LIMIT, |group| group.leader().is_some()));
            assert!(group.until(LIMIT, |group| !votes(group, leader)));
        }
        let leader = group.leader().expect("a leader");
        let applied = &group.nodes[leader].applied;
        assert!(applied.iter().any(|applied| applied.bytes == b"kept"));
    };
    what_was_known_to_be_committed_is_applied_before_a_leader_is_heard: 6 => |seed| {
        let mut group = grown(3, seed);
        let leader = group.leader().expect("a leader");
        group.propose(leader, b"kept").expect("taken");
        group.advance(Duration::from_secs(2));
        for n in 0..3 {
            group.crash(n);
        }
        let n = (leader + 1) % 3;
        group.start(n);
        group.advance(Duration::from_millis(200));
        assert!(group.nodes[n].applied.iter().any(|applied| applied.bytes == b"kept"));
    };
}

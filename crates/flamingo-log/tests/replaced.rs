//! Members that are replaced by new ones, or lose their disk, one after the other and within what
//! the group tolerates.

use flamingo_test_support::group::{Group, name};
use std::time::Duration;

/// Members of the group, of which two may be lost at a time.
const MEMBERS: usize = 5;
/// Members that the settings of each member name.
const SEEDS: usize = 3;
/// Time after the start of a new member, or of one that lost its disk, in which it must be a voter and the
/// one that it replaces none.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Time in which the group must have a leader once all members are back.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time for the formation of the group.
const FORMATION: Duration = Duration::from_secs(30);
/// Time from the loss of a member to the start of its successor.
const REPLACEMENT: Duration = Duration::from_secs(1);
/// Time from the end of a killed process to its start.
const RESTART: Duration = Duration::from_millis(500);

fn votes(group: &Group, n: usize) -> bool {
    let voters = group.voters();
    let running = group.nodes[n].raft.as_ref();
    let storage = running.map(flamingo_log::Raft::storage);
    voters
        .iter()
        .any(|voter| voter.node == name(n) && Some(voter.storage) == storage)
}

/// Returns whether a member counts as a voter, whether or not it runs.
fn lists(group: &Group, n: usize) -> bool {
    let voters = group.voters();
    voters.iter().any(|voter| voter.node == name(n))
}

fn formed(seed: u64) -> Group {
    let mut group = Group::open(MEMBERS, SEEDS, MEMBERS, seed);
    let all = |group: &Group| (0..MEMBERS).all(|n| votes(group, n));
    assert!(group.until(FORMATION, all), "{:?}", group.voters());
    group.advance(Duration::from_secs(1));
    group
}

fn live(group: &Group) -> Vec<usize> {
    let numbers = 0..group.nodes.len();
    numbers.filter(|n| group.nodes[*n].raft.is_some()).collect()
}

/// Returns live members other than the leader, as many as settings name.
fn seeds_that_do_not_lead(group: &Group) -> Vec<usize> {
    let leader = group.leader().expect("a leader");
    let others = live(group).into_iter().filter(|n| *n != leader);
    others.take(SEEDS).collect()
}

/// Returns the seeds that an operator's list names: live members, drawn.
fn drawn_seeds(group: &mut Group) -> Vec<usize> {
    let mut seeds = live(group);
    while seeds.len() > SEEDS {
        let drawn = draw(group, seeds.len());
        seeds.remove(drawn);
    }
    seeds
}

fn draw(group: &mut Group, count: usize) -> usize {
    usize::try_from(group.random()).expect("64 bits") % count
}

/// Loses `count` members for good, which do not include the leader, and starts as many new ones.
fn replace_followers(group: &mut Group, count: usize) {
    let leader = group.leader();
    let followers = live(group).into_iter().filter(|n| Some(*n) != leader);
    for n in followers.take(count).collect::<Vec<_>>() {
        group.crash(n);
    }
    group.advance(REPLACEMENT);
    for _ in 0..count {
        let seeds = drawn_seeds(group);
        group.join(&seeds);
    }
}

fn restart_leader(group: &mut Group) {
    let Some(leader) = group.leader() else {
        return;
    };
    group.crash(leader);
    group.advance(RESTART);
    group.start(leader);
}

/// Replaces a lost member and restarts the leader soon after. Returns whether the lost one has stopped
/// counting once its successor has had its time.
fn lost_voter_stops_counting(seed: u64) -> bool {
    let mut group = formed(seed);
    let leader = group.leader().expect("a leader");
    let gone = live(&group).into_iter().rfind(|n| *n != leader);
    let gone = gone.expect("a follower");
    group.crash(gone);
    group.advance(REPLACEMENT);
    let seeds = live(&group);
    group.join(&seeds[..SEEDS]);
    let successor_counts = group.now + CATCH_UP;
    group.advance(RESTART);
    restart_leader(&mut group);
    group.advance(successor_counts - group.now);
    !lists(&group, gone)
}

/// Loses two members for good twice, each replaced, with as many restarts of the leader in between.
/// Returns whether there is a leader in the end.
fn recovers_from_two_series(seed: u64, leader_restarts: u32) -> bool {
    let mut group = formed(seed);
    replace_followers(&mut group, 2);
    let successors_count = group.now + CATCH_UP;
    for _ in 0..leader_restarts {
        group.advance(CATCH_UP / 6);
        restart_leader(&mut group);
    }
    group.advance(successors_count - group.now);
    replace_followers(&mut group, 2);
    group.until(RECOVERY, |group| group.leader().is_some())
}

fn restart_all(group: &mut Group) {
    let all = live(group);
    for n in &all {
        group.crash(*n);
    }
    group.advance(RESTART);
    for n in all {
        group.start(n);
    }
}

/// Loses a member for good while another one is down, which comes back after the successor has its vote; then all
/// are killed twice. Once the returned one has had its time too, two disks are lost while all others are killed. Returns
/// whether there is a leader in the end.
fn recovers_beside_a_returning_member(seed: u64) -> bool {
    let mut group = formed(seed);
    let leader = group.leader();
    let mut followers = live(&group).into_iter().filter(|n| Some(*n) != leader);
    let (down, gone) = (followers.next(), followers.next());
    let (down, gone) = (down.expect("a follower"), gone.expect("another one"));
    group.crash(down);
    group.advance(Duration::from_millis(1_750));
    group.crash(gone);
    group.advance(REPLACEMENT);
    let seeds = drawn_seeds(&mut group);
    group.join(&seeds);
    group.advance(Duration::from_millis(600));
    group.start(down);
    let all_count = group.now + CATCH_UP;
    group.advance(Duration::from_millis(1_500));
    restart_all(&mut group);
    group.advance(Duration::from_millis(1_650));
    restart_all(&mut group);
    group.advance(all_count - group.now);
    let wiped: Vec<_> = live(&group).into_iter().rev().take(2).collect();
    restart_all(&mut group);
    for n in wiped {
        group.restart_empty(n);
    }
    group.until(RECOVERY, |group| group.leader().is_some())
}

fn failing_seeds(seeds: std::ops::Range<u64>, recovers: impl Fn(u64) -> bool) -> Vec<u64> {
    seeds.filter(|seed| !recovers(*seed)).collect()
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test]
        fn $name() {
            let body: fn() = $body;
            body();
        })*
    };
}

cases! {
    a_new_member_whose_seeds_do_not_lead_gets_a_vote => || {
        let mut group = formed(1);
        let seeds = seeds_that_do_not_lead(&group);
        let new = group.join(&seeds);
        assert!(group.until(CATCH_UP, |group| votes(group, new)));
    };
    a_member_without_its_disk_whose_seeds_do_not_lead_gets_its_vote_back => || {
        let mut group = formed(2);
        let seeds = seeds_that_do_not_lead(&group);
        group.set_seeds(&seeds);
        group.restart_empty(seeds[0]);
        assert!(group.until(CATCH_UP, |group| votes(group, seeds[0])));
    };
    a_member_that_missed_the_replacement_of_all_others_is_let_in_again => || {
        let mut group = formed(3);
        let leader = group.leader().expect("a leader");
        let away = live(&group).into_iter().find(|n| *n != leader).expect("a follower");
        let replaced: Vec<_> = live(&group).into_iter().filter(|n| *n != away).collect();
        group.crash(away);
        for n in replaced {
            group.crash(n);
            assert!(group.until(RECOVERY, |group| group.leader().is_some()));
            let seeds = live(&group);
            let new = group.join(&seeds);
            group.advance(CATCH_UP);
            assert!(votes(&group, new));
        }
        let seeds = seeds_that_do_not_lead(&group);
        group.set_seeds(&seeds);
        group.start(away);
        assert!(group.until(CATCH_UP, |group| votes(group, away)));
    };
    a_lost_voter_stops_counting_in_time_though_the_leader_changes => || {
        let failed = failing_seeds(0..20, lost_voter_stops_counting);
        assert!(failed.is_empty(), "it counts with seeds {failed:?}");
    };
    two_series_of_losses_leave_a_leader => || {
        let failed = failing_seeds(0..20, |seed| recovers_from_two_series(seed, 0));
        assert!(failed.is_empty(), "no leader with seeds {failed:?}");
    };
    two_series_of_losses_and_a_restart_of_the_leader_leave_a_leader => || {
        let failed = failing_seeds(0..20, |seed| recovers_from_two_series(seed, 1));
        assert!(failed.is_empty(), "no leader with seeds {failed:?}");
    };
    two_series_of_losses_and_two_restarts_of_the_leader_leave_a_leader => || {
        let failed = failing_seeds(0..20, |seed| recovers_from_two_series(seed, 2));
        assert!(failed.is_empty(), "no leader with seeds {failed:?}");
    };
    losses_beside_a_returning_member_and_two_restarts_of_all_leave_a_leader => || {
        let failed = failing_seeds(0..20, recovers_beside_a_returning_member);
        assert!(failed.is_empty(), "no leader with seeds {failed:?}");
    };
}

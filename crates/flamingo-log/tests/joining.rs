//! New and returning members that are cut off, slow, without room, or at another address.

use flamingo_log::Raft;
use flamingo_test_support::group::{Group, name};
use std::time::Duration;

const MEMBERS: usize = 5;
const SEEDS: usize = 3;
const FORMATION: Duration = Duration::from_secs(30);
const CATCH_UP: Duration = Duration::from_secs(6);

fn formed(seed: u64) -> Group {
    let mut group = Group::open(MEMBERS, SEEDS, MEMBERS, seed);
    let all = |group: &Group| group.voters().len() == MEMBERS;
    assert!(group.until(FORMATION, all), "{:?}", group.voters());
    group.advance(Duration::from_secs(1));
    group
}

fn live(group: &Group) -> Vec<usize> {
    let numbers = 0..group.nodes.len();
    numbers.filter(|n| group.nodes[*n].raft.is_some()).collect()
}

fn votes(group: &Group, n: usize) -> bool {
    group.voters().iter().any(|voter| voter.node == name(n))
}

fn seeds_that_do_not_lead(group: &Group) -> Vec<usize> {
    let leader = group.leader().expect("a leader");
    let others = live(group).into_iter().filter(|n| *n != leader);
    others.take(SEEDS).collect()
}

/// Gives all members a snapshot of 2 MiB.
fn compacted(group: &mut Group) {
    for n in 0..8_u8 {
        let leader = group.leader().expect("a leader");
        group.propose(leader, &vec![n; 256 * 1024]);
        group.advance(Duration::from_millis(500));
    }
    for n in live(group) {
        group.compact(n);
    }
    group.advance(Duration::from_secs(1));
}

fn raft(group: &Group, n: usize) -> &Raft {
    group.nodes[n].raft.as_ref().expect("it runs")
}

#[test]
fn a_new_member_that_is_cut_off_amid_its_first_snapshot_gets_a_vote_later() {
    let mut group = formed(1);
    compacted(&mut group);
    let seeds = seeds_that_do_not_lead(&group);
    let new = group.join(&seeds);
    let begun = |group: &Group| raft(group, new).leader().is_some();
    assert!(group.until(CATCH_UP, begun));
    assert!(
        raft(&group, new).members().is_empty(),
        "the snapshot is not complete"
    );
    group.isolate(new);
    group.advance(Duration::from_secs(8));
    group.heal();
    let voted = group.until(Duration::from_mins(1), |group| votes(group, new));
    assert!(
        voted,
        "leader known to it: {:?}",
        raft(&group, new).leader()
    );
}

/// Loses one of six voters, of which five must stay, and pauses two others until the leader steps down.
/// Returns whether the same member leads next, and the time from its election to the removal of the lost one.
fn removal_after_election(seed: u64) -> (bool, Duration) {
    let mut group = Group::open(6, SEEDS, MEMBERS, seed);
    assert!(group.until(FORMATION, |group| group.voters().len() == 6));
    group.advance(Duration::from_secs(1));
    let leader = group.leader().expect("a leader");
    let followers: Vec<_> = live(&group).into_iter().filter(|n| *n != leader).collect();
    let gone = followers[0];
    group.crash(gone);
    group.advance(Duration::from_millis(500));
    for n in &followers[1..3] {
        group.nodes[*n].frozen = true;
    }
    assert!(group.until(Duration::from_secs(2), |group| group.leader().is_none()));
    for n in &followers[1..3] {
        group.nodes[*n].frozen = false;
    }
    assert!(group.until(Duration::from_secs(20), |group| group.leader().is_some()));
    let elected_at = group.now;
    let same = group.leader() == Some(leader);
    assert!(group.until(Duration::from_secs(10), |group| !votes(group, gone)));
    (same, group.now - elected_at)
}

#[test]
fn a_leader_that_leads_again_goes_on_counting_how_long_a_voter_is_silent() {
    let all: Vec<_> = (0..40).map(removal_after_election).collect();
    let same = all.iter().filter(|(same, _)| *same).map(|(_, time)| *time);
    let other = all.iter().filter(|(same, _)| !*same).map(|(_, time)| *time);

    // A leader asks for an election timeout of 1 s itself before it removes a voter.
    let limit = Duration::from_millis(1_500);
    assert!(other.clone().all(|time| time <= limit));
    assert!(same.clone().all(|time| time <= limit));
}

/// Loses one of six voters, of which five must stay, and kills all others at once, so that nobody remembers its
/// silence. Returns the time from the next election to the removal of the lost one.
fn removal_after_all_were_killed(seed: u64) -> Duration {
    let (mut group, gone) = formed_with_one_to_spare(seed);
    group.crash(gone);
    group.advance(Duration::from_millis(500));
    let others = live(&group);
    for n in &others {
        group.crash(*n);
    }
    group.advance(Duration::from_millis(500));
    for n in others {
        group.start(n);
    }
    assert!(group.until(Duration::from_secs(20), |group| group.leader().is_some()));
    let elected_at = group.now;
    assert!(group.until(Duration::from_secs(10), |group| !votes(group, gone)));
    group.now - elected_at
}

#[test]
fn a_voter_that_is_gone_stops_counting_soon_though_all_others_were_killed() {
    let times = (0..40).map(removal_after_all_were_killed);

    // A leader asks for an election timeout of 1 s itself before it removes a voter.
    let late: Vec<_> = times
        .filter(|time| *time > Duration::from_millis(1_500))
        .collect();
    assert!(late.is_empty(), "it counts for {late:?}");
}

/// Returns whether a voter that was removed while it was away counts again an election timeout after its return.
fn counts_soon_after_return(
    seed: u64,
    leave: fn(&mut Group, usize),
    back: fn(&mut Group, usize),
) -> bool {
    let (mut group, away) = formed_with_one_to_spare(seed);
    leave(&mut group, away);
    assert!(group.until(CATCH_UP, |group| !votes(group, away)));
    group.advance(Duration::from_secs(2));
    back(&mut group, away);
    group.until(Duration::from_secs(1), |group| votes(group, away))
}

#[test]
fn a_voter_that_was_removed_while_it_was_down_counts_soon_after_its_return() {
    let counts = |seed: &u64| counts_soon_after_return(*seed, Group::crash, Group::start);
    let late: Vec<_> = (0..40).filter(|seed| !counts(seed)).collect();
    assert!(late.is_empty(), "no vote with seeds {late:?}");
}

#[test]
fn a_voter_that_was_removed_while_it_was_cut_off_counts_soon_after_its_return() {
    let heal = |group: &mut Group, _| group.heal();
    let counts = |seed: &u64| counts_soon_after_return(*seed, Group::isolate, heal);
    let late: Vec<_> = (0..40).filter(|seed| !counts(seed)).collect();
    assert!(late.is_empty(), "no vote with seeds {late:?}");
}

#[test]
fn a_learner_that_is_cut_off_knows_no_leader() {
    let mut group = formed(3);
    compacted(&mut group);
    for n in 0..60_u8 {
        let leader = group.leader().expect("a leader");
        group.propose(leader, &vec![n; 256 * 1024]);
        group.advance(Duration::from_millis(200));
    }
    let seeds = seeds_that_do_not_lead(&group);
    let new = group.join(&seeds);
    let listed = |group: &Group| {
        let raft = raft(group, new);
        !raft.members().is_empty() && raft.leader().is_some() && !raft.is_voter()
    };
    assert!(group.until(CATCH_UP, listed));
    group.isolate(new);
    group.advance(Duration::from_mins(1));
    assert!(!raft(&group, new).is_voter());
    assert_eq!(raft(&group, new).leader(), None);
}

#[test]
fn a_new_member_without_room_on_its_disk_is_not_listed_again_and_again() {
    let mut group = formed(2);
    let seeds = seeds_that_do_not_lead(&group);
    let new = group.join(&seeds);
    group.nodes[new].no_room = true;
    let before = group.last_committed();
    group.advance(Duration::from_mins(1));
    let entries = group.last_committed() - before;
    assert!(
        entries <= 4,
        "{entries} entries in a minute without a command"
    );
}

/// A process that gets a fifth of the time: it runs for 0.5 s after every 2.2 s.
#[test]
fn a_new_member_that_is_slow_gets_a_vote() {
    let mut group = formed(5);
    compacted(&mut group);
    let seeds = seeds_that_do_not_lead(&group);
    let new = group.join(&seeds);
    for _ in 0..40 {
        group.advance(Duration::from_millis(500));
        if votes(&group, new) {
            return;
        }
        group.nodes[new].frozen = true;
        group.advance(Duration::from_millis(2_200));
        group.nodes[new].frozen = false;
    }
    panic!("no vote in 108 s");
}

#[test]
fn a_member_that_comes_back_at_another_address_with_its_disk_is_listed_there() {
    let mut group = formed(6);
    let leader = group.leader().expect("a leader");
    let moved = live(&group)
        .into_iter()
        .find(|n| *n != leader)
        .expect("a follower");
    let storage = raft(&group, moved).storage();
    let address: std::net::SocketAddr = "127.0.0.1:7999".parse().expect("an address");
    let join = flamingo_log::Message {
        from: name(moved),
        from_storage: storage,
        to: name(leader),
        to_storage: 0,
        cluster: raft(&group, moved).cluster(),
        term: raft(&group, moved).term(),
        body: flamingo_log::message::Body::Join { address },
    };
    group.with_raft(leader, |raft, now| raft.receive(now, join));
    group.advance(Duration::from_secs(5));
    let members = raft(&group, leader).members();
    let found = members.iter().any(|member| member.address == address);
    assert!(found, "{members:?}");
}

#[test]
fn a_new_member_whose_disk_has_failed_is_not_listed_again_and_again() {
    let mut group = formed(2);
    let seeds = seeds_that_do_not_lead(&group);
    let new = group.join(&seeds);
    group.nodes[new].full = true;
    let before = group.last_committed();
    group.advance(Duration::from_mins(1));
    let entries = group.last_committed() - before;
    assert!(
        entries <= 4,
        "{entries} entries in a minute without a command"
    );
}

#[test]
fn a_new_member_whose_disk_takes_longer_than_the_voter_timeout_gets_a_vote() {
    let mut group = formed(7);
    let seeds = seeds_that_do_not_lead(&group);
    let new = group.join(&seeds);
    for _ in 0..30 {
        group.nodes[new].no_room = true;
        group.advance(Duration::from_millis(2_200));
        group.nodes[new].no_room = false;
        group.advance(Duration::from_millis(30));
        if votes(&group, new) {
            return;
        }
    }
    panic!("no vote in 67 s");
}

/// Forms a group of six voters, of which five must stay. Returns it with a follower that the leader may remove.
fn formed_with_one_to_spare(seed: u64) -> (Group, usize) {
    let mut group = Group::open(6, SEEDS, MEMBERS, seed);
    assert!(group.until(FORMATION, |group| group.voters().len() == 6));
    group.advance(Duration::from_secs(1));
    let leader = group.leader().expect("a leader");
    let follower = live(&group).into_iter().find(|n| *n != leader);
    (group, follower.expect("a follower"))
}

fn propose(group: &mut Group) {
    if let Some(leader) = group.leader() {
        group.propose(leader, b"a change");
    }
}

#[test]
fn a_voter_whose_every_sync_takes_longer_than_the_voter_timeout_keeps_its_vote() {
    let (mut group, slow) = formed_with_one_to_spare(8);
    for _ in 0..30 {
        propose(&mut group);
        group.nodes[slow].no_room = true;
        group.advance(Duration::from_millis(2_200));
        group.nodes[slow].no_room = false;
        group.advance(Duration::from_millis(30));
        assert!(votes(&group, slow));
    }
}

#[test]
fn a_voter_whose_disk_has_no_room_for_good_loses_its_vote_once() {
    let (mut group, full) = formed_with_one_to_spare(9);
    group.nodes[full].no_room = true;
    propose(&mut group);
    assert!(group.until(CATCH_UP, |group| !votes(group, full)));
    let before = group.last_committed();
    group.advance(Duration::from_mins(1));
    assert!(!votes(&group, full));
    assert!(
        group.last_committed() <= before + 2,
        "it is listed by turns"
    );
}

#[test]
fn a_voter_whose_disk_has_failed_loses_its_vote_after_the_voter_timeout() {
    let (mut group, broken) = formed_with_one_to_spare(10);
    group.nodes[broken].full = true;
    propose(&mut group);
    let limit = Duration::from_millis(2_500);
    assert!(group.until(limit, |group| !votes(group, broken)));
}

#[test]
fn what_followers_have_only_heard_is_not_committed_and_keeps_no_leader() {
    let mut group = Group::new(3, 11);
    assert!(group.until(FORMATION, |group| group.leader().is_some()));
    group.advance(Duration::from_secs(1));
    let leader = group.leader().expect("a leader");
    for n in (0..3).filter(|n| *n != leader) {
        group.nodes[n].no_room = true;
    }
    let before = group.last_committed();
    propose(&mut group);
    group.advance(Duration::from_secs(2));
    assert_eq!((group.last_committed(), group.leader()), (before, None));
}

/// Kills the leader of six voters for good, and cuts a live follower off from the next election on for `pause`.
/// Returns whether that one lost its vote while the dead one kept it.
fn is_removed_in_place_of_the_dead_leader(seed: u64, pause: Duration) -> bool {
    let (mut group, _) = formed_with_one_to_spare(seed);
    let dead = group.leader().expect("a leader");
    group.crash(dead);
    let another = |group: &Group| group.leader().filter(|n| *n != dead);
    assert!(group.until(FORMATION, |group| another(group).is_some()));
    let leader = another(&group);
    let others = live(&group);
    let mut others = others.into_iter().filter(|n| Some(*n) != leader);
    let paused = others
        .nth(usize::try_from(seed % 4).expect("small"))
        .expect("a follower");
    group.isolate(paused);
    let mut removed = group.until(pause, |group| !votes(group, paused));
    removed &= votes(&group, dead);
    group.heal();
    let lost = group.until(Duration::from_secs(2), |group| {
        !votes(group, paused) && votes(group, dead)
    });
    removed || lost
}

#[test]
fn a_live_voter_that_pauses_after_an_election_is_not_removed_in_place_of_the_dead_leader() {
    for pause_ms in [1_100, 1_300, 1_800] {
        let pause = Duration::from_millis(pause_ms);
        let removed = |seed: &u64| is_removed_in_place_of_the_dead_leader(*seed, pause);
        let removed: Vec<_> = (0..60).filter(removed).collect();
        assert!(removed.is_empty(), "after {pause:?} with seeds {removed:?}");
    }
}

//! Which instances send new routes to a follower and when, in virtual time.

use flamingo_control::transfer::Transfer;
use flamingo_control::watch::RoutesUpdate;
use flamingo_wire::route::Set;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Control instances that a follower follows.
const CONTROLS: usize = 8;
/// Size of the routes in bytes.
const ROUTES_BYTES: u64 = 600_000;
/// Time that one copy of the routes takes on the follower's link of 10 Mbit/s.
const COPY_TIME: Duration = Duration::from_millis(480);
/// Time in which routes must be in force after their commit.
const IN_FORCE: Duration = Duration::from_millis(2_500);
/// Virtual time between two steps.
const STEP: Duration = Duration::from_millis(10);

fn update(version: u64, from_leader: bool, bytes: u64) -> RoutesUpdate {
    let set = Set {
        version,
        ..Set::default()
    };
    RoutesUpdate::new(set, from_leader, bytes)
}

/// Returns when an instance sends version 2 to a follower that has version `known`.
fn due(now: Instant, known: u64, from_leader: bool, follower: &str, own: &str) -> Option<Instant> {
    let mut transfer = Transfer::new(known);
    let update = update(2, from_leader, ROUTES_BYTES);
    transfer.offer(update.offer(follower, own), now);
    transfer.due()
}

/// Simulates new routes for a follower of all instances, of which it can reach those in
/// `reachable`; instance 0 leads. Returns when the follower has the routes, and how many copies its
/// link carried.
fn simulate(follower: &str, reachable: std::ops::Range<usize>) -> (Duration, usize) {
    let now = Instant::now();
    let mut due: Vec<Instant> = reachable
        .filter_map(|n| due(now, 1, n == 0, follower, &format!("control-{n}")))
        .collect();
    due.sort();
    // The first copy shares the link with the copies that start before it has arrived.
    let mut copies = 1;
    while copies < due.len() && due[copies] < due[0] + COPY_TIME * u32::try_from(copies).unwrap() {
        copies += 1;
    }
    let arrived = due[0] - now + COPY_TIME * u32::try_from(copies).unwrap();
    (arrived, copies)
}

/// Simulates `changes` of routes of `bytes`, committed every `gap`, for a follower whose link
/// takes `copy` for one. Returns how long after its commit each was in force, or a newer one.
fn simulate_changes(
    follower: &str,
    changes: u64,
    gap: Duration,
    bytes: u64,
    copy: Duration,
) -> Vec<Duration> {
    let begin = Instant::now();
    let mut transfers = vec![Transfer::new(1); CONTROLS];
    let mut link: VecDeque<(Instant, u64)> = VecDeque::new();
    let (mut committed, mut known) = (Vec::new(), 1);
    let mut in_force = Vec::new();
    let mut now = begin;
    while (in_force.len() as u64) < changes {
        now += STEP;
        let due = u64::try_from((now - begin).as_millis() / gap.as_millis()).unwrap();
        let newest = 2 + due.min(changes - 1);
        let offer =
            |n: usize| update(newest, n == 0, bytes).offer(follower, &format!("control-{n}"));
        if newest > 1 + committed.len() as u64 {
            committed.push(now);
            (0..CONTROLS).for_each(|n| transfers[n].offer(offer(n), now));
        }
        for (n, transfer) in transfers.iter_mut().enumerate() {
            if transfer.due().is_some_and(|due| due <= now) && transfer.send(offer(n), now) {
                let free = link.back().map_or(now, |(arrives, _)| *arrives);
                link.push_back((free.max(now) + copy, newest));
            }
        }
        while let Some((_, version)) = link.pop_front_if(|(arrives, _)| *arrives <= now) {
            known = known.max(version);
            (0..CONTROLS).for_each(|n| transfers[n].report(known, Some(offer(n)), now));
        }
        let arrived = committed.iter().skip(in_force.len());
        let arrived = arrived.take(usize::try_from(known - 1).unwrap() - in_force.len());
        in_force.extend(arrived.map(|at| now - *at).collect::<Vec<_>>());
    }
    in_force
}

#[test]
fn a_large_set_reaches_most_followers_in_few_copies() {
    let copies = (0..60).map(|n| simulate(&format!("entry-{n}"), 0..CONTROLS).1);
    let sum: usize = copies.sum();
    assert!(sum < 60 * CONTROLS / 2, "{sum} copies for 60 followers");
}

#[test]
fn a_follower_that_cannot_reach_the_leader_gets_routes_from_another_in_time() {
    for n in 0..60 {
        let (arrived, _) = simulate(&format!("entry-{n}"), 1..CONTROLS);
        // Several instances then send at the same time; all their copies arrive within the limit.
        assert!(arrived < Duration::from_secs(5), "{arrived:?}");
    }
}

#[test]
fn a_follower_without_routes_gets_them_at_once_and_one_with_them_gets_none() {
    let now = Instant::now();
    assert_eq!(due(now, 0, false, "entry", "control"), Some(now));
    assert_eq!(due(now, 2, false, "entry", "control"), None);
}

#[test]
fn changes_in_series_do_not_queue_up_on_a_slow_link() {
    let gap = Duration::from_millis(250);
    // Half of the link is left beside the callers' traffic.
    let copy = Duration::from_millis(530);
    for n in 0..60 {
        let in_force = simulate_changes(&format!("entry-{n}"), 8, gap, 332_000, copy);
        let longest = in_force.into_iter().max().unwrap();
        assert!(longest < IN_FORCE, "entry-{n}: {longest:?}");
    }
}

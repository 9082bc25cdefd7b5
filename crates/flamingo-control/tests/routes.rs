//! Which instances send new routes to a follower and when, in virtual time.

use flamingo_control::watch::RoutesUpdate;
use flamingo_wire::route::Set;
use std::time::{Duration, Instant};

/// Control instances that a follower follows.
const CONTROLS: usize = 8;
/// Size of the routes in bytes.
const ROUTES_BYTES: u64 = 600_000;
/// Time that one copy of the routes takes on the follower's link of 10 Mbit/s.
const COPY_TIME: Duration = Duration::from_millis(480);

fn update(from_leader: bool) -> RoutesUpdate {
    let set = Set {
        version: 2,
        ..Set::default()
    };
    RoutesUpdate::new(set, from_leader, ROUTES_BYTES)
}

/// Simulates new routes for a follower of all instances, of which it can reach those in
/// `reachable`; instance 0 leads. Returns when the follower has the routes, and how many copies its
/// link carried.
fn simulate(follower: &str, reachable: std::ops::Range<usize>) -> (Duration, usize) {
    let now = Instant::now();
    let mut due: Vec<Instant> = reachable
        .filter_map(|n| update(n == 0).send_at(now, 1, follower, &format!("control-{n}")))
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
    let other = update(false);
    assert_eq!(other.send_at(now, 0, "entry", "control"), Some(now));
    assert_eq!(other.send_at(now, 2, "entry", "control"), None);
}

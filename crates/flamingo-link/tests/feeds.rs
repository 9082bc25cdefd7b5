//! Which control instances an entry follows, in virtual time: no entry goes without a relay for long,
//! whatever fails, and traffic to other zones stays bounded.

use flamingo_link::feeds::{
    Feeds, MAX_REMOTE, Plan, RETURN_DELAY, Role, SILENCE_TIMEOUT, START_TIMEOUT,
};
use flamingo_wire::control::Peers;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(100);
/// Time after which a stream without pushes is dropped by the entry.
const STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out of a dial that nobody answers.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without a relay where a candidate is in the zone, or in the order right after the
/// failed ones: silence, the start of the next candidate of the zone, and the ticks between.
const LIMIT: Duration = Duration::from_millis(1_700);

/// How a control instance fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The process has ended: connections are refused.
    Killed,
    /// The process stands still: nothing is answered.
    Stopped,
    /// It serves followers, but is cut off from the other instances.
    CutOff,
}

/// One entry, and control instances of which some have failed.
struct World {
    controls: Vec<SocketAddr>,
    zones: Vec<String>,
    faults: BTreeMap<SocketAddr, Fault>,
    feeds: Feeds,
    plan: Plan,
    /// Since when each stream has been without a push.
    silent_since: BTreeMap<SocketAddr, Instant>,
    now: Instant,
    /// Longest time without a relay that serves, and since when there is none.
    longest_gap: Duration,
    without_since: Option<Instant>,
}

impl World {
    /// Builds an entry in `zone` and `per_zone` instances in each of `zones` zones; none in `empty`.
    fn new(entry: &str, zone: usize, zones: usize, per_zone: usize, empty: Option<usize>) -> Self {
        let places = (0..zones).filter(|place| Some(*place) != empty);
        let places = places.flat_map(|place| (0..per_zone).map(move |number| (place, number)));
        let places: Vec<_> = places.collect();
        let address = |(place, number): &(usize, usize)| format!("10.0.{place}.{}:1", number + 1);
        let now = Instant::now();
        let mut world = Self {
            controls: places
                .iter()
                .map(|at| address(at).parse().unwrap())
                .collect(),
            zones: places
                .iter()
                .map(|(place, _)| format!("z{place}"))
                .collect(),
            faults: BTreeMap::new(),
            feeds: Feeds::new(entry, &format!("z{zone}")),
            plan: Plan::new(),
            silent_since: BTreeMap::new(),
            now,
            longest_gap: Duration::ZERO,
            without_since: Some(now),
        };
        let seeds = world.controls[..world.controls.len().min(3)].to_vec();
        world.feeds.add_seeds(&seeds);
        world
    }

    fn fault(&self, control: SocketAddr) -> Option<Fault> {
        self.faults.get(&control).copied()
    }

    /// Returns the instances that a relay reaches.
    fn reached(&self, relay: SocketAddr) -> Vec<SocketAddr> {
        let is_cut_off = self.fault(relay) == Some(Fault::CutOff);
        let others = self.controls.iter().copied();
        others
            .filter(|at| *at != relay && !is_cut_off && self.fault(*at).is_none())
            .collect()
    }

    /// Plays one tick of all streams.
    fn step(&mut self) {
        self.now += TICK;
        for (control, role) in self.plan.clone() {
            let since = *self.silent_since.entry(control).or_insert(self.now);
            match self.fault(control) {
                Some(Fault::Killed) => self.feeds.disconnect(control, self.now),
                Some(Fault::Stopped) => {
                    if self.now >= since + DIAL_TIMEOUT.min(STREAM_TIMEOUT) {
                        self.feeds.disconnect(control, self.now);
                        self.silent_since.insert(control, self.now);
                    }
                }
                None | Some(Fault::CutOff) => {
                    self.silent_since.insert(control, self.now);
                    self.feeds.record_push(control, self.now);
                    let peers = Peers {
                        controls: self.controls.clone(),
                        zones: self.zones.clone(),
                        ..Peers::default()
                    };
                    self.feeds.record_peers(&peers, self.now);
                    if role == Role::Relay {
                        let reached = self.reached(control);
                        self.feeds.record_reached(control, &reached);
                    }
                }
            }
        }
        self.plan = self.feeds.plan(self.now);
        self.silent_since
            .retain(|control, _| self.plan.contains_key(control));
        self.measure();
    }

    fn measure(&mut self) {
        let mut served = self.plan.iter();
        let is_served =
            served.any(|(control, role)| *role == Role::Relay && self.fault(*control).is_none());
        if is_served {
            self.without_since = None;
        } else {
            let since = *self.without_since.get_or_insert(self.now);
            self.longest_gap = self.longest_gap.max(self.now - since);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the numbers of followed instances in the own zone and in others.
    fn followed(&self) -> (usize, usize) {
        self.feeds.count(&self.plan)
    }

    /// Lets the instances of the entry's zone fail.
    fn fail_zone(&mut self, zone: usize, fault: Fault) {
        let name = format!("z{zone}");
        let places = self.controls.iter().zip(&self.zones);
        let own = places.filter(|(_, zone)| **zone == name);
        self.faults = own.map(|(control, _)| (*control, fault)).collect();
    }
}

/// Guards against entries that follow more instances than they need, or none.
#[test]
fn an_entry_follows_one_instance_of_its_zone_or_two_others() {
    for zones in 2..=15 {
        for per_zone in 1..=3 {
            let mut world = World::new("entry", 0, zones, per_zone, None);
            world.run(Duration::from_secs(2));
            assert_eq!(world.followed(), (1, 0), "{zones} zones of {per_zone}");
            let mut world = World::new("entry", 0, zones, per_zone, Some(0));
            world.run(Duration::from_secs(2));
            let remote = if zones == 2 { per_zone } else { MAX_REMOTE };
            assert_eq!(world.followed(), (0, remote), "{zones} zones of {per_zone}");
        }
    }
}

#[test]
fn with_one_zone_all_instances_are_followed_without_relays() {
    let mut world = World::new("entry", 0, 1, 3, None);
    world.run(Duration::from_secs(2));
    assert_eq!(world.plan.len(), 3);
    assert!(world.plan.values().all(|role| *role == Role::Direct));
}

/// Guards against an entry that waits for its zone, and one that stays in other zones.
#[test]
fn a_failed_zone_is_left_in_time_and_returned_to() {
    for fault in [Fault::Killed, Fault::Stopped, Fault::CutOff] {
        for zones in [4, 8, 15] {
            for per_zone in 1..=3 {
                let mut world = World::new("entry", 1, zones, per_zone, None);
                world.run(Duration::from_secs(3));
                world.longest_gap = Duration::ZERO;
                world.fail_zone(1, fault);
                world.run(Duration::from_secs(20));
                let case = format!("{fault:?}, {zones} zones of {per_zone}");
                assert!(
                    world.longest_gap <= LIMIT,
                    "{case}: {:?}",
                    world.longest_gap
                );
                assert!(world.followed().1 <= MAX_REMOTE, "{case}");
                world.faults.clear();
                world.run(RETURN_DELAY / 2);
                assert!(world.followed().1 > 0, "{case}: returned too early");
                world.run(RETURN_DELAY + Duration::from_secs(1));
                assert_eq!(world.followed(), (1, 0), "{case}");
            }
        }
    }
}

/// Guards against entries that leave the zone although another instance of it serves.
#[test]
fn another_instance_of_the_zone_is_the_first_choice() {
    let mut world = World::new("entry", 1, 4, 2, None);
    world.run(Duration::from_secs(3));
    let relay = *world.plan.keys().next().expect("a relay");
    world.faults.insert(relay, Fault::Stopped);
    world.run(SILENCE_TIMEOUT + START_TIMEOUT + Duration::from_secs(1));
    assert_eq!(world.followed(), (2, 0));
    assert!(world.longest_gap <= LIMIT);
}

/// Guards against updates that only an instance has that the relay does not hear.
#[test]
fn an_instance_that_the_relay_does_not_reach_is_followed_directly() {
    let mut world = World::new("entry", 0, 4, 2, None);
    world.run(Duration::from_secs(3));
    let lost = *world.controls.last().expect("a control instance");
    let reached: BTreeSet<_> = world.controls.iter().copied().collect();
    let reached: Vec<_> = reached.into_iter().filter(|at| *at != lost).collect();
    let relay = *world.plan.keys().next().expect("a relay");
    for _ in 0..10 {
        world.now += TICK;
        world.feeds.record_push(relay, world.now);
        world.feeds.record_push(lost, world.now);
        world.feeds.record_reached(relay, &reached);
        world.plan = world.feeds.plan(world.now);
    }
    assert_eq!(world.plan.get(&lost), Some(&Role::Direct));
    assert_eq!(world.followed(), (1, 1));
    world.run(Duration::from_secs(1));
    assert_eq!(world.followed(), (1, 0));
}

/// Guards against spurious changes: an entry that was held up has not read what came meanwhile.
#[test]
fn the_silence_while_the_entry_did_not_run_is_not_counted() {
    let mut world = World::new("entry", 0, 4, 2, None);
    world.run(Duration::from_secs(3));
    let plan = world.plan.clone();
    world.now += Duration::from_secs(5);
    assert_eq!(world.feeds.plan(world.now), plan);
}

/// Guards against herds: entries that start together must not all follow the same instance.
#[test]
fn entries_are_spread_within_a_factor_of_two() {
    for empty in [None, Some(0)] {
        let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
        for number in 0..400 {
            let mut world = World::new(&format!("entry-{number}"), 0, 4, 3, empty);
            world.run(Duration::from_secs(1));
            for control in world.plan.keys() {
                *counts.entry(*control).or_default() += 1;
            }
        }
        let expected = if empty.is_some() { 9 } else { 3 };
        assert_eq!(counts.len(), expected);
        let total: u32 = counts.values().sum();
        let even = f64::from(total) / f64::from(u32::try_from(expected).expect("few"));
        for count in counts.values() {
            let ratio = f64::from(*count) / even;
            assert!((0.5..=2.0).contains(&ratio), "{counts:?}");
        }
    }
}

/// Guards against an entry that keeps trying instances that are down while others serve.
#[test]
fn the_last_living_instances_are_found_in_a_zone_without_any() {
    let mut world = World::new("entry", 0, 15, 3, Some(0));
    world.run(Duration::from_secs(3));
    let living = world.controls.len() / 2 + 1;
    let killed = world.controls[..world.controls.len() - living].to_vec();
    world.longest_gap = Duration::ZERO;
    world.faults = killed.into_iter().map(|at| (at, Fault::Killed)).collect();
    world.run(Duration::from_secs(30));
    let limit = Duration::from_millis(1_700);
    assert!(world.longest_gap <= limit, "{:?}", world.longest_gap);
    assert!(world.followed().1 <= MAX_REMOTE);
}

/// Guards against streams that are opened and closed by turns while the members of the log change: one
/// instance already lists a new member, another one does not yet.
#[test]
fn lists_that_differ_change_nothing_by_turns() {
    for zones in [1, 2] {
        let mut world = World::new("entry", 0, zones, 3, None);
        world.run(Duration::from_secs(3));
        let all = world.controls.clone();
        let plan = world.plan.clone();
        for turn in 0..40 {
            world.now += TICK;
            let listed = all.len() - turn % 2;
            let peers = Peers {
                controls: all[..listed].to_vec(),
                zones: world.zones[..listed].to_vec(),
                ..Peers::default()
            };
            world.feeds.record_peers(&peers, world.now);
            for control in plan.keys() {
                world.feeds.record_push(*control, world.now);
            }
            assert_eq!(world.feeds.plan(world.now), plan);
        }
    }
}

/// Guards against an entry that keeps old routes, since its relay passes on what others push while its
/// own log lags.
#[test]
fn an_entry_whose_relay_has_old_routes_follows_others_too() {
    let controls: Vec<SocketAddr> = (1..=4)
        .map(|host| SocketAddr::from(([10, 0, 0, host], 1)))
        .collect();
    let zones = ["a", "a", "b", "b"].map(str::to_owned).to_vec();
    let mut feeds = Feeds::new("entry", "a");
    feeds.add_seeds(&controls);
    let start = Instant::now();
    let mut followed = |seconds: std::ops::Range<u64>, own: u64| {
        let mut plan = Plan::new();
        for tick in seconds.start * 10..seconds.end * 10 {
            let now = start + Duration::from_millis(100) * u32::try_from(tick).expect("few ticks");
            for control in &controls {
                let peers = Peers {
                    controls: controls.clone(),
                    zones: zones.clone(),
                    routes: if seconds.start >= 10 { 2 } else { 1 },
                    ..Peers::default()
                };
                feeds.record_push(*control, now);
                feeds.record_peers(&peers, now);
                feeds.record_reached(*control, &controls);
            }
            feeds.record_routes(own, now);
            plan = feeds.plan(now);
        }
        plan
    };
    let before = followed(0..10, 1);
    assert_eq!(before.len(), 1);
    let lagging = before.keys().next().copied().expect("a relay");
    let during = followed(10..12, 1);
    assert!(
        during.keys().any(|control| *control != lagging),
        "{during:?}"
    );
    assert_eq!(followed(12..30, 2).len(), 1);
}

/// Guards against relays that count as failed by turns while each of many changes is in force soon.
#[test]
fn a_relay_that_keeps_up_with_a_series_of_changes_is_kept() {
    let controls = [1, 2, 3, 4].map(|host| SocketAddr::from(([10, 0, 0, host], 1)));
    let zones = ["a", "a", "b", "b"].map(str::to_owned).to_vec();
    let mut feeds = Feeds::new("entry", "a");
    let start = Instant::now();
    let mut plans = BTreeSet::new();
    for tick in 0..300 {
        let now = start + TICK * tick;
        // A change each 0.2 s, in force at the entry 0.3 s later.
        let newest = 10 + u64::from(tick / 2);
        let in_force = 10 + u64::from(tick.saturating_sub(3) / 2);
        let peers = Peers {
            controls: controls.to_vec(),
            zones: zones.clone(),
            routes: newest,
            ..Peers::default()
        };
        for control in controls {
            feeds.record_push(control, now);
            feeds.record_reached(control, &controls);
        }
        feeds.record_peers(&peers, now);
        feeds.record_routes(in_force, now);
        let plan = feeds.plan(now);
        if tick >= 100 {
            plans.insert(plan.into_keys().collect::<Vec<_>>());
        }
    }
    assert_eq!(plans.len(), 1, "{plans:?}");
    assert!(plans.iter().all(|plan| plan.len() == 1), "{plans:?}");
}

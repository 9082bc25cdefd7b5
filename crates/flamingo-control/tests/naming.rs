//! Which entries the lists of the processes name as taking requests of others, and what that costs.

use flamingo_control::registry::{Broadcast, Registry};
use flamingo_wire::control::{Naming, Peers, Push, Relayed};
use flamingo_wire::frame::Seal;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::broadcast::Receiver;

/// Time between two lists.
const INTERVAL: Duration = Duration::from_millis(500);
/// Lists in the time for which entries remember what was named.
const LISTS_IN_MEMORY: usize = 60;
/// Bytes a second by which names may add to what a follower gets.
const MAX_BYTES_PER_S: usize = 150;

/// Names each case.
macro_rules! cases {
    ($($name:ident: $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $check(Instant::now());
            }
        )*
    };
}

fn control(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 200, 0, u8::try_from(number).unwrap()], 30_001))
}

fn entry(number: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(number).unwrap().to_be_bytes();
    SocketAddr::from(([10, 100, high, low], 30_001))
}

fn zone(number: usize) -> String {
    format!("zone-{number:02}")
}

/// Returns these entries, all of one zone.
fn entries(numbers: &[usize]) -> Vec<(String, SocketAddr)> {
    let numbers = numbers.iter();
    numbers.map(|number| (zone(0), entry(*number))).collect()
}

/// Returns how many bytes the names add to a push.
fn added_bytes(peers: &Peers) -> usize {
    let seal = Seal::new("a", b"secret");
    let without = Peers {
        neighbours: None,
        ..peers.clone()
    };
    let bytes = |peers: Peers| {
        let frame = seal.seal("", &Push::Peers(peers), SystemTime::now());
        frame.expect("a frame").body.len()
    };
    bytes(peers.clone()) - bytes(without)
}

/// A control instance with its followers.
struct Instance {
    address: SocketAddr,
    registry: Registry,
    pushes: Receiver<Arc<Broadcast>>,
    own: Vec<(String, SocketAddr)>,
    /// What its lists have named.
    named: Vec<Naming>,
    /// Bytes by which names added to all lists that a follower got.
    bytes: usize,
}

impl Instance {
    fn new(address: SocketAddr) -> Self {
        let registry = Registry::default();
        let (_, pushes) = registry.subscribe();
        Self {
            address,
            registry,
            pushes,
            own: Vec::new(),
            named: Vec::new(),
            bytes: 0,
        }
    }

    /// Publishes a list, and returns it.
    fn publish(&mut self, mut peers: Peers, now: Instant) -> Peers {
        let registry = &mut self.registry;
        registry.name_neighbours(now, self.address, &self.own, &mut peers);
        registry.publish_peers(now, peers.clone(), false);
        peers
    }

    /// Records what a follower gets that wants relayed pushes.
    fn follow(&mut self) {
        while let Ok(broadcast) = self.pushes.try_recv() {
            let peers = match broadcast.push() {
                Push::Peers(peers) => peers,
                Push::Relayed(Relayed { push, .. }) => match &**push {
                    Push::Peers(peers) => peers,
                    _ => continue,
                },
                _ => continue,
            };
            self.bytes += added_bytes(peers);
            self.named.extend(peers.neighbours.clone());
        }
    }
}

/// A system whose control instances hear each other, and whose entries follow one of their zone each, or
/// all where there is one zone.
struct System {
    instances: Vec<Instance>,
    zones: Vec<String>,
    now: Instant,
}

impl System {
    fn new(controls: usize, zones: usize, entries: usize, now: Instant) -> Self {
        let addresses = (0..controls).map(control);
        let mut instances: Vec<Instance> = addresses.map(Instance::new).collect();
        let zone_of = |number: usize| zone(number % zones);
        for number in 0..entries {
            let taker = (zone_of(number), entry(number));
            let of_zone = instances.iter_mut().skip(number % zones).step_by(zones);
            let mut of_zone: Vec<&mut Instance> = of_zone.collect();
            if zones == 1 {
                for instance in of_zone {
                    instance.own.push(taker.clone());
                }
            } else {
                let chosen = number / zones % of_zone.len();
                of_zone[chosen].own.push(taker);
            }
        }
        Self {
            instances,
            zones: (0..controls).map(zone_of).collect(),
            now,
        }
    }

    /// Lets every instance publish so many lists.
    fn publish(&mut self, lists: usize) {
        for _ in 0..lists {
            self.now += INTERVAL;
            for sender in 0..self.instances.len() {
                self.publish_list(sender);
            }
            for instance in &mut self.instances {
                instance.follow();
            }
        }
    }

    fn publish_list(&mut self, sender: usize) {
        let peers = Peers {
            controls: self.instances.iter().map(|each| each.address).collect(),
            zones: self.zones.clone(),
            leader: Some(control(0)),
            ..Peers::default()
        };
        let peers = self.instances[sender].publish(peers, self.now);
        for (receiver, instance) in self.instances.iter_mut().enumerate() {
            if receiver != sender {
                let push = Push::Peers(peers.clone());
                instance.registry.receive(self.now, control(sender), push);
            }
        }
    }
}

/// Returns all addresses of namings, by zone.
fn by_zone<'a>(
    named: impl IntoIterator<Item = &'a Naming>,
) -> BTreeMap<String, BTreeSet<SocketAddr>> {
    let mut zones: BTreeMap<String, BTreeSet<SocketAddr>> = BTreeMap::new();
    for naming in named {
        let of_zone = zones.entry(naming.zone.clone()).or_default();
        of_zone.extend(&naming.addresses);
    }
    zones
}

/// Publishes lists of one instance with these followers; returns what they name.
fn publish_alone(instance: &mut Instance, zones: &[usize], lists: usize, now: Instant) {
    for _ in 0..lists {
        let peers = Peers {
            controls: (0..zones.len()).map(control).collect(),
            zones: zones.iter().copied().map(zone).collect(),
            ..Peers::default()
        };
        instance.publish(peers, now);
    }
    instance.follow();
}

fn naming(of: usize, entries: &[usize], relayed: bool) -> Naming {
    Naming {
        zone: zone(of),
        addresses: entries.iter().copied().map(entry).collect(),
        relayed,
    }
}

/// Returns a list that names an entry.
fn list(named: Naming) -> Push {
    Push::Peers(Peers {
        leader: Some(control(1)),
        neighbours: Some(named),
        ..Peers::default()
    })
}

cases! {
    in_a_large_system_all_are_named_in_time_at_little_cost: |now| {
        let mut system = System::new(21, 15, 400, now);
        system.publish(2 * LISTS_IN_MEMORY);
        let mut all = BTreeSet::new();
        for instance in &system.instances {
            let own = instance.named.iter().filter(|naming| !naming.relayed);
            all.extend(by_zone(own).into_values().flatten());
        }
        assert_eq!(all.len(), 400);
        let seconds = 2 * LISTS_IN_MEMORY / 2;
        let per_s = system.instances.iter().map(|each| each.bytes / seconds).max();
        println!("names: {per_s:?} B/s for each follower");
        assert!(per_s.is_some_and(|bytes| bytes < MAX_BYTES_PER_S), "{per_s:?}");
    };
    in_a_large_system_an_entry_knows_some_of_its_zone_and_of_others: |now| {
        let mut system = System::new(21, 15, 400, now);
        system.publish(LISTS_IN_MEMORY);
        for instance in &system.instances {
            let known = by_zone(&instance.named);
            let own = known.get(&instance.own[0].0).map_or(0, BTreeSet::len);
            assert!(own >= 10, "{own} of the own zone");
            assert!(known.len() >= 6, "{} zones", known.len());
        }
    };
    followers_of_all_instances_get_few_bytes_from_them_together: |now| {
        for controls in [1, 3, 21] {
            let mut system = System::new(controls, 1, 400, now);
            system.publish(10 * LISTS_IN_MEMORY);
            let bytes: usize = system.instances.iter().map(|each| each.bytes).sum();
            let per_s = bytes / (10 * LISTS_IN_MEMORY / 2);
            println!("names: {per_s} B/s from {controls} instances of one zone");
            assert!(per_s < MAX_BYTES_PER_S, "{per_s} B/s");
        }
    };
    instances_with_the_same_followers_name_different_ones: |now| {
        let mut system = System::new(21, 1, 400, now);
        system.publish(LISTS_IN_MEMORY);
        let named = system.instances.iter().flat_map(|each| &each.named);
        let known: usize = by_zone(named).values().map(BTreeSet::len).sum();
        assert!(known >= 32, "{known} entries");
    };
    each_follower_is_named_by_turns: |now| {
        let mut instance = Instance::new(control(0));
        instance.own = entries(&[1, 2, 3, 4, 5]);
        publish_alone(&mut instance, &[0], 4 * 6, now);
        assert_eq!(instance.named.len(), 6);
        for round in instance.named.chunks(3) {
            let all: Vec<SocketAddr> = round.iter().flat_map(|each| each.addresses.clone()).collect();
            assert_eq!(all.len(), 5);
            assert_eq!(BTreeSet::from_iter(all).len(), 5);
        }
    };
    an_entry_that_ceases_to_take_requests_is_named_no_more: |now| {
        let mut instance = Instance::new(control(0));
        instance.own = entries(&[1, 2, 3]);
        publish_alone(&mut instance, &[0], 8, now);
        instance.named.clear();
        instance.own = entries(&[1, 3]);
        publish_alone(&mut instance, &[0], 40, now);
        let named = by_zone(&instance.named);
        assert_eq!(named, BTreeMap::from([(zone(0), [1, 3].map(entry).into())]));
    };
    nobody_is_named_where_nobody_takes_requests: |now| {
        let mut instance = Instance::new(control(0));
        publish_alone(&mut instance, &[0, 1], 40, now);
        assert!(instance.named.is_empty());
    };
    the_first_entry_is_named_in_the_next_list: |now| {
        let mut instance = Instance::new(control(0));
        publish_alone(&mut instance, &[0], 3, now);
        instance.own = entries(&[1]);
        publish_alone(&mut instance, &[0], 1, now);
        assert_eq!(instance.named, [naming(0, &[1], false)]);
    };
    a_naming_names_entries_of_one_zone: |now| {
        let mut instance = Instance::new(control(0));
        instance.own = vec![(zone(0), entry(1)), (zone(1), entry(2)), (zone(1), entry(3))];
        publish_alone(&mut instance, &[0], 8, now);
        let known: Vec<_> = instance.named.iter().map(|each| each.addresses.len()).collect();
        assert_eq!(known, [1, 2]);
    };
    what_others_named_is_named_by_turns_with_the_own: |now| {
        let mut instance = Instance::new(control(0));
        instance.own = entries(&[1]);
        instance.registry.receive(now, control(1), list(naming(1, &[7], false)));
        instance.registry.receive(now, control(2), list(naming(2, &[8], false)));
        instance.follow();
        publish_alone(&mut instance, &[0, 1, 2], 4 * 4, now);
        let expected = [
            naming(0, &[1], false),
            naming(1, &[7], true),
            naming(0, &[1], false),
            naming(2, &[8], true),
        ];
        assert_eq!(instance.named, expected);
    };
    what_others_named_is_forgotten: |now: Instant| {
        let mut instance = Instance::new(control(0));
        instance.registry.receive(now, control(1), list(naming(1, &[7], false)));
        instance.follow();
        publish_alone(&mut instance, &[0, 1], 1, now + Duration::from_secs(9));
        assert_eq!(instance.named, [naming(1, &[7], true)]);
        publish_alone(&mut instance, &[0, 1], 40, now + Duration::from_secs(10));
        assert_eq!(instance.named.len(), 1);
    };
    a_naming_is_relayed_once: |now| {
        let mut instance = Instance::new(control(0));
        instance.registry.receive(now, control(1), list(naming(1, &[7], true)));
        publish_alone(&mut instance, &[0, 1], 40, now);
        assert!(instance.named.is_empty());
    };
    the_leaders_list_is_relayed_without_its_names: |now| {
        let mut instance = Instance::new(control(0));
        instance.registry.receive(now, control(1), list(naming(1, &[7], false)));
        let relayed = instance.pushes.try_recv().expect("the list");
        let Push::Relayed(Relayed { push, .. }) = relayed.push() else {
            panic!("not relayed");
        };
        let Push::Peers(peers) = &**push else {
            panic!("no list");
        };
        assert_eq!((peers.leader, &peers.neighbours), (Some(control(1)), &None));
    };
    a_new_follower_gets_the_last_names_at_once: |now| {
        let mut instance = Instance::new(control(0));
        instance.own = entries(&[1]);
        publish_alone(&mut instance, &[0], 3, now);
        let state = instance.registry.state_after_targets(true, now);
        let named = state.iter().find_map(|push| match push {
            Push::Peers(peers) => peers.neighbours.clone(),
            _ => None,
        });
        assert_eq!(named, Some(naming(0, &[1], false)));
    };
}

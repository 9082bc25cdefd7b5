//! Which entries a list of the processes names as taking requests of other entries.
//!
//! A list is sent to every follower twice a second, so that only some of them name entries, a few each
//! time: those that follow this instance and those that other instances have named, by turns. Only the
//! former are heard by other instances, so that nothing goes round.

use flamingo_wire::control::{Naming, Peers};
use flamingo_wire::id;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of entries that a list names.
const MAX_NAMED: usize = 2;
/// One of so many lists names entries.
const LISTS_PER_NAMING: usize = 4;
/// One of so many lists names entries, for each control instance, where entries follow all of them.
const LISTS_PER_NAMING_AND_INSTANCE: usize = 2;
/// Time after which what another instance named is named no more. Each names some of its followers
/// every four seconds.
const HEARD_TIMEOUT: Duration = Duration::from_secs(10);

/// An entry that takes requests of others, in the order in which an instance names them: by zone and by
/// a hash, so that instances with the same followers name different ones at a time.
type Place = (id::Zone, u64, SocketAddr);

/// Entries of one zone that another control instance has named.
#[derive(Debug)]
struct Heard {
    addresses: Vec<SocketAddr>,
    /// When they are named no more.
    expires: Instant,
}

/// Chooses the entries that the lists of this instance name.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    /// Lists that still name nobody.
    unnamed_left: usize,
    /// The follower of this instance that was named last.
    last_own: Option<Place>,
    /// The newest entries that other instances have named, by zone.
    heard: BTreeMap<id::Zone, Heard>,
    /// The zone whose entries were last named for another instance.
    last_zone: Option<id::Zone>,
    /// What the last list with names named; `None` once there is nobody to name.
    latest: Option<Naming>,
}

impl Rotation {
    /// Takes the names out of a list of another instance, which is relayed without them, and keeps those
    /// of its own followers.
    pub(super) fn hear(&mut self, peers: &mut Peers, now: Instant) {
        let Some(naming) = peers.neighbours.take() else {
            return;
        };
        if naming.relayed {
            return;
        }
        let heard = Heard {
            addresses: naming.addresses,
            expires: now + HEARD_TIMEOUT,
        };
        self.heard.insert(naming.zone, heard);
    }

    /// Sets the names of the next list of the instance at `instance`, whose followers `own` take requests.
    pub(super) fn name(
        &mut self,
        peers: &mut Peers,
        instance: SocketAddr,
        own: &[(id::Zone, SocketAddr)],
        now: Instant,
    ) {
        if self.unnamed_left > 0 {
            self.unnamed_left -= 1;
            return;
        }
        self.heard.retain(|_, heard| now < heard.expires);
        let own: BTreeSet<Place> = own.iter().map(|taker| place(instance, taker)).collect();
        let has_relays = has_relays(peers);
        let was_own = self.latest.as_ref().is_some_and(|latest| !latest.relayed);
        let named = if !has_relays {
            self.next_own(&own)
        } else if was_own {
            self.next_heard().or_else(|| self.next_own(&own))
        } else {
            self.next_own(&own).or_else(|| self.next_heard())
        };
        self.latest.clone_from(&named);
        if named.is_some() {
            self.unnamed_left = lists_per_naming(peers, has_relays) - 1;
        }
        peers.neighbours = named;
    }

    /// Returns what the last list with names named.
    pub(super) fn latest(&self) -> Option<Naming> {
        self.latest.clone()
    }

    /// Returns the next followers of this instance, all of one zone.
    fn next_own(&mut self, own: &BTreeSet<Place>) -> Option<Naming> {
        let after = own
            .iter()
            .find(|place| Some(*place) > self.last_own.as_ref());
        let first = after.or_else(|| own.first())?;
        let following = own.range(first..);
        let of_zone = following.take_while(|(zone, _, _)| *zone == first.0);
        let named: Vec<_> = of_zone.take(MAX_NAMED).collect();
        self.last_own = named.last().copied().cloned();
        Some(Naming {
            zone: first.0.clone(),
            addresses: named.into_iter().map(|(_, _, address)| *address).collect(),
            relayed: false,
        })
    }

    /// Returns what other instances named of the next zone.
    fn next_heard(&mut self) -> Option<Naming> {
        let mut zones = self.heard.iter();
        let after = zones.find(|(zone, _)| Some(*zone) > self.last_zone.as_ref());
        let (zone, heard) = after.or_else(|| self.heard.first_key_value())?;
        self.last_zone = Some(zone.clone());
        Some(Naming {
            zone: zone.clone(),
            addresses: heard.addresses.clone(),
            relayed: true,
        })
    }
}

/// Returns the place of an entry in the order in which the instance at `instance` names them.
fn place(instance: SocketAddr, (zone, address): &(id::Zone, SocketAddr)) -> Place {
    let mut hasher = DefaultHasher::new();
    (instance, address).hash(&mut hasher);
    (zone.clone(), hasher.finish(), *address)
}

/// Returns whether entries follow one instance, which relays what the others push: by `feeds` of
/// `flamingo-link`, where there are several zones.
fn has_relays(peers: &Peers) -> bool {
    let first = peers.zones.first();
    peers.zones.iter().any(|zone| Some(zone) != first)
}

/// Returns in how many lists one names entries, so that the names that an entry gets stay few where it
/// follows all instances.
fn lists_per_naming(peers: &Peers, has_relays: bool) -> usize {
    if has_relays {
        return LISTS_PER_NAMING;
    }
    LISTS_PER_NAMING.max(peers.controls.len() * LISTS_PER_NAMING_AND_INSTANCE)
}

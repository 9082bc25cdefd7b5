//! Exchanges that an entry starts by itself: probes, contact with other zones, reconnects
//! after partitions, and the fetching and spreading of configurations.

use crate::exchange::Purpose;
use crate::machine::{Action, Machine};
use flamingo_wire::announce::Availability;
use flamingo_wire::config::Snapshot;
use flamingo_wire::event::Event;
use flamingo_wire::gossip::{Peer, ZoneSummary};
use flamingo_wire::id;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two probes of members.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two probes while differences between members are being repaired.
const FAST_ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two exchanges with another zone.
pub(crate) const ZONE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two attempts to reach a seed or a dead member.
pub(crate) const RECONNECT_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of seeds contacted at once while no member is known.
const MAX_SEEDS: usize = 3;
/// Maximum number of members that are notified at once of a newer configuration version,
/// besides one contact in another zone.
const VERSION_FANOUT: usize = 3;

impl Machine {
    /// Starts the periodic exchanges that are due at `now`.
    pub(crate) fn run_periodic(&mut self, now: Instant) {
        if self.next_round <= now {
            self.next_round = now
                + if self.fast_rounds > 0 {
                    FAST_ROUND_INTERVAL
                } else {
                    ROUND_INTERVAL
                };
            self.fast_rounds = self.fast_rounds.saturating_sub(1);
            self.round(now);
        }
        if self.next_zone_exchange <= now {
            self.next_zone_exchange = now + ZONE_INTERVAL;
            self.exchange_with_zone(now);
        }
        if self.next_reconnect <= now {
            self.next_reconnect = now + RECONNECT_INTERVAL;
            self.send_summaries = true;
            self.reconnect(now);
        }
    }

    fn round(&mut self, now: Instant) {
        let Some(peer) = self.next_probe_target() else {
            for seed in self.choose(self.seeds.clone(), MAX_SEEDS) {
                self.sync(now, id::Node::new(), seed);
            }
            return;
        };
        let mut message = self.compose_with_digests(now);
        if std::mem::take(&mut self.send_summaries) {
            message.zones = self.zones.next_summaries();
        }
        self.send(now, &peer, Purpose::Probe, message);
    }

    /// Returns the next live member of a shuffled round over all members; `None` if no other
    /// member is live.
    fn next_probe_target(&mut self) -> Option<Peer> {
        if self.probe_order.is_empty() {
            let nodes = self.live().into_iter().map(|peer| peer.node).collect();
            self.probe_order = self.choose(nodes, usize::MAX);
        }
        while let Some(node) = self.probe_order.pop() {
            let record = self.members.get(&node);
            if let Some(record) = record.filter(|record| record.live()) {
                return Some(record.peer.clone());
            }
        }
        self.live().pop()
    }

    fn exchange_with_zone(&mut self, now: Instant) {
        let contacts = self.contacts();
        for peer in self.choose(contacts, 1) {
            let mut message = self.compose_with_digests(now);
            message.zones = self.summaries(now);
            self.send(now, &peer, Purpose::Sync, message);
        }
    }

    /// Contacts a random seed or dead member, so that the sides of a healed partition find
    /// each other.
    fn reconnect(&mut self, now: Instant) {
        let known: Vec<_> = self
            .members
            .live()
            .map(|record| record.peer.address)
            .collect();
        let mut lost: Vec<_> = self.seeds.clone();
        lost.extend(self.members.dead().map(|record| record.peer.address));
        lost.retain(|address| !known.contains(address));
        for address in self.choose(lost, 1) {
            self.sync(now, id::Node::new(), address);
        }
    }

    fn sync(&mut self, now: Instant, to: id::Node, address: SocketAddr) {
        let mut message = self.compose_with_digests(now);
        message.zones = self.summaries(now);
        self.send_to(now, to, address, Purpose::Sync, message);
    }

    /// Requests a newer configuration from a process that has one, if a request is due.
    pub(crate) fn fetch(&mut self, now: Instant) {
        if !self.configuration.should_fetch(now) {
            return;
        }
        let version = self.configuration.newest_received();
        let mut candidates = self.live();
        candidates.extend(self.contacts());
        candidates.retain(|peer| peer.version > version);
        if candidates.is_empty() {
            self.configuration.stop_fetching();
        }
        for candidate in self.choose(candidates, 1) {
            let mut message = self.compose();
            message.fetch = Some(version);
            self.send(now, &candidate, Purpose::OneWay, message);
        }
    }

    /// Accepts a received configuration and puts it in force if it is newer.
    pub(crate) fn install(&mut self, now: Instant, snapshot: &Snapshot) {
        if let Some(snapshot) = self.configuration.receive(now, snapshot) {
            self.put_in_force(now, snapshot);
        }
    }

    /// Puts the first configuration after the start in force, once other processes had time
    /// to announce a newer one.
    pub(crate) fn release_pending(&mut self, now: Instant) {
        if let Some(snapshot) = self.configuration.release_pending(now) {
            self.put_in_force(now, snapshot);
        }
    }

    fn put_in_force(&mut self, now: Instant, snapshot: Box<Snapshot>) {
        let version = snapshot.version;
        self.members.set_version(version);
        self.actions.push(Action::Emit(Event::Config(snapshot)));
        let mut behind = self.live();
        behind.retain(|peer| peer.version < version);
        let mut chosen = self.choose(behind, VERSION_FANOUT);
        let mut foreign = self.contacts();
        foreign.retain(|peer| peer.version < version);
        chosen.extend(self.choose(foreign, 1));
        for peer in chosen {
            let message = self.compose();
            self.send(now, &peer, Purpose::OneWay, message);
        }
    }

    /// Returns the summary of this zone and some of the known summaries of other zones.
    pub(crate) fn summaries(&mut self, now: Instant) -> Vec<ZoneSummary> {
        let me = self.members.me().clone();
        let elapsed = now.saturating_duration_since(self.started).as_millis();
        let own = self
            .table
            .present()
            .filter(|record| record.announcement.zone == me.zone);
        let serving =
            own.filter(|record| record.announcement.availability == Availability::Serving);
        let running: Vec<_> = serving
            .map(|record| record.announcement.load.running)
            .collect();
        let mut contacts = self.live();
        contacts.push(me.clone());
        let summary = ZoneSummary {
            sent_at_ms: me.incarnation + u64::try_from(elapsed).unwrap_or(u64::MAX),
            entries: u32::try_from(contacts.len()).unwrap_or(u32::MAX),
            targets: u32::try_from(running.len()).unwrap_or(u32::MAX),
            running: running.iter().sum(),
            version: self.configuration.version(),
            contacts: self.choose(contacts, 2),
            zone: me.zone,
        };
        let mut all = self.zones.next_summaries();
        all.push(summary);
        all
    }
}

//! The exchanges that a machine makes by itself.

use crate::exchange::Purpose;
use crate::machine::{Action, Machine};
use flamingo_wire::announce::Standing;
use flamingo_wire::config::Snapshot;
use flamingo_wire::event::Event;
use flamingo_wire::gossip::{Peer, Summary};
use flamingo_wire::id;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two regular exchanges.
pub const ROUND: Duration = Duration::from_millis(500);
/// Time between two regular exchanges while differences are being repaired.
const FAST: Duration = Duration::from_millis(250);
/// Time between two exchanges with another zone.
pub(crate) const FOREIGN: Duration = Duration::from_secs(2);
/// Time between two tries to reach a seed or a dead member.
pub(crate) const HEAL: Duration = Duration::from_secs(10);
/// Seeds that are tried at once while no member is known.
const SEEDS: usize = 3;
/// Members to which a newer configuration version is told at once, besides one
/// contact in another zone.
const NOTICE: usize = 3;

impl Machine {
    /// Makes the regular exchanges.
    pub(crate) fn rounds(&mut self, now: Instant) {
        if self.next_round <= now {
            self.next_round = now + if self.fast > 0 { FAST } else { ROUND };
            self.fast = self.fast.saturating_sub(1);
            self.round(now);
        }
        if self.next_foreign <= now {
            self.next_foreign = now + FOREIGN;
            self.exchange_foreign(now);
        }
        if self.next_heal <= now {
            self.next_heal = now + HEAL;
            self.tell_zones = true;
            self.exchange_lost(now);
        }
    }

    fn round(&mut self, now: Instant) {
        let Some(peer) = self.next_turn() else {
            for seed in self.choose(self.seeds.clone(), SEEDS) {
                self.sync(now, id::Node::new(), seed);
            }
            return;
        };
        let mut message = self.compose_asking(now);
        if std::mem::take(&mut self.tell_zones) {
            message.zones = self.zones.tell();
        }
        self.send(now, &peer, Purpose::Probe, message);
    }

    /// Returns the next live member of a shuffled walk over all.
    fn next_turn(&mut self) -> Option<Peer> {
        if self.turns.is_empty() {
            let nodes = self.live().into_iter().map(|peer| peer.node).collect();
            self.turns = self.choose(nodes, usize::MAX);
        }
        while let Some(node) = self.turns.pop() {
            let record = self.members.get(&node);
            if let Some(record) = record.filter(|record| record.live()) {
                return Some(record.peer.clone());
            }
        }
        self.live().pop()
    }

    fn exchange_foreign(&mut self, now: Instant) {
        let contacts = self.contacts();
        for peer in self.choose(contacts, 1) {
            let mut message = self.compose_asking(now);
            message.zones = self.summaries(now);
            self.send(now, &peer, Purpose::Sync, message);
        }
    }

    /// Tries a seed or a dead member, so that parts that were cut find each other.
    fn exchange_lost(&mut self, now: Instant) {
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
        let mut message = self.compose_asking(now);
        message.zones = self.summaries(now);
        self.send_to(now, to, address, Purpose::Sync, message);
    }

    /// Asks a member that holds a newer configuration for it.
    pub(crate) fn fetch(&mut self, now: Instant) {
        if !self.source.ask(now) {
            return;
        }
        let version = self.source.given();
        let mut holders = self.live();
        holders.extend(self.contacts());
        holders.retain(|peer| peer.version > version);
        if holders.is_empty() {
            self.source.rest();
        }
        for holder in self.choose(holders, 1) {
            let mut message = self.compose();
            message.fetch = Some(version);
            self.send(now, &holder, Purpose::Plain, message);
        }
    }

    /// Takes a configuration, and puts it in force if it is newer.
    pub(crate) fn install(&mut self, now: Instant, snapshot: &Snapshot) {
        if let Some(snapshot) = self.source.take(now, snapshot) {
            self.enforce(now, snapshot);
        }
    }

    /// Puts the first configuration in force once others had time to tell of a
    /// newer one.
    pub(crate) fn release(&mut self, now: Instant) {
        if let Some(snapshot) = self.source.release(now) {
            self.enforce(now, snapshot);
        }
    }

    fn enforce(&mut self, now: Instant, snapshot: Box<Snapshot>) {
        let version = snapshot.version;
        self.members.version(version);
        self.actions.push(Action::Emit(Event::Config(snapshot)));
        let mut behind = self.live();
        behind.retain(|peer| peer.version < version);
        let mut chosen = self.choose(behind, NOTICE);
        let mut abroad = self.contacts();
        abroad.retain(|peer| peer.version < version);
        chosen.extend(self.choose(abroad, 1));
        for peer in chosen {
            let message = self.compose();
            self.send(now, &peer, Purpose::Plain, message);
        }
    }

    /// Returns what this zone says of itself, and what it knows of others.
    pub(crate) fn summaries(&mut self, now: Instant) -> Vec<Summary> {
        let me = self.members.me().clone();
        let elapsed = now.saturating_duration_since(self.started).as_millis();
        let own = self
            .table
            .present()
            .filter(|record| record.announcement.zone == me.zone);
        let serving = own.filter(|record| record.announcement.standing == Standing::Serving);
        let running: Vec<_> = serving
            .map(|record| record.announcement.load.running)
            .collect();
        let mut contacts = self.live();
        contacts.push(me.clone());
        let summary = Summary {
            stamp: me.incarnation + u64::try_from(elapsed).unwrap_or(u64::MAX),
            entries: u32::try_from(contacts.len()).unwrap_or(u32::MAX),
            targets: u32::try_from(running.len()).unwrap_or(u32::MAX),
            running: running.iter().sum(),
            version: self.source.version(),
            contacts: self.choose(contacts, 2),
            zone: me.zone,
        };
        let mut all = self.zones.tell();
        all.push(summary);
        all
    }
}

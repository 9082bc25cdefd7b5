//! What is known of other availability zones: a summary and some contacts each.

use flamingo_wire::gossip::{Peer, ZoneSummary};
use flamingo_wire::id;
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// Contacts kept for one zone.
pub const CONTACTS: usize = 3;
/// Zones known at most; more are refused.
pub const ZONES: usize = 64;
/// Summaries in one message.
pub const SUMMARIES: usize = 4;

/// What is known of one zone.
#[derive(Debug, Default)]
struct Record {
    summary: Option<ZoneSummary>,
    contacts: SmallVec<[Peer; CONTACTS]>,
}

/// The other zones as one entry knows them.
#[derive(Debug, Default)]
pub struct Zones {
    known: BTreeMap<id::Zone, Record>,
    cursor: usize,
}

impl Zones {
    /// Takes a summary; an older one changes nothing.
    pub fn take(&mut self, summary: &ZoneSummary) {
        let Some(record) = self.record(&summary.zone) else {
            return;
        };
        let newest = record.summary.as_ref().map_or(0, |known| known.sent_at_ms);
        if summary.sent_at_ms <= newest {
            return;
        }
        record.summary = Some(summary.clone());
        if record.contacts.is_empty() {
            record.contacts = summary.contacts.iter().take(CONTACTS).cloned().collect();
        }
    }

    /// Notes a process of another zone that speaks to this one.
    pub fn hear(&mut self, peer: &Peer) {
        let Some(record) = self.record(&peer.zone) else {
            return;
        };
        record.contacts.retain(|known| known.node != peer.node);
        record.contacts.insert(0, peer.clone());
        record.contacts.truncate(CONTACTS);
    }

    /// Forgets a contact that does not answer; the last of a zone is kept.
    pub fn lose(&mut self, node: &str) {
        for record in self.known.values_mut() {
            if record.contacts.len() > 1 {
                record.contacts.retain(|known| known.node != node);
            }
        }
    }

    /// Returns one contact of each zone; `pick` chooses among as many as given.
    pub fn contacts(&self, mut pick: impl FnMut(usize) -> usize) -> Vec<Peer> {
        let zones = self
            .known
            .values()
            .filter(|record| !record.contacts.is_empty());
        zones
            .map(|record| record.contacts[pick(record.contacts.len())].clone())
            .collect()
    }

    /// Returns the summaries of the next message.
    pub fn tell(&mut self) -> Vec<ZoneSummary> {
        let all: Vec<_> = self.summaries().cloned().collect();
        if all.is_empty() {
            return all;
        }
        self.cursor = (self.cursor + SUMMARIES) % all.len();
        let turn = all.iter().cycle().skip(self.cursor);
        turn.take(SUMMARIES.min(all.len())).cloned().collect()
    }

    /// Returns the summaries of all other zones.
    pub fn summaries(&self) -> impl Iterator<Item = &ZoneSummary> {
        let known = self.known.values();
        known.filter_map(|record| record.summary.as_ref())
    }

    fn record(&mut self, zone: &str) -> Option<&mut Record> {
        if !self.known.contains_key(zone) && self.known.len() >= ZONES {
            return None;
        }
        Some(self.known.entry(zone.to_owned()).or_default())
    }
}

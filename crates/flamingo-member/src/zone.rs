//! Other availability zones: a summary of each and some of its entries to contact.

use flamingo_wire::gossip::{Peer, ZoneSummary};
use flamingo_wire::id;
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// Maximum number of contacts kept for one zone.
pub const MAX_CONTACTS: usize = 3;
/// Maximum number of known zones; further zones are ignored.
pub const MAX_ZONES: usize = 64;
/// Maximum number of summaries of other zones in one message.
pub const MAX_SUMMARIES: usize = 4;

/// Newest summary and contacts of one zone.
#[derive(Debug, Default)]
struct Record {
    summary: Option<ZoneSummary>,
    contacts: SmallVec<[Peer; MAX_CONTACTS]>,
}

/// The other zones as one entry sees them.
#[derive(Debug, Default)]
pub struct Zones {
    known: BTreeMap<id::Zone, Record>,
    cursor: usize,
}

impl Zones {
    /// Applies a summary if it is newer than the known one of its zone.
    pub fn apply(&mut self, summary: &ZoneSummary) {
        let Some(record) = self.record(&summary.zone) else {
            return;
        };
        let newest = record.summary.as_ref().map_or(0, |known| known.sent_at_ms);
        if summary.sent_at_ms <= newest {
            return;
        }
        record.summary = Some(summary.clone());
        if record.contacts.is_empty() {
            record.contacts = summary
                .contacts
                .iter()
                .take(MAX_CONTACTS)
                .cloned()
                .collect();
        }
    }

    /// Records a process of another zone that sent a message, as the preferred contact.
    pub fn record_contact(&mut self, peer: &Peer) {
        let Some(record) = self.record(&peer.zone) else {
            return;
        };
        record.contacts.retain(|known| known.node != peer.node);
        record.contacts.insert(0, peer.clone());
        record.contacts.truncate(MAX_CONTACTS);
    }

    /// Removes a contact that did not answer, unless it is the last one of its zone.
    pub fn remove_contact(&mut self, node: &str) {
        for record in self.known.values_mut() {
            if record.contacts.len() > 1 {
                record.contacts.retain(|known| known.node != node);
            }
        }
    }

    /// Returns one contact of each zone; `pick` gets the number of contacts and returns the
    /// index of the one to use.
    pub fn contacts(&self, mut pick: impl FnMut(usize) -> usize) -> Vec<Peer> {
        let zones = self
            .known
            .values()
            .filter(|record| !record.contacts.is_empty());
        zones
            .map(|record| record.contacts[pick(record.contacts.len())].clone())
            .collect()
    }

    /// Returns the summaries for the next message; successive calls rotate through all zones.
    pub fn next_summaries(&mut self) -> Vec<ZoneSummary> {
        let all: Vec<_> = self.summaries().cloned().collect();
        if all.is_empty() {
            return all;
        }
        self.cursor = (self.cursor + MAX_SUMMARIES) % all.len();
        let rotated = all.iter().cycle().skip(self.cursor);
        rotated
            .take(MAX_SUMMARIES.min(all.len()))
            .cloned()
            .collect()
    }

    /// Iterates over the known summaries of other zones.
    pub fn summaries(&self) -> impl Iterator<Item = &ZoneSummary> {
        let known = self.known.values();
        known.filter_map(|record| record.summary.as_ref())
    }

    fn record(&mut self, zone: &str) -> Option<&mut Record> {
        if !self.known.contains_key(zone) && self.known.len() >= MAX_ZONES {
            return None;
        }
        Some(self.known.entry(zone.to_owned()).or_default())
    }
}

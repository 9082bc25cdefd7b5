//! The log in memory: a snapshot and the entries after it.

use crate::entry::{Cluster, Entry, Member, Payload, Snapshot};
use flamingo_wire::id;
use std::sync::Arc;

/// A member list and the index from which it holds.
#[derive(Debug)]
struct Roster {
    index: id::Index,
    members: Vec<Member>,
}

/// The log in memory.
#[derive(Debug)]
pub struct Journal {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
    rosters: Vec<Roster>,
}

impl Journal {
    /// Builds the log from what the disk held.
    pub fn new(snapshot: Arc<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut journal = Self {
            snapshot,
            entries: Vec::new(),
            rosters: Vec::new(),
        };
        journal.reset();
        for entry in entries {
            journal.push(entry);
        }
        journal
    }

    fn reset(&mut self) {
        self.entries.clear();
        self.rosters = vec![Roster {
            index: self.snapshot.index,
            members: self.snapshot.members.clone(),
        }];
    }

    /// Returns the group of members; 0 where none was formed.
    pub fn cluster(&self) -> Cluster {
        self.snapshot.cluster
    }

    /// Returns the last index that the snapshot covers.
    pub fn base(&self) -> id::Index {
        self.snapshot.index
    }

    /// Returns the snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the last index.
    pub fn last(&self) -> id::Index {
        self.base() + self.entries.len() as u64
    }

    /// Returns the term of the entry at `index`, if it is held.
    pub fn term(&self, index: id::Index) -> Option<id::Term> {
        if index == self.base() {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> id::Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    fn entry(&self, index: id::Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` to `last`.
    pub fn range(&self, first: id::Index, last: id::Index) -> Vec<Entry> {
        (first..=last)
            .filter_map(|index| self.entry(index).cloned())
            .collect()
    }

    /// Returns entries from `first` on, of at most about `bytes` bytes.
    pub fn batch(&self, first: id::Index, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut batch = Vec::new();
        for index in first..=self.last() {
            let Some(entry) = self.entry(index) else {
                break;
            };
            size += weight(entry);
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.rosters.push(Roster {
                index: entry.index,
                members: members.clone(),
            });
        }
        self.entries.push(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub fn cut(&mut self, index: id::Index) {
        let keep = index.saturating_sub(self.base() + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.rosters.retain(|roster| roster.index < index);
    }

    /// Returns the member list in force: the last of the log, committed or not.
    pub fn members(&self) -> &[Member] {
        self.rosters.last().map_or(&[], |roster| &roster.members)
    }

    /// Returns the index from which the member list holds.
    pub fn roster_index(&self) -> id::Index {
        self.rosters.last().map_or(0, |roster| roster.index)
    }

    /// Puts a snapshot of the state in place of the entries up to `index`.
    pub fn compact(&mut self, index: id::Index, data: Vec<u8>) -> Arc<Snapshot> {
        let at = self
            .rosters
            .iter()
            .rposition(|roster| roster.index <= index);
        let members = at.map(|at| self.rosters[at].members.clone());
        let snapshot = Arc::new(Snapshot {
            cluster: self.cluster(),
            index,
            term: self.term(index).unwrap_or_default(),
            members: members.unwrap_or_default(),
            data,
        });
        let drop = usize::try_from(index - self.base()).unwrap_or(usize::MAX);
        self.entries.drain(..drop.min(self.entries.len()));
        if let Some(at) = at {
            self.rosters.drain(..at);
        }
        self.snapshot = Arc::clone(&snapshot);
        snapshot
    }

    /// Takes a snapshot of another member, and keeps the entries that follow it.
    pub fn restore(&mut self, snapshot: Arc<Snapshot>) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            let kept = self.range(snapshot.index + 1, self.last());
            *self = Self::new(snapshot, kept);
            return;
        }
        self.snapshot = snapshot;
        self.reset();
    }
}

/// Returns about how many bytes an entry takes.
fn weight(entry: &Entry) -> usize {
    /// Bytes of index, term and framing.
    const FRAME: usize = 32;
    match &entry.payload {
        Payload::Empty => FRAME,
        Payload::Command(bytes) => FRAME + bytes.len(),
        Payload::Members(members) => FRAME * (1 + members.len() * 3),
    }
}

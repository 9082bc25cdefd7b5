//! The log in memory: the newest snapshot and the entries after it.

use crate::entry::{Cluster, Entry, Member, Payload, Snapshot};
use flamingo_wire::id;
use std::sync::Arc;

/// A member list and the index from which it is in force.
#[derive(Debug)]
struct MemberList {
    index: id::Index,
    members: Vec<Member>,
}

/// The log in memory, with every member list that it contains.
#[derive(Debug)]
pub struct Journal {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
    member_lists: Vec<MemberList>,
}

impl Journal {
    /// Creates the log from the records that the disk held.
    pub fn new(snapshot: Arc<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut journal = Self {
            snapshot,
            entries: Vec::new(),
            member_lists: Vec::new(),
        };
        journal.reset();
        for entry in entries {
            journal.push(entry);
        }
        journal
    }

    fn reset(&mut self) {
        self.entries.clear();
        self.member_lists = vec![MemberList {
            index: self.snapshot.index,
            members: self.snapshot.members.clone(),
        }];
    }

    /// Returns the identity of the group of members, 0 where none was formed.
    pub fn cluster(&self) -> Cluster {
        self.snapshot.cluster
    }

    /// Returns the last index that the snapshot covers.
    pub fn snapshot_index(&self) -> id::Index {
        self.snapshot.index
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the index of the last entry, or of the snapshot where no entry follows it.
    pub fn last_index(&self) -> id::Index {
        self.snapshot_index() + self.entries.len() as u64
    }

    /// Returns the term of the entry at `index`; `None` where the entry is compacted or
    /// absent.
    pub fn term(&self, index: id::Index) -> Option<id::Term> {
        if index == self.snapshot_index() {
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
        let offset = index.checked_sub(self.snapshot_index() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` to `last`, without those that are compacted or
    /// absent.
    pub fn range(&self, first: id::Index, last: id::Index) -> Vec<Entry> {
        (first..=last)
            .filter_map(|index| self.entry(index).cloned())
            .collect()
    }

    /// Returns entries from `first` on, of at most about `bytes` bytes but at least one.
    pub fn batch(&self, first: id::Index, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut batch = Vec::new();
        for index in first..=self.last_index() {
            let Some(entry) = self.entry(index) else {
                break;
            };
            size += approximate_size(entry);
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Appends an entry; the caller gives it the index after the last.
    pub fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.member_lists.push(MemberList {
                index: entry.index,
                members: members.clone(),
            });
        }
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub fn truncate_from(&mut self, index: id::Index) {
        let remaining = index.saturating_sub(self.snapshot_index() + 1);
        self.entries
            .truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
        self.member_lists.retain(|list| list.index < index);
    }

    /// Returns the last member list of the log, which is in force whether or not it is
    /// committed.
    pub fn members(&self) -> &[Member] {
        self.member_lists.last().map_or(&[], |list| &list.members)
    }

    /// Returns the index of the entry that holds the last member list.
    pub fn members_index(&self) -> id::Index {
        self.member_lists.last().map_or(0, |list| list.index)
    }

    /// Replaces the entries up to `index` by a snapshot with the encoded state `data`.
    pub fn compact(&mut self, index: id::Index, data: Vec<u8>) -> Arc<Snapshot> {
        let at = self
            .member_lists
            .iter()
            .rposition(|list| list.index <= index);
        let members = at.map(|at| self.member_lists[at].members.clone());
        let snapshot = Arc::new(Snapshot {
            cluster: self.cluster(),
            index,
            term: self.term(index).unwrap_or_default(),
            members: members.unwrap_or_default(),
            data,
        });
        let covered = usize::try_from(index - self.snapshot_index()).unwrap_or(usize::MAX);
        self.entries.drain(..covered.min(self.entries.len()));
        if let Some(at) = at {
            self.member_lists.drain(..at);
        }
        self.snapshot = Arc::clone(&snapshot);
        snapshot
    }

    /// Installs a snapshot of the leader. Entries after it stay only where the log has the
    /// same entry at the snapshot's index.
    pub fn restore(&mut self, snapshot: Arc<Snapshot>) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            let kept = self.range(snapshot.index + 1, self.last_index());
            *self = Self::new(snapshot, kept);
            return;
        }
        self.snapshot = snapshot;
        self.reset();
    }
}

/// Returns the approximate encoded size of an entry, in bytes.
fn approximate_size(entry: &Entry) -> usize {
    /// Approximate size of index, term and encoding, in bytes.
    const FRAMING_BYTES: usize = 32;
    match &entry.payload {
        Payload::Empty => FRAMING_BYTES,
        Payload::Command(bytes) => FRAMING_BYTES + bytes.len(),
        Payload::Members(members) => FRAMING_BYTES * (1 + members.len() * 3),
    }
}

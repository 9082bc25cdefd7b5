//! Heartbeats, entries, snapshots and their acknowledgement.

use super::{Action, Partial, Raft, Standing};
use crate::entry::{Cluster, Record, Snapshot, Storage};
use crate::message::{Append, Body, Chunk, Fit, Round};
use flamingo_wire::id;
use std::sync::Arc;
use std::time::Instant;

/// Bytes of entries in one message.
const BATCH: usize = 256 * 1024;
/// Bytes of a snapshot in one message.
const CHUNK: usize = 256 * 1024;
/// Bytes of a snapshot that a member takes at most.
const LARGEST: u64 = 256 * 1024 * 1024;

impl Raft {
    /// Sends a heartbeat to everyone.
    pub(super) fn beat(&mut self, now: Instant) {
        self.deadline = now + self.timing.heartbeat;
        if let Standing::Leader(leader) = &mut self.standing {
            leader.beat(now);
        }
        self.spread(true);
        self.advance(now);
        self.tend(now);
    }

    /// Sends what the others lack; a heartbeat goes to each in any case.
    pub(super) fn spread(&mut self, beat: bool) {
        let Standing::Leader(leader) = &self.standing else {
            return;
        };
        let nodes: Vec<_> = leader.peers.keys().cloned().collect();
        for node in nodes {
            self.feed(&node, beat);
        }
    }

    /// Sends to one member what it lacks.
    fn feed(&mut self, node: &str, beat: bool) {
        let last = self.journal.last();
        let base = self.journal.base();
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        let round = leader.round;
        let Some(peer) = leader.peers.get_mut(node) else {
            return;
        };
        if peer.storage == 0 {
            return;
        }
        if beat {
            peer.paused = false;
        }
        if peer.next <= base {
            if beat || !peer.paused {
                peer.paused = true;
                self.chunk(node, round);
            }
            return;
        }
        let lacks = peer.next <= last;
        if !(beat || lacks && peer.ready()) {
            return;
        }
        let storage = peer.storage;
        let prev = peer.next - 1;
        let mut entries = Vec::new();
        if lacks && peer.ready() {
            entries = self.journal.batch(peer.next, BATCH);
            if peer.streaming {
                peer.next += entries.len() as u64;
                peer.inflight.push_back(peer.next - 1);
            } else {
                peer.paused = true;
            }
        }
        let more = peer.streaming && peer.next <= last && peer.ready();
        let append = Append {
            prev_index: prev,
            prev_term: self.journal.term(prev).unwrap_or_default(),
            entries,
            commit: self.commit,
            round,
        };
        self.send(node, storage, Body::Append(append));
        if more {
            self.feed(node, false);
        }
    }

    /// Sends the next chunk of the snapshot.
    fn chunk(&mut self, node: &str, round: Round) {
        let snapshot = Arc::clone(self.journal.snapshot());
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(node) else {
            return;
        };
        if peer.installing != snapshot.index {
            peer.installing = snapshot.index;
            peer.offset = 0;
        }
        let storage = peer.storage;
        let start = usize::try_from(peer.offset).unwrap_or(usize::MAX);
        let start = start.min(snapshot.data.len());
        let end = snapshot.data.len().min(start + CHUNK);
        let chunk = Chunk {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
            offset: start as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[start..end].to_vec(),
            round,
        };
        self.send(node, storage, Body::Install(chunk));
    }

    /// Takes a leader's heartbeat and entries.
    pub(super) fn append(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        term: id::Term,
        append: Append,
    ) {
        let round = append.round;
        if term < self.vote.term {
            // Tells a deposed leader of the higher term.
            let fit = Fit::Missing(self.journal.last());
            self.send(from, storage, Body::Appended { round, fit });
            return;
        }
        if !self.formed() {
            let fit = Fit::Missing(0);
            self.send(from, storage, Body::Appended { round, fit });
            return;
        }
        self.obey(now, from);
        if let Some(hint) = self.misfit(append.prev_index, append.prev_term) {
            let fit = Fit::Missing(hint);
            self.promise(from, storage, Body::Appended { round, fit });
            return;
        }
        let matched = append.prev_index + append.entries.len() as u64;
        for entry in append.entries {
            let held = self.journal.term(entry.index);
            if entry.index <= self.journal.base() || held == Some(entry.term) {
                continue;
            }
            if held.is_some() {
                self.journal.cut(entry.index);
            }
            self.journal.push(entry.clone());
            self.write(Record::Entry(entry));
        }
        self.commit_to(append.commit.min(matched));
        let fit = Fit::Matched(matched);
        self.promise(from, storage, Body::Appended { round, fit });
    }

    /// Follows the leader that was just heard.
    fn obey(&mut self, now: Instant, from: &str) {
        let known =
            matches!(self.standing, Standing::Follower) && self.leader.as_deref() == Some(from);
        if known {
            self.rest(now);
        } else {
            self.follow(now, Some(from.to_owned()));
        }
        self.loyal = now + self.timing.election;
    }

    /// Returns after which index to go on, where the log does not fit there.
    fn misfit(&self, index: id::Index, term: id::Term) -> Option<id::Index> {
        if index < self.journal.base() {
            return None;
        }
        let Some(held) = self.journal.term(index) else {
            return Some(self.journal.last());
        };
        if held == term {
            return None;
        }
        // Skips the whole term that differs.
        let mut hint = index - 1;
        while hint > self.commit && self.journal.term(hint) == Some(held) {
            hint -= 1;
        }
        Some(hint)
    }

    /// Takes a chunk of a snapshot.
    pub(super) fn install(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        cluster: Cluster,
        term: id::Term,
        chunk: Chunk,
    ) {
        if term < self.vote.term || chunk.total > LARGEST {
            return;
        }
        self.obey(now, from);
        let (round, index) = (chunk.round, chunk.index);
        let offset = self.collect(cluster, chunk);
        let done = self.journal.base() >= index && self.formed();
        let body = Body::Installed {
            round,
            index,
            offset,
            done,
        };
        self.promise(from, storage, body);
    }

    /// Adds a chunk; returns how many bytes of the snapshot are held.
    fn collect(&mut self, cluster: Cluster, chunk: Chunk) -> u64 {
        if self.formed() && chunk.index <= self.commit {
            return chunk.total;
        }
        let (index, term) = (chunk.index, chunk.term);
        let same = |partial: &Partial| partial.index == index && partial.term == term;
        let mut partial = self.partial.take().filter(same).unwrap_or(Partial {
            index,
            term,
            data: Vec::new(),
        });
        if chunk.offset == partial.data.len() as u64 {
            partial.data.extend(chunk.data);
        }
        let held = partial.data.len() as u64;
        if held < chunk.total {
            self.partial = Some(partial);
            return held;
        }
        let snapshot = Arc::new(Snapshot {
            cluster,
            index,
            term,
            members: chunk.members,
            data: partial.data,
        });
        self.journal.restore(Arc::clone(&snapshot));
        self.commit = index;
        self.write(Record::Snapshot(Arc::clone(&snapshot)));
        self.out.push(Action::Restore(snapshot));
        held
    }

    /// Takes a follower's answer to a heartbeat.
    pub(super) fn appended(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        term: id::Term,
        round: Round,
        fit: Fit,
    ) {
        let own = self.vote.term;
        let Some(leader) = self.peer_of(from, storage) else {
            return;
        };
        if term != own {
            return;
        }
        leader.heard(from, round);
        let Some(peer) = leader.peers.get_mut(from) else {
            return;
        };
        match fit {
            Fit::Matched(index) => {
                peer.matched = peer.matched.max(index);
                peer.next = peer.next.max(peer.matched + 1);
                peer.streaming = true;
                peer.paused = false;
                let matched = peer.matched;
                peer.inflight.retain(|last| *last > matched);
            }
            Fit::Missing(index) => peer.probe(index.min(peer.next.saturating_sub(2))),
        }
        self.advance(now);
        self.feed(from, false);
    }

    /// Takes a follower's answer to a chunk.
    #[allow(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn installed(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        term: id::Term,
        round: Round,
        index: id::Index,
        offset: u64,
        done: bool,
    ) {
        // Rounds begin anew with each leadership.
        if term != self.vote.term {
            return;
        }
        let Some(leader) = self.peer_of(from, storage) else {
            return;
        };
        leader.heard(from, round);
        let Some(peer) = leader.peers.get_mut(from) else {
            return;
        };
        if peer.installing != index {
            return;
        }
        if done {
            peer.matched = peer.matched.max(index);
            peer.probe(index);
        } else if offset != peer.offset {
            peer.offset = offset;
            peer.paused = false;
        }
        self.feed(from, false);
        self.advance(now);
    }

    /// Returns the leader's part, if `from` stands in the list under `storage`.
    fn peer_of(&mut self, from: &str, storage: Storage) -> Option<&mut super::Leader> {
        let Standing::Leader(leader) = &mut self.standing else {
            return None;
        };
        let peer = leader.peers.get(from)?;
        (peer.storage == storage).then_some(leader)
    }

    /// Commits what a majority holds, of this term.
    pub(super) fn advance(&mut self, now: Instant) {
        let own = self.member(&self.node).is_some_and(|member| member.votes);
        let Standing::Leader(leader) = &self.standing else {
            return;
        };
        let voters = leader.peers.values().filter(|peer| peer.votes);
        let mut held: Vec<_> = voters.map(|peer| peer.matched).collect();
        if own {
            held.push(leader.durable);
        }
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = held.get(self.majority() - 1).copied() else {
            return;
        };
        if index > self.commit && self.journal.term(index) == Some(self.vote.term) {
            self.commit_to(index);
            self.settle(now);
        }
    }
}

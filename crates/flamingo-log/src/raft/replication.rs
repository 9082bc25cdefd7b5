//! Replication: heartbeats, entries and snapshots from the leader, and their
//! acknowledgements.

use super::{Action, PartialSnapshot, Raft, RoleState};
use crate::entry::{Cluster, Record, Snapshot, Storage};
use crate::message::{Append, Body, LogMatch, Round, Silence, SnapshotChunk};
use flamingo_wire::id;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Size of the entries in one message, in bytes; a single larger entry goes alone.
const BATCH_BYTES: usize = 256 * 1024;
/// Size of one chunk of a snapshot, in bytes.
const CHUNK_BYTES: usize = 256 * 1024;
/// Largest snapshot that a member accepts, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 256 * 1024 * 1024;
/// Time without a sync for which a member tells the leader that it hears it. A disk that takes longer counts as
/// broken: the member falls silent, and may lose its vote after another [`voter_timeout`](crate::Timing).
const MAX_SYNC_TIME: Duration = Duration::from_secs(3);

impl Raft {
    /// Sends a heartbeat to every other member.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        self.next_action_at = now + self.timing.heartbeat;
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.start_heartbeat(now, self.timing.election);
        }
        self.replicate(true);
        self.advance_commit(now);
        self.advance_membership(now);
    }

    /// Sends missing entries or snapshot chunks to every other member; with `heartbeat`
    /// each of them gets a message even if it misses nothing.
    pub(super) fn replicate(&mut self, heartbeat: bool) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let nodes: Vec<_> = leader.peers.keys().cloned().collect();
        for node in nodes {
            self.replicate_to(&node, heartbeat);
        }
    }

    /// Sends missing entries or the next snapshot chunk to one member.
    fn replicate_to(&mut self, node: &str, heartbeat: bool) {
        let last = self.journal.last_index();
        let base = self.journal.snapshot_index();
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let round = leader.round;
        let silences = leader.silences().to_vec();
        let Some(peer) = leader.peers.get_mut(node) else {
            return;
        };
        if peer.storage == 0 {
            return;
        }
        if heartbeat {
            peer.paused = false;
        }
        if peer.next_index <= base {
            if heartbeat || !peer.paused {
                peer.paused = true;
                self.send_snapshot_chunk(node, round);
            }
            return;
        }
        let has_missing_entries = peer.next_index <= last;
        if !(heartbeat || has_missing_entries && peer.ready()) {
            return;
        }
        let storage = peer.storage;
        let prev = peer.next_index - 1;
        let mut entries = Vec::new();
        if has_missing_entries && peer.ready() {
            entries = self.journal.batch(peer.next_index, BATCH_BYTES);
            if peer.streaming {
                peer.next_index += entries.len() as u64;
                peer.inflight.push_back(peer.next_index - 1);
            } else {
                peer.paused = true;
            }
        }
        let more = peer.streaming && peer.next_index <= last && peer.ready();
        let append = Append {
            prev_index: prev,
            prev_term: self.journal.term(prev).unwrap_or_default(),
            entries,
            commit: self.commit_index,
            round,
            silences,
        };
        self.send(node, storage, Body::Append(append));
        if more {
            self.replicate_to(node, false);
        }
    }

    /// Sends the next chunk of the snapshot to a member that needs compacted entries.
    fn send_snapshot_chunk(&mut self, node: &str, round: Round) {
        let snapshot = Arc::clone(self.journal.snapshot());
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(node) else {
            return;
        };
        if peer.sending_snapshot != snapshot.index {
            peer.sending_snapshot = snapshot.index;
            peer.snapshot_offset = 0;
        }
        let storage = peer.storage;
        let start = usize::try_from(peer.snapshot_offset).unwrap_or(usize::MAX);
        let start = start.min(snapshot.data.len());
        let end = snapshot.data.len().min(start + CHUNK_BYTES);
        let chunk = SnapshotChunk {
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

    /// Handles a heartbeat with entries of a leader.
    pub(super) fn handle_append(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        term: id::Term,
        append: Append,
    ) {
        let round = append.round;
        if term < self.vote.term {
            // The reply carries the higher term to the deposed leader.
            let log_match = LogMatch::Mismatch(self.journal.last_index());
            self.send(from, storage, Body::appended(round, log_match));
            return;
        }
        if !self.has_member_list() {
            let log_match = LogMatch::Mismatch(0);
            self.send(from, storage, Body::appended(round, log_match));
            return;
        }
        self.record_leader_contact(now, from);
        self.record_silences(now, from, &append.silences);
        self.report_late_sync(now, from, storage, round);
        if let Some(retry_after_index) = self.conflict_hint(append.prev_index, append.prev_term) {
            let log_match = LogMatch::Mismatch(retry_after_index);
            self.send_after_sync(from, storage, Body::appended(round, log_match));
            return;
        }
        let matched = append.prev_index + append.entries.len() as u64;
        for entry in append.entries {
            let local_term = self.journal.term(entry.index);
            if entry.index <= self.journal.snapshot_index() || local_term == Some(entry.term) {
                continue;
            }
            if local_term.is_some() {
                self.journal.truncate_from(entry.index);
            }
            self.journal.push(entry.clone());
            self.write(Record::Entry(entry));
        }
        self.commit_to(append.commit.min(matched));
        let log_match = LogMatch::Matched(matched);
        self.send_after_sync(from, storage, Body::appended(round, log_match));
    }

    /// Follows the leader that sent a message, and blocks votes for an election timeout.
    fn record_leader_contact(&mut self, now: Instant, from: &str) {
        let known =
            matches!(self.role_state, RoleState::Follower) && self.leader.as_deref() == Some(from);
        if known {
            self.reset_election_deadline(now);
        } else {
            self.become_follower(now, Some(from.to_owned()));
        }
        self.vote_blocked_until = now + self.timing.election;
    }

    /// Tells the leader at once that this member hears it, where the reply must wait for a disk that is late by a
    /// heartbeat or more.
    fn report_late_sync(&mut self, now: Instant, leader: &str, storage: Storage, round: Round) {
        if self.disk_failed || self.synced_writes >= self.issued_writes {
            return;
        }
        let since = *self.unsynced_since.get_or_insert(now);
        let late = now.duration_since(since);
        if late < self.timing.heartbeat || late >= MAX_SYNC_TIME {
            return;
        }
        let heard = Body::Appended {
            round,
            log_match: LogMatch::Matched(0),
            heard_only: true,
        };
        self.send(leader, storage, heard);
    }

    /// Records since when voters have not answered the leader, and when the leader itself was last heard.
    fn record_silences(&mut self, now: Instant, leader: &str, silences: &[Silence]) {
        let since = |silence: &Silence| {
            let since = now.checked_sub(Duration::from_millis(silence.age_ms))?;
            Some((silence.node.clone(), since))
        };
        self.silences = silences.iter().filter_map(since).collect();
        self.silences.insert(leader.to_owned(), now);
    }

    /// Compares the term of the entry at `index` with the leader's. Returns `None` if they
    /// are the same or a snapshot covers the entry, otherwise the index after which the
    /// leader should send.
    fn conflict_hint(&self, index: id::Index, term: id::Term) -> Option<id::Index> {
        if index < self.journal.snapshot_index() {
            return None;
        }
        let Some(local_term) = self.journal.term(index) else {
            return Some(self.journal.last_index());
        };
        if local_term == term {
            return None;
        }
        // Skips all entries of the conflicting term, so that the leader needs fewer round
        // trips.
        let mut retry_after_index = index - 1;
        while retry_after_index > self.commit_index
            && self.journal.term(retry_after_index) == Some(local_term)
        {
            retry_after_index -= 1;
        }
        Some(retry_after_index)
    }

    /// Handles a chunk of a snapshot.
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        cluster: Cluster,
        term: id::Term,
        chunk: SnapshotChunk,
    ) {
        if term < self.vote.term || chunk.total > MAX_SNAPSHOT_BYTES {
            return;
        }
        self.record_leader_contact(now, from);
        let (round, index) = (chunk.round, chunk.index);
        self.report_late_sync(now, from, storage, round);
        let offset = self.add_snapshot_chunk(cluster, chunk);
        let done = self.journal.snapshot_index() >= index && self.has_member_list();
        let body = Body::Installed {
            round,
            index,
            offset,
            done,
        };
        self.send_after_sync(from, storage, body);
    }

    /// Adds a chunk, and installs the snapshot if it is complete. Returns the number of
    /// bytes of the snapshot that this member has.
    fn add_snapshot_chunk(&mut self, cluster: Cluster, chunk: SnapshotChunk) -> u64 {
        if self.has_member_list() && chunk.index <= self.commit_index {
            return chunk.total;
        }
        let (index, term) = (chunk.index, chunk.term);
        let same = |partial: &PartialSnapshot| partial.index == index && partial.term == term;
        let mut partial = self
            .partial_snapshot
            .take()
            .filter(same)
            .unwrap_or(PartialSnapshot {
                index,
                term,
                data: Vec::new(),
            });
        if chunk.offset == partial.data.len() as u64 {
            partial.data.extend(chunk.data);
        }
        let received = partial.data.len() as u64;
        if received < chunk.total {
            self.partial_snapshot = Some(partial);
            return received;
        }
        let snapshot = Arc::new(Snapshot {
            cluster,
            index,
            term,
            members: chunk.members,
            data: partial.data,
        });
        self.journal.restore(Arc::clone(&snapshot));
        self.commit_index = index;
        self.write(Record::Snapshot(Arc::clone(&snapshot)));
        self.actions.push(Action::Restore(snapshot));

        received
    }

    /// Handles the report of a follower that it hears this leader while its disk is late. It ends the member's
    /// silence, and counts neither for a commit nor for the lease.
    pub(super) fn handle_heard(
        &mut self,
        from: &str,
        storage: Storage,
        term: id::Term,
        round: Round,
    ) {
        if term != self.vote.term {
            return;
        }
        if let Some(leader) = self.leader_of_peer(from, storage) {
            leader.record_heard(from, round);
        }
    }

    /// Handles the reply of a follower to a heartbeat.
    pub(super) fn handle_appended(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        term: id::Term,
        round: Round,
        log_match: LogMatch,
    ) {
        let own = self.vote.term;
        let Some(leader) = self.leader_of_peer(from, storage) else {
            return;
        };
        if term != own {
            return;
        }
        leader.record_heartbeat_reply(from, round);
        let Some(peer) = leader.peers.get_mut(from) else {
            return;
        };
        match log_match {
            LogMatch::Matched(index) => {
                peer.match_index = peer.match_index.max(index);
                peer.next_index = peer.next_index.max(peer.match_index + 1);
                peer.streaming = true;
                peer.paused = false;
                let matched = peer.match_index;
                peer.inflight.retain(|last| *last > matched);
            }
            LogMatch::Mismatch(index) => peer.probe(index.min(peer.next_index.saturating_sub(2))),
        }
        self.advance_commit(now);
        self.replicate_to(from, false);
    }

    /// Handles the reply of a follower to a snapshot chunk.
    #[allow(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn handle_installed(
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
        // Heartbeat numbers restart with each leadership, so a reply of an earlier term
        // would match a wrong heartbeat.
        if term != self.vote.term {
            return;
        }
        let Some(leader) = self.leader_of_peer(from, storage) else {
            return;
        };
        leader.record_heartbeat_reply(from, round);
        let Some(peer) = leader.peers.get_mut(from) else {
            return;
        };
        if peer.sending_snapshot != index {
            return;
        }
        if done {
            peer.match_index = peer.match_index.max(index);
            peer.probe(index);
        } else if offset != peer.snapshot_offset {
            peer.snapshot_offset = offset;
            peer.paused = false;
        }
        self.replicate_to(from, false);
        self.advance_commit(now);
    }

    /// Returns the state of this leadership, if the member `from` is listed with the data
    /// folder `storage`.
    fn leader_of_peer(&mut self, from: &str, storage: Storage) -> Option<&mut super::Leader> {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return None;
        };
        let peer = leader.peers.get(from)?;
        (peer.storage == storage).then_some(leader)
    }

    /// Commits the entries that a majority has synced, if the last of them is of this term
    /// (Raft, section 5.4.2).
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let own = self.member(&self.node).is_some_and(|member| member.votes);
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let voters = leader.peers.values().filter(|peer| peer.votes);
        let mut synced_indexes: Vec<_> = voters.map(|peer| peer.match_index).collect();
        if own {
            synced_indexes.push(leader.durable);
        }
        synced_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = synced_indexes.get(self.majority() - 1).copied() else {
            return;
        };
        if index > self.commit_index && self.journal.term(index) == Some(self.vote.term) {
            self.commit_to(index);
            self.step_down_if_removed(now);
        }
    }
}

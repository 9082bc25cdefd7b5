//! The Raft protocol of one member as a state machine without input or output.
//!
//! Every input carries the `Instant` at which it is processed. Each input may queue
//! actions, which the caller fetches in order with [`Raft::take_actions`]. A vote or an
//! acknowledgement is sent only after the records that it depends on are durable: the
//! caller counts the [`Action::Write`]s that it received and reports with [`Raft::synced`]
//! how many of them are synced.

mod contacts;
mod election;
mod formation;
mod journal;
mod leader;
mod membership;
mod replication;
mod view;

use crate::disk::Stored;
use crate::entry::{Entry, Payload, Record, Snapshot, Storage, Vote};
use crate::message::{Body, Message};
use crate::timing::Timing;
use contacts::Contacts;
use flamingo_wire::id;
use journal::Journal;
use leader::Leader;
pub use membership::Change;
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use strum::{Display, IntoStaticStr};

/// Largest number of messages that wait for a disk without room.
const MAX_UNSYNCED_MESSAGES: usize = 256;

/// An action that the caller must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record to the disk, then report it with [`Raft::synced`].
    Write(Record),
    /// Send the message to its receiver; it may be lost.
    Send(Message),
    /// Apply these committed entries to the replicated state.
    Commit(Vec<Entry>),
    /// Replace the replicated state by this snapshot, which the leader sent.
    Restore(Arc<Snapshot>),
    /// The member changed its role.
    Became(Role),
}

/// The role of a member.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Has no member list yet, so it neither votes nor receives entries.
    Unformed,
    /// Receives entries from the leader and votes in elections.
    Follower,
    /// Requests votes of the other voters.
    Candidate,
    /// Appends entries and replicates them to the other members.
    Leader,
}

quick_error! {
    /// Why a proposal or a change of members was rejected.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// This member does not lead; names the leader, where one is known.
        Follower(leader: Option<id::Node>) {
            display("this instance does not lead")
        }
        /// Another change of members is not committed yet, or the leader has not yet
        /// committed an entry of its own term.
        Busy {
            display("another change of members is in progress; try again later")
        }
        /// The request contradicts the member list; the message says how.
        Invalid(message: String) {
            display("{message}")
        }
        /// A write to this member's disk failed.
        Disk {
            display("the disk failed; this instance acknowledges nothing until it is restarted")
        }
    }
}

/// Identifies an entry of the log.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryId {
    /// Index in the log.
    pub index: id::Index,
    /// Term of the leader that appended the entry. Where an entry of another term is
    /// committed at this index, this entry was overwritten and never takes effect.
    pub term: id::Term,
}

/// A control instance that the settings name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Name of the control instance.
    pub node: id::Node,
    /// Address at which it accepts messages of other instances.
    pub address: SocketAddr,
}

/// Whether the member list changes without an operator.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MembershipPolicy {
    /// Only an operator changes the member list.
    #[default]
    Manual,
    /// The leader adds an instance that asks to join as a learner. It removes a voter that
    /// has not answered for [`Timing::voter_timeout`] while more than `min_voters` members
    /// vote.
    Automatic {
        /// Number of voters below which no unresponsive voter is removed.
        min_voters: usize,
        /// Whether this member may take part in making the first member list.
        bootstraps: bool,
    },
}

/// Options of a member.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this member.
    pub node: id::Node,
    /// Address at which this member accepts messages of other instances.
    pub address: SocketAddr,
    /// All control instances that the settings name, this one included.
    pub seeds: Vec<Seed>,
    /// Intervals and timeouts; the same on every member.
    pub timing: Timing,
    /// Whether the member list changes without an operator.
    pub membership: MembershipPolicy,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Records that the disk held when the member started.
    pub stored: Stored,
}

/// State of the role of a member that has a member list.
#[derive(Debug)]
enum RoleState {
    Follower,
    Candidate {
        pre: bool,
        transfer: bool,
        granted: BTreeSet<id::Node>,
    },
    Leader(Box<Leader>),
}

/// A message that may be sent once the first `after` records are synced.
#[derive(Debug)]
struct PendingMessage {
    after: u64,
    message: Message,
}

/// A snapshot of which only the first chunks have arrived.
#[derive(Debug)]
struct PartialSnapshot {
    index: id::Index,
    term: id::Term,
    data: Vec<u8>,
}

/// One member of the replicated log.
#[derive(Debug)]
pub struct Raft {
    node: id::Node,
    address: SocketAddr,
    storage: Storage,
    seeds: Vec<Seed>,
    timing: Timing,
    membership: MembershipPolicy,
    random_state: u64,
    vote: Vote,
    journal: Journal,
    commit_index: id::Index,
    /// Commit index that was last written to the disk.
    recorded_commit: id::Index,
    role_state: RoleState,
    leader: Option<id::Node>,
    /// End of the time in which this member votes for nobody, because it received a message
    /// of a leader less than an election timeout ago.
    vote_blocked_until: Instant,
    /// When the next election, heartbeat or request to join is due.
    next_action_at: Instant,
    /// When this member asks to be listed again, if it then knows no leader.
    next_join_at: Instant,
    unformed_seeds: BTreeMap<id::Node, Storage>,
    contacts: Contacts,
    /// Since when voters have not answered the leader, by its last message, and when that came from the leader
    /// itself: where this member leads next, it goes on counting from there.
    silences: BTreeMap<id::Node, Instant>,
    partial_snapshot: Option<PartialSnapshot>,
    unsynced_messages: VecDeque<PendingMessage>,
    issued_writes: u64,
    synced_writes: u64,
    /// When a message of the leader first found records that were not synced; `None` after each sync.
    unsynced_since: Option<Instant>,
    disk_failed: bool,
    /// Whether the disk has no room for what was issued.
    disk_full: bool,
    actions: Vec<Action>,
}

impl Raft {
    /// Starts a member from the records that its disk held.
    #[must_use]
    pub fn new(options: Options, now: Instant) -> Self {
        let stored = options.stored;
        let commit_index = stored.snapshot.index;
        let mut raft = Self {
            node: options.node,
            address: options.address,
            storage: stored.storage,
            seeds: options.seeds,
            timing: options.timing,
            membership: options.membership,
            random_state: options.seed,
            vote: stored.vote,
            journal: Journal::new(stored.snapshot, stored.entries),
            commit_index,
            recorded_commit: stored.commit,
            role_state: RoleState::Follower,
            leader: None,
            // The member may have received a message of a leader just before it restarted.
            vote_blocked_until: now + options.timing.election,
            next_action_at: now,
            next_join_at: now,
            unformed_seeds: BTreeMap::new(),
            contacts: Contacts::default(),
            silences: BTreeMap::new(),
            partial_snapshot: None,
            unsynced_messages: VecDeque::new(),
            issued_writes: 0,
            synced_writes: 0,
            unsynced_since: None,
            disk_failed: false,
            disk_full: false,
            actions: Vec::new(),
        };
        if raft.has_member_list() {
            raft.commit_to(stored.commit);
            raft.reset_election_deadline(now);
        }
        raft
    }

    /// Replaces the control instances that the settings name.
    ///
    /// The member list stays as it is; a member without a list sends its requests to the
    /// seeds.
    pub fn update_seeds(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
    }

    /// Returns the control instances that the settings name.
    #[must_use]
    pub fn seeds(&self) -> &[Seed] {
        &self.seeds
    }

    /// Returns the actions that were queued since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Starts an election, heartbeat or request to join that is due.
    ///
    /// Call this several times in each heartbeat interval.
    pub fn tick(&mut self, now: Instant) {
        self.step_down_if_expired(now);
        self.record_commit();
        self.contacts.expire(now);
        self.request_join_without_leader(now);
        if now < self.next_action_at {
            return;
        }
        if !self.has_member_list() {
            self.request_members(now);
        } else if matches!(self.role_state, RoleState::Leader(_)) {
            self.send_heartbeats(now);
        } else {
            self.campaign(now, true, false);
        }
    }

    /// Handles a message of another member.
    pub fn receive(&mut self, now: Instant, message: Message) {
        self.step_down_if_expired(now);
        if message.to != self.node || self.is_foreign(&message) {
            return;
        }
        if !self.accept_term(now, &message) {
            return;
        }
        let Message {
            from,
            from_storage,
            to_storage,
            term,
            cluster,
            body,
            ..
        } = message;
        let addressed = to_storage == self.storage;
        match body {
            Body::RequestVote(request) if addressed => {
                self.handle_vote_request(now, &from, from_storage, term, &request);
            }
            Body::VoteReply { pre, granted } if addressed => {
                self.handle_vote(now, &from, from_storage, term, pre, granted);
            }
            Body::Append(append) if addressed => {
                self.handle_append(now, &from, from_storage, term, append);
            }
            Body::Install(chunk) if addressed => {
                self.handle_snapshot_chunk(now, &from, from_storage, cluster, term, chunk);
            }
            Body::Appended {
                round,
                heard_only: true,
                ..
            } => self.handle_heard(&from, from_storage, term, round),
            Body::Appended {
                round, log_match, ..
            } => self.handle_appended(now, &from, from_storage, term, round, log_match),
            Body::Installed {
                round,
                index,
                offset,
                done,
            } => self.handle_installed(now, &from, from_storage, term, round, index, offset, done),
            Body::QueryUnformed => self.handle_unformed_query(&from, from_storage),
            Body::Unformed if addressed => self.handle_unformed(now, from, from_storage),
            Body::InitialMembers(members) if addressed => {
                self.install_initial_members(now, cluster, members);
            }
            Body::Join { address } => self.handle_join(now, &from, from_storage, address),
            Body::Referral { leader, address } if addressed => {
                self.handle_referral(now, &leader, address);
            }
            Body::TimeoutNow if addressed && term == self.vote.term => {
                self.campaign(now, false, true);
            }
            _ => {}
        }
    }

    /// Reports that the first `count` written records are durable.
    ///
    /// Sends the votes and acknowledgements that waited for these records.
    pub fn synced(&mut self, now: Instant, count: u64) {
        self.step_down_if_expired(now);
        self.disk_full = false;
        self.synced_writes = self.synced_writes.max(count);
        self.unsynced_since = None;
        while self
            .unsynced_messages
            .front()
            .is_some_and(|pending| pending.after <= self.synced_writes)
        {
            if let Some(pending) = self.unsynced_messages.pop_front() {
                self.actions.push(Action::Send(pending.message));
            }
        }
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.synced(self.synced_writes);
            self.advance_commit(now);
        } else {
            self.check_election(now);
        }
    }

    /// Reports that the disk failed, after which this member acknowledges nothing.
    ///
    /// The member still learns the commit index from the leader, so that its state stays
    /// current.
    pub fn fail_disk(&mut self, now: Instant) {
        self.disk_failed = true;
        self.unsynced_messages.clear();
        if self.role() != Role::Follower {
            self.become_follower(now, None);
        }
    }

    /// Reports that the disk has no room for the records that were issued, which are still to be
    /// written. Until the next [`Raft::synced`] this member neither leads nor stands for election, and
    /// acknowledges nothing.
    pub fn fill_disk(&mut self, now: Instant) {
        self.disk_full = true;
        if !matches!(self.role(), Role::Follower | Role::Unformed) {
            self.become_follower(now, None);
        }
    }

    /// Appends a command to the log of the leader; [`Raft::flush`] sends it to the
    /// followers.
    ///
    /// # Errors
    ///
    /// Returns an error where this member doesn't lead or its disk failed.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<EntryId, Refusal> {
        self.step_down_if_expired(now);
        self.check_leadership()?;
        let entry_id = self.append_entry(Payload::Command(command));
        Ok(entry_id)
    }

    /// Sends to the followers the commands that were proposed since the last flush.
    pub fn flush(&mut self, now: Instant) {
        self.step_down_if_expired(now);
        self.replicate(false);
    }

    /// Replaces the entries up to `index`, which must be committed, by a snapshot.
    ///
    /// `data` is the encoded state after the entry at `index`. Does nothing where an
    /// earlier snapshot covers `index`, or where `index` is not committed.
    pub fn compact(&mut self, index: id::Index, data: Vec<u8>) {
        if index <= self.journal.snapshot_index() || index > self.commit_index {
            return;
        }
        let snapshot = self.journal.compact(index, data);
        self.write(Record::Snapshot(snapshot));
    }

    /// Returns whether this member has a member list.
    fn has_member_list(&self) -> bool {
        self.journal.cluster() != 0
    }

    /// Returns whether a message comes from a group of members other than this member's.
    fn is_foreign(&self, message: &Message) -> bool {
        let before_membership = matches!(
            message.body,
            Body::QueryUnformed | Body::Unformed | Body::Join { .. }
        );
        // A learner that waits for its first snapshot does not know the group yet.
        let new_learner = message.cluster == 0
            && matches!(message.body, Body::Appended { .. } | Body::Installed { .. });
        self.has_member_list()
            && !before_membership
            && !new_learner
            && message.cluster != self.journal.cluster()
    }

    fn check_leadership(&self) -> Result<(), Refusal> {
        if self.disk_failed || self.disk_full {
            return Err(Refusal::Disk);
        }
        match &self.role_state {
            RoleState::Leader(_) => Ok(()),
            _ => Err(Refusal::Follower(self.leader.clone())),
        }
    }

    fn write(&mut self, record: Record) {
        if self.disk_failed {
            return;
        }
        self.issued_writes += 1;
        self.actions.push(Action::Write(record));
    }

    fn message(&self, to: &str, to_storage: Storage, term: id::Term, body: Body) -> Message {
        Message {
            from: self.node.clone(),
            from_storage: self.storage,
            to: to.to_owned(),
            to_storage,
            cluster: self.journal.cluster(),
            term,
            body,
        }
    }

    /// Sends a message at once, because it depends on no record.
    fn send(&mut self, to: &str, to_storage: Storage, body: Body) {
        let message = self.message(to, to_storage, self.vote.term, body);
        self.actions.push(Action::Send(message));
    }

    /// Sends a message after every record written so far is synced.
    fn send_after_sync(&mut self, to: &str, to_storage: Storage, body: Body) {
        let message = self.message(to, to_storage, self.vote.term, body);
        self.queue_until_synced(message);
    }

    fn queue_until_synced(&mut self, message: Message) {
        if self.disk_failed {
            return;
        }
        if self.synced_writes >= self.issued_writes {
            self.actions.push(Action::Send(message));
            return;
        }
        let after = self.issued_writes;
        if self.disk_full && self.unsynced_messages.len() >= MAX_UNSYNCED_MESSAGES {
            // The sender of the request sends it again.
            return;
        }
        self.unsynced_messages
            .push_back(PendingMessage { after, message });
    }

    fn append_entry(&mut self, payload: Payload) -> EntryId {
        let index = self.journal.last_index() + 1;
        let term = self.vote.term;
        let entry = Entry {
            index,
            term,
            payload,
        };
        self.journal.push(entry.clone());
        self.write(Record::Entry(entry));
        let written = self.issued_writes;
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.write_issued(written, index);
        }
        EntryId { index, term }
    }

    /// Writes the commit index to the disk, so that a restarted member applies committed
    /// entries without waiting for a leader.
    fn record_commit(&mut self) {
        if self.commit_index > self.recorded_commit {
            self.recorded_commit = self.commit_index;
            self.write(Record::Commit(self.commit_index));
        }
    }

    /// Raises the commit index to `index` and queues the newly committed entries.
    fn commit_to(&mut self, index: id::Index) {
        let index = index.min(self.journal.last_index());
        if index <= self.commit_index {
            return;
        }
        let entries = self.journal.range(self.commit_index + 1, index);
        self.commit_index = index;
        self.actions.push(Action::Commit(entries));
    }
}

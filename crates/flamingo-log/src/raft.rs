//! The protocol as a pure state machine.
//!
//! Every input carries the `Instant` at which it is taken. Outputs gather and
//! are fetched with [`Raft::take`], in order. Messages that promise something
//! (votes, acknowledgements) are held back until the records that they rest on
//! are synced: the caller counts the [`Action::Write`]s and reports with
//! [`Raft::synced`] how many of them are durable.

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

/// What the caller must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record; see [`Raft::synced`].
    Write(Record),
    /// Send the message.
    Send(Message),
    /// Apply the entries to the state: they are committed.
    Commit(Vec<Entry>),
    /// Replace the state by this snapshot.
    Restore(Arc<Snapshot>),
    /// The role has changed.
    Became(Role),
}

/// What a member is.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Has no member list yet.
    Unformed,
    /// Receives the log.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Makes the log.
    Leader,
}

quick_error! {
    /// Why a proposal was not taken.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// Another member leads, if one is known.
        Follower(leader: Option<id::Node>) {
            display("this instance does not lead")
        }
        /// No change of members can be made now.
        Busy {
            display("another change of members is under way; ask again")
        }
        /// The member list does not allow it.
        Invalid(message: String) {
            display("{message}")
        }
        /// The disk failed.
        Disk {
            display("the disk failed; this instance acknowledges nothing until it is restarted")
        }
    }
}

/// Where an entry was put.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryId {
    /// Its index.
    pub index: id::Index,
    /// Its term; another entry at this index means that it was not accepted.
    pub term: id::Term,
}

/// Another control instance as the settings name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Its name.
    pub node: id::Node,
    /// Where it takes the inner protocol.
    pub address: SocketAddr,
}

/// How the member list changes without an operator.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MembershipPolicy {
    /// It does not.
    #[default]
    Manual,
    /// A member that asks is let in as a learner, and a silent voter is voted out
    /// while more than `min_voters` vote.
    Automatic {
        /// Voters that stay, silent or not.
        min_voters: usize,
        /// Whether this member may take part in making the first list.
        bootstraps: bool,
    },
}

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name.
    pub node: id::Node,
    /// Where it takes the inner protocol.
    pub address: SocketAddr,
    /// All control instances that the settings name, this one included.
    pub seeds: Vec<Seed>,
    /// Times.
    pub timing: Timing,
    /// How the member list changes by itself.
    pub membership: MembershipPolicy,
    /// Seed of the jitter.
    pub seed: u64,
    /// What the disk held.
    pub stored: Stored,
}

/// The member's part beside the journal.
#[derive(Debug)]
enum Standing {
    Follower,
    Candidate {
        pre: bool,
        transfer: bool,
        granted: BTreeSet<id::Node>,
    },
    Leader(Box<Leader>),
}

/// A message that waits until a number of records are synced.
#[derive(Debug)]
struct Held {
    after: u64,
    message: Message,
}

/// A snapshot that arrives in chunks.
#[derive(Debug)]
struct Partial {
    index: id::Index,
    term: id::Term,
    data: Vec<u8>,
}

/// One member of the log.
#[derive(Debug)]
pub struct Raft {
    node: id::Node,
    address: SocketAddr,
    storage: Storage,
    seeds: Vec<Seed>,
    timing: Timing,
    membership: MembershipPolicy,
    jitter: u64,
    vote: Vote,
    journal: Journal,
    commit: id::Index,
    /// Last index that the disk knows to be committed.
    recorded: id::Index,
    standing: Standing,
    leader: Option<id::Node>,
    /// Until when no vote is given: a leader was heard.
    loyal: Instant,
    /// When the next election, heartbeat or question is due.
    deadline: Instant,
    unformed: BTreeMap<id::Node, Storage>,
    partial: Option<Partial>,
    held: VecDeque<Held>,
    written: u64,
    synced: u64,
    disk_failed: bool,
    out: Vec<Action>,
}

impl Raft {
    /// Starts a member with what its disk held.
    #[must_use]
    pub fn new(options: Options, now: Instant) -> Self {
        let stored = options.stored;
        let commit = stored.snapshot.index;
        let mut raft = Self {
            node: options.node,
            address: options.address,
            storage: stored.storage,
            seeds: options.seeds,
            timing: options.timing,
            membership: options.membership,
            jitter: options.seed,
            vote: stored.vote,
            journal: Journal::new(stored.snapshot, stored.entries),
            commit,
            recorded: stored.commit,
            standing: Standing::Follower,
            leader: None,
            // It may have heard a leader just before it stopped.
            loyal: now + options.timing.election,
            deadline: now,
            unformed: BTreeMap::new(),
            partial: None,
            held: VecDeque::new(),
            written: 0,
            synced: 0,
            disk_failed: false,
            out: Vec::new(),
        };
        if raft.formed() {
            raft.commit_to(stored.commit);
            raft.rest(now);
        }
        raft
    }

    /// Takes the instances that the settings name from now on.
    ///
    /// The member list stays as it is; seeds tell a member without one whom to ask.
    pub fn update_seeds(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
    }

    /// Returns the instances that the settings name.
    #[must_use]
    pub fn seeds(&self) -> &[Seed] {
        &self.seeds
    }

    /// Takes the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Lets time pass; to be called a few times in a heartbeat.
    pub fn tick(&mut self, now: Instant) {
        self.expire(now);
        self.record();
        if now < self.deadline {
            return;
        }
        if !self.formed() {
            self.seek(now);
        } else if matches!(self.standing, Standing::Leader(_)) {
            self.beat(now);
        } else {
            self.campaign(now, true, false);
        }
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Instant, message: Message) {
        self.expire(now);
        if message.to != self.node || self.foreign(&message) {
            return;
        }
        if !self.adopt(now, &message) {
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
            Body::Ask(ask) if addressed => self.answer(now, &from, from_storage, term, &ask),
            Body::Voted { pre, granted } if addressed => {
                self.count(now, &from, from_storage, term, pre, granted);
            }
            Body::Append(append) if addressed => {
                self.append(now, &from, from_storage, term, append);
            }
            Body::Install(chunk) if addressed => {
                self.install(now, &from, from_storage, cluster, term, chunk);
            }
            Body::Appended { round, fit } => {
                self.appended(now, &from, from_storage, term, round, fit);
            }
            Body::Installed {
                round,
                index,
                offset,
                done,
            } => self.installed(now, &from, from_storage, term, round, index, offset, done),
            Body::Inquire => self.inquired(&from, from_storage),
            Body::Unformed if addressed => self.gather(now, from, from_storage),
            Body::Found(members) if addressed => self.found(now, cluster, members),
            Body::Join { address } => self.joined(now, &from, from_storage, address),
            Body::Transfer if addressed && term == self.vote.term => {
                self.campaign(now, false, true);
            }
            _ => {}
        }
    }

    /// Takes the word that the first `count` written records are durable.
    pub fn synced(&mut self, now: Instant, count: u64) {
        self.expire(now);
        self.synced = self.synced.max(count);
        while self
            .held
            .front()
            .is_some_and(|held| held.after <= self.synced)
        {
            if let Some(held) = self.held.pop_front() {
                self.out.push(Action::Send(held.message));
            }
        }
        if let Standing::Leader(leader) = &mut self.standing {
            leader.synced(self.synced);
            self.advance(now);
        } else {
            self.elect(now);
        }
    }

    /// Takes the word that the disk failed: nothing is acknowledged any more.
    ///
    /// The member goes on to hear of commits, so that its reads stay true.
    pub fn fail_disk(&mut self, now: Instant) {
        self.disk_failed = true;
        self.held.clear();
        if self.role() != Role::Follower {
            self.follow(now, None);
        }
    }

    /// Proposes a command.
    ///
    /// # Errors
    ///
    /// Returns a refusal where this member doesn't lead or its disk failed.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<EntryId, Refusal> {
        self.expire(now);
        self.leading()?;
        let entry_id = self.push(Payload::Command(command));
        Ok(entry_id)
    }

    /// Sends what was proposed since the last flush.
    pub fn flush(&mut self, now: Instant) {
        self.expire(now);
        self.spread(false);
    }

    /// Puts `data`, the state up to the committed `index`, in place of the entries.
    pub fn compact(&mut self, index: id::Index, data: Vec<u8>) {
        if index <= self.journal.base() || index > self.commit {
            return;
        }
        let snapshot = self.journal.compact(index, data);
        self.write(Record::Snapshot(snapshot));
    }

    /// Returns whether a member list is known.
    fn formed(&self) -> bool {
        self.journal.cluster() != 0
    }

    /// Returns whether a message belongs to another group of members.
    fn foreign(&self, message: &Message) -> bool {
        let seeking = matches!(
            message.body,
            Body::Inquire | Body::Unformed | Body::Join { .. }
        );
        // A learner that waits for its first snapshot belongs to none yet.
        let fresh = message.cluster == 0
            && matches!(message.body, Body::Appended { .. } | Body::Installed { .. });
        self.formed() && !seeking && !fresh && message.cluster != self.journal.cluster()
    }

    fn leading(&self) -> Result<(), Refusal> {
        if self.disk_failed {
            return Err(Refusal::Disk);
        }
        match &self.standing {
            Standing::Leader(_) => Ok(()),
            _ => Err(Refusal::Follower(self.leader.clone())),
        }
    }

    fn write(&mut self, record: Record) {
        if self.disk_failed {
            return;
        }
        self.written += 1;
        self.out.push(Action::Write(record));
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

    /// Sends a message that promises nothing.
    fn send(&mut self, to: &str, to_storage: Storage, body: Body) {
        let message = self.message(to, to_storage, self.vote.term, body);
        self.out.push(Action::Send(message));
    }

    /// Sends a message once all that was written so far is synced.
    fn promise(&mut self, to: &str, to_storage: Storage, body: Body) {
        let message = self.message(to, to_storage, self.vote.term, body);
        self.hold(message);
    }

    fn hold(&mut self, message: Message) {
        if self.disk_failed {
            return;
        }
        if self.synced >= self.written {
            self.out.push(Action::Send(message));
            return;
        }
        let after = self.written;
        self.held.push_back(Held { after, message });
    }

    fn push(&mut self, payload: Payload) -> EntryId {
        let index = self.journal.last() + 1;
        let term = self.vote.term;
        let entry = Entry {
            index,
            term,
            payload,
        };
        self.journal.push(entry.clone());
        self.write(Record::Entry(entry));
        let written = self.written;
        if let Standing::Leader(leader) = &mut self.standing {
            leader.wrote(written, index);
        }
        EntryId { index, term }
    }

    /// Notes on the disk what is committed, so that a restart need not wait for a leader to
    /// apply it.
    fn record(&mut self) {
        if self.commit > self.recorded {
            self.recorded = self.commit;
            self.write(Record::Commit(self.commit));
        }
    }

    /// Hands on what is committed up to `index`.
    fn commit_to(&mut self, index: id::Index) {
        let index = index.min(self.journal.last());
        if index <= self.commit {
            return;
        }
        let entries = self.journal.range(self.commit + 1, index);
        self.commit = index;
        self.out.push(Action::Commit(entries));
    }
}

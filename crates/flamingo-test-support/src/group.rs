//! A group of log members in virtual time, with faults.
//!
//! Time passes only in [`Group::advance`]. After every step the group checks these
//! invariants, and panics where one is violated: no two members commit different entries at
//! the same index, no term has two leaders, and a member with a read lease knows all committed
//! entries.

use flamingo_log::disk::Stored;
use flamingo_log::raft::{EntryId, MembershipPolicy, Options, Seed};
use flamingo_log::{Action, Entry, Member, Message, Payload, Raft, Record, Role, Timing};
use flamingo_wire::id;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Virtual time between two ticks of the members.
pub const STEP: Duration = Duration::from_millis(10);

/// A committed command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Applied {
    /// Index in the log.
    pub index: id::Index,
    /// Term of the leader that proposed the command.
    pub term: id::Term,
    /// Encoded command.
    pub bytes: Vec<u8>,
}

/// Faults of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Percentage of messages that are lost.
    pub loss_percent: u64,
    /// Percentage of messages that are delivered twice.
    pub duplicate_percent: u64,
    /// Longest delay of a message, in milliseconds. Different delays reorder messages.
    pub max_delay_ms: u64,
}

/// One member.
#[derive(Debug)]
pub struct Node {
    /// Name of the member.
    pub name: id::Node,
    /// The state machine, while it runs.
    pub raft: Option<Raft>,
    /// The committed commands, in order.
    pub applied: Vec<Applied>,
    /// Whether the member is paused: it neither ticks nor receives messages.
    pub frozen: bool,
    /// Whether the disk is full, so that the next write fails.
    pub full: bool,
    /// Whether the disk has no room for a while, so that writes wait.
    pub no_room: bool,
    stored: Stored,
    pending: Vec<Record>,
    synced: u64,
}

/// A group of members.
#[derive(Debug)]
pub struct Group {
    /// Virtual time.
    pub now: Instant,
    /// The members.
    pub nodes: Vec<Node>,
    /// Faults of the network.
    pub network: Network,
    in_flight: BTreeMap<(Instant, u64), Message>,
    cuts: BTreeSet<(usize, usize)>,
    sent: u64,
    random: u64,
    storages: u64,
    committed: BTreeMap<id::Index, Entry>,
    leaders: BTreeMap<id::Term, id::Node>,
    wiped: BTreeMap<id::Node, u64>,
    /// Members that the settings of the next member to start name as seeds.
    seeds: Vec<usize>,
    membership: MembershipPolicy,
}

impl Group {
    /// Starts `count` members with empty disks.
    #[must_use]
    pub fn new(count: usize, seed: u64) -> Self {
        Self::build(count, count, MembershipPolicy::default(), seed)
    }

    /// Starts `count` members with an open member list, all of which are configured with the
    /// first `seeded` as seeds. Unresponsive voters are removed while more than `min_voters` vote.
    #[must_use]
    pub fn open(count: usize, seeded: usize, min_voters: usize, seed: u64) -> Self {
        let bootstraps = true;
        Self::build(
            count,
            seeded,
            MembershipPolicy::Automatic {
                min_voters,
                bootstraps,
            },
            seed,
        )
    }

    fn build(count: usize, seeded: usize, membership: MembershipPolicy, seed: u64) -> Self {
        let mut group = Self {
            seeds: (0..seeded).collect(),
            membership,
            now: Instant::now(),
            nodes: Vec::new(),
            network: Network::default(),
            in_flight: BTreeMap::new(),
            cuts: BTreeSet::new(),
            sent: 0,
            random: seed,
            storages: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            wiped: BTreeMap::new(),
        };
        for _ in 0..count {
            group.add_node();
        }
        for n in 0..count {
            group.start(n);
        }
        group
    }

    /// Adds a member with an empty disk, which does not run yet.
    fn add_node(&mut self) -> usize {
        let n = self.nodes.len();
        let storage = self.storage();
        self.nodes.push(Node {
            name: name(n),
            raft: None,
            applied: Vec::new(),
            frozen: false,
            full: false,
            no_room: false,
            stored: Stored {
                storage,
                ..Stored::default()
            },
            pending: Vec::new(),
            synced: 0,
        });
        n
    }

    /// Names the seeds in the settings of members that start from now on.
    pub fn set_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.to_vec();
    }

    /// Names other seeds in the settings of a running member, which reads them again.
    pub fn rename_seeds(&mut self, n: usize, seeds: &[usize]) {
        self.set_seeds(seeds);
        let seeds = self.seed_list();
        self.with_raft(n, |raft, _| raft.update_seeds(seeds));
    }

    fn seed_list(&self) -> Vec<Seed> {
        let seeds = self.seeds.iter().map(|n| Seed {
            node: name(*n),
            address: address(*n),
        });
        seeds.collect()
    }

    /// Starts a new member with an empty disk, whose settings name `seeds`. Returns its number.
    pub fn join(&mut self, seeds: &[usize]) -> usize {
        self.set_seeds(seeds);
        let n = self.add_node();
        self.start(n);
        n
    }

    /// Starts a member that was killed, with an empty disk, as after a loss of its disk.
    pub fn restart_empty(&mut self, n: usize) {
        self.crash(n);
        let storage = self.storage();
        self.nodes[n].stored = Stored {
            storage,
            ..Stored::default()
        };
        self.start(n);
    }

    fn storage(&mut self) -> u64 {
        self.storages += 1;
        self.storages
    }

    /// Returns the next number of the group's seeded random sequence.
    pub fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    /// Starts a member that is not running, with the records on its disk.
    ///
    /// # Panics
    ///
    /// Panics if the stored snapshot cannot be decoded.
    pub fn start(&mut self, n: usize) {
        if self.nodes[n].raft.is_some() {
            return;
        }
        let seeds = self.seed_list();
        let seed = self.random();
        let node = &mut self.nodes[n];
        let options = Options {
            node: node.name.clone(),
            address: address(n),
            seeds,
            timing: Timing::default(),
            membership: self.membership,
            seed,
            stored: node.stored.clone(),
        };
        node.pending.clear();
        node.synced = 0;
        node.frozen = false;
        node.full = false;
        node.no_room = false;
        node.applied = decode(&node.stored.snapshot.data);
        node.raft = Some(Raft::new(options, self.now));
        // Entries that the disk recorded as committed are applied first.
        self.drain(n);
    }

    /// Kills a member. A random suffix of its unsynced records is lost.
    pub fn crash(&mut self, n: usize) {
        let kept = self.random();
        let node = &mut self.nodes[n];
        if node.raft.take().is_none() {
            return;
        }
        let pending = std::mem::take(&mut node.pending);
        let kept = usize::try_from(kept).unwrap_or(0) % (pending.len() + 1);
        for record in pending.into_iter().take(kept) {
            store(&mut node.stored, record);
        }
    }

    /// Kills a member and wipes its disk. Returns whether it did.
    ///
    /// Does nothing while another wiped member has not become a voter again, because the log
    /// does not tolerate more lost disks at a time.
    pub fn wipe(&mut self, n: usize) -> bool {
        self.drop_repaired();
        if !self.wiped.is_empty() || self.voters().len() < self.nodes.len() {
            return false;
        }
        self.crash(n);
        let storage = self.storage();
        self.nodes[n].stored = Stored {
            storage,
            ..Stored::default()
        };
        self.wiped.insert(name(n), storage);
        true
    }

    /// Returns the voters of the newest committed member list.
    #[must_use]
    pub fn voters(&self) -> Vec<Member> {
        let listed = self.committed.values().rev();
        let mut lists = listed.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        let first = || {
            let mut running = self.nodes.iter().filter_map(|node| node.raft.as_ref());
            let formed = running.find(|raft| raft.commit_index() > 0);
            formed.map_or_else(Vec::new, |raft| raft.members().to_vec())
        };
        let members = lists.next().unwrap_or_else(first);
        members.into_iter().filter(|member| member.votes).collect()
    }

    fn drop_repaired(&mut self) {
        let voters = self.voters();
        let repaired = |node: &str, storage: u64| {
            voters
                .iter()
                .any(|member| member.node == node && member.storage == storage)
        };
        self.wiped.retain(|node, storage| !repaired(node, *storage));
    }

    /// Drops all messages between two members.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    /// Drops all messages between a member and all others.
    pub fn isolate(&mut self, n: usize) {
        for other in 0..self.nodes.len() {
            if other != n {
                self.cut(n, other);
            }
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns the running member that leads, the one of the highest term if there are several.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let running = (0..self.nodes.len()).filter(|n| !self.nodes[*n].frozen);
        let leads = |n: &usize| {
            let raft = self.nodes[*n].raft.as_ref();
            raft.is_some_and(|raft| raft.is_leader(self.now))
        };
        running
            .filter(leads)
            .max_by_key(|n| self.nodes[*n].raft.as_ref().map(Raft::term))
    }

    /// Proposes a command to a member. Returns `None` where it is refused.
    pub fn propose(&mut self, n: usize, bytes: &[u8]) -> Option<EntryId> {
        let now = self.now;
        let node = &mut self.nodes[n];
        if node.frozen {
            return None;
        }
        let raft = node.raft.as_mut()?;
        let slot = raft.propose(now, bytes.to_vec()).ok();
        raft.flush(now);
        self.drain(n);
        slot
    }

    /// Calls `act` with a member's state machine, and carries out the resulting actions.
    pub fn with_raft(&mut self, n: usize, act: impl FnOnce(&mut Raft, Instant)) {
        let now = self.now;
        if let Some(raft) = self.nodes[n].raft.as_mut() {
            act(raft, now);
            self.drain(n);
        }
    }

    /// Replaces a member's committed entries by a snapshot.
    ///
    /// # Panics
    ///
    /// Panics if the commands cannot be encoded.
    pub fn compact(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let data = rmp_serde::to_vec(&node.applied).expect("commands can be encoded");
        self.with_raft(n, |raft, _| raft.compact(raft.commit_index(), data));
    }

    /// Advances the virtual time.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            for n in 0..self.nodes.len() {
                self.sync(n);
                if !self.nodes[n].frozen {
                    self.with_raft(n, Raft::tick);
                }
            }
            self.check();
        }
    }

    /// Advances the virtual time until `done` holds. Returns whether it did within `limit`.
    pub fn until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + limit;
        while self.now < until {
            if done(self) {
                return true;
            }
            self.advance(STEP);
        }
        done(self)
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (key, message) in due {
            let to = number(&message.to);
            let from = number(&message.from);
            if self.cuts.contains(&(from.min(to), from.max(to))) {
                continue;
            }
            if self.nodes[to].frozen {
                // A paused process receives the message once it resumes.
                self.in_flight.insert((self.now + STEP, key.1), message);
                continue;
            }
            self.with_raft(to, |raft, now| raft.receive(now, message));
        }
    }

    /// Syncs the pending records of a member in three of four steps.
    fn sync(&mut self, n: usize) {
        let late = self.random().is_multiple_of(4);
        let node = &mut self.nodes[n];
        if late || node.frozen || node.raft.is_none() || node.pending.is_empty() {
            return;
        }
        if node.full {
            node.pending.clear();
            self.with_raft(n, Raft::fail_disk);
            return;
        }
        if node.no_room {
            self.with_raft(n, Raft::fill_disk);
            return;
        }
        for record in std::mem::take(&mut node.pending) {
            store(&mut node.stored, record);
            node.synced += 1;
        }
        let synced = node.synced;
        self.with_raft(n, |raft, now| raft.synced(now, synced));
    }

    fn drain(&mut self, n: usize) {
        let Some(raft) = self.nodes[n].raft.as_mut() else {
            return;
        };
        for action in raft.take_actions() {
            match action {
                Action::Write(record) => self.nodes[n].pending.push(record),
                Action::Send(message) => self.send(&message),
                Action::Commit(entries) => self.commit(n, entries),
                Action::Restore(snapshot) => self.nodes[n].applied = decode(&snapshot.data),
                Action::Became(Role::Leader) => self.record_leader(n),
                Action::Became(_) => {}
            }
        }
    }

    fn send(&mut self, message: &Message) {
        let network = self.network;
        let copies = if self.random() % 100 < network.duplicate_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.random() % 100 < network.loss_percent {
                continue;
            }
            let delay = Duration::from_millis(1 + self.random() % (network.max_delay_ms + 1));
            self.sent += 1;
            self.in_flight
                .insert((self.now + delay, self.sent), message.clone());
        }
    }

    fn commit(&mut self, n: usize, entries: Vec<Entry>) {
        for entry in entries {
            let known = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            assert_eq!(known, &entry, "two entries are committed at one index");
            let node = &mut self.nodes[n];
            if let Payload::Command(bytes) = entry.payload {
                node.applied.push(Applied {
                    index: entry.index,
                    term: entry.term,
                    bytes,
                });
            }
        }
    }

    fn record_leader(&mut self, n: usize) {
        let Some(raft) = &self.nodes[n].raft else {
            return;
        };
        let name = self.nodes[n].name.clone();
        let known = self
            .leaders
            .entry(raft.term())
            .or_insert_with(|| name.clone());
        assert_eq!(known, &name, "one term has two leaders");
    }

    /// Checks that members with a read lease know all committed entries.
    fn check(&self) {
        let newest = self
            .committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default();
        for node in self.nodes.iter().filter(|node| !node.frozen) {
            if let Some(raft) = &node.raft
                && raft.has_read_lease(self.now)
            {
                let name = &node.name;
                assert_eq!(
                    raft.commit_index(),
                    newest,
                    "{name} has a read lease, but lacks committed entries"
                );
            }
        }
    }

    /// Returns the highest index that any member committed.
    #[must_use]
    pub fn last_committed(&self) -> id::Index {
        self.committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default()
    }

    /// Ends all faults and advances the time until every member has applied a new command.
    ///
    /// # Panics
    ///
    /// Panics if that takes more than two minutes, or if a member lacks a committed command.
    pub fn recover(&mut self) {
        const LIMIT: Duration = Duration::from_mins(2);
        self.network = Network::default();
        self.heal();
        for n in 0..self.nodes.len() {
            if self.nodes[n].full {
                self.crash(n);
            }
            self.nodes[n].frozen = false;
            self.nodes[n].no_room = false;
            self.start(n);
        }
        assert!(
            self.until(LIMIT, |group| group.leader().is_some()),
            "no leader"
        );
        let marker = b"recovered".to_vec();
        let holds = |node: &Node| node.applied.last().is_some_and(|last| last.bytes == marker);
        let deadline = self.now + LIMIT;
        while !self.nodes.iter().all(holds) {
            assert!(self.now < deadline, "the members do not converge in time");
            if let Some(leader) = self.leader() {
                self.propose(leader, &marker);
            }
            self.advance(Duration::from_millis(500));
        }
        let all = self
            .committed
            .values()
            .filter_map(|entry| match &entry.payload {
                Payload::Command(bytes) => Some(bytes.clone()),
                _ => None,
            });
        let all: Vec<_> = all.collect();
        for node in &self.nodes {
            let held: Vec<_> = node.applied.iter().map(|held| held.bytes.clone()).collect();
            assert_eq!(held[..], all[..held.len()], "{} lost commands", node.name);
        }
    }
}

/// Returns the name of member `n`.
#[must_use]
pub fn name(n: usize) -> id::Node {
    format!("control-{n}")
}

fn number(node: &str) -> usize {
    let number = node.trim_start_matches("control-").parse();
    number.expect("a member of the group")
}

fn address(n: usize) -> SocketAddr {
    let port = u16::try_from(7_000 + n).expect("few members");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn decode(data: &[u8]) -> Vec<Applied> {
    if data.is_empty() {
        return Vec::new();
    }
    rmp_serde::from_slice(data).expect("a snapshot of this group")
}

/// Applies a record to the stored state, as the disk does.
fn store(stored: &mut Stored, record: Record) {
    match record {
        Record::Vote(vote) => stored.vote = vote,
        Record::Commit(index) => stored.commit = stored.commit.max(index),
        Record::Entry(entry) => {
            stored.entries.retain(|kept| kept.index < entry.index);
            stored.entries.push(entry);
        }
        Record::Snapshot(snapshot) => {
            let at = stored
                .entries
                .iter()
                .find(|kept| kept.index == snapshot.index);
            if at.is_none_or(|kept| kept.term != snapshot.term) {
                stored.entries.clear();
            }
            stored.entries.retain(|kept| kept.index > snapshot.index);
            stored.snapshot = snapshot;
        }
    }
}

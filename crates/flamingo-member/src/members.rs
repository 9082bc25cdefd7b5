//! The entries of one availability zone and the SWIM state of each.
//!
//! Conflicting updates are resolved as in SWIM: the higher incarnation wins; at
//! the same incarnation the more severe state wins (alive, suspect, dead, left).
//! Only a process itself raises its incarnation, so only it can refute a suspicion.

use flamingo_wire::gossip::{Liveness, Peer, Update};
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that a suspected member has to refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a dead member, or one that left, is removed.
pub const DEAD_RETENTION: Duration = Duration::from_hours(1);
/// Maximum of the local health penalty (Lifeguard). A suspicion lasts `1 + penalty` times
/// [`SUSPICION_TIMEOUT`].
const MAX_HEALTH_PENALTY: u32 = 3;
/// Maximum number of updates in one message, besides the sender's own.
pub const MAX_UPDATES: usize = 6;
/// Maximum number of members added to one answer to repair differing member lists.
pub const MAX_REPAIR_UPDATES: usize = 12;
/// Number of times that an update is sent, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Maximum number of known members, dead ones included; updates on further members are
/// ignored.
pub const MAX_MEMBERS: usize = 1_024;

/// One member and its SWIM state.
#[derive(Clone, Debug)]
pub struct Record {
    /// Name, address, incarnation and configuration version of the member.
    pub peer: Peer,
    /// State: alive, suspect, dead or left.
    pub liveness: Liveness,
    /// Time at which a suspect is declared dead, or a dead or left member is removed;
    /// `None` while the member is alive.
    deadline: Option<Instant>,
}

impl Record {
    /// Returns whether the member counts as live: it is alive or only suspected.
    #[must_use]
    pub fn live(&self) -> bool {
        matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }
}

/// The members of one zone as one of them sees them.
#[derive(Debug)]
pub struct Members {
    me: Peer,
    liveness: Liveness,
    records: BTreeMap<id::Node, Record>,
    /// Members whose updates are to be spread, with the number of times each was sent.
    pending: BTreeMap<id::Node, u32>,
    health_penalty: u32,
    cursor: id::Node,
}

/// Severity of a state; at the same incarnation the more severe one wins.
fn severity(liveness: Liveness) -> u8 {
    match liveness {
        Liveness::Alive => 0,
        Liveness::Suspect => 1,
        Liveness::Dead => 2,
        Liveness::Left => 3,
    }
}

impl Members {
    /// Creates the member list of `me` with no other members.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            liveness: Liveness::Alive,
            records: BTreeMap::new(),
            pending: BTreeMap::new(),
            health_penalty: 0,
            cursor: id::Node::new(),
        }
    }

    /// Returns the process that this list belongs to.
    #[must_use]
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Raises the configuration version that this process announces to have in force.
    pub fn set_version(&mut self, version: id::Version) {
        self.me.version = self.me.version.max(version);
    }

    /// Returns the record of `node`; `None` if the node is unknown or is this process.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&Record> {
        self.records.get(node)
    }

    /// Returns the live members, this process excluded.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.live())
    }

    /// Returns the members that are declared dead.
    pub fn dead(&self) -> impl Iterator<Item = &Record> {
        let known = self.records.values();
        known.filter(|record| record.liveness == Liveness::Dead)
    }

    /// Returns the live entries, this process included, ordered by name.
    #[must_use]
    pub fn entries(&self) -> Vec<Peer> {
        let mut entries: Vec<_> = self.live().map(|record| record.peer.clone()).collect();
        entries.push(self.me.clone());
        entries.sort_by(|left, right| left.node.cmp(&right.node));
        entries
    }

    /// Applies an update that another process sent; returns whether the set of live members
    /// changed. Updates on other zones are ignored.
    pub fn apply(&mut self, now: Instant, update: &Update) -> bool {
        if update.peer.node == self.me.node {
            self.refute(update);
            return false;
        }
        if update.peer.zone != self.me.zone {
            return false;
        }
        let Some(record) = self.records.get_mut(&update.peer.node) else {
            return self.add(now, update);
        };
        let known = (record.peer.incarnation, severity(record.liveness));
        let received = (update.peer.incarnation, severity(update.liveness));
        if received < known {
            return false;
        }
        if received == known {
            record.peer.version = record.peer.version.max(update.peer.version);
            return false;
        }
        let was_live = record.live();
        record.peer = update.peer.clone();
        self.set_liveness(now, &update.peer.node, update.liveness);
        was_live != matches!(update.liveness, Liveness::Alive | Liveness::Suspect)
    }

    fn add(&mut self, now: Instant, update: &Update) -> bool {
        if self.records.len() >= MAX_MEMBERS {
            return false;
        }
        let record = Record {
            peer: update.peer.clone(),
            liveness: update.liveness,
            deadline: None,
        };
        let live = record.live();
        self.records.insert(update.peer.node.clone(), record);
        self.set_liveness(now, &update.peer.node, update.liveness);
        live
    }

    /// Raises the incarnation of this process above an update that contradicts its state.
    fn refute(&mut self, update: &Update) {
        let received = update.peer.incarnation;
        let contradicted = update.liveness != self.liveness && received >= self.me.incarnation;
        if received > self.me.incarnation || contradicted {
            self.me.incarnation = received + 1;
            self.raise_health_penalty();
            self.pending.insert(self.me.node.clone(), 0);
        }
    }

    fn set_liveness(&mut self, now: Instant, node: &str, liveness: Liveness) {
        let timeout = SUSPICION_TIMEOUT * (1 + self.health_penalty);
        if let Some(record) = self.records.get_mut(node) {
            record.liveness = liveness;
            record.deadline = match liveness {
                Liveness::Alive => None,
                Liveness::Suspect => Some(now + timeout),
                Liveness::Dead | Liveness::Left => Some(now + DEAD_RETENTION),
            };
            self.pending.insert(node.to_owned(), 0);
        }
    }

    /// Marks a member that is alive as suspected because probes of it were not answered.
    pub fn suspect(&mut self, now: Instant, node: &str) {
        let alive = |record: &Record| record.liveness == Liveness::Alive;
        if self.records.get(node).is_some_and(alive) {
            self.raise_health_penalty();
            self.set_liveness(now, node, Liveness::Suspect);
        }
    }

    /// Records that a probe was answered, which lowers the local health penalty.
    pub fn probe_answered(&mut self) {
        self.health_penalty = self.health_penalty.saturating_sub(1);
    }

    fn raise_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    /// Announces in all further messages that this process leaves.
    pub fn leave(&mut self) {
        self.liveness = Liveness::Left;
    }

    /// Declares suspects dead and removes dead members whose deadline has passed; returns
    /// whether a member was declared dead.
    pub fn tick(&mut self, now: Instant) -> bool {
        let is_due = |record: &Record| record.deadline.is_some_and(|deadline| deadline <= now);
        let expired = self.records.iter().filter(|(_, record)| is_due(record));
        let expired: Vec<_> = expired.map(|(node, _)| node.clone()).collect();
        let mut declared_dead = false;
        for node in expired {
            if self.records[&node].liveness == Liveness::Suspect {
                self.set_liveness(now, &node, Liveness::Dead);
                declared_dead = true;
            } else {
                self.records.remove(&node);
                self.pending.remove(&node);
            }
        }
        declared_dead
    }

    /// Moves all deadlines by the time `gap` for which this process was frozen, and raises
    /// its incarnation to refute suspicions that arose meanwhile.
    pub fn shift_deadlines(&mut self, gap: Duration) {
        for record in self.records.values_mut() {
            record.deadline = record.deadline.map(|deadline| deadline + gap);
        }
        self.me.incarnation += 1;
        self.pending.insert(self.me.node.clone(), 0);
    }

    /// Returns the update that this process sends on itself.
    #[must_use]
    pub fn own_update(&self) -> Update {
        Update {
            peer: self.me.clone(),
            liveness: self.liveness,
        }
    }

    /// Returns the updates of the next message: first that of this process on itself, then
    /// the pending ones that were sent least often. Counts each as sent.
    pub fn next_updates(&mut self) -> Vec<Update> {
        let members = u32::try_from(self.records.len() + 2).unwrap_or(u32::MAX);
        let limit = SENDS_PER_DOUBLING * (members.ilog2() + 1);
        self.pending.retain(|_, sent| *sent < limit);
        let mut order: Vec<_> = self
            .pending
            .iter()
            .map(|(node, sent)| (*sent, node))
            .collect();
        order.sort();
        let chosen: Vec<_> = order.into_iter().map(|(_, node)| node.clone()).collect();
        let mut updates = vec![self.own_update()];
        for node in chosen.into_iter().take(MAX_UPDATES) {
            if let Some(sent) = self.pending.get_mut(&node) {
                *sent += 1;
            }
            updates.extend(self.update_of(&node));
        }
        updates
    }

    /// Returns the update on `node` to send to others; `None` if the node is unknown.
    #[must_use]
    pub fn update_of(&self, node: &str) -> Option<Update> {
        self.records.get(node).map(|record| Update {
            peer: record.peer.clone(),
            liveness: record.liveness,
        })
    }

    /// Returns a checksum over the live members and their incarnations, by which two
    /// processes find that their lists differ.
    #[must_use]
    pub fn checksum(&self) -> u32 {
        let mut sum = checksum(&self.me);
        for record in self.live() {
            sum ^= checksum(&record.peer);
        }
        sum
    }

    /// Returns updates on the next members of a walk over all, to repair a difference.
    pub fn repair_updates(&mut self) -> Vec<Update> {
        let after = (
            std::ops::Bound::Excluded(&self.cursor),
            std::ops::Bound::Unbounded,
        );
        let nodes = self
            .records
            .range::<id::Node, _>(after)
            .map(|(node, _)| node);
        let nodes: Vec<_> = nodes.take(MAX_REPAIR_UPDATES).cloned().collect();
        let full = nodes.len() == MAX_REPAIR_UPDATES;
        self.cursor = nodes.last().filter(|_| full).cloned().unwrap_or_default();
        nodes
            .iter()
            .filter_map(|node| self.update_of(node))
            .collect()
    }
}

fn checksum(peer: &Peer) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(peer.node.as_bytes());
    hasher.update(&peer.incarnation.to_le_bytes());
    hasher.finalize()
}

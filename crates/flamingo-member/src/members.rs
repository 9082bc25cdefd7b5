//! The entries of one availability zone, and what is believed of each.
//!
//! The order of beliefs is that of SWIM: a higher incarnation wins; at the same
//! incarnation the worse belief wins. Only a process itself raises its
//! incarnation, so only it can refute a suspicion.

use flamingo_wire::gossip::{Belief, Peer, Rumour};
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that a suspect has to refute, before it is taken to be dead.
pub const SUSPICION: Duration = Duration::from_secs(4);
/// Time after which a dead or left process is forgotten.
pub const FORGET: Duration = Duration::from_hours(1);
/// Worst local health: how many times longer a suspicion lasts at most, less 1.
const HEALTH: u32 = 3;
/// Rumours in one message, besides the sender's word on itself.
pub const RUMOURS: usize = 6;
/// Members told in one message where two member lists differ.
pub const WINDOW: usize = 12;
/// Times that a rumour is sent, per doubling of the number of members.
const REPEATS: u32 = 3;
/// Members known at most, dead ones included; more are refused.
pub const MAX_MEMBERS: usize = 1_024;

/// One process and what is believed of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// The process.
    pub peer: Peer,
    /// The belief.
    pub belief: Belief,
    /// When the belief turns: a suspect becomes dead, a dead one is forgotten.
    deadline: Option<Instant>,
}

impl Record {
    /// Returns whether the process counts as live.
    #[must_use]
    pub fn live(&self) -> bool {
        matches!(self.belief, Belief::Alive | Belief::Suspect)
    }
}

/// The members of one zone as one of them knows them.
#[derive(Debug)]
pub struct Members {
    me: Peer,
    belief: Belief,
    known: BTreeMap<id::Node, Record>,
    /// Rumours to spread, with the times each was sent.
    queue: BTreeMap<id::Node, u32>,
    health: u32,
    cursor: id::Node,
}

/// Rank of a belief at one incarnation.
fn rank(belief: Belief) -> u8 {
    match belief {
        Belief::Alive => 0,
        Belief::Suspect => 1,
        Belief::Dead => 2,
        Belief::Left => 3,
    }
}

impl Members {
    /// Builds the members of `me`, which knows nobody else yet.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            belief: Belief::Alive,
            known: BTreeMap::new(),
            queue: BTreeMap::new(),
            health: 0,
            cursor: id::Node::new(),
        }
    }

    /// Returns the process that owns this members.
    #[must_use]
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Sets the configuration version that this process has in force.
    pub fn version(&mut self, version: id::Version) {
        self.me.version = self.me.version.max(version);
    }

    /// Returns what is known of `node`.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&Record> {
        self.known.get(node)
    }

    /// Returns the live members, without this process.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.known.values().filter(|record| record.live())
    }

    /// Returns the members that are believed dead.
    pub fn dead(&self) -> impl Iterator<Item = &Record> {
        let known = self.known.values();
        known.filter(|record| record.belief == Belief::Dead)
    }

    /// Returns the live entries, this process included.
    #[must_use]
    pub fn entries(&self) -> Vec<Peer> {
        let mut entries: Vec<_> = self.live().map(|record| record.peer.clone()).collect();
        entries.push(self.me.clone());
        entries.sort_by(|one, other| one.node.cmp(&other.node));
        entries
    }

    /// Takes a rumour; returns whether the set of live members changed.
    pub fn take(&mut self, now: Instant, rumour: &Rumour) -> bool {
        if rumour.peer.node == self.me.node {
            self.refute(rumour);
            return false;
        }
        if rumour.peer.zone != self.me.zone {
            return false;
        }
        let Some(record) = self.known.get_mut(&rumour.peer.node) else {
            return self.add(now, rumour);
        };
        let known = (record.peer.incarnation, rank(record.belief));
        let told = (rumour.peer.incarnation, rank(rumour.belief));
        if told < known {
            return false;
        }
        if told == known {
            record.peer.version = record.peer.version.max(rumour.peer.version);
            return false;
        }
        let was = record.live();
        record.peer = rumour.peer.clone();
        self.believe(now, &rumour.peer.node, rumour.belief);
        was != matches!(rumour.belief, Belief::Alive | Belief::Suspect)
    }

    fn add(&mut self, now: Instant, rumour: &Rumour) -> bool {
        if self.known.len() >= MAX_MEMBERS {
            return false;
        }
        let record = Record {
            peer: rumour.peer.clone(),
            belief: rumour.belief,
            deadline: None,
        };
        let live = record.live();
        self.known.insert(rumour.peer.node.clone(), record);
        self.believe(now, &rumour.peer.node, rumour.belief);
        live
    }

    /// Raises this process's incarnation above a wrong rumour about it.
    fn refute(&mut self, rumour: &Rumour) {
        let told = rumour.peer.incarnation;
        let wrong = rumour.belief != self.belief && told >= self.me.incarnation;
        if told > self.me.incarnation || wrong {
            self.me.incarnation = told + 1;
            self.worsen();
            self.queue.insert(self.me.node.clone(), 0);
        }
    }

    fn believe(&mut self, now: Instant, node: &str, belief: Belief) {
        let patience = SUSPICION * (1 + self.health);
        if let Some(record) = self.known.get_mut(node) {
            record.belief = belief;
            record.deadline = match belief {
                Belief::Alive => None,
                Belief::Suspect => Some(now + patience),
                Belief::Dead | Belief::Left => Some(now + FORGET),
            };
            self.queue.insert(node.to_owned(), 0);
        }
    }

    /// Suspects a live member that did not answer.
    pub fn suspect(&mut self, now: Instant, node: &str) {
        let alive = |record: &Record| record.belief == Belief::Alive;
        if self.known.get(node).is_some_and(alive) {
            self.worsen();
            self.believe(now, node, Belief::Suspect);
        }
    }

    /// Notes that a probe was answered: this process is well.
    pub fn answered(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    fn worsen(&mut self) {
        self.health = (self.health + 1).min(HEALTH);
    }

    /// Says that this process leaves, from now on.
    pub fn leave(&mut self) {
        self.belief = Belief::Left;
    }

    /// Turns beliefs whose deadline has passed; returns whether a member died.
    pub fn tick(&mut self, now: Instant) -> bool {
        let due = |record: &Record| record.deadline.is_some_and(|deadline| deadline <= now);
        let turned = self.known.iter().filter(|(_, record)| due(record));
        let turned: Vec<_> = turned.map(|(node, _)| node.clone()).collect();
        let mut died = false;
        for node in turned {
            if self.known[&node].belief == Belief::Suspect {
                self.believe(now, &node, Belief::Dead);
                died = true;
            } else {
                self.known.remove(&node);
                self.queue.remove(&node);
            }
        }
        died
    }

    /// Moves all deadlines by the time for which this process was frozen, and
    /// refutes what was said of it meanwhile.
    pub fn rebase(&mut self, gap: Duration) {
        for record in self.known.values_mut() {
            record.deadline = record.deadline.map(|deadline| deadline + gap);
        }
        self.me.incarnation += 1;
        self.queue.insert(self.me.node.clone(), 0);
    }

    /// Returns this process's word on itself.
    #[must_use]
    pub fn own(&self) -> Rumour {
        Rumour {
            peer: self.me.clone(),
            belief: self.belief,
        }
    }

    /// Returns the rumours of the next message: this process's word on itself
    /// and the least told others.
    pub fn rumours(&mut self) -> Vec<Rumour> {
        let members = u32::try_from(self.known.len() + 2).unwrap_or(u32::MAX);
        let limit = REPEATS * (members.ilog2() + 1);
        self.queue.retain(|_, sent| *sent < limit);
        let mut order: Vec<_> = self
            .queue
            .iter()
            .map(|(node, sent)| (*sent, node))
            .collect();
        order.sort();
        let chosen: Vec<_> = order.into_iter().map(|(_, node)| node.clone()).collect();
        let mut rumours = vec![self.own()];
        for node in chosen.into_iter().take(RUMOURS) {
            if let Some(sent) = self.queue.get_mut(&node) {
                *sent += 1;
            }
            rumours.extend(self.rumour(&node));
        }
        rumours
    }

    /// Returns what this process believes of `node`, to be told.
    #[must_use]
    pub fn rumour(&self, node: &str) -> Option<Rumour> {
        self.known.get(node).map(|record| Rumour {
            peer: record.peer.clone(),
            belief: record.belief,
        })
    }

    /// Returns a checksum of the live members, to find differences.
    #[must_use]
    pub fn checksum(&self) -> u32 {
        let mut sum = checksum(&self.me);
        for record in self.live() {
            sum ^= checksum(&record.peer);
        }
        sum
    }

    /// Returns the next members of a walk over all, to repair a difference.
    pub fn window(&mut self) -> Vec<Rumour> {
        let after = (
            std::ops::Bound::Excluded(&self.cursor),
            std::ops::Bound::Unbounded,
        );
        let nodes = self.known.range::<id::Node, _>(after).map(|(node, _)| node);
        let nodes: Vec<_> = nodes.take(WINDOW).cloned().collect();
        let full = nodes.len() == WINDOW;
        self.cursor = nodes.last().filter(|_| full).cloned().unwrap_or_default();
        nodes.iter().filter_map(|node| self.rumour(node)).collect()
    }
}

fn checksum(peer: &Peer) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(peer.node.as_bytes());
    hasher.update(&peer.incarnation.to_le_bytes());
    hasher.finalize()
}

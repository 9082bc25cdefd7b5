//! What a leader knows of the others.

use crate::entry::{Member, Storage};
use crate::message::Round;
use crate::timing::Timing;
use flamingo_wire::id;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Batches that may be under way to one follower.
pub const WINDOW: usize = 8;

/// What a leader knows of one other member.
#[derive(Debug)]
pub struct Progress {
    /// Identity of its data folder.
    pub storage: Storage,
    /// Whether it counts for majorities.
    pub votes: bool,
    /// Next index to send.
    pub next: id::Index,
    /// Last index that it is known to hold.
    pub matched: id::Index,
    /// Whether its log is known to fit; until then one message at a time.
    pub streaming: bool,
    /// Whether nothing may be sent before an answer or the next heartbeat.
    pub paused: bool,
    /// Last indexes of the batches under way.
    pub inflight: VecDeque<id::Index>,
    /// When the newest heartbeat that it answered was sent.
    pub heard: Option<Instant>,
    /// Bytes of the snapshot that it holds.
    pub offset: u64,
    /// Index of the snapshot that it is being sent.
    pub installing: id::Index,
}

impl Progress {
    /// Starts anew, with nothing known but the identity.
    pub fn new(member: &Member, next: id::Index) -> Self {
        Self {
            storage: member.storage,
            votes: member.votes,
            next,
            matched: 0,
            streaming: false,
            paused: false,
            inflight: VecDeque::new(),
            heard: None,
            offset: 0,
            installing: 0,
        }
    }

    /// Returns whether entries may be sent now.
    pub fn ready(&self) -> bool {
        !self.paused && self.inflight.len() < WINDOW
    }

    /// Goes back to one message at a time, after `index`.
    pub fn probe(&mut self, index: id::Index) {
        self.streaming = false;
        self.paused = false;
        self.inflight.clear();
        self.next = index.max(self.matched) + 1;
    }
}

/// A write that is under way, and the last index that it makes durable.
#[derive(Debug)]
struct Write {
    number: u64,
    index: id::Index,
}

/// A heartbeat's number and time of sending.
#[derive(Debug)]
struct Sent {
    round: Round,
    at: Instant,
}

/// The leader's part.
#[derive(Debug)]
pub struct Leader {
    /// What is known of each other member.
    pub peers: BTreeMap<id::Node, Progress>,
    /// Number of the last heartbeat.
    pub round: Round,
    /// Last own index that is synced.
    pub durable: id::Index,
    since: Instant,
    alone: Option<Instant>,
    sent: VecDeque<Sent>,
    writes: VecDeque<Write>,
}

impl Leader {
    /// Heartbeats whose answers still count.
    const ROUNDS: usize = 64;

    /// Begins a leadership.
    pub fn new(now: Instant, next: id::Index, peers: &[Member]) -> Self {
        let peers = peers
            .iter()
            .map(|peer| (peer.node.clone(), Progress::new(peer, next)))
            .collect();
        Self {
            peers,
            round: 0,
            durable: 0,
            since: now,
            alone: None,
            sent: VecDeque::new(),
            writes: VecDeque::new(),
        }
    }

    /// Notes a write that is under way.
    pub fn wrote(&mut self, number: u64, index: id::Index) {
        self.writes.push_back(Write { number, index });
    }

    /// Notes that the first `count` writes are durable.
    pub fn synced(&mut self, count: u64) {
        while self
            .writes
            .front()
            .is_some_and(|write| write.number <= count)
        {
            if let Some(write) = self.writes.pop_front() {
                self.durable = self.durable.max(write.index);
            }
        }
    }

    /// Begins a heartbeat.
    pub fn beat(&mut self, now: Instant) {
        self.round += 1;
        let round = self.round;
        self.sent.push_back(Sent { round, at: now });
        if self.sent.len() > Self::ROUNDS {
            self.sent.pop_front();
        }
        let alone = self.peers.values().all(|peer| !peer.votes);
        self.alone = alone.then_some(now);
    }

    /// Notes the answer to a heartbeat.
    pub fn heard(&mut self, node: &str, round: Round) {
        let sent = self.sent.iter().find(|sent| sent.round == round);
        let Some(at) = sent.map(|sent| sent.at) else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(node) {
            peer.heard = peer.heard.max(Some(at));
        }
    }

    /// Returns the last index that `node` is known to hold.
    pub fn matched(&self, node: &str) -> id::Index {
        self.peers.get(node).map_or(0, |peer| peer.matched)
    }

    /// Returns the voter that has been silent the longest, if for `limit` at `now`.
    pub fn silent(&self, now: Instant, limit: std::time::Duration) -> Option<id::Node> {
        let voters = self.peers.iter().filter(|(_, peer)| peer.votes);
        let heard = voters.map(|(node, peer)| (peer.heard.unwrap_or(self.since), node));
        let (heard, node) = heard.min()?;
        (now >= heard + limit).then(|| node.clone())
    }

    /// Returns when the newest heartbeat that a majority answered was sent.
    fn confirmed(&self) -> Option<Instant> {
        if self.alone.is_some() {
            return self.alone;
        }
        let voters = self.peers.values().filter(|peer| peer.votes);
        let mut heard: Vec<_> = voters.map(|peer| peer.heard).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        // This member itself is one of the majority.
        let others = heard.len().div_ceil(2);
        heard.get(others.checked_sub(1)?).copied().flatten()
    }

    /// Returns until when reads may be answered.
    pub fn lease(&self, timing: &Timing) -> Option<Instant> {
        self.confirmed().map(|at| at + timing.lease)
    }

    /// Returns when leadership ends unless a majority is heard.
    pub fn until(&self, timing: &Timing) -> Instant {
        self.confirmed().unwrap_or(self.since) + timing.election
    }
}

//! Replication state that a leader keeps for the other members.

use crate::entry::{Member, Storage};
use crate::message::{Round, Silence};
use crate::timing::Timing;
use flamingo_wire::id;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Batches of entries that may be sent to one follower before it acknowledges the first.
pub const MAX_INFLIGHT_BATCHES: usize = 8;

/// Time for which a leader waits for an answer itself before it removes a voter that its predecessor had not
/// heard: a sound process may stand still for as long, and opening a connection may take as long.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);

/// Replication state of one other member.
#[derive(Debug)]
pub struct Progress {
    /// Storage identity of the member's data folder; 0 while it is not known.
    pub storage: Storage,
    /// Whether the member is a voter.
    pub votes: bool,
    /// Index of the next entry to send.
    pub next_index: id::Index,
    /// Last index that the member acknowledged as identical and synced.
    pub match_index: id::Index,
    /// Whether the member's log is known to match up to `next_index`. Until then the leader
    /// sends one message at a time.
    pub streaming: bool,
    /// Whether nothing may be sent before a reply or the next heartbeat.
    pub paused: bool,
    /// Last index of each batch that is sent and not acknowledged.
    pub inflight: VecDeque<id::Index>,
    /// Sending time of the newest heartbeat that the member answered; `None` before the
    /// first.
    pub last_contact: Option<Instant>,
    /// When the member was last heard, as far as this leader or the one before it knows; the time of the election
    /// or of its listing where neither has heard it.
    silent_since: Instant,
    /// Number of bytes of the snapshot that the member has.
    pub snapshot_offset: u64,
    /// Index of the snapshot that is being sent.
    pub sending_snapshot: id::Index,
}

impl Progress {
    /// Creates the state of a member of whose log nothing is known, and which was last heard at
    /// `silent_since`; sending starts at `next_index`.
    pub fn new(member: &Member, next_index: id::Index, silent_since: Instant) -> Self {
        Self {
            storage: member.storage,
            votes: member.votes,
            next_index,
            match_index: 0,
            streaming: false,
            paused: false,
            inflight: VecDeque::new(),
            last_contact: None,
            silent_since,
            snapshot_offset: 0,
            sending_snapshot: 0,
        }
    }

    /// Returns whether entries may be sent to the member now.
    pub fn ready(&self) -> bool {
        !self.paused && self.inflight.len() < MAX_INFLIGHT_BATCHES
    }

    /// Returns to sending one message at a time, from the entry after `index`.
    pub fn probe(&mut self, index: id::Index) {
        self.streaming = false;
        self.paused = false;
        self.inflight.clear();
        self.next_index = index.max(self.match_index) + 1;
    }
}

/// A write that is not synced yet, and the last index that it makes durable.
#[derive(Debug)]
struct Write {
    number: u64,
    index: id::Index,
}

/// Number and sending time of a heartbeat.
#[derive(Debug)]
struct SentHeartbeat {
    round: Round,
    at: Instant,
}

/// State of one leadership.
#[derive(Debug)]
pub struct Leader {
    /// Replication state of each other member.
    pub peers: BTreeMap<id::Node, Progress>,
    /// Number of the last heartbeat sent.
    pub round: Round,
    /// Last index that is synced on the leader's own disk.
    pub durable: id::Index,
    elected_at: Instant,
    /// Voters that had been silent for an election timeout when the last heartbeat was sent.
    silences: Vec<Silence>,
    sole_voter_at: Option<Instant>,
    sent_heartbeats: VecDeque<SentHeartbeat>,
    writes: VecDeque<Write>,
}

impl Leader {
    /// Number of the last heartbeats for which a reply still counts.
    const MAX_TRACKED_HEARTBEATS: usize = 64;

    /// Starts a leadership that was won at `now`. `silences` holds since when members have not answered the
    /// leader before it; of the others it is known only that they may have answered until `last_contact`, when
    /// this member last heard a leader, or started.
    pub fn new(
        now: Instant,
        next_index: id::Index,
        peers: &[Member],
        silences: &BTreeMap<id::Node, Instant>,
        last_contact: Instant,
    ) -> Self {
        let progress = |peer: &Member| {
            let silent_since = silences.get(&peer.node).copied().unwrap_or(last_contact);
            Progress::new(peer, next_index, silent_since)
        };
        let peers = peers
            .iter()
            .map(|peer| (peer.node.clone(), progress(peer)))
            .collect();
        Self {
            peers,
            round: 0,
            durable: 0,
            elected_at: now,
            silences: Vec::new(),
            sole_voter_at: None,
            sent_heartbeats: VecDeque::new(),
            writes: VecDeque::new(),
        }
    }

    /// Records that write number `number`, which ends at `index`, was issued.
    pub fn write_issued(&mut self, number: u64, index: id::Index) {
        self.writes.push_back(Write { number, index });
    }

    /// Records that the first `count` writes are durable.
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

    /// Numbers a new heartbeat and records its sending time, and the voters that have been silent for
    /// `timeout`.
    pub fn start_heartbeat(&mut self, now: Instant, timeout: Duration) {
        self.silences = self.find_silences(now, timeout);
        self.round += 1;
        let round = self.round;
        self.sent_heartbeats
            .push_back(SentHeartbeat { round, at: now });
        if self.sent_heartbeats.len() > Self::MAX_TRACKED_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        let sole_voter = self.peers.values().all(|peer| !peer.votes);
        self.sole_voter_at = sole_voter.then_some(now);
    }

    /// Records that `node` answered heartbeat `round`; the time of contact is when the
    /// heartbeat was sent, which is safe for the lease.
    pub fn record_heartbeat_reply(&mut self, node: &str, round: Round) {
        self.record_heard(node, round);
        let at = self.heartbeat_sent_at(round);
        if let Some(peer) = self.peers.get_mut(node) {
            peer.last_contact = peer.last_contact.max(at);
        }
    }

    /// Records that `node` heard heartbeat `round`, which ends its silence and says nothing of its disk.
    pub fn record_heard(&mut self, node: &str, round: Round) {
        let Some(at) = self.heartbeat_sent_at(round) else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(node) {
            peer.silent_since = peer.silent_since.max(at);
        }
    }

    /// Records that `node` has voted for this leader, which ends its silence.
    pub fn record_vote(&mut self, node: &str, now: Instant) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.silent_since = peer.silent_since.max(now);
        }
    }

    fn heartbeat_sent_at(&self, round: Round) -> Option<Instant> {
        let mut sent = self.sent_heartbeats.iter();
        let heartbeat = sent.find(|sent| sent.round == round)?;
        Some(heartbeat.at)
    }

    /// Returns the last index that `node` acknowledged, 0 where it is not listed.
    pub fn match_index(&self, node: &str) -> id::Index {
        self.peers.get(node).map_or(0, |peer| peer.match_index)
    }

    fn find_silences(&self, now: Instant, timeout: Duration) -> Vec<Silence> {
        let voters = self.peers.iter().filter(|(_, peer)| peer.votes);
        let ages = voters.map(|(node, peer)| (node, now.duration_since(peer.silent_since)));
        let silent = ages.filter(|(_, age)| *age >= timeout);
        let silences = silent.map(|(node, age)| Silence {
            node: node.clone(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        });
        silences.collect()
    }

    /// Returns the voters that have not answered for an election timeout.
    pub fn silences(&self) -> &[Silence] {
        &self.silences
    }

    /// Returns the voter that has been silent for the longest time, if that is the voter timeout or more. A
    /// leader asks for [`MIN_OBSERVATION`] itself before it says so.
    pub fn unresponsive_voter(&self, now: Instant, timing: &Timing) -> Option<id::Node> {
        if now < self.elected_at + MIN_OBSERVATION {
            return None;
        }
        let voters = self.peers.iter().filter(|(_, peer)| peer.votes);
        let silent = voters.map(|(node, peer)| (peer.silent_since, node));
        let (silent_since, node) = silent.min()?;
        (now >= silent_since + timing.voter_timeout).then(|| node.clone())
    }

    /// Returns since when each other member has been silent.
    pub fn silent_since(&self) -> impl Iterator<Item = (&id::Node, Instant)> {
        let peers = self.peers.iter();
        peers.map(|(node, peer)| (node, peer.silent_since))
    }

    /// Returns the sending time of the newest heartbeat that a majority answered; `None`
    /// before the first. A sole voter answers its own heartbeats.
    fn majority_contact(&self) -> Option<Instant> {
        if self.sole_voter_at.is_some() {
            return self.sole_voter_at;
        }
        let voters = self.peers.values().filter(|peer| peer.votes);
        let mut contacts: Vec<_> = voters.map(|peer| peer.last_contact).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        // The leader itself counts for the majority.
        let others = contacts.len().div_ceil(2);
        contacts.get(others.checked_sub(1)?).copied().flatten()
    }

    /// Returns the number of other voters that have answered a heartbeat sent at `since` or later.
    pub fn voters_heard_since(&self, since: Instant) -> usize {
        let voters = self.peers.values().filter(|peer| peer.votes);
        let heard = voters.filter(|peer| peer.last_contact.is_some_and(|at| at >= since));
        heard.count()
    }

    /// Returns until when the leader may answer reads; `None` before a majority answered.
    pub fn lease_end(&self, timing: &Timing) -> Option<Instant> {
        self.majority_contact().map(|at| at + timing.lease)
    }

    /// Returns when the leadership ends unless a majority answers another heartbeat.
    pub fn leadership_end(&self, timing: &Timing) -> Instant {
        self.majority_contact().unwrap_or(self.elected_at) + timing.election
    }
}

//! Elections: pre-votes, votes and the end of a leadership.
//!
//! A member votes for nobody for an election timeout after it received a message of a
//! leader, so that a member that was cut off cannot depose a leader which the majority
//! still reaches.

use super::{Action, Raft, Role, RoleState};
use crate::entry::{Member, Payload, Record, Storage, Vote};
use crate::message::{Body, Message, VoteRequest};
use crate::raft::leader::Leader;
use flamingo_wire::id;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

impl Raft {
    /// Restarts the election timeout with a new random part; a sole voter campaigns at
    /// once.
    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        let max_jitter = u64::try_from(self.timing.election.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.next_random() % max_jitter.max(1));
        self.next_action_at = now + self.timing.election + jitter;
        if self.is_voter() && self.majority() == 1 {
            self.next_action_at = now;
        }
    }

    /// Returns the next number of the seeded random sequence (`SplitMix64`, Steele 2014).
    pub(super) fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Every input that acts for the leader calls this first, so that a member that was
    /// paused does not act on a leadership that has ended.
    pub(super) fn step_down_if_expired(&mut self, now: Instant) {
        if let RoleState::Leader(leader) = &self.role_state
            && now >= leader.leadership_end(&self.timing)
        {
            self.become_follower(now, None);
        }
    }

    /// Becomes a follower; `leader` is `None` where the leader of the term is not known.
    pub(super) fn become_follower(&mut self, now: Instant, leader: Option<id::Node>) {
        let previous = self.role();
        if let RoleState::Leader(leader) = &self.role_state {
            let silences = leader.silent_since();
            self.silences = silences
                .map(|(node, since)| (node.clone(), since))
                .collect();
        }
        self.role_state = RoleState::Follower;
        self.leader = leader;
        if previous == Role::Unformed {
            return;
        }
        self.reset_election_deadline(now);
        if previous != Role::Follower {
            self.actions.push(Action::Became(Role::Follower));
        }
    }

    /// Adopts the term of a message where it is higher. Returns whether the message may be
    /// handled.
    ///
    /// A higher term is adopted only from a listed member or from a message that is
    /// addressed to this data folder; other messages with a higher term are dropped.
    /// Pre-votes and messages about joining or forming a group never change the term.
    pub(super) fn accept_term(&mut self, now: Instant, message: &Message) -> bool {
        let keeps_term = match &message.body {
            Body::RequestVote(request) => request.pre,
            Body::VoteReply { pre, granted } => *pre && *granted,
            Body::QueryUnformed
            | Body::Unformed
            | Body::InitialMembers(_)
            | Body::Join { .. }
            | Body::Referral { .. } => true,
            _ => false,
        };
        if keeps_term || message.term <= self.vote.term {
            return true;
        }
        // A vote request with a higher term must not depose a leader that is still active.
        if let Body::RequestVote(request) = &message.body
            && !request.transfer
            && self.has_current_leader(now)
        {
            return false;
        }
        let known = message.to_storage == self.storage || self.is_listed(message);
        if known {
            self.enter_term(now, message.term);
        }
        known
    }

    fn is_listed(&self, message: &Message) -> bool {
        let member = self.member(&message.from);
        member.is_some_and(|member| member.storage == message.from_storage)
    }

    /// Enters a higher term as a follower that has not voted in it.
    fn enter_term(&mut self, now: Instant, term: id::Term) {
        self.vote = Vote { term, node: None };
        self.write(Record::Vote(self.vote.clone()));
        self.become_follower(now, None);
    }

    fn has_current_leader(&self, now: Instant) -> bool {
        match &self.role_state {
            RoleState::Leader(leader) => now < leader.leadership_end(&self.timing),
            _ => now < self.vote_blocked_until,
        }
    }

    /// Returns the member `node` of the member list.
    pub(super) fn member(&self, node: &str) -> Option<&Member> {
        self.journal
            .members()
            .iter()
            .find(|member| member.node == node)
    }

    /// Returns whether the member list names this member, with this data folder, as a
    /// voter.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        let member = self.member(&self.node);
        member.is_some_and(|member| member.votes && member.storage == self.storage)
    }

    /// Starts an election, or with `pre` a pre-vote, which changes no term.
    pub(super) fn campaign(&mut self, now: Instant, pre: bool, transfer: bool) {
        self.reset_election_deadline(now);
        if !self.is_voter() {
            self.leader = None;
            // The leader may not know the storage identity of this data folder.
            self.request_join();
            return;
        }
        if self.disk_failed || self.disk_full {
            return;
        }
        if !pre {
            self.vote = Vote {
                term: self.vote.term + 1,
                node: Some(self.node.clone()),
            };
            self.write(Record::Vote(self.vote.clone()));
        }
        self.leader = None;
        self.role_state = RoleState::Candidate {
            pre,
            transfer,
            granted: BTreeSet::from([self.node.clone()]),
        };
        self.actions.push(Action::Became(Role::Candidate));
        let term = self.vote.term + u64::from(pre);
        let request = VoteRequest {
            pre,
            transfer,
            last_index: self.journal.last_index(),
            last_term: self.journal.last_term(),
        };
        let peers: Vec<_> = self.peers().filter(|peer| peer.votes).cloned().collect();
        for peer in peers {
            let body = Body::RequestVote(request.clone());
            let message = self.message(&peer.node, peer.storage, term, body);
            // The request states the length of this log, so the log must be durable first.
            self.queue_until_synced(message);
        }
        self.check_election(now);
    }

    /// Returns the listed members other than this one.
    pub(super) fn peers(&self) -> impl Iterator<Item = &Member> {
        let members = self.journal.members().iter();
        members.filter(|member| member.node != self.node)
    }

    /// Answers a vote request or pre-vote request of a candidate.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        term: id::Term,
        request: &VoteRequest,
    ) {
        if !self.has_member_list() {
            return;
        }
        let own_log = (self.journal.last_term(), self.journal.last_index());
        let up_to_date = (request.last_term, request.last_index) >= own_log;
        if request.pre {
            let granted = up_to_date && term > self.vote.term && !self.has_current_leader(now);
            let term = if granted { term } else { self.vote.term };
            let body = Body::VoteReply { pre: true, granted };
            let message = self.message(from, storage, term, body);
            self.actions.push(Action::Send(message));
            return;
        }
        let unvoted = self.vote.node.as_deref().is_none_or(|node| node == from);
        let follower = matches!(self.role_state, RoleState::Follower);
        let blocked = self.has_current_leader(now) && !request.transfer;
        let granted = up_to_date && term == self.vote.term && unvoted && follower && !blocked;
        if granted {
            if self.vote.node.is_none() {
                self.vote.node = Some(from.to_owned());
                self.write(Record::Vote(self.vote.clone()));
            }
            self.reset_election_deadline(now);
        }
        self.send_after_sync(
            from,
            storage,
            Body::VoteReply {
                pre: false,
                granted,
            },
        );
    }

    /// Counts a granted vote of a listed voter for the current election.
    pub(super) fn handle_vote(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        term: id::Term,
        pre: bool,
        granted: bool,
    ) {
        let member = self.member(from);
        let known = member.is_some_and(|member| member.votes && member.storage == storage);
        let expected = self.vote.term + u64::from(pre);
        if !known || !granted || term != expected {
            return;
        }
        if let RoleState::Candidate {
            pre: asked,
            granted,
            ..
        } = &mut self.role_state
            && *asked == pre
        {
            granted.insert(from.to_owned());
            self.check_election(now);
        }
    }

    /// Starts the election after a won pre-vote, or becomes the leader after a won
    /// election.
    ///
    /// A winner leads only once its own records are synced.
    pub(super) fn check_election(&mut self, now: Instant) {
        let RoleState::Candidate {
            pre,
            transfer,
            granted,
        } = &self.role_state
        else {
            return;
        };
        let (pre, transfer) = (*pre, *transfer);
        let votes = granted.len();
        if votes < self.majority() {
            return;
        }
        if pre {
            self.campaign(now, false, transfer);
        } else if self.synced_writes >= self.issued_writes {
            self.become_leader(now);
        }
    }

    /// Returns the number of voters in a majority.
    pub(super) fn majority(&self) -> usize {
        let members = self.journal.members().iter();
        members.filter(|member| member.votes).count() / 2 + 1
    }

    /// Returns when this member last heard a leader, or started.
    fn last_contact(&self) -> Option<Instant> {
        self.vote_blocked_until.checked_sub(self.timing.election)
    }

    fn become_leader(&mut self, now: Instant) {
        let voted = match &mut self.role_state {
            RoleState::Candidate { granted, .. } => std::mem::take(granted),
            _ => BTreeSet::new(),
        };
        let next = self.journal.last_index() + 1;
        let peers: Vec<_> = self.peers().cloned().collect();
        let silences = std::mem::take(&mut self.silences);
        // The leader before would have named a voter that was silent then, so this one spoke a heartbeat later.
        let last_contact = self.last_contact().map(|at| at + self.timing.heartbeat);
        let last_contact = last_contact.unwrap_or(now).min(now);
        let mut leader = Leader::new(now, next, &peers, &silences, last_contact);
        for node in &voted {
            leader.record_vote(node, now);
        }
        self.role_state = RoleState::Leader(Box::new(leader));
        self.leader = Some(self.node.clone());
        self.actions.push(Action::Became(Role::Leader));
        self.append_entry(Payload::Empty);
        self.send_heartbeats(now);
    }
}

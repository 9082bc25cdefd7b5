//! Elections: pre-vote, votes and loyalty to a leader that is heard.

use super::{Action, Raft, Role, Standing};
use crate::entry::{Member, Payload, Record, Storage, Vote};
use crate::message::{Ask, Body, Message};
use crate::raft::leader::Leader;
use flamingo_wire::id;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

impl Raft {
    /// Sets the election's deadline anew.
    pub(super) fn rest(&mut self, now: Instant) {
        let spread = u64::try_from(self.timing.election.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.random() % spread.max(1));
        self.deadline = now + self.timing.election + jitter;
        if self.votes() && self.majority() == 1 {
            self.deadline = now;
        }
    }

    /// Returns the next number of the seeded sequence (`SplitMix64`, Steele 2014).
    pub(super) fn random(&mut self) -> u64 {
        self.jitter = self.jitter.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.jitter;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Gives up leadership whose deadline has passed; first in every input.
    pub(super) fn expire(&mut self, now: Instant) {
        if let Standing::Leader(leader) = &self.standing
            && now >= leader.until(&self.timing)
        {
            self.follow(now, None);
        }
    }

    /// Becomes a follower of `leader`.
    pub(super) fn follow(&mut self, now: Instant, leader: Option<id::Node>) {
        let was = self.role();
        self.standing = Standing::Follower;
        self.leader = leader;
        if was == Role::Unformed {
            return;
        }
        self.rest(now);
        if was != Role::Follower {
            self.out.push(Action::Became(Role::Follower));
        }
    }

    /// Takes the term of a message; returns whether the message counts.
    pub(super) fn adopt(&mut self, now: Instant, message: &Message) -> bool {
        let future = match &message.body {
            Body::Ask(ask) => ask.pre,
            Body::Voted { pre, granted } => *pre && *granted,
            Body::Inquire | Body::Unformed | Body::Found(_) | Body::Join { .. } => true,
            _ => false,
        };
        if future || message.term <= self.vote.term {
            return true;
        }
        // A vote for a higher term is no reason to leave a leader that is heard.
        if let Body::Ask(ask) = &message.body
            && !ask.transfer
            && self.is_loyal(now)
        {
            return false;
        }
        let known = message.to_storage == self.storage || self.listed(message);
        if known {
            self.enter(now, message.term);
        }
        known
    }

    fn listed(&self, message: &Message) -> bool {
        let member = self.member(&message.from);
        member.is_some_and(|member| member.storage == message.from_storage)
    }

    /// Enters a higher term as a follower.
    fn enter(&mut self, now: Instant, term: id::Term) {
        self.vote = Vote { term, node: None };
        self.write(Record::Vote(self.vote.clone()));
        self.follow(now, None);
    }

    fn is_loyal(&self, now: Instant) -> bool {
        match &self.standing {
            Standing::Leader(leader) => now < leader.until(&self.timing),
            _ => now < self.loyal,
        }
    }

    /// Returns the entry of `node` in the member list.
    pub(super) fn member(&self, node: &str) -> Option<&Member> {
        self.journal
            .members()
            .iter()
            .find(|member| member.node == node)
    }

    /// Returns whether this member votes under its present storage identity.
    fn votes(&self) -> bool {
        let member = self.member(&self.node);
        member.is_some_and(|member| member.votes && member.storage == self.storage)
    }

    /// Asks for votes; first for pre-votes, which change nothing.
    pub(super) fn campaign(&mut self, now: Instant, pre: bool, transfer: bool) {
        self.rest(now);
        if !self.votes() {
            // A leader may never have heard of this folder's identity.
            self.ask_to_join();
            return;
        }
        if pre && matches!(self.membership, super::MembershipPolicy::Automatic { .. }) {
            // It may have been voted out while it was silent.
            self.ask_to_join();
        }
        if self.disk_failed {
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
        self.standing = Standing::Candidate {
            pre,
            transfer,
            granted: BTreeSet::from([self.node.clone()]),
        };
        self.out.push(Action::Became(Role::Candidate));
        let term = self.vote.term + u64::from(pre);
        let ask = Ask {
            pre,
            transfer,
            last_index: self.journal.last(),
            last_term: self.journal.last_term(),
        };
        let peers: Vec<_> = self.peers().filter(|peer| peer.votes).cloned().collect();
        for peer in peers {
            let body = Body::Ask(ask.clone());
            let message = self.message(&peer.node, peer.storage, term, body);
            // The question promises a log of this length: it must be durable.
            self.hold(message);
        }
        self.elect(now);
    }

    /// Returns the other members.
    pub(super) fn peers(&self) -> impl Iterator<Item = &Member> {
        let members = self.journal.members().iter();
        members.filter(|member| member.node != self.node)
    }

    /// Answers a candidate.
    pub(super) fn answer(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        term: id::Term,
        ask: &Ask,
    ) {
        if !self.formed() {
            return;
        }
        let ours = (self.journal.last_term(), self.journal.last());
        let fresh = (ask.last_term, ask.last_index) >= ours;
        if ask.pre {
            let granted = fresh && term > self.vote.term && !self.is_loyal(now);
            let term = if granted { term } else { self.vote.term };
            let body = Body::Voted { pre: true, granted };
            let message = self.message(from, storage, term, body);
            self.out.push(Action::Send(message));
            return;
        }
        let free = self.vote.node.as_deref().is_none_or(|node| node == from);
        let follower = matches!(self.standing, Standing::Follower);
        let loyal = self.is_loyal(now) && !ask.transfer;
        let granted = fresh && term == self.vote.term && free && follower && !loyal;
        if granted {
            if self.vote.node.is_none() {
                self.vote.node = Some(from.to_owned());
                self.write(Record::Vote(self.vote.clone()));
            }
            self.rest(now);
        }
        self.promise(
            from,
            storage,
            Body::Voted {
                pre: false,
                granted,
            },
        );
    }

    /// Counts a vote.
    pub(super) fn count(
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
        if let Standing::Candidate {
            pre: asked,
            granted,
            ..
        } = &mut self.standing
            && *asked == pre
        {
            granted.insert(from.to_owned());
            self.elect(now);
        }
    }

    /// Goes on where a majority has granted what was asked.
    pub(super) fn elect(&mut self, now: Instant) {
        let Standing::Candidate {
            pre,
            transfer,
            granted,
        } = &self.standing
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
        } else if self.synced >= self.written {
            self.lead(now);
        }
    }

    /// Returns how many voters make a majority.
    pub(super) fn majority(&self) -> usize {
        let members = self.journal.members().iter();
        members.filter(|member| member.votes).count() / 2 + 1
    }

    fn lead(&mut self, now: Instant) {
        let next = self.journal.last() + 1;
        let peers: Vec<_> = self.peers().cloned().collect();
        self.standing = Standing::Leader(Box::new(Leader::new(now, next, &peers)));
        self.leader = Some(self.node.clone());
        self.out.push(Action::Became(Role::Leader));
        self.push(Payload::Empty);
        self.beat(now);
    }
}

//! Changes of the member list, one member at a time.
//!
//! A member whose folder is new joins as a learner and is given its vote only
//! once it holds all that is committed. Before that its old identity loses its
//! vote, so that no majority rests on what the lost disk once acknowledged.

use super::{MembershipPolicy, Raft, Refusal, Seed, Standing};
use crate::entry::{Member, Payload, Storage};
use crate::message::Body;
use crate::raft::leader::Progress;
use flamingo_wire::id;
use std::net::SocketAddr;
use std::time::Instant;

/// An operator's change of the member list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a learner, which gets a vote once it has caught up; then the member
    /// that it replaces leaves, where one is named.
    Add {
        /// The new member.
        seed: Seed,
        /// The member that leaves.
        replaces: Option<id::Node>,
    },
    /// Removes a member.
    Remove(id::Node),
}

impl Raft {
    /// Changes the member list by one member.
    ///
    /// # Errors
    ///
    /// Returns a refusal where this member doesn't lead, where another change
    /// is under way, or where the list does not allow it.
    pub fn change(&mut self, now: Instant, change: Change) -> Result<(), Refusal> {
        self.expire(now);
        self.leading()?;
        if !self.settled() {
            return Err(Refusal::Busy);
        }
        let mut members = self.journal.members().to_vec();
        match change {
            Change::Add { seed, replaces } => {
                if self.member(&seed.node).is_some() {
                    let message = format!("'{}' is a member already", seed.node);
                    return Err(Refusal::Invalid(message));
                }
                if let Some(old) = &replaces
                    && self.member(old).is_none()
                {
                    return Err(Refusal::Invalid(format!("no member '{old}' to replace")));
                }
                members.push(Member {
                    node: seed.node,
                    address: seed.address,
                    storage: 0,
                    votes: false,
                    replaces,
                });
            }
            Change::Remove(node) => {
                let member = self.member(&node);
                let Some(member) = member else {
                    return Err(Refusal::Invalid(format!("no member '{node}'")));
                };
                let voters = members.iter().filter(|member| member.votes).count();
                if member.votes && voters == 1 {
                    let message = "the last voting member can't be removed".to_owned();
                    return Err(Refusal::Invalid(message));
                }
                members.retain(|member| member.node != node);
            }
        }
        self.enlist(now, members);
        Ok(())
    }

    /// Takes the wish of a member whose folder is new.
    pub(super) fn joined(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        address: SocketAddr,
    ) {
        if !self.formed() {
            return;
        }
        let Some(member) = self.member(from).cloned() else {
            self.admit(now, from, storage, address);
            return;
        };
        if member.storage == storage {
            self.greet(from, storage);
            return;
        }
        if self.leading().is_err() || !self.settled() {
            return;
        }
        let mut members = self.journal.members().to_vec();
        for member in members.iter_mut().filter(|member| member.node == from) {
            member.storage = storage;
            member.address = address;
            member.votes = false;
        }
        self.enlist(now, members);
    }

    /// Lets a stranger in as a learner, where the member list is open.
    fn admit(&mut self, now: Instant, from: &str, storage: Storage, address: SocketAddr) {
        let open = matches!(self.membership, MembershipPolicy::Automatic { .. });
        if !open || self.leading().is_err() || !self.settled() {
            return;
        }
        let mut members = self.journal.members().to_vec();
        members.push(Member {
            node: from.to_owned(),
            address,
            storage,
            votes: false,
            replaces: None,
        });
        self.enlist(now, members);
    }

    /// Votes out a voter that stays silent, while enough others vote: it was
    /// replaced, or asks to be let in again when it comes back.
    fn dismiss(&mut self, now: Instant) {
        let MembershipPolicy::Automatic { min_voters, .. } = self.membership else {
            return;
        };
        let Standing::Leader(leader) = &self.standing else {
            return;
        };
        let mut members = self.journal.members().to_vec();
        let voters = members.iter().filter(|member| member.votes).count();
        if voters <= min_voters {
            return;
        }
        if let Some(silent) = leader.silent(now, self.timing.voter_timeout) {
            members.retain(|member| member.node != silent);
            self.enlist(now, members);
        }
    }

    /// Tells a listed member the first member list, where the log starts there.
    fn greet(&mut self, to: &str, storage: Storage) {
        if self.journal.base() == 0 {
            let members = self.journal.snapshot().members.clone();
            self.send(to, storage, Body::Found(members));
        }
    }

    /// Returns whether a change of members may begin: none is under way, and
    /// an entry of this term is committed (Ongaro's correction of 2015).
    fn settled(&self) -> bool {
        self.journal.roster_index() <= self.commit
            && self.journal.term(self.commit) == Some(self.vote.term)
    }

    fn enlist(&mut self, now: Instant, members: Vec<Member>) {
        self.push(Payload::Members(members));
        let next = self.journal.last() + 1;
        let peers: Vec<_> = self.peers().cloned().collect();
        if let Standing::Leader(leader) = &mut self.standing {
            leader
                .peers
                .retain(|node, _| peers.iter().any(|peer| &peer.node == node));
            for peer in &peers {
                let fresh = || Progress::new(peer, next);
                let known = leader.peers.entry(peer.node.clone()).or_insert_with(fresh);
                if known.storage != peer.storage {
                    *known = fresh();
                }
                known.votes = peer.votes;
            }
        }
        self.spread(false);
        self.advance(now);
    }

    /// Carries on what a committed member list asks for; on each heartbeat.
    pub(super) fn tend(&mut self, now: Instant) {
        if self.leading().is_err() || !self.settled() {
            return;
        }
        let mut members = self.journal.members().to_vec();
        if let Some(node) = self.caught_up() {
            for member in members.iter_mut().filter(|member| member.node == node) {
                member.votes = true;
            }
            self.enlist(now, members);
            return;
        }
        let replacing = members
            .iter_mut()
            .find(|member| member.votes && member.replaces.is_some());
        if let Some(member) = replacing {
            let old = member.replaces.take();
            members.retain(|member| Some(&member.node) != old.as_ref());
            self.enlist(now, members);
            return;
        }
        self.dismiss(now);
    }

    /// Returns a learner that holds all that is committed.
    fn caught_up(&self) -> Option<id::Node> {
        let Standing::Leader(leader) = &self.standing else {
            return None;
        };
        let ready = |member: &&Member| {
            let peer = leader.peers.get(&member.node);
            !member.votes
                && member.storage != 0
                && peer.is_some_and(|peer| peer.streaming && peer.matched >= self.commit)
        };
        let members = self.journal.members().iter();
        members
            .filter(|member| member.node != self.node)
            .find(ready)
            .map(|member| member.node.clone())
    }

    /// Steps down once a list without this member is committed.
    pub(super) fn settle(&mut self, now: Instant) {
        let gone = self.member(&self.node).is_none_or(|member| !member.votes);
        if gone && self.journal.roster_index() <= self.commit {
            self.follow(now, None);
        }
    }

    /// Gives up leadership in favour of the member that holds the most.
    pub fn transfer_leadership(&mut self, now: Instant) {
        self.expire(now);
        let Standing::Leader(leader) = &self.standing else {
            return;
        };
        let voters = leader.peers.iter().filter(|(_, peer)| peer.votes);
        let best = voters.max_by_key(|(_, peer)| peer.matched);
        let heir = best.map(|(node, peer)| (node.clone(), peer.storage));
        if let Some((node, storage)) = heir {
            self.follow(now, None);
            self.send(&node, storage, Body::Transfer);
        }
    }
}

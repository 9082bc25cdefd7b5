//! Changes of the member list, one member at a time.
//!
//! A member whose data folder is new joins as a learner and gets its vote only once it has
//! all committed entries. Its old storage identity loses its vote before that, so that no
//! majority counts acknowledgements of the lost disk.

use super::{MembershipPolicy, Raft, Refusal, RoleState, Seed};
use crate::entry::{Member, Payload, Storage};
use crate::message::Body;
use crate::raft::leader::Progress;
use flamingo_wire::id;
use std::net::SocketAddr;
use std::time::Instant;

/// A change of the member list that an operator requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a learner, which becomes a voter once it has caught up. The member that it
    /// replaces, if any, is removed after that.
    Add {
        /// The member to add.
        seed: Seed,
        /// The member to remove once the new one votes.
        replaces: Option<id::Node>,
    },
    /// Removes the member of this name.
    Remove(id::Node),
}

impl Raft {
    /// Appends a member list that differs from the last by one member.
    ///
    /// # Errors
    ///
    /// Returns an error where this member doesn't lead, where another change is in
    /// progress, or where the member list does not allow the change.
    pub fn change(&mut self, now: Instant, change: Change) -> Result<(), Refusal> {
        self.step_down_if_expired(now);
        self.check_leadership()?;
        if !self.can_change_members() {
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
        self.append_members(now, members);
        Ok(())
    }

    /// Handles the request of an instance to join under the identity of its data folder.
    pub(super) fn handle_join(
        &mut self,
        now: Instant,
        from: &str,
        storage: Storage,
        address: SocketAddr,
    ) {
        if !self.has_member_list() {
            return;
        }
        let member = self.member(from);
        let listed = member.is_some();
        if let Some(member) = member.filter(|member| member.storage == storage) {
            let moved = member.address != address;
            self.send_initial_members(from, storage);
            if moved {
                self.change_address(now, from, address);
            }
            return;
        }
        let automatic = matches!(self.membership, MembershipPolicy::Automatic { .. });
        if !listed && !automatic {
            return;
        }
        if self.check_leadership().is_err() {
            self.refer_to_leader(now, from, storage, address);
            return;
        }
        if !self.can_change_members() {
            return;
        }
        if listed {
            self.relist(now, from, storage, address);
        } else {
            self.add_learner(now, from, storage, address);
        }
    }

    /// Names the leader to an instance that asked this member to be listed.
    fn refer_to_leader(&mut self, now: Instant, from: &str, storage: Storage, address: SocketAddr) {
        let leader = self.leader.clone().filter(|leader| *leader != self.node);
        let Some(leader) = leader.and_then(|leader| self.member(&leader).cloned()) else {
            return;
        };
        self.contacts.record(now, from, address);
        let body = Body::Referral {
            leader: leader.node,
            address: leader.address,
        };
        self.send(from, storage, body);
    }

    /// Asks the leader, which another member has named, to be listed. Members that vote by their own list do so
    /// too: they may have been removed while they were away.
    pub(super) fn handle_referral(&mut self, now: Instant, leader: &str, address: SocketAddr) {
        if leader == self.node {
            return;
        }
        self.contacts.record(now, leader, address);
        let address = self.address;
        self.send(leader, 0, Body::Join { address });
    }

    /// Replaces the address of a member that has come back elsewhere with its data folder.
    fn change_address(&mut self, now: Instant, node: &str, address: SocketAddr) {
        if self.check_leadership().is_err() || !self.can_change_members() {
            return;
        }
        let mut members = self.journal.members().to_vec();
        for member in members.iter_mut().filter(|member| member.node == node) {
            member.address = address;
        }
        self.append_members(now, members);
    }

    /// Replaces the storage identity of a member whose data folder is new. It is a learner until it has
    /// caught up.
    fn relist(&mut self, now: Instant, from: &str, storage: Storage, address: SocketAddr) {
        let mut members = self.journal.members().to_vec();
        for member in members.iter_mut().filter(|member| member.node == from) {
            member.storage = storage;
            member.address = address;
            member.votes = false;
        }
        self.append_members(now, members);
    }

    /// Adds an unlisted instance as a learner.
    fn add_learner(&mut self, now: Instant, from: &str, storage: Storage, address: SocketAddr) {
        let mut members = self.journal.members().to_vec();
        members.push(Member {
            node: from.to_owned(),
            address,
            storage,
            votes: false,
            replaces: None,
        });
        self.append_members(now, members);
    }

    /// Removes a voter that has not answered for
    /// [`voter_timeout`](crate::Timing::voter_timeout), while more than the minimum vote.
    /// It was either replaced, or asks to join again once it is reachable.
    fn remove_unresponsive_voter(&mut self, now: Instant) {
        let MembershipPolicy::Automatic { min_voters, .. } = self.membership else {
            return;
        };
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let mut members = self.journal.members().to_vec();
        let voters = members.iter().filter(|member| member.votes).count();
        if voters <= min_voters {
            return;
        }
        if let Some(unresponsive) = leader.unresponsive_voter(now, &self.timing) {
            members.retain(|member| member.node != unresponsive);
            self.append_members(now, members);
        }
    }

    /// Sends the first member list to a listed member, unless a snapshot has replaced the
    /// first entries.
    fn send_initial_members(&mut self, to: &str, storage: Storage) {
        if self.journal.snapshot_index() == 0 {
            let members = self.journal.snapshot().members.clone();
            self.send(to, storage, Body::InitialMembers(members));
        }
    }

    /// Returns whether a change of members may begin: the last change is committed, and so
    /// is an entry of this term (Ongaro's correction of 2015 to single-server changes).
    fn can_change_members(&self) -> bool {
        self.journal.members_index() <= self.commit_index
            && self.journal.term(self.commit_index) == Some(self.vote.term)
    }

    fn append_members(&mut self, now: Instant, members: Vec<Member>) {
        self.append_entry(Payload::Members(members));
        let next = self.journal.last_index() + 1;
        let peers: Vec<_> = self.peers().cloned().collect();
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader
                .peers
                .retain(|node, _| peers.iter().any(|peer| &peer.node == node));
            for peer in &peers {
                let new_progress = || Progress::new(peer, next, now);
                let progress = leader
                    .peers
                    .entry(peer.node.clone())
                    .or_insert_with(new_progress);
                if progress.storage != peer.storage {
                    *progress = new_progress();
                }
                progress.votes = peer.votes;
            }
        }
        self.replicate(false);
        self.advance_commit(now);
    }

    /// Takes the next step of a change of members: gives a learner its vote, removes a
    /// replaced member, or removes an unresponsive voter. Runs at each heartbeat.
    pub(super) fn advance_membership(&mut self, now: Instant) {
        if self.check_leadership().is_err() || !self.can_change_members() {
            return;
        }
        let mut members = self.journal.members().to_vec();
        if let Some(node) = self.caught_up_learner() {
            for member in members.iter_mut().filter(|member| member.node == node) {
                member.votes = true;
            }
            self.append_members(now, members);
            return;
        }
        let replacing = members
            .iter_mut()
            .find(|member| member.votes && member.replaces.is_some());
        if let Some(member) = replacing {
            let old = member.replaces.take();
            members.retain(|member| Some(&member.node) != old.as_ref());
            self.append_members(now, members);
            return;
        }
        self.remove_unresponsive_voter(now);
    }

    /// Returns a learner that has acknowledged all committed entries.
    fn caught_up_learner(&self) -> Option<id::Node> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        let is_caught_up = |member: &&Member| {
            let peer = leader.peers.get(&member.node);
            !member.votes
                && member.storage != 0
                && peer.is_some_and(|peer| peer.streaming && peer.match_index >= self.commit_index)
        };
        let members = self.journal.members().iter();
        members
            .filter(|member| member.node != self.node)
            .find(is_caught_up)
            .map(|member| member.node.clone())
    }

    /// Steps down once a member list in which this member has no vote is committed.
    pub(super) fn step_down_if_removed(&mut self, now: Instant) {
        let removed = self.member(&self.node).is_none_or(|member| !member.votes);
        if removed && self.journal.members_index() <= self.commit_index {
            self.become_follower(now, None);
        }
    }

    /// Steps down and asks the voter with the most acknowledged entries to start an
    /// election at once.
    pub fn transfer_leadership(&mut self, now: Instant) {
        self.step_down_if_expired(now);
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let voters = leader.peers.iter().filter(|(_, peer)| peer.votes);
        let best = voters.max_by_key(|(_, peer)| peer.match_index);
        let successor = best.map(|(node, peer)| (node.clone(), peer.storage));
        if let Some((node, storage)) = successor {
            self.become_follower(now, None);
            self.send(&node, storage, Body::TimeoutNow);
        }
    }
}

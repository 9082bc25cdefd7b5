//! Formation of the first member list.
//!
//! A member without a member list never votes. Of the seeds, the one with the lowest name
//! makes the list, but only after every other seed has answered that it has no list either.
//! A member whose disk was wiped can therefore not form a second group beside the one that
//! it belonged to.

use super::{Action, MembershipPolicy, Raft, Role};
use crate::entry::{Cluster, Member, Record, Snapshot, Storage};
use crate::message::Body;
use flamingo_wire::id;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

impl Raft {
    /// Asks the other members to add this one, and tries to form a group. Called repeatedly
    /// while this member has no list.
    pub(super) fn request_members(&mut self, now: Instant) {
        self.next_action_at = now + self.timing.heartbeat * 2;
        self.leader = None;
        self.request_join();
        if self.may_bootstrap() {
            for node in self.others() {
                self.send(&node, 0, Body::QueryUnformed);
            }
            self.try_bootstrap(now);
        }
    }

    /// Asks to be listed, in case that the leader has removed this member while it was away: without it the group
    /// may be at its minimum of voters, and keep one that is gone.
    pub(super) fn request_join_without_leader(&mut self, now: Instant) {
        let automatic = matches!(self.membership, MembershipPolicy::Automatic { .. });
        let leaderless = self.has_member_list() && self.leader.is_none();
        if automatic && leaderless && now >= self.next_join_at {
            self.next_join_at = now + self.timing.heartbeat * 2;
            self.request_join();
        }
    }

    /// Asks every known member to be added under the identity of this data folder.
    pub(super) fn request_join(&mut self) {
        for node in self.others() {
            let address = self.address;
            self.send(&node, 0, Body::Join { address });
        }
    }

    /// Returns the names of the other members, from the member list and from the settings, and those of
    /// leaders that others have named.
    fn others(&self) -> BTreeSet<id::Node> {
        let seeds = self.seeds.iter().map(|seed| seed.node.clone());
        let peers = self.peers().map(|peer| peer.node.clone());
        let contacts = self.contacts.iter().map(|contact| contact.node);
        let others = seeds.chain(peers).chain(contacts);
        others.filter(|node| *node != self.node).collect()
    }

    /// Returns whether this member may make the first list: the seed with the lowest name
    /// does.
    fn may_bootstrap(&self) -> bool {
        if matches!(
            self.membership,
            MembershipPolicy::Automatic {
                bootstraps: false,
                ..
            }
        ) {
            return false;
        }
        let first = self.seeds.iter().map(|seed| &seed.node).min();
        first.is_none_or(|node| node == &self.node)
    }

    /// Answers a query for instances without a member list, where this one has none and may
    /// take part in making the first.
    pub(super) fn handle_unformed_query(&mut self, from: &str, storage: Storage) {
        let bootstraps = !matches!(
            self.membership,
            MembershipPolicy::Automatic {
                bootstraps: false,
                ..
            }
        );
        if !self.has_member_list() && bootstraps {
            self.send(from, storage, Body::Unformed);
        }
    }

    /// Records that the seed `from` has no member list, and forms the group once all have
    /// answered.
    pub(super) fn handle_unformed(&mut self, now: Instant, from: id::Node, storage: Storage) {
        if self.has_member_list() || !self.may_bootstrap() {
            return;
        }
        if self.seeds.iter().any(|seed| seed.node == from) {
            self.unformed_seeds.insert(from, storage);
            self.try_bootstrap(now);
        }
    }

    fn try_bootstrap(&mut self, now: Instant) {
        let mut members = Vec::new();
        for seed in &self.seeds {
            let storage = if seed.node == self.node {
                self.storage
            } else if let Some(storage) = self.unformed_seeds.get(&seed.node) {
                *storage
            } else {
                return;
            };
            members.push(Member {
                node: seed.node.clone(),
                address: seed.address,
                storage,
                votes: true,
                replaces: None,
            });
        }
        if members.is_empty() {
            members.push(Member {
                node: self.node.clone(),
                address: self.address,
                storage: self.storage,
                votes: true,
                replaces: None,
            });
        }
        self.install_initial_members(now, self.storage, members.clone());
        for member in members {
            if member.node != self.node {
                self.send_after_sync(
                    &member.node,
                    member.storage,
                    Body::InitialMembers(members_of(self)),
                );
            }
        }
    }

    /// Installs the first member list as the snapshot at index 0.
    pub(super) fn install_initial_members(
        &mut self,
        now: Instant,
        cluster: Cluster,
        members: Vec<Member>,
    ) {
        if self.has_member_list() || cluster == 0 {
            return;
        }
        let snapshot = Arc::new(Snapshot {
            cluster,
            members,
            ..Snapshot::default()
        });
        self.journal.restore(Arc::clone(&snapshot));
        self.write(Record::Snapshot(snapshot));
        self.actions.push(Action::Became(Role::Follower));
        self.reset_election_deadline(now);
    }
}

fn members_of(raft: &Raft) -> Vec<Member> {
    raft.journal.members().to_vec()
}

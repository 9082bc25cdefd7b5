//! How the first member list comes to be.
//!
//! A member without a member list never votes. The first of those that the
//! settings name makes the list, but only after every one of them has said
//! that it has none either: a wiped member can therefore not found a second
//! group beside the one that it has forgotten.

use super::{Action, MembershipPolicy, Raft, Role};
use crate::entry::{Cluster, Member, Record, Snapshot, Storage};
use crate::message::Body;
use flamingo_wire::id;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

impl Raft {
    /// Asks the others what they know; while there is no member list.
    pub(super) fn seek(&mut self, now: Instant) {
        self.deadline = now + self.timing.heartbeat * 2;
        self.ask_to_join();
        if self.founder() {
            for node in self.others() {
                self.send(&node, 0, Body::Inquire);
            }
            self.form(now);
        }
    }

    /// Asks every member that is known to be let in under this identity.
    pub(super) fn ask_to_join(&mut self) {
        for node in self.others() {
            let address = self.address;
            self.send(&node, 0, Body::Join { address });
        }
    }

    /// Returns the other members, listed or named in the settings.
    fn others(&self) -> BTreeSet<id::Node> {
        let seeds = self.seeds.iter().map(|seed| &seed.node);
        let peers = self.peers().map(|peer| &peer.node);
        let others = seeds.chain(peers).filter(|node| **node != self.node);
        others.cloned().collect()
    }

    /// Returns whether this member makes the first list.
    fn founder(&self) -> bool {
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

    /// Answers who asks for members without a list.
    pub(super) fn inquired(&mut self, from: &str, storage: Storage) {
        let founds = !matches!(
            self.membership,
            MembershipPolicy::Automatic {
                bootstraps: false,
                ..
            }
        );
        if !self.formed() && founds {
            self.send(from, storage, Body::Unformed);
        }
    }

    /// Notes a member that has no list either.
    pub(super) fn gather(&mut self, now: Instant, from: id::Node, storage: Storage) {
        if self.formed() || !self.founder() {
            return;
        }
        if self.seeds.iter().any(|seed| seed.node == from) {
            self.unformed.insert(from, storage);
            self.form(now);
        }
    }

    fn form(&mut self, now: Instant) {
        let mut members = Vec::new();
        for seed in &self.seeds {
            let storage = if seed.node == self.node {
                self.storage
            } else if let Some(storage) = self.unformed.get(&seed.node) {
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
        self.found(now, self.storage, members.clone());
        for member in members {
            if member.node != self.node {
                self.promise(&member.node, member.storage, Body::Found(members_of(self)));
            }
        }
    }

    /// Takes the first member list.
    pub(super) fn found(&mut self, now: Instant, cluster: Cluster, members: Vec<Member>) {
        if self.formed() || cluster == 0 {
            return;
        }
        let snapshot = Arc::new(Snapshot {
            cluster,
            members,
            ..Snapshot::default()
        });
        self.journal.restore(Arc::clone(&snapshot));
        self.write(Record::Snapshot(snapshot));
        self.out.push(Action::Became(Role::Follower));
        self.rest(now);
    }
}

fn members_of(raft: &Raft) -> Vec<Member> {
    raft.journal.members().to_vec()
}

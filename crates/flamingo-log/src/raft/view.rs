//! Read access to the state of a member.

use super::{Raft, Role, RoleState, Seed};
use crate::entry::{Cluster, Member, Storage};
use flamingo_wire::id;
use std::time::Instant;

impl Raft {
    /// Returns whether this member leads at `now`: its disk works, and a majority answered
    /// within the election timeout.
    #[must_use]
    pub fn is_leader(&self, now: Instant) -> bool {
        match &self.role_state {
            RoleState::Leader(leader) => {
                !self.disk_failed && now < leader.leadership_end(&self.timing)
            }
            _ => false,
        }
    }

    /// Returns when this member's leadership ends unless a majority answers before; `None`
    /// where it does not lead.
    #[must_use]
    pub fn leadership_deadline(&self) -> Option<Instant> {
        match &self.role_state {
            RoleState::Leader(leader) => Some(leader.leadership_end(&self.timing)),
            _ => None,
        }
    }

    /// Returns the number of voters, this member included, that have answered within the election timeout;
    /// `None` where this member does not lead.
    #[must_use]
    pub fn reached_voters(&self, now: Instant) -> Option<usize> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        let since = now.checked_sub(self.timing.election)?;
        Some(leader.voters_heard_since(since) + usize::from(self.is_voter()))
    }

    /// Returns whether this member may answer reads from the committed state at `now`.
    ///
    /// This holds for a leader whose lease has not ended, so that no other member can have
    /// been elected, and which has committed an entry of its term, so that it knows all
    /// entries that earlier leaders committed.
    #[must_use]
    pub fn has_read_lease(&self, now: Instant) -> bool {
        match &self.role_state {
            RoleState::Leader(leader) => {
                self.journal.term(self.commit_index) == Some(self.vote.term)
                    && leader
                        .lease_end(&self.timing)
                        .is_some_and(|until| now < until)
            }
            _ => false,
        }
    }

    /// Returns the role of this member.
    #[must_use]
    pub fn role(&self) -> Role {
        match &self.role_state {
            _ if !self.has_member_list() => Role::Unformed,
            RoleState::Follower => Role::Follower,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Returns the leader of the current term, or `None` where this member knows none.
    #[must_use]
    pub fn leader(&self) -> Option<&id::Node> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> id::Term {
        self.vote.term
    }

    /// Returns the index of the last entry that this member knows to be committed.
    #[must_use]
    pub fn commit_index(&self) -> id::Index {
        self.commit_index
    }

    /// Returns the index of the last entry of the log.
    #[must_use]
    pub fn last_index(&self) -> id::Index {
        self.journal.last_index()
    }

    /// Returns the last index that the snapshot covers.
    #[must_use]
    pub fn snapshot_index(&self) -> id::Index {
        self.journal.snapshot_index()
    }

    /// Returns the last member list of the log, committed or not.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.journal.members()
    }

    /// Returns the instances outside the member list with which messages are exchanged: those that ask to
    /// join, and leaders that others have named to this member.
    pub fn contacts(&self) -> impl Iterator<Item = Seed> {
        self.contacts.iter()
    }

    /// Returns the last index that `node` has acknowledged, 0 where this member does not
    /// lead; for this member itself, the last index of its log.
    #[must_use]
    pub fn match_index(&self, node: &str) -> id::Index {
        match &self.role_state {
            RoleState::Leader(leader) if node != self.node => leader.match_index(node),
            _ if node == self.node => self.journal.last_index(),
            _ => 0,
        }
    }

    /// Returns whether this member's disk has no room.
    #[must_use]
    pub fn disk_full(&self) -> bool {
        self.disk_full
    }

    /// Returns whether a write to this member's disk failed.
    #[must_use]
    pub fn disk_failed(&self) -> bool {
        self.disk_failed
    }

    /// Returns the storage identity of this member's data folder.
    #[must_use]
    pub fn storage(&self) -> Storage {
        self.storage
    }

    /// Returns the identity of this member's group; 0 while it has none.
    #[must_use]
    pub fn cluster(&self) -> Cluster {
        self.journal.cluster()
    }
}

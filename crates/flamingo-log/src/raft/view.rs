//! What the caller may see of a member.

use super::{Raft, Role, Standing};
use crate::entry::{Cluster, Member, Storage};
use flamingo_wire::id;
use std::time::Instant;

impl Raft {
    /// Returns whether this member leads, by its own deadline, at `now`.
    #[must_use]
    pub fn is_leader(&self, now: Instant) -> bool {
        match &self.standing {
            Standing::Leader(leader) => !self.disk_failed && now < leader.until(&self.timing),
            _ => false,
        }
    }

    /// Returns when this member's leadership ends unless a majority is heard before.
    #[must_use]
    pub fn leadership_deadline(&self) -> Option<Instant> {
        match &self.standing {
            Standing::Leader(leader) => Some(leader.until(&self.timing)),
            _ => None,
        }
    }

    /// Returns whether the committed state may answer reads at `now`.
    ///
    /// That is the case while no other member can have been elected, and all
    /// that earlier leaders committed is known.
    #[must_use]
    pub fn has_read_lease(&self, now: Instant) -> bool {
        match &self.standing {
            Standing::Leader(leader) => {
                self.journal.term(self.commit) == Some(self.vote.term)
                    && leader.lease(&self.timing).is_some_and(|until| now < until)
            }
            _ => false,
        }
    }

    /// Returns what this member is.
    #[must_use]
    pub fn role(&self) -> Role {
        match &self.standing {
            _ if !self.formed() => Role::Unformed,
            Standing::Follower => Role::Follower,
            Standing::Candidate { .. } => Role::Candidate,
            Standing::Leader(_) => Role::Leader,
        }
    }

    /// Returns who leads, as far as this member knows.
    #[must_use]
    pub fn leader(&self) -> Option<&id::Node> {
        self.leader.as_ref()
    }

    /// Returns the term.
    #[must_use]
    pub fn term(&self) -> id::Term {
        self.vote.term
    }

    /// Returns the last committed index that is known here.
    #[must_use]
    pub fn commit_index(&self) -> id::Index {
        self.commit
    }

    /// Returns the last index.
    #[must_use]
    pub fn last_index(&self) -> id::Index {
        self.journal.last()
    }

    /// Returns the last index that the snapshot covers.
    #[must_use]
    pub fn snapshot_index(&self) -> id::Index {
        self.journal.base()
    }

    /// Returns the member list in force.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.journal.members()
    }

    /// Returns the last index that `node` is known to hold.
    #[must_use]
    pub fn match_index(&self, node: &str) -> id::Index {
        match &self.standing {
            Standing::Leader(leader) if node != self.node => leader.matched(node),
            _ if node == self.node => self.journal.last(),
            _ => 0,
        }
    }

    /// Returns whether the disk failed.
    #[must_use]
    pub fn disk_failed(&self) -> bool {
        self.disk_failed
    }

    /// Returns the identity of this member's data folder.
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

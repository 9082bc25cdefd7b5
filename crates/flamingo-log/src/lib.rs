//! The replicated log of the control instances: election, replication, membership,
//! snapshots and storage on disk.
//!
//! The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014; membership changes of one member at a time, pre-votes and leases are
//! from Ongaro's thesis, chapters 4, 6 and 9). In addition, every member has a *storage
//! identity*: a random number that is created with its data folder and is part of the
//! member list. A vote or an acknowledgement counts only under the listed identity. A
//! member whose disk was wiped therefore cannot vote again in a term in which it has
//! already voted, nor count as having entries that it lost ("Protocol-Aware Recovery for
//! Consensus-Based Storage", Alagappan 2018, describes the fault).
//!
//! [`Raft`] is a pure state machine: inputs come with an `Instant`, and the caller carries
//! out the actions. [`disk::Disk`] stores its records.

pub mod disk;
pub mod entry;
pub mod file;
pub mod message;
pub mod raft;
pub mod segment;
pub mod timing;

pub use disk::Disk;
pub use entry::{Entry, Member, Payload, Record, Snapshot, Vote};
pub use message::Message;
pub use raft::{Action, Raft, Role};
pub use timing::Timing;

//! The replicated log of the control instances: election, replication,
//! membership, snapshots and the disk under them.
//!
//! The protocol is Raft (Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", 2014; membership one member at a time,
//! pre-vote and leases from Ongaro's thesis, chapters 4, 6 and 9). On top of it
//! every member has a *storage identity*: a random number that is made with its
//! data folder and stands in the member list. A vote or an acknowledgement
//! counts only under the identity that is listed, so that a wiped disk can
//! never vote again for what it has forgotten ("Protocol-Aware Recovery for
//! Consensus-Based Storage", Alagappan 2018, names the fault).
//!
//! [`Raft`] is a pure state machine: inputs come with an `Instant`, actions go
//! out. [`disk::Disk`] keeps its records.

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

//! Membership, target state and configuration that the entries exchange by gossip, as
//! pure state machines.
//!
//! [`machine::Machine`] is the view of one entry: the other entries of its
//! availability zone ([`members`], after SWIM, Das et al. 2002, with the local
//! health of Lifeguard, Dadgar et al. 2018), the targets that announced
//! themselves ([`table`]), the other zones ([`zone`]) and the configuration in
//! force ([`configuration`]). Its inputs are messages, announcements and ticks,
//! each with the current `Instant`; its outputs are [`machine::Action`]s. It
//! reads no clock, opens no socket, spawns no task and takes its random choices
//! from a seed, so that tests can replay any run.

pub mod configuration;
pub mod digest;
pub mod machine;
pub mod members;
pub mod outbox;
pub mod table;
pub mod zone;

mod exchange;
mod messages;
mod periodic;

pub use machine::Machine;

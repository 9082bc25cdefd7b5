//! Who is in the system, as pure state machines.
//!
//! [`machine::Machine`] is one entry's view: the other entries of its
//! availability zone ([`members`], after SWIM, Das et al. 2002, with the local
//! health of Lifeguard, Dadgar et al. 2018), the targets that announced
//! themselves ([`table`]), the other zones ([`zone`]) and the configuration
//! that others hold ([`configuration`]). Its inputs are messages, announcements and
//! ticks with a given `Instant`; its outputs are [`machine::Action`]s. It holds
//! no clock, socket, task or random source.

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

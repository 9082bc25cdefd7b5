//! Keeps targets from what harms them, and from requests that no key admits.
//!
//! No entry sees all requests of a target. The decisions here are made from what the entries report,
//! by the leader for all of them, and by each entry for itself while it is out of touch. They are
//! pure: time and messages go in, and nothing is sent from here.

pub mod authentication;
pub mod observer;
pub mod permits;
pub mod places;
pub mod quarantine;
pub mod quota;
pub mod room;
pub mod share;

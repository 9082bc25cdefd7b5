//! What is committed to the log.

use flamingo_wire::control::{Answer, Call};
use flamingo_wire::{admin, config, id, place, route};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::SystemTime;
use strum::{Display, IntoStaticStr};

/// A change of the state.
#[derive(Clone, Debug, Deserialize, Display, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Command {
    /// A new leader's first command; it raises the fencing number.
    Lead(id::Node),
    /// Replaces the configuration.
    Apply(config::Change),
    /// Drains a target, or ends its drain.
    Drain(admin::Drain),
    /// Records that a call is about to be dispatched.
    Begin(Call),
    /// Records how a call ended.
    Finish(Answer),
    /// Records an order before it is sent.
    Intend(place::Order),
    /// Records how an order ended.
    Settle(place::Settlement),
    /// Puts routes in force, unless a higher version is.
    Route(Arc<route::Set>),
    /// Records that so many loads from the weight store are about to begin.
    Load(u32),
}

/// A command with the time at which the leader took it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stamped {
    /// Wall-clock time of the leader.
    pub at: SystemTime,
    /// The command.
    pub command: Command,
}

impl Stamped {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes are no command of this build.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}

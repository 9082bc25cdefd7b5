//! Commands that the log carries.

use flamingo_wire::control::{Answer, Call};
use flamingo_wire::{admin, config, id, place, route, stream};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::SystemTime;
use strum::{Display, IntoStaticStr};

/// A change of the replicated state.
#[derive(Clone, Debug, Deserialize, Display, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Command {
    /// Starts a leadership and raises the fencing number; the first command of every
    /// leader.
    Lead(id::Node),
    /// Replaces the configuration.
    Apply(config::Change),
    /// Starts or ends the drain of a target.
    Drain(admin::Drain),
    /// Records that an attempt is about to dispatch a call.
    Begin(Call),
    /// Records the answer of a call, or that its attempt was given up.
    Finish(Answer),
    /// Records the intent of an order before the order is sent.
    Intend(place::Order),
    /// Records how an order ended.
    Settle(place::Settlement),
    /// Replaces the routes, unless a version at least as high is in force.
    Route(Arc<route::Set>),
    /// Records that this number of loads from the weight store are about to begin.
    Load(u32),
    /// Records that targets of a service serve, or are about to serve, with a software version.
    Confirm(stream::Origin),
}

/// A command with the time at which the leader proposed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stamped {
    /// Wall-clock time of the leader when it proposed the command.
    pub at: SystemTime,
    /// The command.
    pub command: Command,
}

impl Stamped {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns an error where the command can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes are not a command that this build knows.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}

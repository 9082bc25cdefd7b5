//! The whole state.

use crate::calls::Calls;
use crate::command::{Command, Stamped};
use crate::configuration::Configuration;
use crate::orders::Orders;
use flamingo_wire::control::Reply;
use flamingo_wire::{id, route};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Time for which begun loads are remembered; longer than any window of a store's ceiling.
const LOADS: Duration = Duration::from_mins(1);

/// The whole state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// The configuration and its history.
    pub configuration: Configuration,
    /// The call ledger.
    pub calls: Calls,
    /// The order intents.
    pub orders: Orders,
    /// Newest time of any command; it never goes back.
    pub clock: SystemTime,
    /// The routes in force.
    #[serde(default)]
    pub routes: Option<Arc<route::Set>>,
    /// When loads from the weight store began, the newest last.
    #[serde(default)]
    pub loads: Vec<SystemTime>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            configuration: Configuration::default(),
            calls: Calls::default(),
            orders: Orders::default(),
            clock: SystemTime::UNIX_EPOCH,
            routes: None,
            loads: Vec::new(),
        }
    }
}

impl State {
    /// Applies a committed command and returns its reply.
    ///
    /// ```
    /// use flamingo_state::{Command, Stamped, State};
    /// use std::time::SystemTime;
    ///
    /// let mut state = State::default();
    /// let command = Command::Lead("control-1".into());
    /// state.apply(Stamped { at: SystemTime::now(), command });
    /// assert_eq!(state.fence(), 1);
    /// ```
    pub fn apply(&mut self, stamped: Stamped) -> Reply {
        self.clock = self.clock.max(stamped.at);
        let now = self.clock;
        self.calls.expire(now);
        match stamped.command {
            Command::Lead(node) => self.orders.lead(node),
            Command::Apply(change) => self.configuration.apply(change, now),
            Command::Drain(drain) => self.configuration.drain(drain, now),
            Command::Begin(call) => self.calls.begin(call, now),
            Command::Finish(answer) => self.calls.finish(answer, now),
            Command::Intend(order) => self.orders.intend(order, now),
            Command::Settle(settlement) => self.orders.settle(&settlement),
            Command::Route(set) => self.route(set),
            Command::Load(count) => self.load(count, now),
        }
    }

    /// Puts routes in force; a version that is not higher changes nothing and is
    /// acknowledged, so that a resend of what was accepted is never refused.
    fn route(&mut self, set: Arc<route::Set>) -> Reply {
        let version = self.routes.as_ref().map_or(0, |set| set.version);
        if self.routes.is_none() || set.version > version {
            self.routes = Some(set);
        }
        Reply::Accepted(self.routes.as_ref().map_or(0, |set| set.version))
    }

    fn load(&mut self, count: u32, now: SystemTime) -> Reply {
        self.loads
            .retain(|begun| now.duration_since(*begun).unwrap_or_default() < LOADS);
        self.loads.extend((0..count).map(|_| now));
        Reply::Acknowledged
    }

    /// Returns the fencing number of the newest leadership.
    #[must_use]
    pub fn fence(&self) -> id::Fence {
        self.orders.fence()
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Decodes a state; empty bytes are the state before any command.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes are no state of this build.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        rmp_serde::from_slice(bytes)
    }
}

//! The replicated state of the control instances.

use crate::calls::Calls;
use crate::command::{Command, Stamped};
use crate::configuration::Configuration;
use crate::orders::Orders;
use crate::software::Software;
use flamingo_wire::control::Reply;
use flamingo_wire::{id, route};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Time for which the start of a load is kept; longer than any window over which a weight
/// store limits its loads.
const LOAD_RETENTION: Duration = Duration::from_mins(1);

/// The replicated state, which each member builds from the committed commands.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Configuration and its history.
    pub configuration: Configuration,
    /// Ledger of calls.
    pub calls: Calls,
    /// Orders to engines and their intents.
    pub orders: Orders,
    /// Latest time of any applied command; it never decreases, even if a leader's clock
    /// does.
    pub clock: SystemTime,
    /// Routes in force; `None` before any were set.
    #[serde(default)]
    pub routes: Option<Arc<route::Set>>,
    /// Start times of recent loads from the weight store, newest last.
    #[serde(default)]
    pub loads: Vec<SystemTime>,
    /// Software versions of targets.
    #[serde(default)]
    pub software: Software,
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
            software: Software::default(),
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
            Command::Confirm(origin) => self.software.confirm(origin, now),
        }
    }

    /// Replaces the routes if the version is higher. A version that is not higher changes
    /// nothing and is acknowledged, so that a resend of accepted routes is never refused.
    fn route(&mut self, set: Arc<route::Set>) -> Reply {
        let version = self.routes.as_ref().map_or(0, |set| set.version);
        if self.routes.is_none() || set.version > version {
            self.routes = Some(set);
        }
        Reply::Accepted(self.routes.as_ref().map_or(0, |set| set.version))
    }

    fn load(&mut self, count: u32, now: SystemTime) -> Reply {
        self.loads
            .retain(|begun| now.duration_since(*begun).unwrap_or_default() < LOAD_RETENTION);
        self.loads.extend((0..count).map(|_| now));
        Reply::Acknowledged
    }

    /// Returns the fencing number of the newest leadership.
    #[must_use]
    pub fn fence(&self) -> id::Fence {
        self.orders.fence()
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error where the state can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Decodes a state; empty bytes are the state before any command.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes are not a state that this build knows.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        rmp_serde::from_slice(bytes)
    }
}

//! Routes of plain and model services, and the services behind them.
//!
//! A whole [`Set`] is replaced at a time; the highest version is in force.

use crate::id;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Name of a route.
pub type Name = String;
/// Path prefix of a route; it begins and ends with a slash.
pub type Prefix = String;
/// Rank of a route; 0 is the most urgent.
pub type Rank = u8;

/// What may be repeated of a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Idempotent: it may run more than once.
    Idempotent,
    /// It runs once at most.
    #[default]
    Once,
    /// A stream of events; it runs once at most unless it can be resumed.
    Stream,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The service.
    pub service: id::Service,
    /// Its share, relative to the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that it answers for, in lower case.
    pub host: String,
    /// Where its paths begin.
    pub prefix: Prefix,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting for the whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the answer, or to a stream's first event, for which it counts as prompt, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Longest pause between events of a prompt stream, in milliseconds.
    pub pause_ms: u64,
    /// Rank; 0 is the most urgent.
    pub rank: Rank,
    /// Targets to which one request may be sent at most.
    pub attempts: u32,
    /// Whether requests name the parts of their prompt, which targets keep.
    pub sticky: bool,
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
    /// Services and their shares.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns whether a request of this route may run more than once.
    ///
    /// ```
    /// use flamingo_wire::route::{Kind, Route};
    ///
    /// let route = Route { kind: Kind::Stream, resumable: true, ..Route::default() };
    /// assert!(route.repeatable());
    /// ```
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// A model as the engines of a service load it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// Size of its weights.
    pub megabytes: f64,
    /// Time of a load from the weight store, in seconds.
    pub load_s: f64,
    /// Time of a load from the engine's own disk, in seconds.
    pub disk_s: f64,
    /// Time of a load from the engine's host memory, in seconds.
    pub memory_s: f64,
    /// Number of adapters.
    pub adapters: u32,
    /// Size of one adapter.
    pub adapter_megabytes: f64,
}

/// What the engines of a model service are.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the memory for prompts and answers holds.
    pub tokens: u64,
    /// Megabytes for weights and adapters together.
    pub megabytes: f64,
    /// Adapters that an engine holds at once.
    pub adapters: u32,
    /// Loads from the weight store that may begin a second, over all engines.
    pub loads_per_s: f64,
    /// Copies of weights that an engine's disk keeps, in megabytes.
    pub disk_megabytes: f64,
    /// Copies of weights that an engine's host memory keeps, in megabytes.
    pub memory_megabytes: f64,
    /// The models.
    pub models: Vec<Model>,
}

/// A service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Connections that one target takes from all callers together.
    pub connections: u32,
    /// The engines, where models run on its targets.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time that a head may take, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// All routes and services of one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Set {
    /// The version; the highest is in force.
    pub version: id::Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// The set as the operator wrote it, to be read back.
    pub text: String,
}

impl Set {
    /// Returns why the set can't be in force; empty where it can.
    ///
    /// ```
    /// use flamingo_wire::route::{Route, Set};
    ///
    /// let set = Set { routes: vec![Route::default()], ..Set::default() };
    /// assert!(!set.problems().is_empty());
    /// ```
    #[must_use]
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut places = std::collections::BTreeSet::new();
        let known: std::collections::BTreeSet<_> =
            self.services.iter().map(|service| &service.name).collect();
        for route in &self.routes {
            let name = &route.name;
            if !places.insert((&route.host, &route.prefix)) {
                problems.push(format!(
                    "route '{name}': another route has its host and prefix"
                ));
            }
            if route.timeout_ms == 0 {
                problems.push(format!("route '{name}': the timeout is 0"));
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                problems.push(format!("route '{name}': the weights add up to 0"));
            }
            for share in &route.shares {
                if !known.contains(&share.service) {
                    let service = &share.service;
                    problems.push(format!("route '{name}': no service '{service}'"));
                }
            }
        }
        problems
    }
}

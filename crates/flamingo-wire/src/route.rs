//! Routes of plain and model services, and the services behind them.
//!
//! Operators replace a whole [`Set`] at a time; the set with the highest version is in force.

use crate::id;
use crate::workspace::{self, Workspace};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Name of a route.
pub type Name = String;
/// Path prefix of a route; it begins and ends with a slash.
pub type Prefix = String;
/// Rank of a route; 0 is the most urgent.
pub type Rank = u8;

/// Whether the requests of a route may be retried.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Idempotent requests, which may run more than once.
    Idempotent,
    /// Requests that run at most once.
    #[default]
    Once,
    /// Requests for a stream of events, which run at most once unless the stream is resumable.
    Stream,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The service.
    pub service: id::Service,
    /// Weight of the service, relative to the other shares of the route.
    pub weight: u32,
}

/// A route: requests for a host and path prefix go to the services of its shares.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Path prefix of the requests.
    pub prefix: Prefix,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// Longest time that a caller waits for the whole response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: time to the response, or to the first event of a stream, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Latency objective: longest time between events of a stream, in milliseconds.
    pub pause_ms: u64,
    /// Rank; 0 is the most urgent.
    pub rank: Rank,
    /// Maximum number of targets to which one request may be sent.
    pub attempts: u32,
    /// Whether requests name the parts of their prompt, so that they can be sent to a target that
    /// has these parts in its KV cache.
    pub sticky: bool,
    /// Whether a broken stream may be resumed on another target.
    pub resumable: bool,
    /// Whether requests need no key where the set has workspaces.
    #[serde(default)]
    pub anonymous: bool,
    /// The services that serve the route, with their weights.
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
    /// Name of the model.
    pub name: id::Model,
    /// Size of the weights, in megabytes.
    pub megabytes: f64,
    /// Duration of a load from the weight store, in seconds.
    pub load_s: f64,
    /// Duration of a load from the engine's own disk, in seconds.
    pub disk_s: f64,
    /// Duration of a load from the engine's host memory, in seconds.
    pub memory_s: f64,
    /// Number of adapters.
    pub adapters: u32,
    /// Size of one adapter, in megabytes.
    pub adapter_megabytes: f64,
}

/// Properties that all engines of a model service share.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Number of requests that run concurrently on one engine.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens of prompts and completions.
    pub tokens: u64,
    /// Memory for weights and adapters together, in megabytes.
    pub megabytes: f64,
    /// Number of adapters that an engine can keep loaded.
    pub adapters: u32,
    /// Number of loads from the weight store that may start per second, over all engines.
    pub loads_per_s: f64,
    /// Capacity of an engine's disk for copies of weights, in megabytes.
    pub disk_megabytes: f64,
    /// Capacity of an engine's host memory for copies of weights, in megabytes.
    pub memory_megabytes: f64,
    /// The models that engines of the service can load.
    pub models: Vec<Model>,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Number of connections that one target accepts from all its clients together.
    pub connections: u32,
    /// Properties of the engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest head (request line and headers) of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a head, in milliseconds.
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
#[derive(Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct Set {
    /// Version of the set; the highest version is in force.
    pub version: id::Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// The workspaces; `None` where requests need no key.
    #[serde(default)]
    pub workspaces: Option<Vec<Workspace>>,
    /// The set as the operator wrote it, so that it can be read back unchanged.
    pub text: String,
}

impl std::fmt::Debug for Set {
    /// Formats counts only: the operator's text contains keys.
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let workspaces = self.workspaces.as_ref().map(Vec::len);
        out.debug_struct("Set")
            .field("version", &self.version)
            .field("routes", &self.routes.len())
            .field("services", &self.services.len())
            .field("workspaces", &workspaces)
            .finish_non_exhaustive()
    }
}

impl Set {
    /// Returns the problems that keep the set from being applied; empty where there are none.
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
        let mut hosts_and_prefixes = std::collections::BTreeSet::new();
        let service_names: std::collections::BTreeSet<_> =
            self.services.iter().map(|service| &service.name).collect();
        for route in &self.routes {
            let name = &route.name;
            if !hosts_and_prefixes.insert((&route.host, &route.prefix)) {
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
                if !service_names.contains(&share.service) {
                    let service = &share.service;
                    problems.push(format!("route '{name}': no service '{service}'"));
                }
            }
        }
        problems.extend(workspace::problems(
            self.workspaces.as_deref().unwrap_or_default(),
        ));
        problems
    }
}

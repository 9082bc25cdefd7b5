//! The configuration that operators edit: profiles, models and services.

use crate::id;
use crate::workspace::Workspace;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// What happens to a request that cannot meet the latency objective of its profile.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    PartialEq,
    Serialize,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LatePolicy {
    /// Reject the request at once as not run, with a time after which to retry.
    Refuse,
    /// Serve the request late, as long as the caller waits.
    #[default]
    Serve,
}

/// A named set of latency objectives that callers choose for their requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Name by which callers choose it.
    pub name: id::Profile,
    /// Rank; 0 is the most urgent, and lower numbers are served first.
    pub rank: u8,
    /// Objective for the time from arrival to the first token.
    pub first_token: Duration,
    /// Objective for the mean time between tokens.
    pub between_tokens: Duration,
    /// Longest time that a request may wait before it is abandoned.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// What happens when the objectives can't be met.
    #[serde(rename = "late")]
    pub late_policy: LatePolicy,
}

/// An adapter that is loaded on top of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Adapter {
    /// Name by which callers choose it.
    pub name: id::Adapter,
    /// Accelerator memory that the adapter uses, in mebibytes.
    pub memory: id::Mebibytes,
}

/// A language model, of which at least one copy must stay resident.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Name by which callers choose it.
    pub name: id::Model,
    /// Version of the weights; each version needs a copy of its own in memory.
    pub version: u32,
    /// Accelerator memory of the weights, in mebibytes.
    pub weights: id::Mebibytes,
    /// Accelerator memory kept for the KV cache of each copy, in mebibytes.
    pub cache: id::Mebibytes,
    /// Number of copies to keep resident even without demand; at least 1.
    pub copies: u32,
    /// Importance where not all models fit into memory; the lowest is evicted first.
    pub importance: u32,
    /// Adapters of this model.
    pub adapters: Vec<Adapter>,
    /// Whether requests need no key where the set has workspaces.
    #[serde(default, skip_serializing_if = "is_false")]
    pub anonymous: bool,
}

impl Model {
    /// Returns the memory that one copy needs for weights, KV cache and all adapters, in mebibytes.
    ///
    /// ```
    /// use flamingo_wire::config::Model;
    ///
    /// let model = Model {
    ///     name: "notes".into(),
    ///     version: 1,
    ///     weights: 8_000,
    ///     cache: 2_000,
    ///     copies: 1,
    ///     importance: 1,
    ///     adapters: Vec::new(),
    ///     anonymous: false,
    /// };
    /// assert_eq!(model.footprint(), 10_000);
    /// ```
    #[must_use]
    pub fn footprint(&self) -> id::Mebibytes {
        let adapters: id::Mebibytes = self.adapters.iter().map(|adapter| adapter.memory).sum();
        self.weights + self.cache + adapters
    }
}

/// A plain service, which is not a language model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name; callers reach it under `/services/<name>/`.
    pub name: id::Service,
    /// Path prefixes of idempotent calls, which may be retried, such as `/status`.
    pub idempotent: Vec<String>,
    /// Number of requests that one replica runs concurrently.
    pub concurrency: u32,
    /// Longest time that a call may wait before it is abandoned.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// Whether calls need no key where the set has workspaces.
    #[serde(default, skip_serializing_if = "is_false")]
    pub anonymous: bool,
}

/// Returns whether a field is left out when it is written, so that a set that doesn't use it has the
/// same bytes as one of an earlier version: change ids are compared by digests of these bytes.
#[allow(clippy::trivially_copy_pass_by_ref)] // serde passes references
fn is_false(value: &bool) -> bool {
    !*value
}

/// The whole configuration that operators edit.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Set {
    /// Profiles.
    pub profiles: Vec<Profile>,
    /// Models.
    pub models: Vec<Model>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Weights and rate limits of placement.
    #[serde(default)]
    pub placement: Placement,
    /// Workspaces. Where there are any, requests need the key of one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
}

/// Weights by which placement trades attained work against moves, and rate limits of loads.
///
/// ```
/// use flamingo_wire::config::Placement;
///
/// assert_eq!(Placement::default().loads_at_once, 6);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Placement {
    /// Weight of the work that one more copy would serve, in units of one accelerator's capacity.
    pub attainment_weight: u32,
    /// Weight of one load or unload.
    pub moves_weight: u32,
    /// Loads and unloads per hour that follow demand. Loads that make a model reachable at all
    /// are not limited.
    pub moves_per_hour: u32,
    /// Number of loads that may start per second.
    pub loads_per_second: u32,
    /// Number of concurrent loads up to which the weight store keeps its full speed.
    pub loads_at_once: u32,
    /// Tokens per second that one copy generates within the latency objectives.
    pub tokens_per_copy: u32,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            attainment_weight: 10,
            moves_weight: 1,
            moves_per_hour: 60,
            loads_per_second: 1,
            loads_at_once: 6,
            tokens_per_copy: 400,
        }
    }
}

impl Set {
    /// Returns the profile named `name`, if there is one.
    #[must_use]
    pub fn profile(&self, name: &str) -> Option<&Profile> {
        self.profiles.iter().find(|profile| profile.name == name)
    }

    /// Returns the model named `name`, if there is one.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the model that callers name by `name`, which is its own or that of one of its adapters.
    #[must_use]
    pub fn model_or_owner(&self, name: &str) -> Option<&Model> {
        let owns = |model: &&Model| model.adapters.iter().any(|adapter| adapter.name == name);
        self.model(name).or_else(|| self.models.iter().find(owns))
    }

    /// Returns the service named `name`, if there is one.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// A configuration with the version under which it was accepted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Version; 0 where no configuration was accepted yet.
    pub version: id::Version,
    /// The configuration.
    pub set: Set,
    /// Targets that operators drain. They get no new requests and no new model copies.
    #[serde(default)]
    pub drained: Vec<id::Target>,
}

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Identity of this change; a retry carries the same identity.
    pub id: id::Change,
    /// Version that the operator's edit is based on.
    pub base: id::Version,
    /// Name of the author, for the history.
    pub author: String,
    /// The new configuration.
    pub set: Set,
}

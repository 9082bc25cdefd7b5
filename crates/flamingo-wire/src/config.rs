//! The configuration that operators edit: profiles, models and services.

use crate::id;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// What happens to a request that cannot meet its profile's promise.
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
    /// Refuse at once as not run, with when to come back.
    Refuse,
    /// Serve it late, for as long as the caller waits.
    #[default]
    Serve,
}

/// A named promise that services pick for their requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Name by which callers pick it.
    pub name: id::Profile,
    /// Rank; 0 is the most urgent and is served before higher numbers.
    pub rank: u8,
    /// Time from arrival to the first token that is promised.
    pub first_token: Duration,
    /// Mean time between tokens that is promised.
    pub between_tokens: Duration,
    /// Time after which a request that still waits is given up on.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// What happens when the promise can't be met.
    #[serde(rename = "late")]
    pub late_policy: LatePolicy,
}

/// An adapter that is loaded on top of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Adapter {
    /// Name by which callers pick it.
    pub name: id::Adapter,
    /// Accelerator memory that it takes, in mebibytes.
    pub memory: id::Mebibytes,
}

/// A language model that must stay resident somewhere.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Name by which callers pick it.
    pub name: id::Model,
    /// Version of the weights; another version is another copy in memory.
    pub version: u32,
    /// Accelerator memory of the weights, in mebibytes.
    pub weights: id::Mebibytes,
    /// Accelerator memory kept for the KV cache of each copy, in mebibytes.
    pub cache: id::Mebibytes,
    /// Copies to hold even without demand; at least 1.
    pub copies: u32,
    /// Importance when not all models fit; the lowest is dropped first.
    pub importance: u32,
    /// Adapters of this model.
    pub adapters: Vec<Adapter>,
}

impl Model {
    /// Returns the memory that one copy commits, in mebibytes.
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
    /// };
    /// assert_eq!(model.footprint(), 10_000);
    /// ```
    #[must_use]
    pub fn footprint(&self) -> id::Mebibytes {
        let adapters: id::Mebibytes = self.adapters.iter().map(|adapter| adapter.memory).sum();
        self.weights + self.cache + adapters
    }
}

/// A plain service beside the models.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name; callers reach it under `/services/<name>/`.
    pub name: id::Service,
    /// Path prefixes whose calls may be repeated, such as `/status`.
    pub idempotent: Vec<String>,
    /// Requests that one replica takes at once.
    pub concurrency: u32,
    /// Time after which a call that still waits is given up on.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
}

/// The whole set that operators edit.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Set {
    /// Profiles.
    pub profiles: Vec<Profile>,
    /// Models.
    pub models: Vec<Model>,
    /// Plain services.
    pub services: Vec<Service>,
    /// How placement weighs what it does.
    #[serde(default)]
    pub placement: Placement,
}

/// How placement weighs attainment against moves, and what the store allows.
///
/// ```
/// use flamingo_wire::config::Placement;
///
/// assert_eq!(Placement::default().loads_at_once, 6);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Placement {
    /// Weight of one accelerator's work that a copy more would serve.
    pub attainment_weight: u32,
    /// Weight of one load or unload.
    pub moves_weight: u32,
    /// Loads and unloads an hour for the sake of demand; reachability is not bound by it.
    pub moves_per_hour: u32,
    /// Loads that may be started in a second.
    pub loads_per_second: u32,
    /// Loads at once at which the store still gives full speed.
    pub loads_at_once: u32,
    /// Tokens a second that one copy generates within the promises.
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
    /// Finds a profile by name.
    #[must_use]
    pub fn profile(&self, name: &str) -> Option<&Profile> {
        self.profiles.iter().find(|profile| profile.name == name)
    }

    /// Finds a model by name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// A set with the version under which it was accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Version; 0 where nothing was accepted yet.
    pub version: id::Version,
    /// The set.
    pub set: Set,
    /// Targets that operators drain: they get no new work and no new copies.
    #[serde(default)]
    pub drained: Vec<id::Target>,
}

/// An operator's wish to replace the set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Identity of this change; a resend carries the same one.
    pub id: id::Change,
    /// Version that the operator edited.
    pub base: id::Version,
    /// Who asks, for the history.
    pub author: String,
    /// The set as it is to be.
    pub set: Set,
}

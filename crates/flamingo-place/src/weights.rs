//! Identity and memory of the weights that a copy of a model occupies.

use flamingo_wire::announce::Resident;
use flamingo_wire::config::Model;
use flamingo_wire::id;
use flamingo_wire::place::{Action, Order};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Weights of a model in one version; each version occupies memory of its own.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Weights {
    /// Name of the model.
    pub model: id::Model,
    /// Version of the model.
    pub version: u32,
}

impl Weights {
    /// Returns the weights of a copy that an engine reports or an order names.
    #[must_use]
    pub fn of(copy: &Resident) -> Self {
        Self {
            model: copy.model.clone(),
            version: copy.version,
        }
    }

    /// Returns the weights of a model in the version that the configuration names.
    #[must_use]
    pub fn configured(model: &Model) -> Self {
        Self {
            model: model.name.clone(),
            version: model.version,
        }
    }

    /// Returns the weights that `order` loads or unloads.
    #[must_use]
    pub fn of_order(order: &Order) -> Self {
        let (Action::Load(copy) | Action::Unload(copy)) = &order.action;
        Self::of(copy)
    }

    /// Returns a copy of these weights without adapters, which engines load on demand.
    #[must_use]
    pub fn to_resident(&self) -> Resident {
        Resident {
            model: self.model.clone(),
            version: self.version,
            adapters: Vec::new(),
        }
    }
}

impl fmt::Display for Weights {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} v{}", self.model, self.version)
    }
}

/// Accelerator memory that one copy occupies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Footprint {
    /// Weights of the copy.
    pub weights: Weights,
    /// Size in mebibytes.
    pub memory: id::Mebibytes,
}

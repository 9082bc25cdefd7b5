//! What takes room on an accelerator: a model at one version.

use flamingo_wire::announce::Resident;
use flamingo_wire::config::Model;
use flamingo_wire::id;
use flamingo_wire::place::{Action, Order};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A model at one version; another version is another copy in memory.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// The version.
    pub version: u32,
}

impl Weights {
    /// Returns what `copy` is a copy of.
    #[must_use]
    pub fn of(copy: &Resident) -> Self {
        Self {
            model: copy.model.clone(),
            version: copy.version,
        }
    }

    /// Returns what the configuration asks for.
    #[must_use]
    pub fn wanted(model: &Model) -> Self {
        Self {
            model: model.name.clone(),
            version: model.version,
        }
    }

    /// Returns what `order` loads or unloads.
    #[must_use]
    pub fn ordered(order: &Order) -> Self {
        let (Action::Load(copy) | Action::Unload(copy)) = &order.action;
        Self::of(copy)
    }

    /// Returns a copy of these weights without adapters; engines load those on demand.
    #[must_use]
    pub fn copy(&self) -> Resident {
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

/// Room that a copy takes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Held {
    /// The copy.
    pub weights: Weights,
    /// Its memory, in mebibytes.
    pub memory: id::Mebibytes,
}

//! What engines are asked over HTTP, in the terms of published protocols.
//!
//! Model copies are ordered with the model repository extension of the `KServe`
//! v2 protocol (`POST /v2/repository/models/{model}/load` and `/unload`), whose
//! `parameters` carry a [`Parameters`]. Adapters are loaded with
//! `POST /v1/load_lora_adapter` and a body of [`Lora`].

use crate::id;
use serde::{Deserialize, Serialize};

/// Body of an order for a model copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// The order's parameters.
    pub parameters: Parameters,
}

/// Parameters of an order for a model copy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Parameters {
    /// Identity of the order; an engine that has seen it does not repeat it.
    pub order: id::Order,
    /// Fencing number of the leader that gave it.
    pub fence: id::Fence,
    /// Incarnation of the engine that it is meant for.
    pub incarnation: id::Incarnation,
    /// Version of the weights.
    pub version: u32,
    /// Memory that the copy takes, in mebibytes.
    pub memory: id::Mebibytes,
}

/// Body of an adapter's load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lora {
    /// The adapter.
    pub lora_name: id::Adapter,
    /// The model that it belongs to.
    pub model: id::Model,
}

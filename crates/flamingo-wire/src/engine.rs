//! Bodies of HTTP requests to engines, in the terms of published protocols.
//!
//! Model copies are loaded and unloaded with the model repository extension of the `KServe`
//! v2 protocol (`POST /v2/repository/models/{model}/load` and `/unload`), whose
//! `parameters` carry a [`Parameters`]. Adapters are loaded with
//! `POST /v1/load_lora_adapter` and a body of [`Lora`].

use crate::id;
use serde::{Deserialize, Serialize};

/// Body of an order to load or unload a model copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// The order's parameters.
    pub parameters: Parameters,
}

/// Parameters of an order to load or unload a model copy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Parameters {
    /// Identity of the order; an engine carries out an order only once.
    pub order: id::Order,
    /// Fencing number of the leader that gave the order.
    pub fence: id::Fence,
    /// Incarnation of the engine that the order is meant for.
    pub incarnation: id::Incarnation,
    /// Version of the weights.
    pub version: u32,
    /// Memory that the copy uses, in mebibytes.
    pub memory: id::Mebibytes,
}

/// Body of a request to load an adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lora {
    /// The adapter.
    pub lora_name: id::Adapter,
    /// The model that the adapter belongs to.
    pub model: id::Model,
}

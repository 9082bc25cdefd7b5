//! The interface to engines: orders, their outcomes, and reports. The platform implements it.

use flamingo_wire::target::Resident;
use flamingo_wire::{id, target};
use futures_util::future::LocalBoxFuture;
use std::net::SocketAddr;
use std::time::Instant;

/// Whether an order loads or unloads.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Operation {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
}

/// One order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine that gets the order.
    pub target: id::Target,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Whether to load or to unload.
    pub operation: Operation,
    /// The model, or the base model of `adapter`.
    pub model: id::Model,
    /// The adapter; `None` where the order is for the model itself.
    pub adapter: Option<id::Adapter>,
    /// Number of orders that the engine must have accepted before; an engine with another number
    /// refuses the order.
    pub expected_sequence: u64,
    /// The control instance that gives the order.
    pub issuer: id::Node,
    /// Fencing number of the issuer's leadership.
    pub fence: id::Fence,
}

/// How an engine responded to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The engine is already in the requested state. An unload of an adapter that no request uses
    /// takes effect at once and also ends like this.
    #[strum(serialize = "holds")]
    AlreadyDone,
    /// The engine executes the order.
    #[strum(serialize = "begun")]
    Started,
    /// The engine executes another order, or has accepted another number of orders than
    /// expected.
    Conflict,
    /// The engine knows a higher fencing number: another instance leads.
    Fenced,
    /// The engine refused the order, or the order was not sent.
    Refused,
    /// No answer: the engine may have accepted the order, or may accept it later.
    #[strum(serialize = "unclear")]
    Uncertain,
}

/// State that an engine reports on request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Resident models, with their resident adapters.
    pub models: Vec<Resident>,
    /// Adapters that the engine is loading, by model.
    pub loading: Vec<Resident>,
    /// Whether the engine is executing an order.
    pub executing: bool,
    /// Number of orders that the engine has accepted since its start.
    pub sequence: u64,
}

/// Sends orders to engines and fetches their reports.
pub trait EngineClient {
    /// Sends an order. Returns [`Outcome::Uncertain`] without an answer by `deadline`.
    fn order(&self, order: Order, deadline: Instant) -> LocalBoxFuture<'static, Outcome>;

    /// Fetches the report of an engine. Returns `None` without a readable answer by `deadline`.
    fn report(
        &self,
        target: &target::Registration,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Option<Report>>;
}

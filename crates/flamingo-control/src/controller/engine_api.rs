//! The border to engines: orders, their outcomes and reports.

use flamingo_wire::target::Resident;
use flamingo_wire::{id, target};
use futures_util::future::LocalBoxFuture;
use std::net::SocketAddr;
use std::time::Instant;

/// What an order asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Operation {
    /// Take a model or adapter in.
    Load,
    /// Let one go.
    Unload,
}

/// One order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine.
    pub target: id::Target,
    /// Where it is.
    pub address: SocketAddr,
    /// What is asked.
    pub operation: Operation,
    /// The model.
    pub model: id::Model,
    /// The adapter of the model; none where the model itself is meant.
    pub adapter: Option<id::Adapter>,
    /// Orders that the engine must have taken before; with another number it refuses.
    pub expected_sequence: u64,
    /// Who gives the order.
    pub issuer: id::Node,
    /// The fencing number of its leadership.
    pub fence: id::Fence,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It holds already.
    #[strum(serialize = "holds")]
    AlreadyDone,
    /// It is being carried out.
    #[strum(serialize = "begun")]
    Started,
    /// Another order is under way, or the engine has taken others than expected.
    Conflict,
    /// A controller with a higher fencing number has given orders.
    Fenced,
    /// The engine will not do it.
    Refused,
    /// No answer: it may have been taken, or be taken later.
    #[strum(serialize = "unclear")]
    Uncertain,
}

/// What an engine says of itself when it is asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Models that it holds.
    pub models: Vec<Resident>,
    /// Adapters that are on their way to it.
    pub loading: Vec<Resident>,
    /// Whether an order is being carried out.
    pub executing: bool,
    /// Orders that it has taken.
    pub sequence: u64,
}

/// Speaks to engines.
pub trait EngineClient {
    /// Gives an order; it is unclear without an answer by `deadline`.
    fn order(&self, order: Order, deadline: Instant) -> LocalBoxFuture<'static, Outcome>;

    /// Asks an engine for its state.
    fn report(
        &self,
        target: &target::Registration,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Option<Report>>;
}

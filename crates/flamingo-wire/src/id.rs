//! Names and numbers that identify things, as aliases of standard types.

/// Name of a process of this system (an entry or a control instance).
pub type Node = String;
/// Name of a target: an engine replica or a plain service's replica.
pub type Target = String;
/// Name of an availability zone.
pub type Zone = String;
/// Name of a region, a group of availability zones.
pub type Region = String;
/// Name of a language model.
pub type Model = String;
/// Name of an adapter of a model.
pub type Adapter = String;
/// Name of a profile.
pub type Profile = String;
/// Name of a workspace: the callers that share keys and a quota.
pub type Workspace = String;
/// Name of a plain service.
pub type Service = String;
/// Version of the software that a target runs. Versions have no order.
pub type Software = String;
/// Identity of one caller's request, assigned by the entry that accepted it.
pub type Request = String;
/// Idempotency key that a caller chose.
pub type Key = String;
/// Identity of one change, assigned by the operator's client.
pub type Change = String;
/// Identity of one order to an engine.
pub type Order = u64;
/// Version of the configuration; the first accepted change makes version 1.
pub type Version = u64;
/// Index in the replicated log; the first log entry has index 1.
pub type Index = u64;
/// Election term of the replicated log.
pub type Term = u64;
/// Fencing number: it grows with each leadership, and an order carries that of its leader.
pub type Fence = u64;
/// Number that grows with each start of a process.
pub type Incarnation = u64;
/// Number that grows with each message of one incarnation.
pub type Sequence = u64;
/// Accelerator memory in mebibytes.
pub type Mebibytes = u64;

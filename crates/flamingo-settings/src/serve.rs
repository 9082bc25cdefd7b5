//! Settings for the request handling of an entry.

use crate::Reader;
use std::time::Duration;

/// Limits and policies of an entry's request handling.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Serve {
    /// Number of worker threads that handle callers' connections.
    pub workers: usize,
    /// Maximum number of concurrent connections per worker.
    pub connections: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum size of a target's response that is buffered whole, in bytes.
    pub answer: usize,
    /// Time for which a stopping entry still accepts connections, so that the load balancer can
    /// notice that the entry is no longer ready.
    pub linger: Duration,
    /// Maximum number of adapter loads in flight, over all entries.
    pub adapter_loads: u32,
    /// Policy that chooses the target of a request; one of [`POLICIES`].
    pub policy: String,
    /// Whether requests are rejected when their latency objective can't be met.
    pub admission: bool,
}

impl Default for Serve {
    fn default() -> Self {
        Self {
            workers: 2,
            connections: 4_096,
            body: 4 << 20,
            answer: 16 << 20,
            linger: Duration::from_secs(3),
            adapter_loads: 50,
            policy: POLICIES[0].to_owned(),
            admission: true,
        }
    }
}

/// Policies that choose the target of a request. All but the first are baselines for
/// comparison.
pub const POLICIES: [&str; 4] = ["affine", "two-choices", "least-in-flight", "round-robin"];

const KIB: u64 = 1 << 10;
const GIB: u64 = 1 << 30;

impl Serve {
    /// Reads the section `[serve]`, and `policy` and `admission` of the section `[route]`.
    pub fn read(reader: &mut Reader) -> Self {
        let base = Self::default();
        let linger = u64::try_from(base.linger.as_millis()).unwrap_or(u64::MAX);
        let mut size = |key, value: usize, range| {
            let default = u64::try_from(value).unwrap_or(u64::MAX);
            usize::try_from(reader.within("serve", key, default, range)).unwrap_or(value)
        };
        let workers = size("workers", base.workers, 1..=64);
        let connections = size("connections", base.connections, 1..=1_000_000);
        let body = size("body_bytes", base.body, KIB..=GIB);
        let answer = size("answer_bytes", base.answer, KIB..=GIB);
        let linger = reader.within("serve", "linger_ms", linger, 0..=60_000);
        let loads = u64::from(base.adapter_loads);
        let loads = reader.within("serve", "adapter_loads", loads, 1..=100_000);
        Self {
            workers,
            connections,
            body,
            answer,
            linger: Duration::from_millis(linger),
            adapter_loads: u32::try_from(loads).unwrap_or(base.adapter_loads),
            policy: policy(reader, base.policy),
            admission: reader.or("route", "admission", base.admission, "true or false"),
        }
    }
}

fn policy(reader: &mut Reader, default: String) -> String {
    let allowed = POLICIES.join(", ");
    let policy = reader.or("route", "policy", default, &allowed);
    if !POLICIES.contains(&policy.as_str()) {
        reader.problem("route", "policy", &format!("'{policy}'"), &allowed);
    }
    policy
}

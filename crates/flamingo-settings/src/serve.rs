//! How an entry takes callers and stops.

use crate::Reader;
use std::time::Duration;

/// Bounds of an entry's service to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Serve {
    /// Threads that take callers.
    pub workers: usize,
    /// Connections that one worker holds at once.
    pub connections: usize,
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Largest whole answer of a target that is held in memory, in bytes.
    pub answer: usize,
    /// Time for which a stopping entry still accepts, until the balancer has seen it.
    pub linger: Duration,
    /// Adapter loads in flight over all entries.
    pub adapter_loads: u32,
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
        }
    }
}

const COUNT: &str = "a whole number from 1";
const BYTES: &str = "a whole number of bytes";
const MILLIS: &str = "a whole number of milliseconds";

impl Serve {
    /// Reads the section `[serve]`.
    pub fn read(reader: &mut Reader) -> Self {
        let base = Self::default();
        let mut count = |key, value| reader.or("serve", key, value, COUNT);
        let workers = count("workers", base.workers).max(1);
        let connections = count("connections", base.connections).max(1);
        let body = reader.or("serve", "body_bytes", base.body, BYTES);
        let answer = reader.or("serve", "answer_bytes", base.answer, BYTES);
        let linger = u64::try_from(base.linger.as_millis()).unwrap_or(u64::MAX);
        let linger = reader.or("serve", "linger_ms", linger, MILLIS);
        let adapter_loads = reader.or("serve", "adapter_loads", base.adapter_loads, COUNT);
        Self {
            workers,
            connections,
            body,
            answer,
            linger: Duration::from_millis(linger),
            adapter_loads: adapter_loads.max(1),
        }
    }
}

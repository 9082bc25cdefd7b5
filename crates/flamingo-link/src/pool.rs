//! Connections that are kept, and dropped on the first sign of silence.

use flamingo_wire::frame::MAX_BODY;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout_at;
use tonic::transport::{Channel, Endpoint};

/// Time between two heartbeats of a connection with a request or stream on it.
///
/// One without is not kept under watch: the next request on it has a deadline,
/// and drops it.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time between two heartbeats by which the serving side finds dead connections.
pub const SWEEP: Duration = Duration::from_secs(30);
/// Time that a heartbeat has for its answer.
pub const SILENCE: Duration = Duration::from_secs(2);
/// Largest message: a frame with its names, time and tag.
pub const MESSAGE: usize = MAX_BODY + 4_096;

/// The connections of one process, by address.
#[derive(Debug, Default)]
pub struct Pool {
    open: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Pool {
    /// Returns a connection to `address`, dialled by `deadline` if need be.
    pub async fn get(&self, address: SocketAddr, deadline: Instant) -> Option<Channel> {
        if let Some(channel) = self.lock().get(&address) {
            return Some(channel.clone());
        }
        let channel = dial(address, deadline).await?;
        self.lock().insert(address, channel.clone());
        Some(channel)
    }

    /// Forgets a connection, so that the next use dials anew.
    pub fn drop(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Dials `address`; heartbeats close the connection where they go unanswered.
pub async fn dial(address: SocketAddr, deadline: Instant) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .tcp_nodelay(true)
        .http2_keep_alive_interval(HEARTBEAT)
        .keep_alive_timeout(SILENCE)
        .keep_alive_while_idle(false);
    let dialled = timeout_at(deadline.into(), endpoint.connect()).await;
    dialled.ok()?.ok()
}

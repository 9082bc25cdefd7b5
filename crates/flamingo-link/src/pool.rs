//! A pool of HTTP/2 connections, which are closed when the peer does not answer keepalive pings.

use flamingo_wire::frame::MAX_BODY;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout_at;
use tonic::transport::{Channel, Endpoint};

/// Time between two keepalive pings on a connection with a request or stream in progress.
///
/// Idle connections are not checked: the next request has a deadline, and drops the
/// connection when the deadline passes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two keepalive pings of a server, with which it finds dead connections.
pub const SERVER_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// Time-out for the answer to a keepalive ping.
pub const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a message, in bytes: a frame's body with names, time and tag.
pub const MAX_MESSAGE_BYTES: usize = MAX_BODY + 4_096;

/// The connections of one process, by address.
#[derive(Debug, Default)]
pub struct Pool {
    open: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Pool {
    /// Returns a connection to `address`. Opens one if the pool has none; returns `None` where that
    /// fails or takes longer than until `deadline`.
    pub async fn get(&self, address: SocketAddr, deadline: Instant) -> Option<Channel> {
        if let Some(channel) = self.lock().get(&address) {
            return Some(channel.clone());
        }
        let channel = dial(address, deadline).await?;
        self.lock().insert(address, channel.clone());
        Some(channel)
    }

    /// Removes a connection from the pool, so that the next request opens a new one.
    pub fn drop(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to `address` that is closed when a keepalive ping is not answered.
///
/// Returns `None` where the connection fails or takes longer than until `deadline`.
pub async fn dial(address: SocketAddr, deadline: Instant) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .keep_alive_while_idle(false);
    let connected = timeout_at(deadline.into(), endpoint.connect()).await;
    connected.ok()?.ok()
}

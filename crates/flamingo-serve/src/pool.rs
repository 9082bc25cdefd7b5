//! Pool of idle connections to targets.
//!
//! A connection carries one request at a time. It returns to the pool only after a complete
//! response with no bytes after it; otherwise it is closed.

use bytes::Bytes;
use flamingo_wire::id;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// Idle timeout that is assumed for a target that does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for establishing a connection.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Percentage of the target's idle timeout during which an idle connection is reused.
const REUSE_PERCENT: u32 = 70;
/// `TCP_USER_TIMEOUT`: time without an acknowledgement after which the kernel closes a
/// connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to a target.
#[derive(Debug)]
pub struct Connection {
    /// Sends the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection was dialled for the current request and not taken from the pool.
    pub newly_dialled: bool,
    /// When an idle connection expires; set when it returns to the pool.
    expires_at: Instant,
}

/// The idle connections of each target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<id::Target, Vec<Connection>>,
}

impl Pool {
    /// Removes and returns the most recently used idle connection to `target`; `None` if there
    /// is no usable one.
    pub fn take(&mut self, target: &str, now: Instant) -> Option<Connection> {
        let idle = self.idle.get_mut(target)?;
        while let Some(connection) = idle.pop() {
            if now < connection.expires_at && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. `idle_timeout` is the time after which the target
    /// closes an idle connection, or `None` if the target did not announce it.
    pub fn put(
        &mut self,
        target: &str,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        connection.expires_at =
            now + idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT) * REUSE_PERCENT / 100;
        connection.newly_dialled = false;
        if let Some(connections) = self.idle.get_mut(target) {
            connections.push(connection);
        } else {
            self.idle.insert(target.to_owned(), vec![connection]);
        }
    }

    /// Closes all idle connections to `target`.
    pub fn remove(&mut self, target: &str) {
        self.idle.remove(target);
    }

    /// Removes the connections that have expired or were closed by the target.
    pub fn remove_expired(&mut self, now: Instant) {
        for connections in self.idle.values_mut() {
            connections
                .retain(|connection| now < connection.expires_at && !connection.sender.is_closed());
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Connects to `address`. Returns `None` if the connection is not established by `deadline` or
/// within `DIAL_TIMEOUT`, whichever is earlier.
pub async fn dial(address: SocketAddr, deadline: Instant) -> Option<Connection> {
    let now = Instant::now();
    let give_up_at = deadline.min(now + DIAL_TIMEOUT);
    let dialled = timeout_at(give_up_at.into(), TcpStream::connect(address)).await;
    let stream = dialled.ok()?.ok()?;
    // Errors are ignored: a connection without these options still works.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        // An error of the connection also reaches the sender and the pending response.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        newly_dialled: true,
        expires_at: now,
    })
}

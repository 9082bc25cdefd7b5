//! Connections to targets that are kept between requests.
//!
//! A connection serves one request at a time. It goes back only after a whole answer with
//! nothing behind it; anything else drops it.

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

/// Idle time of a connection whose target states none.
const IDLE: Duration = Duration::from_secs(2);
/// Time that one dial may take.
const DIAL: Duration = Duration::from_millis(300);
/// PartId of a stated idle time for which a connection is used again, in percent.
const USE: u32 = 70;
/// Time without an acknowledgement after which the kernel gives a connection up.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// A connection, and how long it may still be used.
#[derive(Debug)]
pub struct Connection {
    /// Takes one request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it was dialled for this request.
    pub fresh: bool,
    /// When it is used no more; set as it goes back.
    until: Instant,
}

/// The idle connections by target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<id::Target, Vec<Connection>>,
}

impl Pool {
    /// Returns an idle connection to `target`, the one used last first.
    pub fn take(&mut self, target: &str, now: Instant) -> Option<Connection> {
        let idle = self.idle.get_mut(target)?;
        while let Some(connection) = idle.pop() {
            if now < connection.until && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes back a connection that the target keeps for `idle`.
    pub fn put(
        &mut self,
        target: &str,
        mut connection: Connection,
        idle: Option<Duration>,
        now: Instant,
    ) {
        connection.until = now + idle.unwrap_or(IDLE) * USE / 100;
        connection.fresh = false;
        if let Some(kept) = self.idle.get_mut(target) {
            kept.push(connection);
        } else {
            self.idle.insert(target.to_owned(), vec![connection]);
        }
    }

    /// Drops all connections to `target`.
    pub fn drop(&mut self, target: &str) {
        self.idle.remove(target);
    }

    /// Drops the connections that are used no more.
    pub fn sweep(&mut self, now: Instant) {
        for kept in self.idle.values_mut() {
            kept.retain(|connection| now < connection.until && !connection.sender.is_closed());
        }
        self.idle.retain(|_, kept| !kept.is_empty());
    }
}

/// Dials `address` until `deadline`; nothing where it can't be reached.
pub async fn dial(address: SocketAddr, deadline: Instant) -> Option<Connection> {
    let now = Instant::now();
    let until = deadline.min(now + DIAL);
    let dialled = timeout_at(until.into(), TcpStream::connect(address)).await;
    let stream = dialled.ok()?.ok()?;
    // Both are improvements only: a connection without them still works.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        // Its end shows in the sender, and in the answer that waits.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        fresh: true,
        until: now,
    })
}

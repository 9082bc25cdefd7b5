//! Pool of idle connections to targets.
//!
//! A connection carries one request at a time. It returns to the pool only after a complete
//! response with no bytes after it; otherwise it is closed.
//!
//! A target may write an earlier response once more where the next one is expected. Only the attempt id
//! tells the two apart, so a connection carries an id once, and one request without an id. A target that
//! was caught with such a response gets a connection for each request for a time.

use crate::preamble::{Counted, Counter};
use bytes::Bytes;
use flamingo_wire::id;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// Idle timeout that is assumed for a target that does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for establishing a connection.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Percentage of the target's idle timeout during which an idle connection is reused.
const REUSE_PERCENT: u32 = 70;
/// Requests after which a connection is not reused, since the ids of all of them are kept.
const MAX_REQUESTS: usize = 1_000;
/// Time for which a target gets a connection for each request, after a response to another request.
const DISTRUST_TIME: Duration = Duration::from_mins(1);
/// `TCP_USER_TIMEOUT`: time without an acknowledgement after which the kernel closes a
/// connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest read buffer of a connection, and largest response head, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A connection to a target.
#[derive(Debug)]
pub struct Connection {
    /// Sends the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection was dialled for the current request and not taken from the pool.
    pub newly_dialled: bool,
    /// Time in which the connection was established.
    pub connect_time: Duration,
    /// Hashes of the attempt ids of the requests that were sent on it.
    carried: HashSet<u64>,
    /// Counts what comes before the head of a response.
    preamble: Arc<Counter>,
    /// When an idle connection expires; set when it returns to the pool.
    expires_at: Instant,
}

impl Connection {
    /// Records that a request is sent. Returns whether it is the first one on this connection, so that
    /// what the target sends next can't belong to another one.
    pub fn begin(&mut self, attempt_id: Option<&str>) -> bool {
        let first = self.carried.is_empty();
        self.carried.insert(hash(attempt_id));
        first
    }

    /// Sends a request and returns its response, whose body has not been read yet.
    ///
    /// # Errors
    ///
    /// Returns why there is no response, with the request if nothing of it was sent.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.preamble.begin();
        let preamble = Arc::clone(&self.preamble);
        on_informational(&mut request, move |_| preamble.record_interim_response());
        let response = self.sender.try_send_request(request).await?;
        self.preamble.end();
        Ok(response)
    }

    /// Returns whether the target has sent too much before the head of the last response.
    #[must_use]
    pub fn is_flooded(&self) -> bool {
        self.preamble.is_exceeded()
    }

    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && !self.sender.is_closed()
    }
}

/// Returns the hash by which a connection knows an attempt. An equal hash of another one costs no more
/// than a new connection.
fn hash(attempt_id: Option<&str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    attempt_id.hash(&mut hasher);
    hasher.finish()
}

/// The idle connections of each target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<id::Target, Vec<Connection>>,
    /// Targets that answered a request with the response to another one, and until when none of their
    /// connections is kept.
    distrusted: HashMap<id::Target, Instant>,
}

impl Pool {
    /// Removes and returns the most recently used idle connection to `target`; `None` if there
    /// is no usable one.
    pub fn take(&mut self, target: &str, now: Instant) -> Option<Connection> {
        self.take_if(target, now, |_| true)
    }

    /// Removes and returns the most recently used idle connection to `target` that has not carried this
    /// attempt; `None` if there is no usable one.
    pub fn take_for(
        &mut self,
        target: &str,
        attempt_id: Option<&str>,
        now: Instant,
    ) -> Option<Connection> {
        let hash = hash(attempt_id);
        self.take_if(target, now, |connection| {
            !connection.carried.contains(&hash)
        })
    }

    fn take_if(
        &mut self,
        target: &str,
        now: Instant,
        accepts: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(target)?;
        idle.retain(|connection| connection.is_usable(now));
        let index = idle.iter().rposition(accepts)?;
        Some(idle.remove(index))
    }

    /// Closes all idle connections to `target`, and keeps none for a time. Returns whether that is new.
    pub fn distrust(&mut self, target: &str, now: Instant) -> bool {
        let new = !self.is_distrusted(target, now);
        self.remove(target);
        self.distrusted
            .insert(target.to_owned(), now + DISTRUST_TIME);
        new
    }

    fn is_distrusted(&self, target: &str, now: Instant) -> bool {
        let until = self.distrusted.get(target);
        until.is_some_and(|until| now < *until)
    }

    /// Returns a connection to the pool. `idle_timeout` is the time after which the target
    /// closes an idle connection, or `None` if the target did not announce it. The connection is closed
    /// if the target is distrusted, or if it has carried `MAX_REQUESTS`.
    pub fn put(
        &mut self,
        target: &str,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        if self.is_distrusted(target, now) || connection.carried.len() >= MAX_REQUESTS {
            return;
        }
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

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Removes the connections that have expired or were closed by the target.
    pub fn remove_expired(&mut self, now: Instant) {
        for connections in self.idle.values_mut() {
            connections.retain(|connection| connection.is_usable(now));
        }
        self.distrusted.retain(|_, until| now < *until);
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
    let connect_time = now.elapsed();
    // Errors are ignored: a connection without these options still works.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let preamble = Arc::new(Counter::default());
    let io = TokioIo::new(Counted::new(stream, Arc::clone(&preamble)));
    let mut builder = Builder::new();
    let handshake = builder.max_buf_size(MAX_BUFFER_BYTES).handshake(io);
    let (sender, connection) = handshake.await.ok()?;
    tokio::task::spawn_local(async move {
        // An error of the connection also reaches the sender and the pending response.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        newly_dialled: true,
        connect_time,
        carried: HashSet::new(),
        preamble,
        expires_at: now,
    })
}

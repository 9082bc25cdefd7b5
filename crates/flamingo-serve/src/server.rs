//! HTTP/1.1 server for callers, with one task per connection.
//!
//! When a caller disconnects, the handling of its request is cancelled by dropping its future.

use crate::body::Body;
use crate::write_stall::Guarded;
use flamingo_wire::route::Limits;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, debug, info, warn};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay before the next `accept` after one has failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Smallest read buffer of a connection, in bytes; hyper accepts no smaller one.
const MIN_BUFFER_BYTES: usize = 16 * 1024;
/// Largest number of headers in a request.
const MAX_HEADERS: usize = 128;

/// Answers requests.
pub trait Handler {
    /// Answers one request. The future is dropped if the caller disconnects.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<Body>>;
}

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest time until a request head has been received, including the idle time before it.
    pub idle_timeout: Duration,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
}

impl ConnectionLimits {
    /// Returns the connection limits that follow from the limits of the routes.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        Self {
            idle_timeout: Duration::from_millis(limits.idle_ms.max(limits.head_ms)),
            head_bytes: limits.head_bytes,
        }
    }
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self::new(&Limits::default())
    }
}

/// Stage of the shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// The process is not shutting down.
    Serving,
    /// Requests that end in time are accepted, and each response closes its connection.
    Draining,
    /// Idle connections are closed, and requests are refused.
    Closing,
    /// Requests that are still in flight are answered with a failure.
    Ending,
}

/// Stage of the shutdown, with the number of open connections and of requests in flight.
#[derive(Debug)]
pub struct Drain {
    stage: watch::Sender<Stage>,
    /// When the process ends; `None` while it is not shutting down.
    ends_at: Cell<Option<Instant>>,
    open_connections: Cell<usize>,
    requests_in_flight: Cell<usize>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            stage: watch::channel(Stage::Serving).0,
            ends_at: Cell::default(),
            open_connections: Cell::new(0),
            requests_in_flight: Cell::new(0),
        }
    }
}

impl Drain {
    /// Begins the shutdown. Requests in flight at `ends_at` are given up.
    pub fn begin(&self, ends_at: Instant) {
        self.ends_at.set(Some(ends_at));
        self.enter_stage(Stage::Draining);
    }

    /// Returns when requests in flight are given up; `None` while the process is not shutting down.
    #[must_use]
    pub fn ends_at(&self) -> Option<Instant> {
        self.ends_at.get()
    }

    /// Waits until a stage is reached.
    pub async fn reach(&self, stage: Stage) {
        let mut stages = self.stage.subscribe();
        // `wait_for` does not fail: the sender lives as long as the process.
        let _ = stages.wait_for(|reached| *reached >= stage).await;
    }

    /// Sets the stage and notifies all connections.
    pub fn enter_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns the number of requests that are being answered.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.get()
    }

    /// Returns the number of open connections of callers.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> Guard {
        self.requests_in_flight
            .set(self.requests_in_flight.get() + 1);
        Guard(Rc::clone(self))
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard(Rc<Drain>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0
            .requests_in_flight
            .set(self.0.requests_in_flight.get() - 1);
    }
}

/// Accepts connections and serves them. Never returns.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    limits: Rc<Cell<ConnectionLimits>>,
    drain: Rc<Drain>,
    log: Logger,
) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(log, "connection accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        // An error is ignored: without the option, responses may be delayed by Nagle's algorithm
        // but still arrive.
        let _ = stream.set_nodelay(true);
        let handler = Rc::clone(&handler);
        let drain = Rc::clone(&drain);
        let limits = limits.get();
        let log = log.clone();
        tokio::task::spawn_local(async move {
            drain.open_connections.set(drain.open_connections.get() + 1);
            let io = TokioIo::new(Guarded::new(stream));
            let result = serve_connection(io, handler, limits, &drain).await;
            drain.open_connections.set(drain.open_connections.get() - 1);
            if let Err(error) = result {
                log_error(&log, peer, &error);
            }
        });
    }
}

/// Logs why a connection failed: at level info if the caller sent an invalid request head, at
/// level debug otherwise.
fn log_error(log: &Logger, peer: SocketAddr, error: &hyper::Error) {
    if error.is_parse() {
        info!(log, "request head invalid"; "peer" => %peer, "error" => %error);
    } else {
        debug!(log, "connection failed"; "peer" => %peer, "error" => %error);
    }
}

/// Serves one connection until it ends, and closes it gracefully once the stage is
/// [`Stage::Closing`]. A connection that begins later is closed by the response to its first request.
async fn serve_connection(
    io: TokioIo<Guarded<TcpStream>>,
    handler: Rc<dyn Handler>,
    limits: ConnectionLimits,
    drain: &Rc<Drain>,
) -> Result<(), hyper::Error> {
    let service_drain = Rc::clone(drain);
    let service = service_fn(move |request| {
        let response = Rc::clone(&handler).handle(request);
        let service_drain = Rc::clone(&service_drain);
        async move {
            let mut response = response.await;
            if service_drain.stage() > Stage::Serving {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let is_late = drain.stage() >= Stage::Closing;
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    if is_late {
        return connection.await;
    }
    tokio::select! {
        ended = connection.as_mut() => return ended,
        () = drain.reach(Stage::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

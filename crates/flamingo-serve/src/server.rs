//! The listeners of callers: HTTP/1.1, one task a connection.
//!
//! A request whose caller leaves is dropped at once, with all that was begun for it.

use crate::body::Body;
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
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time between two tries to take a connection after one failed.
const PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer of a connection, in bytes; the library takes no smaller one.
const BUFFER: usize = 16 * 1024;
/// Largest number of header lines.
const LINES: usize = 128;

/// Answers requests.
pub trait Handler {
    /// Answers one request; it is dropped where the caller leaves.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<Body>>;
}

/// How connections are treated.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest time for a head, and between two requests.
    pub idle: Duration,
    /// Largest head, in bytes.
    pub head: usize,
}

impl ConnectionLimits {
    /// Returns what the limits of the routes in force ask for.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        Self {
            idle: Duration::from_millis(limits.idle_ms.max(limits.head_ms)),
            head: limits.head_bytes,
        }
    }
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self::new(&Limits::default())
    }
}

/// How far the process is on its way out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// It is not.
    Serving,
    /// Answers close their connections, and all requests are taken.
    Draining,
    /// Idle connections are closed, and no request is taken.
    Closing,
}

/// Whether the process is on its way out, and what it still does.
#[derive(Debug)]
pub struct Drain {
    stage: watch::Sender<Stage>,
    /// Connections that are open.
    open: Cell<usize>,
    /// Requests that are being answered.
    busy: Cell<usize>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            stage: watch::channel(Stage::Serving).0,
            open: Cell::new(0),
            busy: Cell::new(0),
        }
    }
}

impl Drain {
    /// Goes on to `stage`.
    pub fn enter_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Returns how far it is.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns how many requests are being answered.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.busy.get()
    }

    /// Returns how many connections are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Counter a request until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> Guard {
        self.busy.set(self.busy.get() + 1);
        Guard(Rc::clone(self))
    }
}

/// Counter a request that is being answered.
#[derive(Debug)]
pub struct Guard(Rc<Drain>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

/// Takes connections for ever.
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
                warn!(log, "connection not taken"; "error" => %error);
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        // Without it answers wait for acknowledgements; they still come.
        let _ = stream.set_nodelay(true);
        let handler = Rc::clone(&handler);
        let drain = Rc::clone(&drain);
        let limits = limits.get();
        let log = log.clone();
        tokio::task::spawn_local(async move {
            drain.open.set(drain.open.get() + 1);
            let result = converse(TokioIo::new(stream), handler, limits, &drain).await;
            drain.open.set(drain.open.get() - 1);
            if let Err(error) = result {
                told(&log, peer, &error);
            }
        });
    }
}

/// Writes one line for a connection that ended badly, where the caller is at fault.
fn told(log: &Logger, peer: SocketAddr, error: &hyper::Error) {
    if error.is_parse() {
        info!(log, "connection refused"; "peer" => %peer, "error" => %error);
    } else {
        debug!(log, "connection ended"; "peer" => %peer, "error" => %error);
    }
}

async fn converse(
    io: TokioIo<tokio::net::TcpStream>,
    handler: Rc<dyn Handler>,
    limits: ConnectionLimits,
    drain: &Rc<Drain>,
) -> Result<(), hyper::Error> {
    let closing = Rc::clone(drain);
    let service = service_fn(move |request| {
        let answered = Rc::clone(&handler).handle(request);
        let closing = Rc::clone(&closing);
        async move {
            let mut answer = answered.await;
            if closing.stage() > Stage::Serving {
                let close = http::HeaderValue::from_static("close");
                answer.headers_mut().insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut stage = drain.stage.subscribe();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(BUFFER))
        .max_headers(LINES)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return ended,
        // The sender lives as long as the process.
        _ = stage.wait_for(|stage| *stage == Stage::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

//! A fake plain service that records the requests that it executed.

use crate::announcer;
use crate::fault::{Faults, Source};
use crate::record::{Line, Record};
use actix_web::dev::{Server, ServerHandle};
use actix_web::web::{Bytes, Data, Json, Query};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use flamingo_wire::announce::{Announcement, Availability, Kind, Load, Service};
use flamingo_wire::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// Time for which a leaving replica stays reachable, until all entries know that it leaves.
const LINGER: Duration = Duration::from_secs(3);
/// Interval of polling.
const LOOK: Duration = Duration::from_millis(50);

/// Settings of one fake service replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the replica.
    pub name: id::Target,
    /// The service to which the replica belongs.
    pub service: id::Service,
    /// Availability zone of the replica.
    pub zone: id::Zone,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Entries to announce the replica to, in order of preference.
    pub entries: Vec<SocketAddr>,
}

/// One executed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Body, as text.
    pub body: String,
    /// Value of `x-request-id`, or empty.
    #[serde(default)]
    pub request: id::Request,
    /// Value of `idempotency-key`, or empty.
    #[serde(default)]
    pub key: id::Key,
    /// Time since the replica announced that it leaves, in milliseconds.
    #[serde(default)]
    pub after_leave_ms: Option<u64>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    incarnation: id::Incarnation,
    sequence: AtomicU64,
    running: AtomicU32,
    ran: Mutex<Vec<Run>>,
    faults: Mutex<Source>,
    leaving: Mutex<Option<Instant>>,
    changed: Arc<Notify>,
    handle: OnceLock<ServerHandle>,
    record: Record,
}

/// Starts the service and returns its server and address.
///
/// `GET /stand-in/ran` lists the executed requests, `POST /stand-in/faults` injects faults, and
/// `POST /stand-in/leave` has the replica leave. The query `?delay_ms=N` delays a response.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn start(settings: Settings) -> std::io::Result<(Server, SocketAddr)> {
    start_with(settings, None)
}

/// Starts the service with a file that records the executed requests.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the file can't be opened.
pub fn start_with(
    settings: Settings,
    record: Option<&Path>,
) -> std::io::Result<(Server, SocketAddr)> {
    let listen = settings.listen;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let state = Data::new(State {
        settings,
        incarnation: u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX),
        sequence: AtomicU64::new(0),
        running: AtomicU32::new(0),
        ran: Mutex::default(),
        faults: Mutex::default(),
        leaving: Mutex::default(),
        changed: Arc::default(),
        handle: OnceLock::new(),
        record: Record::open(record)?,
    });
    let shared = state.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .route("/stand-in/ran", web::get().to(ran))
            .route("/stand-in/faults", web::post().to(faults))
            .route("/stand-in/leave", web::post().to(leave))
            .default_service(web::to(run))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(3_600)
    .bind(listen)?;
    let address = server.addrs()[0];
    let server = server.run();
    let _ = state.handle.set(server.handle());
    let entries = state.settings.entries.clone();
    let changed = state.changed.clone();
    actix_rt::spawn(announcer::run(entries, changed, move || {
        announce(&state, address)
    }));
    Ok((server, address))
}

fn held<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().expect("no panic while the value is held")
}

fn announce(state: &State, address: SocketAddr) -> Option<Announcement> {
    let settings = &state.settings;
    let faults = held(&state.faults).faults().clone();
    if faults.mute {
        return None;
    }
    let running = state.running.load(Ordering::Relaxed);
    let running = if faults.wrong_load { 0 } else { running };
    let standing = match *held(&state.leaving) {
        Some(_) => Availability::Leaving,
        None => Availability::Serving,
    };
    Some(Announcement {
        target: settings.name.clone(),
        incarnation: state.incarnation,
        sequence: state.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        zone: settings.zone.clone(),
        address,
        availability: standing,
        load: Load {
            running,
            ..Load::default()
        },
        kind: Kind::Service(Service {
            name: settings.service.clone(),
        }),
    })
}

async fn ran(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&*held(&state.ran))
}

async fn faults(state: Data<State>, faults: Json<Faults>) -> HttpResponse {
    *held(&state.faults) = Source::new(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn leave(state: Data<State>) -> HttpResponse {
    let since = *held(&state.leaving).get_or_insert_with(Instant::now);
    state.changed.notify_one();
    actix_rt::spawn(async move {
        while since.elapsed() < LINGER || state.running.load(Ordering::Relaxed) > 0 {
            actix_rt::time::sleep(LOOK).await;
        }
        if let Some(handle) = state.handle.get() {
            handle.stop(true).await;
        }
    });
    HttpResponse::NoContent().finish()
}

/// Decrements the number of running requests on drop.
struct Running<'a>(&'a State);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug, Deserialize)]
struct Wanted {
    #[serde(default)]
    delay_ms: u64,
}

async fn run(
    state: Data<State>,
    request: HttpRequest,
    wanted: Query<Wanted>,
    body: Bytes,
) -> HttpResponse {
    while held(&state.faults).faults().silent {
        actix_rt::time::sleep(LOOK).await;
    }
    let (refused, _) = held(&state.faults).request();
    if let Some(seconds) = refused {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("retry-after", seconds.to_string()))
            .insert_header(("x-flamingo-verdict", "not-run"))
            .json(serde_json::json!({"error": {"message": "the service refuses work"}}));
    }
    state.running.fetch_add(1, Ordering::Relaxed);
    let _running = Running(&state);
    let after_leave_ms = held(&state.leaving).map(|since| since.elapsed().as_millis());
    let run = Run {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
        request: header(&request, "x-request-id"),
        key: header(&request, "idempotency-key"),
        after_leave_ms: after_leave_ms.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
    };
    let count = {
        let mut list = held(&state.ran);
        list.push(run.clone());
        list.len()
    };
    state.record.write(&Line {
        request: &run.request,
        key: &run.key,
        method: &run.method,
        path: &run.path,
        body: &run.body,
    });
    actix_rt::time::sleep(Duration::from_millis(wanted.delay_ms)).await;
    if held(&state.faults).order().unanswered {
        std::future::pending::<()>().await;
    }
    HttpResponse::Ok().json(serde_json::json!({"ran": run, "count": count}))
}

fn header(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

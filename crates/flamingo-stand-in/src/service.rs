//! A fake plain service that logs what it truly ran.

use crate::announcer;
use actix_web::dev::Server;
use actix_web::web::{Bytes, Data};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use flamingo_wire::announce::{Announcement, Kind, Load, Service, Standing};
use flamingo_wire::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Settings of one fake service replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: id::Target,
    /// The service that it serves.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it listens; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Entries to announce itself to, in order of preference.
    pub entries: Vec<SocketAddr>,
}

/// One call that truly ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Body, as text.
    pub body: String,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    sequence: AtomicU64,
    ran: Mutex<Vec<Run>>,
}

/// Starts the service and returns its server and the address that it took.
///
/// What ran is listed at `GET /stand-in/ran`.
///
/// # Errors
///
/// Returns an error where the address can't be taken.
pub fn start(settings: Settings) -> std::io::Result<(Server, SocketAddr)> {
    let listen = settings.listen;
    let state = Data::new(State {
        settings,
        sequence: AtomicU64::new(0),
        ran: Mutex::new(Vec::new()),
    });
    let shared = state.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .route("/stand-in/ran", web::get().to(ran))
            .default_service(web::to(run))
    })
    .workers(1)
    .disable_signals()
    .bind(listen)?;
    let address = server.addrs()[0];
    let entries = state.settings.entries.clone();
    actix_rt::spawn(announcer::run(entries, move || announce(&state, address)));
    Ok((server.run(), address))
}

fn announce(state: &State, address: SocketAddr) -> Announcement {
    let settings = &state.settings;
    Announcement {
        target: settings.name.clone(),
        incarnation: u64::from(std::process::id()),
        sequence: state.sequence.fetch_add(1, Ordering::Relaxed),
        zone: settings.zone.clone(),
        address,
        standing: Standing::Serving,
        load: Load::default(),
        kind: Kind::Service(Service {
            name: settings.service.clone(),
        }),
    }
}

async fn ran(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.ran.lock().expect("no panic while the list is held"))
}

async fn run(state: Data<State>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let run = Run {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let mut list = state.ran.lock().expect("no panic while the list is held");
    list.push(run.clone());
    let count = list.len();
    HttpResponse::Ok().json(serde_json::json!({"ran": run, "count": count}))
}

//! The rate-limited weight store, in this process or in a process that engines share.

use actix_web::dev::Server;
use actix_web::web::{Data, Json};
use actix_web::{App, HttpResponse, HttpServer, web};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of a request to the store.
const TIMEOUT: Duration = Duration::from_mins(2);

/// Limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Minimum time between the starts of two model loads.
    pub spacing: Duration,
    /// Number of concurrent model loads that run at full speed.
    pub models: u32,
    /// Number of concurrent adapter loads that run at full speed.
    pub adapters: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            spacing: Duration::from_secs(1),
            models: 6,
            adapters: 50,
        }
    }
}

/// What a fetch loads.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// A model's weights.
    Model,
    /// An adapter.
    Adapter,
}

/// One fetch.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Fetch {
    /// What a fetch loads.
    pub kind: Kind,
    /// Duration at full speed, in milliseconds.
    pub full_speed_ms: u64,
}

#[derive(Debug, Default)]
struct Gauge {
    next: Option<Instant>,
    models: u32,
    adapters: u32,
    most_models: u32,
    most_adapters: u32,
}

/// State of the store, shared by the engines of one process.
#[derive(Clone, Debug)]
pub struct Store {
    limits: Limits,
    gauge: Arc<Mutex<Gauge>>,
}

impl Store {
    /// Creates a store without fetches.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let gauge = Arc::default();
        Self { limits, gauge }
    }

    /// Waits for the duration of `fetch`. A model load waits for its turn to start. Beyond the limit
    /// of concurrent fetches, all take proportionally longer.
    ///
    /// # Panics
    ///
    /// Panics if another fetch panicked.
    pub async fn fetch(&self, fetch: Fetch) {
        if fetch.kind == Kind::Model {
            let start = self.turn(Instant::now());
            actix_rt::time::sleep_until(start.into()).await;
        }
        let (_held, factor) = Held::new(self, fetch.kind);
        let full_speed = Duration::from_millis(fetch.full_speed_ms);
        actix_rt::time::sleep(full_speed.mul_f64(factor)).await;
    }

    fn turn(&self, now: Instant) -> Instant {
        let mut gauge = self.gauge.lock().expect("no panic while the gauge is held");
        let start = gauge.next.map_or(now, |next| next.max(now));
        gauge.next = Some(start + self.limits.spacing);
        start
    }
}

/// A fetch in progress; ends on drop.
struct Held<'a> {
    store: &'a Store,
    kind: Kind,
}

impl<'a> Held<'a> {
    fn new(store: &'a Store, kind: Kind) -> (Self, f64) {
        let mut gauge = store
            .gauge
            .lock()
            .expect("no panic while the gauge is held");
        let (count, limit) = match kind {
            Kind::Model => {
                gauge.models += 1;
                gauge.most_models = gauge.most_models.max(gauge.models);
                (gauge.models, store.limits.models)
            }
            Kind::Adapter => {
                gauge.adapters += 1;
                gauge.most_adapters = gauge.most_adapters.max(gauge.adapters);
                (gauge.adapters, store.limits.adapters)
            }
        };
        let factor = f64::from(count) / f64::from(limit.max(1));
        (Self { store, kind }, factor.max(1.0))
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let Ok(mut gauge) = self.store.gauge.lock() else {
            return;
        };
        match self.kind {
            Kind::Model => gauge.models -= 1,
            Kind::Adapter => gauge.adapters -= 1,
        }
    }
}

/// The store from which an engine fetches weights.
#[derive(Clone, Debug)]
pub enum Source {
    /// A store in this process.
    Local(Store),
    /// A store process.
    Remote(SocketAddr),
}

impl Source {
    /// Waits for the duration of `fetch`. Returns whether it succeeded.
    pub async fn fetch(&self, fetch: Fetch) -> bool {
        match self {
            Self::Local(store) => {
                store.fetch(fetch).await;
                true
            }
            Self::Remote(address) => {
                let client = awc::Client::builder().timeout(TIMEOUT).finish();
                let sent = client.post(format!("http://{address}/fetch"));
                let answer = sent.send_json(&fetch).await;
                answer.is_ok_and(|answer| answer.status().is_success())
            }
        }
    }
}

/// Starts a store as a server and returns its server and address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn start(listen: SocketAddr, limits: Limits) -> std::io::Result<(Server, SocketAddr)> {
    let store = Data::new(Store::new(limits));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(store.clone())
            .route("/fetch", web::post().to(serve))
            .route("/stand-in/state", web::get().to(state))
    })
    .workers(1)
    .disable_signals()
    .bind(listen)?;
    let address = server.addrs()[0];
    Ok((server.run(), address))
}

async fn serve(store: Data<Store>, fetch: Json<Fetch>) -> HttpResponse {
    store.fetch(*fetch).await;
    HttpResponse::NoContent().finish()
}

async fn state(store: Data<Store>) -> HttpResponse {
    let gauge = store
        .gauge
        .lock()
        .expect("no panic while the gauge is held");
    HttpResponse::Ok().json(serde_json::json!({
        "models": gauge.models, "most_models": gauge.most_models,
        "adapters": gauge.adapters, "most_adapters": gauge.most_adapters,
    }))
}

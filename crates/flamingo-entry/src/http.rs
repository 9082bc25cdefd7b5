//! The HTTP interface of an entry.

use crate::desk::Desk;
use crate::known::Known;
use crate::metric::Metric;
use crate::{call, completion};
use actix::Addr;
use actix_web::web::{self, Data, Json, JsonConfig, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use flamingo_daemon::answer;
use flamingo_link::Link;
use flamingo_settings::serve::Serve;
use flamingo_wire::admin::Query;
use flamingo_wire::announce::{Announcement, Kind};
use flamingo_wire::config::Change;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, id};
use serde_json::json;
use slog::{Logger, warn};
use std::sync::Arc;

/// Largest announcement of a target, in bytes.
const ANNOUNCEMENT: usize = 1 << 20;
/// Largest wish of an operator, in bytes.
const CHANGE: usize = 16 << 20;
/// Longest name that a target may announce, in bytes.
const NAME: usize = 256;
/// Model copies that a target may announce.
const COPIES: usize = 1_024;

/// What the handlers share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The actor that decides.
    pub desk: Addr<Desk>,
    /// What every worker knows.
    pub known: Arc<Known>,
    /// The link to the rest of the system.
    pub link: Link,
    /// The metrics.
    pub metric: Metric,
    /// Bounds of the service to callers.
    pub serve: Serve,
    /// Whether callers show keys of this system, which no target may see.
    pub guarded: bool,
    /// The log.
    pub log: Logger,
}

/// Adds the routes.
pub fn routes(config: &mut ServiceConfig) {
    let announcement = web::resource("/targets/announce")
        .app_data(json_limit(ANNOUNCEMENT))
        .route(web::post().to(announce));
    let change = web::resource("/admin/config")
        .app_data(json_limit(CHANGE))
        .route(web::get().to(show))
        .route(web::post().to(apply));
    let query = web::resource("/admin/query")
        .app_data(json_limit(CHANGE))
        .route(web::post().to(query));
    config
        .route("/v1/chat/completions", web::post().to(completion::serve))
        .route("/v1/completions", web::post().to(completion::serve))
        .route("/v1/models", web::get().to(models))
        .route("/services/{service}/{path:.*}", web::to(call::serve))
        .service(announcement)
        .service(change)
        .service(query)
        .route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics))
        .default_service(web::to(unknown));
}

fn json_limit(bytes: usize) -> JsonConfig {
    JsonConfig::default()
        .limit(bytes)
        .error_handler(|error, _| {
            let message = format!("the body can't be read: {error}");
            let fault = Fault::not_run(Reason::Invalid, message, "send JSON as docs/API.md says");
            let answer = answer::refuse(&fault, &request_id());
            actix_web::error::InternalError::from_response(error, answer).into()
        })
}

async fn unknown(request: HttpRequest) -> HttpResponse {
    let message = format!("no {} {}", request.method(), request.path());
    let fault = Fault::not_run(Reason::Unknown, message, "see docs/API.md");
    answer::refuse(&fault, &request_id())
}

async fn ready(shared: Data<Shared>) -> HttpResponse {
    let fault = if shared.known.stopping() {
        Fault::not_run(Reason::Stopping, "the entry is stopping", "use another")
    } else if shared.known.config().version == 0 {
        let message = "no configuration is in force yet";
        Fault::not_run(Reason::Leaderless, message, "ask again").retry_after(1)
    } else {
        return HttpResponse::Ok().finish();
    };
    answer::refuse(&fault, &request_id())
}

async fn metrics(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metric.text())
}

async fn models(shared: Data<Shared>) -> HttpResponse {
    let config = shared.known.config();
    let models = config.set.models.iter();
    let names = models.flat_map(|model| {
        let adapters = model.adapters.iter().map(|adapter| &adapter.name);
        std::iter::once(&model.name).chain(adapters)
    });
    let list: Vec<_> = names
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    HttpResponse::Ok()
        .insert_header(("x-request-id", request_id()))
        .json(json!({"object": "list", "data": list}))
}

async fn announce(shared: Data<Shared>, announcement: Json<Announcement>) -> HttpResponse {
    let announcement = announcement.into_inner();
    if let Some(message) = problem(&announcement) {
        warn!(shared.log, "announcement refused"; "message" => message);
        let help = "see docs/API.md for the bounds of an announcement";
        let fault = Fault::not_run(Reason::Invalid, message, help);
        return answer::refuse(&fault, &request_id());
    }
    shared.link.announce(announcement);
    HttpResponse::NoContent().finish()
}

/// Returns what is wrong with an announcement.
fn problem(announcement: &Announcement) -> Option<&'static str> {
    let names = [&announcement.target, &announcement.zone];
    let fits = |name: &String| !name.is_empty() && name.len() <= NAME;
    if !names.into_iter().all(fits) {
        return Some("'target' and 'zone' must have 1 to 256 bytes");
    }
    match &announcement.kind {
        Kind::Service(service) if !fits(&service.name) => {
            Some("the service's name must have 1 to 256 bytes")
        }
        Kind::Engine(engine) if engine.resident.len() > COPIES => {
            Some("more than 1024 resident copies")
        }
        Kind::Engine(engine) if !engine.resident.iter().all(|copy| fits(&copy.model)) => {
            Some("a model's name must have 1 to 256 bytes")
        }
        _ => None,
    }
}

async fn show(shared: Data<Shared>) -> HttpResponse {
    let config = shared.known.config();
    HttpResponse::Ok().json(Reply::Config(config.as_ref().clone()))
}

async fn apply(shared: Data<Shared>, change: Json<Change>) -> HttpResponse {
    ask(&shared, &Request::Apply(change.into_inner())).await
}

async fn query(shared: Data<Shared>, query: Json<Query>) -> HttpResponse {
    ask(&shared, &Request::Admin(query.into_inner())).await
}

async fn ask(shared: &Shared, request: &Request) -> HttpResponse {
    match shared.link.ask(request).await {
        Reply::Refused(fault) => answer::refuse(&fault, &request_id()),
        Reply::Admin(answer) => HttpResponse::Ok().json(answer),
        reply => HttpResponse::Ok().json(reply),
    }
}

/// Gives an identity to a request.
#[must_use]
pub fn request_id() -> id::Request {
    let mut bytes = [0; 16];
    if getrandom::fill(&mut bytes).is_err() {
        // Without entropy the clock and a counter still tell requests apart.
        return fallback_id();
    }
    format!("req-{:032x}", u128::from_le_bytes(bytes))
}

fn fallback_id() -> id::Request {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = now.map_or(0, |now| now.as_nanos());
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("req-{}-{nanos}-{next}", std::process::id())
}

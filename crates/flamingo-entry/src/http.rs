//! The HTTP interface of an entry.

use crate::dispatcher::Dispatcher;
use crate::metrics::Metrics;
use crate::worker_state::WorkerState;
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

/// Largest body of a target's announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 1 << 20;
/// Largest body of an operator's request, in bytes.
const MAX_ADMIN_BYTES: usize = 16 << 20;
/// Longest name that a target may announce, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest number of resident models that a target may announce.
const MAX_RESIDENT_MODELS: usize = 1_024;

/// Dependencies of the HTTP handlers.
#[derive(Clone, Debug)]
pub struct AppState {
    /// The actor that owns the router.
    pub dispatcher: Addr<Dispatcher>,
    /// State that all workers share.
    pub worker_state: Arc<WorkerState>,
    /// Link to the control instances and the other entries.
    pub link: Link,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Limits for callers' requests.
    pub serve: Serve,
    /// Whether the settings name control instances, from which a configuration can come.
    pub has_controls: bool,
    /// Whether callers authenticate with keys of this system, which must not reach targets.
    pub guarded: bool,
    /// Logger of the entry.
    pub log: Logger,
}

/// Registers the routes of the HTTP interface.
pub fn routes(config: &mut ServiceConfig) {
    let announcement = web::resource("/targets/announce")
        .app_data(json_limit(MAX_ANNOUNCEMENT_BYTES))
        .route(web::post().to(announce));
    let change = web::resource("/admin/config")
        .app_data(json_limit(MAX_ADMIN_BYTES))
        .route(web::get().to(show_config))
        .route(web::post().to(apply_config));
    let query = web::resource("/admin/query")
        .app_data(json_limit(MAX_ADMIN_BYTES))
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
    let message = format!(
        "unknown method or path: {} {}",
        request.method(),
        request.path()
    );
    let fault = Fault::not_run(Reason::Unknown, message, "see docs/API.md");
    answer::refuse(&fault, &request_id())
}

async fn ready(shared: Data<AppState>) -> HttpResponse {
    let fault = if shared.worker_state.is_stopping() {
        Fault::not_run(
            Reason::Stopping,
            "the entry is stopping",
            "use another entry",
        )
    } else if shared.worker_state.config().snapshot.version == 0 {
        let message = "no configuration is in force yet";
        Fault::not_run(Reason::Leaderless, message, "retry the request").retry_after(1)
    } else {
        return HttpResponse::Ok().finish();
    };
    answer::refuse(&fault, &request_id())
}

async fn metrics(shared: Data<AppState>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.text())
}

async fn models(shared: Data<AppState>, request: HttpRequest) -> HttpResponse {
    let config = shared.worker_state.config();
    let set = &config.snapshot.set;
    // A caller without a workspace sees what it may use.
    let some_open = set.models.iter().any(|model| model.anonymous);
    let workspace = match shared.authenticate(&config, &request, some_open) {
        Ok(workspace) => workspace,
        Err(fault) => return shared.refuse_key(&config, &fault, &request_id()),
    };
    let sees_all = config.keys.is_none() || workspace.is_some();
    let models = set.models.iter();
    let models = models.filter(|model| sees_all || model.anonymous);
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

async fn announce(shared: Data<AppState>, announcement: Json<Announcement>) -> HttpResponse {
    let announcement = announcement.into_inner();
    if let Some(message) = announcement_problem(&announcement) {
        warn!(shared.log, "announcement rejected"; "message" => message);
        let help = "see docs/API.md for the bounds of an announcement";
        let fault = Fault::not_run(Reason::Invalid, message, help);
        return answer::refuse(&fault, &request_id());
    }
    shared.link.announce(announcement);
    HttpResponse::NoContent().finish()
}

/// Returns why an announcement is invalid, or `None` for a valid one.
fn announcement_problem(announcement: &Announcement) -> Option<&'static str> {
    let names = [&announcement.target, &announcement.zone];
    let fits = |name: &String| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if !names.into_iter().all(fits) {
        return Some("'target' and 'zone' must have 1 to 256 bytes");
    }
    match &announcement.kind {
        Kind::Service(service) if !fits(&service.name) => {
            Some("the service's name must have 1 to 256 bytes")
        }
        Kind::Engine(engine) if engine.resident.len() > MAX_RESIDENT_MODELS => {
            Some("more than 1024 resident copies")
        }
        Kind::Engine(engine) if !engine.resident.iter().all(|copy| fits(&copy.model)) => {
            Some("a model's name must have 1 to 256 bytes")
        }
        _ => None,
    }
}

async fn show_config(shared: Data<AppState>) -> HttpResponse {
    let config = shared.worker_state.config();
    HttpResponse::Ok().json(Reply::Config(config.snapshot.clone()))
}

async fn apply_config(shared: Data<AppState>, change: Json<Change>) -> HttpResponse {
    request_control(&shared, &Request::Apply(change.into_inner())).await
}

async fn query(shared: Data<AppState>, query: Json<Query>) -> HttpResponse {
    request_control(&shared, &Request::Admin(query.into_inner())).await
}

/// Sends a request to the control instances and converts the reply to a response.
async fn request_control(shared: &AppState, request: &Request) -> HttpResponse {
    match shared.link.ask(request).await {
        Reply::Refused(fault) => answer::refuse(&fault, &request_id()),
        Reply::Admin(answer) => HttpResponse::Ok().json(answer),
        reply => HttpResponse::Ok().json(reply),
    }
}

/// Returns a new, unique id for a request.
#[must_use]
pub fn request_id() -> id::Request {
    let mut bytes = [0; 16];
    if getrandom::fill(&mut bytes).is_err() {
        // Without entropy, the process id, the clock and a counter keep ids unique on this machine.
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

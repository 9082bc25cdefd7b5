//! The HTTP interface of an entry.

use crate::table::Table;
use actix_web::http::header;
use actix_web::web::{self, Bytes, Data, Json, Path, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use awc::Client;
use flamingo_daemon::answer;
use flamingo_link::Link;
use flamingo_wire::announce::{Announcement, Kind};
use flamingo_wire::config::Change;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use serde::Deserialize;
use serde_json::json;
use slog::{Logger, info};
use std::sync::Arc;

/// What the handlers share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// What the entry last knew.
    pub table: Arc<Table>,
    /// The link to the control instances.
    pub link: Link,
    /// The log.
    pub log: Logger,
}

/// Adds the routes.
pub fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/models", web::get().to(models))
        .route("/services/{service}/{path:.*}", web::to(service))
        .route("/targets/announce", web::post().to(announce))
        .route("/admin/config", web::get().to(show))
        .route("/admin/config", web::post().to(apply))
        .route("/healthz", web::get().to(HttpResponse::Ok));
}

#[derive(Debug, Deserialize)]
struct Ask {
    model: id::Model,
}

async fn complete(
    shared: Data<Shared>,
    client: Data<Client>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let id = request_id();
    let Ok(ask) = serde_json::from_slice::<Ask>(&body) else {
        let fault = Fault::not_run(
            Reason::Invalid,
            "the body is not JSON with a 'model'",
            "see API",
        );
        return answer::refuse(&fault, &id);
    };
    let wanted = |kind: &Kind| match kind {
        Kind::Engine(engine) => engine.resident.iter().any(|copy| copy.model == ask.model),
        Kind::Service(_) => false,
    };
    let Some(target) = shared.table.pick(wanted) else {
        let message = format!("no target holds model '{}'", ask.model);
        let fault = Fault::not_run(Reason::Unknown, message, "see GET /v1/models");
        return answer::refuse(&fault.retry_after(1), &id);
    };
    info!(shared.log, "routed"; "request" => &id, "model" => &ask.model, "target" => &target.target);
    forward(&client, &request, request.path(), body, &target, &id).await
}

async fn service(
    shared: Data<Shared>,
    client: Data<Client>,
    request: HttpRequest,
    path: Path<Call>,
    body: Bytes,
) -> HttpResponse {
    let id = request_id();
    let wanted = |kind: &Kind| match kind {
        Kind::Service(service) => service.name == path.service,
        Kind::Engine(_) => false,
    };
    let Some(target) = shared.table.pick(wanted) else {
        let message = format!("no target serves '{}'", path.service);
        let fault = Fault::not_run(Reason::Unknown, message, "see flamingoctl target");
        return answer::refuse(&fault.retry_after(1), &id);
    };
    info!(shared.log, "routed"; "request" => &id, "service" => &path.service, "target" => &target.target);
    forward(
        &client,
        &request,
        &format!("/{}", path.path),
        body,
        &target,
        &id,
    )
    .await
}

#[derive(Debug, Deserialize)]
struct Call {
    service: id::Service,
    path: String,
}

async fn forward(
    client: &Client,
    request: &HttpRequest,
    path: &str,
    body: Bytes,
    target: &Announcement,
    id: &str,
) -> HttpResponse {
    let url = format!("http://{}{path}", target.address);
    let mut sent = client
        .request(request.method().clone(), url)
        .insert_header(("x-request-id", id));
    if let Some(content) = request.headers().get(header::CONTENT_TYPE) {
        sent = sent.insert_header((header::CONTENT_TYPE, content));
    }
    match sent.send_body(body).await {
        Ok(reply) => {
            let mut answer = HttpResponse::build(reply.status());
            if let Some(content) = reply.headers().get(header::CONTENT_TYPE) {
                answer.insert_header((header::CONTENT_TYPE, content));
            }
            answer.insert_header(("x-request-id", id));
            answer.streaming(reply)
        }
        Err(error) => {
            let message = format!("target '{}': {error}", target.target);
            let help = "the call may have run; repeat it only if it is idempotent";
            let fault = Fault::not_run(Reason::Target, message, help);
            answer::refuse(&fault.verdict(Verdict::MayHaveRun), id)
        }
    }
}

async fn models(shared: Data<Shared>) -> HttpResponse {
    let models = shared.table.config().set.models;
    let list: Vec<_> = models
        .iter()
        .map(|model| json!({"id": model.name, "object": "model"}))
        .collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": list}))
}

async fn announce(shared: Data<Shared>, announcement: Json<Announcement>) -> HttpResponse {
    shared.link.announce(announcement.into_inner());
    HttpResponse::NoContent().finish()
}

async fn show(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(Reply::Config(shared.table.config()))
}

async fn apply(shared: Data<Shared>, change: Json<Change>) -> HttpResponse {
    match shared.link.ask(&Request::Apply(change.into_inner())).await {
        Reply::Refused(fault) => answer::refuse(&fault, ""),
        reply => HttpResponse::Ok().json(reply),
    }
}

fn request_id() -> id::Request {
    let mut bytes = [0; 8];
    // Without entropy the id is all zeros, which only makes the logs harder to read.
    let _ = getrandom::fill(&mut bytes);
    format!("req-{:016x}", u64::from_le_bytes(bytes))
}

//! The operators' HTTP interface.

use crate::keeper::{Ask, Keeper};
use actix::Addr;
use actix_web::HttpResponse;
use actix_web::web::{self, Data, Json, ServiceConfig};
use flamingo_daemon::answer;
use flamingo_wire::config::Change;
use flamingo_wire::control::{Fetch, Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, id};

/// Adds the routes.
pub fn routes(config: &mut ServiceConfig) {
    config
        .route("/admin/config", web::get().to(show))
        .route("/admin/config", web::post().to(apply))
        .route("/healthz", web::get().to(HttpResponse::Ok));
}

async fn show(keeper: Data<Addr<Keeper>>) -> HttpResponse {
    let fetch = Fetch {
        version: 0,
        node: id::Node::new(),
    };
    reply(keeper, Request::Fetch(fetch)).await
}

async fn apply(keeper: Data<Addr<Keeper>>, change: Json<Change>) -> HttpResponse {
    reply(keeper, Request::Apply(change.into_inner())).await
}

async fn reply(keeper: Data<Addr<Keeper>>, request: Request) -> HttpResponse {
    match keeper.send(Ask(request)).await {
        Ok(Reply::Refused(fault)) => answer::refuse(&fault, ""),
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(error) => {
            let help = "ask another control instance";
            answer::refuse(
                &Fault::not_run(Reason::Stopping, error.to_string(), help),
                "",
            )
        }
    }
}

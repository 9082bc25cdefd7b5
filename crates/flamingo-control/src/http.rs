//! The operators' HTTP interface.

use crate::keeper::{Ask, Enlist, Keeper, Ready};
use crate::metrics::Metrics;
use actix::Addr;
use actix_web::HttpResponse;
use actix_web::http::header::ContentType;
use actix_web::web::{self, Data, Json, ServiceConfig};
use flamingo_daemon::answer;
use flamingo_log::raft::{Change as Members, Seed};
use flamingo_wire::admin::{Answer, Query};
use flamingo_wire::config::Change;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, id};
use serde::Deserialize;
use std::net::SocketAddr;

/// What the handlers share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Answers.
    pub keeper: Addr<Keeper>,
    /// Metrics.
    pub metrics: Metrics,
}

/// A change of the member list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Wish {
    /// Adds a member; the one that it replaces leaves once it votes.
    Add {
        /// The new member.
        node: id::Node,
        /// Where it takes the inner protocol.
        address: SocketAddr,
        /// The member that leaves.
        replaces: Option<id::Node>,
    },
    /// Removes a member.
    Remove(id::Node),
}

/// Adds the routes.
pub fn routes(config: &mut ServiceConfig) {
    config
        .route("/admin/config", web::get().to(show))
        .route("/admin/config", web::post().to(apply))
        .route("/admin/query", web::post().to(query))
        .route("/admin/members", web::post().to(members))
        .route("/metrics", web::get().to(metrics))
        .route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/readyz", web::get().to(ready));
}

/// Shows the configuration in force, as the leader knows it.
async fn show(shared: Data<Shared>) -> HttpResponse {
    match ask(&shared, Request::Admin(Query::Version(0))).await {
        Reply::Admin(Answer::Version(snapshot)) if snapshot.version == 0 => {
            HttpResponse::Ok().json(Reply::Current(0))
        }
        Reply::Admin(Answer::Version(snapshot)) => {
            HttpResponse::Ok().json(Reply::Config(*snapshot))
        }
        other => reply(&other),
    }
}

async fn apply(shared: Data<Shared>, change: Json<Change>) -> HttpResponse {
    reply(&ask(&shared, Request::Apply(change.into_inner())).await)
}

async fn query(shared: Data<Shared>, query: Json<Query>) -> HttpResponse {
    match ask(&shared, Request::Admin(query.into_inner())).await {
        Reply::Admin(answer) => HttpResponse::Ok().json(answer),
        other => reply(&other),
    }
}

async fn members(shared: Data<Shared>, wish: Json<Wish>) -> HttpResponse {
    let change = match wish.into_inner() {
        Wish::Remove(node) => Members::Remove(node),
        Wish::Add {
            node,
            address,
            replaces,
        } => Members::Add {
            seed: Seed { node, address },
            replaces,
        },
    };
    match shared.keeper.send(Enlist(change)).await {
        Ok(Ok(())) => HttpResponse::Ok().json(Reply::Acknowledged),
        Ok(Err(fault)) => answer::refuse(&fault, ""),
        Err(error) => answer::refuse(&stopping(&error.to_string()), ""),
    }
}

async fn metrics(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type(ContentType::plaintext())
        .body(shared.metrics.text())
}

async fn ready(shared: Data<Shared>) -> HttpResponse {
    match shared.keeper.send(Ready).await {
        Ok(true) => HttpResponse::Ok().finish(),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn ask(shared: &Shared, request: Request) -> Reply {
    let from = id::Node::new();
    match shared.keeper.send(Ask { request, from }).await {
        Ok(reply) => reply,
        Err(error) => Reply::Refused(stopping(&error.to_string())),
    }
}

fn reply(reply: &Reply) -> HttpResponse {
    match reply {
        Reply::Refused(fault) => answer::refuse(fault, ""),
        reply => HttpResponse::Ok().json(reply),
    }
}

fn stopping(message: &str) -> Fault {
    Fault::not_run(Reason::Stopping, message, "ask another control instance")
}

//! HTTP interface for operators: configuration, queries, members, metrics and health.

use crate::metrics::Metrics;
use crate::raft_actor::{ChangeMembers, HandleRequest, IsReady, RaftActor};
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

/// State that the handlers share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Handles the requests.
    pub raft_actor: Addr<RaftActor>,
    /// Metrics that `/metrics` shows.
    pub metrics: Metrics,
}

/// Body of `/admin/members`: a change of the member list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum MemberChange {
    /// Adds a member. A member that it replaces is removed once the new member votes.
    Add {
        /// The new member.
        node: id::Node,
        /// Address of the new member for the inner protocol.
        address: SocketAddr,
        /// The member that is removed, if any.
        replaces: Option<id::Node>,
    },
    /// Removes a member.
    Remove(id::Node),
}

/// Registers the handlers of all paths.
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

/// Returns the configuration in force from the leader, or version 0 where there is none.
async fn show(shared: Data<Shared>) -> HttpResponse {
    match send_request(&shared, Request::Admin(Query::Version(0))).await {
        Reply::Admin(Answer::Version(snapshot)) if snapshot.version == 0 => {
            HttpResponse::Ok().json(Reply::Current(0))
        }
        Reply::Admin(Answer::Version(snapshot)) => {
            HttpResponse::Ok().json(Reply::Config(*snapshot))
        }
        other => respond(&other),
    }
}

async fn apply(shared: Data<Shared>, change: Json<Change>) -> HttpResponse {
    respond(&send_request(&shared, Request::Apply(change.into_inner())).await)
}

async fn query(shared: Data<Shared>, query: Json<Query>) -> HttpResponse {
    match send_request(&shared, Request::Admin(query.into_inner())).await {
        Reply::Admin(answer) => HttpResponse::Ok().json(answer),
        other => respond(&other),
    }
}

async fn members(shared: Data<Shared>, change: Json<MemberChange>) -> HttpResponse {
    let change = match change.into_inner() {
        MemberChange::Remove(node) => Members::Remove(node),
        MemberChange::Add {
            node,
            address,
            replaces,
        } => Members::Add {
            seed: Seed { node, address },
            replaces,
        },
    };
    match shared.raft_actor.send(ChangeMembers(change)).await {
        Ok(Ok(())) => HttpResponse::Ok().json(Reply::Acknowledged),
        Ok(Err(fault)) => answer::refuse(&fault, ""),
        Err(error) => answer::refuse(&stopping_fault(&error.to_string()), ""),
    }
}

async fn metrics(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type(ContentType::plaintext())
        .body(shared.metrics.text())
}

async fn ready(shared: Data<Shared>) -> HttpResponse {
    match shared.raft_actor.send(IsReady).await {
        Ok(true) => HttpResponse::Ok().finish(),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn send_request(shared: &Shared, request: Request) -> Reply {
    let from = id::Node::new();
    match shared
        .raft_actor
        .send(HandleRequest { request, from })
        .await
    {
        Ok(reply) => reply,
        Err(error) => Reply::Refused(stopping_fault(&error.to_string())),
    }
}

fn respond(reply: &Reply) -> HttpResponse {
    match reply {
        Reply::Refused(fault) => answer::refuse(fault, ""),
        reply => HttpResponse::Ok().json(reply),
    }
}

fn stopping_fault(message: &str) -> Fault {
    Fault::not_run(Reason::Stopping, message, "ask another control instance")
}

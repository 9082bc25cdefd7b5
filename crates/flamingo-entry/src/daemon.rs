//! Starts and stops the daemon.

use crate::http::{self, Shared};
use crate::table::Table;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use awc::Client;
use flamingo_link::Link;
use flamingo_settings::entry::Settings;
use flamingo_wire::frame::Seal;
use slog::{Logger, info};
use std::error::Error;
use std::future::Future;
use std::sync::Arc;

/// Runs an entry instance until `stop` ends.
///
/// # Errors
///
/// Returns an error where a listener can't be opened.
pub async fn run(
    settings: Settings,
    log: Logger,
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Box<dyn Error>> {
    let seal = Seal::new(&settings.node.name, settings.node.key.as_bytes());
    let table = Arc::new(Table::default());
    let link = Link::start(&settings, seal, table.clone(), log.clone());
    let node = settings.node;
    let shared = Shared {
        table,
        link,
        log: log.clone(),
    };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(shared.clone()))
            .app_data(Data::new(Client::default()))
            .configure(http::routes)
    })
    .workers(1)
    .disable_signals()
    .bind(node.http)?
    .run();
    info!(log, "entry ready"; "http" => %node.http, "zone" => &node.zone);
    let handle = server.handle();
    actix_rt::spawn(async move {
        stop.await;
        handle.stop(true).await;
    });
    server.await?;
    info!(log, "entry stopped");
    Ok(())
}

//! Starts and stops the daemon.

use crate::http;
use crate::inner::Inner;
use crate::keeper::Keeper;
use actix::Actor;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use flamingo_settings::control::Settings;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_server::ControlServer;
use slog::{Logger, info};
use std::error::Error;
use std::future::Future;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

/// Runs a control instance until `stop` ends.
///
/// # Errors
///
/// Returns an error where a listener or the data folder can't be opened.
pub async fn run(
    settings: Settings,
    log: Logger,
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Box<dyn Error>> {
    let seal = Seal::new(&settings.node.name, settings.node.key.as_bytes());
    let keeper = Keeper::open(settings.data, log.clone())?.start();
    let listener = TcpListener::bind(settings.node.inner).await?;
    let inner = ControlServer::new(Inner::new(seal, keeper.clone()));
    let inner = Server::builder().add_service(inner);
    actix_rt::spawn(inner.serve_with_incoming(TcpListenerStream::new(listener)));
    let data = Data::new(keeper);
    let server = HttpServer::new(move || App::new().app_data(data.clone()).configure(http::routes))
        .workers(1)
        .disable_signals()
        .bind(settings.node.http)?
        .run();
    info!(log, "control ready"; "http" => %settings.node.http, "inner" => %settings.node.inner);
    let handle = server.handle();
    actix_rt::spawn(async move {
        stop.await;
        handle.stop(true).await;
    });
    server.await?;
    info!(log, "control stopped");
    Ok(())
}

//! Starts and stops the daemon.

use crate::desk::{Close, Count, Desk, Inbox};
use crate::exchange;
use crate::http::{self, Shared};
use crate::known::Known;
use crate::metric::Metric;
use actix::{Actor, Arbiter, Context};
use actix_web::dev::{ServerHandle, Service};
use actix_web::http::ConnectionType;
use actix_web::middleware::from_fn;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use flamingo_daemon::guard::{self, Guard};
use flamingo_daemon::tls;
use flamingo_link::Link;
use flamingo_route::Limit;
use flamingo_settings::entry::Settings;
use flamingo_settings::serve::Serve;
use flamingo_wire::frame::Seal;
use slog::{Logger, info, warn};
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time in which a caller must have sent a request's head.
const HEAD: Duration = Duration::from_secs(5);
/// Time between two reports of demand.
const COUNT: Duration = Duration::from_secs(1);
/// Time for which an idle connection of a caller is kept.
const IDLE: Duration = Duration::from_secs(15);

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
    let known = Arc::new(Known::default());
    let metric = Metric::new()?;
    let serve = settings.serve.clone();
    let arbiter = Arbiter::new();
    let desk = start_desk(&arbiter, &settings, &metric, &log);
    let inbox = Inbox {
        desk: desk.clone(),
        known: Arc::clone(&known),
    };
    let link = Link::start(&settings, seal, Arc::new(inbox), log.clone());
    actix_rt::spawn(count(desk.clone(), link.clone()));
    let farewell = link.clone();
    let node = settings.node;
    let guard = Data::new(Guard::open(&node.keys, Instant::now())?);
    let shared = Shared {
        desk: desk.clone(),
        known: Arc::clone(&known),
        link,
        metric,
        serve: serve.clone(),
        guarded: node.keys.callers.is_some(),
        log: log.clone(),
    };
    let server = HttpServer::new(move || {
        let known = Arc::clone(&shared.known);
        App::new()
            .app_data(Data::new(shared.clone()))
            .app_data(Data::new(exchange::client()))
            .app_data(guard.clone())
            .wrap(from_fn(guard::check))
            .wrap_fn(move |request, next| {
                let known = Arc::clone(&known);
                let answer = next.call(request);
                async move {
                    let mut answer = answer.await?;
                    if known.stopping() {
                        // An idle connection would hold up the stop.
                        let head = answer.response_mut().head_mut();
                        head.set_connection_type(ConnectionType::Close);
                    }
                    Ok(answer)
                }
            })
            .configure(http::routes)
    })
    .workers(serve.workers)
    .max_connections(serve.connections)
    .client_request_timeout(HEAD)
    .keep_alive(IDLE)
    .h1_allow_half_closed(false)
    .shutdown_timeout(node.grace.as_secs().max(1))
    .disable_signals();
    let server = match &node.tls {
        Some(files) => server.bind_rustls_0_23(node.http, tls::config(files)?)?,
        None => server.bind(node.http)?,
    };
    let server = server.run();
    info!(log, "entry ready"; "http" => %node.http, "zone" => &node.zone);
    actix_rt::spawn(end(
        stop,
        known,
        serve,
        farewell,
        server.handle(),
        log.clone(),
    ));
    server.await?;
    let left = desk.send(Close).await.unwrap_or_default();
    arbiter.stop();
    if left > 0 {
        warn!(log, "entry stopped with requests unfinished"; "requests" => left);
    } else {
        info!(log, "entry stopped"; "requests" => left);
    }
    Ok(())
}

fn start_desk(
    arbiter: &Arbiter,
    settings: &Settings,
    metric: &Metric,
    log: &Logger,
) -> actix::Addr<Desk> {
    let mut seed = [0; 8];
    // Without entropy all entries choose alike, which is only a worse spread.
    let _ = getrandom::fill(&mut seed);
    let limit = Limit {
        adapter_loads: settings.serve.adapter_loads,
        admission: settings.serve.admission,
        policy: settings.serve.policy.parse().unwrap_or_default(),
        ..Limit::default()
    };
    let seed = u64::from_le_bytes(seed);
    let zone = settings.node.zone.clone();
    let desk = Desk::new(zone, limit, seed, metric.clone(), log.clone());
    Desk::start_in_arbiter(&arbiter.handle(), move |_: &mut Context<Desk>| desk)
}

/// Passes the demand for models on, for ever.
async fn count(desk: actix::Addr<Desk>, link: Link) {
    while let Ok(demand) = desk.send(Count).await {
        if !demand.is_empty() {
            link.demand(demand);
        }
        actix_rt::time::sleep(COUNT).await;
    }
}

/// Stops in steps: not ready, then no new connections, then the end of what runs.
async fn end(
    stop: impl Future<Output = ()>,
    known: Arc<Known>,
    serve: Serve,
    link: Link,
    server: ServerHandle,
    log: Logger,
) {
    stop.await;
    known.stop();
    let deadline = Instant::now() + serve.linger;
    info!(log, "stopping: not ready any more, still accepting");
    link.leave().await;
    tokio::time::sleep_until(deadline.into()).await;
    info!(log, "stopping: no new connections, running requests end");
    server.stop(true).await;
}

//! Starts and stops the parts of an entry: dispatcher, link and HTTP server.

use crate::dispatcher::{Dispatcher, EventSink, Shutdown, TakeDemand, TakeEvidence};
use crate::exchange;
use crate::http::{self, AppState};
use crate::metrics::Metrics;
use crate::worker_state::WorkerState;
use actix::{Actor, Arbiter, Context};
use actix_web::dev::{ServerHandle, Service};
use actix_web::http::ConnectionType;
use actix_web::middleware::from_fn;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use flamingo_daemon::guard::{self, Guard};
use flamingo_daemon::startup::{self, Check, Problem};
use flamingo_daemon::tls;
use flamingo_link::Link;
use flamingo_route::Limit;
use flamingo_settings::entry::Settings;
use flamingo_settings::node::Node;
use flamingo_settings::serve::Serve;
use flamingo_wire::frame::Seal;
use rustls::ServerConfig;
use slog::{Logger, info, warn};
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time that a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two reports of demand to the link.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an idle connection of a caller is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Key of the settings with the address for callers, as in messages.
const HTTP_FIELD: &str = "[listen] http";

/// Runs an entry instance until `stop` ends.
///
/// # Errors
///
/// Returns an error if the metrics, the keys, the TLS files or a listener can't be set up.
pub async fn run(
    settings: Settings,
    log: Logger,
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Box<dyn Error>> {
    let opened = open(&settings.node)?;
    let seal = Seal::new(&settings.node.name, settings.node.key.as_bytes());
    let state = Arc::new(WorkerState::default());
    let metrics = Metrics::new()?;
    let serve = settings.serve.clone();
    let arbiter = Arbiter::new();
    let dispatcher = start_dispatcher(&arbiter, &settings, &metrics, &log);
    let event_sink = EventSink {
        dispatcher: dispatcher.clone(),
        state: Arc::clone(&state),
    };
    let link = Link::start(&settings, seal, Arc::new(event_sink), log.clone());
    actix_rt::spawn(report_demand(dispatcher.clone(), link.clone()));
    let leaving_link = link.clone();
    let node = settings.node;
    let guard = Data::new(opened.guard);
    let app_state = AppState {
        dispatcher: dispatcher.clone(),
        worker_state: Arc::clone(&state),
        link,
        metrics,
        serve: serve.clone(),
        has_controls: !node.controls.is_empty(),
        guarded: node.keys.callers.is_some(),
        log: log.clone(),
    };
    let server = HttpServer::new(move || {
        let state = Arc::clone(&app_state.worker_state);
        App::new()
            .app_data(Data::new(app_state.clone()))
            .app_data(Data::new(exchange::client()))
            .app_data(guard.clone())
            .wrap(from_fn(guard::check))
            .wrap_fn(move |request, next| {
                let state = Arc::clone(&state);
                let response = next.call(request);
                async move {
                    let mut response = response.await?;
                    if state.is_stopping() {
                        // Close connections after each response: an idle connection would delay the stop.
                        let head = response.response_mut().head_mut();
                        head.set_connection_type(ConnectionType::Close);
                    }
                    Ok(response)
                }
            })
            .configure(http::routes)
    })
    .workers(serve.workers)
    .max_connections(serve.connections)
    .client_request_timeout(HEAD_TIMEOUT)
    .keep_alive(KEEP_ALIVE)
    .h1_allow_half_closed(false)
    .shutdown_timeout(node.grace.as_secs().max(1))
    .disable_signals();
    let server = match opened.tls {
        Some(tls) => server.bind_rustls_0_23(node.http, tls),
        None => server.bind(node.http),
    };
    let server = server
        .map_err(|error| Problem::Listener(HTTP_FIELD, node.http, error))?
        .run();
    info!(log, "entry ready"; "http" => %node.http, "zone" => &node.zone);
    actix_rt::spawn(shut_down(
        stop,
        state,
        serve,
        leaving_link,
        server.handle(),
        log.clone(),
    ));
    server.await?;
    let unfinished = dispatcher.send(Shutdown).await.unwrap_or_default();
    arbiter.stop();
    if unfinished > 0 {
        warn!(log, "entry stopped with requests unfinished"; "requests" => unfinished);
    } else {
        info!(log, "entry stopped"; "requests" => unfinished);
    }
    Ok(())
}

/// What the settings name, opened.
struct Opened {
    guard: Guard,
    tls: Option<ServerConfig>,
}

/// Opens the files that the settings name, and tries the listeners.
///
/// The link would try a taken inner address again and again, so it is tried here first.
fn open(node: &Node) -> Result<Opened, startup::Error> {
    let mut check = Check::default();
    check.listener(HTTP_FIELD, node.http);
    check.listener("[listen] inner", node.inner);
    let guard = check.take(Guard::open(&node.keys, Instant::now()));
    let tls = node.tls.as_ref().map(tls::config).transpose();
    let tls = check.take(tls.map_err(|error| startup::Error::Unusable(vec![Problem::Tls(error)])));
    let opened = guard.zip(tls).map(|(guard, tls)| Opened { guard, tls });
    check.finish(opened)
}

fn start_dispatcher(
    arbiter: &Arbiter,
    settings: &Settings,
    metrics: &Metrics,
    log: &Logger,
) -> actix::Addr<Dispatcher> {
    let mut seed = [0; 8];
    // Without entropy all entries make the same choices, which only balances the load worse.
    let _ = getrandom::fill(&mut seed);
    let limit = Limit {
        adapter_loads: settings.serve.adapter_loads,
        admission: settings.serve.admission,
        policy: settings.serve.policy.parse().unwrap_or_default(),
        ..Limit::default()
    };
    let seed = u64::from_le_bytes(seed);
    let zone = settings.node.zone.clone();
    let dispatcher = Dispatcher::new(zone, limit, seed, metrics.clone(), log.clone());
    Dispatcher::start_in_arbiter(&arbiter.handle(), move |_: &mut Context<Dispatcher>| {
        dispatcher
    })
}

/// Passes the demand for models and the evidence against prompts from the router to the link, until the dispatcher stops.
async fn report_demand(dispatcher: actix::Addr<Dispatcher>, link: Link) {
    while let Ok(demand) = dispatcher.send(TakeDemand).await {
        if !demand.is_empty() {
            link.demand(demand);
        }
        if let Some(leader) = link.leader()
            && let Ok(evidence) = dispatcher.send(TakeEvidence { leader }).await
        {
            link.evidence(evidence);
        }
        actix_rt::time::sleep(DEMAND_INTERVAL).await;
    }
}

/// Waits for `stop`, then shuts down in steps: reports not ready, leaves the system, accepts
/// connections for `serve.linger`, then stops accepting and waits for requests in progress.
async fn shut_down(
    stop: impl Future<Output = ()>,
    state: Arc<WorkerState>,
    serve: Serve,
    link: Link,
    server: ServerHandle,
    log: Logger,
) {
    stop.await;
    state.set_stopping();
    let deadline = Instant::now() + serve.linger;
    info!(
        log,
        "stopping: reports not ready, still accepts connections"
    );
    link.leave().await;
    tokio::time::sleep_until(deadline.into()).await;
    info!(
        log,
        "stopping: accepts no new connections, waits for requests in progress"
    );
    server.stop(true).await;
}

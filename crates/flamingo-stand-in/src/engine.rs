//! A fake model engine: the usual HTTP interface of model serving, and the
//! model repository extension of the `KServe` protocol for orders.

use crate::announcer;
use actix_web::dev::Server;
use actix_web::web::{Bytes, Data, Json};
use actix_web::{App, HttpResponse, HttpServer, web};
use flamingo_wire::announce::{Announcement, Engine, Kind, Load, Resident, Standing};
use flamingo_wire::id;
use futures_util::stream;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Settings of one fake engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: id::Target,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it listens; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Entries to announce itself to, in order of preference.
    pub entries: Vec<SocketAddr>,
    /// Accelerator memory, in mebibytes.
    pub memory: id::Mebibytes,
    /// Models that are resident from the start.
    pub resident: Vec<Resident>,
    /// Time between two tokens.
    pub pace: Duration,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    running: AtomicU32,
    sequence: AtomicU64,
}

#[derive(Debug, Deserialize)]
struct Ask {
    model: id::Model,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
}

fn default_tokens() -> u32 {
    8
}

/// Starts the engine and returns its server and the address that it took.
///
/// # Errors
///
/// Returns an error where the address can't be taken.
pub fn start(settings: Settings) -> std::io::Result<(Server, SocketAddr)> {
    let listen = settings.listen;
    let state = Data::new(State {
        settings,
        running: AtomicU32::new(0),
        sequence: AtomicU64::new(0),
    });
    let shared = state.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/completions", web::post().to(complete))
    })
    .workers(1)
    .disable_signals()
    .bind(listen)?;
    let address = server.addrs()[0];
    let entries = state.settings.entries.clone();
    actix_rt::spawn(announcer::run(entries, move || announce(&state, address)));
    Ok((server.run(), address))
}

fn announce(state: &State, address: SocketAddr) -> Announcement {
    let settings = &state.settings;
    Announcement {
        target: settings.name.clone(),
        incarnation: u64::from(std::process::id()),
        sequence: state.sequence.fetch_add(1, Ordering::Relaxed),
        zone: settings.zone.clone(),
        address,
        standing: Standing::Serving,
        load: Load {
            running: state.running.load(Ordering::Relaxed),
            ..Load::default()
        },
        kind: Kind::Engine(Engine {
            memory: settings.memory,
            fenced: true,
            resident: settings.resident.clone(),
            loading: Vec::new(),
            ended: Vec::new(),
        }),
    }
}

async fn complete(state: Data<State>, ask: Json<Ask>) -> HttpResponse {
    let known = state
        .settings
        .resident
        .iter()
        .any(|resident| resident.model == ask.model);
    if !known {
        return HttpResponse::NotFound().json(json!({"error": {"message": "model not loaded"}}));
    }
    state.running.fetch_add(1, Ordering::Relaxed);
    if ask.stream {
        return streamed(state, &ask);
    }
    actix_rt::time::sleep(state.settings.pace * ask.max_tokens).await;
    state.running.fetch_sub(1, Ordering::Relaxed);
    let text: String = (0..ask.max_tokens).map(word).collect();
    HttpResponse::Ok().json(json!({
        "object": "chat.completion",
        "model": ask.model,
        "choices": [{"index": 0, "finish_reason": "length",
            "message": {"role": "assistant", "content": text}}],
    }))
}

fn streamed(state: Data<State>, ask: &Ask) -> HttpResponse {
    let total = ask.max_tokens;
    let model = ask.model.clone();
    let steps = stream::unfold(0, move |step| {
        let state = state.clone();
        let model = model.clone();
        async move {
            if step > total {
                return None;
            }
            if step == total {
                state.running.fetch_sub(1, Ordering::Relaxed);
                return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), step + 1));
            }
            actix_rt::time::sleep(state.settings.pace).await;
            let event = json!({
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [{"index": 0, "delta": {"content": word(step)}}],
            });
            let line = Bytes::from(format!("data: {event}\n\n"));
            Some((Ok::<_, actix_web::Error>(line), step + 1))
        }
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(steps)
}

fn word(step: u32) -> String {
    format!("t{step} ")
}

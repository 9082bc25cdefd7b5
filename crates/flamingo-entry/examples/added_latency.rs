//! Latency that an entry adds: the same open-loop load straight to a target, and
//! through an entry, in one run.
//!
//! `cargo run --release -p flamingo-entry --example added_latency [RATE] [SECONDS]`

use actix_web::{App, HttpResponse, HttpServer, web};
use awc::Client;
use flamingo_entry::daemon;
use flamingo_settings::entry::Settings;
use flamingo_settings::keys::Keys;
use flamingo_settings::node::Node;
use flamingo_settings::serve::Serve;
use flamingo_wire::announce::{Announcement, Engine, Kind, Load, Resident, Standing};
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const ENGINE: &str = "127.0.77.1:8000";
const ENTRY: &str = "127.0.77.2:7400";
const INNER: &str = "127.0.77.2:7401";

#[actix_web::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let rate: u32 = args.next().map_or(Ok(1_000), |text| text.parse())?;
    let seconds: u32 = args.next().map_or(Ok(5), |text| text.parse())?;
    let (engine, entry) = (ENGINE.parse()?, ENTRY.parse()?);
    std::thread::spawn(|| actix_web::rt::System::new().block_on(target()));
    std::thread::spawn(|| {
        let run = async {
            let settings = settings().expect("the addresses are right");
            let log = flamingo_daemon::log::to("entry-1", slog::Level::Info, std::io::sink());
            daemon::run(settings, log, std::future::pending()).await
        };
        actix_web::rt::System::new().block_on(async { run.await.expect("the entry runs") });
    });
    while announce(engine, entry).await.is_err() {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    println!(
        "{:<8} {:>8} {:>8} {:>8} {:>8}",
        "µs", "p50", "p99", "p99.9", "failed"
    );
    for (name, address) in [
        ("warm", entry),
        ("direct", engine),
        ("entry", entry),
        ("direct", engine),
        ("entry", entry),
    ] {
        let (mut times, failed) = load(address, rate, seconds).await;
        times.sort_unstable();
        let at = |thousandths: usize| {
            let rank = times.len() * thousandths / 1_000;
            times
                .get(rank.min(times.len() - 1))
                .map_or(0, Duration::as_micros)
        };
        println!(
            "{name:<8} {:>8} {:>8} {:>8} {failed:>8}",
            at(500),
            at(990),
            at(999)
        );
    }
    Ok(())
}

/// Sends requests at their intended times; returns times from these to the whole answer.
async fn load(address: SocketAddr, rate: u32, seconds: u32) -> (Vec<Duration>, u32) {
    let client = Client::builder().disable_timeout().finish();
    let times = Rc::new(RefCell::new(Vec::new()));
    let failed = Rc::new(RefCell::new(0));
    let begun = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..rate * seconds {
        let intended = begun + Duration::from_secs(1) * number / rate;
        actix_rt::time::sleep_until(intended.into()).await;
        let (client, times, failed) = (client.clone(), times.clone(), failed.clone());
        tasks.push(actix_rt::spawn(async move {
            let url = format!("http://{address}/v1/completions");
            let sent = client
                .post(url)
                .send_body(r#"{"model": "notes", "prompt": "hello"}"#);
            let whole = match sent.await {
                Ok(mut answer) => answer.status().is_success() && answer.body().await.is_ok(),
                Err(_) => false,
            };
            if whole {
                times.borrow_mut().push(intended.elapsed());
            } else {
                *failed.borrow_mut() += 1;
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    (times.take(), failed.take())
}

async fn target() -> std::io::Result<()> {
    let answer = || async { HttpResponse::Ok().json(serde_json::json!({"choices": []})) };
    HttpServer::new(move || App::new().route("/v1/completions", web::post().to(answer)))
        .workers(2)
        .disable_signals()
        .bind(ENGINE)?
        .run()
        .await
}

fn settings() -> Result<Settings, Box<dyn Error>> {
    Ok(Settings {
        node: Node {
            name: "entry-1".into(),
            zone: "zone-a".into(),
            region: "local".into(),
            http: ENTRY.parse()?,
            inner: INNER.parse()?,
            key: "example-inner-key".into(),
            controls: Vec::new(),
            level: "info".into(),
            keys: Keys::default(),
            tls: None,
            grace: Duration::from_secs(1),
        },
        seeds: Vec::new(),
        serve: Serve::default(),
    })
}

async fn announce(engine: SocketAddr, entry: SocketAddr) -> Result<(), Box<dyn Error>> {
    let resident = Resident {
        model: "notes".into(),
        version: 1,
        adapters: Vec::new(),
    };
    let known = Announcement {
        target: "engine-1".into(),
        incarnation: 1,
        sequence: 1,
        zone: "zone-a".into(),
        address: engine,
        standing: Standing::Serving,
        load: Load::default(),
        kind: Kind::Engine(Engine {
            memory: 80_000,
            fenced: true,
            resident: vec![resident],
            loading: Vec::new(),
            ended: Vec::new(),
        }),
    };
    let url = format!("http://{entry}/targets/announce");
    let answer = Client::default().post(url).send_json(&known).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if answer.status().is_success() {
        Ok(())
    } else {
        Err("refused".into())
    }
}

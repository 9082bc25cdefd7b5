//! Measures the latency that an entry adds to a call, compared with the same load sent directly
//! to a target.
//!
//! `cargo build --release --workspace && cargo run --release -p flamingolink --example path_cost`
//! sends calls at a fixed rate, alternating every second between the target and the entry. It
//! prints latencies from the intended start of each call, so that delayed sending counts too.

use awc::Client;
use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::wait;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Rates to measure, in calls per second.
const RATES: [u32; 3] = [200, 500, 1_000];
/// Seconds that each path is measured at each rate.
const ROUNDS: usize = 8;
/// Calls sent before the measurement, to open connections and warm caches.
const WARM_UP_CALLS: u32 = 200;
const SET: &str = "[service rota]\nidempotent = /availability\nconcurrency = 4096\n";

/// Latencies in microseconds.
type Latencies = Rc<RefCell<Histogram<u64>>>;

/// Sends calls for one second and records the latency of each from its intended start.
async fn run_second(client: &Client, url: &str, rate: u32, latencies: &Latencies) {
    let start = Instant::now();
    let mut calls = Vec::new();
    for number in 0..rate {
        let intended = start + Duration::from_secs(1) * number / rate;
        actix_rt::time::sleep_until(intended.into()).await;
        let response = client.get(url).send();
        let latencies = latencies.clone();
        calls.push(actix_rt::spawn(async move {
            let mut answer = response.await.expect("an answer");
            answer.body().await.expect("a complete answer");
            assert!(answer.status().is_success(), "{}", answer.status());
            let micros = u64::try_from(intended.elapsed().as_micros()).unwrap_or(u64::MAX);
            latencies
                .borrow_mut()
                .record(micros)
                .expect("the histogram grows");
        }));
    }
    for call in calls {
        call.await.expect("a call ends");
    }
}

fn print_row(name: &str, rate: u32, latencies: &Latencies) {
    let latencies = latencies.borrow();
    let value_at = |quantile| latencies.value_at_quantile(quantile);
    let (p50, p99, p999) = (value_at(0.5), value_at(0.99), value_at(0.999));
    println!(
        "{rate:>6} {name:<8} {p50:>8} {p99:>8} {p999:>8} {:>8}",
        latencies.len()
    );
}

async fn measure(rate: u32, direct: &str, through: &str) {
    let client = Client::default();
    let histogram = || Rc::new(RefCell::new(Histogram::new(3).expect("three digits")));
    let (straight, entry): (Latencies, Latencies) = (histogram(), histogram());
    for _ in 0..ROUNDS {
        run_second(&client, direct, rate, &straight).await;
        run_second(&client, through, rate, &entry).await;
    }
    print_row("straight", rate, &straight);
    print_row("entry", rate, &entry);
}

async fn serves(url: &str) -> Option<()> {
    let answer = Client::default().get(url).send().await.ok()?;
    answer.status().is_success().then_some(())
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

#[actix_rt::main]
async fn main() {
    let mut cluster = Cluster::start(1, 1);
    cluster.target("service", "rota-1", &["--service", "rota"]);
    cluster.apply(SET).await;
    let direct = url(cluster.targets[0].target(), "/availability");
    let through = url(cluster.entries[0].http(), "/services/rota/availability");
    wait::until("the entry to serve", || serves(&through)).await;
    let client = Client::default();
    let unused = Rc::new(RefCell::new(Histogram::new(3).expect("three digits")));
    run_second(&client, &through, WARM_UP_CALLS, &unused).await;
    println!("  rate to            p50      p99    p99.9    calls  (microseconds)");
    for rate in RATES {
        measure(rate, &direct, &through).await;
    }
}

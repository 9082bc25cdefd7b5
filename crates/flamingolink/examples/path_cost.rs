//! What an entry adds to a call, against the same load sent straight to a target.
//!
//! `cargo build --release --workspace && cargo run --release -p flamingolink --example path_cost`
//! sends calls at a fixed rate, a second to the target and a second through the
//! entry in turn, and prints latencies from the intended start of each call.

use awc::Client;
use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::wait;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Calls a second.
const RATES: [u32; 3] = [200, 500, 1_000];
/// Seconds of each kind at each rate.
const ROUNDS: usize = 8;
/// Calls before the first one that counts.
const WARM: u32 = 200;
const SET: &str = "[service rota]\nidempotent = /availability\nconcurrency = 4096\n";

type Times = Rc<RefCell<Histogram<u64>>>;

/// Sends calls for one second and notes microseconds from their intended start.
async fn second(client: &Client, url: &str, rate: u32, times: &Times) {
    let start = Instant::now();
    let mut calls = Vec::new();
    for number in 0..rate {
        let intended = start + Duration::from_secs(1) * number / rate;
        actix_rt::time::sleep_until(intended.into()).await;
        let sent = client.get(url).send();
        let times = times.clone();
        calls.push(actix_rt::spawn(async move {
            let mut answer = sent.await.expect("an answer");
            answer.body().await.expect("a whole answer");
            assert!(answer.status().is_success(), "{}", answer.status());
            let micros = u64::try_from(intended.elapsed().as_micros()).unwrap_or(u64::MAX);
            times
                .borrow_mut()
                .record(micros)
                .expect("the histogram grows");
        }));
    }
    for call in calls {
        call.await.expect("a call ends");
    }
}

fn row(name: &str, rate: u32, times: &Times) {
    let times = times.borrow();
    let at = |quantile| times.value_at_quantile(quantile);
    let (p50, p99, p999) = (at(0.5), at(0.99), at(0.999));
    println!(
        "{rate:>6} {name:<8} {p50:>8} {p99:>8} {p999:>8} {:>8}",
        times.len()
    );
}

async fn measure(rate: u32, direct: &str, through: &str) {
    let client = Client::default();
    let fresh = || Rc::new(RefCell::new(Histogram::new(3).expect("three digits")));
    let (straight, entry): (Times, Times) = (fresh(), fresh());
    for _ in 0..ROUNDS {
        second(&client, direct, rate, &straight).await;
        second(&client, through, rate, &entry).await;
    }
    row("straight", rate, &straight);
    row("entry", rate, &entry);
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
    second(&client, &through, WARM, &unused).await;
    println!("  rate to            p50      p99    p99.9    calls  (microseconds)");
    for rate in RATES {
        measure(rate, &direct, &through).await;
    }
}

//! Slopes behind docs/CAPACITY.md: encoded sizes, and processor time, memory
//! and bytes of real processes at several sizes.
//!
//! `cargo run --release -p flamingo-load --example slopes -- encode|targets|followers`

use flamingo_test_support::cluster::{Cluster, Instance};
use flamingo_test_support::wait;
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load, Resident};
use flamingo_wire::config::{Adapter, LatePolicy, Model, Profile, Set, Snapshot};
use flamingo_wire::control::Push;
use flamingo_wire::frame::Seal;
use flamingo_wire::gossip::{Liveness, LoadUpdate, Message, Observation, Peer, Role, Update};
use std::error::Error;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime};

/// Length of one measurement of a process.
const SPAN: Duration = Duration::from_secs(8);
/// Time for a system to settle before it is measured.
const SETTLE: Duration = Duration::from_secs(3);
/// Time between two announcements of a target.
const ANNOUNCE: Duration = Duration::from_millis(500);

#[actix_rt::main]
async fn main() -> Result<(), Box<dyn Error>> {
    match std::env::args().nth(1).as_deref() {
        Some("encode") => encode()?,
        Some("targets") => targets().await,
        Some("followers") => followers().await,
        _ => return Err("usage: slopes encode|targets|followers".into()),
    }
    Ok(())
}

fn address(n: usize) -> SocketAddr {
    let [.., high, low] = n.to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8000))
}

fn announcement(n: usize, copies: usize, adapters: usize) -> Announcement {
    let resident = |copy: usize| Resident {
        model: format!("region-model-{copy:03}"),
        version: 1,
        adapters: (0..adapters)
            .map(|n| format!("adapter-section-{n:02}"))
            .collect(),
    };
    Announcement {
        target: format!("engine-{n:04}"),
        incarnation: 1_796_000_000_000,
        sequence: 7_200,
        zone: "zilina-a".to_owned(),
        address: address(n),
        availability: Availability::Serving,
        load: Load {
            running: 12,
            waiting: 1,
            cache: 400,
            rate: 385,
        },
        kind: Kind::Engine(Engine {
            memory: 80_000,
            fenced: true,
            resident: (0..copies).map(resident).collect(),
            loading: Vec::new(),
            ended: Vec::new(),
        }),
    }
}

fn peer(n: usize) -> Update {
    Update {
        peer: Peer {
            node: format!("entry-{n:03}"),
            role: Role::Entry,
            zone: "zilina-a".to_owned(),
            address: address(n),
            incarnation: 1_796_000_000_000,
            version: 1_400,
        },
        liveness: Liveness::Alive,
    }
}

fn item(n: usize) -> Observation {
    Observation {
        announcement: announcement(n, 2, 0),
        age: 120,
    }
}

fn line(n: u32) -> LoadUpdate {
    LoadUpdate {
        state_checksum: 0x8000_0000 + n,
        sequence: 7_200,
        age: 2,
        load: announcement(0, 0, 0).load,
    }
}

fn snapshot(models: usize, adapters: usize) -> Snapshot {
    let model = |n: usize| Model {
        anonymous: false,
        name: format!("region-model-{n:03}"),
        version: 1,
        weights: 16_000,
        cache: 6_000,
        copies: 1,
        importance: 1,
        adapters: (0..adapters)
            .map(|adapter| Adapter {
                name: format!("region-model-{n:03}-section-{adapter:02}"),
                memory: 120,
            })
            .collect(),
    };
    let profile = Profile {
        name: "urgent-counter-answer".to_owned(),
        rank: 0,
        first_token: Duration::from_millis(1_700),
        between_tokens: Duration::from_millis(54),
        max_wait: Duration::from_secs(5),
        late_policy: LatePolicy::Refuse,
    };
    Snapshot {
        version: 1_400,
        set: Set {
            profiles: vec![profile; 6],
            models: (0..models).map(model).collect(),
            services: Vec::new(),
            ..Set::default()
        },
        drained: Vec::new(),
    }
}

fn encode() -> Result<(), Box<dyn Error>> {
    let now = SystemTime::now();
    let seal = Seal::new("entry-001", b"inner-key");
    println!("announcement: copies, adapters, JSON bytes, frame bytes");
    for (copies, adapters) in [(0, 0), (1, 0), (2, 0), (4, 0), (2, 8), (2, 16)] {
        let one = announcement(1, copies, adapters);
        let json = serde_json::to_vec(&one)?.len();
        let frame = seal.seal("entry-002", &one, now)?.body.len();
        println!("{copies}, {adapters}, {json}, {frame}");
    }
    println!("gossip: rumours, whole announcements, load lines, body bytes, us to seal and open");
    for (rumours, targets, lines) in [
        (1, 0, 0),
        (8, 0, 0),
        (27, 0, 0),
        (1, 10, 0),
        (1, 87, 0),
        (1, 350, 0),
        (1, 0, 10),
        (1, 0, 87),
        (1, 0, 350),
    ] {
        let message = Message {
            updates: (0..rumours).map(peer).collect(),
            targets: (0..targets).map(item).collect(),
            loads: (0..lines).map(line).collect(),
            ..Message::default()
        };
        let bytes = seal.seal("", &message, now)?.body.len();
        let time = round(&seal, &message, now)?;
        println!("{rumours}, {targets}, {lines}, {bytes}, {time:.1}");
    }
    println!("configuration: models, adapters of each, body bytes, us to seal and open");
    for (models, adapters) in [(13, 4), (17, 3), (100, 4), (200, 4), (370, 4), (370, 16)] {
        let push = Push::Config(snapshot(models, adapters));
        let bytes = seal.seal("", &push, now)?.body.len();
        println!(
            "{models}, {adapters}, {bytes}, {:.1}",
            round(&seal, &push, now)?
        );
    }
    Ok(())
}

/// Returns the microseconds that sealing and opening `body` takes.
fn round<T>(seal: &Seal, body: &T, now: SystemTime) -> Result<f64, Box<dyn Error>>
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    const ROUNDS: u32 = 50;
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        let frame = seal.seal("", body, now)?;
        let _: T = seal.open(&frame, now)?;
    }
    Ok(begin.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS))
}

/// What one process has used.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu: Duration,
    memory_kb: u64,
    sent: u64,
    received: u64,
}

impl Usage {
    fn of(instance: &Instance) -> Self {
        let pid = instance.process.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|text| text.split_whitespace().next()?.parse().ok());
        let (sent, received) = bytes(instance);
        Self {
            cpu: cpu(pid),
            memory_kb: rss.unwrap_or(0),
            sent,
            received,
        }
    }
}

/// Sums the processor time of a process's threads.
fn cpu(pid: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"));
    let tasks = tasks.into_iter().flatten().flatten();
    let nanos = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Sums the TCP payload of a process's inner connections that are open now.
fn bytes(instance: &Instance) -> (u64, u64) {
    let pid = format!("pid={},", instance.process.id());
    let output = Command::new("ss").args(["-tinpO"]).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned());
    let text = text.unwrap_or_default();
    let own = text.lines().filter(|line| line.contains(&pid));
    let sum = |key: &str| -> u64 {
        let values = own.clone().filter_map(|line| {
            let rest = line.split(key).nth(1)?;
            rest.split_whitespace().next()?.parse::<u64>().ok()
        });
        values.sum()
    };
    (sum("bytes_sent:"), sum("bytes_received:"))
}

/// Prints what `instance` used a second over [`SPAN`].
async fn measure(label: &str, instances: &[&Instance]) {
    let before: Vec<_> = instances
        .iter()
        .map(|instance| Usage::of(instance))
        .collect();
    actix_rt::time::sleep(SPAN).await;
    for (instance, before) in instances.iter().zip(before) {
        let after = Usage::of(instance);
        let seconds = SPAN.as_secs_f64();
        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds * 100.0;
        let sent = after.sent.saturating_sub(before.sent) / SPAN.as_secs();
        let received = after.received.saturating_sub(before.received) / SPAN.as_secs();
        println!(
            "{label}, {}, cpu {cpu:.3} % of a core, {} kB, sent {sent} B/s, received {received} B/s",
            instance.name, after.memory_kb
        );
    }
}

/// An entry at several numbers of announcing targets, each every 500 ms.
async fn targets() {
    println!("targets, process, processor time, resident memory");
    for count in [0, 22, 87, 350, 1_300] {
        let cluster = Cluster::start(1, 1);
        let entry = cluster.entries[0].http();
        wait::until("the entry", || async {
            let url = format!("http://{entry}/healthz");
            awc::Client::default().get(url).send().await.ok()
        })
        .await;
        let announcer = actix_rt::spawn(announce(entry, count));
        actix_rt::time::sleep(SETTLE).await;
        measure(
            &count.to_string(),
            &[&cluster.entries[0], &cluster.controls[0]],
        )
        .await;
        announcer.abort();
    }
}

/// Announces `count` targets evenly over the interval, over one connection.
async fn announce(entry: SocketAddr, count: usize) {
    let client = awc::Client::default();
    let mut sequence = 0;
    if count == 0 {
        return;
    }
    loop {
        sequence += 1;
        let begin = Instant::now();
        for n in 0..count {
            let mut one = announcement(n, 2, 0);
            one.sequence = sequence;
            one.load.running = u32::try_from(sequence % 16).unwrap_or(0);
            let url = format!("http://{entry}/targets/announce");
            if let Err(error) = client.post(url).send_json(&one).await {
                eprintln!("not announced: {error}");
            }
            let due = ANNOUNCE.mul_f64(f64::from(u32::try_from(n).unwrap_or(0)))
                / u32::try_from(count).unwrap_or(1);
            actix_rt::time::sleep_until((begin + due).into()).await;
        }
        actix_rt::time::sleep_until((begin + ANNOUNCE).into()).await;
    }
}

/// Control instances and entries, idle, at several numbers of entries of one zone.
async fn followers() {
    println!("entries, process, processor time, resident memory, bytes");
    for count in [2, 4, 8, 16, 27] {
        let cluster = Cluster::start(3, count);
        actix_rt::time::sleep(SETTLE * 2).await;
        let mut instances: Vec<_> = cluster.controls.iter().collect();
        instances.push(&cluster.entries[0]);
        instances.push(&cluster.entries[count - 1]);
        measure(&count.to_string(), &instances).await;
    }
}

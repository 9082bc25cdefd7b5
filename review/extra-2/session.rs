//! A prompt part that crashes replicas, which first comes in one session only.

#[path = "../lib-2/deployment.rs"]
mod deployment;

use deployment::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CONTACT_MS: u64 = 3_000;
/// The part that crashes replicas, and one of sound requests.
const DEADLY: &str = "dead0001";
const SOUND: &str = "50000001";
const DOWN_MS: u64 = 2_500;
const LOAD_MS: u64 = 800;

#[derive(Clone)]
struct Life {
    id: String,
    born: u64,
    number: u64,
    has_model: bool,
    busy: bool,
    orders: u64,
}

/// A stand-in of an engine that crashes when it begins to write an answer on the deadly part.
struct Engine {
    index: usize,
    address: SocketAddr,
    life: Mutex<Life>,
    up: AtomicBool,
    sequence: AtomicU64,
    channels: Mutex<Vec<TcpStream>>,
    /// Times at which a request with the deadly part arrived, and of crashes.
    deadly: Mutex<Vec<u64>>,
    crashes: Mutex<Vec<u64>>,
}

impl Engine {
    fn models(&self) -> &'static str {
        if self.life.lock().unwrap().has_model {
            r#"[{"name":"m0","version":1,"adapters":[]}]"#
        } else {
            "[]"
        }
    }

    fn beat(&self, control: SocketAddr) -> u16 {
        let life = self.life.lock().unwrap().clone();
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"service":"rota-llm","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"stage":"prefill_decode","models":{},"atHand":{{"inMemory":[],"onDisk":["m0"]}},"born":{},"sequence":{sequence}}}"#,
            self.address,
            ZONES[self.index % 3],
            self.models(),
            life.born
        );
        call(
            control,
            "POST",
            &format!("/instances/{}/heartbeat", life.id),
            &[],
            body.as_bytes(),
            1000,
        )
        .status
    }

    /// Ends the process of the engine; it is back after some seconds, empty and under another id.
    fn crash(self: &Arc<Self>) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.crashes.lock().unwrap().push(now_ms());
        record(&format!("engine {} crashes", self.index));
        // The listener ends with the next channel.
        let _ = TcpStream::connect(self.address);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let engine = Arc::clone(self);
        thread::spawn(move || {
            sleep_ms(DOWN_MS);
            {
                let mut life = engine.life.lock().unwrap();
                life.number += 1;
                *life = Life {
                    id: format!("i-{}-{}", engine.index, life.number),
                    born: unix_ms(),
                    number: life.number,
                    has_model: false,
                    busy: false,
                    orders: 0,
                };
            }
            engine.sequence.store(0, Ordering::SeqCst);
            engine.up.store(true, Ordering::SeqCst);
            engine.listen();
        });
    }

    fn listen(self: &Arc<Self>) {
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) if tries < 50 => {
                    tries += 1;
                    sleep_ms(20);
                }
                Err(_) => give_up("an engine can't listen again"),
            }
        };
        let engine = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !engine.up.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    engine.channels.lock().unwrap().push(copy);
                }
                let engine = Arc::clone(&engine);
                thread::spawn(move || {
                    let _ = engine.serve(stream);
                });
            }
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first)? == 0 {
                return Ok(());
            }
            let path = first
                .split_whitespace()
                .nth(1)
                .unwrap_or_default()
                .to_owned();
            let mut headers: Vec<(String, String)> = Vec::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line)?;
                if line.trim().is_empty() {
                    break;
                }
                if let Some((name, value)) = line.split_once(':') {
                    headers.push((name.to_owned(), value.trim().to_owned()));
                }
            }
            let length = header(&headers, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let life = self.life.lock().unwrap().clone();
            let attempt = header(&headers, "attempt-id")
                .unwrap_or_default()
                .to_owned();
            let echo = if attempt.is_empty() {
                String::new()
            } else {
                format!("Attempt-Id: {attempt}\r\n")
            };
            let mut answer = |status: u16, more: &str, body: &str| {
                writer.write_all(format!("HTTP/1.1 {status} X\r\n{echo}Server-Load: 1,0,64\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
            };
            if header(&headers, "expected-instance").is_some_and(|id| id != life.id) {
                answer(421, "Not-Executed: 1\r\n", "")?;
                continue;
            }
            if path == "/report" {
                answer(
                    200,
                    "Content-Type: application/json\r\n",
                    &format!(
                        r#"{{"stage":"prefill_decode","models":{},"born":{},"busy":{},"sequence":{},"waiting":0,"running":0,"kvCacheUsed":0,"kvCacheTotal":144538,"handles":0}}"#,
                        self.models(),
                        life.born,
                        life.busy,
                        life.orders
                    ),
                )?;
                continue;
            }
            if path == "/order" {
                let text = String::from_utf8_lossy(&body).into_owned();
                let expected = text.split("\"expected\":").nth(1).and_then(|rest| {
                    rest.split(|c: char| !c.is_ascii_digit())
                        .next()?
                        .parse::<u64>()
                        .ok()
                });
                let load = text.contains("\"loading\"");
                if expected.is_some_and(|expected| expected != life.orders) || life.busy {
                    answer(409, "", "{}")?;
                    continue;
                }
                if life.has_model == load {
                    answer(200, "", "{}")?;
                    continue;
                }
                record(&format!(
                    "engine {} takes an order: {}",
                    self.index,
                    if load { "load" } else { "unload" }
                ));
                {
                    let mut life = self.life.lock().unwrap();
                    life.orders += 1;
                    life.busy = true;
                }
                let engine = Arc::clone(self);
                thread::spawn(move || {
                    sleep_ms(if load { LOAD_MS } else { 50 });
                    let mut now = engine.life.lock().unwrap();
                    if now.number == life.number {
                        now.busy = false;
                        now.has_model = load;
                    }
                });
                answer(202, "", "{}")?;
                continue;
            }
            if !life.has_model {
                answer(421, "Not-Executed: 1\r\n", "")?;
                continue;
            }
            let prefix = header(&headers, "prompt-prefix")
                .unwrap_or_default()
                .to_owned();
            record(&format!("engine {} gets {attempt} ({prefix})", self.index));
            let is_deadly = prefix.contains(DEADLY);
            if is_deadly {
                self.deadly.lock().unwrap().push(now_ms());
            }
            sleep_ms(60);
            if is_deadly && trouble() {
                self.crash();
                return Ok(());
            }
            writer.write_all(format!("HTTP/1.1 200 OK\r\n{echo}Response-Seal: s.{attempt}\r\nServer-Load: 1,0,64\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes())?;
            let is_long = path.ends_with("/long");
            for event in 1..=if is_long { 20 } else { 4 } {
                let text = format!("id: {event}\ndata: token {event}\n\n");
                writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                sleep_ms(if is_long { 100 } else { 30 });
            }
            writer.write_all(b"0\r\n\r\n")?;
        }
    }
}

fn main() {
    open_record(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let deployment = Deployment::new(3, 3, 260);
    deployment.start_all();
    let controls = control_addresses(&deployment);
    deployment.configure(
        r#"{"version":1,"routes":[{"name":"r-redraft","host":"review.example","pathPrefix":"/redraft/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":6000,"priority":2,"service":"rota-llm","attempts":1,"sessionAffinity":true,"resumable":false,"gapTargetMs":400}],"services":[{"name":"rota-llm","healthCheckPath":"/health","connectionLimit":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCacheTokens":144538,"kvTokenBytes":163840,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":3,"maxCount":12,"hostMb":150000.0,"diskMb":450000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m0","weightsMb":72700.0,"loadS":5.8,"adapters":0,"adapterMb":66.0,"warmS":0.63,"diskS":0.8}],"weightsMb":230000.0,"adapterSlots":8,"loadsPerS":1.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#,
    );
    let engines: Vec<Arc<Engine>> = (0..9)
        .map(|index| {
            Arc::new(Engine {
                index,
                address: deployment.replica_address(index),
                life: Mutex::new(Life {
                    id: format!("i-{index}-0"),
                    born: unix_ms(),
                    number: 0,
                    has_model: true,
                    busy: false,
                    orders: 0,
                }),
                up: AtomicBool::new(true),
                sequence: AtomicU64::new(0),
                channels: Mutex::default(),
                deadly: Mutex::default(),
                crashes: Mutex::default(),
            })
        })
        .collect();
    for engine in &engines {
        engine.listen();
        let (engine, controls) = (Arc::clone(engine), controls.clone());
        thread::spawn(move || {
            let mut next = engine.index;
            loop {
                next += 1;
                if engine.up.load(Ordering::SeqCst) {
                    engine.beat(controls[next % controls.len()]);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
    deployment.wait_ready();
    sleep_ms(4_000);
    let ask = |attempt: &str, prefix: &str, index: usize| {
        let entry = &deployment.entries[index % deployment.entries.len()];
        let headers = [
            ("Attempt-Id", attempt),
            ("Deadline-Remaining", "12000"),
            ("Model", "m0"),
            ("Token-Counts", "900,20"),
            ("Prompt-Prefix", prefix),
        ];
        let answer = call(
            entry.at(FRONT),
            "POST",
            "/redraft/x",
            &headers,
            attempt.as_bytes(),
            12_000,
        );
        record(&format!(
            "{attempt} at {}: {} {}",
            entry.name, answer.status, answer.failure
        ));
        answer.status
    };
    // Sound requests flow all the time.
    for index in 0..10 {
        ask(
            &format!("sound-{index}"),
            &format!(
                "{SOUND}:341,{:x}:227,{:x}:300",
                0x1000 + index,
                0x2000 + index
            ),
            index,
        );
    }
    let crashes = |engines: &[Arc<Engine>]| {
        let mut all: Vec<u64> = engines
            .iter()
            .flat_map(|engine| engine.crashes.lock().unwrap().clone())
            .collect();
        all.sort_unstable();
        all
    };
    // Sound streams of two seconds, four a second, run all the time.
    let lost: Arc<Mutex<Vec<u64>>> = Arc::default();
    let fronts: Vec<SocketAddr> = deployment
        .entries
        .iter()
        .map(|entry| entry.at(FRONT))
        .collect();
    for index in 0..120 {
        let (lost, front) = (Arc::clone(&lost), fronts[index % fronts.len()]);
        thread::spawn(move || {
            sleep_ms(250 * index as u64);
            let attempt = format!("long-{index}");
            let prefix = format!(
                "{SOUND}:341,{:x}:227,{:x}:300",
                0x6000 + index,
                0x7000 + index
            );
            let headers = [
                ("Attempt-Id", attempt.as_str()),
                ("Deadline-Remaining", "12000"),
                ("Model", "m0"),
                ("Token-Counts", "900,60"),
                ("Prompt-Prefix", prefix.as_str()),
            ];
            let answer = call(
                front,
                "POST",
                "/redraft/long",
                &headers,
                attempt.as_bytes(),
                12_000,
            );
            record(&format!("{attempt}: {} {}", answer.status, answer.failure));
            let has_begun = !answer.headers.is_empty() && answer.status == 0;
            if has_begun || answer.status == 502 {
                lost.lock().unwrap().push(now_ms());
            }
        });
    }
    // One session, whose system prompt crashes replicas. Its client asks again and again, no two alike.
    let gap = 1_000;
    for index in 0..7 {
        ask(
            &format!("first-{index}"),
            &format!("{DEADLY}:341,a1:227,{:x}:300", 0x3000 + index),
            index,
        );
        sleep_ms(gap);
        ask(
            &format!("sound-a{index}"),
            &format!(
                "{SOUND}:341,{:x}:227,{:x}:300",
                0x1100 + index,
                0x2100 + index
            ),
            index + 1,
        );
    }
    // Then the sessions of others, with the same system prompt.
    sleep_ms(CONTACT_MS + 1_000);
    for index in 0..10 {
        ask(
            &format!("other-{index}"),
            &format!(
                "{DEADLY}:341,{:x}:227,{:x}:300",
                0xb1 + index,
                0x4000 + index
            ),
            index,
        );
        sleep_ms(gap);
        ask(
            &format!("sound-b{index}"),
            &format!(
                "{SOUND}:341,{:x}:227,{:x}:300",
                0x1200 + index,
                0x2200 + index
            ),
            index + 1,
        );
    }
    let crashed = crashes(&engines);
    let fifth = crashed.get(4).copied();
    let mut arrivals: Vec<u64> = engines
        .iter()
        .flat_map(|engine| engine.deadly.lock().unwrap().clone())
        .collect();
    arrivals.sort_unstable();
    let late = fifth.map_or(0, |fifth| {
        arrivals
            .iter()
            .filter(|at| **at > fifth + CONTACT_MS)
            .count()
    });
    for control in &deployment.controls {
        for line in log_lines(control, "quarantin") {
            record(&line);
        }
    }
    let lost_late = fifth.map_or(0, |fifth| {
        let lost = lost.lock().unwrap();
        lost.iter().filter(|at| **at > fifth + CONTACT_MS).count()
    });
    let why = format!(
        "{} crashes; {late} requests with the part reached replicas later than contactMs after the fifth crash; {lost_late} sound streams were lost after that",
        crashed.len()
    );
    finish(&deployment, late > 3, &why);
}

//! A small deployment for the scripts of this review: the project's own programs as separate
//! processes, each on a loopback address of its own, with stand-ins for replicas, clients and the
//! platform. Uses the standard library only.
//!
//! Each machine has an address 127.A.B.N; ports are the same on all machines, as on the platform.

#![allow(dead_code)]

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const FRONT: u16 = 8149;
pub const READY: u16 = 8141;
pub const CONTROL: u16 = 8144;
pub const INTERNAL: u16 = 7380;
const METRICS: [u16; 2] = [9464, 9465];
pub const ZONES: [&str; 3] = ["seq-a", "seq-b", "seq-c"];
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: usize, ...) -> i32;
}

/// Option of `prctl` that has a process ended with its parent.
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit statuses of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is wanted: `TROUBLE=0` runs the same without it.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn started() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}

/// Milliseconds since the script began.
pub fn now_ms() -> u64 {
    started().elapsed().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until_ms(at: u64) {
    sleep_ms(at.saturating_sub(now_ms()));
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// The file in which a script writes what was sent, answered and run.
static RECORD: Mutex<Option<File>> = Mutex::new(None);

pub fn open_record(path: &str) {
    started();
    *RECORD.lock().unwrap() = File::create(path).ok();
}

pub fn record(line: &str) {
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = writeln!(file, "{:>7} {line}", now_ms());
    }
}

/// Ends a script that could not run.
pub fn give_up(why: &str) -> ! {
    record(&format!("could not run: {why}"));
    eprintln!("could not run: {why}");
    end_all();
    std::process::exit(COULD_NOT_RUN);
}

/// Processes that were started and have not been waited for.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn signal_process(pid: u32, signal: i32) {
    // SAFETY: the process is a child of this one that has not been waited for.
    unsafe {
        kill(pid as i32, signal);
    }
}

/// Ends all processes that this script has started.
pub fn end_all() {
    for child in PROCESSES.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Reports the result of a script, ends its processes and removes its folder.
pub fn finish(deployment: &Deployment, broken: bool, why: &str) -> ! {
    let word = if broken { "BROKEN" } else { "held" };
    record(&format!("result: {word}: {why}"));
    println!("{word}: {why}");
    end_all();
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&deployment.folder);
    } else {
        println!("kept {}", deployment.folder.display());
    }
    std::process::exit(if broken { BROKEN } else { HELD });
}

/// One machine of the system.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub is_control: bool,
    folder: PathBuf,
    pid: Mutex<Option<u32>>,
}

impl Machine {
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, port))
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = *self.pid.lock().unwrap() {
            signal_process(pid, signal);
        }
    }

    /// Resident memory of the process in megabytes (10^6 bytes), as the platform counts it.
    pub fn memory_mb(&self) -> Option<f64> {
        let pid = (*self.pid.lock().unwrap())?;
        let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib * 1024.0 / 1e6)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let Some(pid) = self.pid.lock().unwrap().take() else {
            return;
        };
        let mut processes = PROCESSES.lock().unwrap();
        if let Some(index) = processes.iter().position(|child| child.id() == pid) {
            let mut child = processes.remove(index);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let Some(pid) = *self.pid.lock().unwrap() else {
            return false;
        };
        let mut processes = PROCESSES.lock().unwrap();
        let child = processes.iter_mut().find(|child| child.id() == pid);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.out", self.name))
    }
}

/// The machines of a deployment.
pub struct Deployment {
    pub folder: PathBuf,
    program: PathBuf,
    root: PathBuf,
    subnet: (u8, u8),
    pub controls: Vec<Machine>,
    pub entries: Vec<Machine>,
    memory_mb: u64,
}

impl Deployment {
    /// Prepares a deployment of `controls` core machines and `entries` frontend machines, spread over
    /// three zones. Nothing is started.
    pub fn new(controls: usize, entries: usize, memory_mb: u64) -> Self {
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".to_owned());
        let root = fs::canonicalize(root).unwrap_or_else(|_| give_up("no repository"));
        let program = root.join("target/release/flamingo-platform");
        if !program.exists() {
            give_up(
                "target/release/flamingo-platform is missing: run the build of the deploy file",
            );
        }
        let seed = unix_ms() ^ u64::from(std::process::id());
        let subnet = (0..200u64)
            .map(|step| {
                let mixed = (seed + step).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
                (64 + (mixed % 60) as u8, (mixed >> 8) as u8)
            })
            .find(|subnet| is_free(*subnet) && claim(*subnet))
            .unwrap_or_else(|| give_up("no free loopback addresses"));
        let folder = std::env::temp_dir().join(format!("review-{}-{seed:x}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|_| give_up("no temporary folder"));
        let machine = |is_control: bool, index: usize| {
            let (word, host) = if is_control {
                ("core", 10)
            } else {
                ("frontend", 60)
            };
            let zone = ZONES[index % 3];
            Machine {
                name: format!("{word}-{zone}-{}", index / 3 + 1),
                ip: Ipv4Addr::new(127, subnet.0, subnet.1, (host + index) as u8),
                zone,
                is_control,
                folder: folder.clone(),
                pid: Mutex::new(None),
            }
        };
        Self {
            controls: (0..controls).map(|index| machine(true, index)).collect(),
            entries: (0..entries).map(|index| machine(false, index)).collect(),
            folder,
            program,
            root,
            subnet,
            memory_mb,
        }
    }

    /// An address for a replica.
    pub fn replica_address(&self, index: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.subnet.0, self.subnet.1, (120 + index) as u8);
        SocketAddr::V4(SocketAddrV4::new(ip, 8080))
    }

    fn settings(&self, machine: &Machine, first_start: bool) -> String {
        let seeds: Vec<String> = self
            .controls
            .iter()
            .take(3)
            .map(|seed| format!("\"{}:{CONTROL}\"", seed.ip))
            .collect();
        let ip = machine.ip;
        let (role, class, serves, listen) = if machine.is_control {
            (
                "control",
                "core",
                "control_plane",
                format!("{{\"control\": \"{ip}:{CONTROL}\"}}"),
            )
        } else {
            let listen = format!("{{\"front\": \"{ip}:{FRONT}\", \"ready\": \"{ip}:{READY}\"}}");
            ("entry", "frontend", "frontend", listen)
        };
        let data = if machine.is_control {
            format!("\"{}\"", self.folder.join(&machine.name).display())
        } else {
            "null".to_owned()
        };
        format!(
            r#"{{"nodeName": "{name}", "role": "{role}", "machineClass": "{class}", "serves": ["{serves}"],
"ipAddress": "{ip}", "zone": "{zone}", "region": "seq",
"zones": {{"seq-a": "seq", "seq-b": "seq", "seq-c": "seq"}},
"listenAddresses": {listen}, "internalPorts": [{INTERNAL}, 7395], "seedNodes": [{seeds}],
"firstStart": {first_start}, "countedInTolerance": {counted},
"limits": {{"cpuShare": 0.25, "cpuCores": 1, "memoryMb": {memory}, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 128}},
"dataDirectory": {data}, "discovery": "registration", "entry": "virtual_ip", "heartbeatMs": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"],
"faultTolerance": {{"machines": 1, "zones": 1, "regions": 0}},
"bounds": {{"seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configPropagationMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "fencingEnforced": true, "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1}},
"configurationMode": "highest"}}"#,
            name = machine.name,
            zone = machine.zone,
            seeds = seeds.join(", "),
            counted = machine.is_control,
            memory = self.memory_mb,
        )
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&self, machine: &Machine, first_start: bool) {
        let file = self.folder.join(format!("{}.json", machine.name));
        if fs::write(&file, self.settings(machine, first_start)).is_err() {
            give_up("no settings file");
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(machine.log_path())
            .unwrap_or_else(|_| give_up("no log file"));
        let errors = log.try_clone().unwrap_or_else(|_| give_up("no log file"));
        let (role, port) = if machine.is_control {
            ("control", METRICS[1])
        } else {
            ("entry", METRICS[0])
        };
        let mut command = Command::new(&self.program);
        // SAFETY: the call is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        let child = command
            .args([role, "--metrics", &port.to_string()])
            .current_dir(&self.root)
            .env("FLAMINGO_KEY", "change-this-key-for-each-deployment")
            .env("FLAMINGOLINK_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| give_up(&format!("{}: {error}", machine.name)));
        *machine.pid.lock().unwrap() = Some(child.id());
        PROCESSES.lock().unwrap().push(child);
        record(&format!("{} started", machine.name));
    }

    /// Starts all machines for the first time.
    pub fn start_all(&self) {
        for machine in self.controls.iter().chain(&self.entries) {
            self.start(machine, true);
        }
    }

    /// Sends a configuration until a control instance acknowledges it.
    pub fn configure(&self, body: &str) {
        for attempt in 0..120 {
            let control = &self.controls[attempt % self.controls.len()];
            let answer = call(
                control.at(CONTROL),
                "POST",
                "/configuration/replace",
                &[],
                body.as_bytes(),
                1500,
            );
            if answer.status == 200 {
                record(&format!("config acknowledged by {}", control.name));
                return;
            }
            if answer.status == 400 {
                give_up(&format!("config refused: {}", answer.text()));
            }
            sleep_ms(200);
        }
        give_up("no config was acknowledged");
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self) {
        let deadline = now_ms() + 20_000;
        for entry in &self.entries {
            while call(entry.at(READY), "GET", "/readiness", &[], b"", 1000).status != 200 {
                if now_ms() > deadline {
                    give_up(&format!("{} does not get ready", entry.name));
                }
                sleep_ms(100);
            }
        }
        record("all entries are ready");
    }
}

/// Keeps a subnet from other scripts that run at the same time.
fn claim(subnet: (u8, u8)) -> bool {
    static CLAIM: Mutex<Option<TcpListener>> = Mutex::new(None);
    let address = SocketAddrV4::new(Ipv4Addr::new(127, subnet.0, subnet.1, 1), 7999);
    let claimed = TcpListener::bind(address);
    let is_claimed = claimed.is_ok();
    *CLAIM.lock().unwrap() = claimed.ok();
    is_claimed
}

fn is_free(subnet: (u8, u8)) -> bool {
    let controls = (10..20).map(|host| (host, CONTROL));
    let entries = (60..70).map(|host| (host, FRONT));
    let replicas = (120..140).map(|host| (host, 8080));
    controls.chain(entries).chain(replicas).all(|(host, port)| {
        let ip = Ipv4Addr::new(127, subnet.0, subnet.1, host);
        TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok()
    })
}

/// An answer as a client saw it; `status` is 0 where none came, or it was not complete.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Why there is no complete answer; empty where there is one.
    pub failure: String,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(known, _)| known.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

/// One channel of a client.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr, timeout_ms: u64) -> io::Result<Self> {
        let timeout = Duration::from_millis(timeout_ms);
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its whole answer.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Answer {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers
            .iter()
            .any(|(name, _)| name.eq_ignore_ascii_case("host"))
        {
            head.push_str("Host: review.example\r\n");
        }
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if method != "GET" {
            let _ = write!(head, "Content-Length: {}\r\n", body.len());
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let mut answer = Answer::default();
        if let Err(error) = self.reader.get_mut().write_all(&bytes) {
            answer.failure = format!("write: {error}");
            return answer;
        }
        if let Err(error) = self.read_answer(&mut answer) {
            answer.failure = format!("{error}");
        }
        answer
    }

    fn read_answer(&mut self, answer: &mut Answer) -> io::Result<()> {
        let broken = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(broken("closed without an answer"));
        }
        let status = line
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse().ok());
        let status: u16 = status.ok_or_else(|| broken("no answer in the protocol"))?;
        answer.headers = read_headers(&mut self.reader)?;
        let chunked = header(&answer.headers, "transfer-encoding").is_some();
        if chunked {
            loop {
                let mut line = String::new();
                if self.reader.read_line(&mut line)? == 0 {
                    return Err(broken("closed within the answer"));
                }
                let size =
                    usize::from_str_radix(line.trim(), 16).map_err(|_| broken("bad chunk"))?;
                let mut chunk = vec![0; size + 2];
                self.reader.read_exact(&mut chunk)?;
                chunk.truncate(size);
                answer.body.extend(chunk);
                if size == 0 {
                    break;
                }
            }
        } else {
            let length =
                header(&answer.headers, "content-length").and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            self.reader.read_exact(&mut body)?;
            answer.body = body;
        }
        answer.status = status;
        Ok(())
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "closed within a head",
            ));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Sends one request on a channel of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout_ms: u64,
) -> Answer {
    match Channel::open(address, timeout_ms) {
        Ok(mut channel) => channel.ask(method, path, headers, body),
        Err(error) => Answer {
            failure: format!("connect: {error}"),
            ..Answer::default()
        },
    }
}

/// A request as a replica received it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub at_ms: u64,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn attempt(&self) -> String {
        self.header("attempt-id").unwrap_or_default().to_owned()
    }
}

/// How a replica answers a request that it runs: writes the answer, and returns whether the channel is
/// kept.
pub type Answering = dyn Fn(&Replica, &Received, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A stand-in of a replica.
pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    /// Version of its software.
    pub version: &'static str,
    /// More fields of what the replica says of itself, each followed by a comma.
    pub more: String,
    pub slots: u32,
    sequence: AtomicU64,
    /// Whether the replica checks in.
    pub beats: AtomicBool,
    pub draining: AtomicBool,
    /// Whether all its answers say that it leaves.
    pub leaving: AtomicBool,
    /// Requests that it ran.
    pub ran: Mutex<Vec<Received>>,
    pub running: AtomicU64,
}

impl Replica {
    pub fn new(
        id: &str,
        service: &'static str,
        zone: &'static str,
        address: SocketAddr,
        slots: u32,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            address,
            born: unix_ms(),
            version: "v1",
            more: String::new(),
            slots,
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            ran: Mutex::default(),
            running: AtomicU64::new(0),
        })
    }

    /// What the replica says of itself.
    pub fn description(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{state}","coldRemainingMs":0,{}"born":{},"sequence":{sequence}}}"#,
            self.service, self.address, self.zone, self.version, self.slots, self.more, self.born
        )
    }

    /// Checks in at one control instance.
    pub fn check_in(&self, control: SocketAddr) -> Answer {
        let path = format!("/instances/{}/heartbeat", self.id);
        call(
            control,
            "POST",
            &path,
            &[],
            self.description().as_bytes(),
            1000,
        )
    }

    /// Says that it leaves for good.
    pub fn deregister(&self, control: SocketAddr) -> Answer {
        let path = format!("/instances/{}/deregister", self.id);
        call(
            control,
            "POST",
            &path,
            &[],
            self.description().as_bytes(),
            1000,
        )
    }

    /// Checks in every 1.2 s, each time at another control instance, the next one if one fails.
    pub fn start_beats(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let replica = Arc::clone(self);
        thread::spawn(move || {
            let mut next = replica.address.port() as usize + replica.id.len();
            loop {
                if replica.beats.load(Ordering::SeqCst) {
                    for _ in 0..controls.len() {
                        next += 1;
                        if replica.check_in(controls[next % controls.len()]).status == 200 {
                            break;
                        }
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Serves requests from now on.
    pub fn serve(self: &Arc<Self>, answering: Arc<Answering>) {
        let listener =
            TcpListener::bind(self.address).unwrap_or_else(|_| give_up("no address for a replica"));
        let replica = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, answering) = (Arc::clone(&replica), Arc::clone(&answering));
                thread::spawn(move || {
                    let _ = replica.serve_channel(stream, answering.as_ref());
                });
            }
        });
    }

    fn serve_channel(&self, stream: TcpStream, answering: &Answering) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let mut received = Received {
                at_ms: now_ms(),
                method: words.next().unwrap_or_default().to_owned(),
                path: words.next().unwrap_or_default().to_owned(),
                ..Received::default()
            };
            received.headers = read_headers(&mut reader)?;
            let length = received
                .header("content-length")
                .and_then(|text| text.parse().ok());
            received.body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut received.body)?;
            let expected = received.header("expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                self.write(&mut writer, 421, &received, "Not-Executed: 1\r\n", b"")?;
                continue;
            }
            if received.path == "/report" {
                let report = format!(
                    r#"{{"stage":"prefill_decode",{}"born":{},"busy":false,"sequence":0,"waiting":0,"running":{},"kvCacheUsed":0,"kvCacheTotal":144538,"handles":0}}"#,
                    self.more,
                    self.born,
                    self.running.load(Ordering::SeqCst)
                );
                self.write(&mut writer, 200, &received, "", report.as_bytes())?;
                continue;
            }
            if received.path == "/health" {
                self.write(
                    &mut writer,
                    200,
                    &received,
                    &format!("Instance-Id: {}\r\n", self.id),
                    b"",
                )?;
                continue;
            }
            self.ran.lock().unwrap().push(received.clone());
            record(&format!(
                "{} runs {} {}",
                self.id,
                received.attempt(),
                received.path
            ));
            self.running.fetch_add(1, Ordering::SeqCst);
            let kept = answering(self, &received, &mut writer);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !kept? {
                return Ok(());
            }
        }
    }

    /// The part of a head that all answers of the replica share.
    pub fn common_headers(&self, received: &Received) -> String {
        let mut text = String::new();
        if let Some(attempt) = received.header("attempt-id") {
            let _ = write!(text, "Attempt-Id: {attempt}\r\n");
        }
        if self.leaving.load(Ordering::SeqCst) {
            text.push_str("Server-Leaving: 1\r\n");
        }
        let running = self.running.load(Ordering::SeqCst);
        let _ = write!(text, "Server-Load: {running},0,{}\r\n", self.slots);
        text
    }

    /// Writes a whole answer.
    pub fn write(
        &self,
        stream: &mut TcpStream,
        status: u16,
        received: &Received,
        more: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!(
            "HTTP/1.1 {status} X\r\n{}{more}",
            self.common_headers(received)
        );
        let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)
    }

    /// Writes a sealed success.
    pub fn write_success(
        &self,
        stream: &mut TcpStream,
        received: &Received,
        more: &str,
    ) -> io::Result<()> {
        let body = format!("done {} at {}", received.attempt(), self.id);
        let more = format!(
            "Response-Seal: s.{}.{}\r\n{more}",
            self.id,
            received.attempt()
        );
        self.write(stream, 200, received, &more, body.as_bytes())
    }
}

/// The addresses at which control instances are called.
pub fn control_addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    let controls = deployment.controls.iter();
    controls.map(|control| control.at(CONTROL)).collect()
}

/// Returns the lines of the log of a machine that contain `text`.
pub fn log_lines(machine: &Machine, text: &str) -> Vec<String> {
    let log = fs::read_to_string(machine.log_path()).unwrap_or_default();
    log.lines()
        .filter(|line| line.contains(text))
        .map(str::to_owned)
        .collect()
}

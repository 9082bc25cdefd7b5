//! Named workloads, read from INI.

use crate::error::Error;
use flamingo_settings::{Reader, set};
use flamingo_wire::config::Set;
use flamingo_wire::id;
use std::path::{Path, PathBuf};
use std::time::Duration;

const PERMILLE: std::ops::RangeInclusive<u64> = 0..=1_000;
const SECONDS: std::ops::RangeInclusive<u64> = 0..=86_400;
const SIZE: std::ops::RangeInclusive<u64> = 0..=1_000_000;

/// A deployment and its demand.
#[derive(Clone, Debug)]
pub struct Workload {
    /// File that holds the operators' set.
    pub path: PathBuf,
    /// The operators' set.
    pub set: Set,
    /// Availability zones.
    pub zones: Vec<id::Zone>,
    /// Engines of the deployment.
    pub engines: usize,
    /// Memory of an engine, in mebibytes.
    pub memory: id::Mebibytes,
    /// Replicas of each plain service.
    pub replicas: usize,
    /// Number of concurrent model loads that run at full speed.
    pub store_full_speed: u64,
    /// Number of concurrent adapter loads that run at full speed.
    pub adapters_full_speed: u64,
    /// Completions.
    pub streams: Vec<Stream>,
    /// Calls of plain services.
    pub calls: Vec<Calls>,
}

/// Completions of one kind, for models that are requested and idle in turn.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The requested profile.
    pub profile: id::Profile,
    /// The models, by descending demand.
    pub models: Vec<id::Model>,
    /// Mean requests per second over all models.
    pub rate: f64,
    /// Mean length of the periods in which a model is requested; 0 means always.
    pub on: Duration,
    /// Mean length of the pauses between these periods.
    pub off: Duration,
    /// Length of the prefix that the prompts of a model share, in characters.
    pub prefix: usize,
    /// Length of the part of a prompt after that prefix, in characters.
    pub prompt: usize,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Share of requests that name an adapter, in thousandths.
    pub adapters: u64,
    /// Amplitude of the change of the rate over the run, in percent; positive where the rate peaks in
    /// the middle.
    pub swing: f64,
    /// Start of a tenfold rise of the first model's demand, in thousandths of the run.
    pub tenfold_at: u64,
    /// Length of that rise, in thousandths of the run; 0 means none.
    pub tenfold_for: u64,
}

/// Calls of a plain service.
#[derive(Clone, Debug)]
pub struct Calls {
    /// Name of these calls, for the report.
    pub name: String,
    /// The service.
    pub service: id::Service,
    /// Method.
    pub method: String,
    /// Path inside the service.
    pub path: String,
    /// Mean calls per second.
    pub rate: f64,
    /// Whether each call has an idempotency key, so that it may run only once.
    pub keyed: bool,
    /// Share of calls that are resent after their response, in thousandths.
    pub resend: u64,
    /// Duration of the call at the replica.
    pub delay: Duration,
}

impl Workload {
    /// Reads the workload in the file at `path` and the set that it names.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let mut reader = Reader::open(path)?;
        let own = "workload";
        let file: Option<PathBuf> = reader.need(own, "set", "the path of a set, from this file");
        let zones = reader.list(own, "zones", "names of availability zones");
        let engines = count(&mut reader, own, "engines", 10);
        let memory = reader.within(own, "memory", 80_000, 1..=10_000_000);
        let replicas = count(&mut reader, own, "replicas", 3);
        let store_full_speed = reader.within(own, "store_full_speed", 6, 1..=1_000);
        let adapters_full_speed = reader.within(own, "adapters_full_speed", 50, 1..=10_000);
        let names = reader.sections("stream ");
        let streams: Vec<_> = names
            .iter()
            .filter_map(|name| stream(&mut reader, name))
            .collect();
        let names = reader.sections("calls ");
        let calls: Vec<_> = names
            .iter()
            .filter_map(|name| calls(&mut reader, name))
            .collect();
        let file = reader.finish(file)?;
        let set = path.parent().unwrap_or(Path::new("")).join(file);
        Ok(Self {
            set: set::open(&set)?,
            path: set,
            zones,
            engines,
            memory,
            replicas,
            store_full_speed,
            adapters_full_speed,
            streams,
            calls,
        })
    }
}

fn stream(reader: &mut Reader, name: &str) -> Option<Stream> {
    let section = format!("stream {name}");
    let profile = reader.name(&section, "profile");
    let models = reader.list(&section, "models", "names of models");
    let rate = reader.need(&section, "rate", "requests a second");
    let on = seconds(reader, &section, "on_s");
    let off = seconds(reader, &section, "off_s");
    let prefix = count(reader, &section, "prefix", 0);
    let prompt = count(reader, &section, "prompt", 100);
    let tokens = reader.within(&section, "tokens", 16, 1..=100_000);
    let adapters = reader.within(&section, "adapters", 0, PERMILLE);
    let swing = reader.or(&section, "swing", 0.0, "a number from -100 to 100");
    let tenfold_at = reader.within(&section, "tenfold_at", 0, PERMILLE);
    let tenfold_for = reader.within(&section, "tenfold_for", 0, PERMILLE);
    if models.is_empty() {
        reader.problem(&section, "models", "no model", "at least one model");
    }
    Some(Stream {
        profile: profile?,
        models,
        rate: rate?,
        on,
        off,
        prefix,
        prompt,
        tokens: u32::try_from(tokens).ok()?,
        adapters,
        swing,
        tenfold_at,
        tenfold_for,
    })
}

fn calls(reader: &mut Reader, name: &str) -> Option<Calls> {
    let section = format!("calls {name}");
    let service = reader.name(&section, "service");
    let method = reader.or(&section, "method", "POST".to_owned(), "a method");
    let path = reader.need(&section, "path", "a path, such as /confirm");
    let rate = reader.need(&section, "rate", "calls a second");
    let keyed = reader.or(&section, "keyed", "no".to_owned(), "yes or no");
    let resend = reader.within(&section, "resend", 0, PERMILLE);
    let delay = reader.within(&section, "delay_ms", 0, SIZE);
    Some(Calls {
        name: name.to_owned(),
        service: service?,
        method,
        path: path?,
        rate: rate?,
        keyed: keyed == "yes",
        resend,
        delay: Duration::from_millis(delay),
    })
}

fn seconds(reader: &mut Reader, section: &str, key: &str) -> Duration {
    Duration::from_secs(reader.within(section, key, 0, SECONDS))
}

fn count(reader: &mut Reader, section: &str, key: &str, default: u64) -> usize {
    let value = reader.within(section, key, default, SIZE);
    usize::try_from(value).unwrap_or(usize::MAX)
}

//! State that the handlers of one engine share.

use super::account::{Account, Copy, Stage};
use super::batch::Batch;
use super::prefix::Cache;
use super::{Behaviour, Settings};
use crate::fault::{Faults, Source};
use crate::record::Record;
use actix_web::HttpResponse;
use actix_web::dev::ServerHandle;
use actix_web::web::{Data, Json, Query};
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load};
use flamingo_wire::id;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// Time for which a leaving target stays reachable, until all entries know that it leaves.
const LINGER: Duration = Duration::from_secs(3);
/// Interval at which a leaving engine checks for running requests.
const LOOK: Duration = Duration::from_millis(50);

/// One request that reached the engine's handler.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Value of `x-request-id`, or empty.
    pub request: id::Request,
    /// The requested model or adapter.
    pub model: id::Model,
    /// The prompt.
    pub prompt: String,
    /// First requested token.
    pub from: u32,
    /// Tokens generated.
    pub tokens: u32,
    /// `running`, `done`, `cancelled`, `truncated` or `refused`.
    pub end: String,
    /// Time since the engine announced that it leaves, in milliseconds.
    pub after_leave_ms: Option<u64>,
}

/// Mutable state.
#[derive(Debug)]
pub struct Inner {
    pub account: Account,
    pub batch: Batch,
    pub prefix: Cache,
    pub faults: Source,
    pub runs: Vec<Run>,
    pub prefilling: u32,
    pub cancelled: u32,
    leaving: Option<Instant>,
    sequence: id::Sequence,
    reports: VecDeque<(Instant, Load)>,
    second: (Instant, u32, u32),
}

/// One engine.
#[derive(Debug)]
pub struct State {
    pub settings: Settings,
    pub behaviour: Behaviour,
    pub incarnation: id::Incarnation,
    pub changed: Arc<Notify>,
    pub record: Record,
    inner: Mutex<Inner>,
    served: OnceLock<(SocketAddr, ServerHandle)>,
}

impl State {
    pub fn new(settings: Settings, behaviour: Behaviour) -> std::io::Result<Self> {
        let incarnation = millis();
        let copies = settings.resident.iter().map(|resident| Copy {
            resident: resident.clone(),
            memory: behaviour.footprint,
            stage: Stage::Resident,
            running: 0,
        });
        let inner = Inner {
            account: Account::new(
                settings.memory,
                behaviour.fenced,
                incarnation,
                copies.collect(),
            ),
            batch: Batch::new(behaviour.batch),
            prefix: Cache::new(behaviour.prefix),
            faults: Source::default(),
            runs: Vec::new(),
            prefilling: 0,
            cancelled: 0,
            leaving: None,
            sequence: 0,
            reports: VecDeque::new(),
            second: (Instant::now(), 0, 0),
        };
        Ok(Self {
            record: Record::open(behaviour.record.as_deref())?,
            settings,
            behaviour,
            incarnation,
            changed: Arc::default(),
            inner: Mutex::new(inner),
            served: OnceLock::new(),
        })
    }

    pub fn serve(&self, address: SocketAddr, handle: ServerHandle) {
        let _ = self.served.set((address, handle));
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while the state is held")
    }

    /// Returns `time` scaled by the fault that slows the engine.
    pub fn slowed(&self, time: Duration) -> Duration {
        match self.lock().faults.faults().slow {
            0 => time,
            slow => time * slow / 1_000,
        }
    }

    /// Waits while the fault that suppresses responses is active.
    pub async fn silence(&self) {
        while self.lock().faults.faults().silent {
            actix_rt::time::sleep(LOOK).await;
        }
    }

    pub fn announcement(&self) -> Option<Announcement> {
        let (address, _) = self.served.get()?;
        let mut inner = self.lock();
        if inner.faults.faults().mute {
            return None;
        }
        inner.sequence += 1;
        let load = inner.report(self.behaviour.lag, Instant::now());
        let standing = match inner.leaving {
            Some(_) => Availability::Leaving,
            None => Availability::Serving,
        };
        Some(Announcement {
            target: self.settings.name.clone(),
            incarnation: self.incarnation,
            sequence: inner.sequence,
            zone: self.settings.zone.clone(),
            address: *address,
            availability: standing,
            load,
            kind: Kind::Engine(Engine {
                memory: self.settings.memory,
                fenced: self.behaviour.fenced,
                resident: inner.account.at(Stage::Resident),
                loading: inner.account.at(Stage::Loading),
                ended: inner.account.ended(),
            }),
        })
    }
}

impl Inner {
    /// Records a request and returns its index.
    pub fn arrived(&mut self, mut run: Run) -> usize {
        run.after_leave_ms = self
            .leaving
            .map(|since| u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX));
        self.runs.push(run);
        self.runs.len() - 1
    }

    /// Records one generated token of a request.
    pub fn generated(&mut self, run: usize, tokens: u32) {
        self.runs[run].tokens += tokens;
        self.roll(Instant::now());
        self.second.1 += tokens;
    }

    fn roll(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.second.0);
        if age >= Duration::from_secs(2) {
            self.second = (now, 0, 0);
        } else if age >= Duration::from_secs(1) {
            self.second = (now, 0, self.second.1);
        }
    }

    fn report(&mut self, lag: Duration, now: Instant) -> Load {
        self.roll(now);
        let load = Load {
            running: u32::try_from(self.batch.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.batch.waiting()).unwrap_or(u32::MAX),
            cache: self.batch.cache(),
            rate: self.second.2,
        };
        if self.faults.faults().wrong_load {
            return Load::default();
        }
        self.reports.push_back((now, load));
        let old = |(at, _): &(Instant, Load)| now.saturating_duration_since(*at) >= lag;
        while self.reports.len() > 1 && old(&self.reports[1]) {
            self.reports.pop_front();
        }
        let first = self.reports.front().filter(|first| old(first));
        first.map(|(_, load)| *load).unwrap_or_default()
    }
}

pub async fn ran(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().runs)
}

pub async fn show(state: Data<State>) -> HttpResponse {
    let inner = state.lock();
    HttpResponse::Ok().json(serde_json::json!({
        "target": state.settings.name,
        "incarnation": state.incarnation,
        "committed": inner.account.committed(),
        "account": inner.account,
        "running": inner.batch.running(),
        "waiting": inner.batch.waiting(),
        "cancelled": inner.cancelled,
        "leaving": inner.leaving.is_some(),
        "faults": inner.faults.faults(),
    }))
}

/// Memory counters, for tests.
pub async fn orders(state: Data<State>) -> HttpResponse {
    let inner = state.lock();
    HttpResponse::Ok().json(serde_json::json!({
        "memory": state.settings.memory,
        "committed": inner.account.committed(),
        "committed_peak": inner.account.peak(),
        "over_commits": inner.account.over_commits(),
        "ran": inner.account.ended(),
    }))
}

pub async fn faults(state: Data<State>, faults: Json<Faults>) -> HttpResponse {
    state.lock().faults = Source::new(faults.into_inner());
    HttpResponse::NoContent().finish()
}

#[derive(Debug, Deserialize)]
pub struct After {
    #[serde(default)]
    after: u64,
}

pub async fn events(state: Data<State>, query: Query<After>) -> HttpResponse {
    let inner = state.lock();
    let lag = state.behaviour.lag;
    HttpResponse::Ok().json(inner.prefix.events(query.after, lag, Instant::now()))
}

/// Announces that the engine leaves, and stops it once no request runs.
pub async fn leave(state: Data<State>) -> HttpResponse {
    let since = *state.lock().leaving.get_or_insert_with(Instant::now);
    state.changed.notify_one();
    actix_rt::spawn(async move {
        while since.elapsed() < LINGER || state.busy() {
            actix_rt::time::sleep(LOOK).await;
        }
        if let Some((_, handle)) = state.served.get() {
            handle.stop(true).await;
        }
    });
    HttpResponse::NoContent().finish()
}

impl State {
    fn busy(&self) -> bool {
        let inner = self.lock();
        inner.batch.running() + inner.batch.waiting() > 0
    }
}

fn millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

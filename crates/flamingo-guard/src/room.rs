//! Keeps the requests at a brittle target within its room, counted over all entries.
//!
//! Answers one load: a target that falls over when it rejects too many requests a second for want of
//! room, while many entries would send it more than it has room for. The leader counts the requests of
//! all entries there, by the questions that entries ask before they send and by their reports of load, and
//! grants a request only where it finds room. As reports are late, it counts some that have ended; so
//! it lets in a few beyond the slots as long as none is rejected.

use flamingo_wire::control::Room;
use flamingo_wire::id;
use flamingo_wire::target::Load;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after which each entry has reported its requests to a new record.
const TIME_TO_KNOW: Duration = Duration::from_millis(300);
/// Time within which a report may have been written before the question that came ahead of it.
const REPORT_DELAY: Duration = Duration::from_millis(150);
/// Time without a question or a report after which the requests of an entry are taken to have ended.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two steps by which the room is raised.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two steps by which the room is raised, in units of the time in which a target bears one
/// rejection: each step may end in one.
const RAISE_INTERVAL: f64 = 2.0;
/// Time for which a target gets nothing after it has rejected a request.
const REJECTION_PAUSE: Duration = Duration::from_millis(200);
/// Part of the rejections that a target bears in a second after which it gets nothing for a second.
const TOLERATED_PART: f64 = 0.5;
/// Rejections in a second that are tolerated of a target that bears as many, beyond that part.
const TOLERATED: f64 = 2.0;
/// Time over which rejections are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Largest room, in slots of the target. More would only wait there.
const MAX_ROOM_SLOTS: u32 = 2;
/// Time without a question after which a record is dropped.
const RECORD_RETENTION: Duration = Duration::from_secs(10);
/// Time that is waited where there is no room, at least.
const FULL_WAIT: Duration = Duration::from_millis(100);
/// Longest time between two raises.
const MAX_RAISE_INTERVAL: Duration = Duration::from_mins(10);
/// Largest number of records; further targets get nothing.
pub const MAX_RECORDS: usize = 4_096;

/// The requests of one entry at a target.
#[derive(Clone, Copy, Debug)]
struct Held {
    running: u32,
    /// Until when a report may be older than the last question.
    asked_until: Instant,
    /// When the requests are taken to have ended unless the entry speaks of them again.
    expires_at: Instant,
}

/// What is known of one incarnation of a brittle target.
#[derive(Debug)]
struct Record {
    /// Rejections a second that the target bears.
    rejections_per_s: f64,
    slots: u32,
    /// Requests that may be there at the same time, as they are counted here.
    room: u32,
    /// Entries that have requests there.
    held: HashMap<id::Node, Held>,
    /// Rejections within the last `WINDOW`.
    rejected_at: SmallVec<[Instant; 8]>,
    closed_until: Instant,
    raise_at: Instant,
    asked_at: Instant,
}

impl Record {
    fn new(asked: &Room, now: Instant) -> Self {
        let mut record = Self {
            rejections_per_s: 0.0,
            slots: 0,
            room: 0,
            held: HashMap::new(),
            rejected_at: SmallVec::new(),
            closed_until: now + TIME_TO_KNOW,
            raise_at: now,
            asked_at: now,
        };
        record.update(asked, now);
        record.raise_at = record.closed_until + record.raise_interval();
        record
    }

    /// Applies what the newest response of the target says.
    fn update(&mut self, asked: &Room, now: Instant) {
        self.rejections_per_s = asked.rejections_per_s.max(0.0);
        self.slots = asked.slots.max(1);
        let most = self.slots.saturating_mul(MAX_ROOM_SLOTS);
        self.room = self.room.clamp(self.least_room(), most);
        self.asked_at = now;
    }

    /// Returns the room that the target is sure to have. One that bears less than a rejection a second
    /// keeps a slot free for what is not counted here.
    fn least_room(&self) -> u32 {
        let spare = u32::from(self.rejections_per_s < 1.0);
        (self.slots - spare).max(1)
    }

    fn raise_interval(&self) -> Duration {
        let interval_s = RAISE_INTERVAL / self.rejections_per_s;
        let interval = Duration::try_from_secs_f64(interval_s).unwrap_or(MAX_RAISE_INTERVAL);
        interval.clamp(MIN_RAISE_INTERVAL, MAX_RAISE_INTERVAL)
    }

    fn try_take(&mut self, from: &str, running: u32, now: Instant) -> Result<(), Instant> {
        self.held
            .retain(|entry, held| now < held.expires_at && entry != from);
        let held = Held {
            running: running.saturating_sub(1),
            asked_until: now + REPORT_DELAY,
            expires_at: now + ENTRY_TIMEOUT,
        };
        if held.running > 0 {
            self.held.insert(from.to_owned(), held);
        }
        if now < self.closed_until {
            return Err(self.closed_until);
        }
        let total: u32 = self.held.values().map(|held| held.running).sum();
        if total >= self.room {
            let most = self.slots.saturating_mul(MAX_ROOM_SLOTS);
            if total > self.room || now < self.raise_at || self.room >= most {
                return Err(now + FULL_WAIT);
            }
            self.room += 1;
            self.raise_at = now + self.raise_interval();
        }
        let granted = Held {
            running: running.max(1),
            ..held
        };
        self.held.insert(from.to_owned(), granted);
        Ok(())
    }

    fn record_rejection(&mut self, now: Instant) {
        self.rejected_at.retain(|at| now < *at + WINDOW);
        self.rejected_at.push(now);
        let least = self.least_room();
        self.room = least + self.room.saturating_sub(least) / 2;
        self.raise_at = now + self.raise_interval().max(WINDOW);
        let bears = self.rejections_per_s;
        let tolerated = (bears * TOLERATED_PART).max(bears.clamp(1.0, TOLERATED));
        let count = u32::try_from(self.rejected_at.len()).unwrap_or(u32::MAX);
        let pause = if f64::from(count) >= tolerated {
            WINDOW
        } else {
            REJECTION_PAUSE
        };
        self.closed_until = self.closed_until.max(now + pause);
    }

    /// Applies what an entry reports: its requests at the target, `None` if it has none.
    fn record_report(&mut self, from: &str, running: Option<u32>, now: Instant) {
        let Some(running) = running else {
            let held = self.held.get(from);
            if held.is_some_and(|held| now >= held.asked_until) {
                self.held.remove(from);
            }
            return;
        };
        let expires_at = now + ENTRY_TIMEOUT;
        let held = self.held.entry(from.to_owned()).or_insert(Held {
            running,
            asked_until: now,
            expires_at,
        });
        held.running = if now < held.asked_until {
            held.running.max(running)
        } else {
            running
        };
        held.expires_at = expires_at;
    }
}

/// The leader's count of the requests at brittle targets.
///
/// ```
/// use flamingo_guard::room::Ledger;
/// use flamingo_wire::control::Room;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let asked = Room {
///     target: "t".into(),
///     incarnation: 1,
///     rejections_per_s: 3.0,
///     slots: 1,
///     running: 1,
/// };
/// let mut ledger = Ledger::default();
/// // The entries have not told yet what they have there.
/// let known_at = now + Duration::from_millis(300);
/// assert_eq!(ledger.try_take("entry-0", &asked, now), Err(known_at));
/// assert_eq!(ledger.try_take("entry-0", &asked, known_at), Ok(()));
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    records: HashMap<(id::Target, id::Incarnation), Record>,
}

impl Ledger {
    /// Takes room for the request that the entry `from` asks for.
    ///
    /// # Errors
    ///
    /// Returns when there may be room, at the earliest.
    pub fn try_take(&mut self, from: &str, asked: &Room, now: Instant) -> Result<(), Instant> {
        let record = self.record_mut(asked, now).ok_or(now + WINDOW)?;
        record.try_take(from, asked.running, now)
    }

    /// Records that a target rejected a request of an entry for want of room.
    pub fn record_rejection(&mut self, rejected: &Room, now: Instant) {
        if let Some(record) = self.record_mut(rejected, now) {
            record.record_rejection(now);
        }
    }

    /// Applies the loads that the entry `from` reports, which are all that it has.
    pub fn record_report(&mut self, from: &str, loads: &[Load], now: Instant) {
        self.records
            .retain(|_, record| now < record.asked_at + RECORD_RETENTION);
        if self.records.is_empty() {
            return;
        }
        let loads = loads
            .iter()
            .map(|load| (load.target.as_str(), load.running));
        let running: HashMap<&str, u32> = loads.collect();
        for ((target, _), record) in &mut self.records {
            let running = running.get(target.as_str()).copied();
            record.record_report(from, running, now);
        }
    }

    /// Returns the record of a target; `None` if there are too many.
    fn record_mut(&mut self, asked: &Room, now: Instant) -> Option<&mut Record> {
        let key = (asked.target.clone(), asked.incarnation);
        if !self.records.contains_key(&key) {
            self.records
                .retain(|_, record| now < record.asked_at + RECORD_RETENTION);
            if self.records.len() >= MAX_RECORDS {
                return None;
            }
        }
        let record = self.records.entry(key);
        let record = record.or_insert_with(|| Record::new(asked, now));
        record.update(asked, now);
        Some(record)
    }
}

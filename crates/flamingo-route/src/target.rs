//! A target as the decisions see it.

use crate::health::Health;
use crate::limit::Limit;
use crate::request::{Admitted, Pool, Prefixes};
use crate::slot::{Count, Slot};
use flamingo_wire::announce::{Announcement, Kind, Standing};
use flamingo_wire::id;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Prefixes remembered per target; a hint of what its prefix cache holds.
const PREFIXES: usize = 512;
/// Time for which an own adapter load counts before a report must show it.
const OWN_LOAD: Duration = Duration::from_secs(3);
/// Reports for which own requests are remembered: longer than a report lags.
const LAG: usize = 4;
/// Time from a request's arrival at an idle engine to its first token.
const BASE: Duration = Duration::from_millis(10);

/// One target.
#[derive(Debug)]
pub struct Target {
    /// Its newest announcement.
    pub known: Announcement,
    /// Its failure memory.
    pub health: Health,
    /// Whether it is silent.
    pub suspect: bool,
    /// Whether operators drain it.
    pub drained: bool,
    /// Requests at it by its last report, or own ones where these are more.
    reported: u32,
    /// Own requests at it when the last report came.
    own_then: u32,
    /// Own requests at it at each of the last reports.
    own_past: [u32; LAG],
    slots: Count,
    loaded: BTreeMap<id::Adapter, Instant>,
    prefixes: BTreeMap<u64, u32>,
    recent: VecDeque<u64>,
}

impl Target {
    /// Builds a target from its first announcement.
    #[must_use]
    pub fn new(known: Announcement, drained: bool) -> Self {
        let reported = known.load.running + known.load.waiting;
        Self {
            known,
            health: Health::default(),
            suspect: false,
            drained,
            reported,
            own_then: 0,
            own_past: [0; LAG],
            slots: Count::default(),
            loaded: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Takes a newer announcement.
    pub fn update(&mut self, known: Announcement) {
        if known.incarnation != self.known.incarnation {
            self.health = Health::default();
            self.loaded.clear();
            self.prefixes.clear();
            self.recent.clear();
        }
        self.own_then = self.slots.taken();
        self.own_past.rotate_left(1);
        self.own_past[LAG - 1] = self.own_then;
        self.reported = (known.load.running + known.load.waiting).max(self.own_then);
        self.suspect = false;
        self.known = known;
    }

    /// Returns the pools that it serves.
    pub fn pools(&self) -> Vec<Pool> {
        match &self.known.kind {
            Kind::Engine(engine) => {
                let models = engine.resident.iter().map(|copy| copy.model.clone());
                let mut models: Vec<_> = models.map(Pool::Model).collect();
                models.sort();
                models.dedup();
                models
            }
            Kind::Service(service) => vec![Pool::Service(service.name.clone())],
        }
    }

    /// Returns whether it takes new work now.
    #[must_use]
    pub fn takes(&self, now: Instant) -> bool {
        self.known.standing == Standing::Serving
            && !self.suspect
            && !self.drained
            && self.health.open(now)
    }

    /// Returns the estimate of requests at it: own ones, and others' by its last report.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.reported - self.own_then + self.slots.taken()
    }

    /// Returns how many own requests it may be given when `entries` share `room` slots.
    ///
    /// Each entry has its share, less what others were seen to hold above theirs. Of
    /// what the last report showed free, each may take as much as all others, above the
    /// least that it had while the report may have been made: a report lags, and what
    /// each has taken since then is not in it. So together they don't overfill the
    /// target before the next report. Of a full target, who holds more than its share
    /// gives some back.
    #[must_use]
    pub fn allowance(&self, room: u32, entries: usize) -> u32 {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let share = room.div_ceil(entries);
        let others = self.reported - self.own_then;
        let above = others.saturating_sub(room - share.min(room));
        let least = u32::from(entries > 1);
        let sure = share.saturating_sub(above).max(least);
        if self.reported >= room {
            return sure.max(self.own_then.saturating_sub(1));
        }
        sure.max(self.own_least() + (room - self.reported) / entries)
    }

    /// Returns the fewest own requests at it since the last reports began to be made.
    fn own_least(&self) -> u32 {
        let least = self.own_past.iter().copied().min().unwrap_or(0);
        least.min(self.slots.taken())
    }

    /// Returns the own requests at it.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.slots.taken()
    }

    /// Takes a slot.
    pub fn take(&mut self) -> Slot {
        self.slots.take()
    }

    /// Gives a slot back.
    pub fn release(&mut self, slot: Slot) {
        self.slots.release(slot);
    }

    /// Returns whether `adapter` is loaded with `model`.
    #[must_use]
    pub fn adapted(&self, model: &str, adapter: &str, now: Instant) -> bool {
        let own = self.loaded.get(adapter);
        if own.is_some_and(|loaded| now < *loaded + OWN_LOAD) {
            return true;
        }
        let engine = self.known.engine();
        engine.is_some_and(|engine| {
            let mut copies = engine.resident.iter();
            copies.any(|copy| copy.model == model && copy.adapters.iter().any(|one| one == adapter))
        })
    }

    /// Notes an own load of `adapter`.
    pub fn loaded(&mut self, adapter: &str, now: Instant) {
        self.loaded.insert(adapter.to_owned(), now);
    }

    /// Notes that a prompt went to it, so that its prefixes are likely cached.
    pub fn prompted(&mut self, chain: &Prefixes) {
        for prefix in chain {
            if self.prefixes.insert(prefix.hash, prefix.tokens).is_none() {
                self.recent.push_back(prefix.hash);
            }
        }
        while self.recent.len() > PREFIXES {
            if let Some(oldest) = self.recent.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }

    /// Predicts the time to the first token of `live` if it were sent now.
    #[must_use]
    pub fn predict(&self, live: &Admitted, zone: &str, limit: &Limit, now: Instant) -> Duration {
        let mut time = BASE;
        let cached = live.prefixes.iter().rev();
        let mut cached = cached.filter_map(|prefix| self.prefixes.get(&prefix.hash));
        let uncached = live.tokens() - cached.next().copied().unwrap_or(0).min(live.tokens());
        let prefill = Duration::from_millis(u64::from(uncached / limit.prefill_rate.max(1)));
        let slots = limit.engine_slots.max(1);
        time += prefill + (prefill + BASE) * self.busy() / slots;
        if let (Pool::Model(model), Some(adapter)) = (&live.pool, &live.adapter)
            && !self.adapted(model, adapter, now)
        {
            time += limit.adapter_load;
        }
        if self.known.zone != zone {
            time += limit.zone_distance;
        }
        time
    }
}

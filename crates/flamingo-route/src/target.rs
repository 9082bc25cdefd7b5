//! State of one target: its newest announcement, own requests in flight and predictions.

use crate::health::Health;
use crate::limit::Limit;
use crate::request::{Admitted, Pool, Prefixes};
use crate::slot::{Counter, Slot};
use flamingo_wire::announce::{Announcement, Availability, Kind};
use flamingo_wire::id;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of prompt prefixes remembered per target, as a guess at the contents of
/// its prefix cache.
const MAX_PREFIXES: usize = 512;
/// Time for which an adapter load by this entry counts although no announcement shows the
/// adapter yet.
const ADAPTER_LOAD_VALIDITY: Duration = Duration::from_secs(3);
/// Number of announcements for which the count of own requests is kept; covers more time
/// than an announcement lags behind.
const REPORT_HISTORY: usize = 4;
/// Time from the arrival of a request at an idle engine to its first token, without prefill.
const IDLE_FIRST_TOKEN: Duration = Duration::from_millis(10);

/// One target as this entry knows it.
#[derive(Debug)]
pub struct Target {
    /// Newest announcement of the target.
    pub announcement: Announcement,
    /// Circuit breaker that failed attempts open.
    pub health: Health,
    /// Whether the target is suspected because its announcements stopped.
    pub suspect: bool,
    /// Whether this incarnation said in a response that it leaves.
    pub said_leaving: bool,
    /// Whether an operator drains the target.
    pub drained: bool,
    /// Requests of all entries at the target by its last announcement; at least
    /// `own_at_report`.
    reported_requests: u32,
    /// Requests of this entry at the target when the last announcement arrived.
    own_at_report: u32,
    /// Requests of this entry at the target at each of the last announcements, the newest last.
    own_history: [u32; REPORT_HISTORY],
    slots: Counter,
    adapter_loads: BTreeMap<id::Adapter, Instant>,
    prefixes: BTreeMap<u64, u32>,
    prefix_order: VecDeque<u64>,
}

impl Target {
    /// Creates a target from its first announcement.
    #[must_use]
    pub fn new(announcement: Announcement, drained: bool) -> Self {
        let reported_requests = announcement.load.running + announcement.load.waiting;
        Self {
            announcement,
            health: Health::default(),
            suspect: false,
            said_leaving: false,
            drained,
            reported_requests,
            own_at_report: 0,
            own_history: [0; REPORT_HISTORY],
            slots: Counter::default(),
            adapter_loads: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            prefix_order: VecDeque::new(),
        }
    }

    /// Applies a newer announcement and clears the suspicion; a new incarnation also resets
    /// the circuit breaker and what is assumed to be loaded and cached.
    pub fn update(&mut self, announcement: Announcement) {
        if announcement.incarnation != self.announcement.incarnation {
            self.health = Health::default();
            self.said_leaving = false;
            self.adapter_loads.clear();
            self.prefixes.clear();
            self.prefix_order.clear();
        }
        self.own_at_report = self.slots.taken();
        self.own_history.rotate_left(1);
        self.own_history[REPORT_HISTORY - 1] = self.own_at_report;
        self.reported_requests =
            (announcement.load.running + announcement.load.waiting).max(self.own_at_report);
        self.suspect = false;
        self.announcement = announcement;
    }

    /// Returns the pools that the target belongs to: one for each resident model, or that of
    /// its service.
    pub fn pools(&self) -> Vec<Pool> {
        match &self.announcement.kind {
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

    /// Returns whether the target may get new requests at `now`: it is serving, neither
    /// suspected nor drained, said in no response that it leaves, and its circuit breaker allows a request.
    #[must_use]
    pub fn accepts_work(&self, now: Instant) -> bool {
        self.announcement.availability == Availability::Serving
            && !self.suspect
            && !self.drained
            && !self.said_leaving
            && self.health.is_available(now)
    }

    /// Returns the estimated number of requests at the target: those of this entry now, and
    /// those of other entries by the last announcement.
    #[must_use]
    pub fn estimated_requests(&self) -> u32 {
        self.reported_requests - self.own_at_report + self.slots.taken()
    }

    /// Returns how many requests this entry may have at the target when `entries` entries
    /// share its `capacity`.
    ///
    /// Each entry is guaranteed an equal share of the slots, less what the other entries
    /// use beyond their shares. If the last announcement showed free slots, each entry may
    /// also use an equal part of these, on top of the fewest requests that it had since the
    /// announcement may have been made. An announcement lags and lacks the requests sent
    /// since then; counting from that minimum keeps the entries together from overfilling
    /// the target before the next announcement. If the target was full, an entry that uses
    /// more than its share gives one slot back per announcement.
    #[must_use]
    pub fn allowance(&self, capacity: u32, entries: usize) -> u32 {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let share = capacity.div_ceil(entries);
        let others = self.reported_requests - self.own_at_report;
        let excess = others.saturating_sub(capacity - share.min(capacity));
        let minimum = u32::from(entries > 1);
        let guaranteed = share.saturating_sub(excess).max(minimum);
        if self.reported_requests >= capacity {
            return guaranteed.max(self.own_at_report.saturating_sub(1));
        }
        guaranteed.max(self.min_recent_own() + (capacity - self.reported_requests) / entries)
    }

    /// Returns the lowest number of own requests at the last `REPORT_HISTORY` announcements
    /// and now.
    fn min_recent_own(&self) -> u32 {
        let least = self.own_history.iter().copied().min().unwrap_or(0);
        least.min(self.slots.taken())
    }

    /// Returns the number of requests that this entry has at the target.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.slots.taken()
    }

    /// Takes a slot for a new request.
    pub fn take_slot(&mut self) -> Slot {
        self.slots.take()
    }

    /// Releases the slot of a request that ended.
    pub fn release_slot(&mut self, slot: Slot) {
        self.slots.release(slot);
    }

    /// Returns whether the target has `adapter` of `model` loaded: this entry loaded it within
    /// `ADAPTER_LOAD_VALIDITY`, or the last announcement shows it.
    #[must_use]
    pub fn has_adapter(&self, model: &str, adapter: &str, now: Instant) -> bool {
        let own = self.adapter_loads.get(adapter);
        if own.is_some_and(|loaded| now < *loaded + ADAPTER_LOAD_VALIDITY) {
            return true;
        }
        let engine = self.announcement.engine();
        engine.is_some_and(|engine| {
            let mut copies = engine.resident.iter();
            copies.any(|copy| {
                copy.model == model && copy.adapters.iter().any(|loaded| loaded == adapter)
            })
        })
    }

    /// Records that this entry loaded `adapter` on the target.
    pub fn record_adapter_load(&mut self, adapter: &str, now: Instant) {
        self.adapter_loads.insert(adapter.to_owned(), now);
    }

    /// Records that a prompt was sent to the target, whose prefix cache then likely holds its
    /// prefixes; the oldest beyond `MAX_PREFIXES` are dropped.
    pub fn record_prompt(&mut self, prefixes: &Prefixes) {
        for prefix in prefixes {
            if self.prefixes.insert(prefix.hash, prefix.tokens).is_none() {
                self.prefix_order.push_back(prefix.hash);
            }
        }
        while self.prefix_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.prefix_order.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }

    /// Predicts the time to the first token of `admitted` if the request were sent at `now`:
    /// uncached prefill, queueing behind the estimated load, adapter load and zone latency.
    #[must_use]
    pub fn predict(
        &self,
        admitted: &Admitted,
        zone: &str,
        limit: &Limit,
        now: Instant,
    ) -> Duration {
        let mut time = IDLE_FIRST_TOKEN;
        let cached = admitted.prefixes.iter().rev();
        let mut cached = cached.filter_map(|prefix| self.prefixes.get(&prefix.hash));
        let uncached =
            admitted.tokens() - cached.next().copied().unwrap_or(0).min(admitted.tokens());
        let prefill =
            Duration::from_millis(u64::from(uncached / limit.prefill_tokens_per_ms.max(1)));
        let slots = limit.engine_slots.max(1);
        time += prefill + (prefill + IDLE_FIRST_TOKEN) * self.estimated_requests() / slots;
        if let (Pool::Model(model), Some(adapter)) = (&admitted.pool, &admitted.adapter)
            && !self.has_adapter(model, adapter, now)
        {
            time += limit.adapter_load_time;
        }
        if self.announcement.zone != zone {
            time += limit.cross_zone_latency;
        }
        time
    }
}

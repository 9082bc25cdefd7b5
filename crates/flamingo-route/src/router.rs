//! The state machine: from a request's arrival to its final answer.

mod admission;
mod attempt;
mod waiting;

use crate::action::{Action, AttemptId, Choice, Decision, Dispatch, Input};
use crate::budget::Budget;
use crate::demand::Pace;
use crate::fleet::{Fleet, Selection, View};
use crate::limit::Limit;
use crate::queue::{Place, Queue};
use crate::request::{Admitted, Pool, Stage};
use crate::slot::Slot;
use crate::target::Target;
use flamingo_wire::config::{Late, Snapshot};
use flamingo_wire::control::Demand;
use flamingo_wire::event::Event;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Verdict, id};
use smallvec::SmallVec;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Queued requests of one pool that are looked at for a target with room.
const LOOK: usize = 16;

#[derive(Debug)]
struct Flight {
    request: id::Request,
    number: usize,
    began: Instant,
    loading: bool,
    slot: Slot,
}

/// The router of one entry.
#[derive(Debug)]
pub struct Router {
    zone: id::Zone,
    limit: Limit,
    config: Snapshot,
    fleet: Fleet,
    admitted: HashMap<id::Request, Admitted>,
    flights: HashMap<AttemptId, Flight>,
    queues: HashMap<Pool, Queue>,
    budgets: HashMap<Pool, Budget>,
    paces: HashMap<Pool, Pace>,
    timers: BTreeSet<(Instant, id::Request)>,
    entries: usize,
    loading: u32,
    waiting: usize,
    next: u64,
    actions: Vec<Action>,
}

impl Router {
    /// Builds a router in `zone` whose random choices come from `seed`.
    #[must_use]
    pub fn new(zone: id::Zone, limit: Limit, seed: u64) -> Self {
        Self {
            zone,
            limit,
            config: Snapshot::default(),
            fleet: Fleet::new(seed),
            admitted: HashMap::new(),
            flights: HashMap::new(),
            queues: HashMap::new(),
            budgets: HashMap::new(),
            paces: HashMap::new(),
            timers: BTreeSet::new(),
            entries: 1,
            loading: 0,
            waiting: 0,
            next: 0,
            actions: Vec::new(),
        }
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match input {
            Input::Arrive(ask) => self.arrive(now, ask),
            Input::Update(event) => self.news(now, event),
            Input::Loaded(attempt) => self.loaded(now, attempt),
            Input::Begun(attempt) => self.begun(now, attempt),
            Input::Ended(attempt) => self.ended(now, attempt),
            Input::Failed(failure) => self.failed(now, &failure),
            Input::CallerGone(request) => self.caller_gone(now, &request),
            Input::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &Snapshot {
        &self.config
    }

    /// Returns the targets.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of requests without a final answer.
    #[must_use]
    pub fn admitted(&self) -> usize {
        self.admitted.len()
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the number of requests that wait in queues.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting
    }

    /// Returns the number of own adapter loads in flight.
    #[must_use]
    pub fn loading(&self) -> u32 {
        self.loading
    }

    /// Returns the demand for models since the last call.
    pub fn demand(&mut self) -> Vec<Demand> {
        let paces = self.paces.iter_mut();
        paces
            .filter_map(|(pool, pace)| match pool {
                Pool::Model(model) => pace.take(model),
                Pool::Service(_) => None,
            })
            .collect()
    }

    /// Sends a request to a target, or queues it, or refuses it.
    fn place(&mut self, now: Instant, request: &id::Request) {
        let Some(live) = self.admitted.get(request) else {
            return;
        };
        let waiting = self.queues.get(&live.pool);
        let first = waiting
            .and_then(Queue::first)
            .is_none_or(|(head, _)| live.rank < head.rank);
        let may_load = self.loading < self.limit.adapter_share(self.entries);
        let view = View {
            now,
            zone: &self.zone,
            limit: &self.limit,
            set: &self.config.set,
            entries: self.entries,
            may_load,
        };
        let selection = if first {
            self.fleet.select(live, view)
        } else {
            None
        };
        match selection {
            Some(selection) if self.misses(now + selection.predicted, live) => {
                self.refuse_late(now, request);
            }
            Some(selection) if self.outranked(now, selection.number, live.rank) => {
                self.enqueue(now, request);
                self.fill(now, selection.number);
            }
            Some(selection) => self.dispatch(now, request, selection),
            None => self.enqueue(now, request),
        }
    }

    /// Returns whether a request of a better rank waits for the numbered target.
    ///
    /// It may do so for another pool of the target, whose room came with time alone.
    fn outranked(&self, now: Instant, number: usize, rank: u8) -> bool {
        if self.waiting == 0 {
            return false;
        }
        let pools = self.fleet.get(number).map(Target::pools);
        let head = pools.and_then(|pools| self.head(now, number, &pools));
        let live = head.and_then(|(_, request)| self.admitted.get(&request));
        live.is_some_and(|live| live.rank < rank)
    }

    /// Returns whether a first token at `first_token` breaks a promise that is to be refused.
    fn misses(&self, first_token: Instant, live: &Admitted) -> bool {
        let patience_over = first_token > live.give_up;
        let promise_over = live.late == Late::Refuse && first_token > live.promise;
        let begun = live.attempts > 0;
        self.limit.admission && !begun && (patience_over || promise_over)
    }

    fn dispatch(&mut self, now: Instant, request: &id::Request, selection: Selection) {
        let Some(live) = self.admitted.get_mut(request) else {
            return;
        };
        let Some(target) = self.fleet.get_mut(selection.number) else {
            return;
        };
        self.next += 1;
        let attempt = self.next;
        let load = match (&live.pool, &live.adapter) {
            (Pool::Model(model), Some(adapter)) if !target.adapted(model, adapter, now) => {
                Some((model.clone(), adapter.clone()))
            }
            _ => None,
        };
        live.stage = Stage::Running(attempt);
        live.attempts += 1;
        target.health.sent(attempt);
        target.prompted(&live.prefixes);
        let silence = now + self.limit.silence.max(selection.predicted * 4);
        let first_byte_deadline = if live.idempotent {
            silence.min(live.give_up.max(now))
        } else {
            live.give_up
        };
        self.loading += u32::from(load.is_some());
        let flight = Flight {
            request: request.clone(),
            number: selection.number,
            began: now,
            loading: load.is_some(),
            slot: target.take(),
        };
        self.flights.insert(attempt, flight);
        let known = &target.known;
        let reason = if live.attempts > 1 {
            "retry after a failed attempt"
        } else {
            "least predicted time to the first token"
        };
        self.actions.push(Action::Log(Decision {
            request: request.clone(),
            pool: live.pool.clone(),
            choice: Choice::Dispatch(known.target.clone()),
            candidates: selection.candidates,
            reason,
        }));
        self.actions.push(Action::Dispatch(Dispatch {
            request: request.clone(),
            attempt,
            target: known.target.clone(),
            address: known.address,
            load,
            rank: live.rank,
            first_byte_deadline,
        }));
    }

    /// Ends an attempt: its slot is released, and the room used.
    fn land(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        judge: impl FnOnce(&mut crate::health::Health, Instant),
    ) -> Option<id::Request> {
        let flight = self.flights.remove(&attempt)?;
        self.loading -= u32::from(flight.loading);
        if let Some(target) = self.fleet.get_mut(flight.number) {
            target.release(flight.slot);
            judge(&mut target.health, flight.began);
        }
        self.fill(now, flight.number);
        Some(flight.request)
    }

    /// Gives queued requests to a target that may have room.
    fn fill(&mut self, now: Instant, number: usize) {
        let Some(target) = self.fleet.get(number) else {
            return;
        };
        let pools = target.pools();
        while let Some((pool, request)) = self.head(now, number, &pools) {
            let Some(live) = self.admitted.get(&request) else {
                return;
            };
            let Some(target) = self.fleet.get(number) else {
                return;
            };
            let predicted = target.predict(live, &self.zone, &self.limit, now);
            let late = self.misses(now + predicted, live);
            if late {
                self.refuse_late(now, &request);
                continue;
            }
            if let (Stage::Queued(turn), Some(queue)) = (live.stage, self.queues.get_mut(&pool)) {
                let removed = queue.serve(now, &place(live, turn));
                self.waiting -= usize::from(removed.is_some());
            }
            let selection = Selection {
                number,
                candidates: SmallVec::new(),
                predicted,
            };
            self.dispatch(now, &request, selection);
        }
    }

    /// Returns the queued request that the numbered target is to take next.
    ///
    /// By rank first, then the pool that was served least, then the deadline.
    fn head(&self, now: Instant, number: usize, pools: &[Pool]) -> Option<(Pool, id::Request)> {
        let view = View {
            now,
            zone: &self.zone,
            limit: &self.limit,
            set: &self.config.set,
            entries: self.entries,
            may_load: self.loading < self.limit.adapter_share(self.entries),
        };
        let heads = pools.iter().filter_map(|pool| {
            let queue = self.queues.get(pool)?;
            let mut waiting = queue.iter().take(LOOK);
            let (place, request) = waiting.find(|(_, request)| {
                let live = self.admitted.get(*request);
                live.is_some_and(|live| self.fleet.fits(number, live, view))
            })?;
            Some(((place.rank, queue.served, place.promise), pool, request))
        });
        let best = heads.min_by_key(|(score, _, _)| *score);
        best.map(|(_, pool, request)| (pool.clone(), request.clone()))
    }

    fn news(&mut self, now: Instant, event: Event) {
        match event {
            Event::Target(known) => {
                let drained = self.config.drained.contains(&known.target);
                if let Some(number) = self.fleet.update(*known, drained) {
                    self.fill(now, number);
                }
            }
            Event::Gone(name) => self.fleet.remove(&name),
            Event::Suspect(name) => {
                let number = self.fleet.number(&name);
                if let Some(target) = number.and_then(|number| self.fleet.get_mut(number)) {
                    target.suspect = true;
                }
            }
            Event::Config(snapshot) => {
                if snapshot.version > self.config.version {
                    self.fleet.drain(&snapshot.drained);
                    self.config = *snapshot;
                }
            }
            Event::Entries(peers) => self.entries = peers.len().max(1),
        }
    }

    fn caller_gone(&mut self, now: Instant, request: &id::Request) {
        self.forget(now, request);
    }

    fn tick(&mut self, now: Instant) {
        while let Some((due, _)) = self.timers.first() {
            if *due > now {
                break;
            }
            if let Some((due, request)) = self.timers.pop_first() {
                self.due(now, due, &request);
            }
        }
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let waiting: Vec<_> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in waiting {
            for number in self.fleet.members(&pool) {
                self.fill(now, number);
            }
        }
    }

    fn due(&mut self, now: Instant, due: Instant, request: &id::Request) {
        let Some(live) = self.admitted.get(request) else {
            return;
        };
        match live.stage {
            Stage::Delayed(until) if until == due && now < live.give_up => {
                self.place(now, request);
            }
            Stage::Queued(_) if due < live.give_up && live.attempts == 0 => {
                self.refuse_late(now, request);
            }
            Stage::Queued(_) | Stage::Delayed(_) if due >= live.give_up => {
                let message = "it waited as long as its patience allows";
                self.refuse(now, request, Reason::Late, message);
            }
            Stage::Running(_) if due >= live.give_up => {
                if let Some(live) = self.admitted.get_mut(request) {
                    live.verdict = live.verdict.worse(Verdict::MayHaveRun);
                }
                let message = "no answer came as long as its patience allows";
                self.refuse(now, request, Reason::Target, message);
            }
            _ => {}
        }
    }

    fn note(&mut self, request: &id::Request, choice: Choice, reason: &'static str) {
        if let Some(live) = self.admitted.get(request) {
            self.actions.push(Action::Log(Decision {
                request: request.clone(),
                pool: live.pool.clone(),
                choice,
                candidates: SmallVec::new(),
                reason,
            }));
        }
    }
}

fn place(live: &Admitted, turn: u64) -> Place {
    Place {
        rank: live.rank,
        promise: live.promise,
        turn,
    }
}

/// Predicts the least time that a request waits that has `before` others before it,
/// were all slots of its targets its pool's own.
fn wait_at_least(
    fleet: &Fleet,
    paces: &HashMap<Pool, Pace>,
    limit: &Limit,
    pool: &Pool,
    before: usize,
) -> Duration {
    let hold = paces.get(pool).map_or(Duration::ZERO, Pace::hold);
    let slots = u64::try_from(fleet.size(pool)).unwrap_or(1) * u64::from(limit.engine_slots);
    let before = u64::try_from(before).unwrap_or(u64::MAX).saturating_add(1);
    let micros = u64::try_from(hold.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(micros.saturating_mul(before) / slots.max(1))
}

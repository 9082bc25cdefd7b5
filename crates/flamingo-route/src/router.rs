//! The router's state machine, which takes a request from its arrival to its final answer.

mod admission;
mod attempt;
mod crash;
mod waiting;

use crate::action::{Action, AttemptId, Choice, Decision, Dispatch, Input};
use crate::budget::Budget;
use crate::demand::Stats;
use crate::fleet::{Context, Fleet, Selection};
use crate::limit::Limit;
use crate::queue::{Position, Queue};
use crate::request::{Admitted, Pool, Stage};
use crate::slot::Slot;
use crate::target::Target;
use flamingo_guard::observer::Observer;
use flamingo_wire::config::{LatePolicy, Snapshot};
use flamingo_wire::control::Demand;
use flamingo_wire::event::Event;
use flamingo_wire::fault::Reason;
use flamingo_wire::prompt::Evidence;
use flamingo_wire::{Verdict, id};
use smallvec::SmallVec;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Maximum number of queued requests of one pool that are examined for a free slot.
const MAX_QUEUE_SCAN: usize = 16;

/// An attempt in flight.
#[derive(Debug)]
struct InFlight {
    request: id::Request,
    index: usize,
    /// Incarnation of the target when the attempt was sent.
    incarnation: id::Incarnation,
    began: Instant,
    /// When the first byte of the response arrived; `None` before.
    begun_at: Option<Instant>,
    loading: bool,
    slot: Slot,
}

/// The router of one entry instance.
#[derive(Debug)]
pub struct Router {
    zone: id::Zone,
    limit: Limit,
    config: Snapshot,
    fleet: Fleet,
    admitted: HashMap<id::Request, Admitted>,
    in_flight: HashMap<AttemptId, InFlight>,
    queues: HashMap<Pool, Queue>,
    budgets: HashMap<Pool, Budget>,
    stats: HashMap<Pool, Stats>,
    timers: BTreeSet<(Instant, id::Request)>,
    crashes: Observer,
    entries: usize,
    loading: u32,
    queued: usize,
    last_id: u64,
    actions: Vec<Action>,
}

impl Router {
    /// Creates the router of an entry in `zone`; its random choices come from `seed`.
    #[must_use]
    pub fn new(zone: id::Zone, limit: Limit, seed: u64) -> Self {
        Self {
            zone,
            limit,
            config: Snapshot::default(),
            fleet: Fleet::new(seed),
            admitted: HashMap::new(),
            in_flight: HashMap::new(),
            queues: HashMap::new(),
            budgets: HashMap::new(),
            stats: HashMap::new(),
            timers: BTreeSet::new(),
            crashes: Observer::default(),
            entries: 1,
            loading: 0,
            queued: 0,
            last_id: 0,
            actions: Vec::new(),
        }
    }

    /// Processes one input and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match input {
            Input::Arrive(ask) => self.arrive(now, ask),
            Input::Update(event) => self.update(now, event),
            Input::Loaded(attempt) => self.loaded(now, attempt),
            Input::Leaving(attempt) => self.target_leaving(attempt),
            Input::Begun(attempt) => self.begun(now, attempt),
            Input::Ended(attempt) => self.ended(now, attempt),
            Input::Failed(failure) => self.failed(now, &failure),
            Input::Reachable(life) => self.crashes.record_reachable(&life),
            Input::Crashed(life) => {
                self.crashes.record_crash(&life, now);
            }
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

    /// Returns the known targets.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of admitted requests that have had no final answer.
    #[must_use]
    pub fn admitted(&self) -> usize {
        self.admitted.len()
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of requests that wait in the queues of all pools.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the number of adapter loads that this entry has in flight.
    #[must_use]
    pub fn loading(&self) -> u32 {
        self.loading
    }

    /// Returns and resets the demand for each model since the last call.
    pub fn demand(&mut self) -> Vec<Demand> {
        let stats = self.stats.iter_mut();
        stats
            .filter_map(|(pool, stats)| match pool {
                Pool::Model(model) => stats.take_demand(model),
                Pool::Service(_) => None,
            })
            .collect()
    }

    /// Returns the evidence against prompts that the leader does not know yet. The caller delivers it
    /// or gives it to the next leader.
    pub fn take_evidence(&mut self, leader: &str, now: Instant) -> Evidence {
        let evidence = self.crashes.take_evidence(leader, now);
        self.crashes.acknowledge(leader, &evidence);
        evidence
    }

    /// Sends a request to a target, queues it or refuses it.
    fn route(&mut self, now: Instant, request: &id::Request) {
        let Some(admitted) = self.admitted.get(request) else {
            return;
        };
        let queue = self.queues.get(&admitted.pool);
        let goes_first = queue
            .and_then(Queue::first)
            .is_none_or(|(head, _)| admitted.rank < head.rank);
        let may_load = self.loading < self.limit.adapter_share(self.entries);
        let context = Context {
            now,
            zone: &self.zone,
            limit: &self.limit,
            set: &self.config.set,
            entries: self.entries,
            may_load,
        };
        let selection = if goes_first {
            self.fleet.select(admitted, context)
        } else {
            None
        };
        match selection {
            Some(selection) if self.is_too_late(now + selection.predicted, admitted) => {
                self.refuse_late(now, request);
            }
            Some(selection) if self.outranked(now, selection.index, admitted.rank) => {
                self.enqueue(now, request);
                self.dispatch_queued(now, selection.index);
            }
            Some(selection) => self.dispatch(now, request, selection),
            None => self.enqueue(now, request),
        }
    }

    /// Returns whether a more urgent request than one of `rank` waits for the target at `index`.
    ///
    /// Such a request can wait in another pool of the target: the end of a cooldown makes
    /// the target available without an event that would serve its queues.
    fn outranked(&self, now: Instant, index: usize, rank: u8) -> bool {
        if self.queued == 0 {
            return false;
        }
        let pools = self.fleet.get(index).map(Target::pools);
        let head = pools.and_then(|pools| self.next_queued(now, index, &pools));
        let admitted = head.and_then(|(_, request)| self.admitted.get(&request));
        admitted.is_some_and(|admitted| admitted.rank < rank)
    }

    /// Returns whether a request that would get its first token at `first_token` must be
    /// refused: that is past its maximum wait, or past its objective and the profile says to
    /// refuse late requests. A request that was dispatched before is never refused here.
    fn is_too_late(&self, first_token: Instant, admitted: &Admitted) -> bool {
        let max_wait_exceeded = first_token > admitted.deadline;
        let objective_missed =
            admitted.late_policy == LatePolicy::Refuse && first_token > admitted.objective;
        let dispatched = admitted.attempts > 0;
        self.limit.admission && !dispatched && (max_wait_exceeded || objective_missed)
    }

    fn dispatch(&mut self, now: Instant, request: &id::Request, selection: Selection) {
        if self.is_quarantined(now, request) {
            let message = "requests like this one crash targets";
            return self.refuse(now, request, Reason::Target, message);
        }
        let Some(admitted) = self.admitted.get_mut(request) else {
            return;
        };
        let Some(target) = self.fleet.get_mut(selection.index) else {
            return;
        };
        self.last_id += 1;
        let attempt = self.last_id;
        let load = match (&admitted.pool, &admitted.adapter) {
            (Pool::Model(model), Some(adapter)) if !target.has_adapter(model, adapter, now) => {
                Some((model.clone(), adapter.clone()))
            }
            _ => None,
        };
        admitted.stage = Stage::Running(attempt);
        admitted.attempts += 1;
        target.health.record_sent(attempt);
        target.record_prompt(&admitted.prefixes);
        let timeout_at = now + self.limit.first_byte_timeout.max(selection.predicted * 4);
        let first_byte_deadline = if admitted.idempotent {
            timeout_at.min(admitted.deadline.max(now))
        } else {
            admitted.deadline
        };
        self.loading += u32::from(load.is_some());
        let in_flight = InFlight {
            request: request.clone(),
            index: selection.index,
            incarnation: target.announcement.incarnation,
            began: now,
            begun_at: None,
            loading: load.is_some(),
            slot: target.take_slot(),
        };
        self.in_flight.insert(attempt, in_flight);
        let announcement = &target.announcement;
        let reason = if admitted.attempts > 1 {
            "retry after a failed attempt"
        } else {
            "least predicted time to the first token"
        };
        self.actions.push(Action::Log(Decision {
            request: request.clone(),
            pool: admitted.pool.clone(),
            choice: Choice::Dispatch(announcement.target.clone()),
            candidates: selection.candidates,
            reason,
        }));
        self.actions.push(Action::Dispatch(Dispatch {
            request: request.clone(),
            attempt,
            target: announcement.target.clone(),
            address: announcement.address,
            load,
            rank: admitted.rank,
            first_byte_deadline,
        }));
    }

    /// Ends an attempt: releases its slot, updates the health of the target and sends queued
    /// requests to the target. Returns the request, or `None` if the attempt is unknown.
    fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        update_health: impl FnOnce(&mut crate::health::Health, Instant),
    ) -> Option<id::Request> {
        let in_flight = self.in_flight.remove(&attempt)?;
        self.loading -= u32::from(in_flight.loading);
        if let Some(target) = self.fleet.get_mut(in_flight.index) {
            target.release_slot(in_flight.slot);
            update_health(&mut target.health, in_flight.began);
        }
        self.dispatch_queued(now, in_flight.index);
        Some(in_flight.request)
    }

    /// Sends queued requests to the target at `index` as long as it can take them.
    fn dispatch_queued(&mut self, now: Instant, index: usize) {
        let Some(target) = self.fleet.get(index) else {
            return;
        };
        let pools = target.pools();
        while let Some((pool, request)) = self.next_queued(now, index, &pools) {
            let Some(admitted) = self.admitted.get(&request) else {
                return;
            };
            let Some(target) = self.fleet.get(index) else {
                return;
            };
            let predicted = target.predict(admitted, &self.zone, &self.limit, now);
            let late = self.is_too_late(now + predicted, admitted);
            if late {
                self.refuse_late(now, &request);
                continue;
            }
            if let (Stage::Queued(sequence), Some(queue)) =
                (admitted.stage, self.queues.get_mut(&pool))
            {
                let removed = queue.serve(now, &position(admitted, sequence));
                self.queued -= usize::from(removed.is_some());
            }
            let selection = Selection {
                index,
                candidates: SmallVec::new(),
                predicted,
            };
            self.dispatch(now, &request, selection);
        }
    }

    /// Returns the queued request that the target at `index` takes next, with its pool.
    ///
    /// Compares by rank, then by how few requests the pool has been served, then by objective.
    fn next_queued(
        &self,
        now: Instant,
        index: usize,
        pools: &[Pool],
    ) -> Option<(Pool, id::Request)> {
        let context = Context {
            now,
            zone: &self.zone,
            limit: &self.limit,
            set: &self.config.set,
            entries: self.entries,
            may_load: self.loading < self.limit.adapter_share(self.entries),
        };
        let heads = pools.iter().filter_map(|pool| {
            let queue = self.queues.get(pool)?;
            let mut waiting = queue.iter().take(MAX_QUEUE_SCAN);
            let (position, request) = waiting.find(|(_, request)| {
                let admitted = self.admitted.get(*request);
                admitted.is_some_and(|admitted| self.fleet.can_take(index, admitted, context))
            })?;
            Some((
                (position.rank, queue.served, position.objective),
                pool,
                request,
            ))
        });
        let best = heads.min_by_key(|(score, _, _)| *score);
        best.map(|(_, pool, request)| (pool.clone(), request.clone()))
    }

    fn update(&mut self, now: Instant, event: Event) {
        match event {
            Event::Target(announcement) => {
                self.record_restart(now, &announcement.target, announcement.incarnation);
                let drained = self.config.drained.contains(&announcement.target);
                if let Some(index) = self.fleet.update(*announcement, drained) {
                    self.dispatch_queued(now, index);
                }
            }
            Event::Gone(name) => self.fleet.remove(&name),
            Event::Suspect(name) => {
                let index = self.fleet.index_of(&name);
                if let Some(target) = index.and_then(|index| self.fleet.get_mut(index)) {
                    target.suspect = true;
                }
            }
            Event::Config(snapshot) => {
                if snapshot.version > self.config.version {
                    self.fleet.set_drained(&snapshot.drained);
                    self.config = *snapshot;
                }
            }
            Event::Quarantines(quarantines) => {
                self.crashes.adopt(&quarantines, now);
            }
            Event::LeaderHeard => {}
            Event::Entries(peers) => self.entries = peers.len().max(1),
        }
    }

    fn caller_gone(&mut self, now: Instant, request: &id::Request) {
        self.remove(now, request);
    }

    fn tick(&mut self, now: Instant) {
        self.crashes.remove_expired(now);
        while let Some((due, _)) = self.timers.first() {
            if *due > now {
                break;
            }
            if let Some((due, request)) = self.timers.pop_first() {
                self.timer_due(now, due, &request);
            }
        }
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let waiting: Vec<_> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in waiting {
            for index in self.fleet.pool_targets(&pool) {
                self.dispatch_queued(now, index);
            }
        }
    }

    fn timer_due(&mut self, now: Instant, due: Instant, request: &id::Request) {
        let Some(admitted) = self.admitted.get(request) else {
            return;
        };
        match admitted.stage {
            Stage::Delayed(until) if until == due && now < admitted.deadline => {
                self.route(now, request);
            }
            Stage::Queued(_) if due < admitted.deadline && admitted.attempts == 0 => {
                self.refuse_late(now, request);
            }
            Stage::Queued(_) | Stage::Delayed(_) if due >= admitted.deadline => {
                let message = "no target became available within the maximum wait";
                self.refuse(now, request, Reason::Late, message);
            }
            Stage::Running(_) if due >= admitted.deadline => {
                if let Some(admitted) = self.admitted.get_mut(request) {
                    admitted.verdict = admitted.verdict.worse(Verdict::MayHaveRun);
                }
                let message = "no response arrived within the maximum wait";
                self.refuse(now, request, Reason::Target, message);
            }
            _ => {}
        }
    }

    fn log_decision(&mut self, request: &id::Request, choice: Choice, reason: &'static str) {
        if let Some(admitted) = self.admitted.get(request) {
            self.actions.push(Action::Log(Decision {
                request: request.clone(),
                pool: admitted.pool.clone(),
                choice,
                candidates: SmallVec::new(),
                reason,
            }));
        }
    }
}

fn position(admitted: &Admitted, sequence: u64) -> Position {
    Position {
        rank: admitted.rank,
        objective: admitted.objective,
        sequence,
    }
}

/// Returns a lower bound for the queueing delay of a request behind `before` others, as if
/// the pool had all slots of its targets for itself.
fn min_queueing_delay(
    fleet: &Fleet,
    stats: &HashMap<Pool, Stats>,
    limit: &Limit,
    pool: &Pool,
    before: usize,
) -> Duration {
    let slot_time = stats
        .get(pool)
        .map_or(Duration::ZERO, Stats::mean_slot_time);
    let slots =
        u64::try_from(fleet.target_count(pool)).unwrap_or(1) * u64::from(limit.engine_slots);
    let before = u64::try_from(before).unwrap_or(u64::MAX).saturating_add(1);
    let micros = u64::try_from(slot_time.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(micros.saturating_mul(before) / slots.max(1))
}

//! The state machine: from a request's arrival to its final answer.

use crate::action::{Action, Attempt, Choice, Decision, Dispatch, Failure, Input};
use crate::budget::Budget;
use crate::demand::Pace;
use crate::fleet::{Fleet, Selection, View};
use crate::limit::Limit;
use crate::queue::{Place, Queue};
use crate::request::{Ask, Live, Pool, Stage};
use crate::slot::Slot;
use crate::target::Target;
use flamingo_wire::config::{Late, Profile, Snapshot};
use flamingo_wire::control::Demand;
use flamingo_wire::event::Event;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use smallvec::SmallVec;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Rank of a request that picks no profile.
const DEFAULT_RANK: u8 = 128;
/// Promise of a request that picks no profile.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_secs(10);
/// Patience of a request that picks no profile.
const DEFAULT_PATIENCE: Duration = Duration::from_mins(1);
/// First wait before a repeated retry; doubles with each attempt.
const BACKOFF: Duration = Duration::from_millis(25);
/// Time in which a broken answer must go on at another target.
const RESUME: Duration = Duration::from_secs(10);
/// Queued requests of one pool that are looked at for a target with room.
const LOOK: usize = 16;
/// Longest time that a caller is told to wait, in seconds.
const RETRY_AFTER_MAX: u64 = 60;

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
    live: HashMap<id::Request, Live>,
    flights: HashMap<Attempt, Flight>,
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
            live: HashMap::new(),
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
            Input::News(event) => self.news(now, event),
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
    pub fn live(&self) -> usize {
        self.live.len()
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

    fn arrive(&mut self, now: Instant, ask: Ask) {
        let request = ask.id.clone();
        let live = match self.admit(now, ask) {
            Ok(live) => live,
            Err(fault) => return self.actions.push(Action::Refuse { request, fault }),
        };
        let limit = &self.limit;
        let budget = self.budgets.entry(live.pool.clone());
        let budget = budget.or_insert_with(|| Budget::new(limit.retry_share, limit.retry_burst));
        budget.earn();
        self.paces.entry(live.pool.clone()).or_default().arrived();
        self.timers.insert((live.give_up, request.clone()));
        self.live.insert(request.clone(), live);
        self.place(now, &request);
    }

    fn admit(&self, now: Instant, ask: Ask) -> Result<Live, Fault> {
        let (pool, adapter) = self.resolve(ask.pool);
        if !self.fleet.serves(&pool) {
            return Err(self.absent(&pool));
        }
        let profile = self.profile(ask.profile.as_deref())?;
        let patience = match &pool {
            Pool::Service(name) if ask.profile.is_none() => {
                let service = self.config.set.service(name);
                service.map_or(profile.patience, |service| service.patience)
            }
            _ => profile.patience,
        };
        Ok(Live {
            pool,
            adapter,
            prefix: ask.prefix,
            idempotent: ask.idempotent,
            rank: profile.rank,
            promise: now + profile.first_token,
            give_up: now + patience,
            late: profile.late,
            verdict: Verdict::NotRun,
            attempts: 0,
            failed: SmallVec::new(),
            stage: Stage::Queued(0),
        })
    }

    fn resolve(&self, pool: Pool) -> (Pool, Option<id::Adapter>) {
        let Pool::Model(name) = pool else {
            return (pool, None);
        };
        let set = &self.config.set;
        if set.model(&name).is_none() {
            let owner = set.models.iter().find(|model| {
                let mut adapters = model.adapters.iter();
                adapters.any(|adapter| adapter.name == name)
            });
            if let Some(owner) = owner {
                return (Pool::Model(owner.name.clone()), Some(name));
            }
        }
        (Pool::Model(name), None)
    }

    fn absent(&self, pool: &Pool) -> Fault {
        let set = &self.config.set;
        let (known, help) = match pool {
            Pool::Model(name) => (set.model(name).is_some(), "see GET /v1/models"),
            Pool::Service(name) => (set.service(name).is_some(), "see flamingoctl target"),
        };
        let reason = if known || self.config.version == 0 {
            Reason::Overloaded
        } else {
            Reason::Unknown
        };
        Fault::not_run(reason, format!("no target serves {pool} now"), help).retry_after(1)
    }

    fn profile(&self, name: Option<&str>) -> Result<Profile, Fault> {
        let Some(name) = name else {
            return Ok(Profile {
                name: id::Profile::new(),
                rank: DEFAULT_RANK,
                first_token: DEFAULT_FIRST_TOKEN,
                between_tokens: DEFAULT_FIRST_TOKEN,
                patience: DEFAULT_PATIENCE,
                late: Late::Serve,
            });
        };
        let found = self.config.set.profile(name).cloned();
        found.ok_or_else(|| {
            let message = format!("no profile '{name}'");
            let help = "pick a profile of the set that is in force: flamingoctl config show";
            let fault = Fault::not_run(Reason::Unknown, message, help);
            if self.config.version == 0 {
                fault.retry_after(1)
            } else {
                fault
            }
        })
    }

    /// Sends a request to a target, or queues it, or refuses it.
    fn place(&mut self, now: Instant, request: &id::Request) {
        let Some(live) = self.live.get(request) else {
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
        let live = head.and_then(|(_, request)| self.live.get(&request));
        live.is_some_and(|live| live.rank < rank)
    }

    /// Returns whether a first token at `first_token` breaks a promise that is to be refused.
    fn misses(&self, first_token: Instant, live: &Live) -> bool {
        let patience_over = first_token > live.give_up;
        let promise_over = live.late == Late::Refuse && first_token > live.promise;
        let begun = live.attempts > 0;
        self.limit.admission && !begun && (patience_over || promise_over)
    }

    fn dispatch(&mut self, now: Instant, request: &id::Request, selection: Selection) {
        let Some(live) = self.live.get_mut(request) else {
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
        target.prompted(&live.prefix);
        let silence = now + self.limit.silence.max(selection.predicted * 4);
        let first_byte = if live.idempotent {
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
        self.actions.push(Action::Note(Decision {
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
            first_byte,
        }));
    }

    fn enqueue(&mut self, now: Instant, request: &id::Request) {
        self.next += 1;
        let turn = self.next;
        let Some(live) = self.live.get(request) else {
            return;
        };
        let place = place(live, turn);
        let queue = self.queues.entry(live.pool.clone()).or_default();
        let before = queue.before(&place);
        let wait = queue.wait(now, before);
        let wait = wait.max(wait_at_least(
            &self.fleet,
            &self.paces,
            &self.limit,
            &live.pool,
            before,
        ));
        if self.misses(now + wait, live) {
            return self.refuse_late(now, request);
        }
        if !self.make_room(now, request, &place) {
            return;
        }
        let Some(live) = self.live.get_mut(request) else {
            return;
        };
        live.stage = Stage::Queued(turn);
        let queue = self.queues.entry(live.pool.clone()).or_default();
        queue.push(now, place, request.clone());
        self.waiting += 1;
        if live.late == Late::Refuse && self.limit.admission {
            self.timers.insert((live.promise, request.clone()));
        }
        self.note(request, Choice::Queue, "no target has room");
    }

    /// Sheds the last of a full queue; returns whether `request` may join.
    fn make_room(&mut self, now: Instant, request: &id::Request, place: &Place) -> bool {
        let Some(pool) = self.live.get(request).map(|live| live.pool.clone()) else {
            return false;
        };
        let queue = self.queues.entry(pool).or_default();
        if queue.len() < self.limit.queue {
            return true;
        }
        let last = queue.last().map(|(last, loser)| (*last, loser.clone()));
        let message = "the queue is full of more urgent requests";
        match last {
            Some((last, loser)) if *place < last => {
                self.refuse(now, &loser, Reason::Overloaded, message);
                true
            }
            _ => {
                self.refuse(now, request, Reason::Overloaded, message);
                false
            }
        }
    }

    fn refuse_late(&mut self, now: Instant, request: &id::Request) {
        let message = "its promise can't be met now";
        self.refuse(now, request, Reason::Late, message);
    }

    /// Gives the final answer to a request that has no attempt in flight.
    fn refuse(&mut self, now: Instant, request: &id::Request, reason: Reason, message: &str) {
        let Some(live) = self.live.get(request) else {
            return;
        };
        let queue = self.queues.get(&live.pool);
        let wait = queue.map_or(Duration::ZERO, |queue| queue.wait(now, queue.len()));
        let seconds = wait.as_secs().clamp(1, RETRY_AFTER_MAX);
        let message = format!("{}: {message}", live.pool);
        let help = match live.verdict {
            Verdict::NotRun => "send it again after the given time",
            Verdict::MayHaveRun | Verdict::Ran => {
                "it may have run; send it again only if it is idempotent"
            }
        };
        let fault = Fault::not_run(reason, message, help).verdict(live.verdict);
        let fault = fault.retry_after(u32::try_from(seconds).unwrap_or(1));
        if let Some(pace) = self.paces.get_mut(&live.pool) {
            pace.refused();
        }
        self.note(request, Choice::Refuse, "no attempt can keep its promise");
        self.forget(now, request);
        self.actions.push(Action::Refuse {
            request: request.clone(),
            fault,
        });
    }

    /// Drops a request with all that it holds.
    fn forget(&mut self, now: Instant, request: &id::Request) {
        let Some(live) = self.live.remove(request) else {
            return;
        };
        self.timers.remove(&(live.give_up, request.clone()));
        self.timers.remove(&(live.promise, request.clone()));
        match live.stage {
            Stage::Queued(turn) => {
                if let Some(queue) = self.queues.get_mut(&live.pool) {
                    let removed = queue.remove(&place(&live, turn));
                    self.waiting -= usize::from(removed.is_some());
                }
            }
            Stage::Delayed(until) => {
                self.timers.remove(&(until, request.clone()));
            }
            Stage::Running(attempt) | Stage::Answering(attempt) => {
                self.actions.push(Action::Cancel {
                    request: request.clone(),
                    attempt,
                });
                self.land(now, attempt, |health, _| health.dropped(attempt));
            }
        }
    }

    /// Ends an attempt: its slot is released, and the room used.
    fn land(
        &mut self,
        now: Instant,
        attempt: Attempt,
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
            let Some(live) = self.live.get(&request) else {
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
                let live = self.live.get(*request);
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

    fn loaded(&mut self, now: Instant, attempt: Attempt) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        if !std::mem::take(&mut flight.loading) {
            return;
        }
        self.loading -= 1;
        let number = flight.number;
        let live = self.live.get(&flight.request);
        let adapter = live.and_then(|live| live.adapter.as_ref());
        if let (Some(target), Some(adapter)) = (self.fleet.get_mut(number), adapter) {
            target.loaded(adapter, now);
        }
        self.fill(now, number);
    }

    fn begun(&mut self, now: Instant, attempt: Attempt) {
        let Some(flight) = self.flights.get(&attempt) else {
            return;
        };
        let Some(live) = self.live.get_mut(&flight.request) else {
            return;
        };
        live.stage = Stage::Answering(attempt);
        self.timers.remove(&(live.give_up, flight.request.clone()));
        if now <= live.promise {
            self.paces.entry(live.pool.clone()).or_default().met();
        }
    }

    fn ended(&mut self, now: Instant, attempt: Attempt) {
        let mut held = Duration::ZERO;
        let request = self.land(now, attempt, |health, began| {
            held = now.saturating_duration_since(began);
            health.succeeded(attempt, began);
        });
        let Some(request) = request else {
            return;
        };
        if let Some(live) = self.live.remove(&request) {
            let pace = self.paces.entry(live.pool.clone()).or_default();
            pace.held(held);
            self.timers.remove(&(live.give_up, request.clone()));
            self.timers.remove(&(live.promise, request));
        }
    }

    fn failed(&mut self, now: Instant, failure: &Failure) {
        let Some(flight) = self.flights.get(&failure.attempt) else {
            return;
        };
        let request = flight.request.clone();
        let target = self.fleet.get(flight.number);
        let target = target.map(|target| target.known.target.clone());
        if let Some(live) = self.live.get_mut(&request) {
            live.verdict = live.verdict.worse(failure.verdict);
            live.failed.extend(target);
            if matches!(live.stage, Stage::Answering(_)) {
                // Its patience ended with the first byte; the rest of the answer has its own.
                live.give_up = now + RESUME;
                self.timers.insert((live.give_up, request.clone()));
            }
            // Its slot is about to go: nothing may cancel the attempt any more.
            live.stage = Stage::Delayed(now);
        }
        let limit = self.limit.clone();
        self.land(now, failure.attempt, |health, _| {
            if failure.blame {
                health.failed(failure.attempt, now, limit.cooldown, limit.cooldown_max);
            } else {
                health.dropped(failure.attempt);
            }
            if let Some(rest) = failure.rest {
                health.rest(now, now + rest);
            }
        });
        self.retry(now, &request, failure);
    }

    fn retry(&mut self, now: Instant, request: &id::Request, failure: &Failure) {
        let Some(live) = self.live.get(request) else {
            return;
        };
        let message = failure.message.as_str();
        let repeatable = live.idempotent || live.verdict == Verdict::NotRun;
        let allowed = repeatable && failure.resumable && live.attempts < self.limit.attempts;
        if !allowed || now >= live.give_up {
            return self.refuse(now, request, Reason::Target, message);
        }
        let attempts = live.attempts;
        let budget = self.budgets.get_mut(&live.pool);
        if !budget.is_some_and(Budget::spend) {
            let message = format!("{message}; the retry budget is spent");
            return self.refuse(now, request, Reason::Target, &message);
        }
        if attempts <= 1 {
            return self.place(now, request);
        }
        let backoff = BACKOFF * (1 << attempts.min(6));
        let part = u32::try_from(self.fleet.random() % 1_000).unwrap_or(0);
        let until = now + backoff / 2 + backoff * part / 2_000;
        if let Some(live) = self.live.get_mut(request) {
            live.stage = Stage::Delayed(until);
        }
        self.timers.insert((until, request.clone()));
        self.note(request, Choice::Delay, "backs off before another attempt");
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
        let Some(live) = self.live.get(request) else {
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
                if let Some(live) = self.live.get_mut(request) {
                    live.verdict = live.verdict.worse(Verdict::MayHaveRun);
                }
                let message = "no answer came as long as its patience allows";
                self.refuse(now, request, Reason::Target, message);
            }
            _ => {}
        }
    }

    fn note(&mut self, request: &id::Request, choice: Choice, reason: &'static str) {
        if let Some(live) = self.live.get(request) {
            self.actions.push(Action::Note(Decision {
                request: request.clone(),
                pool: live.pool.clone(),
                choice,
                candidates: SmallVec::new(),
                reason,
            }));
        }
    }
}

fn place(live: &Live, turn: u64) -> Place {
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

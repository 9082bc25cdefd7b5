//! State of all targets as one entry knows it: registrations, resident models, load, failures and
//! cached prompts.

mod state;

pub use state::{InFlight, Target};

use crate::availability::Availability;
use crate::prefill::Estimator;
use crate::speed::{Sample, Speed};
use crate::wire::{Limit, Load, Pause, Tolerance};
use flamingo_guard::observer::{Fate, Life};
use flamingo_place::rate::Rate;
use flamingo_wire::control::Push;
use flamingo_wire::id;
use flamingo_wire::target::{self, Registration, Residency};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time without a heartbeat after which a target is used only if there is no other; several
/// heartbeat intervals.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two messages of control instances from which on heartbeats may have been missed.
const MAX_PUSH_GAP: Duration = Duration::from_secs(2);
/// Longest time that a heartbeat of a target is on its way: the target may have restarted since.
pub(crate) const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(5);
/// Time without a heartbeat after which a target is removed.
const TARGET_RETENTION: Duration = Duration::from_secs(30);
/// Time for which what a target said is kept after the target was removed; the longest pause.
const AVAILABILITY_RETENTION: Duration = Duration::from_mins(10);
/// Time after a failure during which a target is used only if there is no other. The time
/// doubles with each further failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Largest number of doublings of `FAILURE_BACKOFF`.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Time during which a target that rejected a request for a missing model gets no further
/// requests for this model.
const MISSING_MODEL_BACKOFF: Duration = Duration::from_millis(300);
/// Time for which what one target says of being brittle holds for those of its service that this entry
/// has not heard meanwhile.
const TOLERANCE_RETENTION: Duration = Duration::from_secs(2);
/// Longest remaining time of a load that is believed, in milliseconds.
const MAX_LOAD_MS: u64 = 600_000;
/// Time after which a prompt's weight in the rate of sent prompt tokens has decayed to about a
/// third.
const PROMPT_RATE_WINDOW: Duration = Duration::from_secs(1);

/// The targets of all services.
#[derive(Debug, Default)]
pub struct Table {
    targets: BTreeMap<id::Target, Target>,
    /// Loads of all entries, as the leader published them; also of targets that are not known yet.
    loads: HashMap<id::Target, target::Load>,
    /// What removed targets said that still holds if they register again, and until when it is kept.
    departed: HashMap<(id::Target, id::Incarnation), (Availability, Instant)>,
    /// Rejections a second that the targets of a service bear, by the newest response of one that is
    /// brittle, and when that came.
    tolerances: HashMap<id::Service, (f64, Instant)>,
    speeds: HashMap<id::Service, Speed>,
    /// Speed of services without samples.
    assumed_speed: Speed,
    /// Rate of prompt tokens that this entry sends, by service and model. It serves as an
    /// estimate of what each other entry sends: between two reports, all entries see the same
    /// target as the least loaded one.
    prompt_rates: HashMap<id::Service, HashMap<id::Model, Rate>>,
    /// When a message of any control instance was last received.
    last_push: Option<Instant>,
    /// Since when messages of control instances have come without a gap.
    hears_control_since: Option<Instant>,
}

impl Table {
    /// Applies a message of a control instance. Returns the targets whose pooled connections are
    /// obsolete because the target restarted or has gone.
    pub fn apply(&mut self, now: Instant, push: &Push) -> Vec<id::Target> {
        let gap = self.last_push.map(|last| now.duration_since(last));
        if gap.is_none_or(|gap| gap > MAX_PUSH_GAP) {
            self.hears_control_since = Some(now);
        }
        self.last_push = Some(now);
        let mut obsolete = Vec::new();
        match push {
            Push::Targets(registrations) => {
                for registration in registrations {
                    obsolete.extend(self.apply_registration(now, registration));
                }
            }
            Push::Unchanged(ids) => {
                for id in ids {
                    if let Some(target) = self.targets.get_mut(id) {
                        target.last_heartbeat = now;
                        target.went_on_at = Some(now);
                    }
                }
            }
            Push::Residency(holdings) => {
                for holding in holdings {
                    self.apply_residency(holding, now);
                }
            }
            Push::Loads(loads) => {
                self.loads.clear();
                self.apply_loads(loads);
            }
            Push::LoadChanges(loads) => self.apply_loads(loads),
            _ => {}
        }
        obsolete
    }

    /// Applies total loads of all entries. The load of the other entries is the total minus what this
    /// entry last reported.
    fn apply_loads(&mut self, loads: &[target::Load]) {
        for load in loads {
            self.loads.insert(load.target.clone(), load.clone());
        }
        for (id, target) in &mut self.targets {
            let load = self.loads.get(id);
            let limit = load.and_then(|load| load.limit.as_ref());
            let incarnation = target.registration.incarnation;
            let limit = limit.filter(|limit| limit.incarnation == incarnation);
            target.shared_limit = limit.map(|limit| limit.per_s);
            let mut others = load.map_or_else(InFlight::default, |load| InFlight {
                running: load.running,
                backlog: load.backlog,
            });
            others.running = others.running.saturating_sub(target.reported.running);
            for (tokens, reported) in others.backlog.iter_mut().zip(target.reported.backlog) {
                *tokens = tokens.saturating_sub(reported);
            }
            target.others = others;
        }
    }

    /// Returns the requests of this entry for the report to the leader, and remembers them as
    /// reported.
    pub fn report_loads(&mut self) -> Vec<target::Load> {
        let mut loads = Vec::new();
        for target in self.targets.values_mut() {
            target.reported = target.own;
            if target.own != InFlight::default() {
                loads.push(target::Load {
                    target: target.registration.id.clone(),
                    running: target.own.running,
                    backlog: target.own.backlog,
                    adapters: target.adapters_in_use(),
                    limit: None,
                });
            }
        }
        loads
    }

    /// Applies a registration if it is newer than the known one. Returns the target if it
    /// restarted under the same name or has gone.
    fn apply_registration(
        &mut self,
        now: Instant,
        registration: &Registration,
    ) -> Option<id::Target> {
        let Some(known) = self.targets.get_mut(&registration.id) else {
            let mut target = Target::new(registration.clone(), now);
            let life = (registration.id.clone(), registration.incarnation);
            if let Some((availability, _)) = self.departed.remove(&life) {
                target.availability = availability;
            }
            self.targets.insert(registration.id.clone(), target);
            return None;
        };
        if !registration.supersedes(&known.registration) {
            return None;
        }
        if !registration.gone {
            known.last_heartbeat = now;
        }
        let restarted = known.registration.incarnation != registration.incarnation;
        if restarted {
            let replacement = Target::new(registration.clone(), now);
            let old = std::mem::replace(known, replacement);
            known.own = old.own;
            known.adapters_in_use = old.adapters_in_use;
            return Some(registration.id.clone());
        }
        // While a model is being unloaded, the target still lists it. The control instance that
        // gave the order reports which models requests may use.
        if !known.executing && known.registration.models != registration.models {
            known.models.clone_from(&registration.models);
        }
        known.registration = registration.clone();
        registration.gone.then(|| registration.id.clone())
    }

    fn apply_residency(&mut self, residency: &Residency, now: Instant) {
        if let Some(target) = self.targets.get_mut(&residency.target)
            && target.registration.incarnation == residency.incarnation
        {
            target.models.clone_from(&residency.models);
            target.executing = residency.executing;
            let loading = residency.loading.as_ref();
            target.loading = loading.map(|loading| {
                let remaining = Duration::from_millis(loading.remaining_ms.min(MAX_LOAD_MS));
                (loading.model.clone(), now + remaining)
            });
            target.missing_models.clear();
        }
    }

    /// Returns whether the target had no heartbeat for `HEARTBEAT_TIMEOUT` before the last
    /// message of a control instance. While no control instance is reachable, heartbeats can't
    /// arrive and none becomes overdue.
    #[must_use]
    pub fn heartbeat_overdue(&self, target: &Target) -> bool {
        self.last_push
            .is_some_and(|last_push| last_push > target.last_heartbeat + HEARTBEAT_TIMEOUT)
    }

    /// Returns what has become of an incarnation since `at`, by what control says of its target.
    #[must_use]
    pub fn fate(&self, (target, incarnation): &Life, at: Instant) -> Fate {
        let Some(target) = self.targets.get(target) else {
            return Fate::Ended;
        };
        let is_current = target.registration.incarnation == *incarnation;
        let went_on = |now: &Instant| *now > at + MAX_HEARTBEAT_DELAY;
        if !is_current || target.registration.gone || self.is_missed(target) {
            Fate::Ended
        } else if target.went_on_at.as_ref().is_some_and(went_on) {
            Fate::Alive
        } else {
            Fate::Unknown
        }
    }

    /// Returns whether the heartbeat of a target is overdue though this entry would have heard it.
    fn is_missed(&self, target: &Target) -> bool {
        let heard = self.hears_control_since.zip(self.last_push);
        let heard_long = heard.is_some_and(|(since, last)| last > since + HEARTBEAT_TIMEOUT);
        heard_long && self.heartbeat_overdue(target)
    }

    /// Removes targets that had no heartbeat for `TARGET_RETENTION` before the last message of a
    /// control instance. A target that has gone and has no request of this entry is removed
    /// `TARGET_RETENTION` after its last heartbeat, whether or not control is reachable. That a target
    /// leaves or has asked for a pause is kept for its return.
    pub fn remove_expired(&mut self, now: Instant) {
        let last_push = self.last_push.unwrap_or(now);
        let removed = self.targets.extract_if(.., |_, target| {
            let gone = target.registration.gone && target.own.running == 0;
            let overdue = last_push > target.last_heartbeat + TARGET_RETENTION;
            let gone_expired = gone && now > target.last_heartbeat + TARGET_RETENTION;
            gone_expired || overdue
        });
        let closed = removed.filter(|(_, target)| {
            target.availability.is_leaving() || target.availability.paused_until(now).is_some()
        });
        let kept = closed.map(|(id, target)| {
            let life = (id, target.registration.incarnation);
            (life, (target.availability, now + AVAILABILITY_RETENTION))
        });
        self.departed.extend(kept);
        self.departed.retain(|_, (_, until)| now < *until);
    }

    /// Returns the targets of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let targets = self.targets.values();
        targets.filter(move |target| target.registration.service == service)
    }

    /// Returns the target named `id`; `None` if it is unknown.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns the target named `id` for modification; `None` if it is unknown.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.targets.get_mut(id)
    }

    /// Returns the estimate of the prefill rate of a service's engines.
    #[must_use]
    pub fn prefill(&self, service: &str) -> Estimator {
        self.speed(service).prefill
    }

    /// Returns the estimate of the prefill rate of a service's engines, for adding samples.
    pub fn prefill_mut(&mut self, service: &str) -> &mut Estimator {
        &mut self.speed_mut(service).prefill
    }

    /// Returns the fitted speed of a service.
    #[must_use]
    pub fn speed(&self, service: &str) -> &Speed {
        self.speeds.get(service).unwrap_or(&self.assumed_speed)
    }

    /// Returns the fitted speeds of services that have samples.
    pub fn speeds(&self) -> impl Iterator<Item = (&id::Service, &Speed)> {
        self.speeds.iter()
    }

    fn speed_mut(&mut self, service: &str) -> &mut Speed {
        self.speeds.entry(service.to_owned()).or_default()
    }

    /// Adds the time to a first event, at a target without backlog, to the speed of the model and the
    /// target.
    pub fn observe_first_event(
        &mut self,
        service: &str,
        model: &str,
        id: &str,
        sample: &Sample,
        now: Instant,
    ) {
        let speed = self.speeds.entry(service.to_owned()).or_default();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let Some(prefill) = speed.prefill_of(model, sample) else {
            return;
        };
        let stretch = target.predict_ms(prefill.predicted_ms, now) / prefill.predicted_ms;
        if prefill.settled {
            target.observe_work(prefill.time_ms, prefill.predicted_ms, prefill.weight, now);
        }
        speed.observe(model, sample, &prefill, stretch);
    }

    /// Adds the time of a request of a plain service, of which `running` others ran at the target when it
    /// was sent. Requests that had to queue do not count.
    pub fn observe_request(
        &mut self,
        service: &str,
        id: &str,
        running: u32,
        time: Duration,
        now: Instant,
    ) {
        let speed = self.speeds.entry(service.to_owned()).or_default();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if running >= target.registration.slots.max(1) {
            return;
        }
        let request_ms = speed.request_ms();
        let stretch = target.predict_ms(request_ms, now) / request_ms;
        if let Some(ratio) = speed.observe_request(time, stretch) {
            target.observe_work(ratio * request_ms, request_ms, 1.0, now);
        }
    }

    /// Returns the rate at which this entry sends prompt tokens to a model, in tokens per
    /// millisecond.
    #[must_use]
    pub fn prompt_tokens_per_ms(&self, service: &str, model: &str, now: Instant) -> f64 {
        let rates = self.prompt_rates.get(service);
        let rate = rates.and_then(|rates| rates.get(model));
        rate.map_or(0.0, |rate| rate.at(now) / 1_000.0)
    }

    /// Counts the tokens of a prompt that this entry sends.
    pub fn record_prompt_tokens(&mut self, service: &str, model: &str, tokens: u32, now: Instant) {
        let rates = self.prompt_rates.entry(service.to_owned()).or_default();
        let rate = rates.entry(model.to_owned());
        let rate = rate.or_insert_with(|| Rate::new(PROMPT_RATE_WINDOW, now));
        rate.add(f64::from(tokens), now);
    }

    /// Returns all targets, including those that have gone and were not removed yet.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Records that a target was unreachable, disconnected during a response, or sent a broken one.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            // Requests that were sent before the first failure fail together with it.
            if !target.failed_recently(now) {
                target.failures += 1;
            }
            let doublings = target.failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
            target.avoid_until = Some(now + FAILURE_BACKOFF * 2u32.pow(doublings));
        }
    }

    /// Records that a target is silent. Others are preferred for a short time, or until it gives a
    /// sign of life.
    pub fn record_silence(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.silent_until = Some(now + FAILURE_BACKOFF);
        }
    }

    /// Records that something of a response has come, which ends the backoff after silence. The rest of
    /// the response may be broken.
    pub fn record_sign_of_life(&mut self, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.silent_until = None;
        }
    }

    /// Records that a whole response or the first event of a stream has come, which ends the backoff
    /// after failures and silence.
    pub fn record_response(&mut self, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.failures = 0;
            target.avoid_until = None;
            target.silent_until = None;
        }
    }

    /// Records that a target said in a response that it leaves. Returns whether that is new;
    /// a response of an earlier incarnation changes nothing.
    pub fn record_leaving(&mut self, id: &str, incarnation: id::Incarnation) -> bool {
        let target = self.targets.get_mut(id);
        let target = target.filter(|target| target.registration.incarnation == incarnation);
        target.is_some_and(|target| target.availability.record_leaving())
    }

    /// Records that a target asks for a pause. Returns when the pause ends; a response of an
    /// earlier incarnation changes nothing.
    pub fn record_pause(
        &mut self,
        id: &str,
        incarnation: id::Incarnation,
        pause: Pause,
        now: Instant,
    ) -> Option<Instant> {
        let target = self.targets.get_mut(id);
        let target = target.filter(|target| target.registration.incarnation == incarnation)?;
        Some(target.availability.record_pause(pause, now))
    }

    /// Records the limit that a target's response states, if any. Returns whether that is new; a
    /// response of an earlier incarnation changes nothing.
    pub fn record_limit(
        &mut self,
        id: &str,
        incarnation: id::Incarnation,
        limit: Option<Limit>,
    ) -> bool {
        let target = self.targets.get_mut(id);
        let target = target.filter(|target| target.registration.incarnation == incarnation);
        target.is_some_and(|target| target.availability.record_limit(limit))
    }

    /// Records the rejections that a target bears by its response, if that says that it is brittle. Returns
    /// whether that is new; a response of an earlier incarnation changes nothing.
    pub fn record_tolerance(
        &mut self,
        id: &str,
        incarnation: id::Incarnation,
        tolerance: Option<Tolerance>,
        now: Instant,
    ) -> bool {
        let target = self.targets.get_mut(id);
        let target = target.filter(|target| target.registration.incarnation == incarnation);
        let Some(target) = target else {
            return false;
        };
        target.answered_at = Some(now);
        let is_new = target.availability.record_tolerance(tolerance);
        match target.availability.tolerance() {
            Some(number) => {
                let service = target.registration.service.clone();
                self.tolerances.insert(service, (number, now));
            }
            None => target.places = None,
        }
        is_new
    }

    /// Returns the rejections a second that a target bears; `None` if it is not brittle. A target that
    /// has not answered lately is taken to be like the one of its service that has said so last.
    #[must_use]
    pub fn tolerance(&self, target: &Target, now: Instant) -> Option<f64> {
        let own = target.availability.tolerance();
        let is_lately = |at: Instant| now < at + TOLERANCE_RETENTION;
        if own.is_some() || target.answered_at.is_some_and(is_lately) {
            return own;
        }
        let of_service = self.tolerances.get(&target.registration.service);
        let of_service = of_service.filter(|(_, at)| is_lately(*at));
        of_service.map(|(number, _)| *number)
    }

    /// Records that a target rejected a request because `model` is missing.
    pub fn record_missing_model(&mut self, id: &str, model: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target
                .missing_models
                .insert(model.to_owned(), now + MISSING_MODEL_BACKOFF);
        }
    }

    /// Records that an adapter was loaded on a target.
    pub fn record_adapter(&mut self, id: &str, model: &str, adapter: &str) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.has_adapter(model, adapter) {
            return;
        }
        let resident = target
            .models
            .iter_mut()
            .find(|resident| resident.model == model);
        if let Some(resident) = resident {
            resident.adapters.push(adapter.to_owned());
        }
    }

    /// Records that a target rejected a request because an adapter is missing.
    pub fn record_missing_adapter(&mut self, id: &str, model: &str, adapter: &str) {
        let target = self.targets.get_mut(id);
        let resident = target.and_then(|target| {
            let mut models = target.models.iter_mut();
            models.find(|resident| resident.model == model)
        });
        if let Some(resident) = resident {
            resident.adapters.retain(|loaded| loaded != adapter);
        }
    }

    /// Records the load and pace that a target reported in a response: what exceeds the requests of this
    /// entry belongs to the other entries.
    pub fn record_load(&mut self, id: &str, load: Load, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            if let Some(pace) = load.pace {
                target.pace.report(pace, now);
            }
            target.stated_slots = Some(load.slots);
            let total = load.running + load.waiting;
            target.others.running = total.saturating_sub(target.own.running);
        }
    }
}

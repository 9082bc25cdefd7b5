//! Chooses the target of a request.
//!
//! The choice balances load that differs between targets and prompts, with many entries choosing
//! at the same time from delayed information. For each target the time to the first event is
//! predicted from the prompts that are queued there, the part of the prompt that the target has
//! cached, and the number of requests that share its decoding steps. The target is then drawn at
//! random with weights that equalize the predicted times, taking into account the load that other
//! entries have sent and not reported yet.

use crate::admission::{LATE_RANK, Timing};
use crate::departure::{self, Place, Reason, Terms};
use crate::round_trip::RoundTrips;
use crate::speed::Rates;
use crate::table::{Table, Target};
use crate::wire::RequestHead;
use flamingo_guard::observer::Life;
use flamingo_guard::share::Standing;
use flamingo_wire::config::LatePolicy;
use flamingo_wire::id;
use flamingo_wire::route::{Engine, Rank};
use flamingo_wire::target::Registration;
use smallvec::SmallVec;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Time for loading an adapter on a target, in milliseconds.
const ADAPTER_LOAD_MS: f64 = 12.0;

/// Least amount of work that is spread over the targets, in milliseconds. Targets whose predicted
/// times differ by less are nearly equal, and all of them take part in the draw.
const MIN_SPREAD_MS: f64 = 8.0;
/// Mean age of the information about requests of other entries, in milliseconds: entries report
/// to the leader every 100 ms, and the leader sends the sum to all entries every 100 ms.
const MEAN_REPORT_AGE_MS: f64 = 100.0;

/// What a target must provide for a request, and the state of the entry that chooses it.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service to which the request goes.
    pub service: &'a str,
    /// Engine settings of the service; `None` for a plain service.
    pub engine: Option<&'a Engine>,
    /// The request.
    pub request: &'a RequestHead,
    /// Rank of the request; 0 is the most urgent.
    pub rank: Rank,
    /// Zone of this entry.
    pub zone: &'a str,
    /// What leaving the zone is judged by; `None` if only the assumed round trip counts.
    pub leaving: Option<Terms<'a>>,
    /// Version of the software at which the stream began that the request goes on with; `None` if
    /// any version will do.
    pub software: Option<&'a str>,
    /// Incarnations of targets that are excluded because the request was already sent there or could
    /// not be.
    pub tried: &'a [Life],
    /// Whether a leader is known that can load an adapter.
    pub can_load_adapters: bool,
    /// Number of entries that send requests, including this one.
    pub entries: usize,
    /// Times for the admission decision; `None` if the request is admitted in any case.
    pub timing: Option<Timing>,
    /// Whether the request is to be answered late: by what its caller still waits for, not by its
    /// objective. Its rank is then the last one.
    pub late: bool,
}

impl Requirements<'_> {
    /// Returns whether a candidate is in the zone of this entry.
    fn is_home(&self, candidate: &Candidate) -> bool {
        candidate.zone == self.zone
    }

    /// Returns the additional round trip to a zone.
    fn round_trip(&self, zone: &str) -> Duration {
        let assumed = RoundTrips::default();
        let round_trips = self.leaving.map_or(&assumed, |terms| terms.round_trips);
        round_trips.additional(self.zone, zone)
    }

    /// Returns the cost of sending the request to a zone beyond the round trip, in milliseconds.
    fn offset_ms(&self, zone: &str) -> f64 {
        if zone == self.zone {
            return 0.0;
        }
        self.leaving.map_or(0.0, |terms| terms.cost_ms())
    }

    /// Returns whether requests are kept in the zone for a price.
    fn keeps_home(&self) -> bool {
        self.leaving.is_some_and(|terms| !terms.is_free())
    }

    /// Returns whether another zone can't be reached.
    fn is_cut_off(&self, zone: &str, now: Instant) -> bool {
        let terms = self.leaving.filter(|_| zone != self.zone);
        terms.is_some_and(|terms| terms.round_trips.is_unreachable(zone, now))
    }

    /// Returns whether a target runs the required version of the software.
    fn runs_software(&self, target: &Target) -> bool {
        self.software
            .is_none_or(|software| software == target.registration.software)
    }

    /// Returns whether the request was sent to a target, or could not be. A stream may go on at a target
    /// that has restarted since.
    fn was_tried(&self, target: &Target) -> bool {
        let Registration {
            id, incarnation, ..
        } = &target.registration;
        let mut tried = self.tried.iter();
        tried.any(|(tried, life)| tried == id && (self.software.is_none() || life == incarnation))
    }
}

/// Result of choosing a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to this target.
    Send(Candidate),
    /// The request is not admitted: this is the queueing delay at the chosen target.
    QueueTooLong(Duration),
    /// All targets that could take the request have asked for a pause, or there is no permit to send
    /// it to them or no room there; the first of them may be sent requests then.
    Paused(Instant),
    /// No target of the service accepts requests, or all of them are excluded.
    NoTarget,
    /// No target of the service has the model resident, but one is loading it and is expected to have it
    /// then.
    Loading(Instant),
    /// No target of the service has the model resident or is loading it.
    NoModel,
}

/// Figures from which the delays of a request at a target are predicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// Prefill rate of the model, in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Time of work at the target relative to others, at its usual pace.
    pub factor: f64,
    /// Time of work at the target now, relative to its usual one.
    pub pace: f64,
    /// Age of the target's last report of its pace; `None` if there was none.
    pub pace_age: Option<Duration>,
    /// Requests that run at the target.
    pub running: u32,
}

/// A target that is considered for a request, with the prediction for this request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: id::Target,
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Version of the target's software.
    pub software: id::Software,
    /// Zone of the target.
    pub zone: id::Zone,
    /// Rank that was predicted for, with which the request is sent and counted.
    pub rank: Rank,
    /// Why the request leaves the entry's zone; `None` if it doesn't.
    pub departure: Option<Reason>,
    /// Prompt tokens that the target does not have cached.
    pub uncached_tokens: u32,
    /// Tokens of other prompts that the target processes before this one.
    pub backlog_tokens: u32,
    /// Predicted time to the first event.
    pub first_event_delay: Duration,
    /// Part of `first_event_delay` that is due to `backlog_tokens`.
    pub queueing_delay: Duration,
    /// `uncached_tokens` at the prefill rate of the service, as they count in the backlog.
    pub work_tokens: u32,
    /// What the prediction is made from.
    pub basis: Basis,
    /// Whether the adapter must be loaded on the target first.
    pub needs_adapter_load: bool,
    /// Whether the target is used only if there is no other: it failed a short time ago, its
    /// heartbeat is overdue, or the adapter can't be loaded there now.
    pub last_resort: bool,
}

impl Candidate {
    /// Returns whether the request is sent to be answered late, behind the rank of its route.
    #[must_use]
    pub fn is_late(&self, route_rank: Rank) -> bool {
        self.rank != route_rank
    }

    /// Returns the incarnation of the target.
    #[must_use]
    pub fn life(&self) -> Life {
        (self.target.clone(), self.incarnation)
    }

    /// Returns whether the request is admitted at this target. A request without times is always
    /// admitted.
    fn admits(&self, required: &Requirements<'_>) -> bool {
        let timing = required.timing;
        if required.late {
            return timing.is_none_or(|timing| timing.admitted_late(self.first_event_delay));
        }
        let timing = timing.map(|timing| Timing {
            queueing_delay: self.queueing_delay,
            ..timing
        });
        timing.is_none_or(|timing| timing.admitted())
    }
}

/// Returns the key of the prompt cache for the request's model and adapter. Targets reuse cached
/// prompts only within the same model and adapter.
#[must_use]
pub fn cache_key(request: &RequestHead) -> u64 {
    let mut hasher = DefaultHasher::new();
    request.model.hash(&mut hasher);
    request.adapter.hash(&mut hasher);
    hasher.finish()
}

/// Returns the salt that decides between equally good targets. This is the identity of the
/// last but one prompt part, so that requests that share this part go to the same target, or
/// `count` if the prompt has fewer than two parts.
#[must_use]
pub fn salt(request: &RequestHead, count: u64) -> u64 {
    let shared = request.prompt_parts.iter().rev().nth(1);
    shared.map_or(count, |part| part.id)
}

/// Chooses a target. The work that other entries have sent and not reported yet is estimated and
/// spread over the targets so that the predicted times become equal. Each target is drawn with a
/// probability proportional to its share of that work (M. Dahlin, "Interpreting Stale Load
/// Information", 1999). `salt` determines the draw.
#[must_use]
pub fn choose(table: &Table, required: &Requirements<'_>, salt: u64, now: Instant) -> Choice {
    let mut any_target = false;
    let mut any_with_model = false;
    let mut any_open = false;
    let mut first_opening: Option<Instant> = None;
    let mut first_load: Option<Instant> = None;
    let mut candidates: Vec<Candidate> = Vec::new();
    let model = required.request.model.as_deref();
    let rates = table
        .speed(required.service)
        .rates(model.unwrap_or_default());
    let tokens_per_ms = rates.tokens_per_ms;
    let mut zones = Zones::new(required.zone);
    for target in table
        .of_service(required.service)
        .filter(|target| target.accepts_requests() && required.runs_software(target))
    {
        any_target = true;
        zones.add(&target.registration.zone);
        if let Some(model) = model.filter(|_| required.engine.is_some())
            && !target.has_model(model, now)
        {
            first_load = earlier(first_load, target.ready_at(model, now));
            continue;
        }
        any_with_model = true;
        zones.home_has_model |= target.registration.zone == required.zone;
        if let Some(until) = target.availability.closed_until(now) {
            first_opening = earlier(first_opening, Some(until));
            continue;
        }
        any_open = true;
        let takes_late = !target.is_full() && !target.is_brittle();
        if required.was_tried(target) || required.late && !takes_late {
            continue;
        }
        let mut candidate = predict(target, required, &rates, now);
        candidate.first_event_delay += required.round_trip(&candidate.zone);
        let load_impossible =
            candidate.needs_adapter_load && (target.executing || !required.can_load_adapters);
        candidate.last_resort =
            target.is_avoided(now) || table.heartbeat_overdue(target) || load_impossible;
        candidate.last_resort |= required.is_cut_off(&candidate.zone, now);
        candidates.push(candidate);
    }
    retain_preferred(&mut candidates, |candidate| !candidate.last_resort);
    remove_busy_foreign(&mut candidates, required);
    let home_remains = candidates
        .iter()
        .any(|candidate| required.is_home(candidate));
    if let Some(delay) = queue_beyond_share(&candidates, required) {
        return Choice::QueueTooLong(delay);
    }
    // A request must not be rejected at the drawn target while another target would admit it.
    retain_preferred(&mut candidates, |candidate| candidate.admits(required));
    let rate = model.map_or(0.0, |model| {
        table.prompt_tokens_per_ms(required.service, model, now)
    });
    let work_ms = unreported_tokens(rate, required.entries) / tokens_per_ms;
    set_departures(&mut candidates, required, &zones, home_remains);
    match draw(candidates, required, zones.known.len(), work_ms, salt) {
        Some(candidate) if candidate.admits(required) => Choice::Send(candidate),
        Some(candidate) => Choice::QueueTooLong(candidate.queueing_delay),
        None if any_target && !any_with_model => {
            first_load.map_or(Choice::NoModel, Choice::Loading)
        }
        None => match first_opening {
            Some(until) if !any_open => Choice::Paused(until),
            _ => Choice::NoTarget,
        },
    }
}

/// Returns the median queueing delay if it is too long for the share of the request's workspace. A bound
/// for each target would send all that is left of many entries to the few targets below it, and a mean
/// would refuse requests for one long queue.
fn queue_beyond_share(candidates: &[Candidate], required: &Requirements<'_>) -> Option<Duration> {
    let timing = required.timing.filter(|_| !required.late)?;
    if timing.has_begun || timing.standing == Standing::Unlimited {
        return None;
    }
    let delays = candidates.iter().map(|candidate| candidate.queueing_delay);
    let mut delays: SmallVec<[Duration; 16]> = delays.collect();
    let middle = delays.len().checked_sub(1)? / 2;
    let (_, median, _) = delays.select_nth_unstable(middle);
    let is_admitted = timing.standing.admits(*median, timing.objective);
    (!is_admitted).then_some(*median)
}

/// The zones of the targets of a service.
struct Zones<'a> {
    /// The home zone first, then the others.
    known: SmallVec<[&'a str; 4]>,
    /// Whether a target in the home zone accepts requests.
    home_accepts: bool,
    /// Whether such a target has the model.
    home_has_model: bool,
}

impl<'a> Zones<'a> {
    fn new(home: &'a str) -> Self {
        Self {
            known: SmallVec::from_iter([home]),
            home_accepts: false,
            home_has_model: false,
        }
    }

    /// Adds the zone of a target that accepts requests.
    fn add(&mut self, zone: &'a str) {
        self.home_accepts |= self.known[0] == zone;
        if !self.known.contains(&zone) {
            self.known.push(zone);
        }
    }

    /// Returns why requests leave if no home target is a candidate.
    fn reason_without_home(&self) -> Reason {
        if self.home_accepts && !self.home_has_model {
            Reason::NoHomeModel
        } else {
            Reason::NoHomeTarget
        }
    }
}

/// Removes targets of other zones that have no spare capacity, if there is one in the home zone.
fn remove_busy_foreign(candidates: &mut Vec<Candidate>, required: &Requirements<'_>) {
    let Some(terms) = required.leaving else {
        return;
    };
    if candidates
        .iter()
        .any(|candidate| required.is_home(candidate))
    {
        candidates.retain(|candidate| {
            required.is_home(candidate) || terms.has_spare_capacity(candidate.queueing_delay)
        });
    }
}

/// Sets for each candidate why the request would leave the zone. `home_remains` says whether there
/// was a candidate in the home zone before admission.
fn set_departures(
    candidates: &mut [Candidate],
    required: &Requirements<'_>,
    zones: &Zones<'_>,
    home_remains: bool,
) {
    let home_admits = candidates
        .iter()
        .any(|candidate| required.is_home(candidate));
    for candidate in candidates {
        if required.is_home(candidate) {
            continue;
        }
        let reason = if home_admits {
            let terms = required.leaving;
            terms.map_or(Reason::Cheap, |terms| terms.reason())
        } else if home_remains {
            Reason::HomeLate
        } else {
            zones.reason_without_home()
        };
        candidate.departure = Some(reason);
    }
}

/// As [`choose`]. Where the queues of all targets are too long for the request, `policy` decides whether
/// it is sent to be answered late.
#[must_use]
pub fn choose_by_policy(
    table: &Table,
    required: &Requirements<'_>,
    policy: LatePolicy,
    salt: u64,
    now: Instant,
) -> Choice {
    let choice = choose(table, required, salt, now);
    if policy == LatePolicy::Refuse || !matches!(choice, Choice::QueueTooLong(_)) {
        return choice;
    }
    let late = Requirements {
        rank: LATE_RANK,
        late: true,
        ..*required
    };
    match choose(table, &late, salt, now) {
        sent @ Choice::Send(_) => sent,
        _ => choice,
    }
}

/// Returns the earlier one of the times that are known.
fn earlier(first: Option<Instant>, second: Option<Instant>) -> Option<Instant> {
    first.into_iter().chain(second).min()
}

/// Keeps only the preferred candidates, unless there are none.
fn retain_preferred(candidates: &mut Vec<Candidate>, preferred: impl Fn(&Candidate) -> bool) {
    if candidates.iter().any(&preferred) {
        candidates.retain(preferred);
    }
}

/// Estimates the prompt tokens that the other entries have sent and not reported yet. Each of
/// them is assumed to send at the rate of this entry, which is `tokens_per_ms`.
fn unreported_tokens(tokens_per_ms: f64, entries: usize) -> f64 {
    let others = u32::try_from(entries.saturating_sub(1)).unwrap_or(u32::MAX);
    tokens_per_ms * MEAN_REPORT_AGE_MS * f64::from(others)
}

/// Draws a candidate with a probability proportional to its share when `work_ms` milliseconds of
/// work of the entries in `zones` zones are spread over the candidates. Returns `None` if there are
/// no candidates.
fn draw(
    candidates: Vec<Candidate>,
    required: &Requirements<'_>,
    zones: usize,
    work_ms: f64,
    salt: u64,
) -> Option<Candidate> {
    let places = candidates.iter().map(|candidate| Place {
        zone: &candidate.zone,
        delay_ms: candidate.first_event_delay.as_secs_f64() * 1_000.0,
        offset_ms: required.offset_ms(&candidate.zone),
    });
    let places: Vec<Place<'_>> = places.collect();
    // Without a price or a home target, entries of all zones send to the same targets.
    let has_home = places.iter().any(|place| place.zone == required.zone);
    let zones = if required.keeps_home() && has_home {
        zones
    } else {
        1
    };
    let shares = departure::spread(&places, required.zone, zones, work_ms.max(MIN_SPREAD_MS));
    let scored = candidates
        .into_iter()
        .zip(shares)
        .map(|(candidate, share)| {
            let fraction = hash_fraction(salt, &candidate.target);
            (share / -fraction.ln(), candidate)
        });
    let best = scored.max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, candidate)| candidate)
}

/// Returns a hash that is uniformly distributed between 0 and 1, for weighted rendezvous hashing:
/// requests with the same salt go to the same target as long as the shares allow it.
fn hash_fraction(salt: u64, target: &str) -> f64 {
    let bits = u32::try_from(salted_hash(salt, target) >> 32).unwrap_or(u32::MAX);
    (f64::from(bits) + 1.0) / (f64::from(u32::MAX) + 2.0)
}

/// Predicts the delays of a request at a target, from the rates of its model and the speed of the target.
fn predict(target: &Target, required: &Requirements<'_>, rates: &Rates, now: Instant) -> Candidate {
    let mut first_event_ms;
    let mut queueing_ms = 0.0;
    let mut uncached_tokens = 0;
    let mut work_tokens = 0.0;
    let mut backlog_tokens = 0;
    let mut needs_adapter_load = false;
    let running = target.own.running + target.others.running;
    if let Some(engine) = required.engine {
        let request = required.request;
        let cached = target.cached_tokens(cache_key(request), &request.prompt_parts, engine.tokens);
        uncached_tokens = request.prompt_tokens.saturating_sub(cached).max(1);
        work_tokens = f64::from(uncached_tokens) * rates.ratio;
        backlog_tokens =
            target.own.backlog_before(required.rank) + target.others.backlog_before(required.rank);
        let backlog_ms = f64::from(backlog_tokens) / rates.service_tokens_per_ms;
        let decoding_ms = f64::from(running) * rates.running_request_ms;
        let prompt_ms = f64::from(uncached_tokens) / rates.tokens_per_ms;
        queueing_ms = target.predict_ms(backlog_ms, now);
        first_event_ms = target.predict_ms(backlog_ms + prompt_ms + decoding_ms, now);
        let model = request.model.as_deref().unwrap_or_default();
        needs_adapter_load = request
            .adapter
            .as_deref()
            .is_some_and(|adapter| !target.has_adapter(model, adapter));
        if needs_adapter_load {
            first_event_ms += ADAPTER_LOAD_MS;
        }
    } else {
        first_event_ms = service_delay_ms(target, running, rates.request_ms, now);
    }
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturates"
    )]
    let work_tokens = work_tokens.ceil() as u32;
    Candidate {
        target: target.registration.id.clone(),
        incarnation: target.registration.incarnation,
        software: target.registration.software.clone(),
        zone: target.registration.zone.clone(),
        rank: required.rank,
        departure: None,
        uncached_tokens,
        backlog_tokens,
        first_event_delay: Duration::from_secs_f64(first_event_ms / 1_000.0),
        queueing_delay: Duration::from_secs_f64(queueing_ms / 1_000.0),
        work_tokens,
        basis: Basis {
            tokens_per_ms: rates.tokens_per_ms,
            factor: target.factor(),
            pace: target.pace.at(now),
            pace_age: target.pace.age(now),
            running,
        },
        needs_adapter_load,
        last_resort: false,
    }
}

/// Predicts by how much later than at an idle target that is as fast as others a request of a plain
/// service is answered, in milliseconds.
fn service_delay_ms(target: &Target, running: u32, request_ms: f64, now: Instant) -> f64 {
    let slots = f64::from(target.registration.slots.max(1));
    let running = f64::from(running);
    let rounds = (running / slots).floor();
    let delay_ms = target.predict_ms((rounds + 1.0) * request_ms, now) - request_ms;
    delay_ms.max(0.0) + running / slots
}

fn salted_hash(salt: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}

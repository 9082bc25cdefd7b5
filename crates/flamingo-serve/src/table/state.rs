//! State of one target as one entry knows it.

use crate::availability::Availability;
use crate::pace::Pace;
use crate::proxy::LATE_LOAD_TIMEOUT;
use crate::speed::Ratio;
use crate::wire::PromptPart;
use flamingo_guard::permits::Bucket;
use flamingo_guard::places::Places;
use flamingo_wire::id;
use flamingo_wire::prompt::PartId;
use flamingo_wire::route::Rank;
use flamingo_wire::target::{Backlog, RANKS, Registration, Resident};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// Fraction of a target's prompt cache that is assumed to hold the most recent prompts.
const USABLE_CACHE_FRACTION: f64 = 0.6;
/// Number of prompt parts remembered for one target; all are forgotten when it is exceeded.
const MAX_PROMPT_PARTS: usize = 4_096;

/// Number of samples that a target's being as fast as others counts for. Its models differ as well, and
/// their rates are fitted first.
const FACTOR_PRIOR: f64 = 10.0;
/// Number of samples that the factor of a target is taken from: it changes with the machine only.
const FACTOR_MEMORY: f64 = 500.0;
/// Largest factor between a sample and the fitted factor of its target that counts.
const MAX_FACTOR_STEP: f64 = 4.0;

/// Requests that were sent to a target and have not ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InFlight {
    /// Number of requests.
    pub running: u32,
    /// Uncached prompt tokens of those requests that have no first event yet, by rank. They count at the
    /// prefill rate of the service: a prompt of a model that is twice as fast counts half its tokens.
    pub backlog: Backlog,
}

impl InFlight {
    /// Returns the prompt tokens that the target processes before those of a new request with
    /// this rank: the backlog of the same rank and of more urgent ones.
    #[must_use]
    pub fn backlog_before(&self, rank: Rank) -> u32 {
        self.backlog[..=rank_index(rank)].iter().sum()
    }

    /// Adds the tokens of a prompt that waits for prefill.
    pub fn add_backlog(&mut self, rank: Rank, tokens: u32) {
        self.backlog[rank_index(rank)] += tokens;
    }

    /// Removes the tokens of a prompt whose prefill is complete or whose request has ended.
    pub fn remove_backlog(&mut self, rank: Rank, tokens: u32) {
        let waiting = &mut self.backlog[rank_index(rank)];
        *waiting = waiting.saturating_sub(tokens);
    }
}

/// Returns the index of a rank in a backlog. All ranks from `RANKS - 1` on share the last index.
fn rank_index(rank: Rank) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// Cache key of a model and adapter, with a prompt part.
type Key = (u64, PartId);

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Newest registration.
    pub registration: Registration,
    /// Models that requests may use, from the target's registration or from the control instance
    /// that gives orders to the target.
    pub models: Vec<Resident>,
    /// Requests of this entry.
    pub own: InFlight,
    /// Requests of the other entries, as last received from control.
    pub others: InFlight,
    /// Whether the target executes an order. It loads no adapter meanwhile.
    pub executing: bool,
    /// The model that the target is loading, and when it is expected to be resident.
    pub(super) loading: Option<(id::Model, Instant)>,
    /// Adapters in use by requests of this entry, with the number of these requests.
    pub(super) adapters_in_use: BTreeMap<(id::Model, id::Adapter), u32>,
    /// Requests of this entry, as last reported to the leader.
    pub(super) reported: InFlight,
    /// How long work takes now, relative to the usual time.
    pub pace: Pace,
    /// Time of work relative to other targets.
    factor: Ratio,
    /// What this incarnation of the target said in its responses.
    pub availability: Availability,
    /// Limit that other entries have heard from this incarnation, as the leader says.
    pub(super) shared_limit: Option<f64>,
    /// Permits that this entry takes while it reaches no leader.
    pub(super) bucket: Option<Bucket>,
    /// Places of this entry at the target; `None` if it has not been brittle.
    pub places: Option<Places>,
    /// Number of slots in the newest response that states it.
    pub(super) stated_slots: Option<u32>,
    /// When the target last answered a request of this entry.
    pub(super) answered_at: Option<Instant>,
    pub(super) last_heartbeat: Instant,
    /// When control last said that the target goes on unchanged. A registration says less: a new stream lists
    /// targets that may have ended.
    pub(super) went_on_at: Option<Instant>,
    /// Until when others are preferred after a failure.
    pub(super) avoid_until: Option<Instant>,
    /// Until when others are preferred because of silence.
    pub(super) silent_until: Option<Instant>,
    /// Consecutive failures since the last whole response.
    pub(super) failures: u32,
    /// Models that the target reported as missing, and until when they are not requested.
    pub(super) missing_models: HashMap<id::Model, Instant>,
    /// Uncached prompt tokens that this entry has sent to the target so far.
    sent_tokens: u64,
    /// Value of `sent_tokens` when each prompt part was last sent.
    parts: HashMap<Key, u64>,
}

impl Target {
    /// Returns a target that has registered at `now`.
    pub(super) fn new(registration: Registration, now: Instant) -> Self {
        Self {
            models: registration.models.clone(),
            registration,
            own: InFlight::default(),
            others: InFlight::default(),
            executing: false,
            loading: None,
            adapters_in_use: BTreeMap::new(),
            reported: InFlight::default(),
            pace: Pace::default(),
            factor: Ratio::default(),
            availability: Availability::default(),
            shared_limit: None,
            bucket: None,
            places: None,
            stated_slots: None,
            answered_at: None,
            last_heartbeat: now,
            went_on_at: None,
            avoid_until: None,
            silent_until: None,
            failures: 0,
            missing_models: HashMap::new(),
            sent_tokens: 0,
            parts: HashMap::new(),
        }
    }

    /// Returns when the last heartbeat of the target was received.
    #[must_use]
    pub fn last_heartbeat(&self) -> Instant {
        self.last_heartbeat
    }

    /// Returns whether the target accepts new requests: it is not gone, and neither its
    /// registration nor one of its responses says that it leaves.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        let leaving = self.registration.leaving || self.availability.is_leaving();
        !leaving && !self.registration.gone
    }

    /// Returns whether all slots of the target have requests, as far as is known.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.own.running + self.others.running >= self.registration.slots
    }

    /// Returns the number of slots, as the target or else its registration states it.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.stated_slots.unwrap_or(self.registration.slots)
    }

    /// Returns whether the target says that it is brittle.
    #[must_use]
    pub fn is_brittle(&self) -> bool {
        self.availability.tolerance().is_some()
    }

    /// Records that a request has ended that the target had taken: it leaves its place to the next one.
    pub fn leave_place(&mut self, now: Instant) {
        let Some(places) = &mut self.places else {
            return;
        };
        places.leave(now);
        if places.is_alone() {
            self.availability.record_room();
        }
    }

    /// Returns the requests a second that the target takes from all entries together, as it or the
    /// leader said last; `None` if there is no limit.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.availability.limit().or(self.shared_limit)
    }

    /// Takes a permit from this entry's part of the limit, where `entries` share it.
    ///
    /// # Errors
    ///
    /// Returns when the next permit can be there.
    pub fn try_take_permit(&mut self, entries: usize, now: Instant) -> Result<(), Instant> {
        let Some(limit) = self.limit() else {
            return Ok(());
        };
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let per_s = limit / f64::from(entries);
        let bucket = self.bucket.get_or_insert_with(|| Bucket::new(per_s, now));
        bucket.set_rate(per_s, now);
        bucket.try_take(now)
    }

    /// Empties this entry's part of the limit: the leader hands out permits again.
    pub fn drop_permits(&mut self) {
        self.bucket = None;
    }

    /// Returns whether `model` is resident and was not reported as missing a short time ago.
    #[must_use]
    pub fn has_model(&self, model: &str, now: Instant) -> bool {
        let missing = self
            .missing_models
            .get(model)
            .is_some_and(|until| now < *until);
        !missing && self.models.iter().any(|resident| resident.model == model)
    }

    /// Returns when `model`, which the target is loading, is expected to be resident; `None` if the
    /// target does not load it, or should have had it for `LATE_LOAD_TIMEOUT`.
    #[must_use]
    pub fn ready_at(&self, model: &str, now: Instant) -> Option<Instant> {
        let (loading, ready_at) = self.loading.as_ref()?;
        let under_way = loading == model && now < *ready_at + LATE_LOAD_TIMEOUT;
        under_way.then_some(*ready_at)
    }

    /// Returns whether `adapter` of `model` is loaded.
    #[must_use]
    pub fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        let resident = self.models.iter().find(|resident| resident.model == model);
        resident.is_some_and(|resident| resident.adapters.iter().any(|loaded| loaded == adapter))
    }

    /// Counts a request that uses an adapter.
    pub fn begin_adapter_use(&mut self, model: &str, adapter: &str) {
        let key = (model.to_owned(), adapter.to_owned());
        *self.adapters_in_use.entry(key).or_default() += 1;
    }

    /// Removes a request that was counted by [`Self::begin_adapter_use`].
    pub fn end_adapter_use(&mut self, model: &str, adapter: &str) {
        let key = (model.to_owned(), adapter.to_owned());
        let count = self.adapters_in_use.remove(&key).unwrap_or(0);
        if count > 1 {
            self.adapters_in_use.insert(key, count - 1);
        }
    }

    /// Returns the adapters in use by requests of this entry.
    pub(super) fn adapters_in_use(&self) -> Vec<Resident> {
        let adapters = self
            .adapters_in_use
            .keys()
            .map(|(model, adapter)| Resident {
                model: model.clone(),
                adapters: vec![adapter.clone()],
            });
        adapters.collect()
    }

    /// Returns the time of work at this target relative to others, at the usual pace.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.factor.relative(1.0, FACTOR_PRIOR)
    }

    /// Returns how long work takes that begins at `now` and takes `work_ms` milliseconds at other targets.
    #[must_use]
    pub fn predict_ms(&self, work_ms: f64, now: Instant) -> f64 {
        self.pace.stretch(work_ms * self.factor(), now)
    }

    /// Compares work that took `time_ms` milliseconds with the prediction of `work_ms` for other targets;
    /// `weight`, 0 to 1, is how far the sample tells the speed.
    pub(super) fn observe_work(&mut self, time_ms: f64, work_ms: f64, weight: f64, now: Instant) {
        let factor = self.factor();
        let usual_ms = work_ms * factor;
        let (least, most) = (1.0 / MAX_FACTOR_STEP, MAX_FACTOR_STEP);
        let without_pace = (time_ms / usual_ms).clamp(least, most);
        let with_pace = (time_ms / self.pace.stretch(usual_ms, now)).clamp(least, most);
        self.pace.observe(without_pace, weight, now);
        self.factor.add(factor * with_pace, weight, FACTOR_MEMORY);
    }

    /// Returns whether the target is avoided because of a recent failure or silence.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        let silent = self.silent_until.is_some_and(|until| now < until);
        silent || self.failed_recently(now)
    }

    /// Returns whether the target is avoided because of a recent failure.
    pub(super) fn failed_recently(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target has failed since its last whole response.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Estimates the number of tokens at the beginning of a prompt that the target has cached.
    /// `cache_key` identifies the model and adapter, and `capacity` is the size of the target's
    /// prompt cache in tokens.
    #[must_use]
    pub fn cached_tokens(&self, cache_key: u64, prompt_parts: &[PromptPart], capacity: u64) -> u32 {
        #[allow(clippy::cast_precision_loss, reason = "an estimate")]
        let usable = capacity as f64 * USABLE_CACHE_FRACTION;
        let mut cached = 0;
        for part in prompt_parts {
            let Some(sent_at) = self.parts.get(&(cache_key, part.id)) else {
                break;
            };
            #[allow(clippy::cast_precision_loss, reason = "an estimate")]
            let sent_since = (self.sent_tokens - sent_at) as f64;
            if sent_since > usable {
                break;
            }
            cached += part.tokens;
        }
        cached
    }

    /// Records that a prompt was sent to the target, which has to process `uncached_tokens` of
    /// it and then has all its parts cached.
    pub fn record_prompt(
        &mut self,
        cache_key: u64,
        prompt_parts: &[PromptPart],
        uncached_tokens: u32,
    ) {
        self.sent_tokens += u64::from(uncached_tokens);
        if self.parts.len() > MAX_PROMPT_PARTS {
            self.parts.clear();
        }
        for part in prompt_parts {
            self.parts.insert((cache_key, part.id), self.sent_tokens);
        }
    }
}

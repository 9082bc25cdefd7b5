//! The ledger of calls that must not run twice, by the caller's idempotency key.
//!
//! A call is recorded before it is dispatched, with the one attempt that may dispatch it.
//! For [`ANSWER_RETENTION`] a resend gets the recorded answer. After that the record is
//! reduced to a tombstone, which refuses a resend until [`TOMBSTONE_RETENTION`] after the
//! first attempt. A key that is a UUID of version 7 contains its creation time, and is
//! refused once that is older than [`ANSWER_RETENTION`], with or without a tombstone. No
//! record is dropped early to make room: a full ledger refuses new keys.

use flamingo_wire::control::{Answer, Call, Grant, Reply};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, SystemTime};

/// Time from the first attempt for which the answer is kept.
pub const ANSWER_RETENTION: Duration = Duration::from_hours(24);
/// Time from the first attempt for which a resend is recognised.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_hours(24 * 30);
/// Largest body that is recorded, in bytes; for a larger one only its digest.
pub const MAX_BODY_BYTES: usize = 16 * 1024;
/// Largest lead of the time in a key over the leader's clock.
const MAX_CLOCK_LEAD: Duration = Duration::from_mins(10);
/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;
/// Maximum number of records with their answers.
pub const MAX_RECORDS: usize = 100_000;
/// Maximum size of all recorded bodies together, in bytes.
pub const MAX_BODIES_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of records and tombstones together.
pub const MAX_RECORDS_AND_TOMBSTONES: usize = 1_000_000;
/// Seconds after which a caller may retry when the ledger is full.
const RETRY_AFTER_S: u32 = 60;

/// First 16 bytes of the SHA-256 of service and key, which identify a call.
type CallId = u128;

/// Progress of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum Stage {
    /// The recorded attempt may have been dispatched.
    Open,
    /// The recorded attempt ended with this answer.
    Ended(Answer),
}

/// Record of one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Record {
    digest: Vec<u8>,
    request: id::Request,
    at: SystemTime,
    stage: Stage,
    /// Digest of an answer's body that was not recorded because of its size.
    body: Option<[u8; 32]>,
}

/// What is kept of a call after its answer was dropped.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Tombstone {
    verdict: Verdict,
}

/// When a record is reduced to a tombstone, or a tombstone is dropped.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Due {
    at: SystemTime,
    #[serde(rename = "print")]
    call_id: CallId,
}

/// The ledger of calls.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Calls {
    records: BTreeMap<CallId, Record>,
    #[serde(rename = "marks")]
    tombstones: BTreeMap<CallId, Tombstone>,
    shrink: VecDeque<Due>,
    forget: VecDeque<Due>,
    bodies: usize,
}

impl Calls {
    /// Returns the number of records that still have their answer.
    #[must_use]
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of tombstones.
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Records that an attempt wants to dispatch a call, and returns whether it may.
    ///
    /// The reply grants the dispatch, says that another attempt is pending, returns the
    /// recorded answer, or refuses the key.
    pub fn begin(&mut self, call: Call, now: SystemTime) -> Reply {
        if call.key.is_empty() || call.key.len() > MAX_KEY_BYTES {
            let message = format!(
                "a key has 1 to {MAX_KEY_BYTES} bytes, not {}",
                call.key.len()
            );
            return refuse(Reason::Invalid, message, "choose another key");
        }
        let call_id = call_id(&call.service, &call.key);
        if let Some(record) = self.records.get_mut(&call_id) {
            self.bodies -= record.size();
            let reply = record.reply_to_attempt(call);
            self.bodies += record.size();
            return reply;
        }
        if let Some(tombstone) = self.tombstones.get(&call_id) {
            return expired(tombstone.verdict);
        }
        if let Some(at) = key_time(&call.key) {
            if at + ANSWER_RETENTION < now {
                return expired(Verdict::MayHaveRun);
            }
            if at > now + MAX_CLOCK_LEAD {
                let help = "correct the clock that makes the keys";
                return refuse(Reason::Invalid, "the key's own time is in the future", help);
            }
        }
        if self.full() {
            let message = "the call ledger is full";
            let help = "retry later, or send the call without a key";
            let fault = Fault::not_run(Reason::Overloaded, message, help);
            return Reply::Refused(fault.retry_after(RETRY_AFTER_S));
        }
        let record = Record {
            digest: call.digest,
            request: call.request,
            at: now,
            stage: Stage::Open,
            body: None,
        };
        self.insert(call_id, record);
        Reply::Grant(Grant::Dispatch)
    }

    fn insert(&mut self, call_id: CallId, record: Record) {
        let at = record.at + ANSWER_RETENTION;
        self.records.insert(call_id, record);
        self.shrink.push_back(Due { at, call_id });
    }

    /// Records that an entry gave up a request before the ledger recorded its begin.
    ///
    /// The begin may still arrive, and must then not take the key from the caller's resend.
    fn record_given_up(&mut self, call_id: CallId, answer: Answer, now: SystemTime) -> Reply {
        let expired = key_time(&answer.key).is_some_and(|at| at + ANSWER_RETENTION < now);
        if expired || self.tombstones.contains_key(&call_id) || self.full() {
            return Reply::Acknowledged;
        }
        let record = Record {
            // The digest is not known yet; the begin of the next request sets it.
            digest: Vec::new(),
            request: answer.request.clone(),
            at: now,
            stage: Stage::Ended(answer),
            body: None,
        };
        self.insert(call_id, record);
        Reply::Acknowledged
    }

    fn full(&self) -> bool {
        self.records.len() >= MAX_RECORDS
            || self.tombstones.len() + self.records.len() >= MAX_RECORDS_AND_TOMBSTONES
    }

    /// Records the answer of the attempt that was allowed to dispatch a call.
    pub fn finish(&mut self, mut answer: Answer, now: SystemTime) -> Reply {
        let call_id = call_id(&answer.service, &answer.key);
        if answer.verdict == Verdict::NotRun && !self.records.contains_key(&call_id) {
            return self.record_given_up(call_id, answer, now);
        }
        let room = MAX_BODIES_BYTES - self.bodies.min(MAX_BODIES_BYTES);
        let Some(record) = self.records.get_mut(&call_id) else {
            let help = "the call was never begun, or its record has expired";
            return refuse(Reason::Unknown, "no such call in the ledger", help);
        };
        if record.request != answer.request {
            let message = format!("attempt '{}' was not the one dispatched", answer.request);
            return refuse(Reason::Conflict, message, "drop the answer");
        }
        // A late answer replaces "may have run" if the call did run; otherwise the first
        // answer stays.
        let replaces = match &record.stage {
            Stage::Open => true,
            Stage::Ended(kept) => {
                kept.verdict == Verdict::MayHaveRun && answer.verdict == Verdict::Ran
            }
        };
        if !replaces {
            return Reply::Acknowledged;
        }
        if answer.body.as_ref().map_or(0, Vec::len) > MAX_BODY_BYTES.min(room) {
            let body = answer.body.take().unwrap_or_default();
            record.body = Some(Sha256::digest(body).into());
        }
        self.bodies -= record.size();
        record.stage = Stage::Ended(answer);
        self.bodies += record.size();
        Reply::Acknowledged
    }

    /// Reduces to tombstones the records that are due at `now`, and drops the tombstones
    /// that are due.
    pub fn expire(&mut self, now: SystemTime) {
        while let Some(due) = due(&mut self.shrink, now) {
            let Some(record) = self.records.remove(&due.call_id) else {
                continue;
            };
            let verdict = record.verdict();
            self.bodies -= record.size();
            self.tombstones.insert(due.call_id, Tombstone { verdict });
            self.forget.push_back(Due {
                at: record.at + TOMBSTONE_RETENTION,
                call_id: due.call_id,
            });
        }
        while let Some(due) = due(&mut self.forget, now) {
            self.tombstones.remove(&due.call_id);
        }
    }
}

impl Record {
    /// Replies to another attempt of a recorded call, or to a resend of the same attempt.
    fn reply_to_attempt(&mut self, call: Call) -> Reply {
        if !self.digest.is_empty() && self.digest != call.digest {
            let message = "the key was used for another request";
            return refuse(Reason::Reused, message, "choose another key");
        }
        match &self.stage {
            Stage::Open if self.request == call.request => Reply::Grant(Grant::Dispatch),
            Stage::Open => Reply::Grant(Grant::Pending),
            Stage::Ended(answer)
                if answer.verdict == Verdict::NotRun && self.request != call.request =>
            {
                self.request = call.request;
                self.digest = call.digest;
                self.stage = Stage::Open;
                Reply::Grant(Grant::Dispatch)
            }
            Stage::Ended(answer) => Reply::Grant(Grant::Answered(answer.clone())),
        }
    }

    /// Returns the size of the recorded body, in bytes.
    fn size(&self) -> usize {
        match &self.stage {
            Stage::Open => 0,
            Stage::Ended(answer) => answer.body.as_ref().map_or(0, Vec::len),
        }
    }

    fn verdict(&self) -> Verdict {
        match &self.stage {
            Stage::Open => Verdict::MayHaveRun,
            Stage::Ended(answer) => answer.verdict,
        }
    }
}

/// Removes and returns the front of a queue, if it is due.
fn due(queue: &mut VecDeque<Due>, now: SystemTime) -> Option<Due> {
    let front = queue.front()?;
    if front.at > now {
        return None;
    }
    queue.pop_front()
}

fn call_id(service: &str, key: &str) -> CallId {
    let mut hasher = Sha256::new();
    hasher.update((service.len() as u64).to_le_bytes());
    hasher.update(service);
    hasher.update(key);
    let digest: [u8; 32] = hasher.finalize().into();
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    CallId::from_le_bytes(half)
}

/// Returns the creation time in a key that is a UUID of version 7 (RFC 9562, section 5.7).
fn key_time(key: &str) -> Option<SystemTime> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23]
        .iter()
        .all(|at| bytes.get(*at) == Some(&b'-'));
    if bytes.len() != 36 || !dashes || bytes[14] != b'7' || !key.is_ascii() {
        return None;
    }
    let hex = format!("{}{}", &key[..8], &key[9..13]);
    let millis = u64::from_str_radix(&hex, 16).ok()?;
    SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(millis))
}

fn expired(verdict: Verdict) -> Reply {
    let message = "the key is too old: its answer is no longer kept";
    let help = "look at the service for what the first call did; use a new key for a new call";
    Reply::Refused(Fault::not_run(Reason::Reused, message, help).verdict(verdict))
}

fn refuse(reason: Reason, message: impl Into<String>, help: &str) -> Reply {
    Reply::Refused(Fault::not_run(reason, message, help))
}

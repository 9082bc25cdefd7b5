//! The ledger of non-idempotent calls.
//!
//! A call is recorded before it is dispatched, and names the one attempt that
//! may dispatch it. For [`ANSWER`] a resend gets the recorded answer. After
//! that the record shrinks to a mark, which refuses a resend for [`MARK`]. A
//! key that is a UUID of version 7 carries its own time, and is refused by it
//! once it is older than [`ANSWER`], mark or no mark. No record is dropped early
//! to make room: a full ledger refuses new keys.

use flamingo_wire::control::{Answer, Call, Grant, Reply};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, SystemTime};

/// Time from the first attempt for which the answer is kept.
pub const ANSWER: Duration = Duration::from_hours(24);
/// Time from the first attempt for which a resend is recognised.
pub const MARK: Duration = Duration::from_hours(24 * 30);
/// Largest body that is recorded, in bytes; of a larger one only its digest.
pub const BODY: usize = 16 * 1024;
/// Time by which a key's own time may be ahead of the leader's clock.
const AHEAD: Duration = Duration::from_mins(10);
/// Longest key, in bytes.
pub const KEY: usize = 255;
/// Whole records at most.
pub const RECORDS: usize = 100_000;
/// Bytes of all recorded bodies at most.
pub const BODIES: usize = 32 * 1024 * 1024;
/// Marks at most.
pub const MARKS: usize = 1_000_000;
/// Seconds after which a caller may come back to a full ledger.
const FULL: u32 = 60;

/// First half of the SHA-256 of service and key.
type Print = u128;

/// Where a call stands.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum Stage {
    /// The named attempt may have been dispatched.
    Open,
    /// It ended.
    Ended(Answer),
}

/// One call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Record {
    digest: Vec<u8>,
    request: id::Request,
    at: SystemTime,
    stage: Stage,
    /// Digest of a body that was too large to record.
    body: Option<[u8; 32]>,
}

/// What stays of an old call.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Mark {
    verdict: Verdict,
}

/// When a record or mark is due to shrink or go.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Due {
    at: SystemTime,
    print: Print,
}

/// The ledger.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Calls {
    records: BTreeMap<Print, Record>,
    marks: BTreeMap<Print, Mark>,
    shrink: VecDeque<Due>,
    forget: VecDeque<Due>,
    bodies: usize,
}

impl Calls {
    /// Returns how many whole records are kept.
    #[must_use]
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns how many marks are kept.
    #[must_use]
    pub fn marks(&self) -> usize {
        self.marks.len()
    }

    /// Records that a call is about to be dispatched, if it is the first.
    pub fn begin(&mut self, call: Call, now: SystemTime) -> Reply {
        if call.key.is_empty() || call.key.len() > KEY {
            let message = format!("a key has 1 to {KEY} bytes, not {}", call.key.len());
            return refuse(Reason::Invalid, message, "choose another key");
        }
        let print = print(&call.service, &call.key);
        if let Some(record) = self.records.get_mut(&print) {
            self.bodies -= record.size();
            let reply = record.again(call);
            self.bodies += record.size();
            return reply;
        }
        if let Some(mark) = self.marks.get(&print) {
            return expired(mark.verdict);
        }
        if let Some(at) = stamp(&call.key) {
            if at + ANSWER < now {
                return expired(Verdict::MayHaveRun);
            }
            if at > now + AHEAD {
                let help = "correct the clock that makes the keys";
                return refuse(Reason::Invalid, "the key's own time is in the future", help);
            }
        }
        if self.full() {
            let message = "the call ledger is full";
            let help = "come back later, or send the call without a key";
            let fault = Fault::not_run(Reason::Overloaded, message, help);
            return Reply::Refused(fault.retry_after(FULL));
        }
        let record = Record {
            digest: call.digest,
            request: call.request,
            at: now,
            stage: Stage::Open,
            body: None,
        };
        self.insert(print, record);
        Reply::Grant(Grant::Dispatch)
    }

    fn insert(&mut self, print: Print, record: Record) {
        let at = record.at + ANSWER;
        self.records.insert(print, record);
        self.shrink.push_back(Due { at, print });
    }

    /// Notes that a request was given up on before its begin came: the begin
    /// may still come, and must not keep the key from the caller's resend.
    fn forestall(&mut self, print: Print, answer: Answer, now: SystemTime) -> Reply {
        let old = stamp(&answer.key).is_some_and(|at| at + ANSWER < now);
        if old || self.marks.contains_key(&print) || self.full() {
            return Reply::Acknowledged;
        }
        let record = Record {
            // Not known yet: the first begin of another request brings it.
            digest: Vec::new(),
            request: answer.request.clone(),
            at: now,
            stage: Stage::Ended(answer),
            body: None,
        };
        self.insert(print, record);
        Reply::Acknowledged
    }

    fn full(&self) -> bool {
        self.records.len() >= RECORDS || self.marks.len() + self.records.len() >= MARKS
    }

    /// Records how a call ended.
    pub fn finish(&mut self, mut answer: Answer, now: SystemTime) -> Reply {
        let print = print(&answer.service, &answer.key);
        if answer.verdict == Verdict::NotRun && !self.records.contains_key(&print) {
            return self.forestall(print, answer, now);
        }
        let room = BODIES - self.bodies.min(BODIES);
        let Some(record) = self.records.get_mut(&print) else {
            let help = "the call was never begun, or its record has expired";
            return refuse(Reason::Unknown, "no such call in the ledger", help);
        };
        if record.request != answer.request {
            let message = format!("attempt '{}' was not the one dispatched", answer.request);
            return refuse(Reason::Conflict, message, "drop the answer");
        }
        // A late answer says more than "may have run"; nothing says more than an answer.
        let better = match &record.stage {
            Stage::Open => true,
            Stage::Ended(kept) => {
                kept.verdict == Verdict::MayHaveRun && answer.verdict == Verdict::Ran
            }
        };
        if !better {
            return Reply::Acknowledged;
        }
        if answer.body.as_ref().map_or(0, Vec::len) > BODY.min(room) {
            let body = answer.body.take().unwrap_or_default();
            record.body = Some(Sha256::digest(body).into());
        }
        self.bodies -= record.size();
        record.stage = Stage::Ended(answer);
        self.bodies += record.size();
        Reply::Acknowledged
    }

    /// Shrinks and drops what is due at `now`.
    pub fn expire(&mut self, now: SystemTime) {
        while let Some(due) = due(&mut self.shrink, now) {
            let Some(record) = self.records.remove(&due.print) else {
                continue;
            };
            let verdict = record.verdict();
            self.bodies -= record.size();
            self.marks.insert(due.print, Mark { verdict });
            self.forget.push_back(Due {
                at: record.at + MARK,
                print: due.print,
            });
        }
        while let Some(due) = due(&mut self.forget, now) {
            self.marks.remove(&due.print);
        }
    }
}

impl Record {
    /// Answers another attempt, or the same one again.
    fn again(&mut self, call: Call) -> Reply {
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

    /// Returns the bytes of the recorded body.
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

/// Takes the front of a queue if it is due.
fn due(queue: &mut VecDeque<Due>, now: SystemTime) -> Option<Due> {
    let front = queue.front()?;
    if front.at > now {
        return None;
    }
    queue.pop_front()
}

fn print(service: &str, key: &str) -> Print {
    let mut hasher = Sha256::new();
    hasher.update((service.len() as u64).to_le_bytes());
    hasher.update(service);
    hasher.update(key);
    let digest: [u8; 32] = hasher.finalize().into();
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    Print::from_le_bytes(half)
}

/// Returns the time in a key that is a UUID of version 7 (RFC 9562, 5.7).
fn stamp(key: &str) -> Option<SystemTime> {
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

//! Parts of prompts, and what instances tell each other about parts that crash targets.
//!
//! Instances have no common clock: a message carries how long ago something happened, or how long
//! it still lasts, and its receiver turns that into an instant of its own.

use crate::fingerprint::Fingerprint;
use crate::id;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Identity of a prompt part. Prompts that contain the same part are equal from their beginning to
/// the end of this part.
pub type PartId = u64;
/// Parts of one prompt that other prompts may contain as well, in order.
pub type Parts = SmallVec<[PartId; 4]>;

/// A request that its target may have been about to answer when it crashed: it had no event, or its
/// first event only just.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exposure {
    /// Parts of its prompt.
    pub parts: Parts,
    /// Whether its first event had come, so that it also counts in [`Answered`].
    pub answered: bool,
    /// Identity of the whole request; `None` from instances that state none.
    #[serde(default)]
    pub request: Option<Fingerprint>,
    /// Time from its sending to the crash, in milliseconds.
    #[serde(default)]
    pub waited_ms: u64,
    /// Whether its stream had no head yet, so that it may just as well have waited for its turn.
    #[serde(default)]
    pub headless: bool,
    /// Whether it was sent here after another target had broken off under it: the two crashes have no
    /// common cause from outside, however close they are.
    #[serde(default)]
    pub follows: bool,
}

/// A crash of a target, as one entry saw it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The target's service.
    pub service: id::Service,
    /// The target.
    pub target: id::Target,
    /// The incarnation that ended.
    pub incarnation: id::Incarnation,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Requests of the entry that were at the point of writing.
    pub exposures: Vec<Exposure>,
}

/// How many requests of one service got their first event since an entry's last report, by part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answered {
    /// The service.
    pub service: id::Service,
    /// Number of requests by part.
    pub parts: Vec<(PartId, u32)>,
}

/// Requests of one service that got their first event, or their whole response, since an entry's last
/// report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnsweredRequests {
    /// The service.
    pub service: id::Service,
    /// The requests.
    pub requests: Vec<Fingerprint>,
}

/// What an entry has seen of prompt parts and requests since its last report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Requests that got their first event.
    pub answered: Vec<Answered>,
    /// Crashes of targets.
    pub crashes: Vec<Crash>,
    /// Whole requests that were answered.
    #[serde(default)]
    pub answered_requests: Vec<AnsweredRequests>,
    /// Parts in quarantine, as far as the leader may not know them.
    #[serde(default)]
    pub quarantines: Vec<Quarantine>,
}

/// A crash of a target with what it still speaks against.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// The crash, with the requests of all entries that reported it.
    pub crash: Crash,
    /// The entries that reported it.
    pub reporters: Vec<id::Node>,
    /// How many requests with each part were answered since.
    pub answered: Vec<(PartId, u32)>,
    /// The requests that were never answered since.
    pub unanswered: Vec<Fingerprint>,
}

/// All evidence of one instance, for one that takes over from it or restarts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Dossier {
    /// The crashes, the oldest first.
    pub suspicions: Vec<Suspicion>,
    /// The parts and requests in quarantine.
    pub quarantines: Vec<Quarantine>,
}

/// A part that requests must not contain, or a whole request that must not be sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantine {
    /// The service whose targets the part or the request crashes.
    pub service: id::Service,
    /// The part, or the fingerprint of the request.
    pub part: PartId,
    /// Time until the quarantine ends, in milliseconds.
    pub remaining_ms: u64,
}

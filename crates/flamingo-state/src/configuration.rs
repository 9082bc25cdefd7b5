//! The configuration: compare-and-set changes with change ids, drains of targets, and the
//! history.

use flamingo_wire::admin::{self, Accepted, Drain};
use flamingo_wire::config::{Change, Set, Snapshot};
use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, id};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::SystemTime;

/// Number of change ids whose first reply is kept; a resend within this many later changes
/// gets the same reply.
pub const MAX_REPLIES: usize = 4_096;
/// Maximum number of accepted changes in the history.
pub const MAX_HISTORY: usize = 1_024;
/// Maximum number of versions whose complete set is kept.
pub const MAX_KEPT_VERSIONS: usize = 32;

/// SHA-256 of an encoded change.
type ChangeDigest = [u8; 32];

/// The first reply to a change, which a resend of the change gets again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct FirstReply {
    #[serde(rename = "print")]
    digest: ChangeDigest,
    reply: Reply,
}

/// An accepted version with its complete set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct KeptVersion {
    version: id::Version,
    set: Arc<Set>,
    drained: Vec<id::Target>,
}

/// The configuration and its history.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    version: id::Version,
    set: Arc<Set>,
    drained: Vec<id::Target>,
    history: VecDeque<Accepted>,
    kept: VecDeque<KeptVersion>,
    #[serde(rename = "answers")]
    first_replies: BTreeMap<id::Change, FirstReply>,
    order: VecDeque<id::Change>,
}

impl Configuration {
    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> id::Version {
        self.version
    }

    /// Returns the set in force.
    #[must_use]
    pub fn set(&self) -> &Set {
        &self.set
    }

    /// Returns the targets that operators drain.
    #[must_use]
    pub fn drained(&self) -> &[id::Target] {
        &self.drained
    }

    /// Returns the configuration in force in the form that entries receive.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.version,
            set: Set::clone(&self.set),
            drained: self.drained.clone(),
        }
    }

    /// Returns the accepted changes, newest first.
    #[must_use]
    pub fn history(&self) -> Vec<Accepted> {
        self.history.iter().rev().cloned().collect()
    }

    /// Returns an accepted version, or `None` where it is no longer kept or never existed.
    #[must_use]
    pub fn kept(&self, version: id::Version) -> Option<Snapshot> {
        let kept = self.kept.iter().find(|kept| kept.version == version)?;
        Some(Snapshot {
            version,
            set: Set::clone(&kept.set),
            drained: kept.drained.clone(),
        })
    }

    /// Replaces the set, if the change is based on the version in force.
    ///
    /// A resend of a change gets the reply of the first.
    pub fn apply(&mut self, change: Change, now: SystemTime) -> Reply {
        let digest = change_digest(&change);
        if let Some(reply) = self.first_reply(&change.id, digest) {
            return reply;
        }
        let id = change.id.clone();
        let reply = if change.base == self.version {
            self.accept(change, now)
        } else {
            Reply::Refused(self.conflict(change.base))
        };
        self.remember(id, digest, reply.clone());
        reply
    }

    fn accept(&mut self, change: Change, now: SystemTime) -> Reply {
        let summary = summary(&self.set, &change.set);
        self.set = Arc::new(change.set);
        self.advance(change.id, change.author, summary, now);
        Reply::Accepted(self.version)
    }

    /// Starts or ends the drain of a target; a change of the drain makes a new version.
    pub fn drain(&mut self, drain: Drain, now: SystemTime) -> Reply {
        let digest = change_digest(&drain);
        if let Some(reply) = self.first_reply(&drain.id, digest) {
            return reply;
        }
        let id = drain.id.clone();
        let is_drained = self.drained.contains(&drain.target);
        if is_drained != drain.on {
            let operation = if drain.on {
                "drain"
            } else {
                "end the drain of"
            };
            let summary = format!("{operation} {}", drain.target);
            self.drained.retain(|target| target != &drain.target);
            if drain.on {
                self.drained.push(drain.target);
            }
            self.advance(drain.id, drain.author, summary, now);
        }
        let reply = Reply::Admin(admin::Answer::Drained(self.version));
        self.remember(id, digest, reply.clone());
        reply
    }

    fn advance(&mut self, change: id::Change, author: String, summary: String, at: SystemTime) {
        self.version += 1;
        self.history.push_back(Accepted {
            version: self.version,
            change,
            author,
            at,
            summary,
        });
        self.kept.push_back(KeptVersion {
            version: self.version,
            set: Arc::clone(&self.set),
            drained: self.drained.clone(),
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        if self.kept.len() > MAX_KEPT_VERSIONS {
            self.kept.pop_front();
        }
    }

    /// Returns the first reply to a change whose id is known, or a refusal where the id was
    /// used for another change; `None` for a new id.
    fn first_reply(&self, id: &id::Change, digest: ChangeDigest) -> Option<Reply> {
        let first = self.first_replies.get(id)?;
        if first.digest == digest {
            return Some(first.reply.clone());
        }
        let message = format!("change id '{id}' was used for another change");
        let fault = Fault::not_run(Reason::Reused, message, "give each change an id of its own");
        Some(Reply::Refused(fault))
    }

    fn remember(&mut self, id: id::Change, digest: ChangeDigest, reply: Reply) {
        self.order.push_back(id.clone());
        self.first_replies.insert(id, FirstReply { digest, reply });
        if self.order.len() > MAX_REPLIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.first_replies.remove(&oldest);
        }
    }

    /// Returns the refusal of a change based on `base`, naming the change that was accepted
    /// instead.
    fn conflict(&self, base: id::Version) -> Fault {
        let accepted = self.history.iter().find(|entry| entry.version == base + 1);
        let message = match accepted {
            Some(accepted) => format!(
                "version {} was made by {} (change {}); version {} is in force, the edit was made from {base}",
                accepted.version, accepted.author, accepted.change, self.version
            ),
            None => format!(
                "version {} is in force, the edit was made from {base}",
                self.version
            ),
        };
        let help = "fetch the set again, repeat the edit and send it under a new change id";
        Fault::not_run(Reason::Conflict, message, help)
    }
}

fn change_digest<T: Serialize>(value: &T) -> ChangeDigest {
    // Encoding these types into memory cannot fail. If it did, two changes with the same id
    // would have the same empty digest and be taken for resends of each other.
    let bytes = rmp_serde::to_vec(value).unwrap_or_default();
    Sha256::digest(bytes).into()
}

/// Returns one line with the differences between two sets.
fn summary(old: &Set, new: &Set) -> String {
    let mut parts = Vec::new();
    compare(
        "profile",
        &old.profiles,
        &new.profiles,
        |item| &item.name,
        &mut parts,
    );
    compare(
        "model",
        &old.models,
        &new.models,
        |item| &item.name,
        &mut parts,
    );
    compare(
        "service",
        &old.services,
        &new.services,
        |item| &item.name,
        &mut parts,
    );
    compare(
        "workspace",
        &old.workspaces,
        &new.workspaces,
        |item| &item.name,
        &mut parts,
    );
    if parts.is_empty() {
        return "no difference".to_owned();
    }
    parts.join(", ")
}

/// Maximum number of names of each kind in a summary; the rest is counted.
const MAX_NAMES: usize = 8;

fn compare<T: PartialEq>(
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &String,
    parts: &mut Vec<String>,
) {
    let before: BTreeMap<_, _> = old.iter().map(|item| (name(item), item)).collect();
    let after: BTreeMap<_, _> = new.iter().map(|item| (name(item), item)).collect();
    let mut differences = Vec::new();
    for (name, item) in &after {
        match before.get(name) {
            None => differences.push(format!("+{kind} {name}")),
            Some(previous) if previous != item => differences.push(format!("~{kind} {name}")),
            Some(_) => {}
        }
    }
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    differences.extend(removed.map(|name| format!("-{kind} {name}")));
    let more = differences.len().saturating_sub(MAX_NAMES);
    parts.extend(differences.into_iter().take(MAX_NAMES));
    if more > 0 {
        parts.push(format!("and {more} more {kind}s"));
    }
}

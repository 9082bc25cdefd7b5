//! The configuration: compare-and-set with change ids, drains and history.

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

/// Changes whose first answer is remembered; a resend within so many later
/// changes gets it again.
pub const REMEMBERED: usize = 4_096;
/// Accepted changes that the history shows.
pub const HISTORY: usize = 1_024;
/// Versions whose whole set is kept.
pub const KEPT: usize = 32;

/// SHA-256 of an encoded change.
type Print = [u8; 32];

/// The first answer to a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Answered {
    print: Print,
    reply: Reply,
}

/// An accepted version with its whole set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Kept {
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
    kept: VecDeque<Kept>,
    answers: BTreeMap<id::Change, Answered>,
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

    /// Returns the configuration in force as entries get it.
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

    /// Returns one accepted version, while it is kept.
    #[must_use]
    pub fn kept(&self, version: id::Version) -> Option<Snapshot> {
        let kept = self.kept.iter().find(|kept| kept.version == version)?;
        Some(Snapshot {
            version,
            set: Set::clone(&kept.set),
            drained: kept.drained.clone(),
        })
    }

    /// Replaces the set, if it was made from the version in force.
    pub fn apply(&mut self, change: Change, now: SystemTime) -> Reply {
        let print = print(&change);
        if let Some(reply) = self.resent(&change.id, print) {
            return reply;
        }
        let id = change.id.clone();
        let reply = if change.base == self.version {
            self.accept(change, now)
        } else {
            Reply::Refused(self.conflict(change.base))
        };
        self.remember(id, print, reply.clone());
        reply
    }

    fn accept(&mut self, change: Change, now: SystemTime) -> Reply {
        let summary = summary(&self.set, &change.set);
        self.set = Arc::new(change.set);
        self.advance(change.id, change.author, summary, now);
        Reply::Accepted(self.version)
    }

    /// Drains a target, or ends its drain; this makes a new version.
    pub fn drain(&mut self, drain: Drain, now: SystemTime) -> Reply {
        let print = print(&drain);
        if let Some(reply) = self.resent(&drain.id, print) {
            return reply;
        }
        let id = drain.id.clone();
        let held = self.drained.contains(&drain.target);
        if held != drain.on {
            let word = if drain.on {
                "drain"
            } else {
                "end the drain of"
            };
            let summary = format!("{word} {}", drain.target);
            self.drained.retain(|target| target != &drain.target);
            if drain.on {
                self.drained.push(drain.target);
            }
            self.advance(drain.id, drain.author, summary, now);
        }
        let reply = Reply::Admin(admin::Answer::Drained(self.version));
        self.remember(id, print, reply.clone());
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
        self.kept.push_back(Kept {
            version: self.version,
            set: Arc::clone(&self.set),
            drained: self.drained.clone(),
        });
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    /// Returns the first answer to a change that was seen before.
    fn resent(&self, id: &id::Change, print: Print) -> Option<Reply> {
        let answered = self.answers.get(id)?;
        if answered.print == print {
            return Some(answered.reply.clone());
        }
        let message = format!("change id '{id}' was used for another change");
        let fault = Fault::not_run(Reason::Reused, message, "give each change an id of its own");
        Some(Reply::Refused(fault))
    }

    fn remember(&mut self, id: id::Change, print: Print, reply: Reply) {
        self.order.push_back(id.clone());
        self.answers.insert(id, Answered { print, reply });
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    /// Names the change that took the version which `base` wanted to make.
    fn conflict(&self, base: id::Version) -> Fault {
        let winner = self.history.iter().find(|entry| entry.version == base + 1);
        let message = match winner {
            Some(winner) => format!(
                "version {} was made by {} (change {}); version {} is in force, the edit was made from {base}",
                winner.version, winner.author, winner.change, self.version
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

fn print<T: Serialize>(value: &T) -> Print {
    // Encoding plain data into memory fails for no input of these types; an
    // empty print would only make two such changes look alike.
    let bytes = rmp_serde::to_vec(value).unwrap_or_default();
    Sha256::digest(bytes).into()
}

/// Says in one line what changed between two sets.
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
    if parts.is_empty() {
        return "no difference".to_owned();
    }
    parts.join(", ")
}

/// Names in one summary before the rest is counted.
const NAMED: usize = 8;

fn compare<T: PartialEq>(
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &String,
    parts: &mut Vec<String>,
) {
    let before: BTreeMap<_, _> = old.iter().map(|item| (name(item), item)).collect();
    let after: BTreeMap<_, _> = new.iter().map(|item| (name(item), item)).collect();
    let mut found = Vec::new();
    for (name, item) in &after {
        match before.get(name) {
            None => found.push(format!("+{kind} {name}")),
            Some(was) if was != item => found.push(format!("~{kind} {name}")),
            Some(_) => {}
        }
    }
    let gone = before.keys().filter(|name| !after.contains_key(*name));
    found.extend(gone.map(|name| format!("-{kind} {name}")));
    let more = found.len().saturating_sub(NAMED);
    parts.extend(found.into_iter().take(NAMED));
    if more > 0 {
        parts.push(format!("and {more} more {kind}s"));
    }
}

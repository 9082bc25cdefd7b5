//! Targets that register with this instance, and what it tells its followers of them.
//!
//! Decides which word of a target is the newest, for heartbeats of every target each
//! second or so, late ones, restarts under the same name and reuse of addresses.

use flamingo_wire::control::Push;
use flamingo_wire::id;
use flamingo_wire::target::{Registration, Residency};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::broadcast::{self, Receiver, Sender};

/// Pushes that wait for a slow follower before it is sent all anew.
const QUEUE: usize = 1_024;
/// Time after the last word after which a target is forgotten.
const FORGET: Duration = Duration::from_secs(30);

/// A target with the time of its last word.
#[derive(Clone, Debug)]
struct Known {
    registration: Registration,
    heard: Instant,
}

/// The targets that this instance has heard of.
#[derive(Debug)]
pub struct Registry {
    known: BTreeMap<id::Target, Known>,
    heard: BTreeSet<id::Target>,
    news: Sender<Arc<Push>>,
}

impl Default for Registry {
    fn default() -> Self {
        let (news, _) = broadcast::channel(QUEUE);
        Self {
            known: BTreeMap::new(),
            heard: BTreeSet::new(),
            news,
        }
    }
}

impl Registry {
    /// Takes a target's own word; returns whether it is newer than what was known.
    pub fn hear(&mut self, now: Instant, registration: Registration) -> bool {
        if self.outdated(&registration) {
            return false;
        }
        let id = registration.id.clone();
        let known = self.known.get(&id);
        let news = known.is_none_or(|known| !known.registration.same_state(&registration));
        let known = Known {
            registration: registration.clone(),
            heard: now,
        };
        self.known.insert(id.clone(), known);
        if news {
            self.push(Push::Targets(vec![registration]));
        } else {
            self.heard.insert(id);
        }
        true
    }

    /// Returns whether a newer word is known: of the same target, or of a later one at its
    /// address.
    fn outdated(&self, registration: &Registration) -> bool {
        if let Some(known) = self.known.get(&registration.id)
            && !registration.supersedes(&known.registration)
        {
            return true;
        }
        let mut others = self.known.values().map(|known| &known.registration);
        others.any(|other| {
            other.id != registration.id
                && other.address == registration.address
                && other.incarnation > registration.incarnation
                && !other.gone
        })
    }

    /// Takes the word that a target has gone; `incarnation` is 0 where it was not said.
    pub fn leave(&mut self, now: Instant, id: &str, incarnation: id::Incarnation) {
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        let current = known.registration.incarnation;
        if incarnation != 0 && incarnation != current {
            return;
        }
        known.registration.gone = true;
        known.heard = now;
        let gone = known.registration.clone();
        self.push(Push::Targets(vec![gone]));
    }

    /// Tells the followers which targets were heard since the last call, and forgets those
    /// that were not heard for long.
    pub fn flush(&mut self, now: Instant) {
        self.known.retain(|_, known| now < known.heard + FORGET);
        if !self.heard.is_empty() {
            let heard = std::mem::take(&mut self.heard);
            self.push(Push::Unchanged(heard.into_iter().collect()));
        }
    }

    /// Tells the followers what targets hold.
    pub fn hold(&self, holdings: Vec<Residency>) {
        self.push(Push::Residency(holdings));
    }

    /// Sends something to all followers.
    pub fn push(&self, push: Push) {
        // Nobody may follow yet.
        let _ = self.news.send(Arc::new(push));
    }

    /// Returns all that is known, and what comes after it.
    #[must_use]
    pub fn follow(&self) -> (Vec<Registration>, Receiver<Arc<Push>>) {
        let known = self.known.values();
        let all = known.map(|known| known.registration.clone()).collect();
        (all, self.news.subscribe())
    }

    /// Takes what another control instance tells of targets; the followers hear it from there.
    pub fn learn(&mut self, now: Instant, push: &Push) {
        match push {
            Push::Targets(registrations) => {
                for registration in registrations {
                    if !self.outdated(registration) {
                        let known = Known {
                            registration: registration.clone(),
                            heard: now,
                        };
                        self.known.insert(registration.id.clone(), known);
                    }
                }
            }
            Push::Unchanged(ids) => {
                for id in ids {
                    if let Some(known) = self.known.get_mut(id) {
                        known.heard = now;
                    }
                }
            }
            _ => {}
        }
    }

    /// Returns the newest words of the targets that were heard less than `silence` ago.
    #[must_use]
    pub fn fresh(&self, now: Instant, silence: Duration) -> Vec<Registration> {
        let known = self.known.values();
        let fresh = known.filter(|known| now < known.heard + silence);
        fresh.map(|known| known.registration.clone()).collect()
    }

    /// Returns a target's newest word.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Registration> {
        self.known.get(id).map(|known| &known.registration)
    }
}

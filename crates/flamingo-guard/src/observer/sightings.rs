//! Crashes that one entry has seen, until the leader has acknowledged them.
//!
//! A target that accepts no connection after its connections broke has crashed, or this entry is cut off
//! from it. Which of the two shows soon: an entry that reaches other targets is not cut off, and of one that
//! was, control tells whether the target's incarnation went on. Until then the leader is told nothing, since
//! it would put requests in quarantine that a partition has interrupted.

use super::{Leader, Life, MAX_TARGETS, age_ms};
use flamingo_wire::id;
use flamingo_wire::prompt::Crash;
use std::time::{Duration, Instant};

/// Time for which a crash is reported to a leader that has not acknowledged it.
const RETENTION: Duration = Duration::from_mins(1);

/// What is known of an incarnation whose connections broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It has ended.
    Ended,
    /// It went on afterwards.
    Alive,
    /// Nothing yet.
    Unknown,
}

/// How far a crash is certain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Certainty {
    /// The incarnation has ended.
    Confirmed,
    /// The target accepted no connection; nothing else speaks for or against its crash.
    Likely,
    /// This entry was isolated from targets at the time.
    Doubtful,
}

/// A crash that this entry has seen.
#[derive(Debug)]
struct Sighting {
    crash: Crash,
    at: Instant,
    certainty: Certainty,
    /// The leader that has acknowledged it.
    acknowledged_by: Option<Leader>,
}

impl Sighting {
    fn is_of(&self, target: &str, incarnation: id::Incarnation) -> bool {
        self.crash.target == target && self.crash.incarnation == incarnation
    }
}

/// The crashes that an entry has seen lately.
#[derive(Debug, Default)]
pub(super) struct Sightings {
    /// In the order in which they were seen.
    sightings: Vec<Sighting>,
}

impl Sightings {
    /// Adds a crash; the oldest is dropped where there are too many.
    pub fn add(&mut self, crash: Crash, at: Instant, is_certain: bool) {
        if self.sightings.len() >= MAX_TARGETS {
            self.sightings.remove(0);
        }
        let certainty = if is_certain {
            Certainty::Confirmed
        } else {
            Certainty::Likely
        };
        self.sightings.push(Sighting {
            crash,
            at,
            certainty,
            acknowledged_by: None,
        });
    }

    /// Takes what is likely for certain of other targets than the one that has accepted a connection, which was
    /// dialled after theirs broke.
    pub fn confirm_likely(&mut self, accepted_by: &str, dialled_at: Instant) {
        for sighting in self.likely_mut() {
            if sighting.crash.target != accepted_by && sighting.at <= dialled_at {
                sighting.certainty = Certainty::Confirmed;
            }
        }
    }

    /// Doubts what is likely: this entry is, or was, isolated from targets.
    pub fn doubt_likely(&mut self) {
        for sighting in self.likely_mut() {
            sighting.certainty = Certainty::Doubtful;
        }
    }

    fn likely_mut(&mut self) -> impl Iterator<Item = &mut Sighting> {
        let sightings = self.sightings.iter_mut();
        sightings.filter(|sighting| sighting.certainty == Certainty::Likely)
    }

    /// Settles what is not certain by what has become of each incarnation since its connections broke.
    /// Returns those that went on.
    pub fn settle(&mut self, fate: impl Fn(&Life, Instant) -> Fate) -> Vec<Life> {
        let mut alive = Vec::new();
        self.sightings.retain_mut(|sighting| {
            if sighting.certainty == Certainty::Confirmed {
                return true;
            }
            let life = (sighting.crash.target.clone(), sighting.crash.incarnation);
            match fate(&life, sighting.at) {
                Fate::Ended => sighting.certainty = Certainty::Confirmed,
                Fate::Unknown => {}
                Fate::Alive => {
                    alive.push(life);
                    return false;
                }
            }
            true
        });
        alive
    }

    /// Returns the certain crashes that the leader does not know yet.
    pub fn unreported(&self, leader: &str, now: Instant) -> Vec<Crash> {
        let sightings = self.sightings.iter();
        let certain = sightings.filter(|sighting| sighting.certainty == Certainty::Confirmed);
        let unknown =
            certain.filter(|sighting| sighting.acknowledged_by.as_deref() != Some(leader));
        let crashes = unknown.map(|sighting| Crash {
            age_ms: age_ms(sighting.at, now),
            ..sighting.crash.clone()
        });
        crashes.collect()
    }

    /// Records that the leader has acknowledged these crashes.
    pub fn acknowledge(&mut self, leader: &str, crashes: &[Crash]) {
        for sighting in &mut self.sightings {
            let mut acknowledged = crashes.iter();
            if acknowledged.any(|crash| sighting.is_of(&crash.target, crash.incarnation)) {
                sighting.acknowledged_by = Some(leader.to_owned());
            }
        }
    }

    /// Removes crashes that are not reported any more.
    pub fn remove_expired(&mut self, now: Instant) {
        self.sightings
            .retain(|sighting| now < sighting.at + RETENTION);
    }
}

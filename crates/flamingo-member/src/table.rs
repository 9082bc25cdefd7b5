//! The targets that announced themselves.
//!
//! A target's state is ordered by incarnation and sequence; an older state never
//! replaces a newer one. A target is silent from a stored deadline, sooner than
//! its lease ends, and gone when the lease ends. What is gone leaves a tombstone,
//! so that a late duplicate does not bring it back.

use flamingo_wire::announce::{Announcement, Standing};
use flamingo_wire::gossip::{Item, Line, Mark};
use flamingo_wire::id;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Silence after which a target gets no new work.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(8);
/// Further silence after which a target is gone.
pub const GRACE: Duration = Duration::from_secs(12);
/// Silence after which a target is gone.
pub const LEASE: Duration = SUSPECT_TIMEOUT.saturating_add(GRACE);
/// Time for which a gone target's last state is remembered.
pub const TOMBSTONE: Duration = Duration::from_mins(10);
/// Targets known at most, gone ones included; more are refused.
pub const TARGETS: usize = 4_096;

/// How far a target has fallen silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// Announced itself within [`SUSPECT_TIMEOUT`].
    Live,
    /// No announcement for [`SUSPECT_TIMEOUT`]; the target gets no new work.
    Suspect,
    /// Gone; only its last state is remembered.
    Gone,
}

/// What a taken announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing: it is older than what is known, or there is no room.
    Old,
    /// Only the load.
    Load,
    /// The target's state.
    State,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// Checksum of all of it but sequence and load.
    pub state_checksum: u32,
    /// How far it has fallen silent.
    pub presence: Presence,
    /// When the target gave the announcement.
    pub heard: Instant,
    /// When the presence turns next.
    deadline: Instant,
}

impl Record {
    /// Returns the announcement as it is told to others at `now`.
    #[must_use]
    pub fn item(&self, now: Instant) -> Item {
        let age = now.saturating_duration_since(self.heard).as_millis();
        Item {
            announcement: self.announcement.clone(),
            age: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

/// A presence that turned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Turn {
    /// Fell silent.
    Silent(id::Target),
    /// Is gone.
    Gone(id::Target),
}

/// The targets as one entry knows them.
#[derive(Debug, Default)]
pub struct Table {
    known: BTreeMap<id::Target, Record>,
    by_checksum: HashMap<u32, id::Target>,
}

/// Returns the checksum of an announcement without its sequence and load.
#[must_use]
pub fn state_checksum(announcement: &Announcement) -> u32 {
    let mut bare = announcement.clone();
    bare.sequence = 0;
    bare.load = flamingo_wire::announce::Load::default();
    // An announcement always encodes; were it not so, no load would match it.
    crc32fast::hash(&serde_json::to_vec(&bare).unwrap_or_default())
}

impl Table {
    /// Returns what is known of a target.
    #[must_use]
    pub fn get(&self, target: &str) -> Option<&Record> {
        self.known.get(target)
    }

    /// Returns the targets that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        let known = self.known.values();
        known.filter(|record| record.presence != Presence::Gone)
    }

    /// Takes an announcement that the target gave `age` ago.
    pub fn take(&mut self, now: Instant, mut announcement: Announcement, age: Duration) -> Change {
        let known = self.known.get(&announcement.target);
        let newer = known.is_none_or(|known| announcement.supersedes(&known.announcement));
        let full = known.is_none() && self.known.len() >= TARGETS;
        if !newer || full || age >= LEASE {
            return Change::Old;
        }
        if let Some(known) = known {
            stay_leaving(&known.announcement, &mut announcement);
        }
        let state_checksum = state_checksum(&announcement);
        let same = known.is_some_and(|known| {
            known.state_checksum == state_checksum && known.presence != Presence::Gone
        });
        let heard = now.checked_sub(age).unwrap_or(now);
        let record = Record {
            state_checksum,
            presence: Presence::Live,
            heard,
            deadline: heard + SUSPECT_TIMEOUT,
            announcement,
        };
        self.put(record);
        if same { Change::Load } else { Change::State }
    }

    /// Takes a newer load of a target whose state is known.
    pub fn load(&mut self, now: Instant, line: &Line) -> Option<&Record> {
        let target = self.by_checksum.get(&line.tag)?;
        let known = self.known.get(target)?;
        if line.sequence <= known.announcement.sequence || known.presence == Presence::Gone {
            return None;
        }
        let mut announcement = known.announcement.clone();
        announcement.sequence = line.sequence;
        announcement.load = line.load;
        let age = Duration::from_millis(100) * u32::from(line.age);
        let target = announcement.target.clone();
        match self.take(now, announcement, age) {
            Change::Old => None,
            Change::Load | Change::State => self.known.get(&target),
        }
    }

    fn put(&mut self, record: Record) {
        self.drop_checksum(&record.announcement.target);
        let target = record.announcement.target.clone();
        self.by_checksum
            .insert(record.state_checksum, target.clone());
        self.known.insert(target, record);
    }

    /// Forgets a target's tag, so that no load matches it.
    fn drop_checksum(&mut self, target: &str) {
        if let Some(record) = self.known.get(target) {
            self.by_checksum.remove(&record.state_checksum);
        }
    }

    /// Turns the presence of targets whose deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Turn> {
        let due = self
            .known
            .iter()
            .filter(|(_, record)| record.deadline <= now);
        let due: Vec<_> = due.map(|(target, _)| target.clone()).collect();
        due.into_iter()
            .filter_map(|target| self.turn(now, target))
            .collect()
    }

    fn turn(&mut self, now: Instant, target: id::Target) -> Option<Turn> {
        let presence = self.known.get(&target)?.presence;
        if presence == Presence::Live {
            let record = self.known.get_mut(&target)?;
            record.presence = Presence::Suspect;
            record.deadline = now + GRACE;
            return Some(Turn::Silent(target));
        }
        if presence == Presence::Suspect {
            self.drop_checksum(&target);
            let record = self.known.get_mut(&target)?;
            record.presence = Presence::Gone;
            record.deadline = now + TOMBSTONE;
            return Some(Turn::Gone(target));
        }
        self.known.remove(&target);
        None
    }

    /// Moves the ends of leases by the time for which this process was frozen.
    ///
    /// Targets that were heard before are silent at once: what they said may be
    /// out of date, but no lease ends while nobody could listen.
    pub fn rebase(&mut self, gap: Duration) {
        for record in self.known.values_mut() {
            if record.presence != Presence::Live {
                record.deadline += gap;
            }
        }
    }

    /// Returns whether another knows a newer state than this table.
    #[must_use]
    pub fn wants(&self, mark: &Mark) -> bool {
        let Some(known) = self.known.get(&mark.target) else {
            return true;
        };
        let told = (mark.incarnation, mark.sequence);
        let own = (known.announcement.incarnation, known.announcement.sequence);
        told > own && (known.state_checksum != mark.tag || known.presence != Presence::Live)
    }

    /// Returns whether this table knows a newer state than another.
    #[must_use]
    pub fn offers(&self, mark: &Mark) -> bool {
        let Some(known) = self.known.get(&mark.target) else {
            return false;
        };
        let told = (mark.incarnation, mark.sequence);
        let own = (known.announcement.incarnation, known.announcement.sequence);
        own > told && known.state_checksum != mark.tag && known.presence == Presence::Live
    }
}

/// Keeps a target that said that it leaves from serving again in one incarnation.
fn stay_leaving(known: &Announcement, next: &mut Announcement) {
    if known.standing == Standing::Leaving && known.incarnation == next.incarnation {
        next.standing = Standing::Leaving;
    }
}

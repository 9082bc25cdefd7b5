//! The targets that announced themselves.
//!
//! The states of a target are ordered by incarnation and sequence number; an older
//! state never replaces a newer one. A target without announcements is suspected
//! after [`SUSPECT_TIMEOUT`] and gone when its [`LEASE`] ends. A gone target leaves
//! a tombstone, so that a late duplicate of an announcement does not bring it back.

use flamingo_wire::announce::{Announcement, Availability};
use flamingo_wire::gossip::{LoadUpdate, Observation, TargetVersion};
use flamingo_wire::id;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time without an announcement after which a target is suspected and gets no new work.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(8);
/// Further time without an announcement after which a suspected target is gone.
pub const GONE_GRACE: Duration = Duration::from_secs(12);
/// Time without an announcement after which a target is gone.
pub const LEASE: Duration = SUSPECT_TIMEOUT.saturating_add(GONE_GRACE);
/// Time for which the last state of a gone target is kept as a tombstone.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of known targets, gone ones included; further targets are ignored.
pub const MAX_TARGETS: usize = 4_096;

/// Failure detection state of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// Announced itself within [`SUSPECT_TIMEOUT`].
    Live,
    /// No announcement for [`SUSPECT_TIMEOUT`]; the target gets no new work.
    Suspect,
    /// The lease ended; only the last state is kept.
    Gone,
}

/// Effect of an announcement on the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// None: the announcement is older than the known one or than the lease, or the table
    /// is full.
    Ignored,
    /// Only the load changed.
    Load,
    /// The state of the target changed, or the target is new.
    State,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Record {
    /// Newest announcement of the target.
    pub announcement: Announcement,
    /// Checksum of the announcement without its sequence number and load.
    pub state_checksum: u32,
    /// Failure detection state.
    pub presence: Presence,
    /// Time at which the target made the announcement.
    pub announced_at: Instant,
    /// Time at which the presence changes, or the tombstone is removed.
    deadline: Instant,
}

impl Record {
    /// Returns the announcement with its age at `now`, to send to others.
    #[must_use]
    pub fn observation(&self, now: Instant) -> Observation {
        let age = now.saturating_duration_since(self.announced_at).as_millis();
        Observation {
            announcement: self.announcement.clone(),
            age: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

/// Change of the presence of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The target is suspected from now on.
    Suspect(id::Target),
    /// The target is gone from now on.
    Gone(id::Target),
}

/// The targets as one entry sees them.
#[derive(Debug, Default)]
pub struct Table {
    known: BTreeMap<id::Target, Record>,
    by_checksum: HashMap<u32, id::Target>,
}

/// Returns the checksum of an announcement without its sequence number and load.
#[must_use]
pub fn state_checksum(announcement: &Announcement) -> u32 {
    let mut state = announcement.clone();
    state.sequence = 0;
    state.load = flamingo_wire::announce::Load::default();
    // Encoding an announcement can't fail; if it did, load updates would not match it.
    crc32fast::hash(&serde_json::to_vec(&state).unwrap_or_default())
}

impl Table {
    /// Returns the record of a target, which may be a tombstone; `None` if it is unknown.
    #[must_use]
    pub fn get(&self, target: &str) -> Option<&Record> {
        self.known.get(target)
    }

    /// Returns the targets that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        let known = self.known.values();
        known.filter(|record| record.presence != Presence::Gone)
    }

    /// Applies an announcement that the target made `age` ago.
    pub fn apply(&mut self, now: Instant, mut announcement: Announcement, age: Duration) -> Change {
        let known = self.known.get(&announcement.target);
        let newer = known.is_none_or(|known| announcement.supersedes(&known.announcement));
        let full = known.is_none() && self.known.len() >= MAX_TARGETS;
        if !newer || full || age >= LEASE {
            return Change::Ignored;
        }
        if let Some(known) = known {
            keep_leaving(&known.announcement, &mut announcement);
        }
        let state_checksum = state_checksum(&announcement);
        let same = known.is_some_and(|known| {
            known.state_checksum == state_checksum && known.presence != Presence::Gone
        });
        let announced_at = now.checked_sub(age).unwrap_or(now);
        let record = Record {
            state_checksum,
            presence: Presence::Live,
            announced_at,
            deadline: announced_at + SUSPECT_TIMEOUT,
            announcement,
        };
        self.insert(record);
        if same { Change::Load } else { Change::State }
    }

    /// Applies a load update; returns the record if the load is newer, and `None` if the
    /// update is older or its state checksum matches no target.
    pub fn apply_load(&mut self, now: Instant, update: &LoadUpdate) -> Option<&Record> {
        let target = self.by_checksum.get(&update.state_checksum)?;
        let known = self.known.get(target)?;
        if update.sequence <= known.announcement.sequence || known.presence == Presence::Gone {
            return None;
        }
        let mut announcement = known.announcement.clone();
        announcement.sequence = update.sequence;
        announcement.load = update.load;
        let age = Duration::from_millis(100) * u32::from(update.age);
        let target = announcement.target.clone();
        match self.apply(now, announcement, age) {
            Change::Ignored => None,
            Change::Load | Change::State => self.known.get(&target),
        }
    }

    fn insert(&mut self, record: Record) {
        self.drop_checksum(&record.announcement.target);
        let target = record.announcement.target.clone();
        self.by_checksum
            .insert(record.state_checksum, target.clone());
        self.known.insert(target, record);
    }

    /// Removes the state checksum of a target from the index, so that no load update matches.
    fn drop_checksum(&mut self, target: &str) {
        if let Some(record) = self.known.get(target) {
            self.by_checksum.remove(&record.state_checksum);
        }
    }

    /// Advances the presence of the targets whose deadline has passed, and removes expired
    /// tombstones; returns the changes.
    pub fn tick(&mut self, now: Instant) -> Vec<Transition> {
        let due = self
            .known
            .iter()
            .filter(|(_, record)| record.deadline <= now);
        let due: Vec<_> = due.map(|(target, _)| target.clone()).collect();
        due.into_iter()
            .filter_map(|target| self.advance(now, target))
            .collect()
    }

    fn advance(&mut self, now: Instant, target: id::Target) -> Option<Transition> {
        let presence = self.known.get(&target)?.presence;
        if presence == Presence::Live {
            let record = self.known.get_mut(&target)?;
            record.presence = Presence::Suspect;
            record.deadline = now + GONE_GRACE;
            return Some(Transition::Suspect(target));
        }
        if presence == Presence::Suspect {
            self.drop_checksum(&target);
            let record = self.known.get_mut(&target)?;
            record.presence = Presence::Gone;
            record.deadline = now + TOMBSTONE_RETENTION;
            return Some(Transition::Gone(target));
        }
        self.known.remove(&target);
        None
    }

    /// Moves the deadlines of suspected and gone targets by the time `gap` for which this
    /// process was frozen.
    ///
    /// Live targets keep their deadline and become suspected at once if it passed, because
    /// their announcements may be outdated. No lease ends during the freeze, because this
    /// process could not receive announcements.
    pub fn shift_deadlines(&mut self, gap: Duration) {
        for record in self.known.values_mut() {
            if record.presence != Presence::Live {
                record.deadline += gap;
            }
        }
    }

    /// Returns whether the process that sent `version` has a newer state of the target than this
    /// table.
    #[must_use]
    pub fn is_older_than(&self, version: &TargetVersion) -> bool {
        let Some(known) = self.known.get(&version.target) else {
            return true;
        };
        let theirs = (version.incarnation, version.sequence);
        let own = (known.announcement.incarnation, known.announcement.sequence);
        theirs > own
            && (known.state_checksum != version.state_checksum || known.presence != Presence::Live)
    }

    /// Returns whether this table has a newer state of the target than the process that sent
    /// `version`.
    #[must_use]
    pub fn is_newer_than(&self, version: &TargetVersion) -> bool {
        let Some(known) = self.known.get(&version.target) else {
            return false;
        };
        let theirs = (version.incarnation, version.sequence);
        let own = (known.announcement.incarnation, known.announcement.sequence);
        own > theirs
            && known.state_checksum != version.state_checksum
            && known.presence == Presence::Live
    }
}

/// Keeps the availability of a target at leaving once announced; only a new incarnation can
/// serve again.
fn keep_leaving(known: &Announcement, next: &mut Announcement) {
    if known.availability == Availability::Leaving && known.incarnation == next.incarnation {
        next.availability = Availability::Leaving;
    }
}

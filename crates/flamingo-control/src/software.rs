//! Holds back targets whose software version is not committed yet.
//!
//! Entries conclude from the committed versions of a service where its streams can have begun. So
//! they must not hear of a target before its version is committed.

use flamingo_state::software::Software;
use flamingo_wire::id;
use flamingo_wire::stream::Origin;
use flamingo_wire::target::Registration;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Time after which a version that still serves is confirmed again.
const REFRESH: Duration = Duration::from_mins(10);
/// Time for which a target that sends nothing more is held.
const EXPIRY: Duration = Duration::from_secs(30);

/// What may be done with a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Passage {
    /// The target may be published.
    Open,
    /// The target may be published, and its version is to be confirmed again.
    Stale,
    /// The target must wait until its version is confirmed.
    Held,
}

/// Time after which a version that could not be committed is proposed again for the first time.
const FIRST_CONFIRMATION_DELAY: Duration = Duration::from_millis(100);
/// Longest such time: targets wait for the version once there is a leader again.
const MAX_CONFIRMATION_DELAY: Duration = Duration::from_millis(800);

/// Returns the times between attempts to have a version committed: each is twice as long as the last, up to a
/// bound.
///
/// ```
/// use flamingo_control::software::confirmation_delays;
///
/// let delays: Vec<_> = confirmation_delays().take(6).map(|delay| delay.as_millis()).collect();
/// assert_eq!(delays, [100, 200, 400, 800, 800, 800]);
/// ```
pub fn confirmation_delays() -> impl Iterator<Item = Duration> {
    let next = |delay: &Duration| Some((*delay * 2).min(MAX_CONFIRMATION_DELAY));
    std::iter::successors(Some(FIRST_CONFIRMATION_DELAY), next)
}

/// A registration that waits, and until when.
#[derive(Clone, Debug)]
struct Held {
    registration: Registration,
    expires_at: Instant,
}

/// The committed software versions as this instance has applied them, and the targets that wait.
#[derive(Debug, Default)]
pub struct Gate {
    software: Arc<Software>,
    held: BTreeMap<id::Target, Held>,
    /// Versions that are being confirmed.
    asked: BTreeSet<Origin>,
}

/// Returns the service and software version of a target.
#[must_use]
pub fn origin(registration: &Registration) -> Origin {
    Origin {
        service: registration.service.clone(),
        software: registration.software.clone(),
    }
}

impl Gate {
    /// Returns what may be done with a heartbeat that arrives at the wall-clock time `now`.
    #[must_use]
    pub fn check(&self, registration: &Registration, now: SystemTime) -> Passage {
        let confirmed_at = self.software.confirmed_at(&origin(registration));
        // A confirmation of the future was made by a clock that is ahead of this one.
        let age = confirmed_at.map(|at| now.duration_since(at).unwrap_or_default());
        match age {
            Some(age) if age < REFRESH => Passage::Open,
            // Without a leader no version is confirmed, and the targets known before go on.
            Some(_) => Passage::Stale,
            None => Passage::Held,
        }
    }

    /// Keeps a registration until its version is confirmed, unless a newer one of the target waits.
    pub fn hold(&mut self, registration: Registration, now: Instant) {
        let known = self.held.get(&registration.id);
        if known.is_some_and(|known| !registration.supersedes(&known.registration)) {
            return;
        }
        let held = Held {
            expires_at: now + EXPIRY,
            registration,
        };
        self.held.insert(held.registration.id.clone(), held);
    }

    /// Removes a target that waits: it has left, or a newer registration of it was published.
    pub fn remove(&mut self, target: &str) {
        self.held.remove(target);
    }

    /// Adopts the committed versions, and returns the registrations that may now be published.
    pub fn adopt(
        &mut self,
        software: Arc<Software>,
        now: Instant,
        wall_clock: SystemTime,
    ) -> Vec<Registration> {
        self.software = software;
        let held = std::mem::take(&mut self.held).into_iter();
        let (released, held): (Vec<_>, Vec<_>) = held
            .filter(|(_, held)| now < held.expires_at)
            .partition(|(_, held)| self.check(&held.registration, wall_clock) != Passage::Held);
        self.held = held.into_iter().collect();
        let released = released.into_iter();
        released.map(|(_, held)| held.registration).collect()
    }

    /// Returns whether the caller is to have a version confirmed: nobody else does at the moment.
    pub fn begin_confirmation(&mut self, origin: &Origin) -> bool {
        self.asked.insert(origin.clone())
    }

    /// Records that the confirmation of a version has ended, whether or not it was committed.
    pub fn end_confirmation(&mut self, origin: &Origin) {
        self.asked.remove(origin);
    }

    /// Returns whether a target with this version waits at `now`.
    #[must_use]
    pub fn holds(&self, origin: &Origin, now: Instant) -> bool {
        let mut held = self.held.values();
        held.any(|held| now < held.expires_at && self::origin(&held.registration) == *origin)
    }
}

//! Transfer of routes from one control instance to one follower.
//!
//! A large set takes a good part of a second on a follower's link. While a copy is on its way,
//! newer sets are not sent after it: the newest one is sent once the follower has reported the
//! copy. An instance that does not lead waits for as long as the follower makes progress.

use flamingo_wire::id;
use std::time::{Duration, Instant};

/// Delay of each backoff slot before an instance that does not lead sends routes, in addition to
/// the time that one copy takes at `MAX_BYTES_PER_S`.
const SLOT_DELAY: Duration = Duration::from_millis(300);
/// Backoff slots over which the instances are spread. Two slots end before the time in which
/// routes must come into force.
pub const BACKOFF_SLOTS: u32 = 2;

/// The newest routes, as an instance offers them to a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Version of the routes.
    pub version: id::Version,
    /// Whether the instance leads, and so sends at once.
    pub leads: bool,
    /// Time that one copy takes at the follower.
    pub copy: Duration,
    /// Backoff slot of the instance for this follower, from 0.
    pub slot: u32,
}

impl Offer {
    /// Returns how long an instance that does not lead waits for the others.
    fn backoff(&self) -> Duration {
        (SLOT_DELAY + self.copy) * (self.slot + 1)
    }
}

/// What one follower has, and what is on its way to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transfer {
    /// Version that the follower reported; 0 for none.
    known: id::Version,
    /// Version of the copy on its way, and until when newer ones wait for it.
    sent: Option<(id::Version, Instant)>,
    /// When the newest routes have to be sent.
    due: Option<Instant>,
}

impl Transfer {
    /// Starts with the version that a follower reports first.
    #[must_use]
    pub fn new(known: id::Version) -> Self {
        Self {
            known,
            ..Self::default()
        }
    }

    /// Returns when [`Self::send`] has to be called, or `None` where nothing is to be sent.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Handles newer routes of this instance.
    pub fn offer(&mut self, offer: Offer, now: Instant) {
        if self.lacks(offer) && self.due.is_none() {
            self.due = Some(self.send_at(offer, now));
        }
    }

    /// Handles a version that the follower reported.
    pub fn report(&mut self, version: id::Version, offer: Option<Offer>, now: Instant) {
        if version <= self.known {
            return;
        }
        self.known = version;
        self.sent = self.sent.filter(|(sent, _)| *sent > version);
        let missing = offer.filter(|offer| self.lacks(*offer));
        self.due = missing.map(|offer| self.send_at(offer, now));
    }

    /// Returns whether to send the routes of `offer` now, and if so counts them as on their way.
    pub fn send(&mut self, offer: Offer, now: Instant) -> bool {
        self.due = None;
        if !self.lacks(offer) {
            return false;
        }
        let wait = (SLOT_DELAY + offer.copy) * BACKOFF_SLOTS;
        self.sent = Some((offer.version, now + wait));
        true
    }

    fn lacks(&self, offer: Offer) -> bool {
        let sent = self.sent.map_or(0, |(sent, _)| sent);
        offer.version > self.known.max(sent)
    }

    fn send_at(&self, offer: Offer, now: Instant) -> Instant {
        let at = if offer.leads || self.known == 0 {
            now
        } else {
            now + offer.backoff()
        };
        self.sent.map_or(at, |(_, until)| at.max(until))
    }
}

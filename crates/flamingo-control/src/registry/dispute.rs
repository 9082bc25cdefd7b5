//! Targets whose heartbeats are outdated by a registration that nobody confirms.
//!
//! A registration that did not come from the target itself, with an incarnation or sequence beyond the
//! target's, would hide the target for as long as it sends heartbeats. A target that has really been
//! replaced sends none, apart from a few that were held up on their way.

use flamingo_wire::id;
use flamingo_wire::target::Registration;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Heartbeats in sequence after which a target is believed.
const MIN_HEARTBEATS: u32 = 3;
/// Least time from the first to the last of them: what was held up on its way arrives together.
const MIN_TIME: Duration = Duration::from_secs(3);
/// The same where the target has said that it leaves, which it may say once only.
const MIN_LEAVING_TIME: Duration = Duration::from_secs(15);
/// Time without a further heartbeat after which a series is forgotten.
const EXPIRY: Duration = Duration::from_secs(10);

/// Outdated heartbeats of one incarnation of a target, each newer than the one before.
#[derive(Clone, Copy, Debug)]
struct Series {
    incarnation: id::Incarnation,
    sequence: id::Sequence,
    heartbeats: u32,
    since: Instant,
    newest_at: Instant,
}

/// The registrations that outdate a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct Hiding {
    /// When one of them was last confirmed by a heartbeat of its own.
    pub confirmed_at: Instant,
    /// Whether one of them says that its target leaves.
    pub leaving: bool,
}

/// The series of all targets.
#[derive(Debug, Default)]
pub struct Disputes {
    series: BTreeMap<id::Target, Series>,
}

impl Disputes {
    /// Records an outdated heartbeat. `hiding` is what outdates it. Returns whether the target is to be
    /// believed instead.
    pub fn record(&mut self, now: Instant, registration: &Registration, hiding: Hiding) -> bool {
        self.series
            .retain(|_, series| now < series.newest_at + EXPIRY);
        let first = Series {
            incarnation: registration.incarnation,
            sequence: registration.sequence,
            heartbeats: 0,
            since: now,
            newest_at: now,
        };
        let series = self.series.entry(registration.id.clone()).or_insert(first);
        let goes_on =
            series.incarnation == registration.incarnation && hiding.confirmed_at <= series.since;
        if !goes_on {
            *series = first;
        }
        if series.heartbeats > 0 && registration.sequence <= series.sequence {
            return false;
        }
        series.sequence = registration.sequence;
        series.heartbeats += 1;
        series.newest_at = now;
        let min_time = if hiding.leaving {
            MIN_LEAVING_TIME
        } else {
            MIN_TIME
        };
        series.heartbeats >= MIN_HEARTBEATS && now >= series.since + min_time
    }

    /// Forgets the series of a target, whose heartbeat was accepted.
    pub fn end(&mut self, target: &str) {
        self.series.remove(target);
    }
}

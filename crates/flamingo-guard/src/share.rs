//! Fair sharing of scarce capacity between workspaces.
//!
//! Entries count the work of each workspace ([`tally`]) and report it. The leader finds where room is
//! short and which workspaces ask for more than their share there ([`ledger`]). Entries let the requests
//! of these workspaces join shorter queues only ([`limits`]), so that the others find room.

pub mod ledger;
pub mod level;
pub mod limits;
pub mod tally;

use flamingo_wire::id;
use flamingo_wire::route::Rank;
use std::time::Duration;
use strum::IntoStaticStr;

/// Time after its receipt for which an entry uses what the leader has published.
pub const LIMITS_LIFETIME: Duration = Duration::from_secs(1);

/// Longest queueing delay at which a request of a workspace above its share is admitted, as a percentage
/// of the objective, if it belongs to the part of the work that is within the share.
const WITHIN_QUEUE_PERCENT: u32 = 45;
/// The same if it belongs to the part that is next to the share. These requests fill the room that the
/// leader does not know of.
const NEAR_QUEUE_PERCENT: u32 = 35;
/// The same for all others. They are admitted only where the queue is about to run empty, since all
/// entries admit them at once by loads that are up to 200 ms old.
const ABOVE_QUEUE_PERCENT: u32 = 20;
/// Least value of the delay for work within the share: loads are up to 200 ms old, and a shorter queue may
/// run empty before that is known. Work next to the share and above it comes after, with less.
const WITHIN_QUEUE_MIN: Duration = Duration::from_millis(250);
const NEAR_QUEUE_MIN: Duration = Duration::from_millis(150);
const ABOVE_QUEUE_MIN: Duration = Duration::from_millis(40);
/// Size of the part that is next to the share, relative to the share.
const NEAR_PART: f64 = 0.25;
/// Queueing delay, as a percentage of the objective, from which on room counts as short.
const PRESSED_QUEUE_PERCENT: u32 = 25;

/// Requests that compete for the same capacity.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pool {
    /// The service.
    pub service: id::Service,
    /// The model; `None` for all requests to the service, whose models share targets.
    pub model: Option<id::Model>,
    /// Rank of the requests: targets take more urgent ones first, so ranks do not compete.
    pub rank: Rank,
}

/// How a request stands to its workspace's share of the capacity that it needs.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// The workspace is not above its share, or nothing is short.
    #[default]
    Unlimited,
    /// The workspace is above its share, and the request is in the part of its work that is within it.
    WithinShare,
    /// The workspace is above its share, and the request is in the part next to it.
    NearShare,
    /// The workspace is above its share, and the request is in the part beyond that.
    AboveShare,
}

impl Standing {
    /// Returns how a request stands of which a workspace above its share has a `part` within the share.
    /// `draw` is evenly distributed from 0 to 1 over the requests.
    fn of(draw: f64, part: f64) -> Self {
        if draw < part {
            Self::WithinShare
        } else if draw < part * (1.0 + NEAR_PART) {
            Self::NearShare
        } else {
            Self::AboveShare
        }
    }

    /// Returns the longest queue that the request may join; `None` if the share sets no bound.
    ///
    /// ```
    /// use flamingo_guard::share::Standing;
    /// use std::time::Duration;
    ///
    /// let objective = Duration::from_secs(1);
    /// assert_eq!(Standing::Unlimited.max_queue(objective), None);
    /// let within = Standing::WithinShare.max_queue(objective);
    /// assert_eq!(within, Some(Duration::from_millis(450)));
    /// assert!(Standing::NearShare.max_queue(objective) < within);
    /// ```
    #[must_use]
    pub fn max_queue(self, objective: Duration) -> Option<Duration> {
        let (percent, min) = match self {
            Self::Unlimited => return None,
            Self::WithinShare => (WITHIN_QUEUE_PERCENT, WITHIN_QUEUE_MIN),
            Self::NearShare => (NEAR_QUEUE_PERCENT, NEAR_QUEUE_MIN),
            Self::AboveShare => (ABOVE_QUEUE_PERCENT, ABOVE_QUEUE_MIN),
        };
        Some((objective * percent / 100).max(min))
    }

    /// Returns whether a queue is short enough for the request.
    #[must_use]
    pub fn admits(self, queueing_delay: Duration, objective: Duration) -> bool {
        self.max_queue(objective)
            .is_none_or(|max_queue| queueing_delay <= max_queue)
    }
}

/// Returns whether a queue shows that room is short.
///
/// ```
/// use flamingo_guard::share::is_pressed;
/// use std::time::Duration;
///
/// let objective = Duration::from_secs(1);
/// assert!(is_pressed(Duration::from_millis(600), objective));
/// assert!(!is_pressed(Duration::from_millis(200), objective));
/// ```
#[must_use]
pub fn is_pressed(queueing_delay: Duration, objective: Duration) -> bool {
    let pressed_from = (objective * PRESSED_QUEUE_PERCENT / 100).max(NEAR_QUEUE_MIN);
    queueing_delay > pressed_from
}

//! Decides whether a request may queue for its first event at a target.
//!
//! Admission control keeps latency bounded when more prompt tokens arrive than the targets of a
//! model can process. A request is admitted if it is predicted to meet its latency objective. A
//! request that can no longer meet its objective is admitted only while the queue is short, so
//! that it does not make other requests late. All others are rejected at once, or answered late at the
//! last rank if the entry is set to do so.

use flamingo_guard::share::Standing;
use flamingo_wire::route::Rank;
use std::time::Duration;

/// Percentage of the objective that earlier waiting and the predicted queueing delay may use up
/// together for a request to count as on time.
const MAX_OBJECTIVE_PERCENT: u32 = 85;
/// Queueing delay, as a percentage of the objective, up to which a late request is admitted: a
/// queue this short makes no other request late.
const MAX_LATE_QUEUE_PERCENT: u32 = 40;
/// Percentage of the caller's remaining time that the queueing delay may use up; this matters
/// for late requests.
const MAX_REMAINING_PERCENT: u32 = 60;

/// Rank of requests that are answered late: targets take all others first.
pub const LATE_RANK: Rank = 9;
/// Percentage of the caller's remaining time that the predicted time to the first event of a late
/// request may use up. The rest is left for more urgent requests that come later.
const MAX_LATE_REMAINING_PERCENT: u32 = 50;

/// The times of a request on which its admission depends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time since the caller's first try.
    pub elapsed: Duration,
    /// Latency objective: the time to the first event within which the request is on time.
    pub objective: Duration,
    /// Time until the caller gives up.
    pub remaining: Duration,
    /// Whether the request goes on with a stream. Under overload such streams are finished before
    /// others begin, so the objective does not apply.
    pub has_begun: bool,
    /// Predicted time until the target begins with the prompt. The time for the prompt itself
    /// is left out, since large requests would otherwise always be the rejected ones.
    pub queueing_delay: Duration,
    /// How the request stands to the share of its workspace.
    pub standing: Standing,
}

impl Timing {
    /// Returns whether the request is admitted.
    ///
    /// ```
    /// use flamingo_guard::share::Standing;
    /// use flamingo_serve::admission::Timing;
    /// use std::time::Duration;
    ///
    /// let timing = Timing {
    ///     elapsed: Duration::ZERO,
    ///     objective: Duration::from_millis(800),
    ///     remaining: Duration::from_secs(4),
    ///     has_begun: false,
    ///     queueing_delay: Duration::from_millis(500),
    ///     standing: Standing::Unlimited,
    /// };
    /// assert!(timing.admitted());
    /// let delayed = Timing { queueing_delay: Duration::from_secs(1), ..timing };
    /// assert!(!delayed.admitted());
    /// assert!(Timing { has_begun: true, ..delayed }.admitted());
    /// ```
    #[must_use]
    pub fn admitted(&self) -> bool {
        let on_time =
            self.elapsed + self.queueing_delay <= self.objective * MAX_OBJECTIVE_PERCENT / 100;
        let short_queue = self.queueing_delay <= self.objective * MAX_LATE_QUEUE_PERCENT / 100;
        let in_time = self.queueing_delay <= self.remaining * MAX_REMAINING_PERCENT / 100;
        in_time && (self.has_begun || on_time || short_queue)
    }

    /// Returns whether the request is admitted to be answered late, behind all others.
    /// `first_event_delay` is the predicted time to its first event there.
    ///
    /// ```
    /// use flamingo_guard::share::Standing;
    /// use flamingo_serve::admission::Timing;
    /// use std::time::Duration;
    ///
    /// let timing = Timing {
    ///     elapsed: Duration::ZERO,
    ///     objective: Duration::from_millis(800),
    ///     remaining: Duration::from_secs(4),
    ///     has_begun: false,
    ///     queueing_delay: Duration::ZERO,
    ///     standing: Standing::Unlimited,
    /// };
    /// assert!(timing.admitted_late(Duration::from_millis(1_900)));
    /// assert!(!timing.admitted_late(Duration::from_millis(2_100)));
    /// ```
    #[must_use]
    pub fn admitted_late(&self, first_event_delay: Duration) -> bool {
        first_event_delay <= self.remaining * MAX_LATE_REMAINING_PERCENT / 100
    }
}

//! Intervals and timeouts of the protocol.

use std::time::Duration;

/// Intervals and timeouts of the protocol; they must be the same on every member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Interval between the heartbeats of a leader.
    pub heartbeat: Duration,
    /// Time without a message of a leader after which a follower starts an election, before
    /// the random part. A member votes for nobody for the same time after a message of a
    /// leader.
    pub election: Duration,
    /// Time from the sending of a heartbeat that a majority answered for which the leader
    /// may answer reads.
    ///
    /// It is shorter than [`Timing::election`] by the largest drift of clocks that is
    /// tolerated.
    pub lease: Duration,
    /// Time without a sign of life after which a voter may be removed, where the membership
    /// policy is automatic. A heartbeat that was only heard counts as one.
    ///
    /// It is longer than the second for which a sound process may stand still, and short against the time
    /// that a new member has before the next one may be lost.
    pub voter_timeout: Duration,
}

impl Timing {
    /// Returns timing for members that are a few milliseconds apart and that must replace a
    /// lost leader quickly.
    ///
    /// ```
    /// use flamingo_log::Timing;
    ///
    /// assert!(Timing::low_latency().election < Timing::default().election);
    /// ```
    #[must_use]
    pub fn low_latency() -> Self {
        Self {
            heartbeat: Duration::from_millis(80),
            election: Duration::from_millis(600),
            lease: Duration::from_millis(450),
            ..Self::default()
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_secs(1),
            lease: Duration::from_millis(800),
            voter_timeout: Duration::from_secs(2),
        }
    }
}

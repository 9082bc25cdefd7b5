//! Times of the protocol.

use std::time::Duration;

/// Times of the protocol; the same on every member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Silence after which a follower asks for an election, before jitter;
    /// it votes for nobody for as long after it last heard a leader.
    pub election: Duration,
    /// Time for which a leader may answer reads after a majority heard it.
    ///
    /// Shorter than [`Timing::election`] by the drift that clocks may have.
    pub lease: Duration,
    /// Silence after which a voter may be voted out, where the member list is open.
    pub voter_timeout: Duration,
}

impl Timing {
    /// Returns times for members that are a few milliseconds apart, where a leader that is
    /// lost must be followed soon.
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
            voter_timeout: Duration::from_secs(4),
        }
    }
}

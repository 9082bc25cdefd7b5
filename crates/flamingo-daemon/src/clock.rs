//! A monotonic clock that includes the time for which the machine was suspended.
//!
//! A lease must expire while the machine of its holder is suspended. The standard monotonic
//! clock does not advance during that time.

use nix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Readings of both clocks at the same moment.
#[derive(Clone, Copy, Debug)]
struct Origin {
    monotonic: Instant,
    since_boot: Duration,
}

/// Returns the current time, including the time for which the machine was suspended.
///
/// The result equals [`Instant::now`] until the first suspension; from then on it is later by
/// the total time of suspension.
///
/// ```
/// use flamingo_daemon::clock;
///
/// let first = clock::now();
/// assert!(clock::now() >= first);
/// ```
#[must_use]
pub fn now() -> Instant {
    static ORIGIN: OnceLock<Option<Origin>> = OnceLock::new();
    let monotonic = Instant::now();
    let Some(since_boot) = since_boot() else {
        return monotonic;
    };
    match ORIGIN.get_or_init(|| {
        Some(Origin {
            monotonic,
            since_boot,
        })
    }) {
        Some(origin) => {
            monotonic.max(origin.monotonic + since_boot.saturating_sub(origin.since_boot))
        }
        None => monotonic,
    }
}

/// Returns the time since the machine started, including suspension, or `None` where the
/// operating system has no such clock.
fn since_boot() -> Option<Duration> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(time))
}

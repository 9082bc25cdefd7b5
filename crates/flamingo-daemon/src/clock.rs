//! A steady clock that also counts the time for which the machine was suspended.
//!
//! A lease must end while its holder is suspended; the standard steady clock
//! stands still meanwhile.

use nix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The two clocks at one moment.
#[derive(Clone, Copy, Debug)]
struct Origin {
    steady: Instant,
    boot: Duration,
}

/// Returns the time by the clock that counts suspension.
///
/// It agrees with [`Instant::now`] until the first suspension, and is later by the
/// suspended time from then on.
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
    let steady = Instant::now();
    let Some(boot) = boot() else {
        return steady;
    };
    match ORIGIN.get_or_init(|| Some(Origin { steady, boot })) {
        Some(origin) => steady.max(origin.steady + boot.saturating_sub(origin.boot)),
        None => steady,
    }
}

/// Time since the machine started, suspension included; none where the system has no such
/// clock.
fn boot() -> Option<Duration> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(time))
}

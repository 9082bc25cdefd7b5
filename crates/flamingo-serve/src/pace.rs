//! How long work currently takes at a target, from what the target reports.
//!
//! Targets share their machines, so their speed changes within fractions of a second. A report is
//! compared with the target's usual one, and its weight decays with its age. How far the reports
//! explain the observed times is fitted, so that wrong ones end up without effect.

use crate::speed::Ratio;
use std::time::{Duration, Instant};

/// Bounds of a reported pace. Below, a report would attract more requests than an error of the
/// prediction may; above, it would keep a target without requests, and therefore without reports.
const BOUNDS: (f64, f64) = (0.5, 4.0);
/// Time after which the excess of a report over the usual pace is halved. A slow period of a shared
/// machine lasts about 600 ms, and a report falls on average in the middle of one.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// Number of reports that the assumption of a usual pace of 1 counts for.
const USUAL_PRIOR: f64 = 10.0;
/// Number of reports that the usual pace is taken from.
const USUAL_MEMORY: f64 = 200.0;
/// Weight of the prior that reports are accurate, as a sum of squared logarithms of the pace. It equals
/// about ten samples, of which one in seven has a pace of 2.5.
const TRUST_PRIOR: f64 = 1.3;
/// Number of samples that the trust is taken from.
const TRUST_MEMORY: f64 = 200.0;

/// Returns a pace within sane bounds from a reported figure, where 1 is as usual; `None` if the
/// figure can't be a pace.
///
/// ```
/// use flamingo_serve::pace::bounded;
///
/// assert_eq!(bounded(2.5), Some(2.5));
/// assert_eq!(bounded(1e7), Some(4.0));
/// assert_eq!(bounded(0.0), None);
/// ```
#[must_use]
pub fn bounded(pace: f64) -> Option<f64> {
    let (min, max) = BOUNDS;
    let valid = pace.is_finite() && pace > 0.0;
    valid.then(|| pace.clamp(min, max))
}

/// Trust below which the reports of a target are shown to operators as inconsistent with observed times.
const MIN_TRUST: f64 = 0.5;

/// Whether a target reports its pace, and whether the reports agree with observed times.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// The target has reported no pace.
    Silent,
    /// Its reports explain most of the observed times, or too few times were observed yet.
    Believed,
    /// Its reports do not explain the observed times.
    Disbelieved,
}

/// Pace of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Last report relative to the usual pace, with its time.
    last: Option<(f64, Instant)>,
    usual: Ratio,
    /// Sums of the regression of the logarithm of the observed time on that of the pace.
    squares: f64,
    products: f64,
}

impl Pace {
    /// Records a reported pace, where 1 is as usual.
    ///
    /// ```
    /// use flamingo_serve::pace::Pace;
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut pace = Pace::default();
    /// pace.report(2.5, now);
    /// assert!(pace.at(now) > 2.0);
    /// assert!(pace.at(now + Duration::from_secs(3)) < 1.01);
    /// ```
    pub fn report(&mut self, pace: f64, now: Instant) {
        let Some(pace) = bounded(pace) else {
            return;
        };
        self.usual.add(pace, 1.0, USUAL_MEMORY);
        self.last = Some((pace / self.usual.relative(1.0, USUAL_PRIOR), now));
    }

    /// Returns the factor by which work takes longer than usual at `now`.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        if self.last.is_none() {
            return 1.0;
        }
        self.relative(now).powf(self.trust())
    }

    /// Returns how long work takes that begins at `now` and usually takes `work_ms` milliseconds. The
    /// part of the work that is done later is done at a pace closer to the usual one.
    #[must_use]
    pub fn stretch(&self, work_ms: f64, now: Instant) -> f64 {
        if self.last.is_none() {
            return work_ms;
        }
        let excess = self.at(now) - 1.0;
        let decay_ms = HALF_LIFE.as_secs_f64() * 1_000.0 / std::f64::consts::LN_2;
        work_ms + excess * decay_ms * (1.0 - (-work_ms / decay_ms).exp())
    }

    /// Returns the age of the last report; `None` if there was none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let (_, at) = self.last?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns whether the target tells its pace.
    #[must_use]
    pub fn standing(&self) -> Standing {
        match self.last {
            None => Standing::Silent,
            Some(_) if self.trust() < MIN_TRUST => Standing::Disbelieved,
            Some(_) => Standing::Believed,
        }
    }

    /// Compares the pace with an observed time: `ratio` is that time divided by the one that is
    /// expected without the pace, and `weight`, 0 to 1, the part of the time that depends on the pace.
    pub fn observe(&mut self, ratio: f64, weight: f64, now: Instant) {
        let pace = self.relative(now).ln();
        let decay = 1.0 - weight / TRUST_MEMORY;
        self.squares = self.squares * decay + weight * pace * pace;
        self.products = self.products * decay + weight * pace * ratio.ln();
    }

    /// Returns how far reports explain the observed times, 0 to 1.
    fn trust(&self) -> f64 {
        let trust = (TRUST_PRIOR + self.products) / (TRUST_PRIOR + self.squares);
        trust.clamp(0.0, 1.0)
    }

    /// Returns the last report relative to the usual pace, closer to 1 the older it is.
    fn relative(&self, now: Instant) -> f64 {
        let Some((pace, at)) = self.last else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (pace - 1.0) * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

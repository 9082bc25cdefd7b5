//! Limits how many loads from the weight store start within a window.

use super::engine::Key;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The bound on starts of loads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Number of loads that may start within `window`.
    pub loads: f64,
    /// Time over which starts are counted.
    pub window: Duration,
}

/// Loads that one leader planned or started, and those that earlier leaders started.
///
/// The log holds the loads of this leader only once they are committed, so those of earlier leaders are
/// taken over from it as the leadership begins, and counted beside its own.
///
/// A load starts once the unloads of its move are done, so it takes its place from its plan until
/// `window` after its start.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    planned: BTreeSet<Key>,
    started: Vec<Instant>,
}

impl Loads {
    /// Records loads that earlier leaders started this long ago.
    pub fn adopt(&mut self, ages: impl IntoIterator<Item = Duration>, now: Instant) {
        let started = ages.into_iter().filter_map(|age| now.checked_sub(age));
        self.started.extend(started);
    }

    /// Returns how many more loads may be planned; a fraction or a negative number means none.
    /// `recorded` is the number of starts within the window that the log records, of this leader
    /// and of earlier ones.
    ///
    /// ```
    /// use flamingo_control::controller::engine::Key;
    /// use flamingo_control::controller::store::{Ceiling, Loads};
    /// use std::time::{Duration, Instant};
    ///
    /// let ceiling = Ceiling { loads: 3.0, window: Duration::from_secs(5) };
    /// let now = Instant::now();
    /// let key = |target: &str| Key { target: target.into(), incarnation: 1, fence: 1 };
    /// let mut loads = Loads::default();
    /// loads.plan(key("engine-1"));
    /// loads.plan(key("engine-2"));
    /// loads.begin(&key("engine-1"), now);
    /// assert_eq!(loads.available(ceiling, 0, now), 1.0);
    /// assert_eq!(loads.available(ceiling, 0, now + ceiling.window), 2.0);
    /// ```
    pub fn available(&mut self, ceiling: Ceiling, recorded: usize, now: Instant) -> f64 {
        self.started
            .retain(|started| now < *started + ceiling.window);
        let taken = recorded.max(self.started.len()) + self.planned.len();
        ceiling.loads - f64::from(u32::try_from(taken).unwrap_or(u32::MAX))
    }

    /// Records that a load on an engine is planned.
    pub fn plan(&mut self, key: Key) {
        self.planned.insert(key);
    }

    /// Records that the load that is planned on an engine starts.
    pub fn begin(&mut self, key: &Key, now: Instant) {
        self.planned.remove(key);
        self.started.push(now);
    }

    /// Records that the load that is planned on an engine, if there is one, does not start.
    pub fn cancel(&mut self, key: &Key) {
        self.planned.remove(key);
    }
}

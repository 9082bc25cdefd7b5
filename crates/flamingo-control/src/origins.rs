//! Streams that entries report to have begun, with the software version that began each.
//!
//! Any control instance keeps what is reported to it, in memory and for a limited time. What it
//! loses in a restart makes callers begin a stream anew; it never makes one go on at another
//! version.

use flamingo_wire::stream::{Begun, Key, Origin};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which a stream is kept at least; longer than a caller waits for one.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Largest number of streams in one generation; beyond it the oldest ones are dropped early.
const MAX_GENERATION: usize = 100_000;

/// Origins of streams, by key.
type Generation = HashMap<Key, Arc<Origin>>;

/// Origins of the streams that were reported to one control instance. They are kept in two
/// generations, the older of which is dropped as a whole.
#[derive(Debug)]
pub struct Origins {
    current: Generation,
    previous: Generation,
    /// When the current generation becomes the previous one.
    rotates_at: Instant,
}

impl Origins {
    /// Returns an empty store.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            current: Generation::new(),
            previous: Generation::new(),
            rotates_at: now + RETENTION,
        }
    }

    /// Records streams that have begun.
    ///
    /// ```
    /// use flamingo_control::origins::{Origins, RETENTION};
    /// use flamingo_wire::stream::{Begun, Origin};
    /// use std::time::Instant;
    ///
    /// let begun_at = Instant::now();
    /// let origin = Origin { service: "notes".into(), software: "v1".into() };
    /// let mut origins = Origins::new(begun_at);
    /// origins.record(begun_at, vec![Begun { origin: origin.clone(), streams: vec![7] }]);
    /// assert_eq!(origins.find(begun_at + RETENTION, 7), Some(origin));
    /// assert_eq!(origins.find(begun_at + 2 * RETENTION, 7), None);
    /// ```
    pub fn record(&mut self, now: Instant, begun: Vec<Begun>) {
        self.rotate(now);
        for Begun { origin, streams } in begun {
            let origin = Arc::new(origin);
            for stream in streams {
                self.current.insert(stream, Arc::clone(&origin));
            }
        }
    }

    /// Returns where a stream began; `None` if that was not reported, or too long ago.
    pub fn find(&mut self, now: Instant, stream: Key) -> Option<Origin> {
        self.rotate(now);
        let found = self.current.get(&stream);
        let found = found.or_else(|| self.previous.get(&stream));
        found.map(|origin| Origin::clone(origin))
    }

    fn rotate(&mut self, now: Instant) {
        if now < self.rotates_at && self.current.len() < MAX_GENERATION {
            return;
        }
        let both_expired = now >= self.rotates_at + RETENTION;
        let current = std::mem::take(&mut self.current);
        self.previous = if both_expired {
            Generation::new()
        } else {
            current
        };
        self.rotates_at = now + RETENTION;
    }
}

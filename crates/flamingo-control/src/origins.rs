//! Streams that entries report to have begun, with the software version that began each.
//!
//! Any control instance keeps what is reported to it for a limited time, in memory and on its disk:
//! a restart of all processes at once must not lose where the streams began that callers then go on
//! with.

mod journal;
mod store;

pub use journal::{Journal, Opened};
pub use store::Store;

use flamingo_wire::stream::{Begun, Key, Knowledge, Origin};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which a stream is kept at least; longer than a caller waits for one.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Largest number of streams in one generation; beyond it the oldest ones are dropped early.
pub const MAX_GENERATION: usize = 100_000;

/// Number of a generation, which grows.
pub type GenerationId = u64;

/// Origins of streams, by key; `None` where the origin is uncertain.
type Generation = HashMap<Key, Option<Arc<Origin>>>;

/// Origins of the streams that were reported to one control instance. They are kept in two
/// generations, the older of which is dropped as a whole.
#[derive(Debug)]
pub struct Origins {
    current: Generation,
    previous: Generation,
    /// Number of the current generation.
    id: GenerationId,
    /// When the current generation becomes the previous one.
    rotates_at: Instant,
}

impl Origins {
    /// Returns a store that holds what was reported before a restart. It is kept for [`RETENTION`]
    /// from `now` on.
    #[must_use]
    pub fn new(now: Instant, reported: Vec<Begun>) -> Self {
        let mut origins = Self {
            current: Generation::new(),
            previous: Generation::new(),
            id: 0,
            rotates_at: now + RETENTION,
        };
        insert(&mut origins.previous, reported);
        origins
    }

    /// Records streams that have begun. Returns the generation to which they belong.
    ///
    /// ```
    /// use flamingo_control::origins::{Origins, RETENTION};
    /// use flamingo_wire::stream::{Begun, Knowledge, Origin};
    /// use std::time::Instant;
    ///
    /// let begun_at = Instant::now();
    /// let origin = Origin { service: "notes".into(), software: "v1".into() };
    /// let begun = Begun { origin: Some(origin.clone()), streams: vec![7] };
    /// let mut origins = Origins::new(begun_at, Vec::new());
    /// origins.record(begun_at, vec![begun]);
    /// assert_eq!(origins.find(begun_at + RETENTION, 7), Knowledge::Known(origin));
    /// assert_eq!(origins.find(begun_at + 2 * RETENTION, 7), Knowledge::Unknown);
    /// ```
    pub fn record(&mut self, now: Instant, begun: Vec<Begun>) -> GenerationId {
        self.rotate(now);
        insert(&mut self.current, begun);
        self.id
    }

    /// Returns where a stream began, as far as it was reported, and not too long ago.
    pub fn find(&mut self, now: Instant, stream: Key) -> Knowledge {
        self.rotate(now);
        let generations = [&self.current, &self.previous].into_iter();
        let reports = generations.filter_map(|generation| generation.get(&stream));
        reports
            .map(|origin| Knowledge::from(origin.as_deref().cloned()))
            .fold(Knowledge::Unknown, Knowledge::join)
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
        self.id += 1;
        self.rotates_at = now + RETENTION;
    }
}

/// Adds reports to a generation. A stream that was reported with two origins has none.
fn insert(generation: &mut Generation, reports: Vec<Begun>) {
    for Begun { origin, streams } in reports {
        let origin = origin.map(Arc::new);
        for stream in streams {
            let known = generation.entry(stream).or_insert_with(|| origin.clone());
            if *known != origin {
                *known = None;
            }
        }
    }
}

//! Stable choice of a target by a key: consistent hashing (Karger et al., 1997).
//!
//! A lookup costs a binary search over the targets of one pool, never of the fleet.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Points of each target on the ring.
const POINTS: u64 = 16;

/// Hashes `value` the same way in every process of the same build.
pub fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A ring of numbered targets.
///
/// ```
/// use flamingo_route::ring::Ring;
///
/// let ring = Ring::build([("a", 0), ("b", 1)].into_iter());
/// assert_eq!(ring.find(7), ring.find(7));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ring {
    points: Vec<(u64, usize)>,
}

impl Ring {
    /// Builds the ring of the named and numbered targets.
    pub fn build<'a>(targets: impl Iterator<Item = (&'a str, usize)>) -> Self {
        let mut points: Vec<_> = targets
            .flat_map(|(name, number)| (0..POINTS).map(move |point| (hash((name, point)), number)))
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// Returns the target that `key` belongs to.
    #[must_use]
    pub fn find(&self, key: u64) -> Option<usize> {
        let at = self.points.partition_point(|(point, _)| *point < key);
        let point = self.points.get(at).or_else(|| self.points.first())?;
        Some(point.1)
    }
}

//! Consistent hashing (Karger et al., 1997): assigns keys to the targets of one pool so
//! that few keys move when a target joins or leaves.
//!
//! A lookup is a binary search over the targets of one pool, not over all targets.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Points that each target has on the ring.
const POINTS_PER_TARGET: u64 = 16;

/// Hashes `value`; all processes of the same build get the same hash.
pub fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Hash ring that maps a key to the index of a target.
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
    /// Builds the ring from pairs of a target's name and its index.
    pub fn build<'a>(targets: impl Iterator<Item = (&'a str, usize)>) -> Self {
        let mut points: Vec<_> = targets
            .flat_map(|(name, index)| {
                (0..POINTS_PER_TARGET).map(move |point| (hash((name, point)), index))
            })
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// Returns the index of the target that `key` belongs to; `None` if the ring is empty.
    #[must_use]
    pub fn find(&self, key: u64) -> Option<usize> {
        let position = self.points.partition_point(|(point, _)| *point < key);
        let point = self.points.get(position).or_else(|| self.points.first())?;
        Some(point.1)
    }
}

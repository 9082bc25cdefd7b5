//! Room at a target, held from selection until the end of the answer.
//!
//! A [`Slot`] can't be cloned and is consumed by its release, so it is released
//! at most once; the router's attempts own theirs, so that none is forgotten.
//! The rule that a slot is held from selection to the answer's end is that of
//! the `SubLane` paper.

/// One taken slot.
#[derive(Debug)]
#[must_use = "a slot must be released"]
pub struct Slot(());

/// Counts the slots taken at one target.
///
/// ```
/// use flamingo_route::slot::Count;
///
/// let mut count = Count::default();
/// let slot = count.take();
/// assert_eq!(count.taken(), 1);
/// count.release(slot);
/// assert_eq!(count.taken(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Count {
    taken: u32,
}

impl Count {
    /// Takes a slot.
    pub fn take(&mut self) -> Slot {
        self.taken += 1;
        Slot(())
    }

    /// Gives a slot back.
    pub fn release(&mut self, Slot(()): Slot) {
        self.taken -= 1;
    }

    /// Returns the slots taken.
    #[must_use]
    pub fn taken(&self) -> u32 {
        self.taken
    }
}

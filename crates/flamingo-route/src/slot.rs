//! Concurrency slots of a target, each held from the selection of the target until
//! the end of the response (the rule of the `SubLane` paper).
//!
//! A [`Slot`] can't be cloned and is consumed by its release, so it is released
//! at most once. Each attempt of the router owns its slot, so that no slot leaks.

/// One slot in use.
#[derive(Debug)]
#[must_use = "a slot must be released"]
pub struct Slot(());

/// Counts the slots in use at one target.
///
/// ```
/// use flamingo_route::slot::Counter;
///
/// let mut counter = Counter::default();
/// let slot = counter.take();
/// assert_eq!(counter.taken(), 1);
/// counter.release(slot);
/// assert_eq!(counter.taken(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Counter {
    taken: u32,
}

impl Counter {
    /// Takes a slot; the caller has checked that one is free.
    pub fn take(&mut self) -> Slot {
        self.taken += 1;
        Slot(())
    }

    /// Releases a slot.
    pub fn release(&mut self, Slot(()): Slot) {
        self.taken -= 1;
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn taken(&self) -> u32 {
        self.taken
    }
}

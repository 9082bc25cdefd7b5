//! What a target says in its own responses about further requests.
//!
//! Answers the load of targets that leave while control is out of reach: the mark holds whatever
//! else is known of the target, and as long as its incarnation.

/// Whether one incarnation of a target takes new requests, by its own responses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Availability {
    leaving: bool,
}

impl Availability {
    /// Records that the target said that it leaves. Returns whether that is new.
    ///
    /// ```
    /// use flamingo_serve::availability::Availability;
    ///
    /// let mut availability = Availability::default();
    /// assert!(availability.record_leaving());
    /// assert!(!availability.record_leaving());
    /// assert!(availability.is_leaving());
    /// ```
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Returns whether the target said that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }
}

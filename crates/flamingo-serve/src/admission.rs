//! Whether a request may wait for its first event at a target.
//!
//! Answers load beyond what the targets of a model can read: it lets those in that make
//! their objective, lets late ones in where nobody is kept waiting by them, and refuses the
//! rest at once, so that what is let in is prompt.

use std::time::Duration;

/// PartId of the objective that a predicted wait may take, in percent.
const PROMPT: u32 = 85;
/// PartId of the objective up to which a wait keeps nobody else from being prompt, in percent.
const SLACK: u32 = 40;
/// PartId of the time left that the wait of a late request may take, in percent.
const LEFT: u32 = 60;

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Time since the caller's first try.
    pub elapsed: Duration,
    /// Time to the first event for which the request counts as prompt.
    pub objective: Duration,
    /// Time for which the caller still waits.
    pub left: Duration,
    /// Predicted time until its prompt is read; its own size is left out, so that large
    /// requests are not the ones that are always refused.
    pub wait: Duration,
}

impl Claim {
    /// Returns whether it is let in.
    ///
    /// ```
    /// use flamingo_serve::admission::Claim;
    /// use std::time::Duration;
    ///
    /// let claim = Claim {
    ///     elapsed: Duration::ZERO,
    ///     objective: Duration::from_millis(800),
    ///     left: Duration::from_secs(4),
    ///     wait: Duration::from_millis(500),
    /// };
    /// assert!(claim.admitted());
    /// assert!(!Claim { wait: Duration::from_secs(1), ..claim }.admitted());
    /// ```
    #[must_use]
    pub fn admitted(&self) -> bool {
        let prompt = self.elapsed + self.wait <= self.objective * PROMPT / 100;
        let slack = self.wait <= self.objective * SLACK / 100;
        let useful = self.wait <= self.left * LEFT / 100;
        useful && (prompt || slack)
    }
}

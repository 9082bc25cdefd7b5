//! Retry budget: retries are a share of requests, so that they can't become a storm.
//!
//! A token bucket as in "The Tail at Scale" (Dean & Barroso, 2013) and the retry
//! budgets of published proxies.

/// Thousandths of one retry.
const RETRY: u32 = 1_000;

/// The budget of one pool.
///
/// ```
/// use flamingo_route::budget::Budget;
///
/// let mut budget = Budget::new(500, 1);
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// budget.earn();
/// budget.earn();
/// assert!(budget.spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    level: u32,
    share: u32,
    full: u32,
}

impl Budget {
    /// Builds a full budget: `share` thousandths of a retry per request, `burst` saved at most.
    #[must_use]
    pub fn new(share: u32, burst: u32) -> Self {
        let full = burst * RETRY;
        Self {
            level: full,
            share,
            full,
        }
    }

    /// Notes a new request.
    pub fn earn(&mut self) {
        self.level = (self.level + self.share).min(self.full);
    }

    /// Takes one retry, if the budget allows it.
    pub fn spend(&mut self) -> bool {
        let allowed = self.level >= RETRY;
        if allowed {
            self.level -= RETRY;
        }
        allowed
    }
}

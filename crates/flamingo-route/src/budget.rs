//! Retry budget: limits retries to a share of the requests, so that failures can't
//! cause a retry storm.
//!
//! A token bucket as in "The Tail at Scale" (Dean & Barroso, 2013) and the retry
//! budgets of published proxies.

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;

/// Token bucket for the retries of one pool; its level counts thousandths of a retry.
///
/// ```
/// use flamingo_route::budget::Budget;
///
/// let mut budget = Budget::new(500, 1);
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.try_withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    level: u32,
    per_request: u32,
    capacity: u32,
}

impl Budget {
    /// Builds a full budget that gains `per_request` thousandths of a retry with each request
    /// and holds at most `max_retries` retries.
    #[must_use]
    pub fn new(per_request: u32, max_retries: u32) -> Self {
        let capacity = max_retries * RETRY_COST;
        Self {
            level: capacity,
            per_request,
            capacity,
        }
    }

    /// Adds the share of a retry that a new request earns.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.per_request).min(self.capacity);
    }

    /// Takes one retry from the budget; returns `false` if the budget holds less than one.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.level >= RETRY_COST;
        if allowed {
            self.level -= RETRY_COST;
        }
        allowed
    }
}

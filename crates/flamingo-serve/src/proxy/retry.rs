//! Decides whether a request is sent to a target once more, and tells why not.

use super::job::Job;
use super::{MAX_UNREACHABLE, Proxy};
use crate::budget::{Allowance, Budget, Refusal};
use crate::stillness::Stillness;
use flamingo_wire::id;
use slog::info;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time between two lines about unpaid retries of one service.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The retries of one service.
#[derive(Debug)]
struct Account {
    budget: Budget,
    /// Time from which the next line about an unpaid retry may be written.
    next_line: Option<Instant>,
}

/// The retry budgets of all services.
#[derive(Debug)]
pub(super) struct Retries {
    allowance: Allowance,
    accounts: RefCell<HashMap<id::Service, Account>>,
    stillness: RefCell<Stillness>,
}

impl Retries {
    pub(super) fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            accounts: RefCell::default(),
            stillness: RefCell::new(Stillness::new(Instant::now())),
        }
    }

    /// Counts a request that arrived at `arrived_at`, unless it may have waited while this process
    /// stood still: its caller sent it in an earlier window.
    pub(super) fn record_request(&self, service: &str, arrived_at: Instant) {
        if !self.stillness.borrow_mut().catches_up(arrived_at) {
            self.with(service, |account| account.budget.record_request(arrived_at));
        }
    }

    /// Takes back a request that [`Self::record_request`] has counted and that another entry serves.
    pub(super) fn forget_request(&self, service: &str, arrived_at: Instant) {
        self.with(service, |account| account.budget.forget_request(arrived_at));
    }

    fn with<T>(&self, service: &str, action: impl FnOnce(&mut Account) -> T) -> T {
        let mut accounts = self.accounts.borrow_mut();
        let account = accounts
            .entry(service.to_owned())
            .or_insert_with(|| Account {
                budget: Budget::new(self.allowance),
                next_line: None,
            });
        action(account)
    }
}

impl Proxy {
    /// Records that this process runs. Must be called every
    /// [`BEAT_INTERVAL`](crate::stillness::BEAT_INTERVAL).
    pub fn beat(&self) {
        self.retries.stillness.borrow_mut().beat(Instant::now());
    }

    /// Returns whether another attempt is allowed by the limits of the request, its route and the
    /// retry budget. Spends a retry of the budget if the request was already sent.
    pub(super) fn try_retry(&self, job: &Job, now: Instant) -> bool {
        // Each attempt either counts a target as unreachable or counts as sent, so these limits
        // end the loop of attempts.
        if job.unreachable.get() >= MAX_UNREACHABLE {
            return false;
        }
        if job.sent.get() == 0 {
            return job.unreachable.get() > 0;
        }
        if job.sent.get() >= job.route.attempts.max(1) {
            return false;
        }
        self.pay_retry(&job.service, now)
    }

    /// Returns whether a request that a target rejected for lack of an adapter is sent to this target
    /// again. Spends a retry of the budget if so. It is no further target, so the route's number of
    /// attempts does not count.
    pub(super) fn may_resend(&self, job: &Job, now: Instant) -> bool {
        let first = !job.resent.replace(true);
        first && !job.may_have_run.get() && self.pay_retry(&job.service, now)
    }

    /// Spends a retry of the budget. Returns `false` if there is none.
    pub(super) fn pay_retry(&self, service: &str, now: Instant) -> bool {
        let sharers = self.topology.peers.borrow().sharers.count(now);
        let paid = self
            .retries
            .with(service, |account| account.budget.try_retry(now, sharers));
        if let Err(refusal) = paid {
            self.record_unpaid(service, refusal, now);
        }
        paid.is_ok()
    }

    fn record_unpaid(&self, service: &str, refusal: Refusal, now: Instant) {
        let why: &str = refusal.into();
        self.metrics.unaffordable.with_label_values(&[why]).inc();
        let counts = self.retries.with(service, |account| {
            let due = account.next_line.is_none_or(|next| now >= next);
            account.next_line = account.next_line.filter(|_| !due);
            account.next_line.get_or_insert(now + LINE_INTERVAL);
            due.then(|| account.budget.counts(now))
        });
        let Some((requests, retries)) = counts else {
            return;
        };
        let last = self.topology.peers.borrow().sharers.last(now);
        info!(self.log, "retry not paid"; "service" => service, "why" => why,
            "requests" => requests, "retries" => retries,
            "sharers" => last.map(|(sharers, _)| sharers),
            "heard_ms" => last.map(|(_, age)| age.as_millis()));
    }
}

//! Requests that crash targets: notes what ran on a target when it ended, and refuses requests that do
//! so as a whole or by a prefix of their prompt.
//!
//! The decision is that of [`flamingo_guard::quarantine`], by what this entry has seen.

use super::Router;
use crate::action::{Action, AttemptId, Failure};
use crate::request::{Pool, Prefixes, Request, Stage};
use flamingo_guard::observer::{Interrupted, Life};
use flamingo_wire::fault::Reason;
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::prompt::Parts;
use flamingo_wire::{Fault, Verdict, id};
use std::time::Instant;

/// Maximum time after which a refused caller is told to retry, in seconds.
const RETRY_AFTER_MAX: u64 = 300;

impl Router {
    /// Refuses a request that has crashed targets, or a prompt with a prefix that has.
    pub(super) fn check_quarantine(
        &mut self,
        now: Instant,
        arrival: &Request,
    ) -> Result<(), Fault> {
        let (pool, _) = self.resolve(arrival.pool.clone());
        self.judge(now);
        let identities = identities(&arrival.prefixes, arrival.fingerprint);
        let until = self
            .crashes
            .quarantined_until(name(&pool), &identities, now);
        let Some(until) = until else {
            return Ok(());
        };
        let seconds = (until - now).as_secs().clamp(1, RETRY_AFTER_MAX);
        let message = format!("{pool}: requests like this one crash targets");
        let help = "send another request, or retry after the given time";
        let fault = Fault::not_run(Reason::Target, message, help);
        Err(fault.retry_after(u32::try_from(seconds).unwrap_or(1)))
    }

    /// Returns whether an admitted request, or a prefix of its prompt, has crashed targets.
    pub(super) fn is_quarantined(&mut self, now: Instant, request: &id::Request) -> bool {
        self.judge(now);
        let Some(admitted) = self.admitted.get(request) else {
            return false;
        };
        let identities = identities(&admitted.prefixes, admitted.fingerprint);
        let until = self
            .crashes
            .quarantined_until(name(&admitted.pool), &identities, now);
        until.is_some()
    }

    fn judge(&mut self, now: Instant) {
        let findings = self.crashes.judge(now);
        self.actions
            .extend(findings.into_iter().map(Action::Quarantine));
    }

    /// Notes that the response of a request has begun, or for a plain service that it is whole.
    pub(super) fn record_answered(&mut self, request: &id::Request) {
        if let Some(admitted) = self.admitted.get(request) {
            let parts = parts(&admitted.prefixes);
            self.crashes
                .record_answered(name(&admitted.pool), &parts, admitted.fingerprint);
        }
    }

    /// Notes a failure under which the target may have crashed, and has it probed.
    pub(super) fn record_break(&mut self, now: Instant, failure: &Failure) {
        if !failure.target_at_fault || failure.verdict != Verdict::MayHaveRun {
            return;
        }
        let Some(in_flight) = self.in_flight.get(&failure.attempt) else {
            return;
        };
        let Some(life) = self.attempt_life(failure.attempt) else {
            return;
        };
        let Some(admitted) = self.admitted.get(&in_flight.request) else {
            return;
        };
        let is_answering = matches!(admitted.stage, Stage::Answering(_));
        let parts = parts(&admitted.prefixes);
        let address = self.fleet.index_of(&life.0);
        let address = address.and_then(|index| self.fleet.get(index));
        let Some(address) = address.map(|target| target.announcement.address) else {
            return;
        };
        let interrupted = Interrupted {
            service: name(&admitted.pool),
            parts: &parts,
            request: admitted.fingerprint,
            sent_at: in_flight.began,
            headless: false,
            answered_at: in_flight.begun_at.filter(|_| is_answering),
        };
        if self.crashes.record_break(&life, &interrupted, now) {
            self.actions.push(Action::Probe { life, address });
        }
    }

    /// Returns the incarnation of the target of an attempt.
    fn attempt_life(&self, attempt: AttemptId) -> Option<Life> {
        let in_flight = self.in_flight.get(&attempt)?;
        let announcement = &self.fleet.get(in_flight.index)?.announcement;
        Some((announcement.target.clone(), in_flight.incarnation))
    }

    /// Notes that connections to the incarnations of a target before `incarnation` have broken since
    /// it restarted.
    pub(super) fn record_restart(
        &mut self,
        now: Instant,
        target: &str,
        incarnation: id::Incarnation,
    ) {
        for life in self.crashes.ended_lives(target, incarnation) {
            self.crashes.record_crash(&life, now);
        }
    }
}

/// Returns the name of a pool, by which the ledger knows its targets.
fn name(pool: &Pool) -> &str {
    match pool {
        Pool::Model(name) | Pool::Service(name) => name,
    }
}

/// Returns what may be quarantined of a request: the prefixes of its prompt and itself.
fn identities(prefixes: &Prefixes, fingerprint: Fingerprint) -> Parts {
    parts(prefixes).into_iter().chain([fingerprint]).collect()
}

/// Returns the identities of the prefixes of a prompt.
fn parts(prefixes: &Prefixes) -> Parts {
    prefixes.iter().map(|prefix| prefix.hash).collect()
}

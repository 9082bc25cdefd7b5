//! Finds out whether a target has crashed under a request, and refuses requests that crash targets by
//! one part of their prompts or as a whole.

use super::Proxy;
use super::job::Job;
use crate::body::Body;
use crate::choice::Candidate;
use crate::isolation::Failure;
use crate::limit::Limit;
use crate::pool;
use crate::wire::{Cause, Refusal, RequestHead};
use flamingo_guard::observer::{Interrupted, Life};
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::prompt::PartId;
use flamingo_wire::route::{Kind, Route};
use http::Response;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between a broken connection and the probe of its target: the connections of one crash break
/// within this time.
const PROBE_DELAY: Duration = Duration::from_millis(10);
/// Time within which a target must accept the probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a broken connection by which the probe of its target has ended.
pub(super) const PROBE_DURATION: Duration = Duration::from_millis(330);

/// How far the answer of a target had come when its connection broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// There was no head.
    Nothing,
    /// The head had come.
    Head,
    /// The first event had come at this time.
    Event(Instant),
}

impl Proxy {
    /// Returns when the last quarantine of these parts and whole requests ends; `None` if there is none.
    pub(super) fn quarantined_until(&self, service: &str, parts: &[PartId]) -> Option<Instant> {
        let now = Instant::now();
        self.topology.quarantined_until(service, parts, now)
    }

    /// Logs and counts a request with a quarantined part, and returns the refusal.
    pub(super) fn refuse_quarantined(
        &self,
        route: &Route,
        request: &RequestHead,
        until: Instant,
    ) -> Response<Body> {
        let remaining = until.saturating_duration_since(Instant::now());
        info!(self.log, "prompt refused"; "request" => &request.attempt_id, "route" => &route.name,
            "workspace" => &request.workspace, "limit" => Limit::name(Cause::Quarantined),
            "version" => request.configuration, "parts" => request.part_names(), "for_ms" => remaining.as_millis());
        self.quarantine_refusal(route, request, remaining)
    }

    /// Logs and counts a request that has crashed targets, and returns the refusal.
    pub(super) fn refuse_deadly(
        &self,
        route: &Route,
        request: &RequestHead,
        fingerprint: Fingerprint,
        until: Instant,
    ) -> Response<Body> {
        let remaining = until.saturating_duration_since(Instant::now());
        info!(self.log, "request refused"; "request" => &request.attempt_id, "route" => &route.name,
            "workspace" => &request.workspace, "limit" => Limit::name(Cause::Quarantined),
            "version" => request.configuration, "fingerprint" => format!("{fingerprint:016x}"), "for_ms" => remaining.as_millis());
        self.quarantine_refusal(route, request, remaining)
    }

    fn quarantine_refusal(
        &self,
        route: &Route,
        request: &RequestHead,
        remaining: Duration,
    ) -> Response<Body> {
        let cause = Cause::Quarantined;
        self.metrics.record_outcome(&route.name, cause.into());
        let refusal = Refusal {
            cause,
            retry_after: Some(remaining + self.retry_spread(request)),
        };
        self.refuse(refusal, Some(request))
    }

    /// Counts a request whose first event or whole response has come.
    pub(super) fn record_answered(&self, job: &Job) {
        let mut crashes = self.topology.crashes.borrow_mut();
        crashes.record_answered(&job.service, &job.parts, job.fingerprint);
    }

    /// Records that the connection of a request broke, and probes the target if it may have crashed
    /// under this request.
    pub(super) fn record_break(
        self: &Rc<Self>,
        job: &Job,
        candidate: &Candidate,
        sent_at: Instant,
        progress: Progress,
    ) {
        job.record_lost(candidate);
        let life = candidate.life();
        let request = Interrupted {
            service: &job.service,
            parts: &job.parts,
            request: job.fingerprint,
            sent_at,
            headless: progress == Progress::Nothing && job.route.kind == Kind::Stream,
            answered_at: match progress {
                Progress::Event(at) => Some(at),
                Progress::Nothing | Progress::Head => None,
            },
        };
        let mut crashes = self.topology.crashes.borrow_mut();
        let probes = crashes.record_break(&life, &request, Instant::now());
        drop(crashes);
        if probes {
            let proxy = Rc::clone(self);
            tokio::task::spawn_local(async move { proxy.probe(life).await });
        }
    }

    /// Connects to a target whose connection broke. If it accepts none, it has crashed, unless this entry is
    /// cut off from it.
    async fn probe(&self, life: Life) {
        tokio::time::sleep(PROBE_DELAY).await;
        let address = {
            let table = self.topology.table.borrow();
            let target = table.get(&life.0);
            let target = target.filter(|target| target.registration.incarnation == life.1);
            target.map(|target| target.registration.address)
        };
        let Some(address) = address else {
            return self.topology.record_crash(&life);
        };
        let Some(connection) = pool::dial(address, Instant::now() + PROBE_TIMEOUT).await else {
            self.topology.record_unreached(&life);
            self.record_failure(&life.0, Instant::now());
            self.record_out_of_reach(&life.0, Failure::Unreached);
            // Streams wait for its return.
            return self.topology.models_changed.notify_waiters();
        };
        self.topology.crashes.borrow_mut().record_reachable(&life);
        let mut pool = self.topology.pool.borrow_mut();
        pool.put(&life.0, connection, None, Instant::now());
    }
}

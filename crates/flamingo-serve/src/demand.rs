//! Counts the demand for models and reports it to the leader, together with this entry's load on
//! targets. The leader uses the reports to place models and informs all entries of the total load. Twice a
//! second a report also asks for the newest routes.

use crate::proxy::RETRY_AFTER_MIN;
use crate::topology::Topology;
use crate::wire::RequestHead;
use flamingo_daemon::clock;
use flamingo_guard::share::Pool;
use flamingo_guard::share::tally::{Event, Tally};
use flamingo_link::subscription::ControlClient;
use flamingo_wire::control::{Reply, Request, UsageReport};
use flamingo_wire::id;
use flamingo_wire::share::Use;
use flamingo_wire::target::{Demand, Need, Usage};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::MissedTickBehavior;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two reports: the leader counts the entries by their reports, and this entry needs a
/// recent acknowledgement. It also needs to know whether its routes are the newest ones.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which the leader must acknowledge a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which reports go to the leader directly after a control instance has not passed one on.
const DIRECT_TIME: Duration = Duration::from_secs(2);
/// Time that an engine needs for a prompt token, in milliseconds.
const PROMPT_TOKEN_MS: f64 = 0.04;
/// Time that an engine needs for an output token while it processes other requests as well, in
/// milliseconds.
const OUTPUT_TOKEN_MS: f64 = 0.7;

/// A model of a service.
type Key = (id::Service, id::Model);

/// Demand since the last report.
#[derive(Debug, Default)]
pub struct Counter {
    demand: RefCell<BTreeMap<Key, Demand>>,
    needs: RefCell<BTreeMap<(Key, id::Software), Need>>,
    shares: RefCell<Tally>,
}

impl Counter {
    /// Counts a request that arrived, whose caller has waited for `earlier_wait` before. `ratio` is the
    /// time of work of its model relative to the service. Requests without a model are not counted.
    pub fn record_arrival(
        &self,
        service: &str,
        request: &RequestHead,
        earlier_wait: Duration,
        ratio: f64,
    ) {
        self.change(service, request, |demand| {
            demand.requests += 1;
            demand.returned += u32::from(earlier_wait >= RETRY_AFTER_MIN);
            demand.work_ms += work_ms(request) * ratio;
        });
    }

    /// Counts a request that was refused because no target had the model or capacity for it.
    pub fn record_refusal(&self, service: &str, request: &RequestHead) {
        self.change(service, request, |demand| demand.refused += 1);
    }

    /// Counts a stream that began at a version of the software, and may have to go on there.
    pub fn record_begun(&self, service: &str, request: &RequestHead, software: &str) {
        self.change_need(service, request, software, |need| need.begun += 1);
    }

    /// Counts a stream that can't go on, since no target of its version has the model.
    pub fn record_stranded(&self, service: &str, request: &RequestHead, software: &str) {
        self.change_need(service, request, software, |need| need.stranded += 1);
    }

    /// Counts a request of a workspace, for the shares of what is short. `ratio` is as for
    /// [`Self::record_arrival`].
    pub fn record_share(
        &self,
        pool: &Pool,
        workspace: &str,
        request: &RequestHead,
        ratio: f64,
        event: Event,
    ) {
        let work = work_ms(request) * ratio;
        self.shares
            .borrow_mut()
            .record(pool, workspace, work, event);
    }

    /// Returns the work of workspaces since the last call and resets the counts.
    #[must_use]
    pub fn take_shares(&self) -> Vec<Use> {
        self.shares.borrow_mut().take()
    }

    fn change_need(
        &self,
        service: &str,
        request: &RequestHead,
        software: &str,
        change: impl FnOnce(&mut Need),
    ) {
        let Some(model) = request.model.clone() else {
            return;
        };
        let key = ((service.to_owned(), model.clone()), software.to_owned());
        let mut needs = self.needs.borrow_mut();
        let need = needs.entry(key).or_insert_with(|| Need {
            service: service.to_owned(),
            model,
            software: software.to_owned(),
            ..Need::default()
        });
        change(need);
    }

    /// Returns what streams have needed since the last call and resets the counts.
    fn take_needs(&self) -> Vec<Need> {
        let needs = std::mem::take(&mut *self.needs.borrow_mut());
        needs.into_values().collect()
    }

    fn change(&self, service: &str, request: &RequestHead, change: impl FnOnce(&mut Demand)) {
        let Some(model) = request.model.clone() else {
            return;
        };
        let mut all = self.demand.borrow_mut();
        let key = (service.to_owned(), model.clone());
        let demand = all.entry(key).or_insert_with(|| Demand {
            service: service.to_owned(),
            model,
            ..Demand::default()
        });
        change(demand);
    }

    /// Returns the demand since the last call and resets the counts.
    #[must_use]
    pub fn take(&self) -> Vec<Demand> {
        std::mem::take(&mut *self.demand.borrow_mut())
            .into_values()
            .collect()
    }
}

/// Estimates the time that an engine needs for a request of a model that is as fast as its service, in
/// milliseconds.
fn work_ms(request: &RequestHead) -> f64 {
    let output_tokens = request
        .expected_output_tokens
        .unwrap_or(request.max_output_tokens)
        .min(request.max_output_tokens);
    f64::from(request.prompt_tokens) * PROMPT_TOKEN_MS + f64::from(output_tokens) * OUTPUT_TOKEN_MS
}

/// Reports demand, load and evidence against prompt parts to the leader every `REPORT_INTERVAL`. Never returns.
pub async fn report(
    topology: Rc<Topology>,
    counter: Rc<Counter>,
    control_client: Rc<ControlClient>,
) {
    let mut routes_asked_at: Option<Instant> = None;
    let mut direct_until: Option<Instant> = None;
    // The time for which an acknowledgement takes must not add to the age of the next report.
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Some(leader) = topology.peers.borrow().leader else {
            continue;
        };
        let now = Instant::now();
        let leader_name = leader.to_string();
        let evidence = {
            let mut crashes = topology.crashes.borrow_mut();
            crashes.take_evidence(&leader_name, now)
        };
        let asks_routes = routes_asked_at.is_none_or(|last| now >= last + MAX_REPORT_INTERVAL);
        let usage = Usage {
            demand: counter.take(),
            loads: topology.table.borrow_mut().report_loads(),
            evidence: evidence.clone(),
            needs: counter.take_needs(),
            shares: counter.take_shares(),
            asks_routes,
        };
        if usage == Usage::default() {
            continue;
        }
        if asks_routes {
            routes_asked_at = Some(now);
        }
        let sent_at = clock::now();
        let deadline = now + REPORT_TIMEOUT;
        let relay = topology.peers.borrow().relay_to(leader);
        let relay = relay.filter(|_| direct_until.is_none_or(|until| now >= until));
        let (receiver, request) = match relay {
            Some(relay) => (relay, Request::PassUsage(UsageReport { leader, usage })),
            None => (leader, Request::Usage(usage)),
        };
        let reply = control_client.ask(receiver, &request, deadline).await;
        let is_acknowledged = matches!(reply, Reply::Acknowledged | Reply::NewestRoutes(_));
        if relay.is_some() && !is_acknowledged {
            direct_until = Some(Instant::now() + DIRECT_TIME);
        }
        // Of a lost report only the evidence is resent: the next report has the current load.
        let mut crashes = topology.crashes.borrow_mut();
        if is_acknowledged {
            crashes.acknowledge(&leader_name, &evidence);
            topology.peers.borrow_mut().record_acknowledged(leader, now);
        } else {
            crashes.return_answered(evidence);
        }
        drop(crashes);
        if let Reply::NewestRoutes(newest) = reply {
            topology.record_newest(receiver, newest, sent_at);
        }
    }
}

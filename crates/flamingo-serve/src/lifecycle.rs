//! Readiness, periodic maintenance and shutdown of an entry.

use crate::proxy::Proxy;
use crate::server::{ConnectionLimits, Drain, Stage};
use crate::stillness::BEAT_INTERVAL;
use crate::topology::Topology;
use slog::{Logger, info};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of the maintenance task.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which it is checked whether a round of probes is due.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of a timer from which on the process counts as held up.
const HELD_UP_THRESHOLD: Duration = Duration::from_millis(200);
/// Time after the start of the shutdown during which new callers are still accepted: long enough
/// for a load balancer to poll the readiness of this entry twice.
const ACCEPT_GRACE: Duration = Duration::from_millis(2_300);
/// Time before the end of the grace period at which requests that are still in flight are given up.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time in which the answers to these are written.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Interval for checking whether connections are still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether the entry can serve callers: it has routes and at least one target that
/// accepts requests, and it is not shutting down.
#[must_use]
pub fn is_ready(topology: &Topology, drain: &Drain) -> bool {
    let has_routes = topology.routes.borrow().is_some();
    let has_target = topology
        .table
        .borrow()
        .iter()
        .any(crate::table::Target::accepts_requests);
    has_routes && has_target && drain.stage() == Stage::Serving
}

/// Records that the process runs, so that a time in which it did not is noticed. Never returns.
pub async fn beat(proxy: Rc<Proxy>) {
    loop {
        proxy.beat();
        tokio::time::sleep(BEAT_INTERVAL).await;
    }
}

/// Probes targets while it is in doubt whether this entry reaches any. Never returns.
pub async fn probe(proxy: Rc<Proxy>) {
    loop {
        proxy.probe_targets();
        tokio::time::sleep(PROBE_CHECK_INTERVAL).await;
    }
}

/// Periodically removes expired connections and targets, and applies the connection limits of
/// the current routes. Logs when the timers of the process are late. Never returns.
pub async fn maintain(proxy: Rc<Proxy>, limits: Rc<Cell<ConnectionLimits>>, log: Logger) {
    loop {
        let due_at = Instant::now() + MAINTENANCE_INTERVAL;
        tokio::time::sleep_until(due_at.into()).await;
        let now = Instant::now();
        let delay = now.saturating_duration_since(due_at);
        if delay >= HELD_UP_THRESHOLD {
            info!(log, "held up"; "for_ms" => delay.as_millis());
        }
        let topology = proxy.topology();
        topology.pool.borrow_mut().remove_expired(now);
        topology.table.borrow_mut().remove_expired(now);
        topology.origins.borrow_mut().remove_expired(now);
        topology.settle_crashes();
        topology.crashes.borrow_mut().remove_expired(now);
        let routes = topology.routes.borrow().clone();
        if let Some(routes) = routes {
            limits.set(ConnectionLimits::new(&routes.set.limits));
        }
    }
}

/// Shuts the entry down within `grace`, and returns once the process may exit.
///
/// New callers are accepted until the load balancer has seen that this entry is not ready, if their
/// requests end in time. Then idle connections are closed, and the function returns when the last
/// connection has closed or shortly before `grace` is over.
pub async fn shut_down(drain: &Drain, grace: Duration) {
    let ends_at = Instant::now() + grace.saturating_sub(EXIT_MARGIN);
    drain.begin(ends_at);
    tokio::time::sleep(ACCEPT_GRACE.min(grace / 2)).await;
    drain.enter_stage(Stage::Closing);
    // Bytes written last may still be in the buffers of the process.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    wait_for_connections(drain, ends_at).await;
    drain.enter_stage(Stage::Ending);
    wait_for_connections(drain, Instant::now() + LAST_ANSWERS_TIME).await;
}

/// Waits until no connection is open, until `deadline` at the latest.
async fn wait_for_connections(drain: &Drain, deadline: Instant) {
    while Instant::now() < deadline && drain.open_connections() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

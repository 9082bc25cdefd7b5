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
/// Delay of a timer from which on the process counts as held up.
const HELD_UP_THRESHOLD: Duration = Duration::from_millis(200);
/// Time after the start of the shutdown during which new callers are still accepted: long enough
/// for a load balancer to poll the readiness of this entry twice.
const ACCEPT_GRACE: Duration = Duration::from_millis(2_300);
/// Time before the end of the grace period at which the process exits even if requests are still
/// in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
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
        topology.crashes.borrow_mut().remove_expired(now);
        let routes = topology.routes.borrow().clone();
        if let Some(routes) = routes {
            limits.set(ConnectionLimits::new(&routes.set.limits));
        }
    }
}

/// Shuts the entry down within `grace`, and returns once the process may exit.
///
/// New callers are accepted until the load balancer has seen that this entry is not ready. Then
/// idle connections are closed, and the function returns when the last connection has closed or
/// shortly before `grace` is over.
pub async fn shut_down(drain: &Drain, grace: Duration) {
    drain.enter_stage(Stage::Draining);
    let started_at = Instant::now();
    let exit_at = started_at + grace.saturating_sub(EXIT_MARGIN);
    tokio::time::sleep(ACCEPT_GRACE.min(grace / 2)).await;
    drain.enter_stage(Stage::Closing);
    // Bytes written last may still be in the buffers of the process.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    while Instant::now() < exit_at && drain.open_connections() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

//! An entry's readiness, upkeep and end.

use crate::proxy::Proxy;
use crate::server::{ConnectionLimits, Drain, Stage};
use crate::topology::Topology;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two rounds of upkeep.
const ROUND: Duration = Duration::from_millis(500);
/// Time after the wish to stop for which new callers may still come: until whoever sends
/// them has asked twice whether this entry is ready.
const LAST: Duration = Duration::from_millis(2_300);
/// Time before the longest stop at which the process ends whatever it does.
const SPARE: Duration = Duration::from_millis(400);
/// Time between two looks at what is still being answered.
const LOOK: Duration = Duration::from_millis(50);

/// Returns whether the entry can serve callers: it knows routes and a target, and goes on.
#[must_use]
pub fn is_ready(topology: &Topology, drain: &Drain) -> bool {
    let known = topology.routes.borrow().is_some();
    let target = topology
        .table
        .borrow()
        .iter()
        .any(crate::table::Target::open);
    known && target && drain.stage() == Stage::Serving
}

/// Keeps connections and limits current, for ever.
pub async fn maintain(proxy: Rc<Proxy>, limits: Rc<Cell<ConnectionLimits>>) {
    loop {
        tokio::time::sleep(ROUND).await;
        let now = Instant::now();
        let topology = proxy.topology();
        topology.pool.borrow_mut().sweep(now);
        topology.table.borrow_mut().sweep(now);
        let routes = topology.routes.borrow().clone();
        if let Some(routes) = routes {
            limits.set(ConnectionLimits::new(&routes.set.limits));
        }
    }
}

/// Ends what is being answered, `grace` after the wish to stop at the latest.
///
/// New callers may come until whoever sends them has seen that this entry is not ready.
/// After that idle connections are closed, and the process ends with the last answer.
pub async fn shut_down(drain: &Drain, grace: Duration) {
    drain.enter_stage(Stage::Draining);
    let begun = Instant::now();
    let last = begun + grace.saturating_sub(SPARE);
    tokio::time::sleep(LAST.min(grace / 2)).await;
    drain.enter_stage(Stage::Closing);
    // What was written last is still on its way out of the process.
    tokio::time::sleep(LOOK).await;
    while Instant::now() < last && drain.open_connections() > 0 {
        tokio::time::sleep(LOOK).await;
    }
}

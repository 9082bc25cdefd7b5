//! Fetches routes that are not pushed in time.
//!
//! Load: a change of the routes, each several kilobytes to a megabyte, while the relay of an entry lags behind
//! the log, or what it pushes does not arrive. The answer that named the routes came through instances that
//! work, so the routes come the same way. Only what is overdue is fetched: a relay sends one copy to each of
//! its entries, and the links of entries have no room for two.

use crate::topology::Topology;
use flamingo_daemon::clock;
use flamingo_link::subscription::ControlClient;
use flamingo_wire::control::{Reply, Request};
use slog::{Logger, info};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::MissedTickBehavior;

/// Interval at which an entry looks whether routes are overdue.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for one answer; an entry must have the routes 2.5 s after they are committed.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between the end of an attempt that failed and the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Fetches overdue routes. Never returns.
pub async fn run(topology: Rc<Topology>, control_client: Rc<ControlClient>, log: Logger) {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !topology.freshness.borrow().are_overdue(clock::now()) {
            continue;
        }
        // Another instance becomes known with the next answer.
        let Some(control) = topology.answered_by.get() else {
            continue;
        };
        let deadline = Instant::now() + FETCH_TIMEOUT;
        let reply = control_client
            .ask(control, &Request::PushedRoutes, deadline)
            .await;
        match reply {
            Reply::Routes(Some(set)) => topology.replace_routes(control, set),
            reply => {
                info!(log, "routes not fetched"; "control" => %control, "reply" => ?reply);
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

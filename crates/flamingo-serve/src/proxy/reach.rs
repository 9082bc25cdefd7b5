//! Records whether targets are reached, and probes them while that is in doubt.

use super::Proxy;
use crate::isolation::{Change, Failure, Reach, Success};
use crate::pool;
use crate::server::Stage;
use crate::table::Table;
use flamingo_wire::id;
use http::Request;
use http_body_util::Full;
use slog::info;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

/// A target that is probed.
struct Probe {
    target: id::Target,
    address: SocketAddr,
    /// Whether it answers the question for its incarnation.
    is_engine: bool,
}

/// Time after which a target that has not answered a probe may be out of reach.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an answer to a probe is waited for: a late one shows as well that the target is reached.
const LATE_PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the connection must then stay open. A target says nothing before it is asked, so one
/// that ends at once was not accepted by the target.
const SETTLE_TIME: Duration = Duration::from_millis(20);

impl Proxy {
    /// Returns whether this entry reaches no target.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolation.borrow().is_isolated()
    }

    /// Returns whether this entry reaches targets.
    pub(super) fn reach(&self) -> Reach {
        self.isolation.borrow().reach(self.known_targets())
    }

    fn known_targets(&self) -> usize {
        self.topology.table.borrow().iter().count()
    }

    /// Records that a target was reached by a connection or request that began at `begun_at`.
    pub(super) fn record_reached(&self, target: &str, success: Success, begun_at: Instant) {
        let now = Instant::now();
        let change = self
            .isolation
            .borrow_mut()
            .record_success(target, success, now);
        if let Some(change) = change {
            self.record_change(target, change);
        } else if success == Success::Connected {
            let mut crashes = self.topology.crashes.borrow_mut();
            crashes.confirm_likely(target, begun_at);
        }
    }

    /// Records that a target may not be reached.
    pub(super) fn record_out_of_reach(&self, target: &str, failure: Failure) {
        let (known, now) = (self.known_targets(), Instant::now());
        let change = self
            .isolation
            .borrow_mut()
            .record_failure(target, failure, known, now);
        if let Some(change) = change {
            self.record_change(target, change);
        }
    }

    /// Logs that this entry is isolated or reaches targets again. What it took for crashes may have been the
    /// partition. Idle connections of an isolated entry may hang, and a request on one would be lost; they
    /// are kept only if others of them answer.
    fn record_change(&self, target: &str, change: Change) {
        self.topology.crashes.borrow_mut().doubt_likely();
        match change {
            Change::Isolated {
                failed,
                answering,
                quiet,
            } => {
                info!(self.log, "isolated from targets"; "target" => target, "failed" => failed,
                    "answering" => answering, "known" => self.known_targets(),
                    "quiet_ms" => quiet.as_millis());
                if answering == 0 {
                    self.topology.pool.borrow_mut().clear();
                }
                self.metrics.handovers().isolated.set(1);
            }
            Change::Reaching { lasted } => {
                info!(self.log, "reaches targets again"; "target" => target,
                    "after_ms" => lasted.as_millis());
                self.metrics.handovers().isolated.set(0);
            }
        }
    }

    /// Has the heartbeats of this entry say whether it takes requests of others.
    fn announce(&self) {
        let has_routes = self.topology.routes.borrow().is_some();
        let serves = has_routes
            && self.drain.stage() == Stage::Serving
            && self.isolation.borrow().serves_others();
        let address = self.inner_address.filter(|_| serves);
        self.topology.set_neighbour(address);
    }

    /// Says whether this entry takes requests of others, and probes a few targets if it is in doubt whether
    /// any is reached.
    pub fn probe_targets(self: &Rc<Self>) {
        self.announce();
        let now = Instant::now();
        let count = {
            let table = self.topology.table.borrow();
            let mut isolation = self.isolation.borrow_mut();
            isolation.retain(|target| table.get(target).is_some());
            isolation.begin_probes(now)
        };
        if count == 0 {
            return;
        }
        for probe in self.targets_to_probe(count, now) {
            let proxy = Rc::clone(self);
            tokio::task::spawn_local(async move { proxy.probe_target(&probe).await });
        }
    }

    /// Probes a target and records the outcome: of a late answer, first that there was none in time.
    async fn probe_target(&self, probe: &Probe) {
        let begun_at = Instant::now();
        let mut answer = pin!(self.is_answered(probe));
        let in_time = timeout(PROBE_TIMEOUT, &mut answer).await.ok();
        if in_time != Some(true) {
            self.record_out_of_reach(&probe.target, Failure::Unreached);
        }
        let is_reached = match in_time {
            Some(is_reached) => is_reached,
            None => answer.await,
        };
        if is_reached {
            self.record_reached(&probe.target, Success::Connected, begun_at);
        }
        self.announce();
    }

    /// Returns whether a target is reached. An accepted connection proves it only of a plain service, which
    /// might run what it is asked.
    async fn is_answered(&self, probe: &Probe) -> bool {
        if !probe.is_engine {
            return accepts_connection(probe.address).await;
        }
        let deadline = Instant::now() + LATE_PROBE_TIMEOUT;
        let Some(mut connection) = pool::dial(probe.address, deadline).await else {
            return false;
        };
        let question = self.codec.incarnation_request(&probe.target);
        let question = Request::from_parts(question, Full::default());
        let answered = timeout_at(deadline.into(), connection.send(question)).await;
        matches!(answered, Ok(Ok(_)))
    }

    fn is_engine(&self, service: &str) -> bool {
        let routes = self.topology.routes.borrow();
        let service = routes.as_ref().and_then(|routes| routes.service(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Returns the targets whose answer may refute most, in an order that changes with the time: engines only,
    /// where there are any.
    fn targets_to_probe(&self, count: usize, now: Instant) -> Vec<Probe> {
        let table: &Table = &self.topology.table.borrow();
        let isolation = self.isolation.borrow();
        let (engines, others): (Vec<_>, Vec<_>) = table
            .iter()
            .partition(|target| self.is_engine(&target.registration.service));
        let is_engine = !engines.is_empty();
        let mut targets = if is_engine { engines } else { others };
        targets.sort_by_cached_key(|target| {
            let id = &target.registration.id;
            let may_be_gone = table.heartbeat_overdue(target) || !target.accepts_requests();
            let mut hasher = DefaultHasher::new();
            (now, id).hash(&mut hasher);
            (may_be_gone, isolation.probe_rank(id), hasher.finish())
        });
        let probed = targets.into_iter().take(count);
        probed
            .map(|target| {
                let registration = &target.registration;
                Probe {
                    target: registration.id.clone(),
                    address: registration.address,
                    is_engine,
                }
            })
            .collect()
    }
}

/// Returns whether a target accepts a connection and keeps it. The connection is closed at once.
async fn accepts_connection(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        return false;
    };
    let mut byte = [0];
    let ended = timeout(SETTLE_TIME, stream.peek(&mut byte)).await;
    // An error or no byte: it has ended.
    !matches!(ended, Ok(Err(_) | Ok(0)))
}

//! Releases connections to targets whose response has been read or is not wanted.

use super::Proxy;
use crate::body;
use crate::exchange::PendingResponse;
use crate::pool::Connection;
use crate::wire::ResponseHead;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Largest response that is read to its end so that its connection can be reused, in bytes.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Time for reading the rest of a discarded response, so that its connection can be reused.
const CONNECTION_RESET_TIMEOUT: Duration = Duration::from_secs(1);

impl Proxy {
    /// Reads the rest of a discarded response in the background, so that its connection can be
    /// reused. One that does not end as it should is a failure of the target.
    pub(super) fn discard(self: &Rc<Self>, target: &str, response: PendingResponse) {
        let proxy = Rc::clone(self);
        let target = target.to_owned();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + CONNECTION_RESET_TIMEOUT;
            let rest = timeout_at(
                deadline.into(),
                body::discard(response.body, MAX_DISCARDED_BYTES),
            )
            .await;
            match rest {
                Ok(Ok(())) => {
                    proxy.record_response(&target);
                    proxy.return_to_pool(&target, response.connection, &response.parsed);
                }
                Ok(Err(_)) => {
                    let request = response.parsed.attempt_id.as_ref();
                    proxy.record_broken_answer(request, &target, "refusal");
                }
                Err(_) => {}
            }
        });
    }

    /// Returns a connection to the pool once it can send another request. The response on it must
    /// have been read to its end. The connection of a response without an attempt id is closed: the next
    /// one on it could not be told from a copy of this one.
    pub(super) fn return_to_pool(
        self: &Rc<Self>,
        target: &str,
        mut connection: Connection,
        parsed: &ResponseHead,
    ) {
        if parsed.closes_connection || parsed.attempt_id.is_none() {
            return;
        }
        let idle_timeout = parsed.idle_timeout;
        let topology = Rc::clone(&self.topology);
        let target = target.to_owned();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + CONNECTION_RESET_TIMEOUT;
            let ready = timeout_at(deadline.into(), connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let mut pool = topology.pool.borrow_mut();
                pool.put(&target, connection, idle_timeout, Instant::now());
            }
        });
    }
}

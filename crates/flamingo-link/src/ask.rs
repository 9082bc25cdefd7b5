//! Requests to the control instances.
//!
//! A request is retried under the same identity until an instance answers or the request's
//! deadline has passed. Each attempt has a deadline of its own, after which its connection is
//! dropped, since something on the path may have lost the state of the connection. A request
//! whose answer was lost may have been carried out. A retry then gets the answer to the first
//! attempt; where no retry succeeds, the verdict of the refusal is `MayHaveRun`.

use crate::pool::MAX_MESSAGE_BYTES;
use crate::shared::Shared;
use flamingo_settings::node::Peer;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::{Fault, Verdict};
use std::time::{Duration, Instant, SystemTime};
use tokio::time::timeout_at;

/// Time-out for one request, over all attempts.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time-out for one attempt.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Number of seconds after which callers should retry, where the refusal names none.
const RETRY_AFTER_SECS: u32 = 1;

/// The result of one attempt.
enum Outcome {
    /// The instance answered.
    Reply(Reply),
    /// No byte of the request was sent.
    Unsent,
    /// The request was sent, and no valid answer was received.
    Lost,
}

/// Sends a request and retries it until a control instance answers or [`REQUEST_TIMEOUT`] ends.
///
/// Reports are not retried after a lost answer, since they would count demand twice.
pub(crate) async fn ask(shared: &Shared, request: &Request) -> Reply {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let retries = !matches!(request, Request::Report(_));
    let mut maybe_carried_out = false;
    let mut last_refusal = None;
    let mut attempts = 0;
    while Instant::now() < deadline {
        let Some(peer) = choose_instance(shared, attempts) else {
            break;
        };
        attempts += 1;
        match attempt(shared, &peer, request, deadline).await {
            Outcome::Reply(Reply::Refused(fault)) if is_temporary(&fault) => {
                shared.leader().clone_from(&fault.leader);
                last_refusal = Some(fault);
            }
            Outcome::Reply(reply) => {
                *shared.leader() = Some(peer.node);
                return adjust_verdict(reply, maybe_carried_out);
            }
            Outcome::Unsent => *shared.leader() = None,
            Outcome::Lost => {
                *shared.leader() = None;
                maybe_carried_out = true;
                if !retries {
                    break;
                }
            }
        }
        actix_rt::time::sleep(RETRY_INTERVAL).await;
    }
    Reply::Refused(final_fault(last_refusal, maybe_carried_out))
}

/// Returns the leader if it is known, or else the next instance in round-robin order.
///
/// `None` means that no control instance is configured.
fn choose_instance(shared: &Shared, attempts: usize) -> Option<Peer> {
    let controls = &shared.controls;
    let leader = shared.leader().clone();
    let leading = controls
        .iter()
        .find(|peer| Some(&peer.node) == leader.as_ref());
    let next = controls.get(attempts % controls.len().max(1));
    leading.or(next).cloned()
}

/// Returns whether another instance, or the same instance later, may accept the request.
fn is_temporary(fault: &Fault) -> bool {
    matches!(
        fault.reason,
        Reason::Redirect | Reason::Leaderless | Reason::Stopping
    )
}

/// Sends a request to one instance once. The answer must arrive within [`ATTEMPT_TIMEOUT`] and
/// before `request_deadline`.
async fn attempt(
    shared: &Shared,
    peer: &Peer,
    request: &Request,
    request_deadline: Instant,
) -> Outcome {
    let deadline = request_deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
    let Some(channel) = shared.pool.get(peer.address, deadline).await else {
        return Outcome::Unsent;
    };
    let Ok(frame) = shared.seal.seal(&peer.node, request, SystemTime::now()) else {
        return Outcome::Unsent;
    };
    let mut client = ControlClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let response = timeout_at(deadline.into(), client.ask(frame)).await;
    let verified = match response {
        Ok(Ok(response)) => shared.seal.open(response.get_ref(), SystemTime::now()).ok(),
        Ok(Err(_)) | Err(_) => None,
    };
    if let Some(reply) = verified {
        return Outcome::Reply(reply);
    }
    shared.pool.drop(peer.address);
    Outcome::Lost
}

/// Corrects the verdict of a refusal where an earlier attempt may have been carried out.
fn adjust_verdict(reply: Reply, maybe_carried_out: bool) -> Reply {
    match reply {
        Reply::Refused(fault) if maybe_carried_out => {
            let verdict = fault.verdict.worse(Verdict::MayHaveRun);
            Reply::Refused(fault.verdict(verdict))
        }
        reply => reply,
    }
}

/// Returns the fault for a request that no instance answered.
fn final_fault(last_refusal: Option<Fault>, maybe_carried_out: bool) -> Fault {
    let fault = last_refusal.unwrap_or_else(|| {
        let help = "retry later with the same identity";
        Fault::not_run(Reason::Leaderless, "no control instance answers", help)
    });
    let verdict = if maybe_carried_out {
        fault.verdict.worse(Verdict::MayHaveRun)
    } else {
        fault.verdict
    };
    let after = fault.retry_after.unwrap_or(RETRY_AFTER_SECS);
    fault.verdict(verdict).retry_after(after)
}

//! Questions to the control instances.
//!
//! A question is repeated, under the identity that it carries, until one
//! instance answers or a stored deadline has passed. Each try has a deadline of
//! its own, after which its connection is dropped: something between the two ends
//! may have lost track of it. A question whose answer was lost may have been
//! carried out; the repeat then gets the first answer, and where no repeat gets
//! through, the verdict says so.

use crate::pool::MESSAGE;
use crate::shared::Shared;
use flamingo_settings::node::Peer;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::{Fault, Verdict};
use std::time::{Duration, Instant, SystemTime};
use tokio::time::timeout_at;

/// Time that one question may take, over all tries.
pub const PATIENCE: Duration = Duration::from_secs(5);
/// Time that one try may take.
pub const TRY: Duration = Duration::from_millis(1_500);
/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// When to come back after a refusal, in seconds.
const RETRY_AFTER: u32 = 1;

/// How one try ended.
enum Outcome {
    /// Answered.
    Reply(Reply),
    /// No byte of it was sent.
    Unsent,
    /// It was sent, and no answer was seen.
    Lost,
}

/// Asks until one control instance answers.
pub(crate) async fn ask(shared: &Shared, request: &Request) -> Reply {
    let deadline = Instant::now() + PATIENCE;
    let repeats = !matches!(request, Request::Report(_));
    let mut lost = false;
    let mut refused = None;
    let mut turn = 0;
    while Instant::now() < deadline {
        let Some(peer) = pick(shared, turn) else {
            break;
        };
        turn += 1;
        match attempt(shared, &peer, request, deadline).await {
            Outcome::Reply(Reply::Refused(fault)) if is_passing(&fault) => {
                shared.leader().clone_from(&fault.leader);
                refused = Some(fault);
            }
            Outcome::Reply(reply) => {
                *shared.leader() = Some(peer.node);
                return worsen(reply, lost);
            }
            Outcome::Unsent => *shared.leader() = None,
            Outcome::Lost => {
                *shared.leader() = None;
                lost = true;
                if !repeats {
                    break;
                }
            }
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    Reply::Refused(give_up(refused, lost))
}

/// Returns the instance that leads, as far as that is known, or the next in turn.
fn pick(shared: &Shared, turn: usize) -> Option<Peer> {
    let controls = &shared.controls;
    let leader = shared.leader().clone();
    let known = controls
        .iter()
        .find(|peer| Some(&peer.node) == leader.as_ref());
    let next = controls.get(turn % controls.len().max(1));
    known.or(next).cloned()
}

/// Returns whether another instance, or the same one later, may answer.
fn is_passing(fault: &Fault) -> bool {
    matches!(
        fault.reason,
        Reason::Redirect | Reason::Leaderless | Reason::Stopping
    )
}

async fn attempt(shared: &Shared, peer: &Peer, request: &Request, limit: Instant) -> Outcome {
    let deadline = limit.min(Instant::now() + TRY);
    let Some(channel) = shared.pool.get(peer.address, deadline).await else {
        return Outcome::Unsent;
    };
    let Ok(frame) = shared.seal.seal(&peer.node, request, SystemTime::now()) else {
        return Outcome::Unsent;
    };
    let mut client = ControlClient::new(channel)
        .max_decoding_message_size(MESSAGE)
        .max_encoding_message_size(MESSAGE);
    let answer = timeout_at(deadline.into(), client.ask(frame)).await;
    let opened = match answer {
        Ok(Ok(answer)) => shared.seal.open(answer.get_ref(), SystemTime::now()).ok(),
        Ok(Err(_)) | Err(_) => None,
    };
    if let Some(reply) = opened {
        return Outcome::Reply(reply);
    }
    shared.pool.drop(peer.address);
    Outcome::Lost
}

/// Makes the verdict of a refusal true where an earlier try may have been
/// carried out.
fn worsen(reply: Reply, lost: bool) -> Reply {
    match reply {
        Reply::Refused(fault) if lost => {
            let verdict = fault.verdict.worse(Verdict::MayHaveRun);
            Reply::Refused(fault.verdict(verdict))
        }
        reply => reply,
    }
}

fn give_up(refused: Option<Fault>, lost: bool) -> Fault {
    let fault = refused.unwrap_or_else(|| {
        let help = "come back later with the same identity";
        Fault::not_run(Reason::Leaderless, "no control instance answers", help)
    });
    let verdict = if lost {
        fault.verdict.worse(Verdict::MayHaveRun)
    } else {
        fault.verdict
    };
    let after = fault.retry_after.unwrap_or(RETRY_AFTER);
    fault.verdict(verdict).retry_after(after)
}

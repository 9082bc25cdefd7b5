//! Proposals that wait for their commit, with the callers to reply to.

use flamingo_log::raft::EntryId;
use flamingo_state::Command;
use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::oneshot::Sender;

/// Time in which a proposal must be committed before its caller gets an error.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// A proposal whose caller waits for the reply.
#[derive(Debug)]
struct Proposal {
    term: id::Term,
    proposed_at: Instant,
    deadline: Instant,
    /// Verdict of the reply where the outcome stays unknown.
    verdict: Verdict,
    reply: Sender<Reply>,
}

/// The pending proposals, by the index of their log entry.
#[derive(Debug, Default)]
pub struct Proposals {
    pending: BTreeMap<id::Index, Proposal>,
}

impl Proposals {
    /// Adds a proposal. `verdict` goes into the reply where the proposal is not committed in time.
    pub fn add(&mut self, entry_id: EntryId, verdict: Verdict, now: Instant, reply: Sender<Reply>) {
        let proposal = Proposal {
            term: entry_id.term,
            proposed_at: now,
            deadline: now + COMMIT_TIMEOUT,
            verdict,
            reply,
        };
        if let Some(old) = self.pending.insert(entry_id.index, proposal) {
            old.finish(overwritten_reply());
        }
    }

    /// Sends the reply of the committed entry at `entry_id` to the caller.
    ///
    /// Returns the time since the proposal; `None` where no caller waits, or where another
    /// leader's entry replaced the proposed one.
    pub fn reply(&mut self, entry_id: EntryId, reply: Reply, now: Instant) -> Option<Duration> {
        let proposal = self.pending.remove(&entry_id.index)?;
        if proposal.term != entry_id.term {
            proposal.finish(overwritten_reply());
            return None;
        }
        let waited = now - proposal.proposed_at;
        proposal.finish(reply);
        Some(waited)
    }

    /// Replies to the proposals up to `index`, whose entries arrived within a snapshot, that their
    /// outcome is unknown.
    pub fn drop_through(&mut self, index: id::Index) {
        let later = self.pending.split_off(&(index + 1));
        for (_, proposal) in std::mem::replace(&mut self.pending, later) {
            let reply = timeout_reply(proposal.verdict);
            proposal.finish(reply);
        }
    }

    /// Replies to the proposals whose deadline has passed that their outcome is unknown.
    pub fn expire(&mut self, now: Instant) {
        let expired = self
            .pending
            .iter()
            .filter(|(_, proposal)| now >= proposal.deadline);
        let expired: Vec<_> = expired.map(|(index, _)| *index).collect();
        for index in expired {
            if let Some(proposal) = self.pending.remove(&index) {
                let reply = timeout_reply(proposal.verdict);
                proposal.finish(reply);
            }
        }
    }
}

/// Returns the verdict for a command whose outcome stays unknown.
pub fn verdict(command: &Command) -> Verdict {
    match command {
        // An entry does not dispatch a call without a grant, even if the ledger records one.
        Command::Begin(_) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

impl Proposal {
    fn finish(self, reply: Reply) {
        // The caller may have gone.
        let _ = self.reply.send(reply);
    }
}

/// Returns the reply where another leader's entry replaced the proposed one, so that the proposal
/// was never accepted.
fn overwritten_reply() -> Reply {
    let message = "another instance was elected before the request was accepted";
    let fault = Fault::not_run(Reason::Leaderless, message, "resend the request");
    Reply::Refused(fault.retry_after(1))
}

/// Returns the reply where the outcome of a proposal is unknown.
fn timeout_reply(verdict: Verdict) -> Reply {
    let message = "the request was not committed by a majority of the control instances in time";
    let help = "resend with the same identity: an accepted request gets the same answer again";
    let fault = Fault::not_run(Reason::Leaderless, message, help).verdict(verdict);
    Reply::Refused(fault.retry_after(1))
}

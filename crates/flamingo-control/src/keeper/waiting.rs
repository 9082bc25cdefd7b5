//! Proposals whose caller waits for the reply.

use flamingo_log::raft::EntryId;
use flamingo_state::Command;
use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::oneshot::Sender;

/// Time for which a caller waits for a commit.
const PATIENCE: Duration = Duration::from_secs(3);

/// A caller that waits.
#[derive(Debug)]
struct Caller {
    term: id::Term,
    since: Instant,
    until: Instant,
    verdict: Verdict,
    reply: Sender<Reply>,
}

/// The callers that wait, by the index of their entry.
#[derive(Debug, Default)]
pub struct Waiting {
    callers: BTreeMap<id::Index, Caller>,
}

impl Waiting {
    /// Adds a caller, whose wish has `verdict` where no answer comes in time.
    pub fn add(&mut self, slot: EntryId, verdict: Verdict, now: Instant, reply: Sender<Reply>) {
        let caller = Caller {
            term: slot.term,
            since: now,
            until: now + PATIENCE,
            verdict,
            reply,
        };
        if let Some(old) = self.callers.insert(slot.index, caller) {
            old.end(overwritten());
        }
    }

    /// Hands the reply of the entry at `slot` to its caller; returns the wait.
    pub fn reply(&mut self, slot: EntryId, reply: Reply, now: Instant) -> Option<Duration> {
        let caller = self.callers.remove(&slot.index)?;
        if caller.term != slot.term {
            caller.end(overwritten());
            return None;
        }
        let waited = now - caller.since;
        caller.end(reply);
        Some(waited)
    }

    /// Ends the waits up to an index whose entries came as a snapshot.
    pub fn skip(&mut self, index: id::Index) {
        let later = self.callers.split_off(&(index + 1));
        for (_, caller) in std::mem::replace(&mut self.callers, later) {
            let reply = unknown(caller.verdict);
            caller.end(reply);
        }
    }

    /// Ends the waits whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        let late = self
            .callers
            .iter()
            .filter(|(_, caller)| now >= caller.until);
        let late: Vec<_> = late.map(|(index, _)| *index).collect();
        for index in late {
            if let Some(caller) = self.callers.remove(&index) {
                let reply = unknown(caller.verdict);
                caller.end(reply);
            }
        }
    }
}

/// Returns what is known of a command whose commit was not seen.
pub fn verdict(command: &Command) -> Verdict {
    match command {
        // Without a grant the call is not dispatched, whatever the ledger holds.
        Command::Begin(_) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

impl Caller {
    fn end(self, reply: Reply) {
        // The caller may have gone.
        let _ = self.reply.send(reply);
    }
}

/// Another leader's entry stands where the caller's did: it was never accepted.
fn overwritten() -> Reply {
    let message = "another instance was elected before the wish was accepted";
    let fault = Fault::not_run(Reason::Leaderless, message, "send it again");
    Reply::Refused(fault.retry_after(1))
}

fn unknown(verdict: Verdict) -> Reply {
    let message = "no majority of the control instances answered in time";
    let help = "send it again under the same identity: what was accepted is answered again";
    let fault = Fault::not_run(Reason::Leaderless, message, help).verdict(verdict);
    Reply::Refused(fault.retry_after(1))
}

//! Passes the usage reports of entries in this zone to the leader, together.
//!
//! Each report keeps the name of its entry, and the entry gets the leader's reply: it counts only what
//! the leader has acknowledged as reported. Where one of them asks for the newest routes, the leader's answer
//! holds for all, but only those that ask can read it.

use crate::raft_actor::Forwarder;
use flamingo_wire::control::{Reply, Request, UsageReport};
use flamingo_wire::fault::Reason;
use flamingo_wire::frame::Seal;
use flamingo_wire::target::Usage;
use flamingo_wire::{Fault, id};
use slog::{Logger, info};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Time for which reports are collected. Entries report each 100 ms, and the leader publishes each
/// 100 ms: a short time adds little to the age of the loads.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Time for the leader's reply; shorter than that for which an entry waits.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Reports that are queued at most; entries report to the leader themselves beyond it.
const MAX_QUEUED: usize = 1_024;

/// A report of an entry that waits to be passed on.
#[derive(Debug)]
struct Pending {
    from: id::Node,
    report: UsageReport,
    reply: oneshot::Sender<Reply>,
}

/// Collects usage reports for the leader; clones share the queue.
#[derive(Clone, Debug)]
pub struct UsageRelay(mpsc::Sender<Pending>);

impl UsageRelay {
    /// Starts the task that passes the reports on, in the name of the instance of `seal`.
    #[must_use]
    pub fn start(seal: Seal, log: Logger) -> Self {
        let (queue, incoming) = mpsc::channel(MAX_QUEUED);
        actix_rt::spawn(run(seal, incoming, log));
        Self(queue)
    }

    /// Passes a report of the entry `from` on, and returns the leader's reply.
    pub async fn pass(&self, from: &str, report: UsageReport) -> Reply {
        let (reply, answer) = oneshot::channel();
        let pending = Pending {
            from: from.to_owned(),
            report,
            reply,
        };
        if self.0.try_send(pending).is_err() {
            return Reply::Refused(failure("too many reports are queued"));
        }
        let answer = answer.await;
        answer.unwrap_or_else(|_| Reply::Refused(failure("the leader did not answer")))
    }
}

fn failure(why: &str) -> Fault {
    let message = format!("the report was not passed on: {why}");
    Fault::not_run(Reason::Leaderless, message, "report to the leader")
}

/// Passes on what arrives within each interval, until the queue is dropped.
async fn run(seal: Seal, mut incoming: mpsc::Receiver<Pending>, log: Logger) {
    let mut forwarder = Forwarder::new(seal.node().to_owned(), seal);
    while let Some(first) = incoming.recv().await {
        actix_rt::time::sleep(BATCH_INTERVAL).await;
        let mut batches: BTreeMap<SocketAddr, Vec<Pending>> = BTreeMap::new();
        let mut next = Some(first);
        while let Some(pending) = next {
            let leader = pending.report.leader;
            batches.entry(leader).or_default().push(pending);
            next = incoming.try_recv().ok();
        }
        for (leader, batch) in batches {
            let (reports, replies) = split(batch);
            // The name of a control instance is its address.
            let request = Request::Usages(reports);
            let sent = forwarder.send(&leader.to_string(), leader, request);
            actix_rt::spawn(answer(sent, replies, leader, log.clone()));
        }
    }
}

/// An entry that waits for the leader's reply.
#[derive(Debug)]
struct Waiting {
    asks_routes: bool,
    reply: oneshot::Sender<Reply>,
}

impl Waiting {
    /// Returns the leader's reply in a form that the entry can read.
    fn translate(&self, reply: &Reply) -> Reply {
        match reply {
            Reply::NewestRoutes(_) if !self.asks_routes => Reply::Acknowledged,
            reply => reply.clone(),
        }
    }
}

/// Returns the reports of a batch, and whom to answer.
fn split(batch: Vec<Pending>) -> (Vec<(id::Node, Usage)>, Vec<Waiting>) {
    let parts = batch.into_iter().map(|pending| {
        let usage = pending.report.usage;
        let waiting = Waiting {
            asks_routes: usage.asks_routes,
            reply: pending.reply,
        };
        ((pending.from, usage), waiting)
    });
    parts.unzip()
}

/// Gives the leader's reply to all whose reports were sent together.
async fn answer(
    sent: impl Future<Output = Reply>,
    replies: Vec<Waiting>,
    leader: SocketAddr,
    log: Logger,
) {
    let reply = tokio::time::timeout(REPLY_TIMEOUT, sent).await;
    let reply = reply.unwrap_or_else(|_| Reply::Refused(failure("the leader did not answer")));
    if let Reply::Refused(fault) = &reply {
        info!(log, "reports not passed on"; "leader" => %leader, "reports" => replies.len(),
            "why" => %fault);
    }
    for waiting in replies {
        let translated = waiting.translate(&reply);
        // The entry may have stopped waiting.
        let _ = waiting.reply.send(translated);
    }
}

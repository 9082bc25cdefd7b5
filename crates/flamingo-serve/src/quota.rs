//! Keeps this entry's part of the quotas of workspaces: asks the leader for credit, and tells requests
//! whether they are within the quota.

use crate::metrics::Metrics;
use crate::topology::Topology;
use flamingo_daemon::clock;
use flamingo_guard::quota::Terms;
use flamingo_guard::quota::account::{Account, Admission, Decided, Refusal, Ticket, WantId};
use flamingo_link::subscription::ControlClient;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::quota::{Question, Want};
use flamingo_wire::workspace::Quota;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep_until, timeout};

/// Whether a request may be sent.
type Decision = Result<Ticket, Refusal>;

/// The quotas as this entry knows them, and the requests that wait for the leader.
#[derive(Debug)]
pub struct Quotas {
    account: RefCell<Account>,
    /// Longest time for which a question, or a request that waits for one, waits for the answer.
    answer_timeout: Duration,
    waiting: RefCell<HashMap<WantId, oneshot::Sender<Decision>>>,
    /// Wakes the task that asks the leader.
    wanted: Notify,
}

/// A request that waits for a decision. If it is dropped, as its caller has left, its cost is given back.
struct Waiter<'a> {
    quotas: &'a Quotas,
    id: WantId,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.quotas.waiting.borrow_mut().remove(&self.id);
        self.quotas.account.borrow_mut().withdraw(self.id);
        // The decision may have been sent and not been read.
        self.decision.close();
        if let Ok(Ok(ticket)) = self.decision.try_recv() {
            self.quotas.give_back(&ticket);
        }
    }
}

impl Quotas {
    /// Returns the quotas of an entry that starts now and keeps them by these terms.
    #[must_use]
    pub fn new(terms: Terms) -> Self {
        // Two starts of an entry are not in the same nanosecond, unless the wall clock is set back;
        // then the leader refuses the questions of at most one of them.
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let incarnation = since_epoch.unwrap_or_default().as_nanos();
        let incarnation = u64::try_from(incarnation).unwrap_or(u64::MAX);
        Self {
            account: RefCell::new(Account::new(incarnation, terms, clock::now())),
            answer_timeout: terms.answer_timeout,
            waiting: RefCell::default(),
            wanted: Notify::new(),
        }
    }

    /// Decides whether a request may be sent. One without credit waits for the leader's answer, for
    /// the answer timeout of the terms at most.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be sent.
    pub async fn take(&self, workspace: &str, quota: Quota, want: Want) -> Decision {
        let now = clock::now();
        let admission = self.account.borrow_mut().admit(workspace, quota, want, now);
        // The use of credit may make a question due.
        self.wanted.notify_one();
        let id = match admission {
            Admission::Decided(decision) => return decision,
            Admission::Waits(id) => id,
        };
        let (sender, decision) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        let mut waiter = Waiter {
            quotas: self,
            id,
            decision,
        };
        let decision = timeout(self.answer_timeout, &mut waiter.decision).await;
        match decision {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) | Err(_) => Err(Refusal::Unknown),
        }
    }

    /// Gives back the cost of a request that was not sent.
    pub fn give_back(&self, ticket: &Ticket) {
        let mut account = self.account.borrow_mut();
        account.give_back(ticket, clock::now());
    }

    /// Sends the decisions to the requests that wait for them.
    fn deliver(&self, decided: Decided) {
        for (id, decision) in decided {
            let sender = self.waiting.borrow_mut().remove(&id);
            let undelivered = match sender {
                Some(sender) => sender.send(decision).err(),
                None => Some(decision),
            };
            // The request has given up, so it is not sent.
            if let Some(Ok(ticket)) = undelivered {
                self.give_back(&ticket);
            }
        }
    }

    /// Waits until a question is due.
    async fn next_question(&self) -> Question {
        loop {
            let now = clock::now();
            let due_at = self.account.borrow().due_at(now);
            let Some(due_at) = due_at else {
                self.wanted.notified().await;
                continue;
            };
            let question = self.account.borrow_mut().question(now);
            if let Some(question) = question {
                return question;
            }
            let wake_at = Instant::now() + due_at.saturating_duration_since(now);
            tokio::select! {
                () = sleep_until(wake_at.into()) => {}
                () = self.wanted.notified() => {}
            }
        }
    }
}

/// Asks the leader for what requests of this entry need. Never returns.
pub async fn run(
    quotas: Rc<Quotas>,
    topology: Rc<Topology>,
    control_client: Rc<ControlClient>,
    metrics: Metrics,
) {
    loop {
        let question = quotas.next_question().await;
        let sequence = question.sequence;
        let leader = topology.peers.borrow().leader;
        let reply = match leader {
            Some(leader) => {
                let deadline = Instant::now() + quotas.answer_timeout;
                let request = Request::Quota(question);
                Some(control_client.ask(leader, &request, deadline).await)
            }
            None => None,
        };
        let now = clock::now();
        let (ended, decided) = {
            let mut account = quotas.account.borrow_mut();
            match reply {
                Some(Reply::Quota(answer)) => ("answered", account.adopt(&answer, now)),
                // Another leader becomes known by a push.
                Some(_) => ("refused", account.lose(sequence, now)),
                None => ("no_leader", account.lose(sequence, now)),
            }
        };
        metrics.quota_questions.with_label_values(&[ended]).inc();
        quotas.deliver(decided);
    }
}

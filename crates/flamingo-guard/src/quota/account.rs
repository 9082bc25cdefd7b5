//! What one entry holds of the quotas: credit, and shares for the time without a leader.
//!
//! Answers one load: requests of all workspaces, most of which must not wait for the leader.

mod balance;

use super::{SHARE_DELAY, Terms};
use balance::{Balance, FromShare};
use flamingo_wire::id;
use flamingo_wire::quota::{Answer, Decision, Grant, Question, Want};
use flamingo_wire::workspace::Quota;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Least time between two questions. It bounds what many requests without credit make the leader
/// answer; they wait for each other in groups.
const MIN_QUESTION_INTERVAL: Duration = Duration::from_millis(10);

/// Least time between a question and one that fetches credit for the next request. Of entries with
/// few requests few have to wait; those with many get credit for several with each question.
const TOP_UP_INTERVAL: Duration = Duration::from_millis(50);

/// The same for each workspace in use: an entry that uses many asks for several of them together.
const TOP_UP_INTERVAL_EACH: Duration = Duration::from_millis(12);

/// Number of a request that waits for the leader's answer.
pub type WantId = u64;

/// Who decided on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// Credit that the leader granted before.
    Credit,
    /// The leader's answer to this request.
    Leader,
    /// The entry's share.
    Share,
}

/// The right to send one request. It can be given back while the request has not been sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// The workspace.
    pub workspace: id::Workspace,
    /// Cost of the request.
    pub units: f64,
    /// Until when the request may be sent, or its cost given back.
    pub until: Instant,
    /// Who admitted the request.
    pub source: Source,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The quota is used up; after this time it will not be.
    Over(Duration, Source),
    /// The request costs far more than the burst.
    TooLarge,
    /// No leader answers, and there is no share.
    Unknown,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It may be sent, or not.
    Decided(Result<Ticket, Refusal>),
    /// The answer to the next question decides.
    Waits(WantId),
}

/// A request that waits.
#[derive(Clone, Debug)]
struct Waiting {
    id: WantId,
    workspace: id::Workspace,
    want: Want,
}

/// A question whose answer has not come.
#[derive(Debug)]
struct Asked {
    sequence: id::Sequence,
    at: Instant,
    /// The workspaces that it is about, with the stated shares.
    stated: BTreeMap<id::Workspace, f64>,
    waiting: Vec<Waiting>,
}

/// What one entry holds of all quotas.
///
/// ```
/// use flamingo_guard::quota::Terms;
/// use flamingo_guard::quota::account::{Account, Admission};
/// use flamingo_wire::quota::Want;
/// use flamingo_wire::workspace::Quota;
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut account = Account::new(1, Terms::default(), now);
/// let quota = Quota { per_s: 2.0, burst: 4.0, ..Quota::default() };
/// let want = Want { units: 1.0, returning: false };
/// let admission = account.admit("w", quota, want, now);
/// assert!(matches!(admission, Admission::Waits(_)));
/// let question = account.question(now).expect("a request waits");
/// assert_eq!(question.uses[0].wants.len(), 1);
/// ```
#[derive(Debug)]
pub struct Account {
    terms: Terms,
    incarnation: id::Incarnation,
    sequence: id::Sequence,
    /// The last question whose answer was received, and when it was received.
    heard: id::Sequence,
    heard_at: Option<Instant>,
    asked: Option<Asked>,
    asked_at: Option<Instant>,
    /// When the next periodic question is due.
    periodic_at: Instant,
    /// Least time between a question and one that fetches credit for the next request.
    top_up_interval: Duration,
    balances: BTreeMap<id::Workspace, Balance>,
    waiting: Vec<Waiting>,
    next_id: WantId,
}

/// The requests that an answer, or its absence, decides.
pub type Decided = Vec<(WantId, Result<Ticket, Refusal>)>;

impl Account {
    /// Returns the account of an entry that begins at `now`. No two starts of an entry may have the
    /// same incarnation.
    #[must_use]
    pub fn new(incarnation: id::Incarnation, terms: Terms, now: Instant) -> Self {
        Self {
            terms,
            incarnation,
            sequence: 0,
            heard: 0,
            heard_at: None,
            asked: None,
            asked_at: None,
            periodic_at: now,
            top_up_interval: TOP_UP_INTERVAL,
            balances: BTreeMap::new(),
            waiting: Vec::new(),
            next_id: 0,
        }
    }

    /// Decides on a request, or has it wait for the answer to the next question.
    pub fn admit(&mut self, workspace: &str, quota: Quota, want: Want, now: Instant) -> Admission {
        if !super::limits(&quota) {
            return Admission::Decided(Ok(ticket(workspace, want.units, now, Source::Credit)));
        }
        let balance = match self.balances.get_mut(workspace) {
            Some(balance) => balance,
            None => self
                .balances
                .entry(workspace.to_owned())
                .or_insert_with(|| Balance::new(quota, self.terms, now)),
        };
        balance.set_quota(quota);
        if balance.take_credit(want.units, now) {
            balance.record_use(want.units, now);
            if balance.runs_low() {
                let earliest = self.asked_at.map_or(now, |at| at + self.top_up_interval);
                balance.report_at = balance.report_at.min(earliest);
                self.periodic_at = self.periodic_at.min(earliest);
            }
            let until = now + self.terms.send_timeout;
            return Admission::Decided(Ok(ticket(workspace, want.units, until, Source::Credit)));
        }
        if let Some(decision) = self.decide_by_share(workspace, want, now) {
            return Admission::Decided(decision);
        }
        self.next_id += 1;
        self.waiting.push(Waiting {
            id: self.next_id,
            workspace: workspace.to_owned(),
            want,
        });
        Admission::Waits(self.next_id)
    }

    /// Returns the question that is due, unless one is in flight.
    pub fn question(&mut self, now: Instant) -> Option<Question> {
        if self.due_at(now).is_none_or(|due_at| now < due_at) {
            return None;
        }
        let waiting = std::mem::take(&mut self.waiting);
        let mut uses = Vec::new();
        let mut stated = BTreeMap::new();
        for (workspace, balance) in &mut self.balances {
            let of_workspace = waiting.iter().filter(|item| item.workspace == *workspace);
            let wants: Vec<_> = of_workspace.map(|item| item.want).collect();
            let due = balance.is_active(now) && balance.report_at <= now + TOP_UP_INTERVAL;
            if wants.is_empty() && !due {
                continue;
            }
            let usage = balance.state(workspace, wants, now);
            stated.insert(workspace.clone(), usage.share);
            uses.push(usage);
        }
        // Any question shows that the entry hears the leader.
        let active = self
            .balances
            .values()
            .filter(|balance| balance.is_active(now));
        let report_at = active.map(|balance| balance.report_at).min();
        let periodic_at = now + self.terms.question_interval;
        self.periodic_at = report_at.map_or(periodic_at, |at| at.min(periodic_at));
        let active = self
            .balances
            .values()
            .filter(|balance| balance.is_active(now));
        let active = u32::try_from(active.count()).unwrap_or(u32::MAX);
        self.top_up_interval = (TOP_UP_INTERVAL_EACH.saturating_mul(active)).clamp(
            TOP_UP_INTERVAL,
            self.terms.question_interval.max(TOP_UP_INTERVAL),
        );
        self.sequence += 1;
        self.asked_at = Some(now);
        self.asked = Some(Asked {
            sequence: self.sequence,
            at: now,
            stated,
            waiting,
        });
        Some(Question {
            incarnation: self.incarnation,
            sequence: self.sequence,
            heard: self.heard,
            uses,
        })
    }

    /// Returns when the next question is due; `None` while one is in flight or none is needed.
    #[must_use]
    pub fn due_at(&self, now: Instant) -> Option<Instant> {
        if self.asked.is_some() {
            return None;
        }
        if !self.waiting.is_empty() {
            let earliest = self.asked_at.map(|at| at + MIN_QUESTION_INTERVAL);
            return Some(earliest.unwrap_or(now));
        }
        let active = self.balances.values().any(|balance| balance.is_active(now));
        active.then_some(self.periodic_at)
    }

    /// Adopts the answer to the question in flight. Any other answer, and one that comes too late,
    /// changes nothing but that the question is lost.
    pub fn adopt(&mut self, answer: &Answer, now: Instant) -> Decided {
        let timeout = self.terms.answer_timeout;
        let in_time =
            |asked: &Asked| asked.sequence == answer.sequence && now <= asked.at + timeout;
        let Some(asked) = self.asked.take_if(|asked| in_time(asked)) else {
            return self.lose(answer.sequence, now);
        };
        self.heard = asked.sequence;
        self.heard_at = Some(now);
        self.adopt_grants(&answer.grants, &asked, now);
        self.decide_by_leader(&answer.grants, asked, now)
    }

    /// Adopts what the leader grants to a question.
    fn adopt_grants(&mut self, grants: &[Grant], asked: &Asked, now: Instant) {
        for grant in grants {
            let stated = asked.stated.get(&grant.workspace);
            let balance = self.balances.get_mut(&grant.workspace);
            if let (Some(stated), Some(balance)) = (stated, balance) {
                balance.adopt(grant, *stated, asked.at, now);
            }
        }
        for workspace in asked.stated.keys() {
            if grants.iter().all(|grant| grant.workspace != *workspace) {
                // The leader has no quota for it, so it counts nothing of what is held here.
                self.balances.remove(workspace);
            }
        }
    }

    /// Decides on the requests that waited for a question, as the leader did.
    fn decide_by_leader(&mut self, grants: &[Grant], asked: Asked, now: Instant) -> Decided {
        let mut decisions: BTreeMap<&str, std::slice::Iter<'_, Decision>> = BTreeMap::new();
        for grant in grants {
            decisions.insert(&grant.workspace, grant.decisions.iter());
        }
        let until = asked.at + self.terms.send_timeout;
        let decide = |item: Waiting| {
            let decision = decisions.get_mut(item.workspace.as_str());
            let result = match decision.and_then(Iterator::next) {
                Some(Decision::Admitted) => {
                    let units = item.want.units;
                    if let Some(balance) = self.balances.get_mut(&item.workspace) {
                        balance.record_use(units, now);
                    }
                    Ok(ticket(&item.workspace, units, until, Source::Leader))
                }
                Some(Decision::Wait(wait_ms)) => {
                    let wait = Duration::from_millis(*wait_ms);
                    Err(Refusal::Over(wait, Source::Leader))
                }
                Some(Decision::TooLarge) => Err(Refusal::TooLarge),
                None => Err(Refusal::Unknown),
            };
            (item.id, result)
        };
        asked.waiting.into_iter().map(decide).collect()
    }

    /// Gives up the question with this number, if it is in flight: its answer does not come.
    pub fn lose(&mut self, sequence: id::Sequence, now: Instant) -> Decided {
        let asked = self.asked.take_if(|asked| asked.sequence == sequence);
        let waiting = asked.map(|asked| asked.waiting).unwrap_or_default();
        self.decide_alone(waiting, now)
    }

    /// Decides on all requests that wait for a question, where no leader is known.
    pub fn give_up_waiting(&mut self, now: Instant) -> Decided {
        let waiting = std::mem::take(&mut self.waiting);
        self.decide_alone(waiting, now)
    }

    /// Withdraws a request that waits for the next question. One that an asked question is about gets
    /// its decision all the same.
    pub fn withdraw(&mut self, id: WantId) {
        self.waiting.retain(|item| item.id != id);
    }

    /// Gives back the cost of a request that was not sent. What a share has paid for is not saved up
    /// again.
    pub fn give_back(&mut self, ticket: &Ticket, now: Instant) {
        if ticket.source == Source::Share {
            return;
        }
        if let Some(balance) = self.balances.get_mut(&ticket.workspace) {
            balance.give_back(ticket.units, ticket.until, now);
        }
    }

    fn decide_alone(&mut self, waiting: Vec<Waiting>, now: Instant) -> Decided {
        let decide = |item: Waiting| {
            let decision = self.decide_by_share(&item.workspace, item.want, now);
            (item.id, decision.unwrap_or(Err(Refusal::Unknown)))
        };
        waiting.into_iter().map(decide).collect()
    }

    /// Decides on a request by the share, if no leader has answered for [`SHARE_DELAY`] and the share can pay for
    /// the request.
    fn decide_by_share(
        &mut self,
        workspace: &str,
        want: Want,
        now: Instant,
    ) -> Option<Result<Ticket, Refusal>> {
        let heard_at = self.heard_at?;
        if now < heard_at + SHARE_DELAY {
            return None;
        }
        let balance = self.balances.get_mut(workspace)?;
        match balance.take_share(want.units, heard_at, now) {
            FromShare::Taken => {
                balance.record_use(want.units, now);
                let until = now + self.terms.share_send_timeout;
                Some(Ok(ticket(workspace, want.units, until, Source::Share)))
            }
            FromShare::Wait(delay) => Some(Err(Refusal::Over(delay, Source::Share))),
            FromShare::Nothing => None,
        }
    }
}

fn ticket(workspace: &str, units: f64, until: Instant, source: Source) -> Ticket {
    Ticket {
        workspace: workspace.to_owned(),
        units,
        until,
        source,
    }
}

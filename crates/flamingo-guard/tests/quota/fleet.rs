//! A leader and entries in virtual time, with messages that take time and get lost.

use flamingo_guard::quota::account::{Account, Admission, Decided, Refusal, Ticket};
use flamingo_guard::quota::ledger::Ledger;
use flamingo_guard::quota::{Allowance, Terms};
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::quota::{Answer, Question, Want};
use flamingo_wire::workspace::Quota;
use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant, SystemTime};

/// Bytes of a frame beside its body: names of sender and receiver of 10 and 14 bytes, time, tag, and the
/// prefix of its length.
const FRAME_BYTES: usize = 77;

/// What an operator allows in a window.
pub fn allowed(quota: &Quota, allowance: Allowance) -> f64 {
    let in_window = quota.per_s * allowance.window.as_secs_f64() + quota.burst;
    in_window * (1.0 + allowance.overage) + allowance.slack
}

/// Returns a number from 0 to 1.
pub fn uniform(rng: &mut ChaCha8Rng) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

#[derive(Clone, Debug)]
enum Message {
    Question(usize, Question),
    Answer(usize, Answer),
}

/// How an entry is connected to the leader.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    #[default]
    Up,
    /// Messages of both directions are lost.
    Down,
    /// Answers are lost.
    Deaf,
}

#[derive(Debug)]
pub struct Entry {
    pub account: Account,
    pub quotas: Vec<Quota>,
    pub link: Link,
    pub frozen: bool,
    asked_at: Option<(u64, Instant)>,
    /// Requests that wait for an answer: workspace, cost, and when they were told to come.
    waiting: BTreeMap<u64, (usize, f64, bool)>,
    inbox: VecDeque<Answer>,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub entry: usize,
    pub workspace: usize,
    pub units: f64,
    pub returning: bool,
    pub result: Result<Ticket, Refusal>,
    /// Whether the request waited for the leader.
    pub waited: bool,
}

#[derive(Debug)]
pub struct Fleet {
    pub allowance: Allowance,
    terms: Terms,
    pub now: Instant,
    pub leader: Option<Ledger>,
    pub quotas: Vec<Quota>,
    pub entries: Vec<Entry>,
    pub delay: fn(&mut ChaCha8Rng) -> Duration,
    pub loss: f64,
    pub rng: ChaCha8Rng,
    pub questions: usize,
    /// Measures the frames if given.
    pub seal: Option<Seal>,
    /// Size of all frames so far.
    pub bytes: usize,
    /// The same of questions for which no request waits, and their answers.
    pub periodic_bytes: usize,
    /// What was sent to targets, by workspace.
    pub sent: Vec<Vec<(Instant, f64)>>,
    messages: Vec<(Instant, Message)>,
    next_incarnation: u64,
}

fn name(workspace: usize) -> String {
    format!("w-{workspace}")
}

impl Fleet {
    pub fn new(entries: usize, quotas: &[Quota], rng: ChaCha8Rng) -> Self {
        Self::with_allowance(entries, quotas, Allowance::default(), rng)
    }

    pub fn with_allowance(
        entries: usize,
        quotas: &[Quota],
        allowance: Allowance,
        rng: ChaCha8Rng,
    ) -> Self {
        let now = Instant::now();
        let terms = Terms::new(allowance).expect("enforceable");
        let mut fleet = Self {
            allowance,
            terms,
            now,
            leader: Some(Ledger::new(terms, now, false)),
            quotas: quotas.to_vec(),
            entries: Vec::new(),
            delay: |_| Duration::from_millis(1),
            loss: 0.0,
            rng,
            questions: 0,
            seal: None,
            bytes: 0,
            periodic_bytes: 0,
            sent: vec![Vec::new(); quotas.len()],
            messages: Vec::new(),
            next_incarnation: 0,
        };
        fleet.entries = (0..entries).map(|_| fleet.new_entry()).collect();
        fleet
    }

    fn new_entry(&mut self) -> Entry {
        self.next_incarnation += 1;
        Entry {
            account: Account::new(self.next_incarnation, self.terms, self.now),
            quotas: self.quotas.clone(),
            link: Link::Up,
            frozen: false,
            asked_at: None,
            waiting: BTreeMap::new(),
            inbox: VecDeque::new(),
        }
    }

    pub fn restart(&mut self, entry: usize) {
        self.entries[entry] = self.new_entry();
    }

    /// Replaces the leader by one that knows nothing.
    pub fn elect(&mut self) {
        self.leader = Some(Ledger::new(self.terms, self.now, true));
    }

    fn post(&mut self, message: Message) {
        if let Some(seal) = &self.seal {
            let now = SystemTime::now();
            let sealed = match &message {
                Message::Question(_, question) => {
                    seal.seal("", &Request::Quota(question.clone()), now)
                }
                Message::Answer(_, answer) => seal.seal("", &Reply::Quota(answer.clone()), now),
            };
            let bytes = sealed.expect("a frame").body.len() + FRAME_BYTES;
            let periodic = match &message {
                Message::Question(_, question) => {
                    question.uses.iter().all(|of| of.wants.is_empty())
                }
                Message::Answer(_, answer) => {
                    answer.grants.iter().all(|of| of.decisions.is_empty())
                }
            };
            self.bytes += bytes;
            self.periodic_bytes += if periodic { bytes } else { 0 };
        }
        if uniform(&mut self.rng) >= self.loss {
            let at = self.now + (self.delay)(&mut self.rng);
            self.messages.push((at, message));
        }
    }

    /// Moves time on, delivers what is due, and has entries ask. Returns what was decided.
    pub fn step(&mut self, step: Duration) -> Vec<Outcome> {
        self.now += step;
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Question(entry, question) => self.ask_leader(entry, &question),
                Message::Answer(entry, answer) => self.entries[entry].inbox.push_back(answer),
            }
        }
        let mut outcomes = Vec::new();
        for index in 0..self.entries.len() {
            if !self.entries[index].frozen {
                self.run_entry(index, &mut outcomes);
            }
        }
        for outcome in &outcomes {
            self.record(outcome);
        }
        outcomes
    }

    /// Lets time pass without requests.
    pub fn run_idle(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let _ = self.step(Duration::from_millis(5));
        }
    }

    fn ask_leader(&mut self, entry: usize, question: &Question) {
        self.questions += 1;
        let quotas = &self.quotas;
        let quota = |workspace: &str| {
            let number: usize = workspace.strip_prefix("w-")?.parse().ok()?;
            quotas.get(number).copied()
        };
        let answer = self
            .leader
            .as_mut()
            .and_then(|leader| leader.answer(&format!("entry-{entry}"), question, quota, self.now));
        if let Some(answer) = answer
            && self.entries[entry].link == Link::Up
        {
            self.post(Message::Answer(entry, answer));
        }
    }

    fn run_entry(&mut self, index: usize, outcomes: &mut Vec<Outcome>) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let mut decided: Decided = Vec::new();
        while let Some(answer) = entry.inbox.pop_front() {
            decided.extend(entry.account.adopt(&answer, now));
        }
        if let Some((sequence, at)) = entry.asked_at
            && now > at + self.terms.answer_timeout
        {
            entry.asked_at = None;
            decided.extend(entry.account.lose(sequence, now));
        }
        for (id, result) in decided {
            let (workspace, units, returning) = entry.waiting.remove(&id).expect("it waits");
            outcomes.push(Outcome {
                entry: index,
                workspace,
                units,
                returning,
                result,
                waited: true,
            });
        }
        if let Some(question) = entry.account.question(now) {
            entry.asked_at = Some((question.sequence, now));
            if entry.link != Link::Down {
                self.post(Message::Question(index, question));
            }
        }
    }

    /// A request arrives. Returns how it ended, unless it waits for the leader.
    pub fn request(
        &mut self,
        index: usize,
        workspace: usize,
        units: f64,
        returning: bool,
    ) -> Option<Outcome> {
        let entry = &mut self.entries[index];
        let want = Want { units, returning };
        let quota = entry.quotas[workspace];
        let admission = entry.account.admit(&name(workspace), quota, want, self.now);
        match admission {
            Admission::Decided(result) => {
                let outcome = Outcome {
                    entry: index,
                    workspace,
                    units,
                    returning,
                    result,
                    waited: false,
                };
                self.record(&outcome);
                Some(outcome)
            }
            Admission::Waits(id) => {
                entry.waiting.insert(id, (workspace, units, returning));
                None
            }
        }
    }

    fn record(&mut self, outcome: &Outcome) {
        if outcome.result.is_ok() {
            self.sent[outcome.workspace].push((self.now, outcome.units));
        }
    }
}

/// Returns the largest amount that was sent in any window that begins from `from` on.
pub fn largest_window(sent: &[(Instant, f64)], window: Duration, from: Instant) -> f64 {
    let mut largest: f64 = 0.0;
    let mut sum = 0.0;
    let mut first = 0;
    let sent: Vec<_> = sent.iter().filter(|(at, _)| *at >= from).collect();
    for (at, units) in &sent {
        sum += units;
        while sent[first].0 + window <= *at {
            sum -= sent[first].1;
            first += 1;
        }
        largest = largest.max(sum);
    }
    largest
}

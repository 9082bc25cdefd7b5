//! Histories of concurrent operators and callers against three processes that
//! are killed, frozen and wiped.

use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::history::{Operation, Recorder};
use flamingo_test_support::operator::{Applied, Operator, change};
use flamingo_test_support::{seed, wait};
use flamingo_wire::Verdict;
use flamingo_wire::control::{Answer, Call, Grant, Reply, Request};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Faults in one run.
const FAULTS: usize = 8;
/// Operators at work at once.
const OPERATORS: usize = 3;
/// Pairs of callers at work at once.
const PAIRS: usize = 2;
/// Changes that one operator makes at most.
const CHANGES: usize = 100;
/// Keys that one pair of callers uses at most.
const KEYS: usize = 150;
/// Changes and calls that must have ended between two faults.
const PROGRESS: usize = 6;

/// What the tasks of a run share.
#[derive(Clone)]
struct Run {
    operators: Rc<Vec<Operator>>,
    recorder: Recorder,
    stopped: Rc<Cell<bool>>,
    changes: Rc<Cell<usize>>,
    /// The attempts that were let go, by key.
    ran: Rc<RefCell<BTreeMap<String, Vec<String>>>>,
    ended: Rc<Cell<usize>>,
    /// Operators and callers that have not made all their changes and calls.
    operators_busy: Rc<Cell<usize>>,
    callers_busy: Rc<Cell<usize>>,
}

impl Run {
    /// Changes the configuration from what was read, again and again.
    async fn operate(self, process: usize) {
        for n in 0..CHANGES {
            if self.stopped.get() {
                return;
            }
            let base = self.read(process, n).await;
            let change = change(&format!("operator-{process}-{n}"), base);
            self.recorder.call(process);
            let mut at = process + n;
            let made = wait::until("an answer to a change", || {
                at += 1;
                let operator = self.operators[at % 3].clone();
                let change = change.clone();
                async move {
                    match operator.apply(&change).await {
                        Applied::Accepted(version) => Some(Some(version)),
                        Applied::Refused(text) if text.contains("conflict") => Some(None),
                        _ => None,
                    }
                }
            })
            .await;
            self.recorder.answer(process, Operation::Apply(base, made));
            self.changes.set(self.changes.get() + 1);
        }
        self.operators_busy.set(self.operators_busy.get() - 1);
    }

    async fn read(&self, process: usize, n: usize) -> u64 {
        let mut at = process + n;
        wait::until("a read", || {
            at += 1;
            let operator = self.operators[at % 3].clone();
            let recorder = self.recorder.clone();
            async move {
                recorder.call(process);
                if let Some(snapshot) = operator.config().await {
                    recorder.answer(process, Operation::Read(snapshot.version));
                    return Some(snapshot.version);
                }
                recorder.forget(process);
                None
            }
        })
        .await
    }

    /// Uses each key at the same time as the other caller of its pair.
    async fn call(self, pair: usize, half: usize) {
        for n in 0..KEYS {
            if self.stopped.get() {
                return;
            }
            let key = format!("key-{pair}-{n}");
            let request = format!("{key}-attempt-{half}");
            if self.attempt(&key, &request, half + n).await {
                self.ended.set(self.ended.get() + 1);
            }
        }
        self.callers_busy.set(self.callers_busy.get() - 1);
    }

    /// Makes one attempt under a key; returns whether it was let go and has ended.
    async fn attempt(&self, key: &str, request: &str, at: usize) -> bool {
        if self.begin(key, request, at).await != Grant::Dispatch {
            return false;
        }
        self.note(key, request);
        self.finish(key, request, at).await;
        true
    }

    /// Notes that an attempt was let go.
    fn note(&self, key: &str, request: &str) {
        let mut ran = self.ran.borrow_mut();
        let attempts = ran.entry(key.to_owned()).or_default();
        attempts.push(request.to_owned());
    }

    async fn begin(&self, key: &str, request: &str, at: usize) -> Grant {
        let call = Request::Begin(Call {
            service: "rota".into(),
            key: key.into(),
            digest: vec![1],
            request: request.into(),
        });
        let mut at = at;
        wait::until("a grant", || {
            at += 1;
            let operator = self.operators[at % 3].clone();
            let call = call.clone();
            async move {
                match operator.ask("entry-1", &call).await {
                    Some(Reply::Grant(grant)) => Some(grant),
                    _ => None,
                }
            }
        })
        .await
    }

    async fn finish(&self, key: &str, request: &str, at: usize) {
        let answer = Request::Finish(Answer {
            service: "rota".into(),
            key: key.into(),
            request: request.into(),
            verdict: Verdict::Ran,
            status: 200,
            content: "text/plain".into(),
            body: Some(request.into()),
        });
        let mut at = at;
        wait::until("the end to be noted", || {
            at += 1;
            let operator = self.operators[at % 3].clone();
            let answer = answer.clone();
            async move { (operator.ask("entry-1", &answer).await? == Reply::Acknowledged).then_some(()) }
        })
        .await;
    }

    /// Waits until some changes and calls have ended.
    async fn progress(&self) {
        let (made, ended) = (self.changes.get(), self.ended.get());
        wait::until("progress", || async {
            let changed = self.changes.get() >= made + PROGRESS || self.operators_busy.get() == 0;
            let called = self.ended.get() >= ended + PROGRESS || self.callers_busy.get() == 0;
            (changed && called).then_some(())
        })
        .await;
    }

    /// Waits until all three vote and hold what is committed.
    async fn whole(&self) {
        wait::until("three members that vote", || async {
            let status = self.operators[0].status().await?;
            let whole = status.members.iter().filter(|member| {
                member.votes && member.matched > 0 && member.matched >= status.committed
            });
            (whole.count() == 3).then_some(())
        })
        .await;
    }
}

async fn harm(cluster: &mut Cluster, run: &Run, fault: usize, random: u64) {
    let n = usize::try_from(random % 3).unwrap();
    let name = cluster.controls[n].name.clone();
    match random / 3 % 3 {
        0 => {
            eprintln!("kill {name}");
            cluster.controls[n].process.kill();
            run.progress().await;
        }
        1 => {
            eprintln!("freeze {name}");
            cluster.controls[n].process.signal(libc::SIGSTOP);
            run.progress().await;
            cluster.controls[n].process.signal(libc::SIGCONT);
            return;
        }
        _ => {
            run.whole().await;
            eprintln!("wipe {name}");
            cluster.controls[n].process.kill();
            std::fs::remove_dir_all(cluster.dir.path().join(&name)).unwrap();
            run.progress().await;
            // What is committed meanwhile tells the new folder from the old one,
            // which the leader may still list as voting and up to date.
            let key = format!("fault-{fault}");
            assert!(run.attempt(&key, &format!("{key}-attempt-0"), 0).await);
        }
    }
    cluster.controls[n].process = cluster.restart("flamingo-control", &name);
    // The next fault comes right after the repair, not in the middle of it:
    // a wiped disk and a stopped process at once leave no majority.
    run.whole().await;
}

#[actix_rt::test]
async fn histories_under_kills_freezes_and_wiped_disks_are_explained() {
    let seed = seed::seed();
    eprintln!("{}={seed}", seed::VARIABLE);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::start(3, 0);
    let run = Run {
        operators: Rc::new(cluster.controls.iter().map(Operator::new).collect()),
        recorder: Recorder::default(),
        stopped: Rc::default(),
        changes: Rc::default(),
        ran: Rc::default(),
        ended: Rc::default(),
        operators_busy: Rc::new(Cell::new(OPERATORS)),
        callers_busy: Rc::new(Cell::new(PAIRS * 2)),
    };
    run.whole().await;
    let mut tasks = Vec::new();
    for process in 0..OPERATORS {
        tasks.push(actix_rt::spawn(run.clone().operate(process)));
    }
    for pair in 0..PAIRS {
        for half in 0..2 {
            tasks.push(actix_rt::spawn(run.clone().call(pair, half)));
        }
    }
    for fault in 0..FAULTS {
        run.progress().await;
        eprintln!("{} changes, {} calls", run.changes.get(), run.ended.get());
        harm(&mut cluster, &run, fault, random.next_u64()).await;
    }
    run.stopped.set(true);
    for task in tasks {
        task.await.unwrap();
    }
    let ran = run.ran.take();
    let (operations, keys) = (run.recorder.len(), ran.len());
    eprintln!("{operations} operations on the configuration, {keys} keys, {FAULTS} faults");
    for (key, attempts) in &ran {
        assert_eq!(attempts.len(), 1, "{key} was dispatched by {attempts:?}");
    }
    // A resend through any instance gets the recorded answer.
    for (key, attempts) in &ran {
        let Grant::Answered(answer) = run.begin(key, "resend", keys).await else {
            panic!("{key} was not answered from the ledger");
        };
        assert_eq!(answer.request, attempts[0]);
    }
    assert!(
        run.recorder.is_linearizable(),
        "no order explains the answers"
    );
}

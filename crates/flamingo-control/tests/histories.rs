//! Histories of concurrent operators and callers against three control instances, whose processes
//! are killed, frozen or restarted with a wiped disk.

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

/// Number of faults in one run.
const FAULT_COUNT: usize = 8;
/// Number of concurrent operators.
const OPERATOR_COUNT: usize = 3;
/// Number of concurrent pairs of callers; both callers of a pair use the same keys.
const CALLER_PAIRS: usize = 2;
/// Largest number of changes that one operator makes.
const MAX_CHANGES: usize = 100;
/// Largest number of keys that one pair of callers uses.
const MAX_KEYS: usize = 150;
/// Changes, and calls, that must end between two faults.
const MIN_PROGRESS: usize = 6;

/// State that the tasks of a run share.
#[derive(Clone)]
struct Run {
    operators: Rc<Vec<Operator>>,
    recorder: Recorder,
    stopped: Rc<Cell<bool>>,
    changes: Rc<Cell<usize>>,
    /// The attempts that got a grant to be dispatched, by key.
    dispatched: Rc<RefCell<BTreeMap<String, Vec<String>>>>,
    calls: Rc<Cell<usize>>,
    /// Operators that have not made all their changes, and callers that have not made all calls.
    active_operators: Rc<Cell<usize>>,
    active_callers: Rc<Cell<usize>>,
}

impl Run {
    /// Repeatedly reads the configuration and applies a change that is based on the version read.
    async fn operate(self, process: usize) {
        for n in 0..MAX_CHANGES {
            if self.stopped.get() {
                return;
            }
            let base = self.read(process, n).await;
            let change = change(&format!("operator-{process}-{n}"), base);
            self.recorder.call(process);
            let mut at = process + n;
            let version = wait::until("an answer to a change", || {
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
            self.recorder
                .answer(process, Operation::Apply(base, version));
            self.changes.set(self.changes.get() + 1);
        }
        self.active_operators.set(self.active_operators.get() - 1);
    }

    /// Reads the version of the configuration, from another instance at each attempt.
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
                recorder.discard(process);
                None
            }
        })
        .await
    }

    /// Makes a call under each key, concurrently with the other caller of the pair.
    async fn call(self, pair: usize, caller: usize) {
        for n in 0..MAX_KEYS {
            if self.stopped.get() {
                return;
            }
            let key = format!("key-{pair}-{n}");
            let request = format!("{key}-attempt-{caller}");
            if self.attempt(&key, &request, caller + n).await {
                self.calls.set(self.calls.get() + 1);
            }
        }
        self.active_callers.set(self.active_callers.get() - 1);
    }

    /// Makes one attempt under a key. Returns whether the attempt got a grant and was finished.
    async fn attempt(&self, key: &str, request: &str, at: usize) -> bool {
        if self.begin(key, request, at).await != Grant::Dispatch {
            return false;
        }
        self.record_dispatch(key, request);
        self.finish(key, request, at).await;
        true
    }

    /// Records that an attempt got a grant to be dispatched.
    fn record_dispatch(&self, key: &str, request: &str) {
        let mut dispatched = self.dispatched.borrow_mut();
        let attempts = dispatched.entry(key.to_owned()).or_default();
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

    /// Waits until `MIN_PROGRESS` changes and calls have ended, or all are done.
    async fn wait_for_progress(&self) {
        let (changes_before, calls_before) = (self.changes.get(), self.calls.get());
        wait::until("progress", || async {
            let changed = self.changes.get() >= changes_before + MIN_PROGRESS
                || self.active_operators.get() == 0;
            let called =
                self.calls.get() >= calls_before + MIN_PROGRESS || self.active_callers.get() == 0;
            (changed && called).then_some(())
        })
        .await;
    }

    /// Waits until all three instances vote and have all committed entries.
    async fn wait_until_caught_up(&self) {
        wait::until("three members that vote", || async {
            let status = self.operators[0].status().await?;
            let caught_up = status.members.iter().filter(|member| {
                member.votes && member.matched > 0 && member.matched >= status.committed
            });
            (caught_up.count() == 3).then_some(())
        })
        .await;
    }
}

/// Kills, freezes or wipes a random instance, waits for progress without it, and restores it.
async fn inject_fault(cluster: &mut Cluster, run: &Run, fault: usize, random: u64) {
    let n = usize::try_from(random % 3).unwrap();
    let name = cluster.controls[n].name.clone();
    match random / 3 % 3 {
        0 => {
            eprintln!("kill {name}");
            cluster.controls[n].process.kill();
            run.wait_for_progress().await;
        }
        1 => {
            eprintln!("freeze {name}");
            cluster.controls[n].process.signal(libc::SIGSTOP);
            run.wait_for_progress().await;
            cluster.controls[n].process.signal(libc::SIGCONT);
            return;
        }
        _ => {
            run.wait_until_caught_up().await;
            eprintln!("wipe {name}");
            cluster.controls[n].process.kill();
            std::fs::remove_dir_all(cluster.dir.path().join(&name)).unwrap();
            run.wait_for_progress().await;
            // The leader may still list the wiped instance as voting and up to date. A commit in
            // the meantime lets the test tell the new folder from the old one.
            let key = format!("fault-{fault}");
            assert!(run.attempt(&key, &format!("{key}-attempt-0"), 0).await);
        }
    }
    cluster.controls[n].process = cluster.restart("flamingo-control", &name);
    // The next fault must not come during the repair: a wiped disk and a stopped process at the
    // same time leave no majority.
    run.wait_until_caught_up().await;
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
        dispatched: Rc::default(),
        calls: Rc::default(),
        active_operators: Rc::new(Cell::new(OPERATOR_COUNT)),
        active_callers: Rc::new(Cell::new(CALLER_PAIRS * 2)),
    };
    run.wait_until_caught_up().await;
    let mut tasks = Vec::new();
    for process in 0..OPERATOR_COUNT {
        tasks.push(actix_rt::spawn(run.clone().operate(process)));
    }
    for pair in 0..CALLER_PAIRS {
        for caller in 0..2 {
            tasks.push(actix_rt::spawn(run.clone().call(pair, caller)));
        }
    }
    for fault in 0..FAULT_COUNT {
        run.wait_for_progress().await;
        eprintln!("{} changes, {} calls", run.changes.get(), run.calls.get());
        inject_fault(&mut cluster, &run, fault, random.next_u64()).await;
    }
    run.stopped.set(true);
    for task in tasks {
        task.await.unwrap();
    }
    let dispatched = run.dispatched.take();
    let (operations, keys) = (run.recorder.len(), dispatched.len());
    eprintln!("{operations} operations on the configuration, {keys} keys, {FAULT_COUNT} faults");
    for (key, attempts) in &dispatched {
        assert_eq!(
            attempts.len(),
            1,
            "{key} was dispatched more than once: {attempts:?}"
        );
    }
    // A resend through any instance gets the recorded answer.
    for (key, attempts) in &dispatched {
        let Grant::Answered(answer) = run.begin(key, "resend", keys).await else {
            panic!("{key} was not answered from the ledger");
        };
        assert_eq!(answer.request, attempts[0]);
    }
    assert!(
        run.recorder.is_linearizable(),
        "the history of the configuration is not linearizable"
    );
}

//! Scenarios of the engine's own account, and the bounds of its batch.

use datadriven::{TestCase, walk};
use flamingo_stand_in::engine::account::{Account, Refusal};
use flamingo_stand_in::engine::batch::{Batch, Key, Limits};
use flamingo_test_support::seed;
use flamingo_wire::announce::Resident;
use flamingo_wire::engine::Parameters;
use flamingo_wire::place::Outcome;
use std::collections::HashMap;

const INCARNATION: u64 = 7;

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut account = Account::new(0, true, INCARNATION, Vec::new());
        file.run(|case| step(&mut account, case));
    });
}

fn step(account: &mut Account, case: &TestCase) -> String {
    let number = |name: &str, default: u64| {
        let values = case.args.get(name).cloned().unwrap_or_default();
        values.first().map_or(default, |text| text.parse().unwrap())
    };
    let text = |name: &str| {
        case.args
            .get(name)
            .map_or(String::new(), |all| all[0].clone())
    };
    let order = Parameters {
        order: number("order", 0),
        fence: number("fence", 0),
        incarnation: number("incarnation", INCARNATION),
        version: 1,
        memory: number("memory", 0),
    };
    let model = text("model");
    let mut said = None;
    match case.directive.as_str() {
        "new" => {
            let fenced = case.args.contains_key("fenced");
            *account = Account::new(number("size", 0), fenced, INCARNATION, Vec::new());
        }
        "load" => said = Some(account.load(&model, &order)),
        "unload" => said = Some(account.unload(&model, &order)),
        "end" => {
            let failed = case.args.contains_key("failed");
            let outcome = if failed {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            account.end(&model, &order, case.args.contains_key("load"), outcome);
        }
        "use" => account.count(&resident(model.clone()), 1),
        other => panic!("no directive '{other}'"),
    }
    let in_use = account.in_use(&model, 1) && case.directive == "unload";
    format!("{}{}\n", begun(said, in_use), show(account))
}

fn resident(model: String) -> Resident {
    Resident {
        model,
        version: 1,
        adapters: Vec::new(),
    }
}

fn begun(said: Option<Result<(), Refusal>>, in_use: bool) -> String {
    match said {
        None => String::new(),
        Some(Ok(())) if in_use => "ok, in use: ".to_owned(),
        Some(Ok(())) => "ok: ".to_owned(),
        Some(Err(refusal)) => format!("{refusal}: "),
    }
}

fn show(account: &Account) -> String {
    let (committed, peak) = (account.committed(), account.peak());
    format!(
        "committed {committed}, peak {peak}, over {}",
        account.over_commits()
    )
}

/// A batch of at most 3 sequences and 10 tokens, under any order of arrivals and ends.
#[allow(clippy::needless_pass_by_value)] // quickcheck hands the input over by value
fn batch_stays_in_bounds(steps: Vec<(bool, u8)>) -> bool {
    let mut batch = Batch::new(Limits {
        sequences: 3,
        tokens: 10,
    });
    let mut inside: HashMap<Key, usize> = HashMap::new();
    let mut receivers = Vec::new();
    for (enters, value) in steps {
        if enters {
            let tokens = usize::from(value % 12);
            let (key, admitted) = batch.enter(i32::from(value % 3), tokens);
            inside.insert(key, tokens.min(10));
            receivers.push((key, admitted));
        } else if let Some(key) = inside.keys().copied().min() {
            inside.remove(&key);
            receivers.retain(|(other, _)| *other != key);
            batch.leave(key);
        }
        let admitted = receivers.iter_mut().filter_map(|(key, admitted)| {
            let ran = admitted.try_recv() != Err(tokio::sync::oneshot::error::TryRecvError::Empty);
            ran.then_some(*key)
        });
        let running: Vec<_> = admitted.collect();
        let tokens: usize = running.iter().map(|key| inside[key]).sum();
        let all = batch.running() + batch.waiting() == inside.len();
        if running.len() > 3 || tokens > 10 || running.len() != batch.running() || !all {
            return false;
        }
    }
    true
}

#[test]
fn the_batch_stays_in_bounds() {
    seed::check(
        500,
        40,
        batch_stays_in_bounds as fn(Vec<(bool, u8)>) -> bool,
    );
}

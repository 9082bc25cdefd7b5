//! One of sixteen workspaces sends six times its usual load, in virtual time.
#![allow(clippy::cast_precision_loss, reason = "small counts")]

mod fleet;

use flamingo_test_support::cases;
use fleet::{Outcome, Plan, WORKSPACES, play};

/// Parts of what the others had without the surge that they have with it.
#[derive(Debug)]
struct Kept {
    /// Of all that they had answered within the objective.
    on_time: f64,
    /// Of all that they had answered.
    answered: f64,
    /// The least part that one of them keeps of what it had answered.
    least: f64,
}

fn kept(plan: &Plan, outcome: &Outcome) -> Kept {
    let without = play(Plan {
        surge: None,
        ..plan.clone()
    });
    let others = (0..WORKSPACES).filter(|workspace| Some(*workspace) != plan.surge);
    let others: Vec<usize> = others.collect();
    let sum = |amounts: &[f64]| others.iter().map(|index| amounts[*index]).sum::<f64>();
    let ratios = others
        .iter()
        .map(|index| outcome.answered[*index] / without.answered[*index]);
    Kept {
        on_time: sum(&outcome.on_time) / sum(&without.on_time),
        answered: sum(&outcome.answered) / sum(&without.answered),
        least: ratios.fold(f64::INFINITY, f64::min),
    }
}

/// Checks that the others keep 0.95 of their work and that 0.97 of the capacity is used.
fn protected(plan: &Plan) {
    let outcome = play(plan.clone());
    let kept = kept(plan, &outcome);
    println!(
        "{} entries, surge of {:?}: {kept:.4?}, used {:.4}, {:.0} B/s sent, {:.0} B/s received",
        plan.entries, plan.surge, outcome.used, outcome.sent_bytes, outcome.received_bytes
    );
    assert!(
        kept.on_time >= 0.95 && kept.answered >= 0.95 && kept.least >= 0.95,
        "{kept:?}"
    );
    assert!(outcome.used >= 0.97, "{}", outcome.used);
}

cases! { protected:
    the_largest_surges_at_65_entries(&Plan { surge: Some(0), ..Plan::default() });
    the_second_surges_at_65_entries(&Plan { surge: Some(1), ..Plan::default() });
    the_largest_surges_at_400_entries(
        &Plan { surge: Some(0), entries: 400, targets: 72, ..Plan::default() });
    the_leader_changes_amid_the_surge(
        &Plan { surge: Some(0), new_leader_ms: Some(9_000), ..Plan::default() });
    some_entries_are_cut_off_amid_the_surge(
        &Plan { surge: Some(0), cut_off: (7_000..12_000, 3), ..Plan::default() });
}

/// Guards against limits on requests that are more urgent than those of the workspace that surges.
#[test]
fn a_higher_rank_loses_nothing_to_a_lower_one() {
    let urgent = [2, 5, 9];
    let mut ranks = [1; WORKSPACES];
    for workspace in urgent {
        ranks[workspace] = 0;
    }
    let plan = Plan {
        surge: Some(0),
        ranks,
        ..Plan::default()
    };
    let outcome = play(plan.clone());
    let without = play(Plan {
        surge: None,
        ..plan.clone()
    });
    for workspace in urgent {
        let part = outcome.on_time[workspace] / without.on_time[workspace];
        assert!(part >= 0.99, "{workspace}: {part}");
    }
    let kept = kept(&plan, &outcome);
    println!("two ranks: {kept:.4?}, used {:.4}", outcome.used);
    assert!(kept.least >= 0.95 && outcome.used >= 0.97, "{kept:?}");
}

/// Guards against credit or debt of a workspace that comes amid a shortage: what it asks for, far below
/// an equal share, is answered, and the others keep what they had.
#[test]
fn a_newcomer_amid_the_surge_gets_what_it_asks_for() {
    let plan = Plan {
        surge: Some(0),
        newcomer: Some((1, 8_000)),
        ..Plan::default()
    };
    let outcome = play(plan.clone());
    let kept = kept(&plan, &outcome);
    println!("a newcomer: {kept:.4?}, used {:.4}", outcome.used);
    assert!(kept.least >= 0.95 && kept.on_time >= 0.95, "{kept:?}");
}

/// Guards against a test that passes without shares.
#[test]
fn without_shares_the_others_lose() {
    let plan = Plan {
        surge: Some(0),
        shares: false,
        ..Plan::default()
    };
    let outcome = play(plan.clone());
    let kept = kept(&plan, &outcome);
    println!("without shares: {kept:.4?}, used {:.4}", outcome.used);
    assert!(kept.answered < 0.8, "{kept:?}");
}

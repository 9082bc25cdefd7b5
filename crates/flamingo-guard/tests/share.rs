//! Who is above its share, by what entries report.

use flamingo_guard::share::ledger::Ledger;
use flamingo_guard::share::limits::Limits;
use flamingo_guard::share::{LIMITS_LIFETIME, Pool, Standing};
use flamingo_test_support::cases;
use flamingo_wire::share::{Limit, Use};
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(100);

/// Work of a workspace in each interval: name, rank, admitted, refused.
type Report = (&'static str, u8, u32, u32);

fn uses(reports: &[Report]) -> Vec<Use> {
    let reports = reports.iter();
    let uses = reports.map(|(workspace, rank, admitted, refused)| Use {
        workspace: (*workspace).into(),
        rank: *rank,
        service: "s".into(),
        model: Some("m".into()),
        admitted: *admitted,
        refused: *refused,
        pressed: 0,
        begun: *admitted,
    });
    uses.collect()
}

/// Reports the same for some seconds. Returns what is published last, and the number of publications.
fn play(ledger: &mut Ledger, reports: &[Report], from: Instant, rounds: u32) -> (Vec<Limit>, u32) {
    let mut last = Vec::new();
    let mut count = 0;
    for round in 1..=rounds {
        ledger.record(&uses(reports));
        if let Some(limits) = ledger.publish(from + INTERVAL * round) {
            last = limits;
            count += 1;
        }
    }
    (last, count)
}

/// Checks who is limited, and to which part, in thousandths.
fn limited(reports: &[Report], expected: &[(&str, u16)]) {
    let now = Instant::now();
    let (limits, _) = play(&mut Ledger::new(now), reports, now, 30);
    let of_model = limits.iter().filter(|limit| limit.model.is_some());
    let found: Vec<_> = of_model
        .map(|limit| (limit.workspace.as_str(), limit.permille))
        .collect();
    assert_eq!(found, expected, "{limits:?}");
}

cases! { limited:
    nobody_is_limited_while_all_find_room(&[("a", 1, 30, 0), ("b", 1, 300, 0)], &[]);
    a_workspace_alone_is_not_limited(&[("a", 1, 100, 300)], &[]);
    the_workspace_that_surges_is_limited(&[("a", 1, 30, 2), ("b", 1, 68, 200)], &[("b", 246)]);
    the_others_get_all_that_they_ask_for(
        &[("a", 1, 20, 20), ("b", 1, 30, 0), ("c", 1, 150, 450)], &[("c", 217)]);
    two_that_surge_get_the_same(
        &[("a", 1, 20, 0), ("b", 1, 60, 60), ("c", 1, 20, 220)], &[("b", 333), ("c", 167)]);
    a_higher_rank_is_not_limited_by_a_lower_one(
        &[("a", 0, 300, 0), ("b", 0, 30, 0), ("c", 1, 10, 90), ("d", 1, 10, 0)], &[("c", 100)]);
}

/// Guards against credit from idle time and debt of a newcomer: from its first second on, it gets what
/// an older workspace with the same requests gets.
#[test]
fn a_newcomer_has_neither_credit_nor_debt() {
    let now = Instant::now();
    let mut ledger = Ledger::new(now);
    play(&mut ledger, &[("a", 1, 100, 100)], now, 300);
    let later = now + INTERVAL * 300;
    let both = [("a", 1, 50, 150), ("new", 1, 50, 150)];
    let (limits, _) = play(&mut ledger, &both, later, 30);
    let parts: Vec<u16> = limits.iter().map(|limit| limit.permille).collect();
    assert_eq!(parts.len(), 4, "{limits:?}");
    assert!(
        parts.iter().all(|part| part.abs_diff(250) < 20),
        "{parts:?}"
    );
}

/// Guards against limits that outlast the shortage, and against pushes while nothing changes.
#[test]
fn limits_end_with_the_shortage_and_are_repeated_seldom() {
    let now = Instant::now();
    let mut ledger = Ledger::new(now);
    let short = [("a", 1, 30, 2), ("b", 1, 70, 200)];
    let (_, count) = play(&mut ledger, &short, now, 10);
    assert!(count <= 6, "{count}");
    let (limits, count) = play(&mut ledger, &short, now + INTERVAL * 10, 40);
    assert!(!limits.is_empty() && count <= 11, "{count} of {limits:?}");
    let calm = [("a", 1, 30, 0), ("b", 1, 40, 0)];
    let (limits, _) = play(&mut ledger, &calm, now + INTERVAL * 50, 60);
    assert_eq!(limits, []);
    let (_, count) = play(&mut ledger, &calm, now + INTERVAL * 110, 100);
    assert_eq!(count, 0);
    play(&mut ledger, &short, now + INTERVAL * 210, 20);
    let (limits, count) = play(&mut ledger, &[], now + INTERVAL * 230, 15);
    assert!(limits.is_empty() && count > 0, "{limits:?}");
}

/// Guards against a new leader that limits nobody, or others, until it has seen as much as the last.
#[test]
fn a_new_leader_finds_the_same_shares_at_once() {
    let now = Instant::now();
    let short = [("a", 1, 30, 2), ("b", 1, 70, 200)];
    let (old, _) = play(&mut Ledger::new(now), &short, now, 50);
    let (new, _) = play(&mut Ledger::new(now), &short, now, 1);
    assert_eq!(old, new);
}

/// Guards against an entry that goes on refusing when nobody tells it what is short.
#[test]
fn an_entry_that_is_cut_off_limits_nothing() {
    let now = Instant::now();
    let (limits, _) = play(
        &mut Ledger::new(now),
        &[("a", 1, 30, 2), ("b", 1, 70, 200)],
        now,
        10,
    );
    let pool = Pool {
        service: "s".into(),
        model: Some("m".into()),
        rank: 1,
    };
    let mut entry = Limits::default();
    entry.replace(&limits, now);
    assert_eq!(entry.standing(&pool, "b", 0.9, now), Standing::AboveShare);
    let later = now + LIMITS_LIFETIME;
    assert_eq!(entry.standing(&pool, "b", 0.9, later), Standing::Unlimited);
    assert_eq!(entry.count(later), 0);
}

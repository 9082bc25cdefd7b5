//! Which registration of a target is the newest, and what is published about it.

use flamingo_control::registry::{Broadcast, Registry};
use flamingo_test_support::registration::registration;
use flamingo_wire::control::Push;
use flamingo_wire::frame::Seal;
use flamingo_wire::target::Registration;
use std::time::{Duration, Instant, SystemTime};

fn version(id: &str, incarnation: u64, sequence: u64) -> Registration {
    Registration {
        incarnation,
        sequence,
        ..registration(id)
    }
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let leaving = Registration {
        leaving: true,
        ..version("t", 1, 5)
    };
    assert!(registry.record_heartbeat(now, leaving));
    assert!(!registry.record_heartbeat(now, version("t", 1, 4)));
    assert!(registry.get("t").expect("known").leaving);
}

#[test]
fn a_restart_under_the_same_name_supersedes() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, version("t", 1, 90));
    registry.record_departure(now, "t", 1);
    assert!(registry.record_heartbeat(now, version("t", 2, 1)));
    assert!(!registry.get("t").expect("known").gone);
}

#[test]
fn a_departure_of_an_earlier_incarnation_changes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, version("t", 2, 1));
    registry.record_departure(now, "t", 1);
    assert!(!registry.get("t").expect("known").gone);
}

#[test]
fn a_heartbeat_of_a_target_that_lost_its_address_is_dropped() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, version("new", 2, 1));
    assert!(!registry.record_heartbeat(now, version("old", 1, 9)));
    assert!(registry.get("old").is_none());
}

#[test]
fn changes_are_published_at_once_and_unchanged_heartbeats_together() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (all, mut pushes) = registry.subscribe();
    assert!(all.is_empty());
    registry.record_heartbeat(now, version("t", 1, 1));
    registry.record_heartbeat(now, version("t", 1, 2));
    assert!(
        matches!(pushes.try_recv().expect("a push").push(), Push::Targets(registrations) if registrations.len() == 1)
    );
    assert!(pushes.try_recv().is_err());
    registry.publish_unchanged(now);
    assert_eq!(
        pushes.try_recv().expect("a push").push(),
        &Push::Unchanged(vec!["t".into()])
    );
}

#[test]
fn a_target_without_heartbeats_becomes_inactive_and_is_removed() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, version("t", 1, 1));
    let timeout = Duration::from_secs(4);
    assert_eq!(
        registry.active(now + Duration::from_secs(1), timeout).len(),
        1
    );
    assert!(registry.active(now + timeout, timeout).is_empty());
    registry.publish_unchanged(now + Duration::from_mins(1));
    assert!(registry.get("t").is_none());
}

#[test]
fn a_push_of_another_instance_is_merged_and_not_published() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (_, mut pushes) = registry.subscribe();
    registry.merge(now, &Push::Targets(vec![version("t", 1, 1)]));
    assert!(registry.get("t").is_some());
    assert!(pushes.try_recv().is_err());
}

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// A registry that has heard of the target `t` at its 100th heartbeat, and then of a registration that
/// the target did not send.
fn hidden_by(odd: Registration, now: Instant) -> Registry {
    let mut registry = Registry::default();
    assert!(registry.record_heartbeat(now, version("t", 1_000, 100)));
    assert!(registry.record_heartbeat(now, odd));
    registry
}

/// Sends further heartbeats of the target, and returns the first that is accepted, and when.
fn first_accepted(registry: &mut Registry, start: Instant, count: u32) -> Option<Duration> {
    (1..=count).find_map(|number| {
        let after = HEARTBEAT_INTERVAL * number;
        let heartbeat = version("t", 1_000, 100 + u64::from(number));
        let accepted = registry.record_heartbeat(start + after, heartbeat);
        accepted.then_some(after)
    })
}

/// Guards against a sound target that one odd entry of another writer hides for good.
macro_rules! an_odd_registration_hides_a_target_for_seconds_only {
    ($($case:ident: $odd:expr, $seconds:expr;)*) => {$(
        #[test]
        fn $case() {
            let now = Instant::now();
            let mut registry = hidden_by($odd, now);
            let mut entry = registry.subscribe().0;
            let accepted = first_accepted(&mut registry, now, 20).expect("accepted");
            assert!(accepted <= Duration::from_secs($seconds), "after {accepted:?}");
            let target = registry.get("t").expect("known");
            assert!(!target.leaving && !target.gone);
            assert_eq!(target.address, registration("t").address);
            // Whoever had adopted the odd registration adopts the target again.
            entry.retain(|other| other.id == "t");
            assert!(target.supersedes(&entry[0]));
            // Its heartbeats count from then on.
            let next = version("t", 1_000, 200);
            assert!(registry.record_heartbeat(now + Duration::from_mins(1), next));
        }
    )*};
}

an_odd_registration_hides_a_target_for_seconds_only! {
    a_later_start_of_another_writer: version("t", 2_000, 1), 6;
    a_higher_sequence_of_another_writer: version("t", 1_000, 1 << 50), 6;
    a_later_start_at_another_address:
        Registration { address: "127.0.0.1:9".parse().expect("an address"), ..version("t", 2_000, 1) }, 6;
    a_departure_that_another_writer_announces:
        Registration { leaving: true, ..version("t", 1_000, 1 << 50) }, 20;
    another_name_at_the_address_of_the_target: version("odd", 2_000, 1), 6;
}

#[test]
fn a_target_that_has_restarted_is_not_replaced_by_late_heartbeats() {
    let now = Instant::now();
    let mut registry = hidden_by(version("t", 2_000, 1), now);
    for number in 1..=20 {
        let at = now + HEARTBEAT_INTERVAL * number;
        let late = version("t", 1_000, 100 + u64::from(number));
        assert!(!registry.record_heartbeat(at, late));
        let sequence = 1 + u64::from(number);
        assert!(registry.record_heartbeat(at, version("t", 2_000, sequence)));
    }
}

#[test]
fn late_heartbeats_that_arrive_together_replace_nothing() {
    let now = Instant::now();
    let mut registry = hidden_by(version("t", 2_000, 1), now);
    for sequence in 101..120 {
        let at = now + Duration::from_secs(4);
        assert!(!registry.record_heartbeat(at, version("t", 1_000, sequence)));
    }
}

#[test]
fn a_target_that_leaves_is_not_brought_back_by_late_heartbeats() {
    let now = Instant::now();
    let leaving = Registration {
        leaving: true,
        ..version("t", 1_000, 110)
    };
    let mut registry = hidden_by(leaving, now);
    assert_eq!(first_accepted(&mut registry, now, 9), None);
}

#[test]
fn a_target_that_has_left_is_not_brought_back_by_its_heartbeats() {
    let now = Instant::now();
    let mut registry = Registry::default();
    assert!(registry.record_heartbeat(now, version("t", 1_000, 100)));
    registry.record_departure(now, "t", 0);
    assert_eq!(first_accepted(&mut registry, now, 20), None);
}

/// Times from the first sending of a push to a later one, in seconds.
const LATER_S: [u64; 5] = [28, 31, 90, 3_600, 86_400];

#[test]
fn a_push_is_accepted_however_long_after_its_first_sending_a_follower_gets_it() {
    let control = Seal::new("control", b"secret");
    let entry = Seal::new("entry", b"secret");
    let broadcast = Broadcast::new(Push::Heartbeat(7));
    let first = SystemTime::now();
    for later in [0].into_iter().chain(LATER_S) {
        let now = first + Duration::from_secs(later);
        let frame = broadcast.frame(&control, now).expect("a frame");
        let opened: Result<Push, _> = entry.open(&frame, now);
        assert!(opened.is_ok(), "after {later} s: {opened:?}");
    }
}

#[test]
fn a_push_is_accepted_after_the_clock_was_set_back() {
    let control = Seal::new("control", b"secret");
    let entry = Seal::new("entry", b"secret");
    let broadcast = Broadcast::new(Push::Heartbeat(7));
    let first = SystemTime::now();
    broadcast.frame(&control, first).expect("a frame");
    let now = first - Duration::from_hours(1);
    let frame = broadcast.frame(&control, now).expect("a frame");
    let opened: Result<Push, _> = entry.open(&frame, now);
    assert!(opened.is_ok(), "{opened:?}");
}

/// Guards against a frame for each target to each follower when a whole fleet starts.
#[test]
fn registrations_that_change_together_are_published_together() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (_, mut pushes) = registry.subscribe();
    for id in ["a", "b", "c"] {
        registry.record_heartbeat(now, version(id, 1, 1));
    }
    registry.record_heartbeat(now, version("b", 1, 2));
    registry.record_departure(now, "c", 1);
    registry.publish_targets();
    registry.publish_targets();
    let mut published = Vec::new();
    while let Ok(broadcast) = pushes.try_recv() {
        if let Push::Targets(registrations) = broadcast.push() {
            let targets = registrations
                .iter()
                .map(|known| (known.id.clone(), known.gone));
            published.push(targets.collect::<Vec<_>>());
        }
    }
    let first = vec![("a".to_owned(), false)];
    let second = vec![("b".to_owned(), false), ("c".to_owned(), true)];
    assert_eq!(published, [first, second]);
}

/// Guards against pushes that refer to a registration which the followers do not have yet.
#[test]
fn collected_registrations_are_published_before_other_pushes() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let (_, mut pushes) = registry.subscribe();
    registry.record_heartbeat(now, version("a", 1, 1));
    registry.record_heartbeat(now, version("b", 1, 1));
    registry.publish_residency(now, Vec::new());
    let mut next = || pushes.try_recv().expect("a push");
    assert!(matches!(next().push(), Push::Targets(_)));
    assert!(matches!(next().push(), Push::Targets(all) if all[0].id == "b"));
    assert!(matches!(next().push(), Push::Residency(_)));
}

/// Guards against an address that stays bound to a target that has moved or has been removed.
#[test]
fn an_address_is_free_once_its_target_has_moved_or_expired() {
    let now = Instant::now();
    let later = now + Duration::from_mins(1);
    let mut registry = Registry::default();
    let address = registration("other").address;
    let moved = Registration {
        address: ([10, 0, 0, 99], 1).into(),
        ..version("t", 9, 2)
    };
    registry.record_heartbeat(now, version("t", 9, 1));
    assert!(registry.is_outdated(&version("u", 1, 1)));
    registry.record_heartbeat(now, moved);
    assert!(!registry.is_outdated(&version("u", 1, 1)));
    registry.record_heartbeat(
        now,
        Registration {
            address,
            ..version("v", 9, 1)
        },
    );
    assert!(registry.is_outdated(&version("u", 1, 1)));
    registry.publish_unchanged(later);
    assert!(!registry.is_outdated(&version("u", 1, 1)));
}

//! Targets wait until their software version is committed.

use flamingo_control::daemon::{Core, Setup};
use flamingo_control::metrics::Metrics;
use flamingo_control::raft_actor::HandleRequest;
use flamingo_control::software::{Gate, Passage, origin};
use flamingo_control::watch::lock_registry;
use flamingo_log::Timing;
use flamingo_log::raft::{MembershipPolicy, Seed};
use flamingo_state::software::Software;
use flamingo_test_support::registration::registration;
use flamingo_test_support::{address, wait};
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::target::Registration;
use slog::{Discard, Logger, o};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

fn target(id: &str, software: &str, sequence: u64) -> Registration {
    Registration {
        software: software.into(),
        sequence,
        ..registration(id)
    }
}

/// Returns committed versions of the service, as confirmed at `now`.
fn committed(versions: &[&str], now: SystemTime) -> Arc<Software> {
    let mut software = Software::default();
    for version in versions {
        software.confirm(origin(&target("t", version, 1)), now);
    }
    Arc::new(software)
}

#[test]
fn a_target_waits_until_its_version_is_committed() {
    let (now, clock) = (Instant::now(), SystemTime::now());
    let mut gate = Gate::default();
    gate.adopt(committed(&["v1"], clock), now, clock);
    assert_eq!(gate.check(&target("t", "v1", 1), clock), Passage::Open);
    let new = target("u", "v2", 1);
    assert_eq!(gate.check(&new, clock), Passage::Held);
    gate.hold(new.clone(), now);
    assert!(gate.adopt(committed(&["v1"], clock), now, clock).is_empty());
    let released = gate.adopt(committed(&["v1", "v2"], clock), now, clock);
    assert_eq!(released, [new]);
    assert!(!gate.holds(&origin(&released[0]), now));
}

#[test]
fn the_newest_registration_of_a_target_waits() {
    let (now, clock) = (Instant::now(), SystemTime::now());
    let mut gate = Gate::default();
    for sequence in [1, 3, 2] {
        gate.hold(target("t", "v2", sequence), now);
    }
    let released = gate.adopt(committed(&["v2"], clock), now, clock);
    assert_eq!(released, [target("t", "v2", 3)]);
}

#[test]
fn a_target_that_has_left_or_fallen_silent_is_not_published() {
    let (now, clock) = (Instant::now(), SystemTime::now());
    let mut gate = Gate::default();
    gate.hold(target("left", "v2", 1), now);
    gate.hold(target("silent", "v2", 1), now);
    gate.remove("left");
    let later = now + Duration::from_secs(30);
    let released = gate.adopt(committed(&["v2"], clock), later, clock);
    assert!(released.is_empty());
}

#[test]
fn a_version_is_confirmed_again_and_serves_meanwhile() {
    let (now, clock) = (Instant::now(), SystemTime::now());
    let mut gate = Gate::default();
    gate.adopt(committed(&["v1"], clock), now, clock);
    let known = target("t", "v1", 1);
    let later = clock + Duration::from_mins(10);
    assert_eq!(gate.check(&known, later), Passage::Stale);
    // No leader has confirmed it for a day.
    let much_later = clock + Duration::from_hours(24);
    assert_eq!(gate.check(&known, much_later), Passage::Stale);
    // A clock that has gone back proves no age.
    let earlier = clock - Duration::from_mins(10);
    assert_eq!(gate.check(&known, earlier), Passage::Open);
}

#[test]
fn a_version_is_confirmed_by_one_request_at_a_time() {
    let mut gate = Gate::default();
    let origin = origin(&target("t", "v1", 1));
    assert!(gate.begin_confirmation(&origin));
    assert!(!gate.begin_confirmation(&origin));
    gate.end_confirmation(&origin);
    assert!(gate.begin_confirmation(&origin));
}

/// Port of the inner protocol.
const PORT: u16 = 7401;

/// Starts a control instance that leads alone once all of `members` take part.
async fn start(data: &Path, members: usize) -> Core {
    let log = Logger::root(Discard, o!());
    let addresses = (0..members).map(|_| address::at(address::host(), PORT));
    let seeds: Vec<Seed> = addresses
        .map(|address| Seed {
            node: address.to_string(),
            address,
        })
        .collect();
    let core = Core::start(Setup {
        node: seeds[0].node.clone(),
        inner: seeds[0].address,
        seeds,
        timing: Timing::low_latency(),
        membership: MembershipPolicy::Automatic {
            min_voters: members,
            bootstraps: true,
        },
        data: data.into(),
        seal: Seal::new("c", b"a key of the tests"),
        metrics: Metrics::new().expect("metrics"),
        leader_tasks: Vec::new(),
        controller: None,
        log,
    });
    core.await.expect("started")
}

/// Returns a target as the instance publishes it, unless it has gone.
fn published(core: &Core, id: &str) -> Option<Registration> {
    let registry = lock_registry(&core.registry);
    registry.get(id).filter(|target| !target.gone).cloned()
}

#[actix_rt::test]
async fn a_target_is_published_once_its_version_is_committed() {
    let data = tempfile::tempdir().expect("a folder");
    let core = start(data.path(), 1).await;
    core.record_heartbeat(target("t", "v1", 1));
    assert_eq!(published(&core, "t"), None);
    let known = || async { published(&core, "t") };
    wait::until("the target to be published", known).await;
    let request = Request::Versions("s".into());
    let from = String::new();
    let reply = core.raft_actor.send(HandleRequest { request, from }).await;
    assert_eq!(reply.expect("a reply"), Reply::Versions(vec!["v1".into()]));
}

#[actix_rt::test]
async fn a_target_of_a_new_version_is_not_published_without_a_leader() {
    let data = tempfile::tempdir().expect("a folder");
    // The other members never start.
    let core = start(data.path(), 3).await;
    core.record_heartbeat(target("t", "v1", 1));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(published(&core, "t"), None);
}

#[actix_rt::test]
async fn a_target_that_restarts_with_a_new_version_is_withdrawn_until_that_is_committed() {
    let data = tempfile::tempdir().expect("a folder");
    let core = start(data.path(), 1).await;
    core.record_heartbeat(target("t", "v1", 1));
    let known = || async { published(&core, "t") };
    wait::until("the target to be published", known).await;
    let restarted = Registration {
        incarnation: 2,
        ..target("t", "v2", 1)
    };
    core.record_heartbeat(restarted.clone());
    assert_eq!(published(&core, "t"), None);
    let known = || async { published(&core, "t") };
    let again = wait::until("the target to be published again", known).await;
    assert_eq!(again, restarted);
}

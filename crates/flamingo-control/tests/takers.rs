//! An instance knows which of its followers take requests of other entries.

use flamingo_control::daemon::{Core, Setup};
use flamingo_control::metrics::Metrics;
use flamingo_control::raft_actor::{FollowerHeartbeat, GetMembership};
use flamingo_log::Timing;
use flamingo_log::raft::{MembershipPolicy, Seed};
use flamingo_test_support::address;
use flamingo_wire::control::Heartbeat;
use flamingo_wire::frame::Seal;
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::path::Path;

/// Port of the inner protocol.
const PORT: u16 = 7402;

async fn start(data: &Path) -> Core {
    let inner = address::at(address::host(), PORT);
    let seed = Seed {
        node: inner.to_string(),
        address: inner,
    };
    let core = Core::start(Setup {
        node: seed.node.clone(),
        inner,
        seeds: vec![seed],
        timing: Timing::low_latency(),
        membership: MembershipPolicy::Automatic {
            min_voters: 1,
            bootstraps: true,
        },
        data: data.into(),
        seal: Seal::new("c", b"a key of the tests"),
        metrics: Metrics::new().expect("metrics"),
        leader_tasks: Vec::new(),
        controller: None,
        log: Logger::root(Discard, o!()),
    });
    core.await.expect("started")
}

fn entry(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, number], 4_000))
}

/// Sends a heartbeat of an entry, and returns which entries take requests after it.
async fn beat(core: &Core, node: &str, neighbour: Option<SocketAddr>) -> Vec<(String, SocketAddr)> {
    let heartbeat = Heartbeat {
        node: node.into(),
        zone: "a".into(),
        version: 0,
        routes: Some(0),
        keeps_evidence: false,
        relays: true,
        neighbour,
    };
    let sent = core.raft_actor.send(FollowerHeartbeat(heartbeat)).await;
    sent.expect("received");
    let membership = core.raft_actor.send(GetMembership).await;
    membership.expect("a membership").neighbours
}

/// Guards against requests that go to an entry that reaches no target.
#[actix_rt::test]
async fn an_entry_takes_requests_as_long_as_its_heartbeats_say_so() {
    let data = tempfile::tempdir().expect("a folder");
    let core = start(data.path()).await;
    let first = ("a".to_owned(), entry(1));
    let second = ("a".to_owned(), entry(2));
    assert_eq!(beat(&core, "entry-0", None).await, []);
    let both = [first.clone(), second.clone()];
    assert_eq!(beat(&core, "entry-1", Some(entry(1))).await, [first]);
    assert_eq!(beat(&core, "entry-2", Some(entry(2))).await, both);
    assert_eq!(beat(&core, "entry-1", None).await, [second]);
}

//! The settings are reloaded with other seeds while a member waits for its first member
//! list.

use flamingo_log::disk::Stored;
use flamingo_log::message::Body;
use flamingo_log::raft::{MembershipPolicy, Options, Seed};
use flamingo_log::{Action, Raft, Timing};
use flamingo_test_support::group::name;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn seed(n: usize) -> Seed {
    let port = 7_000 + u16::try_from(n).unwrap();
    Seed {
        node: name(n),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

/// Returns the receivers of the requests to join that the member sends at the next tick.
fn asked(raft: &mut Raft, now: Instant) -> Vec<String> {
    raft.tick(now);
    let actions = raft.take_actions().into_iter();
    let asked = actions.filter_map(|action| match action {
        Action::Send(message) if matches!(message.body, Body::Join { .. }) => Some(message.to),
        _ => None,
    });
    asked.collect()
}

#[test]
fn a_member_without_a_list_asks_those_whom_the_settings_name_now() {
    let now = Instant::now();
    let options = Options {
        node: name(0),
        address: seed(0).address,
        seeds: vec![seed(0), seed(1)],
        timing: Timing::default(),
        membership: MembershipPolicy::Automatic {
            min_voters: 3,
            bootstraps: false,
        },
        seed: 1,
        stored: Stored::default(),
    };
    let mut raft = Raft::new(options, now);
    assert_eq!(asked(&mut raft, now), [name(1)]);
    raft.update_seeds(vec![seed(0), seed(2)]);
    assert_eq!(asked(&mut raft, now + Duration::from_secs(1)), [name(2)]);
}

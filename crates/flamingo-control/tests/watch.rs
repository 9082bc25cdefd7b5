//! Following the configuration through `Control.Watch`.

use flamingo_test_support::cluster::{Cluster, KEY};
use flamingo_test_support::operator::{Applied, Operator, change};
use flamingo_test_support::wait;
use flamingo_wire::Frame;
use flamingo_wire::control::{Heartbeat, Push};
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::workspace::Workspace;
use std::time::SystemTime;
use tokio::sync::mpsc::{Sender, channel};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

const NODE: &str = "entry-1";

struct Follower {
    seal: Seal,
    heartbeats: Sender<Frame>,
    pushes: Streaming<Frame>,
}

impl Follower {
    async fn start(cluster: &Cluster, n: usize) -> Self {
        let at = &cluster.controls[n];
        let seal = Seal::new(NODE, KEY.as_bytes());
        let address = format!("http://{}", at.inner());
        let mut client = ControlClient::connect(address).await.unwrap();
        let (heartbeats, outbound) = channel(4);
        heartbeats
            .send(heartbeat(&seal, &at.name, 0))
            .await
            .unwrap();
        let pushes = client.watch(ReceiverStream::new(outbound)).await.unwrap();
        let pushes = pushes.into_inner();
        Self {
            seal,
            heartbeats,
            pushes,
        }
    }

    async fn next(&mut self) -> Push {
        let frame = self.pushes.message().await.unwrap().unwrap();
        self.seal.open(&frame, SystemTime::now()).unwrap()
    }

    /// Reads pushes until a configuration arrives; returns its version.
    async fn config(&mut self) -> u64 {
        loop {
            if let Push::Config(snapshot) = self.next().await {
                return snapshot.version;
            }
        }
    }
}

fn heartbeat(seal: &Seal, to: &str, version: u64) -> Frame {
    let heartbeat = Heartbeat {
        node: NODE.into(),
        zone: "zone-a".into(),
        version,
        routes: None,
        keeps_evidence: false,
        relays: false,
        neighbour: None,
    };
    seal.seal(to, &heartbeat, SystemTime::now()).unwrap()
}

#[actix_rt::test]
async fn a_change_is_pushed_and_its_follower_is_shown() {
    let cluster = Cluster::start(3, 0);
    let operators: Vec<_> = cluster.controls.iter().map(Operator::new).collect();
    wait::until("a change to be accepted", || async {
        let applied = operators[0].apply(&change("first", 0)).await;
        (applied == Applied::Accepted(1)).then_some(())
    })
    .await;
    let mut follower = Follower::start(&cluster, 1).await;
    assert_eq!(follower.config().await, 1);
    let applied = operators[2].apply(&change("second", 1)).await;
    assert_eq!(applied, Applied::Accepted(2));
    assert_eq!(follower.config().await, 2);
    let name = &cluster.controls[1].name;
    let frame = heartbeat(&follower.seal, name, 2);
    follower.heartbeats.send(frame).await.unwrap();
    assert_eq!(follower.next().await, Push::Heartbeat(2));
    // Every instance shows the follower, also the instances that it does not follow.
    for operator in &operators {
        wait::until("the follower to be shown", || async {
            let status = operator.status().await?;
            let shown = status.followers.iter();
            let mut shown = shown.filter(|shown| shown.node == NODE && shown.version == 2);
            shown.next().map(|_| ())
        })
        .await;
    }
}

/// Guards against entries that take each unknown key for a new one, and against bytes that followers
/// without workspaces don't need.
#[actix_rt::test]
async fn the_leader_is_named_to_a_follower_of_workspaces_alone() {
    let cluster = Cluster::start(1, 0);
    let operator = Operator::new(&cluster.controls[0]);
    wait::until("a change to be accepted", || async {
        let applied = operator.apply(&change("first", 0)).await;
        (applied == Applied::Accepted(1)).then_some(())
    })
    .await;
    let mut follower = Follower::start(&cluster, 0).await;
    assert_eq!(follower.config().await, 1);
    for _ in 0..3 {
        assert_eq!(follower.next().await, Push::Heartbeat(1));
    }
    let mut with_workspace = change("second", 1);
    with_workspace.set.workspaces.push(Workspace {
        name: "acme".into(),
        ..Workspace::default()
    });
    assert_eq!(operator.apply(&with_workspace).await, Applied::Accepted(2));
    assert_eq!(follower.config().await, 2);
    for heartbeat in [None, Some(Push::Heartbeat(2))] {
        if let Some(heartbeat) = heartbeat {
            assert_eq!(follower.next().await, heartbeat);
        }
        let Push::Peers(peers) = follower.next().await else {
            panic!("no news of the leader");
        };
        assert_eq!(peers.leader, Some(cluster.controls[0].inner()));
    }
}

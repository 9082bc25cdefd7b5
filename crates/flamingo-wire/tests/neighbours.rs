//! Processes of two versions hear each other, of which one knows nothing of neighbours.

use flamingo_wire::control::{Heartbeat, Naming, Peers};
use flamingo_wire::frame::Seal;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::SystemTime;

/// A heartbeat as processes wrote it before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct EarlierHeartbeat {
    node: String,
    zone: String,
    version: u64,
    routes: Option<u64>,
    keeps_evidence: bool,
    relays: bool,
}

/// A list of the processes as control instances wrote it before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct EarlierPeers {
    controls: Vec<SocketAddr>,
    entries: u32,
    leader: Option<SocketAddr>,
    routes: u64,
}

/// Returns a message as a process reads it that takes it for a `B`.
fn read<A: Serialize, B: DeserializeOwned>(message: &A) -> B {
    let now = SystemTime::now();
    let seal = Seal::new("a", b"secret");
    let frame = seal.seal("a", message, now).expect("a frame");
    seal.open(&frame, now).expect("a message")
}

/// Returns the body of a message.
fn body<A: Serialize>(message: &A) -> Vec<u8> {
    let seal = Seal::new("a", b"secret");
    let frame = seal.seal("a", message, SystemTime::now());
    frame.expect("a frame").body
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn heartbeats() -> (EarlierHeartbeat, Heartbeat) {
    let earlier = EarlierHeartbeat {
        node: "entry".into(),
        zone: "a".into(),
        version: 3,
        routes: Some(4),
        keeps_evidence: true,
        relays: true,
    };
    let heartbeat = Heartbeat {
        node: "entry".into(),
        zone: "a".into(),
        version: 3,
        routes: Some(4),
        keeps_evidence: true,
        relays: true,
        neighbour: None,
    };
    (earlier, heartbeat)
}

fn lists() -> (EarlierPeers, Peers) {
    let earlier = EarlierPeers {
        controls: vec![address(1)],
        entries: 2,
        leader: Some(address(1)),
        routes: 5,
    };
    let peers = Peers {
        controls: vec![address(1)],
        entries: 2,
        leader: Some(address(1)),
        routes: 5,
        ..Peers::default()
    };
    (earlier, peers)
}

#[test]
fn messages_without_neighbours_are_as_before() {
    let (earlier, heartbeat) = heartbeats();
    assert_eq!(body(&earlier), body(&heartbeat));
    let (earlier, peers) = lists();
    assert_eq!(body(&earlier), body(&peers));
}

#[test]
fn messages_of_an_earlier_version_name_no_neighbours() {
    let (earlier, heartbeat) = heartbeats();
    assert_eq!(read::<_, Heartbeat>(&earlier), heartbeat);
    let (earlier, peers) = lists();
    assert_eq!(read::<_, Peers>(&earlier), peers);
}

#[test]
fn an_earlier_version_reads_messages_that_name_neighbours() {
    let (earlier, mut heartbeat) = heartbeats();
    heartbeat.neighbour = Some(address(2));
    assert_eq!(read::<_, EarlierHeartbeat>(&heartbeat), earlier);
    assert_eq!(read::<_, Heartbeat>(&heartbeat), heartbeat);
    let added = body(&heartbeat).len() - body(&earlier).len();
    println!("a heartbeat with an address: {added} B more");
    let (earlier, mut peers) = lists();
    for relayed in [false, true] {
        peers.neighbours = Some(Naming {
            zone: "a".into(),
            addresses: vec![address(2), address(3)],
            relayed,
        });
        assert_eq!(read::<_, EarlierPeers>(&peers), earlier);
        assert_eq!(read::<_, Peers>(&peers), peers);
    }
}

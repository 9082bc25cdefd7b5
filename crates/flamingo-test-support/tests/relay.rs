//! The relay does to connections what its tests ask of it.

use flamingo_test_support::relay::Relay;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Sends back every byte, on every connection.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn dial(relay: &Relay) -> TcpStream {
    let stream = TcpStream::connect(relay.address()).unwrap();
    let patience = Some(Duration::from_secs(10));
    stream.set_read_timeout(patience).unwrap();
    stream
}

fn round_trip(stream: &mut TcpStream) {
    stream.write_all(b"x").unwrap();
    let mut seen = [0];
    stream.read_exact(&mut seen).unwrap();
}

fn expect_silence(stream: &mut TcpStream) {
    let patience = Some(Duration::from_millis(100));
    stream.set_read_timeout(patience).unwrap();
    stream.write_all(b"x").unwrap();
    let error = stream.read(&mut [0]).unwrap_err();
    assert!(matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut
    ));
}

#[test]
fn old_connections_go_silent_while_new_ones_work() {
    let relay = Relay::start(echo());
    let mut old = dial(&relay);
    round_trip(&mut old);
    relay.silence();
    expect_silence(&mut old);
    round_trip(&mut dial(&relay));
    assert_eq!(relay.accepted(), 2);
}

#[test]
fn dropped_connections_end() {
    let relay = Relay::start(echo());
    let mut old = dial(&relay);
    round_trip(&mut old);
    relay.drop_all();
    assert!(matches!(old.read(&mut [0]), Ok(0) | Err(_)));
    round_trip(&mut dial(&relay));
}

#[test]
fn held_bytes_pass_after_the_heal() {
    let relay = Relay::start(echo());
    let mut old = dial(&relay);
    round_trip(&mut old);
    relay.hold();
    let mut new = dial(&relay);
    expect_silence(&mut old);
    expect_silence(&mut new);
    relay.heal();
    for stream in [&mut old, &mut new] {
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream.read_exact(&mut [0]).unwrap();
    }
    assert_eq!(relay.bytes(), 2 + 4);
}

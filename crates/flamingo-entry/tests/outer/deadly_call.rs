//! Calls of a plain service that crash each target that begins to run them, and come again.

use crate::harness::{Harness, ReceivedRequest, answer, close, receive};
use flamingo_test_support::address::{at, host};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const TARGETS: usize = 20;
/// Crashes after which a call must be known to crash targets.
const CRASHES_TO_KNOW: usize = 3;
/// Time within which it must be known then.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that may still reach targets afterwards.
const RETRIES_AFTERWARDS: usize = 3;
/// Repeats that callers send afterwards.
const REPEATS: usize = 12;
/// Time between a call and the crash of its target.
const TIME_TO_CRASH: Duration = Duration::from_millis(40);
const DEADLY: &str = r#"{"shift": "X"}"#;

/// Starts a target that crashes at bodies with the letter `X`, and then accepts no connection.
fn start(deadly: &Arc<AtomicUsize>) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind(at(host(), 8000)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let crashed = Arc::new(AtomicBool::default());
    let (known, deadly) = (Arc::clone(&crashed), Arc::clone(deadly));
    thread::spawn(move || {
        while !known.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            let (crashed, deadly) = (Arc::clone(&known), Arc::clone(&deadly));
            thread::spawn(move || serve(stream, &crashed, &deadly));
        }
    });
    (address, crashed)
}

fn serve(mut stream: TcpStream, crashed: &AtomicBool, deadly: &AtomicUsize) {
    while let Some(ReceivedRequest { body, .. }) = receive(&mut stream) {
        if !body.contains('X') {
            answer(&mut stream, "200 OK", "", "{}");
            continue;
        }
        deadly.fetch_add(1, Ordering::SeqCst);
        thread::sleep(TIME_TO_CRASH);
        crashed.store(true, Ordering::SeqCst);
        // The listener is closed before the connection.
        thread::sleep(Duration::from_millis(5));
        close(&stream);
    }
}

#[actix_rt::test]
async fn a_call_that_crashed_targets_is_kept_from_the_others() {
    let harness = Harness::start().await;
    let deadly = Arc::default();
    let mut targets = Vec::new();
    for index in 0..TARGETS {
        let (address, crashed) = start(&deadly);
        harness.service(&format!("rota-{index}"), address).await;
        targets.push(crashed);
    }
    let crashed = || {
        let crashed = targets.iter();
        crashed
            .filter(|crashed| crashed.load(Ordering::SeqCst))
            .count()
    };
    while crashed() < CRASHES_TO_KNOW {
        harness.post("/services/rota/confirm", DEADLY).await;
    }
    actix_rt::time::sleep(CONTACT).await;
    let before = deadly.load(Ordering::SeqCst);
    for number in 0..REPEATS {
        harness.post("/services/rota/confirm", DEADLY).await;
        let sound = format!(r#"{{"shift": {number}}}"#);
        let reply = harness.post("/services/rota/confirm", sound).await;
        assert_eq!(reply.status, 200, "{}", reply.text);
    }
    let retries = deadly.load(Ordering::SeqCst) - before;
    let crashed = crashed();
    assert!(
        retries <= RETRIES_AFTERWARDS,
        "{retries} retries, {crashed} targets crashed"
    );
}

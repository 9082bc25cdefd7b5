//! Targets that never stop sending.

use crate::harness::{FakeTarget, Harness, Reply};
use flamingo_test_support::wait;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of copies of the repeated text that are sent at once.
const REPEATS_PER_WRITE: usize = 10_000;
const OK: &str = "HTTP/1.1 200 OK\r\n";

/// What is asked of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ask {
    Call,
    Stream,
}

/// Sends a request to a target that answers with `start` and then repeats `text` until its
/// connection is closed. Returns the caller's response.
async fn ask(ask: Ask, start: &'static str, text: &'static str) -> Reply {
    let harness = Harness::start().await;
    let closed = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&closed);
    let texts = text.repeat(REPEATS_PER_WRITE);
    let fake = FakeTarget::start(move |_, _, stream| {
        let _ = stream.write_all(start.as_bytes());
        while stream.write_all(texts.as_bytes()).is_ok() {}
        seen.store(true, Ordering::SeqCst);
    });
    let reply = if ask == Ask::Call {
        harness.service("rota-1", fake.address).await;
        harness.confirm().await
    } else {
        harness.engine("engine-1", fake.address).await;
        harness.stream().await
    };
    wait::until("the target's connection to close", || async {
        closed.load(Ordering::SeqCst).then_some(())
    })
    .await;
    reply
}

macro_rules! endless {
    ($($name:ident: $ask:ident, $start:expr, $text:expr;)*) => {
        $(#[actix_rt::test]
        async fn $name() {
            let reply = ask(Ask::$ask, $start, $text).await;
            assert!(!reply.text.contains("[DONE]"), "{reply:?}");
            assert_ne!(reply.verdict(), "not-run", "{reply:?}");
        })*
    };
}

endless! {
    endless_bytes_that_are_no_answer_end: Call, "", "no answer";
    an_endless_head_ends: Call, OK, "x-filler: filler filler filler filler filler\r\n";
    an_endless_header_ends: Call, "HTTP/1.1 200 OK\r\nx-filler: ", "filler";
    an_endless_body_ends: Call, "HTTP/1.1 200 OK\r\n\r\n", "body";
    an_endless_chunked_body_ends: Call, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nbody\r\n";
    an_endless_event_ends: Stream, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n", "data: x\n";
    endless_bytes_that_are_no_stream_end: Stream, "", "no answer";
}

#[actix_rt::test]
async fn endless_bytes_after_an_answer_are_not_passed_on() {
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood";
    let reply = ask(Ask::Call, start, "bad").await;
    assert_eq!(reply.text, "good");
}

//! Streams that are cut at each byte, by how the target delimits them.

use crate::harness::{FakeTarget, Harness, close};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A whole stream.
const STREAM: &str = "data: {\"token\": 1}\n\ndata: {\"token\": 2}\n\ndata: [DONE]\n\n";

/// How a target delimits the body of its response.
#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunks,
    ChunksWithLast,
    Connection,
    /// As `Connection`, in HTTP/1.0.
    OldConnection,
}

/// Returns a response that sends the first `sent` bytes of the stream.
fn response(framing: Framing, sent: usize) -> String {
    let body = &STREAM[..sent];
    let chunked = match body.len() {
        0 => String::new(),
        length => format!("{length:x}\r\n{body}\r\n"),
    };
    let (version, header, body) = match framing {
        Framing::Length => {
            let header = format!("content-length: {}\r\n", STREAM.len());
            ("1.1", header, body.to_owned())
        }
        Framing::Chunks => ("1.1", "transfer-encoding: chunked\r\n".to_owned(), chunked),
        Framing::ChunksWithLast => {
            let header = "transfer-encoding: chunked\r\n".to_owned();
            ("1.1", header, format!("{chunked}0\r\n\r\n"))
        }
        Framing::Connection => ("1.1", String::new(), body.to_owned()),
        Framing::OldConnection => ("1.0", String::new(), body.to_owned()),
    };
    format!("HTTP/{version} 200 OK\r\ncontent-type: text/event-stream\r\n{header}\r\n{body}")
}

/// Cuts a stream at each byte. The caller must get an error event, and never the final event.
async fn check_each_byte(framing: Framing) {
    let harness = Harness::start().await;
    let cut = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&cut);
    let fake = FakeTarget::start(move |_, _, stream| {
        let sent = seen.load(Ordering::SeqCst);
        let _ = stream.write_all(response(framing, sent).as_bytes());
        close(stream);
    });
    for sent in 0..STREAM.len() {
        cut.store(sent, Ordering::SeqCst);
        // A name that has not failed yet, so that the request is sent at once.
        harness
            .engine(&format!("engine-{sent}"), fake.address)
            .await;
        let reply = harness.stream().await;
        assert!(!reply.text.contains("[DONE]"), "cut at {sent}: {reply:?}");
        assert_eq!(reply.verdict(), "may-have-run", "cut at {sent}: {reply:?}");
    }
}

macro_rules! cuts {
    ($($name:ident: $framing:ident;)*) => {
        $(#[actix_rt::test]
        async fn $name() {
            check_each_byte(Framing::$framing).await;
        })*
    };
}

cuts! {
    a_stream_short_of_its_length_ends_with_an_error: Length;
    a_stream_without_its_last_chunk_ends_with_an_error: Chunks;
    a_stream_whose_last_chunk_comes_early_ends_with_an_error: ChunksWithLast;
    a_stream_that_ends_with_its_connection_ends_with_an_error: Connection;
    a_cut_stream_of_an_old_target_ends_with_an_error: OldConnection;
}

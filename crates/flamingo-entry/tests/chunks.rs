//! Streamed responses over HTTP whose producer finishes them, or goes away before.

use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;
use flamingo_entry::chunks::channel;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Answers with two chunks, and finishes the response if the path says so.
async fn answer(finishes: web::Path<bool>) -> HttpResponse {
    let (sender, receiver) = channel(1);
    actix_rt::spawn(async move {
        let deadline = Instant::now() + Duration::from_secs(20);
        for chunk in ["data: 1\n\n", "data: 2\n\n"] {
            assert!(
                sender
                    .send(Bytes::from_static(chunk.as_bytes()), deadline)
                    .await
            );
        }
        if *finishes {
            sender.finish();
        }
    });
    HttpResponse::Ok().streaming(receiver)
}

/// Returns what a caller receives until the connection closes.
async fn receive(path: &str) -> String {
    let server = HttpServer::new(|| App::new().route("/{finishes}", web::get().to(answer)));
    let server = server.workers(1).disable_signals();
    let server = server.bind("127.0.0.1:0").expect("bound");
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut received = String::new();
    // A reset connection ends the response too.
    let _ = stream.read_to_string(&mut received).await;
    handle.stop(false).await;
    received
}

#[actix_rt::test]
async fn a_response_that_was_not_finished_has_no_last_chunk() {
    let received = receive("/false").await;
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "{received}");
}

#[actix_rt::test]
async fn a_finished_response_has_its_last_chunk() {
    let received = receive("/true").await;
    assert!(received.ends_with("data: 2\n\n\r\n0\r\n\r\n"), "{received}");
}

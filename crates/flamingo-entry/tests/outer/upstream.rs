//! Misbehaving targets: no caller may get the response to another request, or a partial response
//! as a complete one.

use crate::harness::{FakeTarget, Harness, LIMIT, answer, chunk, close, last_chunk, stream_head};
use flamingo_test_support::address::{at, host};

fn event(number: usize) -> String {
    format!("data: {{\"token\": {number}}}\n\n")
}

fn events(from: usize, to: usize) -> String {
    (from..to).map(event).collect()
}

const DONE: &str = "data: [DONE]\n\n";

#[actix_rt::test]
async fn a_whole_stream_is_passed_on_as_it_came() {
    let harness = Harness::start().await;
    let fake = FakeTarget::start(|_, _, stream| {
        stream_head(stream, "");
        chunk(stream, &events(0, 2));
        chunk(stream, "data: {\"tok");
        chunk(stream, "en\": 2}\n\n");
        chunk(stream, DONE);
        last_chunk(stream);
    });
    harness.engine("engine-1", fake.address).await;
    let reply = harness.stream().await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text, events(0, 3) + DONE);
    assert!(reply.id.is_some());
}

#[actix_rt::test]
async fn a_stream_without_its_end_is_an_explicit_error() {
    let harness = Harness::start().await;
    let fake = FakeTarget::start(|_, _, stream| {
        stream_head(stream, "");
        chunk(stream, &events(0, 2));
        last_chunk(stream);
        close(stream);
    });
    harness.engine("engine-1", fake.address).await;
    let reply = harness.stream().await;
    assert!(reply.text.starts_with(&events(0, 2)), "{reply:?}");
    assert!(!reply.text.contains("[DONE]"), "{reply:?}");
    assert_eq!(reply.verdict(), "may-have-run");
}

/// An engine whose stream breaks in the middle of its third event, and can be resumed.
fn breaking(_: usize, request: &crate::harness::ReceivedRequest, stream: &mut std::net::TcpStream) {
    match request.header("x-flamingo-resume-from") {
        None => {
            stream_head(stream, "x-flamingo-resumable: 1\r\n");
            chunk(stream, &events(0, 2));
            chunk(stream, "data: {\"tok");
            close(stream);
        }
        Some(from) => {
            let from: usize = from.parse().unwrap();
            stream_head(stream, &format!("x-flamingo-resumed-from: {from}\r\n"));
            chunk(stream, &events(from, 5));
            chunk(stream, DONE);
            last_chunk(stream);
        }
    }
}

#[actix_rt::test]
async fn a_broken_stream_goes_on_without_a_torn_or_repeated_event() {
    let harness = Harness::start().await;
    let first = FakeTarget::start(breaking);
    let second = FakeTarget::start(breaking);
    harness.engine("engine-1", first.address).await;
    harness.engine("engine-2", second.address).await;
    let reply = harness.stream().await;
    assert_eq!(reply.text, events(0, 5) + DONE);
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

/// Runs two engines that break off after two events, and write `text` behind them. Each can go on.
async fn check_foreign_text(text: &'static str) {
    let harness = Harness::start().await;
    let engine = move || {
        FakeTarget::start(move |count, request, stream| {
            if request.header("x-flamingo-resume-from").is_some() {
                return breaking(count, request, stream);
            }
            stream_head(stream, "x-flamingo-resumable: 1\r\n");
            chunk(stream, &format!("{}{text}", events(0, 2)));
            close(stream);
        })
    };
    let (first, second) = (engine(), engine());
    harness.engine("engine-1", first.address).await;
    harness.engine("engine-2", second.address).await;
    let reply = harness.stream().await;
    assert_eq!(reply.text, events(0, 5) + DONE);
}

macro_rules! foreign_texts {
    ($($name:ident: $text:expr;)*) => {
        $(#[actix_rt::test]
        async fn $name() {
            check_foreign_text($text).await;
        })*
    };
}

foreign_texts! {
    the_head_of_an_error_in_a_stream_is_not_passed_on: "HTTP/1.1 500 X\r\ncontent-type: text/plain\r\n\r\nfailed\n\n";
    the_head_of_an_error_inside_an_event_is_not_passed_on: "data: {\"toHTTP/1.1 500 X\r\ncontent-length: 6\r\n\r\nfailed";
    a_text_in_a_stream_is_not_passed_on: "upstream failed\n\n";
}

#[actix_rt::test]
async fn a_text_of_another_engine_is_not_passed_on_in_a_stream() {
    let harness = Harness::start().await;
    let engine = || {
        FakeTarget::start(|_, request, stream| {
            if request.header("x-flamingo-resume-from").is_none() {
                stream_head(stream, "x-flamingo-resumable: 1\r\n");
                chunk(stream, &events(0, 2));
                return close(stream);
            }
            let headers = "content-type: text/plain\r\nx-flamingo-resumed-from: 2\r\n";
            answer(stream, "200 OK", headers, "data: upstream failed\n\n");
        })
    };
    let (first, second) = (engine(), engine());
    harness.engine("engine-1", first.address).await;
    harness.engine("engine-2", second.address).await;
    let reply = harness.stream().await;
    assert!(reply.text.starts_with(&events(0, 2)), "{reply:?}");
    assert!(!reply.text.contains("upstream failed"), "{reply:?}");
    assert_eq!(reply.verdict(), "may-have-run");
}

/// As `breaking`, for an engine of a software version.
fn breaking_at(
    software: &'static str,
) -> impl Fn(usize, &crate::harness::ReceivedRequest, &mut std::net::TcpStream) {
    move |_, request, stream| {
        let stated = format!("x-flamingo-software: {software}\r\n");
        if request.header("x-flamingo-resume-from").is_none() {
            stream_head(stream, &format!("x-flamingo-resumable: 1\r\n{stated}"));
            chunk(stream, &events(0, 2));
            close(stream);
        } else {
            stream_head(stream, &format!("x-flamingo-resumed-from: 2\r\n{stated}"));
            chunk(stream, &events(2, 5));
            chunk(stream, DONE);
            last_chunk(stream);
        }
    }
}

#[actix_rt::test]
async fn a_broken_stream_does_not_go_on_at_another_software_version() {
    let harness = Harness::start().await;
    let first = FakeTarget::start(breaking_at("v1"));
    let second = FakeTarget::start(breaking_at("v1.1"));
    harness.engine("engine-1", first.address).await;
    harness.engine("engine-2", second.address).await;
    let reply = harness.stream().await;
    assert!(reply.text.starts_with(&events(0, 2)), "{reply:?}");
    assert!(!reply.text.contains(&event(2)), "{reply:?}");
    assert_eq!(reply.verdict(), "may-have-run");
}

#[actix_rt::test]
async fn a_broken_stream_goes_on_at_its_software_version() {
    let harness = Harness::start().await;
    let first = FakeTarget::start(breaking_at("v1"));
    let second = FakeTarget::start(breaking_at("v1"));
    harness.engine("engine-1", first.address).await;
    harness.engine("engine-2", second.address).await;
    let reply = harness.stream().await;
    assert_eq!(reply.text, events(0, 5) + DONE);
}

#[actix_rt::test]
async fn an_engine_that_starts_over_does_not_repeat_tokens() {
    let harness = Harness::start().await;
    let fake = || {
        FakeTarget::start(|_, _, stream| {
            stream_head(stream, "x-flamingo-resumable: 1\r\n");
            chunk(stream, &events(0, 2));
            close(stream);
        })
    };
    let (first, second) = (fake(), fake());
    harness.engine("engine-1", first.address).await;
    harness.engine("engine-2", second.address).await;
    let reply = harness.stream().await;
    assert_eq!(reply.text.matches(&event(0)).count(), 1, "{reply:?}");
    assert!(!reply.text.contains("[DONE]"), "{reply:?}");
    assert_eq!(reply.verdict(), "may-have-run");
}

#[actix_rt::test]
async fn a_short_answer_is_tried_again_elsewhere() {
    let harness = Harness::start().await;
    let short = FakeTarget::start(|_, _, stream| {
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"a\": 1}";
        let _ = std::io::Write::write_all(stream, text.as_bytes());
        close(stream);
    });
    let good = FakeTarget::start(|_, _, stream| answer(stream, "200 OK", "", "{\"good\": 1}"));
    harness.engine("engine-1", short.address).await;
    let reply = harness.complete("x").await;
    assert_eq!(
        (reply.status, reply.verdict().as_str()),
        (502, "may-have-run")
    );
    harness.engine("engine-2", good.address).await;
    let reply = harness.complete("x").await;
    assert_eq!(reply.text, "{\"good\": 1}");
}

#[actix_rt::test]
async fn a_chunked_answer_that_is_cut_is_never_whole() {
    let harness = Harness::start().await;
    let fake = FakeTarget::start(|_, _, stream| {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = std::io::Write::write_all(stream, head.as_bytes());
        chunk(stream, "{\"shift\": 17,");
        close(stream);
    });
    harness.service("rota-1", fake.address).await;
    let reply = harness.confirm().await;
    assert_eq!((reply.status, reply.verdict().as_str()), (502, "ran"));
    assert_eq!(fake.requests().len(), 1);
}

#[actix_rt::test]
async fn an_oversized_answer_is_refused() {
    let harness = Harness::start().await;
    let fake = FakeTarget::start(|_, _, stream| {
        answer(stream, "200 OK", "", &"x".repeat(LIMIT + 1));
    });
    harness.service("rota-1", fake.address).await;
    let reply = harness.confirm().await;
    assert_eq!((reply.status, reply.verdict().as_str()), (502, "ran"));
    assert!(reply.text.contains("larger than"), "{reply:?}");
}

#[actix_rt::test]
async fn garbage_is_refused() {
    let harness = Harness::start().await;
    let fake = FakeTarget::start(|_, _, stream| {
        let _ = std::io::Write::write_all(stream, b"\x00\x01 not HTTP\r\n\r\n");
        close(stream);
    });
    harness.service("rota-1", fake.address).await;
    let reply = harness.confirm().await;
    let verdict = reply.verdict();
    assert_eq!((reply.status, verdict.as_str()), (502, "may-have-run"));
    assert_eq!(fake.requests().len(), 1);
}

/// The target sends each response twice, the second time when the next request has arrived.
#[actix_rt::test]
async fn a_late_duplicate_never_reaches_another_caller() {
    let harness = Harness::start().await;
    let earlier = std::sync::Mutex::new(String::new());
    let fake = FakeTarget::start(move |number, request, stream| {
        let mut earlier = earlier.lock().unwrap();
        if number > 0 {
            answer(stream, "200 OK", "", &earlier);
        }
        answer(stream, "200 OK", "", &request.body);
        earlier.clone_from(&request.body);
    });
    harness.engine("engine-1", fake.address).await;
    for number in 0..50 {
        let marker = format!("caller-{number}.");
        let reply = harness.complete(&marker).await;
        assert!(reply.text.contains(&marker), "{marker} got {reply:?}");
    }
}

#[actix_rt::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    let harness = Harness::start().await;
    let fake = FakeTarget::start(|_, _, stream| {
        answer(stream, "200 OK", "x-request-id: req-of-another\r\n", "{}");
    });
    harness.service("rota-1", fake.address).await;
    let reply = harness.confirm().await;
    let verdict = reply.verdict();
    assert_eq!((reply.status, verdict.as_str()), (502, "may-have-run"));
}

#[actix_rt::test]
async fn a_call_whose_connection_ends_unanswered_is_not_sent_again() {
    let harness = Harness::start().await;
    let (first, second) = (
        FakeTarget::start(|_, _, stream| close(stream)),
        FakeTarget::start(|_, _, stream| close(stream)),
    );
    harness.service("rota-1", first.address).await;
    harness.service("rota-2", second.address).await;
    let reply = harness.confirm().await;
    let verdict = reply.verdict();
    assert_eq!((reply.status, verdict.as_str()), (502, "may-have-run"));
    assert_eq!(first.requests().len() + second.requests().len(), 1);
}

#[actix_rt::test]
async fn a_redirect_is_passed_on_and_not_followed() {
    let harness = Harness::start().await;
    let fake = FakeTarget::start(|_, _, stream| {
        answer(stream, "307 Temporary Redirect", "location: /again\r\n", "");
    });
    harness.service("rota-1", fake.address).await;
    let reply = harness.confirm().await;
    assert_eq!(reply.status, 307);
    assert_eq!(fake.requests().len(), 1);
}

#[actix_rt::test]
async fn a_refused_connection_is_not_run_and_goes_to_another_replica() {
    let harness = Harness::start().await;
    let gone = at(host(), 8000);
    harness.service("rota-1", gone).await;
    let reply = harness.confirm().await;
    let verdict = reply.verdict();
    assert_eq!((reply.status, verdict.as_str()), (502, "not-run"));
    let good = FakeTarget::start(|_, _, stream| answer(stream, "200 OK", "", "{\"ok\": 1}"));
    harness.service("rota-2", good.address).await;
    for _ in 0..20 {
        assert_eq!(harness.confirm().await.text, "{\"ok\": 1}");
    }
    assert_eq!(good.requests().len(), 20);
}

/// A target refuses with `retry_after`. It must get nothing more while another one serves.
async fn check_refusal(retry_after: &str) {
    let harness = Harness::start().await;
    let headers = format!("x-flamingo-verdict: not-run\r\nretry-after: {retry_after}\r\n");
    let busy = FakeTarget::start(move |_, _, stream| {
        answer(stream, "503 Service Unavailable", &headers, "");
    });
    harness.service("rota-1", busy.address).await;
    let good = FakeTarget::start(|_, _, stream| answer(stream, "200 OK", "", "{\"ok\": 1}"));
    harness.service("rota-2", good.address).await;
    for _ in 0..20 {
        assert_eq!(harness.confirm().await.text, "{\"ok\": 1}");
    }
    assert_eq!(good.requests().len(), 20);
    assert_eq!(
        busy.requests().len(),
        1,
        "got another request before its Retry-After time"
    );
}

#[actix_rt::test]
async fn a_refusal_that_says_not_run_is_obeyed() {
    check_refusal("30").await;
}

#[actix_rt::test]
async fn a_refusal_with_a_fraction_of_a_second_is_obeyed() {
    check_refusal("30.5").await;
}

#[actix_rt::test]
async fn a_plain_error_of_a_service_is_its_own_answer() {
    let harness = Harness::start().await;
    let fake = FakeTarget::start(|_, _, stream| {
        answer(stream, "503 Service Unavailable", "", "{\"own\": 1}");
    });
    harness.service("rota-1", fake.address).await;
    let reply = harness.confirm().await;
    assert_eq!((reply.status, reply.text.as_str()), (503, "{\"own\": 1}"));
    assert_eq!(fake.requests().len(), 1);
}

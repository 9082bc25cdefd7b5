//! Answers whose status is that of no final response (RFC 9110, section 15).

use crate::harness::{FakeTarget, Harness, Reply, answer, chunk, close, last_chunk, stream_head};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Statuses of no class that HTTP defines.
const UNDEFINED: [&str; 4] = ["600", "700", "799", "999"];
/// What stands in place of a status and can't be one. The retry budget pays for no more cases.
const UNREADABLE: [&str; 5] = ["000", "099", "1000", "20", "2OO"];
/// Statuses of interim responses, which announce a final one.
const INTERIM: [&str; 5] = ["100", "101", "103", "104", "199"];
/// What a target states beside the status: nothing, or that it has not run the request.
const MARKS: [&str; 2] = ["", "x-flamingo-verdict: not-run\r\n"];
const FIRST: &str = "data: {\"token\": 1}\n\n";
const REST: &str = "data: {\"token\": 2}\n\ndata: [DONE]\n\n";

/// What is asked of the targets, and what the others answer.
#[derive(Clone, Copy, Debug)]
enum Ask {
    /// A call that may run once only.
    Call,
    Completion,
    Stream,
    /// A stream of which another target has sent the first event.
    Rest,
}

/// The outcome of one request.
#[derive(Debug)]
struct Seen {
    reply: Reply,
    /// Number of requests that the targets got together.
    sent: usize,
}

/// The next odd answer of the targets.
#[derive(Clone, Copy, Debug, Default)]
struct Odd {
    status: &'static str,
    mark: &'static str,
    /// Number of requests that are answered soundly before it.
    after: usize,
}

/// Answers a request soundly.
fn answer_soundly(ask: Ask, resumes: bool, stream: &mut TcpStream) {
    if matches!(ask, Ask::Call | Ask::Completion) {
        return answer(stream, "200 OK", "", "{\"good\": 1}");
    }
    if resumes {
        stream_head(stream, "x-flamingo-resumed-from: 1\r\n");
    } else {
        stream_head(stream, "x-flamingo-resumable: 1\r\n");
        chunk(stream, FIRST);
    }
    if resumes || !matches!(ask, Ask::Rest) {
        chunk(stream, REST);
        last_chunk(stream);
    }
}

/// Starts a target that gives one odd answer among sound ones, and counts the requests since it was told
/// which.
fn start(ask: Ask, odd: &Arc<Mutex<Odd>>, sent: &Arc<AtomicUsize>) -> FakeTarget {
    let (odd, sent) = (Arc::clone(odd), Arc::clone(sent));
    FakeTarget::start(move |_, request, stream| {
        let odd = *odd.lock().unwrap();
        let resumes = request.header("x-flamingo-resume-from").is_some();
        if sent.fetch_add(1, Ordering::SeqCst) == odd.after {
            let mark = odd.mark;
            let headers =
                format!("content-type: text/event-stream\r\nx-flamingo-resumed-from: 1\r\n{mark}");
            answer(stream, &format!("{} X", odd.status), &headers, "odd");
        } else {
            answer_soundly(ask, resumes, stream);
        }
        close(stream);
    })
}

/// Plays an odd answer with each status and mark, and checks what is seen.
async fn check_all(
    ask: Ask,
    after: usize,
    statuses: &[&'static str],
    check: impl Fn(&Seen) -> bool,
) {
    let harness = Harness::start().await;
    let (odd, sent) = (Arc::default(), Arc::default());
    let fake = start(ask, &odd, &sent);
    let mut wrong = Vec::new();
    for status in statuses {
        for mark in MARKS {
            *odd.lock().unwrap() = Odd {
                status,
                mark,
                after,
            };
            sent.store(0, Ordering::SeqCst);
            // Names that have not failed yet, so that the request is sent at once.
            for number in 0..3 {
                let name = format!("target-{status}-{}-{number}", mark.len());
                match ask {
                    Ask::Call => harness.service(&name, fake.address).await,
                    _ => harness.engine(&name, fake.address).await,
                }
            }
            let reply = match ask {
                Ask::Call => harness.confirm().await,
                Ask::Completion => harness.complete("x").await,
                Ask::Stream | Ask::Rest => harness.stream().await,
            };
            let seen = Seen {
                reply,
                sent: sent.load(Ordering::SeqCst),
            };
            if seen.reply.text.contains("odd") || !check(&seen) {
                wrong.push(format!("{status} {mark:?}: {seen:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

async fn a_call(statuses: &[&'static str]) {
    check_all(Ask::Call, 0, statuses, |seen| {
        seen.reply.status == 502 && seen.reply.verdict() == "may-have-run" && seen.sent == 1
    })
    .await;
}

async fn a_completion(statuses: &[&'static str]) {
    check_all(Ask::Completion, 0, statuses, |seen| {
        (seen.reply.status, seen.reply.text.as_str(), seen.sent) == (200, "{\"good\": 1}", 2)
    })
    .await;
}

async fn a_stream(statuses: &[&'static str]) {
    check_all(Ask::Stream, 0, statuses, |seen| {
        seen.reply.status == 200 && seen.reply.text == format!("{FIRST}{REST}") && seen.sent == 2
    })
    .await;
}

async fn a_rest(statuses: &[&'static str]) {
    check_all(Ask::Rest, 1, statuses, |seen| {
        // Both targets have failed, so the router may refuse a further attempt.
        let text = &seen.reply.text;
        let whole = *text == format!("{FIRST}{REST}");
        whole || (text.starts_with(FIRST) && seen.reply.verdict() == "may-have-run")
    })
    .await;
}

macro_rules! statuses {
    ($($name:ident: $play:ident, $statuses:expr;)*) => {
        $(#[actix_rt::test]
        async fn $name() {
            $play(&$statuses).await;
        })*
    };
}

statuses! {
    a_status_of_no_class_is_no_answer_to_a_call: a_call, UNDEFINED;
    a_completion_with_a_status_of_no_class_is_tried_elsewhere: a_completion, UNDEFINED;
    a_status_of_no_class_begins_no_stream: a_stream, UNDEFINED;
    a_status_of_no_class_resumes_no_stream: a_rest, UNDEFINED;
    a_status_that_is_none_is_no_answer_to_a_call: a_call, UNREADABLE;
    a_completion_with_a_status_that_is_none_is_tried_elsewhere: a_completion, UNREADABLE;
    a_status_that_is_none_begins_no_stream: a_stream, UNREADABLE;
    a_status_that_is_none_resumes_no_stream: a_rest, UNREADABLE;
    an_interim_status_is_no_answer_to_a_call: a_call, INTERIM;
    a_completion_with_an_interim_status_is_tried_elsewhere: a_completion, INTERIM;
    an_interim_status_begins_no_stream: a_stream, INTERIM;
    an_interim_status_resumes_no_stream: a_rest, INTERIM;
}

macro_rules! interim {
    ($($name:ident: $status:expr;)*) => {
        $(#[actix_rt::test]
        async fn $name() {
            let harness = Harness::start().await;
            let fake = FakeTarget::start(|_, _, stream| {
                let _ = std::io::Write::write_all(stream, concat!("HTTP/1.1 ", $status, " X\r\n\r\n").as_bytes());
                answer(stream, "200 OK", "", "{\"good\": 1}");
                close(stream);
            });
            harness.service("rota-1", fake.address).await;
            let reply = harness.confirm().await;
            let good = reply.status == 200 && reply.text == "{\"good\": 1}";
            assert!(good || reply.status == 502, "{reply:?}");
            assert!(good || reply.verdict() == "may-have-run", "{reply:?}");
        })*
    };
}

interim! {
    early_hints_are_not_taken_for_the_answer: "103";
    an_interim_status_without_a_name_is_not_taken_for_the_answer: "199";
    an_upgrade_that_nobody_asked_for_is_not_taken_for_the_answer: "101";
}

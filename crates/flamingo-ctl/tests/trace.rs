//! Tests `flamingoctl trace` with the logs of a run with injected faults, and with malformed lines.

use flamingo_ctl::trace::Trace;

const FILES: [(&str, &str); 4] = [
    ("refused", include_str!("logs/refused.jsonl")),
    ("one", include_str!("../../../samples/logs/entry-1.jsonl")),
    ("two", include_str!("../../../samples/logs/entry-2.jsonl")),
    ("three", include_str!("../../../samples/logs/entry-3.jsonl")),
];

/// Traces `request` in the sample logs and in `extra_lines`.
fn trace(request: &str, extra_lines: &str) -> Trace {
    let mut trace = Trace::default();
    for (file, text) in FILES {
        trace.add_file(request, file, text);
    }
    trace.add_file(request, "more", extra_lines);
    trace.finish();
    trace
}

macro_rules! explained_by {
    ($($name:ident: $request:expr => $message:expr, $field:expr;)*) => {
        $(#[test]
        fn $name() {
            let trace = trace($request, "");
            let line = &trace.lines[trace.deciding.expect("a deciding line")];
            assert_eq!(line.message, $message);
            assert!(line.fields.contains($field), "{}", line.fields);
        })*
    };
}

explained_by! {
    a_refused_request_had_no_room: "3f88efd1b9385476" => "no room", "wait_ms=325";
    a_broken_request_lost_its_target: "4ce87e0a187cdb9a" => "sending failed", "failure=broken";
    a_key_is_not_known: "r-key" => "not authenticated", "limit=key";
    a_quota_is_used_up: "r-quota" => "not within the quota", "workspace=shop";
    a_quota_is_unknown_after_a_wait: "r-renewed" => "not within the quota", "cause=quota_unknown";
    a_workspace_finds_no_room: "r-room" => "no room", "version=7";
    a_workspace_is_above_its_share: "r-share" => "no room", "limit=share";
    a_body_finds_no_memory: "r-memory" => "no memory for a body", "limit=room";
    a_body_is_too_large: "r-large" => "not forwarded", "cause=too_large";
    a_prompt_is_quarantined: "r-prompt" => "prompt refused", "workspace=shop";
    a_request_is_quarantined: "r-request" => "request refused", "workspace=shop";
    an_entry_stops: "r-stopping" => "refused while stopping", "version=7";
    a_late_request_had_no_answer_in_time: "28454c8e9055e3f5" => "sending failed", "failure=late";
}

#[test]
fn lines_are_in_order_and_of_one_request() {
    let trace = trace("669591b559a31b00", "");
    assert_eq!(trace.lines.len(), 5);
    assert!(trace.lines.is_sorted_by(|a, b| a.at <= b.at));
    assert_eq!(trace.lines[4].message, "given up");
}

#[test]
fn lines_that_cannot_be_read_are_counted_and_named() {
    let extra_lines = "not json\n{\"msg\":\"cut of\n{\"other\":1}\n[1]\n\n   1.5 node {\"msg\":\"given up\",\
        \"ts\":\"1\",\"node\":\"e\",\"request\":\"4ce87e0a187cdb9a\"}";
    let trace = trace("4ce87e0a187cdb9a", extra_lines);
    let numbers: Vec<_> = trace.unread.iter().map(|unread| unread.number).collect();
    assert_eq!(numbers, [1, 2, 3, 4]);
    assert_eq!(trace.lines.len(), 3);
}

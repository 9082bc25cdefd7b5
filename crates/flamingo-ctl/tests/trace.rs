//! Tests `flamingoctl trace` with the logs of a run with injected faults, and with malformed lines.

use flamingo_ctl::trace::Trace;

const FILES: [(&str, &str); 3] = [
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

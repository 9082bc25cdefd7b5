//! `flamingoctl trace` on lines of a run with injected faults, and on bad ones.

use flamingo_ctl::trace::Trace;

const ENTRY: &str = include_str!("../../../samples/logs/entry-1.log");
const OTHER: &str = include_str!("../../../samples/logs/entry-2.log");

fn trace(request: &str, more: &str) -> Trace {
    let mut trace = Trace::default();
    trace.take(request, "one", ENTRY);
    trace.take(request, "two", OTHER);
    trace.take(request, "more", more);
    trace.settle();
    trace
}

macro_rules! decided {
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

decided! {
    a_refused_request_had_no_room: "028d0e74f9b87883" => "no room", "wait_ms=354";
    a_broken_request_lost_its_target: "5d70fbc9984ffa41" => "sending failed", "failure=broken";
    a_late_request_had_no_answer_in_time: "8ea05bedff7b26ce" => "sending failed", "failure=late";
}

#[test]
fn lines_are_in_order_and_of_one_request() {
    let trace = trace("d7c3964aff62e9bc", "");
    assert_eq!(trace.lines.len(), 5);
    assert!(trace.lines.is_sorted_by(|a, b| a.at <= b.at));
    assert_eq!(trace.lines[4].message, "given up");
}

#[test]
fn lines_that_cannot_be_read_are_counted_and_named() {
    let more = "not json\n{\"msg\":\"cut of\n{\"other\":1}\n[1]\n\n   1.5 node {\"msg\":\"given up\",\
        \"ts\":\"1\",\"node\":\"e\",\"request\":\"5d70fbc9984ffa41\"}";
    let trace = trace("5d70fbc9984ffa41", more);
    let numbers: Vec<_> = trace.unread.iter().map(|unread| unread.number).collect();
    assert_eq!(numbers, [1, 2, 3, 4]);
    assert_eq!(trace.lines.len(), 3);
}

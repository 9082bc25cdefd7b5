//! Splitting of event streams, by line ends and by where the received pieces end.

use flamingo_serve::events::{Flaw, Splitter};

/// Three events, with `LF` for each line end.
const STREAM: &str = "id: 1LFdata: aLFLFid: 2LFdata: bLFLF: commentLFid: 3LFdata: cLFLF";

/// Splits a stream that is received in two pieces, for each place where the first one ends.
fn check(line_end: &str) {
    let stream = STREAM.replace("LF", line_end);
    for first in 0..=stream.len() {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for piece in [&stream[..first], &stream[first..]] {
            splitter.push(piece.as_bytes());
            events.extend(std::iter::from_fn(|| splitter.next()));
        }
        assert!(!splitter.is_inside_event(), "first piece of {first} bytes");
        let ids: Vec<_> = events.iter().filter_map(|event| event.id).collect();
        assert_eq!(ids, [1, 2, 3], "first piece of {first} bytes");
        let mut bytes: Vec<u8> = events
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .collect();
        bytes.extend(
            splitter
                .take_blank_lines()
                .iter()
                .flat_map(|rest| rest.bytes.to_vec()),
        );
        assert_eq!(bytes, stream.as_bytes(), "first piece of {first} bytes");
    }
}

macro_rules! line_ends {
    ($($name:ident: $line_end:expr;)*) => {
        $(#[test]
        fn $name() {
            check($line_end);
        })*
    };
}

line_ends! {
    line_feeds_end_events: "\n";
    carriage_returns_with_line_feeds_end_events: "\r\n";
    carriage_returns_end_events: "\r";
}

/// Returns the flaw of the first event of a text, in a stream after event 2.
fn flaw_after_second(text: &str) -> Option<Flaw> {
    let mut splitter = Splitter::default();
    splitter.push(text.as_bytes());
    splitter.next().expect("an event").flaw(Some(2))
}

macro_rules! flaws {
    ($($name:ident: $text:expr => $flaw:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(flaw_after_second($text), $flaw);
        })*
    };
}

flaws! {
    the_next_event_has_no_flaw: "id: 3\ndata: a\n\n" => None;
    fields_of_the_standard_are_no_flaw: "event: x\r\nid:3\r\nretry: 9\r\ndata: a\r\ndata\r\n: hi\r\n\r\n" => None;
    a_first_line_with_a_number_is_no_flaw: "some-name: 7\nid: 3\ndata: a\n\n" => None;
    a_number_after_a_comment_is_no_flaw: ": hi\nsome-name: 7\nid: 3\ndata: a\n\n" => None;
    a_number_after_a_blank_line_is_no_flaw: "\nsome-name: 7\nid: 3\ndata: a\n\n" => None;
    a_comment_is_no_flaw: ": hi\n\n" => None;
    blank_lines_are_no_flaw: "\n\n" => None;
    a_repeated_number_is_a_flaw: "id: 2\ndata: a\n\n" => Some(Flaw::OutOfSequence);
    a_skipped_number_is_a_flaw: "id: 4\ndata: a\n\n" => Some(Flaw::OutOfSequence);
    an_event_without_a_number_is_a_flaw: "data: a\n\n" => Some(Flaw::Unnumbered);
    an_unreadable_number_is_a_flaw: "id: three\ndata: a\n\n" => Some(Flaw::Unnumbered);
    text_is_a_flaw: "failed\n\n" => Some(Flaw::Unnumbered);
    two_numbers_are_a_flaw: "id: 3\ndata: a\nid: 3\n\n" => Some(Flaw::Malformed);
    a_status_line_in_an_event_is_a_flaw: "id: 3\ndaHTTP/1.1 500 X\r\n\r\n" => Some(Flaw::Malformed);
    a_header_in_an_event_is_a_flaw: "id: 3\ndata: a\nContent-Length: 6\n\n" => Some(Flaw::Malformed);
}

#[test]
fn the_largest_number_has_no_next_one() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 0\ndata: a\n\n");
    let event = splitter.next().expect("an event");
    assert_eq!(event.flaw(Some(u64::MAX)), Some(Flaw::OutOfSequence));
}

//! Splitting of event streams, by line ends and by where the received pieces end.

use flamingo_serve::events::Splitter;

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

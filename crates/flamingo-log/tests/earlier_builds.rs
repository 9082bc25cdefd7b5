//! Replies between this build and earlier ones, whose replies had no field `heard_only`.

use flamingo_log::message::{Body, LogMatch, Round};
use serde::{Deserialize, Serialize};

/// The reply as earlier builds know it.
#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
enum EarlierBody {
    Appended {
        round: Round,
        #[serde(rename = "fit")]
        log_match: LogMatch,
    },
}

const ROUND: Round = 4;

fn sent_and_read<S: Serialize, R: for<'a> Deserialize<'a>>(sent: &S) -> R {
    let bytes = rmp_serde::to_vec_named(sent).expect("encoded");
    rmp_serde::from_slice(&bytes).expect("decoded")
}

#[test]
fn a_reply_of_an_earlier_build_is_one_that_is_synced() {
    let log_match = LogMatch::Matched(7);
    let earlier = EarlierBody::Appended {
        round: ROUND,
        log_match,
    };
    let read: Body = sent_and_read(&earlier);
    assert_eq!(read, Body::appended(ROUND, log_match));
}

#[test]
fn an_earlier_build_reads_a_heartbeat_that_was_only_heard_as_nothing_stored() {
    let log_match = LogMatch::Matched(0);
    let heard = Body::Appended {
        round: ROUND,
        log_match,
        heard_only: true,
    };
    let read: EarlierBody = sent_and_read(&heard);
    let expected = EarlierBody::Appended {
        round: ROUND,
        log_match,
    };
    assert_eq!(read, expected);
}

//! A call whose begin got no clear reply: its entry gives up and dispatches nothing. The
//! late begin must not be granted, and the key must stay free for the caller's resend.

use flamingo_state::{Command, Stamped, State};
use flamingo_test_support::cases;
use flamingo_wire::Verdict;
use flamingo_wire::control::{Answer, Call, Grant, Reply};
use flamingo_wire::fault::Reason;
use std::time::SystemTime;

fn call(request: &str) -> Call {
    Call {
        service: "rota".into(),
        key: "shift-17".into(),
        digest: vec![1; 32],
        request: request.into(),
    }
}

/// The report of an entry that gave up a begin and dispatched nothing.
fn given_up(request: &str) -> Answer {
    Answer {
        service: "rota".into(),
        key: "shift-17".into(),
        request: request.into(),
        verdict: Verdict::NotRun,
        status: 0,
        content: String::new(),
        body: None,
    }
}

/// A command that reaches the ledger.
enum Step {
    Begin(&'static str),
    GivenUp(&'static str),
}
use Step::{Begin, GivenUp};

fn apply(state: &mut State, command: Command) -> Reply {
    let at = SystemTime::UNIX_EPOCH;
    state.apply(Stamped { at, command })
}

/// Applies the steps in order. Returns the requests that may dispatch, and the last reply.
fn run(steps: &[Step]) -> (Vec<&'static str>, Option<Reply>) {
    let mut state = State::default();
    let mut granted = Vec::new();
    let mut last = None;
    for step in steps {
        let command = match step {
            Begin(request) => Command::Begin(call(request)),
            GivenUp(request) => Command::Finish(given_up(request)),
        };
        let reply = apply(&mut state, command);
        if let (Begin(request), Reply::Grant(Grant::Dispatch)) = (step, &reply) {
            granted.push(*request);
        }
        last = Some(reply);
    }
    (granted, last)
}

fn grants(steps: &[Step], expected: &[&str]) {
    assert_eq!(run(steps).0, expected);
}

cases! { grants:
    a_resend_runs_after_the_first_was_given_up(
        &[Begin("first"), GivenUp("first"), Begin("second")], &["first", "second"]);
    the_begin_that_was_given_up_comes_late(
        &[GivenUp("first"), Begin("first"), Begin("second")], &["second"]);
    it_comes_after_the_resend(
        &[GivenUp("first"), Begin("second"), Begin("first")], &["second"]);
    giving_up_twice_changes_nothing(
        &[Begin("first"), GivenUp("first"), Begin("second"), GivenUp("first"), Begin("third")],
        &["first", "second"]);
    another_request_can_not_give_up_for_it(
        &[Begin("first"), GivenUp("second"), Begin("third")], &["first"]);
}

#[test]
fn a_resend_after_giving_up_is_still_held_to_its_body() {
    let mut state = State::default();
    apply(&mut state, Command::Finish(given_up("first")));
    let second = apply(&mut state, Command::Begin(call("second")));
    assert_eq!(second, Reply::Grant(Grant::Dispatch));
    let mut other = call("third");
    other.digest = vec![2; 32];
    let Reply::Refused(fault) = apply(&mut state, Command::Begin(other)) else {
        panic!("another body under the same key was taken");
    };
    assert_eq!(fault.reason, Reason::Reused);
}

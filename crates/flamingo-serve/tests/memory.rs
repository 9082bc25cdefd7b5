//! The sum of all bodies stays within the memory of the process, whatever peers send and in which order.

use flamingo_serve::memory::{Buffer, Memory, Refused, SHORT_BODY_BYTES};
use flamingo_test_support::seed;
use quickcheck::{Arbitrary, Gen};

const LIMIT: usize = 1024 * 1024;
const MAX_BODY: usize = 256 * 1024;
const BODIES: usize = 40;
/// Random histories, and the steps of one at most.
const HISTORIES: u64 = 300;
const STEPS: usize = 400;

/// What happens to one of the bodies.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Further bytes of it come.
    Receive(usize),
    /// It is complete, and held by whoever reads it.
    Complete,
    /// Its peer has gone, or it was sent.
    End,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 8 {
            0 => Self::Complete,
            1 => Self::End,
            _ => Self::Receive(usize::arbitrary(source) % (64 * 1024)),
        }
    }
}

fn stays_within_the_limit(steps: Vec<(usize, Step)>) -> bool {
    let memory = Memory::new(LIMIT);
    let mut open: Vec<Option<Buffer>> = (0..BODIES).map(|_| None).collect();
    let mut complete: Vec<Option<bytes::Bytes>> = (0..BODIES).map(|_| None).collect();
    let mut received = vec![0; BODIES];
    for (body, step) in steps {
        let body = body % BODIES;
        match step {
            Step::Receive(count) => {
                let buffer = open[body].get_or_insert_with(|| memory.buffer(MAX_BODY));
                match buffer.push(&vec![0; count]) {
                    Ok(()) => received[body] += count,
                    Err(Refused::TooLarge) if received[body] + count <= MAX_BODY => return false,
                    Err(_) => {}
                }
            }
            Step::Complete => {
                if let Some(buffer) = open[body].take() {
                    let bytes = buffer.freeze();
                    if bytes.len() != received[body] {
                        return false;
                    }
                    complete[body] = Some(bytes);
                    received[body] = 0;
                }
            }
            Step::End => {
                open[body] = None;
                complete[body] = None;
                received[body] = 0;
            }
        }
        let held: usize = received.iter().sum();
        let kept: usize = complete.iter().flatten().map(bytes::Bytes::len).sum();
        if memory.held() > LIMIT || memory.held() < held + kept {
            return false;
        }
    }
    drop(open);
    drop(complete);
    memory.held() == 0
}

#[test]
fn the_bodies_of_a_process_stay_within_its_memory() {
    let property = stays_within_the_limit as fn(Vec<(usize, Step)>) -> bool;
    seed::check(HISTORIES, STEPS, property);
}

#[test]
fn short_bodies_find_room_while_long_ones_are_refused() {
    let memory = Memory::new(LIMIT);
    let mut long = Vec::new();
    loop {
        let mut buffer = memory.buffer(MAX_BODY);
        if buffer.push(&vec![0; MAX_BODY]) == Err(Refused::NoRoom) {
            break;
        }
        long.push(buffer);
    }
    let mut short = memory.buffer(MAX_BODY);
    assert_eq!(short.push(&vec![0; SHORT_BODY_BYTES]), Ok(()));
}

#[test]
fn a_body_that_waits_goes_on_once_another_is_dropped() {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(async {
        let memory = Memory::new(100);
        let mut first = memory.buffer(100);
        first.push(&[0; 80]).expect("there is room");
        let first = first.freeze();
        let clone = first.clone();
        let mut second = memory.buffer(100);
        let mut waiting = std::pin::pin!(second.push_when_free(&[0; 60]));
        let pending = futures_util::poll!(waiting.as_mut());
        assert!(pending.is_pending());
        drop(first);
        assert!(futures_util::poll!(waiting.as_mut()).is_pending());
        drop(clone);
        assert_eq!(waiting.await, Ok(()));
    });
}

/// It would wait, or be told to come back, for room that never comes.
#[test]
fn a_body_that_the_empty_memory_cannot_hold_is_too_large() {
    let memory = Memory::new(SHORT_BODY_BYTES);
    let mut buffer = memory.buffer(MAX_BODY);
    let body = vec![0; SHORT_BODY_BYTES + 1];
    assert_eq!(buffer.push(&body), Err(Refused::TooLarge));
    assert!(!memory.could_hold(body.len()));
}

//! Random runs of the log in virtual time, with lost, duplicated and reordered messages,
//! restarts, pauses, partitions and lost disks. After each run the members must agree on
//! the committed entries.

use flamingo_test_support::group::{Group, Network};
use flamingo_test_support::seed;
use quickcheck::{Arbitrary, Gen};
use std::time::Duration;

/// A step of a run: a proposal, the passing of time, or a fault.
#[derive(Clone, Copy, Debug)]
enum Op {
    Propose(u8),
    Pass(u8),
    Crash(u8),
    Start(u8),
    Wipe(u8),
    Cut(u8, u8),
    Isolate(u8),
    Heal,
    Freeze(u8),
    Thaw(u8),
    Network(u8),
    Compact(u8),
    Resign(u8),
    Fill(u8),
    /// A disk has no room for a while.
    Starve(u8),
    Relieve(u8),
}

impl Arbitrary for Op {
    fn arbitrary(source: &mut Gen) -> Self {
        let n = u8::arbitrary(source);
        match u8::arbitrary(source) % 35 {
            0..=7 => Self::Propose(n),
            8..=15 => Self::Pass(n),
            16 | 17 => Self::Crash(n),
            18 | 19 => Self::Start(n),
            20 | 21 => Self::Wipe(n),
            22 => Self::Cut(n, u8::arbitrary(source)),
            23 => Self::Isolate(n),
            24 => Self::Heal,
            25 => Self::Freeze(n),
            26 => Self::Thaw(n),
            27 => Self::Network(n),
            28 | 29 => Self::Compact(n),
            30 => Self::Resign(n),
            31 => Self::Fill(n),
            32 => Self::Starve(n),
            _ => Self::Relieve(n),
        }
    }
}

fn run(count: usize, ops: &[Op], random: u64) {
    let mut group = Group::new(count, random);
    group.until(Duration::from_secs(10), |group| group.leader().is_some());
    let mut proposed = 0u32;
    for op in ops {
        let at = |n: u8| usize::from(n) % count;
        match *op {
            Op::Propose(n) => {
                proposed += 1;
                let to = group.leader().unwrap_or(at(n));
                group.propose(to, &proposed.to_le_bytes());
                // A deposed leader that does not know of its successor may accept proposals
                // too.
                group.propose(at(n), &(proposed + 1_000_000).to_le_bytes());
            }
            Op::Pass(n) => group.advance(Duration::from_millis(u64::from(n) * 10)),
            Op::Crash(n) => group.crash(at(n)),
            Op::Start(n) => group.start(at(n)),
            Op::Wipe(n) => {
                group.wipe(at(n));
                group.start(at(n));
            }
            Op::Cut(a, b) if at(a) != at(b) => group.cut(at(a), at(b)),
            Op::Cut(..) | Op::Heal => group.heal(),
            Op::Isolate(n) => group.isolate(at(n)),
            Op::Freeze(n) => group.nodes[at(n)].frozen = true,
            Op::Thaw(n) => group.nodes[at(n)].frozen = false,
            Op::Network(n) => {
                group.network = Network {
                    loss_percent: u64::from(n % 4) * 10,
                    duplicate_percent: u64::from(n % 3) * 10,
                    max_delay_ms: u64::from(n % 5) * 60,
                }
            }
            Op::Compact(n) => group.compact(at(n)),
            Op::Resign(n) => group.with_raft(at(n), flamingo_log::Raft::transfer_leadership),
            Op::Fill(n) => group.nodes[at(n)].full = true,
            Op::Starve(n) => group.nodes[at(n)].no_room = true,
            Op::Relieve(n) => group.nodes[at(n)].no_room = false,
        }
    }
    group.recover();
}

#[test]
fn three_members_agree_whatever_happens() {
    let property = |ops: Vec<Op>, random: u64| run(3, &ops, random);
    seed::check(400, 120, property as fn(Vec<Op>, u64));
}

#[test]
fn five_members_agree_whatever_happens() {
    let property = |ops: Vec<Op>, random: u64| run(5, &ops, random);
    seed::check(150, 120, property as fn(Vec<Op>, u64));
}

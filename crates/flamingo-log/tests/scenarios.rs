//! Scenarios of the log in virtual time, read from `tests/scenarios/*`.

use flamingo_log::Raft;
use flamingo_test_support::group::{Group, Node, name};
use std::fmt::Write;
use std::time::Duration;

/// Time within which each step must take effect.
const LIMIT: Duration = Duration::from_secs(20);

struct Scenario {
    group: Group,
    /// The member that led when a step last named the leader.
    old: usize,
}

impl Scenario {
    fn new(count: usize) -> Self {
        let mut group = Group::new(count, 7);
        assert!(group.until(LIMIT, |group| group.leader().is_some()));
        let old = group.leader().unwrap();
        Self { group, old }
    }

    /// Resolves `leader`, `old` (the leader when a step last named it), `other` and `third`
    /// (the members after `old`), or a number.
    fn who(&mut self, name: &str) -> usize {
        let count = self.group.nodes.len();
        match name {
            "leader" => {
                self.old = self.group.leader().expect("a leader");
                self.old
            }
            "old" => self.old,
            "other" => (self.old + 1) % count,
            "third" => (self.old + 2) % count,
            number => number.parse().expect("a member"),
        }
    }

    fn step(&mut self, line: &str) -> String {
        let (step, rest) = line.split_once(' ').unwrap_or((line, ""));
        match step {
            "propose" => self.propose(rest),
            "propose-to" => {
                let (who, text) = rest.split_once(' ').expect("a member and a text");
                let n = self.who(who);
                let slot = self.group.propose(n, text.as_bytes());
                slot.map_or("refused".to_owned(), |_| "taken".to_owned())
            }
            "pass" => {
                let millis = rest.parse().expect("milliseconds");
                self.group.advance(Duration::from_millis(millis));
                "ok".to_owned()
            }
            "leads" => yes_or_no(self.raft(rest, Raft::is_leader)),
            "reads" => yes_or_no(self.raft(rest, Raft::has_read_lease)),
            "new-leader" => {
                let old = self.old;
                let found = self.group.until(LIMIT, |group| {
                    group.leader().is_some_and(|leader| leader != old)
                });
                yes_or_no(found)
            }
            "a-leader" => yes_or_no(self.group.until(LIMIT, |group| group.leader().is_some())),
            "all-vote" => {
                let count = self.group.nodes.len();
                let all = |group: &Group| {
                    let listed = group.voters();
                    listed.len() == count && listed.iter().all(|member| present(group, member))
                };
                yes_or_no(self.group.until(LIMIT, all))
            }
            "holds" => self.holds(rest),
            "recover" => {
                self.group.recover();
                "ok".to_owned()
            }
            _ => self.fault(step, rest),
        }
    }

    fn fault(&mut self, step: &str, rest: &str) -> String {
        if step == "heal" {
            self.group.heal();
            return "ok".to_owned();
        }
        let n = self.who(rest);
        match step {
            "isolate" => self.group.isolate(n),
            "crash" => self.group.crash(n),
            "start" => self.group.start(n),
            "freeze" => self.group.nodes[n].frozen = true,
            "thaw" => self.group.nodes[n].frozen = false,
            "fill" => self.group.nodes[n].full = true,
            "starve" => self.group.nodes[n].no_room = true,
            "relieve" => self.group.nodes[n].no_room = false,
            "compact" => self.group.compact(n),
            "wipe" => return yes_or_no(self.group.wipe(n)),
            _ => panic!("no step '{step}'"),
        }
        "ok".to_owned()
    }

    fn propose(&mut self, text: &str) -> String {
        let Some(leader) = self.group.leader() else {
            return "no leader".to_owned();
        };
        if self.group.propose(leader, text.as_bytes()).is_none() {
            return "refused".to_owned();
        }
        let seen = |group: &Group| group.nodes.iter().any(|node| holds(node, text));
        if self.group.until(Duration::from_secs(5), seen) {
            return "committed".to_owned();
        }
        "not committed".to_owned()
    }

    fn holds(&mut self, rest: &str) -> String {
        let n = self.who(rest);
        let texts = self.group.nodes[n].applied.iter();
        let texts: Vec<_> = texts.map(|held| text(&held.bytes)).collect();
        texts.join(" ")
    }

    fn raft<T>(&mut self, who: &str, query: impl Fn(&Raft, std::time::Instant) -> T) -> T {
        let n = self.who(who);
        let now = self.group.now;
        query(self.group.nodes[n].raft.as_ref().expect("it runs"), now)
    }
}

fn present(group: &Group, member: &flamingo_log::Member) -> bool {
    let mut numbers = 0..group.nodes.len();
    let n = numbers.find(|n| name(*n) == member.node).unwrap();
    let raft = group.nodes[n].raft.as_ref();
    raft.is_some_and(|raft| raft.storage() == member.storage)
}

fn holds(node: &Node, wanted: &str) -> bool {
    node.applied.iter().any(|held| text(&held.bytes) == wanted)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn yes_or_no(answer: bool) -> String {
    if answer { "yes" } else { "no" }.to_owned()
}

#[test]
fn every_scenario_goes_as_written() {
    datadriven::walk("tests/scenarios", |file| {
        let mut scenario = Scenario::new(3);
        file.run(|case| {
            if case.directive == "members" {
                scenario = Scenario::new(case.input.trim().parse().expect("a number"));
                return String::new();
            }
            let mut out = String::new();
            for line in case.input.lines() {
                writeln!(out, "{line}: {}", scenario.step(line)).unwrap();
            }
            out
        });
    });
}

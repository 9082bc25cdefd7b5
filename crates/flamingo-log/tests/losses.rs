//! Random histories of losses that the group tolerates: members that are replaced, lose their disk, are
//! killed, cut off or paused. In the end the tolerated number of disks is lost while all others are killed.

use flamingo_log::Raft;
use flamingo_test_support::group::{Group, name};
use flamingo_test_support::seed;
use std::time::{Duration, Instant};

/// Members of the group.
const MEMBERS: usize = 5;
/// Members that may be lost at a time.
const TOLERATED: usize = 2;
/// Members that the settings of each member name.
const SEEDS: usize = 3;
/// Time after its return for which a lost member still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Time in which the group must have a leader once all members are back.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time from the loss of a member to the start of its successor.
const REPLACEMENT: Duration = Duration::from_secs(1);
/// Losses of one history.
const LOSSES: usize = 12;
/// Histories that are played.
const HISTORIES: u64 = 60;

/// How a member is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It never comes back; another one takes its place.
    Gone,
    /// It comes back with an empty disk.
    Wiped,
    /// Its process is killed and comes back.
    Killed,
    /// The network does not reach it for a time.
    Cut,
    /// It does not run for a time.
    Paused,
    /// All members are killed at once and come back.
    AllKilled,
}

const KINDS: [Loss; 8] = [
    Loss::Gone,
    Loss::Gone,
    Loss::Wiped,
    Loss::Killed,
    Loss::Killed,
    Loss::Cut,
    Loss::Paused,
    Loss::AllKilled,
];

/// A member that is lost, when it comes back, and how.
struct Lost {
    member: usize,
    loss: Loss,
    back_at: Instant,
    back: bool,
}

struct History {
    group: Group,
    lost: Vec<Lost>,
    /// Members that were not lost for good.
    members: Vec<usize>,
    started_at: Instant,
    /// What happened, for the message of a failure.
    events: Vec<String>,
}

impl History {
    fn new(random: u64) -> Self {
        let mut group = Group::open(MEMBERS, SEEDS, 2 * TOLERATED + 1, random);
        let all = |group: &Group| group.voters().len() == MEMBERS;
        assert!(group.until(Duration::from_secs(30), all));
        group.advance(CATCH_UP);
        Self {
            group,
            lost: Vec::new(),
            members: (0..MEMBERS).collect(),
            started_at: Instant::now(),
            events: Vec::new(),
        }
    }

    fn note(&mut self, event: &str) {
        let at = self.group.now.duration_since(self.started_at);
        let voters = self.group.voters();
        let voters: Vec<_> = voters.iter().map(|voter| voter.node.as_str()).collect();
        let leader = self.group.leader();
        self.events.push(format!(
            "{:.2} {event}; voters {voters:?}, leader {leader:?}",
            at.as_secs_f64()
        ));
    }

    fn draw(&mut self, count: usize) -> usize {
        usize::try_from(self.group.random()).expect("64 bits") % count
    }

    /// Advances the time and brings back those whose time has come.
    fn pass(&mut self, time: Duration) {
        let until = self.group.now + time;
        while self.group.now < until {
            self.group.advance(Duration::from_millis(50));
            self.bring_back();
        }
    }

    fn bring_back(&mut self) {
        let now = self.group.now;
        for n in 0..self.lost.len() {
            let Lost { member, loss, .. } = self.lost[n];
            if self.lost[n].back || now < self.lost[n].back_at {
                continue;
            }
            self.lost[n].back = true;
            self.note(&format!("{member} back from {loss:?}"));
            match loss {
                Loss::Gone => self.replace(),
                Loss::Wiped => {
                    let seeds = self.seeds();
                    self.group.set_seeds(&seeds);
                    self.group.restart_empty(member);
                }
                Loss::Killed | Loss::AllKilled => self.group.start(member),
                Loss::Paused => self.group.nodes[member].frozen = false,
                Loss::Cut => self.heal(member),
            }
        }
        self.lost
            .retain(|lost| !lost.back || now < lost.back_at + CATCH_UP);
    }

    /// Ends the partition of `member`, and keeps those of others.
    fn heal(&mut self, member: usize) {
        self.group.heal();
        let cut = self.lost.iter();
        let cut = cut.filter(|lost| matches!(lost.loss, Loss::Cut) && !lost.back);
        let cut: Vec<_> = cut.map(|lost| lost.member).collect();
        for other in cut.into_iter().filter(|other| *other != member) {
            self.group.isolate(other);
        }
    }

    fn replace(&mut self) {
        let seeds = self.seeds();
        let new = self.group.join(&seeds);
        self.members.push(new);
        self.heal(new);
    }

    /// Returns the seeds that an operator's list names: running members, drawn.
    fn seeds(&mut self) -> Vec<usize> {
        let mut seeds = self.members.clone();
        seeds.retain(|n| self.group.nodes[*n].raft.is_some());
        while seeds.len() > SEEDS {
            let drawn = self.draw(seeds.len());
            seeds.remove(drawn);
        }
        seeds
    }

    /// Returns a member that is not lost, which is the leader in a third of the cases.
    fn victim(&mut self) -> usize {
        let mut sound = self.members.clone();
        sound.retain(|n| self.lost.iter().all(|lost| lost.member != *n));
        let leader = self.group.leader().filter(|leader| sound.contains(leader));
        match (self.draw(3), leader) {
            (0, Some(leader)) => leader,
            _ => sound[self.draw(sound.len())],
        }
    }

    /// Loses a member, unless as many as tolerated are lost. Processes may be killed at any time.
    fn lose(&mut self) {
        let loss = KINDS[self.draw(KINDS.len())];
        if matches!(loss, Loss::AllKilled) {
            return self.kill_all();
        }
        if self.lost.len() >= TOLERATED {
            return;
        }
        let member = self.victim();
        let millis = 300 + u64::try_from(self.draw(4_000)).expect("few milliseconds");
        let mut away = Duration::from_millis(millis);
        match loss {
            Loss::Gone => {
                self.group.crash(member);
                self.members.retain(|n| *n != member);
                away = REPLACEMENT;
            }
            Loss::Cut => self.group.isolate(member),
            Loss::Paused => self.group.nodes[member].frozen = true,
            _ => self.group.crash(member),
        }
        let back_at = self.group.now + away;
        self.note(&format!("{member} {loss:?}"));
        self.lost.push(Lost {
            member,
            loss,
            back_at,
            back: false,
        });
    }

    fn kill_all(&mut self) {
        self.note("all killed");
        let running = self.members.clone().into_iter();
        let running: Vec<_> = running
            .filter(|n| self.group.nodes[*n].raft.is_some() && !self.group.nodes[*n].frozen)
            .collect();
        for n in &running {
            self.group.crash(*n);
        }
        self.group.advance(Duration::from_millis(500));
        for n in running {
            self.group.start(n);
        }
    }

    /// Waits until nobody counts as lost, loses as many disks as tolerated while all others are killed, and
    /// returns whether there is a leader in time and what was committed is kept.
    fn survives_the_end(&mut self) -> bool {
        while !self.lost.is_empty() {
            self.pass(Duration::from_millis(50));
        }
        let committed = self.group.last_committed();
        self.note("the end");
        let mut wiped = self.members.clone();
        while wiped.len() > TOLERATED {
            let drawn = self.draw(wiped.len());
            wiped.remove(drawn);
        }
        let seeds = self.seeds();
        self.group.set_seeds(&seeds);
        for n in self.members.clone() {
            self.group.crash(n);
        }
        self.group.advance(REPLACEMENT);
        for n in self.members.clone() {
            if wiped.contains(&n) {
                self.group.restart_empty(n);
            } else {
                self.group.start(n);
            }
        }
        let current = |group: &Group| {
            let leader = group.leader().and_then(|n| group.nodes[n].raft.as_ref());
            leader.is_some_and(|raft| raft.has_read_lease(group.now))
        };
        self.group.until(RECOVERY, current) && self.group.last_committed() >= committed
    }

    /// Describes who is listed and who runs.
    fn state(&self) -> String {
        let voters = self.group.voters();
        let voters: Vec<_> = voters.iter().map(|voter| voter.node.clone()).collect();
        let running: Vec<_> = self.members.iter().map(|n| name(*n)).collect();
        let terms = self
            .group
            .nodes
            .iter()
            .filter_map(|node| node.raft.as_ref());
        let terms: Vec<_> = terms.map(Raft::term).collect();
        format!(
            "voters {voters:?}, members {running:?}, terms {terms:?}: {:#?}",
            self.events
        )
    }
}

fn play(random: u64) -> Option<String> {
    let mut history = History::new(random);
    for _ in 0..LOSSES {
        history.lose();
        let millis = 200 + u64::try_from(history.draw(3_500)).expect("few milliseconds");
        history.pass(Duration::from_millis(millis));
        if let Some(leader) = history.group.leader() {
            history.group.propose(leader, &millis.to_le_bytes());
        }
    }
    if history.survives_the_end() {
        return None;
    }
    Some(format!("history {random}: {}", history.state()))
}

#[test]
fn tolerated_losses_one_after_the_other_leave_a_leader() {
    let first = seed::seed().wrapping_mul(HISTORIES);
    let failed = (first..first + HISTORIES).filter_map(play);
    let failed: Vec<_> = failed.collect();
    assert!(failed.is_empty(), "no leader: {failed:#?}");
}

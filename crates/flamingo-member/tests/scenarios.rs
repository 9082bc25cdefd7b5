//! Membership scenarios, written in `tests/scenarios/`.
//!
//! `zone` creates a simulation with entries in one or more zones. `do` carries out
//! one step per line and prints what the entries then know; entries with the same
//! view share a line.

mod sim;

use datadriven::{TestCase, walk};
use flamingo_member::table::Presence;
use flamingo_wire::announce::{Announcement, Availability};
use flamingo_wire::gossip::Liveness;
use sim::{Node, Sim, name};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// A simulation with earlier announcements of its targets, kept to replay them.
struct Scenario {
    sim: Sim,
    kept: Vec<Announcement>,
}

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut scenario = None;
        file.run(|case| match case.directive.as_str() {
            "zone" => {
                scenario = Some(build(case));
                String::new()
            }
            "do" => {
                let scenario = scenario.as_mut().expect("a zone comes first");
                for line in case.input.lines() {
                    step(scenario, line);
                }
                show(&scenario.sim)
            }
            other => panic!("no directive '{other}'"),
        });
    });
}

fn number(case: &TestCase, key: &str, default: usize) -> usize {
    let values = case.args.get(key);
    let value = values.and_then(|values| values.first());
    value.map_or(default, |value| value.parse().expect("a number"))
}

fn build(case: &TestCase) -> Scenario {
    let zones = vec![number(case, "entries", 3); number(case, "zones", 1)];
    let mut sim = Sim::new(20_261_203, &zones);
    for _ in 0..number(case, "targets", 0) {
        sim.target(0);
    }
    let kept = Vec::new();
    Scenario { sim, kept }
}

fn step(scenario: &mut Scenario, line: &str) {
    let words: Vec<_> = line.split_whitespace().collect();
    let numbers = words.iter().skip(1).filter_map(|word| word.parse().ok());
    let numbers: Vec<usize> = numbers.collect();
    let first = numbers.first().copied().unwrap_or_default();
    let sim = &mut scenario.sim;
    match words[0] {
        "run" => sim.run(Duration::from_secs(first as u64)),
        "kill" => sim.kill(first),
        "restart" => sim.restart(first),
        "freeze" => sim.freeze(first),
        "wake" => sim.wake(first),
        "cut" => numbers.iter().for_each(|n| sim.partition[*n] = 1),
        "heal" => sim.partition.fill(0),
        "lose" => sim.loss = first as u64,
        "config" => sim.config(first, numbers[1] as u64),
        "leave" => announce_availability(sim, first, Availability::Leaving),
        "return" => announce_availability(sim, first, Availability::Serving),
        "silence" => sim.targets[first].up = false,
        "keep" => scenario.kept.push(sim.targets[first].announcement.clone()),
        "replay" => replay(scenario, first),
        "stop" => sim.leave(first),
        "reborn" => {
            let target = &mut sim.targets[first];
            target.announcement.incarnation += 1;
            target.announcement.sequence = 0;
            target.announcement.availability = Availability::Serving;
            target.up = true;
            sim.announce(first);
        }
        other => panic!("no step '{other}'"),
    }
}

fn announce_availability(sim: &mut Sim, target: usize, availability: Availability) {
    sim.targets[target].announcement.availability = availability;
    sim.announce(target);
}

/// Delivers the kept announcements to an entry again, as late duplicates.
fn replay(scenario: &mut Scenario, entry: usize) {
    for announcement in scenario.kept.clone() {
        scenario.sim.deliver_announcement(entry, announcement);
    }
}

/// Describes the views of the live entries.
fn show(sim: &Sim) -> String {
    let mut views: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (n, node) in sim.nodes.iter().enumerate() {
        if node.up && !node.frozen {
            views.entry(view(node)).or_default().push(name(n));
        }
    }
    let mut lines: Vec<_> = views
        .into_iter()
        .map(|(view, nodes)| format!("{}: {view}\n", nodes.join(" ")))
        .collect();
    lines.sort();
    lines.concat()
}

fn view(node: &Node) -> String {
    let machine = &node.machine;
    let entries: Vec<_> = machine
        .entries()
        .into_iter()
        .map(|peer| peer.node)
        .collect();
    let mut text = format!("live {}", entries.join(","));
    let live = machine.members().live();
    let suspects: Vec<_> = live
        .filter(|record| record.liveness == Liveness::Suspect)
        .map(|record| record.peer.node.as_str())
        .collect();
    if !suspects.is_empty() {
        let _ = write!(text, "; suspect {}", suspects.join(","));
    }
    let dead: Vec<_> = machine
        .members()
        .dead()
        .map(|record| record.peer.node.as_str())
        .collect();
    if !dead.is_empty() {
        let _ = write!(text, "; dead {}", dead.join(","));
    }
    for record in machine.table().present() {
        let silent = if record.presence == Presence::Suspect {
            " silent"
        } else {
            ""
        };
        let announcement = &record.announcement;
        let _ = write!(
            text,
            "; {} {}{silent}",
            announcement.target, announcement.availability
        );
    }
    for summary in machine.zones().summaries() {
        let _ = write!(text, "; {} has {} entries", summary.zone, summary.entries);
    }
    format!("{text}; version {}", machine.version())
}

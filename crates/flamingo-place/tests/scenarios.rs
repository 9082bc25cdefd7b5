//! Scenarios of placement: each file in `scenarios` has directives and the output that they must
//! print.

#[path = "world/engine.rs"]
mod engine;

use datadriven::TestCase;
use engine::SimulatedEngine;
use flamingo_place::account::ExchangeResult;
use flamingo_place::intents::Intents;
use flamingo_place::placer::{Dispatch, Output, Placer};
use flamingo_place::weights::Weights;
use flamingo_wire::config::{Model, Set, Snapshot};
use flamingo_wire::control::{Demand, Report};
use flamingo_wire::place::{Action, Order, Outcome};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Fault {
    /// Orders to the engine are lost.
    loses_orders: bool,
    /// Loads fail.
    fails_loads: bool,
    /// The engine sends no reports.
    sends_no_reports: bool,
}

/// An engine with its zone and faults.
struct Node {
    engine: SimulatedEngine,
    zone: String,
    fault: Fault,
    /// Second in which each load ends, by order.
    load_ends: BTreeMap<u64, u64>,
}

struct Scenario {
    start: Instant,
    /// Seconds since the start.
    at: u64,
    /// Duration of a load in seconds.
    load_s: u64,
    nodes: Vec<Node>,
    set: Set,
    version: u64,
    drained: Vec<String>,
    demand: BTreeMap<String, u64>,
    intents: Intents,
    fence: u64,
    placer: Placer,
    /// Orders that a frozen leader will send when it resumes.
    held_back: Vec<Dispatch>,
    frozen: bool,
}

impl Scenario {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            at: 0,
            load_s: 5,
            nodes: Vec::new(),
            set: Set::default(),
            version: 0,
            drained: Vec::new(),
            demand: BTreeMap::new(),
            intents: Intents::default(),
            fence: 0,
            placer: Placer::new(start),
            held_back: Vec::new(),
            frozen: false,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.at)
    }

    fn configure(&mut self) {
        self.version += 1;
        self.placer.configure(Snapshot {
            version: self.version,
            set: self.set.clone(),
            drained: self.drained.clone(),
        });
    }

    fn node(&mut self, name: &str) -> &mut Node {
        let mut nodes = self.nodes.iter_mut();
        nodes
            .find(|node| node.engine.name == name)
            .expect("a known engine")
    }

    /// Advances by one second and appends what happens to `out`.
    fn run_second(&mut self, out: &mut String) {
        self.at += 1;
        let now = self.now();
        for node in &mut self.nodes {
            let at = self.at;
            let outcome = if node.fault.fails_loads {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            while let Some(order) = node.engine.loading.first() {
                if node
                    .load_ends
                    .get(&order.id)
                    .is_some_and(|ready| *ready > at)
                {
                    break;
                }
                node.engine.finish(outcome);
            }
            if !node.fault.sends_no_reports {
                let announcement = node.engine.announce(&node.zone);
                self.placer.announce(&announcement, now);
            }
        }
        let demand = self.demand.iter().map(|(model, tokens)| Demand {
            model: model.clone(),
            requests: 1,
            met: 1,
            refused: 0,
            tokens: *tokens,
        });
        let report = Report {
            demand: demand.collect(),
            ..Report::default()
        };
        self.placer.report(&report, now);
        for output in self.placer.tick(&self.intents, now) {
            self.act(output, out);
        }
        // Committed orders are sent within the same second.
        for output in self.placer.tick(&self.intents, now) {
            self.act(output, out);
        }
        for node in &self.nodes {
            let engine = &node.engine;
            assert!(engine.committed() <= engine.size, "{engine:?}");
        }
    }

    fn act(&mut self, output: Output, out: &mut String) {
        match output {
            Output::Propose(order) => {
                let _ = writeln!(out, "{}s {}", self.at, describe(&order));
                self.intents.intend(order);
            }
            Output::Settle(settlement) => {
                if settlement.end.outcome == Outcome::Failed {
                    let order = &self.intents.outstanding[&settlement.end.order];
                    let weights = Weights::of_order(order);
                    let _ = writeln!(out, "{}s failed: {weights} on {}", self.at, order.target);
                }
                self.intents.settle(&settlement);
            }
            Output::Send(dispatch) if self.frozen => self.held_back.push(dispatch),
            Output::Send(dispatch) => self.deliver(&dispatch),
            Output::Alarm(missing) => {
                let _ = writeln!(
                    out,
                    "{}s alarm: {}: {}",
                    self.at, missing.model, missing.reason
                );
            }
            Output::Clear(model) => {
                let _ = writeln!(out, "{}s alarm over: {model}", self.at);
            }
        }
    }

    fn deliver(&mut self, dispatch: &Dispatch) {
        let (ready, id) = (self.at + self.load_s, dispatch.order.id);
        let node = self.node(&dispatch.order.target);
        if node.fault.loses_orders {
            return self.placer.record_exchange(id, ExchangeResult::Lost);
        }
        node.load_ends.entry(id).or_insert(ready);
        let exchange = if node.engine.receive(&dispatch.order) {
            ExchangeResult::Answered
        } else {
            ExchangeResult::Refused
        };
        self.placer.record_exchange(id, exchange);
    }

    fn model(&mut self, line: &str) {
        let mut words = line.split_whitespace();
        let name = words.next().expect("a name").to_owned();
        let mut model = Model {
            anonymous: false,
            name,
            version: 1,
            weights: words
                .next()
                .and_then(|size| size.parse().ok())
                .expect("a size"),
            cache: 0,
            copies: 1,
            importance: 1,
            adapters: Vec::new(),
        };
        for word in words {
            let (key, value) = word.split_once('=').expect("key=value");
            let value = value.parse().expect("a number");
            match key {
                "copies" => model.copies = value,
                "version" => model.version = value,
                "importance" => model.importance = value,
                _ => panic!("unknown key {key}"),
            }
        }
        self.set.models.push(model);
    }

    fn show(&self) -> String {
        let mut out = String::new();
        for node in &self.nodes {
            let copies: Vec<_> = node
                .engine
                .resident
                .keys()
                .map(ToString::to_string)
                .collect();
            let engine = &node.engine;
            let counted = self.placer.account().committed(&engine.name, self.now());
            let _ = writeln!(
                out,
                "{} ({}): {}; counted {counted} of {}",
                engine.name,
                node.zone,
                copies.join(", "),
                engine.size
            );
        }
        out
    }

    fn engines(&mut self, input: &str) {
        for line in input.lines() {
            let words: Vec<_> = line.split_whitespace().collect();
            let fenced = words.get(3) != Some(&"unfenced");
            self.nodes.push(Node {
                engine: SimulatedEngine::new(words[0], words[1].parse().unwrap(), fenced),
                zone: words[2].to_owned(),
                fault: Fault::default(),
                load_ends: BTreeMap::new(),
            });
        }
    }

    fn change(&mut self, input: &str, out: &mut String) {
        self.set.models.clear();
        for line in input.lines() {
            self.model(line);
        }
        match self.placer.objection(&self.set, self.now()) {
            Some(error) => {
                let _ = writeln!(out, "refused: {error}");
            }
            None => self.configure(),
        }
    }

    fn limit(&mut self, case: &TestCase) {
        if let Some(count) = argument(case, "at-once") {
            self.set.placement.loads_at_once = u32::try_from(count).unwrap();
        }
        if let Some(seconds) = argument(case, "load") {
            self.load_s = seconds;
        }
        self.configure();
    }

    /// Delivers the orders that the frozen leader held back.
    fn thaw(&mut self, out: &mut String) {
        self.frozen = false;
        for dispatch in std::mem::take(&mut self.held_back) {
            let node = self.node(&dispatch.order.target);
            let accepted = node.engine.receive(&dispatch.order);
            let result = if accepted { "taken" } else { "refused" };
            let _ = writeln!(out, "{result}: {}", describe(&dispatch.order));
            let engine = &node.engine;
            assert!(engine.committed() <= engine.size, "{engine:?}");
        }
    }

    fn explain(&self, model: &str, out: &mut String) {
        let explanation = self.placer.explain(model, self.now()).unwrap();
        let _ = writeln!(out, "wanted {}: {}", explanation.wanted, explanation.reason);
        for candidate in explanation.candidates {
            let _ = writeln!(out, "{}: {}", candidate.target, candidate.reason);
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let names: Vec<String> = case.input.split_whitespace().map(Into::into).collect();
        let mut out = String::new();
        match case.directive.as_str() {
            "engines" => self.engines(&case.input),
            "set" => self.change(&case.input, &mut out),
            "limits" => self.limit(case),
            "lead" => {
                self.fence += 1;
                let now = self.now();
                self.placer.lead(self.fence, &self.intents, now);
            }
            "follow" => self.placer.follow(),
            "freeze" => self.frozen = true,
            "thaw" => self.thaw(&mut out),
            "drain" => {
                self.drained = names;
                self.configure();
            }
            "fault" => {
                for name in names {
                    self.node(&name).fault = Fault {
                        loses_orders: case.args.contains_key("loses"),
                        fails_loads: case.args.contains_key("fails"),
                        sends_no_reports: case.args.contains_key("silent"),
                    };
                }
            }
            "restart" => names
                .iter()
                .for_each(|name| self.node(name).engine.restart()),
            "demand" => {
                for line in case.input.lines() {
                    let (model, tokens) = line.split_once(' ').unwrap();
                    self.demand
                        .insert(model.to_owned(), tokens.parse().unwrap());
                }
            }
            "run" => (0..argument(case, "s").unwrap()).for_each(|_| self.run_second(&mut out)),
            "show" => out = self.show(),
            "explain" => self.explain(&names[0], &mut out),
            other => panic!("unknown directive {other}"),
        }
        case.args.clear();
        if out.is_empty() {
            "ok\n".to_owned()
        } else {
            out
        }
    }
}

fn argument(case: &TestCase, key: &str) -> Option<u64> {
    let values = case.args.get(key)?;
    values.first()?.parse().ok()
}

fn describe(order: &Order) -> String {
    let verb = match order.action {
        Action::Load(_) => "load",
        Action::Unload(_) => "unload",
    };
    let weights = Weights::of_order(order);
    format!("{verb} {weights} on {}: {}", order.target, order.reason)
}

#[test]
fn scenarios_print_the_expected_output() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    datadriven::walk(dir, |file| {
        let mut scenario = Scenario::new();
        file.run(|case| scenario.run(case));
    });
}

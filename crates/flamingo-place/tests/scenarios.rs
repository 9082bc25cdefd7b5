//! Placement as stories: each file under `scenarios` holds directives and what
//! they print.

#[path = "world/fake.rs"]
mod fake;

use datadriven::TestCase;
use fake::Fake;
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

/// What an engine does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Fault {
    /// Orders to it are lost.
    loses: bool,
    /// Its loads fail.
    fails: bool,
    /// It reports nothing.
    silent: bool,
}

struct Site {
    engine: Fake,
    zone: String,
    fault: Fault,
    /// When each load ends, by order.
    ready: BTreeMap<u64, u64>,
}

struct Story {
    start: Instant,
    at: u64,
    load: u64,
    sites: Vec<Site>,
    set: Set,
    version: u64,
    drained: Vec<String>,
    demand: BTreeMap<String, u64>,
    book: Intents,
    fence: u64,
    placer: Placer,
    /// Letters of a frozen leader.
    kept: Vec<Dispatch>,
    frozen: bool,
}

impl Story {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            at: 0,
            load: 5,
            sites: Vec::new(),
            set: Set::default(),
            version: 0,
            drained: Vec::new(),
            demand: BTreeMap::new(),
            book: Intents::default(),
            fence: 0,
            placer: Placer::new(start),
            kept: Vec::new(),
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

    fn site(&mut self, name: &str) -> &mut Site {
        let mut sites = self.sites.iter_mut();
        sites
            .find(|site| site.engine.name == name)
            .expect("a known engine")
    }

    fn second(&mut self, out: &mut String) {
        self.at += 1;
        let now = self.now();
        for site in &mut self.sites {
            let at = self.at;
            let outcome = if site.fault.fails {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            while let Some(order) = site.engine.loading.first() {
                if site.ready.get(&order.id).is_some_and(|ready| *ready > at) {
                    break;
                }
                site.engine.finish(outcome);
            }
            if !site.fault.silent {
                let announcement = site.engine.announce(&site.zone);
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
        for output in self.placer.tick(&self.book, now) {
            self.act(output, out);
        }
        // What was committed is sent within the same second.
        for output in self.placer.tick(&self.book, now) {
            self.act(output, out);
        }
        for site in &self.sites {
            let engine = &site.engine;
            assert!(engine.committed() <= engine.size, "{engine:?}");
        }
    }

    fn act(&mut self, output: Output, out: &mut String) {
        match output {
            Output::Propose(order) => {
                let _ = writeln!(out, "{}s {}", self.at, told(&order));
                self.book.intend(order);
            }
            Output::Settle(settlement) => {
                if settlement.end.outcome == Outcome::Failed {
                    let order = &self.book.intents[&settlement.end.order];
                    let weights = Weights::ordered(order);
                    let _ = writeln!(out, "{}s failed: {weights} on {}", self.at, order.target);
                }
                self.book.settle(&settlement);
            }
            Output::Send(dispatch) if self.frozen => self.kept.push(dispatch),
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
        let (ready, id) = (self.at + self.load, dispatch.order.id);
        let site = self.site(&dispatch.order.target);
        if site.fault.loses {
            return self.placer.record_exchange(id, ExchangeResult::Lost);
        }
        site.ready.entry(id).or_insert(ready);
        let exchange = if site.engine.take(&dispatch.order) {
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
        for site in &self.sites {
            let copies: Vec<_> = site
                .engine
                .resident
                .keys()
                .map(ToString::to_string)
                .collect();
            let engine = &site.engine;
            let counted = self.placer.account().committed(&engine.name, self.now());
            let _ = writeln!(
                out,
                "{} ({}): {}; counted {counted} of {}",
                engine.name,
                site.zone,
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
            self.sites.push(Site {
                engine: Fake::new(words[0], words[1].parse().unwrap(), fenced),
                zone: words[2].to_owned(),
                fault: Fault::default(),
                ready: BTreeMap::new(),
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
        if let Some(count) = number(case, "at-once") {
            self.set.placement.loads_at_once = u32::try_from(count).unwrap();
        }
        if let Some(seconds) = number(case, "load") {
            self.load = seconds;
        }
        self.configure();
    }

    /// The frozen leader's sends arrive, after another one was elected.
    fn thaw(&mut self, out: &mut String) {
        self.frozen = false;
        for dispatch in std::mem::take(&mut self.kept) {
            let site = self.site(&dispatch.order.target);
            let taken = site.engine.take(&dispatch.order);
            let said = if taken { "taken" } else { "refused" };
            let _ = writeln!(out, "{said}: {}", told(&dispatch.order));
            let engine = &site.engine;
            assert!(engine.committed() <= engine.size, "{engine:?}");
        }
    }

    fn explain(&self, model: &str, out: &mut String) {
        let why = self.placer.explain(model, self.now()).unwrap();
        let _ = writeln!(out, "wanted {}: {}", why.wanted, why.reason);
        for candidate in why.candidates {
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
                self.placer.lead(self.fence, &self.book, now);
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
                    self.site(&name).fault = Fault {
                        loses: case.args.contains_key("loses"),
                        fails: case.args.contains_key("fails"),
                        silent: case.args.contains_key("silent"),
                    };
                }
            }
            "restart" => names
                .iter()
                .for_each(|name| self.site(name).engine.restart()),
            "demand" => {
                for line in case.input.lines() {
                    let (model, tokens) = line.split_once(' ').unwrap();
                    self.demand
                        .insert(model.to_owned(), tokens.parse().unwrap());
                }
            }
            "run" => (0..number(case, "s").unwrap()).for_each(|_| self.second(&mut out)),
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

fn number(case: &TestCase, key: &str) -> Option<u64> {
    let values = case.args.get(key)?;
    values.first()?.parse().ok()
}

fn told(order: &Order) -> String {
    let verb = match order.action {
        Action::Load(_) => "load",
        Action::Unload(_) => "unload",
    };
    let weights = Weights::ordered(order);
    format!("{verb} {weights} on {}: {}", order.target, order.reason)
}

#[test]
fn scenarios_print_what_they_say() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    datadriven::walk(dir, |file| {
        let mut story = Story::new();
        file.run(|case| story.run(case));
    });
}

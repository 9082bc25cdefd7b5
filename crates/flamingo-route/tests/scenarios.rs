//! Routing scenarios, written in `tests/scenarios` in a small language.
//!
//! `engine NAME [busy=N] [zone=Z] [leaving] [adapter=A]`, `replica NAME`,
//! `arrive ID model|adapter|service [profile] [rank=N]`, `begun ID`, `ended ID`,
//! `failed ID not-run|may-have-run [rest=MS]`, `gone ID`, `suspect NAME`,
//! `pass MS` (advances the time). The output of a directive is the router's actions.

use flamingo_route::action::{Action, AttemptId, Failure, Input};
use flamingo_route::{Limit, Pool, Request, Router};
use flamingo_wire::Verdict;
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load, Resident, Service};
use flamingo_wire::config::{Adapter, LatePolicy, Model, Profile, Set, Snapshot};
use flamingo_wire::event::Event;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

struct Scenario {
    now: Instant,
    router: Router,
    sequence: u64,
    attempts: HashMap<String, AttemptId>,
}

impl Scenario {
    fn new() -> Self {
        let limit = Limit {
            engine_slots: 1,
            max_queued: 2,
            ..Limit::default()
        };
        let mut scenario = Self {
            now: Instant::now(),
            router: Router::new("zone-a".into(), limit, 1),
            sequence: 0,
            attempts: HashMap::new(),
        };
        let snapshot = Snapshot {
            version: 1,
            set: set(),
            drained: Vec::new(),
        };
        scenario.step(Input::Update(Event::Config(Box::new(snapshot))));
        scenario
    }

    fn run_line(&mut self, line: &str) -> String {
        let words: Vec<_> = line.split_whitespace().collect();
        let [directive, name, rest @ ..] = words.as_slice() else {
            panic!("'{line}' lacks a name");
        };
        let value = |key: &str| rest.iter().find_map(|word| word.strip_prefix(key));
        match *directive {
            "engine" | "replica" => {
                let announcement = self.announcement(directive, name, rest);
                self.step(Input::Update(Event::Target(Box::new(announcement))))
            }
            "suspect" => self.step(Input::Update(Event::Suspect((*name).into()))),
            "arrive" => self.arrive(name, rest),
            "begun" => self.step(Input::Begun(self.attempts[*name])),
            "ended" => self.step(Input::Ended(self.attempts[*name])),
            "gone" => self.step(Input::CallerGone((*name).into())),
            "pass" => {
                self.now += Duration::from_millis(name.parse().unwrap());
                self.step(Input::Tick)
            }
            "failed" => {
                let rest_time = value("rest=").map(|ms| Duration::from_millis(ms.parse().unwrap()));
                self.step(Input::Failed(Failure {
                    attempt: self.attempts[*name],
                    verdict: rest[0].parse::<Verdict>().unwrap(),
                    target_at_fault: rest_time.is_none(),
                    retry_after: rest_time,
                    resumable: true,
                    message: "broken".into(),
                }))
            }
            other => panic!("no directive '{other}'"),
        }
    }

    fn arrive(&mut self, id: &str, rest: &[&str]) -> String {
        let pool = match rest[0] {
            "rota" => Pool::Service("rota".into()),
            model => Pool::Model(model.into()),
        };
        let idempotent = matches!(pool, Pool::Model(_));
        let rank = rest.iter().find_map(|word| word.strip_prefix("rank="));
        let profile = rest.get(1).filter(|word| !word.starts_with("rank="));
        self.step(Input::Arrive(Request {
            id: id.into(),
            pool,
            profile: profile.map(|profile| (*profile).into()),
            prefixes: flamingo_route::request::Prefixes::new(),
            fingerprint: 0,
            rank: rank.map(|rank| rank.parse().unwrap()),
            idempotent,
        }))
    }

    fn announcement(&mut self, kind: &str, name: &str, rest: &[&str]) -> Announcement {
        let value = |key: &str| rest.iter().find_map(|word| word.strip_prefix(key));
        self.sequence += 1;
        let adapters = value("adapter=").map(ToOwned::to_owned);
        let resident = Resident {
            model: "notes".into(),
            version: 1,
            adapters: adapters.into_iter().collect(),
        };
        let other = Resident {
            model: "steps".into(),
            version: 1,
            adapters: Vec::new(),
        };
        let kind = if kind == "engine" {
            Kind::Engine(Engine {
                memory: 80_000,
                fenced: true,
                resident: vec![resident, other],
                loading: Vec::new(),
                ended: Vec::new(),
            })
        } else {
            Kind::Service(Service {
                name: "rota".into(),
            })
        };
        Announcement {
            target: name.into(),
            incarnation: 1,
            sequence: self.sequence,
            zone: value("zone=").unwrap_or("zone-a").into(),
            address: ([127, 0, 0, 1], 8_000).into(),
            availability: if rest.contains(&"leaving") {
                Availability::Leaving
            } else {
                Availability::Serving
            },
            load: Load {
                running: value("busy=").map_or(0, |busy| busy.parse().unwrap()),
                ..Load::default()
            },
            kind,
        }
    }

    fn step(&mut self, input: Input) -> String {
        let mut out = String::new();
        for action in self.router.step(self.now, input) {
            match action {
                Action::Dispatch(dispatch) => {
                    let load = dispatch
                        .load
                        .map_or(String::new(), |(_, adapter)| format!(", loading {adapter}"));
                    let _ = writeln!(out, "{} -> {}{load}", dispatch.request, dispatch.target);
                    self.attempts.insert(dispatch.request, dispatch.attempt);
                }
                Action::Refuse { request, fault } => {
                    let after = fault.retry_after.unwrap_or(0);
                    let _ = writeln!(
                        out,
                        "{request} refused: {}, {}, come back in {after} s",
                        fault.reason, fault.verdict
                    );
                }
                Action::Cancel { request, .. } => {
                    let _ = writeln!(out, "{request} cancelled");
                }
                Action::Probe { .. } | Action::Quarantine(_) => {}
                Action::Log(decision) => {
                    if !matches!(decision.choice.to_string().as_str(), "dispatch" | "refuse") {
                        let _ = writeln!(out, "{}: {}", decision.request, decision.choice);
                    }
                }
            }
        }
        out
    }
}

fn set() -> Set {
    let profile = |name: &str, rank, late_policy| Profile {
        name: name.into(),
        rank,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_millis(54),
        max_wait: Duration::from_secs(5),
        late_policy,
    };
    let model = |name: &str, adapters: &[&str]| Model {
        anonymous: false,
        name: name.into(),
        version: 1,
        weights: 1_000,
        cache: 100,
        copies: 1,
        importance: 1,
        adapters: adapters
            .iter()
            .map(|adapter| Adapter {
                name: (*adapter).into(),
                memory: 10,
            })
            .collect(),
    };
    Set {
        profiles: vec![
            profile("urgent", 0, LatePolicy::Refuse),
            profile("routine", 5, LatePolicy::Serve),
        ],
        models: vec![model("notes", &["koala"]), model("steps", &[])],
        ..Set::default()
    }
}

#[test]
fn the_scenarios_play_as_written() {
    datadriven::walk("tests/scenarios", |file| {
        let mut scenario = Scenario::new();
        file.run(|case| {
            assert_eq!(case.directive, "play");
            let lines = case.input.lines();
            let out: String = lines.map(|line| scenario.run_line(line)).collect();
            if out.is_empty() {
                "nothing\n".into()
            } else {
                out
            }
        });
    });
}

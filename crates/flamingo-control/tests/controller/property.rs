//! Random orders, reports, restarts and changes of leader: no engine is ever overfull.

use super::config;
use super::engine::Engine;
use flamingo_control::controller::engine::EngineState;
use flamingo_control::controller::engine_api::{Operation, Order, Outcome, Report};
use flamingo_test_support::seed;
use flamingo_wire::{id, route};
use quickcheck::{Arbitrary, Gen};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const MODELS: [(&str, f64); 4] = [("a", 70.0), ("b", 70.0), ("c", 70.0), ("d", 70.0)];
const ADAPTERS: [&str; 3] = ["x", "y", "z"];
const SLOTS: u32 = 2;
/// Virtual time between two steps.
const STEP: Duration = Duration::from_millis(200);

/// What becomes of an order.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    AnswerLost,
    Lost,
    /// Carried out after this number of steps, without an answer.
    Late(usize),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Order {
        operation: Operation,
        model: usize,
        adapter: Option<usize>,
        fate: Fate,
    },
    /// The leader gets the report of this number of steps ago, or the newest one before that.
    Report(usize),
    /// The engine ends what it executes.
    Finish,
    /// The engine restarts empty under its name, and registers at once.
    Restart,
    NewLeader,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let pick = |source: &mut Gen, count: usize| usize::arbitrary(source) % count;
        match pick(source, 16) {
            0..=8 => Self::Order {
                operation: if pick(source, 4) == 0 {
                    Operation::Unload
                } else {
                    Operation::Load
                },
                model: pick(source, MODELS.len()),
                adapter: (pick(source, 3) == 0).then(|| pick(source, ADAPTERS.len())),
                fate: match pick(source, 8) {
                    0..=3 => Fate::Answered,
                    4 => Fate::AnswerLost,
                    5 => Fate::Lost,
                    _ => Fate::Late(1 + pick(source, 40)),
                },
            },
            9..=11 => Self::Report(pick(source, 3)),
            12 | 13 => Self::Finish,
            14 => Self::Restart,
            _ => Self::NewLeader,
        }
    }
}

/// An engine that checks fencing numbers, and the leader that orders it.
struct Simulation {
    config: route::Engine,
    engine: Engine,
    highest_fence: id::Fence,
    leader: EngineState,
    fence: id::Fence,
    late: Vec<(usize, Order)>,
    /// Reports of the engine's incarnation, oldest first.
    reports: VecDeque<Report>,
    now: Instant,
    registrations: u64,
}

impl Simulation {
    fn new() -> Self {
        let engine = Engine::new(0, &["a"]);
        let now = Instant::now();
        let leader = EngineState::new(engine.registration("e", 0), now);
        Self {
            config: config(&MODELS, SLOTS),
            engine,
            highest_fence: 0,
            leader,
            fence: 1,
            late: Vec::new(),
            reports: VecDeque::new(),
            now,
            registrations: 0,
        }
    }

    fn step(&mut self, step: Step) {
        self.now += STEP;
        self.deliver_late();
        match step {
            Step::Order {
                operation,
                model,
                adapter,
                fate,
            } => {
                let adapter = adapter.map(|adapter| ADAPTERS[adapter]);
                self.order(operation, MODELS[model].0, adapter, fate);
            }
            Step::Report(age) => {
                let newest = self.reports.len().saturating_sub(1 + age);
                if let Some(report) = self.reports.get(newest) {
                    self.leader.apply_report(report, self.now);
                }
            }
            Step::Finish => self.engine.executing = 0,
            Step::Restart => {
                self.engine.restart(&[]);
                self.highest_fence = 0;
                self.reports.clear();
                let registration = self.registration();
                self.leader = EngineState::restarted(registration, &self.leader, self.now);
            }
            Step::NewLeader => {
                self.fence += 1;
                self.leader = EngineState::new(self.registration(), self.now);
            }
        }
        self.reports.push_back(self.engine.snapshot());
    }

    fn registration(&mut self) -> flamingo_wire::target::Registration {
        self.registrations += 1;
        self.engine.registration("e", self.registrations)
    }

    fn order(&mut self, operation: Operation, model: &str, adapter: Option<&str>, fate: Fate) {
        let admitted = self.leader.admit(operation, model, adapter, &self.config);
        let Ok(expected_sequence) = admitted else {
            return;
        };
        let order = Order {
            target: "e".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            operation,
            model: model.into(),
            adapter: adapter.map(str::to_owned),
            expected_sequence,
            issuer: "c".into(),
            fence: self.fence,
        };
        let outcome = match fate {
            Fate::Answered => self.execute(&order),
            Fate::AnswerLost => {
                self.execute(&order);
                Outcome::Uncertain
            }
            Fate::Lost => Outcome::Uncertain,
            Fate::Late(steps) => {
                self.late.push((steps, order.clone()));
                Outcome::Uncertain
            }
        };
        self.leader.apply_outcome(&order, outcome, self.now);
    }

    fn execute(&mut self, order: &Order) -> Outcome {
        if order.fence < self.highest_fence {
            return Outcome::Fenced;
        }
        self.highest_fence = order.fence;
        let outcome = self.engine.execute(order, &self.config);
        if outcome == Outcome::Started && order.adapter.is_none() {
            self.engine.executing = 1;
        }
        outcome
    }

    fn deliver_late(&mut self) {
        for (steps, _) in &mut self.late {
            *steps -= 1;
        }
        for (_, order) in self
            .late
            .extract_if(.., |(steps, _)| *steps == 0)
            .collect::<Vec<_>>()
        {
            self.execute(&order);
        }
    }
}

#[test]
fn no_sequence_of_faults_overfills_an_engine() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        !simulation.engine.overfull
    }
    seed::check(20_000, 120, holds as fn(Vec<Step>) -> bool);
}

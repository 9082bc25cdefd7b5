//! Test harness of the router: keeps its own record of requests, targets and attempts, and
//! checks each action of the router against it.

use flamingo_route::action::{Action, AttemptId, Choice, Dispatch, Failure, Input};
use flamingo_route::request::{Prefix, Prefixes};
use flamingo_route::{Limit, Pool, Request, Router};
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load, Resident, Service};
use flamingo_wire::config::{self, LatePolicy, Profile, Set, Snapshot};
use flamingo_wire::gossip::{Peer, Role};
use flamingo_wire::{Verdict, event};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const TARGETS: u8 = 5;
const MODELS: u8 = 3;
const MAX_QUEUED: usize = 4;
const ENGINE_SLOTS: u32 = 2;
const ADAPTER_LOADS: u32 = 3;
const RETRY_PERMILLE: u32 = 200;
const RETRY_BURST: u32 = 2;

/// One random step of a history.
#[derive(Clone, Debug)]
pub enum Event {
    Arrive {
        model: u8,
        rank: u8,
        adapter: bool,
        refuse: bool,
    },
    Call {
        idempotent: bool,
    },
    Announce {
        target: u8,
        leaving: bool,
        load: u8,
    },
    Gone(u8),
    Suspect(u8),
    Drain(u8),
    Entries(u8),
    Begin(u8),
    End(u8),
    Load(u8),
    Fail {
        which: u8,
        verdict: u8,
        rest: bool,
        resumable: bool,
    },
    Leave(u8),
    Advance(u16),
}

impl Arbitrary for Event {
    fn arbitrary(source: &mut Gen) -> Self {
        let byte = u8::arbitrary(source);
        let flag = bool::arbitrary(source);
        match u8::arbitrary(source) % 24 {
            0..=5 => Self::Arrive {
                model: byte % MODELS,
                rank: byte / 16 % 3,
                adapter: byte.is_multiple_of(5),
                refuse: flag,
            },
            6..=8 => Self::Call { idempotent: flag },
            9..=11 => Self::Announce {
                target: byte % TARGETS,
                leaving: byte / 8 % 8 == 0,
                load: byte / 64,
            },
            12 => Self::Gone(byte % TARGETS),
            13 => Self::Suspect(byte % TARGETS),
            14 => Self::Drain(byte % (2 * TARGETS)),
            15 => Self::Entries(byte % 4 + 1),
            16 => Self::Begin(byte),
            17..=18 => Self::End(byte),
            19 => Self::Load(byte),
            20..=21 => Self::Fail {
                which: byte,
                verdict: byte / 4 % 3,
                rest: byte.is_multiple_of(7),
                resumable: flag || byte.is_multiple_of(3),
            },
            22 => Self::Leave(byte),
            _ => Self::Advance(u16::arbitrary(source) % 3_000),
        }
    }
}

/// State of one request as the harness knows it.
#[derive(Debug)]
struct Record {
    pool: Pool,
    rank: u8,
    adapter: bool,
    idempotent: bool,
    /// Worst verdict of what the harness let happen at targets.
    worst: Verdict,
    dispatches: u32,
    queued: bool,
}

/// The router under test with the recorded state of its surroundings.
pub struct Harness {
    now: Instant,
    router: Router,
    last_id: u64,
    requests: BTreeMap<String, Record>,
    in_flight: BTreeMap<AttemptId, Dispatch>,
    loading: BTreeSet<AttemptId>,
    accepts_work: BTreeMap<String, bool>,
    entries: usize,
    version: u64,
    arrived: BTreeMap<Pool, u32>,
    retries: BTreeMap<Pool, u32>,
}

impl Harness {
    pub fn new() -> Self {
        let limit = Limit {
            max_queued: MAX_QUEUED,
            engine_slots: ENGINE_SLOTS,
            adapter_loads: ADAPTER_LOADS,
            retry_permille: RETRY_PERMILLE,
            retry_burst: RETRY_BURST,
            ..Limit::default()
        };
        let mut harness = Self {
            now: Instant::now(),
            router: Router::new("zone-a".into(), limit, 7),
            last_id: 0,
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            loading: BTreeSet::new(),
            accepts_work: BTreeMap::new(),
            entries: 1,
            version: 0,
            arrived: BTreeMap::new(),
            retries: BTreeMap::new(),
        };
        harness.configure(Vec::new());
        for target in 0..TARGETS {
            harness.announce(target, false, 0);
        }
        harness
    }

    #[allow(clippy::needless_pass_by_value)] // Each event is applied once.
    pub fn take(&mut self, event: Event) {
        match event {
            Event::Arrive {
                model,
                rank,
                adapter,
                refuse,
            } => self.arrive(model, rank, adapter, refuse),
            Event::Call { idempotent } => self.call(idempotent),
            Event::Announce {
                target,
                leaving,
                load,
            } => self.announce(target, leaving, load),
            Event::Gone(target) => {
                self.accepts_work.remove(&name(target));
                self.update(event::Event::Gone(name(target)));
            }
            Event::Suspect(target) => {
                self.accepts_work.insert(name(target), false);
                self.update(event::Event::Suspect(name(target)));
            }
            Event::Drain(target) => self.configure(vec![name(target)]),
            Event::Entries(count) => self.entries(usize::from(count)),
            Event::Begin(which) => self.with(which, Input::Begun),
            Event::End(which) => {
                if let Some(dispatch) = self.finish(which) {
                    self.requests.remove(&dispatch.request);
                    self.step(Input::Ended(dispatch.attempt));
                }
            }
            Event::Load(which) => self.load(which),
            Event::Fail {
                which,
                verdict,
                rest,
                resumable,
            } => self.fail(which, verdict, rest, resumable),
            Event::Leave(which) => self.leave(which),
            Event::Advance(millis) => {
                self.now += Duration::from_millis(u64::from(millis));
                self.step(Input::Tick);
            }
        }
        self.check();
    }

    /// Ends all attempts and advances the time past every maximum wait, then checks that no
    /// request, attempt, slot or adapter load is left.
    pub fn settle(&mut self) {
        for _ in 0..100 {
            while !self.in_flight.is_empty() {
                self.take(Event::End(0));
            }
            self.take(Event::Advance(2_999));
        }
        assert_eq!(self.router.admitted(), 0, "a request was lost");
        assert_eq!(self.router.in_flight(), 0, "an attempt was lost");
        assert_eq!(self.router.queued(), 0, "a queue kept a request");
        assert_eq!(self.router.loading(), 0, "an adapter load was leaked");
        assert!(self.requests.is_empty(), "no final answer for a request");
        for target in self.router.fleet().iter() {
            assert_eq!(target.own_requests(), 0, "a slot was leaked");
        }
    }

    fn arrive(&mut self, model: u8, rank: u8, adapter: bool, refuse: bool) {
        let name = if adapter {
            format!("adapter-{model}")
        } else {
            format!("model-{model}")
        };
        let profile = format!("{}-{rank}", if refuse { "refuse" } else { "serve" });
        let record = Record {
            pool: Pool::Model(format!("model-{model}")),
            rank,
            adapter,
            idempotent: true,
            worst: Verdict::NotRun,
            dispatches: 0,
            queued: false,
        };
        let prefix = Prefix {
            hash: u64::from(rank),
            tokens: 800,
        };
        self.submit(
            record,
            Pool::Model(name),
            Some(profile),
            [prefix].into_iter().collect(),
        );
    }

    fn call(&mut self, idempotent: bool) {
        let pool = Pool::Service("rota".into());
        let record = Record {
            pool: pool.clone(),
            rank: 128,
            adapter: false,
            idempotent,
            worst: Verdict::NotRun,
            dispatches: 0,
            queued: false,
        };
        self.submit(record, pool, None, Prefixes::new());
    }

    fn submit(&mut self, record: Record, pool: Pool, profile: Option<String>, prefixes: Prefixes) {
        self.last_id += 1;
        let id = format!("r{}", self.last_id);
        let idempotent = record.idempotent;
        *self.arrived.entry(record.pool.clone()).or_default() += 1;
        self.requests.insert(id.clone(), record);
        self.step(Input::Arrive(Request {
            id,
            pool,
            profile,
            prefixes,
            fingerprint: 0,
            rank: None,
            idempotent,
        }));
    }

    fn announce(&mut self, target: u8, leaving: bool, load: u8) {
        self.last_id += 1;
        let availability = if leaving {
            Availability::Leaving
        } else {
            Availability::Serving
        };
        self.accepts_work.insert(name(target), !leaving);
        let kind = if target == 4 || target == 3 {
            Kind::Service(Service {
                name: "rota".into(),
            })
        } else {
            let models = [target, (target + 1) % MODELS];
            Kind::Engine(Engine {
                memory: 80_000,
                fenced: true,
                resident: models.into_iter().map(resident).collect(),
                loading: Vec::new(),
                ended: Vec::new(),
            })
        };
        self.update(event::Event::Target(Box::new(Announcement {
            target: name(target),
            incarnation: 1,
            sequence: self.last_id,
            zone: "zone-a".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            availability,
            load: Load {
                running: u32::from(load),
                ..Load::default()
            },
            kind,
        })));
    }

    fn configure(&mut self, drained: Vec<String>) {
        self.version += 1;
        let set = set();
        self.update(event::Event::Config(Box::new(Snapshot {
            version: self.version,
            set,
            drained,
        })));
    }

    fn entries(&mut self, count: usize) {
        self.entries = count;
        let peer = |number| Peer {
            node: format!("entry-{number}"),
            role: Role::Entry,
            zone: "zone-a".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: 1,
            version: 1,
        };
        self.update(event::Event::Entries((0..count).map(peer).collect()));
    }

    fn choose(&self, which: u8) -> Option<Dispatch> {
        let count = self.in_flight.len();
        let nth = usize::from(which) % count.max(1);
        self.in_flight.values().nth(nth).cloned()
    }

    fn finish(&mut self, which: u8) -> Option<Dispatch> {
        let dispatch = self.choose(which)?;
        self.in_flight.remove(&dispatch.attempt);
        self.loading.remove(&dispatch.attempt);
        Some(dispatch)
    }

    fn with(&mut self, which: u8, input: fn(AttemptId) -> Input) {
        if let Some(dispatch) = self.choose(which) {
            self.step(input(dispatch.attempt));
        }
    }

    fn load(&mut self, which: u8) {
        if let Some(dispatch) = self.choose(which)
            && self.loading.remove(&dispatch.attempt)
        {
            self.step(Input::Loaded(dispatch.attempt));
        }
    }

    fn fail(&mut self, which: u8, verdict: u8, rest: bool, resumable: bool) {
        let Some(dispatch) = self.finish(which) else {
            return;
        };
        let verdict = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran][usize::from(verdict)];
        if let Some(record) = self.requests.get_mut(&dispatch.request) {
            record.worst = record.worst.worse(verdict);
        }
        self.step(Input::Failed(Failure {
            attempt: dispatch.attempt,
            verdict,
            target_at_fault: !rest,
            retry_after: rest.then_some(Duration::from_secs(1)),
            resumable,
            message: "broken".into(),
        }));
    }

    fn leave(&mut self, which: u8) {
        let count = self.requests.len();
        let nth = usize::from(which) % count.max(1);
        let Some(request) = self.requests.keys().nth(nth).cloned() else {
            return;
        };
        self.requests.remove(&request);
        self.step(Input::CallerGone(request));
    }

    fn update(&mut self, event: event::Event) {
        self.step(Input::Update(event));
    }

    fn step(&mut self, input: Input) {
        for action in self.router.step(self.now, input) {
            match action {
                Action::Dispatch(dispatch) => self.dispatched(dispatch),
                Action::Refuse { request, fault } => {
                    let record = self.requests.remove(&request);
                    let record = record.expect("one final answer for each request");
                    assert!(
                        fault.verdict >= record.worst,
                        "the verdict is better than what happened at the targets"
                    );
                }
                Action::Cancel { request, attempt } => {
                    let dispatch = self
                        .in_flight
                        .remove(&attempt)
                        .expect("the cancelled attempt is in flight");
                    assert_eq!(dispatch.request, request);
                    self.loading.remove(&attempt);
                    if let Some(record) = self.requests.get_mut(&request) {
                        record.worst = record.worst.worse(Verdict::MayHaveRun);
                    }
                }
                Action::Probe { life, .. } => self.step(Input::Reachable(life)),
                Action::Quarantine(finding) => panic!("no target crashed: {finding:?}"),
                Action::Log(decision) => {
                    if let Some(record) = self.requests.get_mut(&decision.request) {
                        record.queued = decision.choice == Choice::Queue;
                    }
                }
            }
        }
    }

    fn dispatched(&mut self, dispatch: Dispatch) {
        let record = self.requests.get_mut(&dispatch.request);
        let record = record.expect("no dispatch after the final answer");
        record.dispatches += 1;
        if record.dispatches > 1 {
            *self.retries.entry(record.pool.clone()).or_default() += 1;
            let repeatable = record.idempotent || record.worst == Verdict::NotRun;
            assert!(repeatable, "a call that may have run was retried");
        }
        assert!(
            self.accepts_work[&dispatch.target],
            "a request was sent to a target that accepts none"
        );
        let concurrent = self
            .in_flight
            .values()
            .any(|other| other.request == dispatch.request);
        assert!(!concurrent, "two attempts of one request at once");
        let rank = record.rank;
        let target = dispatch.target.clone();
        if dispatch.load.is_some() {
            self.loading.insert(dispatch.attempt);
            let share = (ADAPTER_LOADS / u32::try_from(self.entries).unwrap()).max(1);
            let loading = u32::try_from(self.loading.len()).unwrap();
            // Loads started before the share shrank may still be in flight.
            assert!(
                loading <= share || loading <= ADAPTER_LOADS,
                "more adapter loads than allowed"
            );
            assert!(
                self.router.loading() <= ADAPTER_LOADS,
                "more adapter loads than allowed"
            );
        }
        self.in_flight.insert(dispatch.attempt, dispatch);
        self.no_inversion(rank, &target);
    }

    /// Checks that no request of a more urgent rank waits that the target could have taken.
    fn no_inversion(&self, rank: u8, target: &str) {
        let serves = |pool: &Pool| {
            let mut targets = self.router.fleet().iter();
            targets.any(|known| known.announcement.target == target && known.pools().contains(pool))
        };
        for (id, record) in &self.requests {
            let overtaken = record.queued && !record.adapter && record.rank < rank;
            assert!(
                !overtaken || !serves(&record.pool),
                "{id} of a more urgent rank waits"
            );
        }
    }

    fn check(&self) {
        assert_eq!(
            self.router.in_flight(),
            self.in_flight.len(),
            "the router and the harness differ in the attempts in flight"
        );
        assert!(
            self.router.queued() <= MAX_QUEUED * 4,
            "a queue exceeded its limit"
        );
        for target in self.router.fleet().iter() {
            let engine = target.announcement.engine().is_some();
            let capacity = if engine { ENGINE_SLOTS } else { 2 };
            assert!(
                target.own_requests() <= capacity,
                "more slots in use than the target has"
            );
            let name = &target.announcement.target;
            let in_flight = self
                .in_flight
                .values()
                .filter(|dispatch| dispatch.target == *name);
            // Attempts that began before the target was removed and came back hold slots of the
            // removed record.
            assert!(usize::try_from(target.own_requests()).unwrap() <= in_flight.count());
        }
        for (pool, retries) in &self.retries {
            let earned = self.arrived[pool] * RETRY_PERMILLE / 1_000;
            assert!(
                *retries <= RETRY_BURST + earned,
                "the retry budget was exceeded"
            );
        }
    }
}

fn name(target: u8) -> String {
    format!("target-{target}")
}

fn resident(model: u8) -> Resident {
    Resident {
        model: format!("model-{model}"),
        version: 1,
        adapters: Vec::new(),
    }
}

fn set() -> Set {
    let profiles = (0..3).flat_map(|rank| {
        [LatePolicy::Refuse, LatePolicy::Serve].map(|late_policy| Profile {
            name: format!("{late_policy}-{rank}"),
            rank,
            first_token: Duration::from_millis(500),
            between_tokens: Duration::from_millis(50),
            max_wait: Duration::from_secs(5),
            late_policy,
        })
    });
    let models = (0..MODELS).map(|model| config::Model {
        anonymous: false,
        name: format!("model-{model}"),
        version: 1,
        weights: 1_000,
        cache: 100,
        copies: 1,
        importance: 1,
        adapters: vec![config::Adapter {
            name: format!("adapter-{model}"),
            memory: 10,
        }],
    });
    Set {
        workspaces: Vec::new(),
        profiles: profiles.collect(),
        models: models.collect(),
        services: vec![config::Service {
            anonymous: false,
            name: "rota".into(),
            idempotent: Vec::new(),
            concurrency: 2,
            max_wait: Duration::from_secs(5),
        }],
        placement: config::Placement::default(),
    }
}

//! Entries, control instances and callers in virtual time.

use crate::judge::{Judge, STEP_MS};
use crate::plan::{Fault, Plan};
use crate::process::Process;
use flamingo_serve::budget::Allowance;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const WINDOW: Duration = Duration::from_secs(10);
pub const CONTROLS: usize = 3;
/// Interval of a control instance's words about the entries.
const WORD_INTERVAL_MS: u64 = 500;
/// Interval of an entry's heartbeats to each control instance.
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Time after the last heartbeat until which a control instance counts an entry.
const FOLLOWER_TIMEOUT_MS: u64 = 5_000;
/// Time without heartbeats after which a control instance ends an entry's stream.
const STREAM_TIMEOUT_MS: u64 = 2_000;
/// Longest time until a failed attempt is known.
const MAX_ATTEMPT_MS: u64 = 1_000;
/// Time that streams last, all of which break when their targets crash.
const STREAM_MS: u64 = 15_000;
/// Retries that a route allows for each request.
const MAX_RETRIES: u32 = 2;

pub fn allowance() -> Allowance {
    Allowance {
        ratio: 0.2,
        slack: 56.0,
        window: WINDOW,
    }
}

pub fn control_address(index: usize) -> SocketAddr {
    let port = 1 + u16::try_from(index).expect("a port");
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// A word of a control instance, as an entry receives it.
#[derive(Clone, Copy, Debug)]
pub struct Word {
    pub from: SocketAddr,
    pub leader: Option<SocketAddr>,
    pub entries: usize,
}

/// What an entry has to do at a moment.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    /// Retries that the request may still get.
    remaining: u32,
}

#[derive(Debug, Default)]
struct Place {
    process: Option<Process>,
    joined: bool,
    down_until_ms: u64,
    frozen_until_ms: u64,
    /// Time until which each control instance can't be reached.
    cut_until_ms: [u64; CONTROLS],
    /// Time until which callers don't reach the entry.
    unreachable_until_ms: u64,
    wanted: BTreeMap<u64, Vec<Wanted>>,
    /// Words that wait while the process is frozen.
    waiting: Vec<Word>,
    /// Requests that wait while the process is frozen.
    unread: u32,
    /// Times of the requests of the last streams.
    streams: VecDeque<u64>,
}

#[derive(Debug, Default)]
struct Control {
    down_until_ms: u64,
    /// Time of the last heartbeat of each entry.
    followers: BTreeMap<usize, u64>,
}

pub struct Fleet {
    plan: Plan,
    random: ChaCha8Rng,
    start: Instant,
    places: Vec<Place>,
    controls: Vec<Control>,
    leader: Option<usize>,
    /// Time at which the next leader is elected.
    election_ms: u64,
    /// Places to which the callers send.
    chosen: BTreeSet<usize>,
    owed: f64,
    judge: Judge,
    wanted: u32,
}

impl Fleet {
    pub fn new(plan: Plan) -> Self {
        let mut places = Vec::new();
        places.resize_with(plan.max_entries, Place::default);
        for place in &mut places[..plan.entries] {
            place.joined = true;
        }
        let mut controls = Vec::new();
        controls.resize_with(CONTROLS, Control::default);
        Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            start: Instant::now(),
            places,
            controls,
            leader: Some(0),
            election_ms: 0,
            chosen: (0..plan.max_entries).collect(),
            owed: 0.0,
            judge: Judge::new(allowance(), plan.run_ms),
            wanted: 0,
            plan,
        }
    }

    /// Plays the plan. Returns what the judge saw, and the number of retries that were wanted.
    pub fn play(mut self) -> (Judge, u32) {
        let mut at_ms = 0;
        while at_ms < self.plan.run_ms {
            for fault in self.plan.due(at_ms) {
                self.apply(fault, at_ms);
            }
            self.start_processes(at_ms);
            self.run_controls(at_ms);
            self.send_requests(at_ms);
            self.retry(at_ms);
            at_ms += STEP_MS;
        }
        (self.judge, self.wanted)
    }

    fn apply(&mut self, fault: Fault, at_ms: u64) {
        match fault {
            Fault::Kill { places, down_ms } => {
                for place in self.named(&places) {
                    place.process = None;
                    place.down_until_ms = at_ms + down_ms;
                    place.frozen_until_ms = 0;
                    place.wanted.clear();
                    place.waiting.clear();
                    place.unread = 0;
                    place.streams.clear();
                }
            }
            Fault::Freeze { places, for_ms } => {
                for place in self.named(&places) {
                    place.frozen_until_ms = at_ms + for_ms;
                }
            }
            Fault::Cut {
                places,
                controls,
                for_ms,
            } => {
                for place in self.named(&places) {
                    for control in &controls {
                        place.cut_until_ms[*control] = at_ms + for_ms;
                    }
                }
            }
            Fault::Join { count } => {
                let absent = self.places.iter_mut().filter(|place| !place.joined);
                for place in absent.take(count) {
                    place.joined = true;
                }
            }
            Fault::Move { places } => self.chosen = places.into_iter().collect(),
            Fault::LoseZone { zone, for_ms } => {
                for place in self.places.iter_mut().skip(zone).step_by(3) {
                    place.unreachable_until_ms = at_ms + for_ms;
                }
            }
            Fault::Crash { share } => self.break_streams(share, at_ms),
            Fault::KillControls { controls, down_ms } => {
                for control in &controls {
                    self.controls[*control].followers.clear();
                    self.controls[*control].down_until_ms = at_ms + down_ms;
                }
                if self.leader.is_some_and(|leader| controls.contains(&leader)) {
                    self.leader = None;
                    self.election_ms = at_ms + 1_500;
                }
            }
            Fault::ChangeLeader { after_ms } => {
                self.leader = None;
                self.election_ms = at_ms + after_ms;
            }
        }
    }

    fn named<'a>(&'a mut self, places: &'a [usize]) -> impl Iterator<Item = &'a mut Place> {
        let all = self.places.iter_mut().enumerate();
        all.filter(|(index, _)| places.contains(index))
            .map(|(_, place)| place)
    }

    /// Lets a share of the streams of each entry want a retry at once.
    fn break_streams(&mut self, share: f64, at_ms: u64) {
        for place in &mut self.places {
            place
                .streams
                .retain(|begun_ms| begun_ms + STREAM_MS > at_ms);
            let mut broken = 0;
            for _ in 0..place.streams.len() {
                broken += usize::from(chance(&mut self.random, share));
            }
            let wanted = place.wanted.entry(at_ms).or_default();
            wanted.extend((0..broken).map(|_| Wanted { remaining: 1 }));
        }
    }

    fn start_processes(&mut self, at_ms: u64) {
        for place in &mut self.places {
            if place.joined && place.process.is_none() && place.down_until_ms <= at_ms {
                let now = self.start + Duration::from_millis(at_ms);
                place.process = Some(Process::new(allowance(), now));
            }
        }
    }

    fn run_controls(&mut self, at_ms: u64) {
        if self.leader.is_none() && self.election_ms <= at_ms {
            let first = pick(&mut self.random, CONTROLS);
            let candidates = (0..CONTROLS).map(|offset| (first + offset) % CONTROLS);
            let mut up =
                candidates.filter(|control| self.controls[*control].down_until_ms <= at_ms);
            self.leader = up.next();
        }
        let now = self.start + Duration::from_millis(at_ms);
        for index in 0..CONTROLS {
            if self.controls[index].down_until_ms > at_ms {
                continue;
            }
            self.controls[index]
                .followers
                .retain(|_, last_ms| *last_ms + FOLLOWER_TIMEOUT_MS > at_ms);
            self.receive_heartbeats(index, at_ms);
            if at_ms.is_multiple_of(WORD_INTERVAL_MS) {
                self.send_words(index, at_ms, now);
            }
        }
    }

    fn receive_heartbeats(&mut self, control: usize, at_ms: u64) {
        for (index, place) in self.places.iter().enumerate() {
            let sends = place.process.is_some()
                && place.frozen_until_ms <= at_ms
                && place.cut_until_ms[control] <= at_ms;
            let followers = &mut self.controls[control].followers;
            let last_ms = followers.get(&index).copied();
            let due = last_ms.is_none_or(|last_ms| last_ms + HEARTBEAT_INTERVAL_MS <= at_ms);
            if sends && due {
                followers.insert(index, at_ms);
            }
        }
    }

    fn send_words(&mut self, control: usize, at_ms: u64, now: Instant) {
        let word = Word {
            from: control_address(control),
            leader: self.leader.map(control_address),
            entries: self.controls[control].followers.len(),
        };
        for (index, last_ms) in &self.controls[control].followers {
            let place = &mut self.places[*index];
            let streams = last_ms + STREAM_TIMEOUT_MS > at_ms;
            if !streams || place.cut_until_ms[control] > at_ms {
                continue;
            }
            if place.frozen_until_ms > at_ms {
                place.waiting.push(word);
            } else if let Some(process) = &mut place.process {
                for word in place.waiting.drain(..).chain([word]) {
                    process.receive(word, now);
                }
            }
        }
    }

    fn send_requests(&mut self, at_ms: u64) {
        let per_s = self.plan.requests_per_s * self.plan.growth(at_ms);
        let step_s = Duration::from_millis(STEP_MS).as_secs_f64();
        self.owed += per_s * step_s;
        let choice = self.reached(at_ms);
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            self.send_request(&choice, at_ms);
        }
    }

    /// Returns the entries to which callers send: those chosen, or all where none of these is reached.
    fn reached(&self, at_ms: u64) -> Vec<usize> {
        let reached = (0..self.places.len()).filter(|index| {
            let place = &self.places[*index];
            place.process.is_some() && place.unreachable_until_ms <= at_ms
        });
        let reached: Vec<usize> = reached.collect();
        let chosen = reached.iter().copied();
        let chosen: Vec<usize> = chosen.filter(|index| self.chosen.contains(index)).collect();
        if chosen.is_empty() { reached } else { chosen }
    }

    fn send_request(&mut self, choice: &[usize], at_ms: u64) {
        if choice.is_empty() {
            return;
        }
        let place = &mut self.places[choice[pick(&mut self.random, choice.len())]];
        // A frozen process reads the request later.
        let read_ms = at_ms.max(place.frozen_until_ms);
        let now = self.start + Duration::from_millis(read_ms);
        self.judge.record_request(at_ms);
        if read_ms == at_ms
            && let Some(process) = &mut place.process
        {
            process.record_request(now);
        }
        if read_ms > at_ms && place.process.is_some() {
            place.unread += 1;
        }
        place.streams.push_back(at_ms);
        if chance(&mut self.random, self.plan.failing(at_ms)) {
            let failed_ms = read_ms + attempt_ms(&mut self.random);
            let wanted = place.wanted.entry(failed_ms).or_default();
            wanted.push(Wanted {
                remaining: MAX_RETRIES,
            });
        }
    }

    fn retry(&mut self, at_ms: u64) {
        let now = self.start + Duration::from_millis(at_ms);
        for place in &mut self.places {
            if place.frozen_until_ms > at_ms {
                continue;
            }
            let later = place.wanted.split_off(&(at_ms + 1));
            let due = std::mem::replace(&mut place.wanted, later);
            let Some(process) = &mut place.process else {
                continue;
            };
            for _ in 0..std::mem::take(&mut place.unread) {
                process.record_request(now);
            }
            process.beat(now);
            for Wanted { remaining } in due.into_values().flatten() {
                self.wanted += 1;
                if !process.try_retry(now) {
                    continue;
                }
                self.judge.record_retry(at_ms);
                if remaining > 1 && chance(&mut self.random, self.plan.failing(at_ms)) {
                    let failed_ms = at_ms + attempt_ms(&mut self.random);
                    let wanted = place.wanted.entry(failed_ms).or_default();
                    wanted.push(Wanted {
                        remaining: remaining - 1,
                    });
                }
            }
        }
    }
}

fn attempt_ms(random: &mut ChaCha8Rng) -> u64 {
    u64::from(random.next_u32()) % MAX_ATTEMPT_MS / STEP_MS * STEP_MS + STEP_MS
}

/// Returns a number below `count`.
pub fn pick(random: &mut ChaCha8Rng, count: usize) -> usize {
    let drawn = usize::try_from(random.next_u32()).expect("a number");
    drawn % count
}

/// Returns true with a probability.
pub fn chance(random: &mut ChaCha8Rng, probability: f64) -> bool {
    f64::from(random.next_u32()) < probability * f64::from(u32::MAX)
}

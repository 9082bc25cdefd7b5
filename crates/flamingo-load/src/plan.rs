//! The requests of a run with their times: a pure function of workload, seed, length and scale.

use crate::workload::{Calls, Stream, Workload};
use flamingo_wire::id;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::time::Duration;

/// Exponent of the demand by rank of the model (Zipf's law).
const ZIPF: f64 = 1.0;
/// Factor of a tenfold rise.
const TENFOLD: f64 = 10.0;

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Unique word that the request contains, and each token of a completion's response.
    pub word: String,
    /// Intended sending time, from the start of the run.
    pub at: Duration,
    /// The request.
    pub kind: Kind,
}

/// Kind of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A streamed completion.
    Completion(Completion),
    /// A call of a plain service.
    Call(Call),
}

/// A streamed completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The profile.
    pub profile: id::Profile,
    /// The model, or an adapter of one.
    pub model: id::Model,
    /// The prompt. Its last line has the engine echo the item's word.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Name of the kind of call.
    pub name: String,
    /// Method.
    pub method: String,
    /// Path at the entry, with its query.
    pub path: String,
    /// Whether it has an idempotency key (the item's word).
    pub keyed: bool,
    /// Whether the call is resent after its response.
    pub resend: bool,
}

/// Returns the plan of a run, in the order of sending.
///
/// ```
/// use flamingo_load::{plan, workload::Workload};
/// use std::path::Path;
/// use std::time::Duration;
///
/// let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/workloads/parks.ini");
/// let workload = Workload::open(&path).unwrap();
/// let one = plan::make(&workload, 7, Duration::from_secs(10), 1.0);
/// assert_eq!(one, plan::make(&workload, 7, Duration::from_secs(10), 1.0));
/// ```
#[must_use]
pub fn make(workload: &Workload, seed: u64, length: Duration, scale: f64) -> Vec<Item> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut items = Vec::new();
    for stream in &workload.streams {
        for (rank, model) in stream.models.iter().enumerate() {
            let demand = Demand::new(&mut rng, stream, rank, length, scale);
            for at in arrivals(&mut rng, demand.most, length, |at| demand.rate(at)) {
                let kind = completion(&mut rng, workload, stream, model);
                items.push(item(at, kind));
            }
        }
    }
    for calls in &workload.calls {
        let rate = calls.rate * scale;
        for at in arrivals(&mut rng, rate, length, |_| rate) {
            let kind = call(&mut rng, calls);
            items.push(item(at, kind));
        }
    }
    items.sort_by_key(|item| item.at);
    for (number, item) in items.iter_mut().enumerate() {
        name(item, seed, number);
    }
    items
}

fn item(at: Duration, kind: Kind) -> Item {
    Item {
        word: String::new(),
        at,
        kind,
    }
}

/// Returns the word of an item, unique within the run.
fn name(item: &mut Item, seed: u64, number: usize) {
    item.word = format!("q{seed}n{number}z");
    if let Kind::Completion(completion) = &mut item.kind {
        completion.prompt.push_str("\necho:");
        completion.prompt.push_str(&item.word);
    }
}

/// Demand for one model over the run.
struct Demand {
    on: Vec<(Duration, Duration)>,
    rate: f64,
    most: f64,
    swing: f64,
    length: Duration,
    tenfold: Option<(Duration, Duration)>,
}

impl Demand {
    fn new(
        rng: &mut ChaCha8Rng,
        stream: &Stream,
        rank: usize,
        length: Duration,
        scale: f64,
    ) -> Self {
        let weight = |rank: usize| 1.0 / float(rank as u64 + 1).powf(ZIPF);
        let all: f64 = (0..stream.models.len()).map(weight).sum();
        let busy = stream.on.as_secs_f64();
        let share = if busy > 0.0 {
            busy / (busy + stream.off.as_secs_f64())
        } else {
            1.0
        };
        let rate = stream.rate * scale * weight(rank) / all / share;
        let begin = length.mul_f64(float(stream.tenfold_at) / 1_000.0);
        let end = begin + length.mul_f64(float(stream.tenfold_for) / 1_000.0);
        let tenfold = (rank == 0 && stream.tenfold_for > 0).then_some((begin, end));
        let peak = if tenfold.is_some() { TENFOLD } else { 1.0 };
        Self {
            on: turns(rng, stream, length),
            rate,
            most: rate * peak * (1.0 + stream.swing.abs() / 100.0),
            swing: stream.swing / 100.0,
            length,
            tenfold,
        }
    }

    fn rate(&self, at: Duration) -> f64 {
        let within = |span: &(Duration, Duration)| span.0 <= at && at < span.1;
        let rising = self.tenfold.as_ref().is_some_and(within);
        if !rising && !self.on.iter().any(within) {
            return 0.0;
        }
        let turn = at.as_secs_f64() / self.length.as_secs_f64() * std::f64::consts::TAU;
        let day = 1.0 - self.swing * turn.cos();
        self.rate * day * if rising { TENFOLD } else { 1.0 }
    }
}

/// Returns the periods in which a model is requested; periods and pauses are exponential.
fn turns(rng: &mut ChaCha8Rng, stream: &Stream, length: Duration) -> Vec<(Duration, Duration)> {
    if stream.on.is_zero() {
        return vec![(Duration::ZERO, length)];
    }
    let mut turns = Vec::new();
    let mut begin = Duration::ZERO;
    let mut on = rng.next_u32().is_multiple_of(2);
    while begin < length {
        let mean = if on { stream.on } else { stream.off };
        let end = begin + mean.mul_f64(exponential(rng));
        if on {
            turns.push((begin, end));
        }
        begin = end;
        on = !on;
    }
    turns
}

/// Returns Poisson arrivals of a varying rate, by thinning (Lewis and Shedler 1979).
fn arrivals(
    rng: &mut ChaCha8Rng,
    most: f64,
    length: Duration,
    rate: impl Fn(Duration) -> f64,
) -> Vec<Duration> {
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    if most <= 0.0 {
        return arrivals;
    }
    loop {
        at += Duration::from_secs_f64(exponential(rng) / most);
        if at >= length {
            return arrivals;
        }
        if uniform(rng) * most < rate(at) {
            arrivals.push(at);
        }
    }
}

fn completion(rng: &mut ChaCha8Rng, workload: &Workload, stream: &Stream, model: &str) -> Kind {
    let known = workload.set.model(model);
    let adapters = known.map_or(&[][..], |known| &known.adapters);
    let adapted = !adapters.is_empty() && rng.next_u64() % 1_000 < stream.adapters;
    let asked = if adapted {
        let pick = usize::try_from(rng.next_u64() % adapters.len() as u64).unwrap_or(0);
        &adapters[pick].name
    } else {
        model
    };
    let prefix = filler(model, stream.prefix);
    let own = filler(&format!("{:x} ", rng.next_u64()), stream.prompt);
    Kind::Completion(Completion {
        profile: stream.profile.clone(),
        model: asked.to_owned(),
        prompt: format!("{prefix}\n{own}"),
        tokens: stream.tokens,
    })
}

fn call(rng: &mut ChaCha8Rng, calls: &Calls) -> Kind {
    let delay = calls.delay.as_millis();
    Kind::Call(Call {
        name: calls.name.clone(),
        method: calls.method.clone(),
        path: format!("/services/{}{}?delay_ms={delay}", calls.service, calls.path),
        keyed: calls.keyed,
        resend: rng.next_u64() % 1_000 < calls.resend,
    })
}

fn filler(word: &str, length: usize) -> String {
    word.chars().cycle().take(length).collect()
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - uniform(rng)).ln()
}

/// Returns a random number in [0, 1).
fn uniform(rng: &mut ChaCha8Rng) -> f64 {
    float(rng.next_u64() >> 11) / float(1 << 53)
}

/// Returns a count as a number; the counts here are far below 2^53.
#[allow(clippy::cast_precision_loss)] // below 2^53 nothing is lost
pub(crate) fn float(count: u64) -> f64 {
    count as f64
}

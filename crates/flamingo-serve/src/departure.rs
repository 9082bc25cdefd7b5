//! Decides what it costs a request to leave the availability zone of its entry.
//!
//! Traffic between zones is slower and billed by the byte, but a zone may have too few targets. A
//! target in another zone competes with the home targets by its predicted time plus an offset: the
//! additional round trip and the price of the bytes, capped by the risk of being late. What is above
//! it at home is spread by water filling, so that entries with the same delayed information do not
//! all switch between staying and leaving. See `docs/design/leaving-the-zone.md`.

use crate::round_trip::RoundTrips;
use crate::wire::RequestHead;
use flamingo_place::water_filling::fill;
use quick_error::quick_error;
use smallvec::SmallVec;
use std::str::FromStr;
use std::time::Duration;
use strum::IntoStaticStr;

/// Least cost of leaving the zone if the price is above 0. Predicted delays are made from state that is
/// up to 200 ms old, so zones under equal load appear to differ by up to about this much.
const MIN_COST: Duration = Duration::from_millis(110);
/// Highest cost of leaving, as a percentage of the time that a request has left to be on time. Beyond
/// it, the risk of being late outweighs any price.
const MAX_COST_PERCENT: u32 = 50;
/// Longest queue of a target in another zone that takes requests of this zone while this zone has
/// targets, as a percentage of the objective. With a longer one it has no spare capacity.
const MAX_SPARE_QUEUE_PERCENT: u32 = 50;
/// Excess of the home zone's delay over that of other zones, beyond the cost, at which all requests
/// leave, in milliseconds. Entries act on state that is up to 200 ms old. A smaller value moves more
/// work per interval than the excess, so the delays oscillate.
const FULL_DEPARTURE_MS: f64 = 250.0;
/// Bytes of the heads of a request and its response.
const HEAD_BYTES: usize = 1_000;
/// Bytes of an event of a stream, which carries one output token.
const EVENT_BYTES: usize = 100;
/// Bytes of a kilobyte.
const BYTES_PER_KB: f64 = 1_000.0;

/// Price of traffic between zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Price {
    /// Time that a caller may wait longer for keeping one kilobyte within the zone, in milliseconds.
    pub ms_per_kb: f64,
}

impl Default for Price {
    /// Returns the price at which 20 KB are worth a wait of 200 ms. In a zone that lacks targets, the
    /// queue becomes longer by about the cost of leaving; a higher price saves bytes in short bursts.
    fn default() -> Self {
        Self { ms_per_kb: 10.0 }
    }
}

impl FromStr for Price {
    type Err = InvalidPrice;

    /// Parses a number of milliseconds per kilobyte.
    ///
    /// ```
    /// use flamingo_serve::departure::Price;
    ///
    /// assert_eq!("2.5".parse(), Ok(Price { ms_per_kb: 2.5 }));
    /// assert!("-1".parse::<Price>().is_err());
    /// assert!("NaN".parse::<Price>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, InvalidPrice> {
        let number = text.trim().parse::<f64>().ok();
        let valid = number.filter(|number| number.is_finite() && *number >= 0.0);
        let ms_per_kb = valid.ok_or_else(|| InvalidPrice::Number(text.to_owned()))?;
        Ok(Self { ms_per_kb })
    }
}

quick_error! {
    /// Why a price can't be used.
    #[derive(Debug, Eq, PartialEq)]
    pub enum InvalidPrice {
        /// It is no finite number of at least 0.
        Number(text: String) {
            display("'{text}' is no price: give milliseconds per kilobyte, 0 or more")
        }
    }
}

/// Why a request leaves its zone.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No home target admits the request, or their queues are too long for any price.
    HomeLate,
    /// No home target of the service accepts requests, or all of them are excluded.
    NoHomeTarget,
    /// Home targets accept requests, but none of them has the model.
    NoHomeModel,
    /// The request is predicted to gain more time than its bytes cost.
    Cheap,
}

/// What a departure of one request is judged by.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// Price of traffic between zones.
    pub price: Price,
    /// Bytes of the request and of the expected response.
    pub bytes: usize,
    /// Latency objective of the request.
    pub objective: Duration,
    /// Time since the caller's first try.
    pub elapsed: Duration,
    /// Round trips to other zones.
    pub round_trips: &'a RoundTrips,
}

impl Terms<'_> {
    /// Returns the cost of leaving the zone beyond the round trip, in milliseconds: the wait at home
    /// beyond that in another zone that is accepted for keeping the bytes within the zone.
    ///
    /// ```
    /// use flamingo_serve::departure::{Price, Reason, Terms};
    /// use flamingo_serve::round_trip::RoundTrips;
    /// use std::time::Duration;
    ///
    /// let terms = Terms {
    ///     price: Price { ms_per_kb: 5.0 },
    ///     bytes: 40_000,
    ///     objective: Duration::from_secs(1),
    ///     elapsed: Duration::ZERO,
    ///     round_trips: &RoundTrips::default(),
    /// };
    /// assert_eq!((terms.cost_ms(), terms.reason()), (200.0, Reason::Cheap));
    /// let large = Terms { bytes: 200_000, ..terms };
    /// assert_eq!((large.cost_ms(), large.reason()), (500.0, Reason::HomeLate));
    /// ```
    #[must_use]
    pub fn cost_ms(&self) -> f64 {
        if self.is_free() {
            return 0.0;
        }
        let price_ms = self.price_ms().max(milliseconds(MIN_COST));
        price_ms.min(self.max_cost_ms())
    }

    /// Returns why the request would leave while home targets admit it.
    #[must_use]
    pub fn reason(&self) -> Reason {
        if self.price_ms() < self.max_cost_ms() {
            Reason::Cheap
        } else {
            Reason::HomeLate
        }
    }

    fn price_ms(&self) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "a size of bodies in memory")]
        let bytes = self.bytes as f64;
        self.price.ms_per_kb * bytes / BYTES_PER_KB
    }

    fn max_cost_ms(&self) -> f64 {
        let left = self.objective.saturating_sub(self.elapsed);
        milliseconds(MIN_COST.max(left * MAX_COST_PERCENT / 100))
    }

    /// Returns whether a target in another zone has capacity to spare, if it begins with the request
    /// after `queueing_delay`. With a price of 0 there is no distinction between zones.
    #[must_use]
    pub fn has_spare_capacity(&self, queueing_delay: Duration) -> bool {
        let longest = self.objective * MAX_SPARE_QUEUE_PERCENT / 100;
        self.is_free() || queueing_delay <= longest
    }

    /// Returns whether traffic between zones costs nothing.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.price.ms_per_kb <= 0.0
    }
}

/// Returns the bytes of a request with a body of `body_bytes` and of its expected response.
///
/// ```
/// use flamingo_serve::departure::expected_bytes;
/// use flamingo_serve::wire::RequestHead;
///
/// let request = RequestHead { expected_output_tokens: Some(20), ..RequestHead::default() };
/// assert_eq!(expected_bytes(&request, 500), 1_000 + 500 + 2_000);
/// ```
#[must_use]
pub fn expected_bytes(request: &RequestHead, body_bytes: usize) -> usize {
    let tokens = request.expected_output_tokens;
    let tokens = tokens.unwrap_or(request.max_output_tokens);
    let tokens = usize::try_from(tokens).unwrap_or(usize::MAX);
    let answer = tokens.saturating_mul(EVENT_BYTES);
    answer.saturating_add(body_bytes).saturating_add(HEAD_BYTES)
}

/// A target that takes part in the draw.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Zone of the target.
    pub zone: &'a str,
    /// Predicted time to the first event, with the additional round trip, in milliseconds.
    pub delay_ms: f64,
    /// Cost of leaving the zone, in milliseconds; 0 in the home zone.
    pub offset_ms: f64,
}

/// Returns the shares of the targets in the work of the home zone's entries, where the entries of all
/// `zones` zones together send `work_ms`. The entries of another zone send their part to their own
/// targets; those of a zone without a target here are counted with the home zone.
///
/// ```
/// use flamingo_serve::departure::{Place, spread};
///
/// let home = Place { zone: "a", delay_ms: 0.0, offset_ms: 0.0 };
/// let away = Place { zone: "b", delay_ms: 0.0, offset_ms: 30.0 };
/// // Both zones have the same work of 20 ms, so that none leaves.
/// assert_eq!(spread(&[home, away], "a", 2, 40.0), [20.0, 0.0]);
/// // With 55 ms more to do, the level of the home zone is above that of the other by 25 ms, which is a
/// // tenth of the difference at which all requests leave.
/// let busy = Place { delay_ms: 55.0, ..home };
/// assert_eq!(spread(&[busy, away], "a", 2, 40.0), [18.0, 2.0]);
/// ```
#[must_use]
pub fn spread(places: &[Place<'_>], home: &str, zones: usize, work_ms: f64) -> Vec<f64> {
    let mut loads: Vec<f64> = places.iter().map(|place| place.delay_ms).collect();
    let zones = zones.max(1);
    let part_ms = work_ms / f64::from(u32::try_from(zones).unwrap_or(u32::MAX));
    let mut own_ms = work_ms;
    let mut others: SmallVec<[&str; 4]> = SmallVec::new();
    for place in places {
        if place.zone != home && !others.contains(&place.zone) {
            others.push(place.zone);
        }
    }
    for zone in others.into_iter().take(zones - 1) {
        own_ms -= part_ms;
        add_work_of_zone(places, zone, part_ms, &mut loads);
    }
    for (load, place) in loads.iter_mut().zip(places) {
        *load += place.offset_ms;
    }
    let shares = fill(&loads, own_ms);
    if zones == 1 {
        return shares;
    }
    limit_departures(places, home, &loads, shares)
}

/// Limits the work that leaves the home zone to the excess of the home delay over that of other zones,
/// as a fraction of [`FULL_DEPARTURE_MS`]. `shares` are the result of water filling.
fn limit_departures(places: &[Place<'_>], home: &str, loads: &[f64], shares: Vec<f64>) -> Vec<f64> {
    let work_ms: f64 = shares.iter().sum();
    let is_home: Vec<bool> = places.iter().map(|place| place.zone == home).collect();
    let sum_away = |shares: &[f64]| -> f64 {
        let shares = shares.iter().zip(&is_home);
        shares
            .filter(|(_, home)| !**home)
            .map(|(share, _)| share)
            .sum()
    };
    let leaving_ms = sum_away(&shares);
    if leaving_ms <= 0.0 || !is_home.contains(&true) {
        return shares;
    }
    // If all stay, each home target is filled up to the same level, or is above it.
    let mut staying = loads.to_vec();
    add_work_of_zone(places, home, work_ms, &mut staying);
    let lowest = |wanted: bool| {
        let loads = staying.iter().zip(&is_home);
        let loads = loads.filter(|(_, home)| **home == wanted);
        loads.map(|(load, _)| *load).fold(f64::INFINITY, f64::min)
    };
    let excess_ms = lowest(true) - lowest(false);
    let bound_ms = work_ms * (excess_ms / FULL_DEPARTURE_MS).min(1.0);
    if leaving_ms <= bound_ms {
        return shares;
    }
    let kept = |index: usize| staying[index] - loads[index];
    let shares = shares.iter().enumerate().map(|(index, share)| {
        if is_home[index] {
            kept(index) * (1.0 - bound_ms / work_ms)
        } else {
            share * bound_ms / leaving_ms
        }
    });
    shares.collect()
}

/// Adds the work that the entries of a zone send to the loads of its targets.
fn add_work_of_zone(places: &[Place<'_>], zone: &str, work_ms: f64, loads: &mut [f64]) {
    let indices = (0..places.len()).filter(|index| places[*index].zone == zone);
    let indices: Vec<usize> = indices.collect();
    let of_zone: Vec<f64> = indices.iter().map(|index| loads[*index]).collect();
    for (index, share) in indices.into_iter().zip(fill(&of_zone, work_ms)) {
        loads[index] += share;
    }
}

/// Returns a duration in milliseconds.
fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

//! Chooses the control instances that an entry follows.
//!
//! Traffic between zones is billed by the byte, so an entry follows one control instance of its own
//! zone, which relays what the others push. Others are followed only while no instance of the zone
//! serves, or while one is not reached by the relay. `docs/design/zone-relays.md` has the reasons.

use crate::freshness::Freshness;
use flamingo_wire::control::Peers;
use flamingo_wire::id;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without a push after which an instance counts as failed. Pushes come at least every half
/// second.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the next candidate is followed as well if an instance that is newly followed has
/// not sent its state; longer than a dial and the transfer usually take.
pub const START_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which such an instance counts as failed. Giving up earlier would repeat transfers that
/// are slow because many entries start at once.
pub const START_LIMIT: Duration = Duration::from_secs(2);
/// Time for which an instance that failed must send again before the others are closed.
pub const RETURN_DELAY: Duration = Duration::from_secs(3);
/// Time for which an instance must be out of reach of the relay before it is followed directly; longer
/// than a broken connection between two control instances takes to reopen.
pub const UNREACHED_DELAY: Duration = Duration::from_millis(500);
/// Time after which an instance of another zone that failed is in its place of the order again.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);
/// Time for which this entry may lack the newest routes that an instance knows. Then its relay counts as
/// failed: one that has lost its disk relays the others' pushes, but its own log may lag for seconds.
pub const ROUTES_DELAY: Duration = Duration::from_secs(1);
/// Time after a failure during which another instance that no relay reaches is tried first.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an instance counts that a list has named. The lists of two instances differ while the
/// members of the log change, and streams must not be closed and reopened by turns.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of streams to other zones, once an instance has served.
pub const MAX_REMOTE: usize = 2;
/// Time between two plans from which on this process counts as held up: it has not read what came.
const HELD_UP_THRESHOLD: Duration = Duration::from_millis(400);

/// What a followed control instance is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Its own pushes only.
    Direct,
    /// Also what the others push.
    Relay,
}

/// The control instances to follow.
pub type Plan = BTreeMap<SocketAddr, Role>;

/// What is known of one control instance.
#[derive(Clone, Debug, Default)]
struct Feed {
    role: Option<Role>,
    /// When the instance was first asked for its present role.
    asked_at: Option<Instant>,
    last_push: Option<Instant>,
    /// Other instances that it reaches; `None` until it has sent its whole state.
    reached: Option<BTreeSet<SocketAddr>>,
    /// Since when it serves without a gap.
    good_since: Option<Instant>,
    /// When it failed; `None` once it has served for [`RETURN_DELAY`] again.
    failed_at: Option<Instant>,
    /// Since when no relay reaches it.
    unreached_since: Option<Instant>,
}

impl Feed {
    fn is_live(&self, now: Instant) -> bool {
        self.last_push
            .is_some_and(|last_push| now < last_push + SILENCE_TIMEOUT)
    }

    /// Returns whether it may serve without the help of others: it does, or has just been asked.
    fn is_usable(&self, now: Instant) -> bool {
        self.failed_at.is_none() && (self.good_since.is_some() || self.is_starting(now))
    }

    fn is_starting(&self, now: Instant) -> bool {
        self.asked_at
            .is_none_or(|asked_at| now < asked_at + START_TIMEOUT)
    }

    /// Returns whether it serves and has sent lately.
    fn is_serving(&self, now: Instant) -> bool {
        self.good_since.is_some() && self.is_live(now)
    }

    fn is_trusted(&self) -> bool {
        self.failed_at.is_none() && self.good_since.is_some()
    }

    /// Records whether it serves at `now`.
    fn update(&mut self, serves: bool, now: Instant) {
        if serves {
            let good_since = *self.good_since.get_or_insert(now);
            if now >= good_since + RETURN_DELAY {
                self.failed_at = None;
            }
            return;
        }
        let asked_at = self.asked_at.unwrap_or(now);
        if self.good_since.is_some() || now >= asked_at + START_LIMIT {
            self.good_since = None;
            self.failed_at = Some(now);
        }
    }

    /// Forgets what belongs to a stream.
    fn reset(&mut self) {
        self.last_push = None;
        self.reached = None;
        self.good_since = None;
    }
}

/// Decides which control instances one entry follows.
///
/// ```
/// use flamingo_link::feeds::{Feeds, Role};
/// use flamingo_wire::control::Peers;
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let controls: Vec<_> = (1..=4).map(|n| format!("10.0.0.{n}:1").parse().unwrap()).collect();
/// let zones = ["a", "a", "b", "b"].map(str::to_owned).to_vec();
/// let mut feeds = Feeds::new("entry-1", "b");
/// let peers = Peers { controls: controls.clone(), zones, ..Peers::default() };
/// feeds.record_peers(&peers, now);
/// let plan = feeds.plan(now);
/// assert_eq!(plan.values().collect::<Vec<_>>(), [&Role::Relay]);
/// assert!(plan.keys().all(|control| controls[2..].contains(control)));
/// ```
#[derive(Clone, Debug)]
pub struct Feeds {
    node: id::Node,
    zone: id::Zone,
    seeds: BTreeSet<SocketAddr>,
    /// The control instances in a list of the last [`LIST_TIMEOUT`]; empty before the first.
    controls: Vec<SocketAddr>,
    /// When each instance was last listed, also of those that are not any more.
    listed_at: BTreeMap<SocketAddr, Instant>,
    /// Last known zone of each.
    zones: BTreeMap<SocketAddr, id::Zone>,
    leader: Option<SocketAddr>,
    /// What is known of each instance, followed or not.
    known: BTreeMap<SocketAddr, Feed>,
    /// Whether this entry has the newest routes that any instance knows.
    freshness: Freshness,
    /// When the relays last counted as failed since it had not.
    outdated_relays_at: Option<Instant>,
    /// Whether any relay has served: until then, all seeds are kept.
    has_served: bool,
    /// When the last plan was made.
    planned_at: Option<Instant>,
}

impl Feeds {
    /// Returns the feeds of the entry `node` in `zone`, which knows no control instance.
    #[must_use]
    pub fn new(node: &str, zone: &str) -> Self {
        Self {
            node: node.to_owned(),
            zone: zone.to_owned(),
            seeds: BTreeSet::new(),
            controls: Vec::new(),
            listed_at: BTreeMap::new(),
            zones: BTreeMap::new(),
            leader: None,
            known: BTreeMap::new(),
            freshness: Freshness::default(),
            outdated_relays_at: None,
            has_served: false,
            planned_at: None,
        }
    }

    /// Adds instances that the settings name. They are followed until a list of all has come.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds.extend(seeds);
    }

    /// Records a list of the control instances. An instance that has just started has an empty one.
    pub fn record_peers(&mut self, peers: &Peers, now: Instant) {
        if peers.controls.is_empty() {
            return;
        }
        let listed = peers.controls.iter().map(|control| (*control, now));
        self.listed_at.extend(listed);
        let recent = self.listed_at.iter();
        let recent = recent.filter(|(_, listed_at)| now < **listed_at + LIST_TIMEOUT);
        self.controls = recent.map(|(control, _)| *control).collect();
        self.leader = peers.leader.or(self.leader);
        self.freshness.record_committed(peers.routes, now);
        let known = peers.controls.iter().zip(&peers.zones);
        let known = known.filter(|(_, zone)| !zone.is_empty());
        self.zones
            .extend(known.map(|(control, zone)| (*control, zone.clone())));
    }

    /// Records the version of the routes that this entry has in force. Relays whose entry lacks newer ones
    /// for [`ROUTES_DELAY`], or at its start for [`START_LIMIT`], count as failed.
    pub fn record_routes(&mut self, version: id::Version, now: Instant) {
        self.freshness.record_in_force(version, now);
        let Some(outdated_since) = self.freshness.outdated_since() else {
            return;
        };
        // The next relays get as long to send the routes.
        let relays_at = self.outdated_relays_at.unwrap_or(outdated_since);
        let waits_since = outdated_since.max(relays_at);
        let delay = if version == 0 {
            START_LIMIT
        } else {
            ROUTES_DELAY
        };
        if now < waits_since + delay {
            return;
        }
        self.outdated_relays_at = Some(now);
        let relays = self.known.values_mut();
        for relay in relays.filter(|feed| feed.role == Some(Role::Relay)) {
            relay.good_since = None;
            relay.failed_at = Some(now);
        }
    }

    /// Records a push of the instance at `from`.
    pub fn record_push(&mut self, from: SocketAddr, now: Instant) {
        self.known.entry(from).or_default().last_push = Some(now);
    }

    /// Records which others the instance at `from` reaches. It has sent its whole state.
    pub fn record_reached(&mut self, from: SocketAddr, reached: &[SocketAddr]) {
        let feed = self.known.entry(from).or_default();
        feed.reached = Some(reached.iter().copied().collect());
    }

    /// Records that the stream from an instance has ended, or could not be opened.
    pub fn disconnect(&mut self, from: SocketAddr, now: Instant) {
        let feed = self.known.entry(from).or_default();
        feed.reset();
        feed.failed_at = Some(now);
    }

    /// Returns whether entries may use relays: the control instances are in several zones.
    #[must_use]
    pub fn uses_relays(&self) -> bool {
        let zones = self.controls.iter().filter_map(|at| self.zones.get(at));
        zones.collect::<BTreeSet<_>>().len() > 1
    }

    /// Returns the numbers of instances in a plan that are in this zone and in others.
    #[must_use]
    pub fn count(&self, plan: &Plan) -> (usize, usize) {
        let own = plan.keys().filter(|control| self.is_own(control)).count();
        (own, plan.len() - own)
    }

    /// Returns the control instances to follow from `now` on.
    pub fn plan(&mut self, now: Instant) -> Plan {
        self.excuse_silence(now);
        self.update(now);
        let plan = if self.uses_relays() {
            self.plan_relays(now)
        } else {
            let all = self.seeds.iter().chain(self.listed_at.keys());
            all.map(|control| (*control, Role::Direct)).collect()
        };
        self.adopt(&plan, now);
        plan
    }

    /// Does not count the time in which this process did not run as silence of the others.
    fn excuse_silence(&mut self, now: Instant) {
        let planned_at = self.planned_at.replace(now).unwrap_or(now);
        let gap = now.saturating_duration_since(planned_at);
        if gap < HELD_UP_THRESHOLD {
            return;
        }
        for feed in self.known.values_mut() {
            feed.last_push = feed.last_push.map(|last_push| now.min(last_push + gap));
        }
    }

    /// Updates what is known of each instance.
    fn update(&mut self, now: Instant) {
        self.update_followed(now);
        self.update_unreached(now);
    }

    /// Records which followed instances serve, and forgets old failures of others.
    fn update_followed(&mut self, now: Instant) {
        let majority = self.controls.len() / 2 + 1;
        for (control, feed) in &mut self.known {
            let Some(role) = feed.role else {
                let is_old = |failed_at: &Instant| now >= *failed_at + FAILURE_MEMORY;
                feed.failed_at = feed.failed_at.filter(|failed_at| !is_old(failed_at));
                continue;
            };
            let others = self.controls.iter().filter(|other| *other != control);
            let connected = feed
                .reached
                .as_ref()
                .map(|reached| 1 + others.filter(|other| reached.contains(other)).count());
            let has_majority = connected.is_some_and(|connected| connected >= majority);
            let serves = feed.is_live(now) && (role == Role::Direct || has_majority);
            feed.update(serves, now);
        }
    }

    /// Records since when no relay that serves reaches an instance.
    fn update_unreached(&mut self, now: Instant) {
        let relays = self.known.iter();
        let relays = relays.filter(|(_, feed)| feed.role == Some(Role::Relay));
        let trusted: Vec<_> = relays.filter(|(_, feed)| feed.is_trusted()).collect();
        self.has_served |= !trusted.is_empty();
        let mut reached: BTreeSet<SocketAddr> = BTreeSet::new();
        for (relay, feed) in trusted {
            reached.insert(*relay);
            reached.extend(feed.reached.iter().flatten());
        }
        for control in &self.controls {
            let feed = self.known.entry(*control).or_default();
            feed.unreached_since = if reached.contains(control) {
                None
            } else {
                feed.unreached_since.or(Some(now))
            };
        }
    }

    fn plan_relays(&self, now: Instant) -> Plan {
        let mut plan = self.local_relays(now);
        if !self.any(&plan, |feed| feed.is_usable(now)) {
            plan.extend(self.remote_relays(now));
        }
        if self.any(&plan, Feed::is_trusted) {
            self.add_unreached(&mut plan, now);
        } else {
            self.keep_live(&mut plan, now);
        }
        plan
    }

    /// Returns the instances of this zone up to the first that is usable, in the order for this entry.
    fn local_relays(&self, now: Instant) -> Plan {
        let mut plan = Plan::new();
        for control in self.ordered(true) {
            plan.insert(control, Role::Relay);
            if self.feed(control).is_none_or(|feed| feed.is_usable(now)) {
                break;
            }
        }
        plan
    }

    /// Returns the instances of other zones to follow while none of this zone serves: in the order for
    /// this entry, but those that failed last, the least recently failed first.
    fn remote_relays(&self, now: Instant) -> Plan {
        let serves = |control: &SocketAddr| {
            let feed = self.feed(*control);
            feed.is_some_and(|feed| feed.is_serving(now))
        };
        let mut remote = self.ordered(false);
        remote.sort_by_key(|control| {
            let feed = self.feed(*control).filter(|_| !serves(control));
            feed.and_then(|feed| feed.failed_at)
        });
        let serving = remote.iter().position(serves);
        if let Some(serving) = serving.filter(|position| *position >= MAX_REMOTE) {
            // One that serves is kept until another one of the order does.
            remote.swap(MAX_REMOTE - 1, serving);
        }
        let chosen = remote.into_iter().take(MAX_REMOTE);
        chosen.map(|control| (control, Role::Relay)).collect()
    }

    /// Adds instances that no relay reaches, the leader first.
    fn add_unreached(&self, plan: &mut Plan, now: Instant) {
        let mut unreached: Vec<SocketAddr> = self.controls.clone();
        unreached.retain(|control| {
            let feed = self.feed(*control);
            let since = feed.and_then(|feed| feed.unreached_since);
            since.is_some_and(|since| now >= since + UNREACHED_DELAY)
        });
        unreached.sort_by_key(|control| {
            let feed = self.feed(*control);
            let failed_at = feed.and_then(|feed| feed.failed_at);
            let rests = failed_at.is_some_and(|failed_at| now < failed_at + RETRY_INTERVAL);
            let is_live = feed.is_some_and(|feed| feed.is_live(now));
            (!is_live, rests, Some(*control) != self.leader)
        });
        for control in unreached {
            if self.count(plan).1 < MAX_REMOTE || self.is_own(&control) {
                plan.entry(control).or_insert(Role::Direct);
            }
        }
    }

    /// Adds followed instances that still send, while no relay serves.
    fn keep_live(&self, plan: &mut Plan, now: Instant) {
        for (control, feed) in &self.known {
            let has_room = !self.has_served || self.count(plan).1 < MAX_REMOTE;
            let is_kept = feed.is_live(now) || !self.has_served;
            if feed.role.is_some() && is_kept && (has_room || self.is_own(control)) {
                plan.entry(*control).or_insert(Role::Direct);
            }
        }
    }

    /// Records which instances are followed, and as what.
    fn adopt(&mut self, plan: &Plan, now: Instant) {
        for control in plan.keys() {
            self.known.entry(*control).or_default();
        }
        for (control, feed) in &mut self.known {
            let role = plan.get(control).copied();
            if feed.role == role {
                continue;
            }
            if role.is_none() {
                feed.reset();
            }
            feed.good_since = None;
            feed.role = role;
            feed.asked_at = role.map(|_| now);
        }
    }

    /// Returns the instances of this zone, or those of others, in the order for this entry: by a hash, so
    /// that entries are spread.
    fn ordered(&self, own: bool) -> Vec<SocketAddr> {
        let controls = self.controls.iter().copied();
        let mut controls: Vec<_> = controls.filter(|at| self.is_own(at) == own).collect();
        controls.sort_by_cached_key(|control| {
            let mut hasher = DefaultHasher::new();
            (&self.node, control).hash(&mut hasher);
            hasher.finish()
        });
        controls
    }

    fn is_own(&self, control: &SocketAddr) -> bool {
        self.zones.get(control) == Some(&self.zone)
    }

    fn feed(&self, control: SocketAddr) -> Option<&Feed> {
        self.known.get(&control)
    }

    fn any(&self, plan: &Plan, holds: impl Fn(&Feed) -> bool) -> bool {
        let mut feeds = plan.keys().map(|control| self.feed(*control));
        feeds.any(|feed| holds(feed.unwrap_or(&Feed::default())))
    }
}

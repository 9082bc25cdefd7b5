//! What an entry knows of the system: routes, targets, connections to them, and other processes.
//! Control instances send this state and its changes.

use crate::neighbours::Neighbours;
use crate::origins::Origins;
use crate::pool::Pool;
use crate::sharers::{COUNT_TIMEOUT, Sharers};
use crate::table::{MAX_HEARTBEAT_DELAY, Table};
use flamingo_daemon::clock;
use flamingo_guard::authentication::Index;
use flamingo_guard::observer::{Life, Observer};
use flamingo_guard::quarantine::Finding;
use flamingo_guard::share::limits::Limits;
use flamingo_link::freshness::Freshness;
use flamingo_link::subscription::PushHandler;
use flamingo_wire::control::{self, NewestRoutes, Push, Relayed};
use flamingo_wire::id;
use flamingo_wire::prompt::{PartId, Quarantine};
use flamingo_wire::route::{Route, Service, Set};
use flamingo_wire::target::Registration;
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time for which a count of entries that a control instance sent is used. A new leader counts all that
/// report to it long before.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(10);

/// The current routes, indexed by host and service name.
#[derive(Debug)]
pub struct Routes {
    /// The set of routes and services.
    pub set: Arc<Set>,
    /// The workspaces by their keys; `None` where requests need no key.
    pub keys: Option<Index>,
    /// Indices of each host's routes in `set`, the longest path prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Indices of the services in `set`.
    services: HashMap<id::Service, usize>,
}

impl Routes {
    /// Builds the indices for a set.
    #[must_use]
    pub fn new(set: Arc<Set>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in set.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(set.routes[*index].prefix.len()));
        }
        let services = set.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index));
        let services = services.collect();
        let keys = set.workspaces.as_deref().map(Index::new);
        Self {
            set,
            keys,
            hosts,
            services,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`; `None` if no route matches.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let indices = self.hosts.get(host)?;
        let mut routes = indices.iter().map(|index| &self.set.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the service with this name; `None` if there is none.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        self.set.services.get(*index)
    }
}

/// The other processes of the system, as last received from control instances.
#[derive(Debug, Default)]
pub struct Peers {
    /// Control instance that leads; `None` while no leader is known.
    pub leader: Option<SocketAddr>,
    /// Number of entries that each control instance counts, and when it was heard.
    entries: HashMap<SocketAddr, (usize, Instant)>,
    /// Number of control instances in the newest list of any of them that has one; `None` before the first.
    controls: Option<usize>,
    /// Control instances whose pushes are being received.
    connected: BTreeSet<SocketAddr>,
    /// Control instances that each followed relay reaches.
    reached: HashMap<SocketAddr, BTreeSet<SocketAddr>>,
    /// The last report that a leader has acknowledged: the leader, and when the report was sent.
    acknowledged: Option<(SocketAddr, Instant)>,
    /// When something that the leader sent was last received, directly or through a relay.
    leader_heard_at: Option<Instant>,
    /// Numbers of followed control instances in this entry's zone and in others.
    pub followed: (usize, usize),
    /// Entries that share the retry budget, by the counts of the leader.
    pub sharers: Sharers,
}

impl Peers {
    /// Removes `control` as the leader, if it was: it is unreachable or does not lead.
    pub fn remove_leader(&mut self, control: SocketAddr) {
        self.leader = self.leader.filter(|leader| *leader != control);
    }

    /// Returns the control instances whose pushes are being received, directly or through a relay.
    #[must_use]
    pub fn connected(&self) -> Vec<SocketAddr> {
        self.all_connected().into_iter().collect()
    }

    fn all_connected(&self) -> BTreeSet<SocketAddr> {
        let reached = self.reached.values().flatten();
        self.connected.iter().chain(reached).copied().collect()
    }

    /// Returns whether pushes of this control instance arrive without a relay.
    #[must_use]
    pub fn follows(&self, control: SocketAddr) -> bool {
        self.connected.contains(&control)
    }

    /// Records that the leader has acknowledged a report that was sent at `sent_at`: from then on it
    /// counts this entry.
    pub fn record_acknowledged(&mut self, leader: SocketAddr, sent_at: Instant) {
        self.acknowledged = Some((leader, sent_at));
    }

    /// Returns the followed control instance that reaches the leader for this entry; `None` where this
    /// entry follows the leader itself, or no relay reaches it.
    #[must_use]
    pub fn relay_to(&self, leader: SocketAddr) -> Option<SocketAddr> {
        if self.follows(leader) {
            return None;
        }
        let mut relays = self.connected.iter().copied();
        relays.find(|relay| {
            let reached = self.reached.get(relay);
            reached.is_some_and(|reached| reached.contains(&leader))
        })
    }

    /// Returns the time since the leader's last push; `None` before the first.
    #[must_use]
    pub fn leader_age(&self, now: Instant) -> Option<Duration> {
        let heard_at = self.leader_heard_at?;
        Some(now.saturating_duration_since(heard_at))
    }

    /// Returns whether the leader surely counts this entry, as a follower or for its reports.
    fn is_counted(&self, leader: SocketAddr, now: Instant) -> bool {
        let acknowledged = self.acknowledged.filter(|(by, _)| *by == leader);
        let recently = acknowledged
            .is_some_and(|(_, sent_at)| now.saturating_duration_since(sent_at) <= COUNT_TIMEOUT);
        self.follows(leader) || recently
    }

    /// Records a list of the processes that the control instance at `origin` sent.
    fn record(&mut self, origin: SocketAddr, peers: &control::Peers, now: Instant) {
        if peers.leader.is_some() {
            self.leader = peers.leader;
        }
        let entries = peers.entries as usize;
        self.entries
            .retain(|_, (_, heard_at)| now < *heard_at + ENTRIES_TIMEOUT);
        self.entries.insert(origin, (entries, now));
        if peers.leader == Some(origin) && self.is_counted(origin, now) {
            let may_be_relayed = peers
                .zones
                .iter()
                .any(|zone| Some(zone) != peers.zones.first());
            self.sharers.set_relayed(may_be_relayed);
            self.sharers.record(entries, now);
        }
        // An instance that is not listed knows of no other.
        if !peers.controls.is_empty() {
            self.controls = Some(peers.controls.len());
        }
    }

    /// Records which others a relay reaches. Returns those that are not connected any more.
    fn record_reached(&mut self, relay: SocketAddr, reached: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let before = self.all_connected();
        let connected = &self.connected;
        self.reached.retain(|relay, _| connected.contains(relay));
        self.reached.insert(relay, reached.into_iter().collect());
        let after = self.all_connected();
        before.difference(&after).copied().collect()
    }

    /// Records the end of the stream from `control`. Returns the instances that are not connected any
    /// more. What a relay reached is kept until another one says what it reaches, or none is left.
    fn disconnect(&mut self, control: SocketAddr) -> Vec<SocketAddr> {
        self.connected.remove(&control);
        if !self.connected.is_empty() {
            return vec![control];
        }
        let mut lost = self.all_connected();
        lost.insert(control);
        self.reached.clear();
        lost.into_iter().collect()
    }

    /// Returns whether `answered` control instances are all that there are, as far as is known.
    #[must_use]
    pub fn are_all(&self, answered: usize) -> bool {
        self.controls.is_some_and(|controls| answered >= controls)
    }

    /// Returns the largest number of entries that any control instance counts; `None` if none
    /// was received.
    #[must_use]
    pub fn entries(&self) -> Option<usize> {
        self.entries.values().map(|(entries, _)| *entries).max()
    }
}

/// Routes, targets, connections and processes that an entry knows.
#[derive(Debug)]
pub struct Topology {
    /// The current routes; `None` until the first were received.
    pub routes: RefCell<Option<Rc<Routes>>>,
    /// Whether these routes are the newest ones. Times are of [`clock::now`], which counts suspensions.
    pub freshness: RefCell<Freshness>,
    /// Control instance that last passed on what the newest routes are; `None` before the first answer.
    pub answered_by: Cell<Option<SocketAddr>>,
    /// The targets.
    pub table: RefCell<Table>,
    /// Idle connections to the targets.
    pub pool: RefCell<Pool>,
    /// The other processes.
    pub peers: RefCell<Peers>,
    /// Entries that take requests from this one.
    pub neighbours: RefCell<Neighbours>,
    /// Address at which this entry takes requests from others; `None` while it takes none.
    neighbour: Cell<Option<SocketAddr>>,
    /// Streams that began at this entry.
    pub origins: RefCell<Origins>,
    /// Crashes of targets, and the prompt parts that cause them.
    pub crashes: RefCell<Observer>,
    /// Workspaces that are above their share of what is short, by the leader.
    pub shares: RefCell<Limits>,
    /// Wakes those who wait for a change of the targets' models.
    pub models_changed: Notify,
    log: Logger,
}

impl Topology {
    /// Returns an empty topology, without routes and targets.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            routes: RefCell::default(),
            freshness: RefCell::default(),
            answered_by: Cell::default(),
            table: RefCell::default(),
            pool: RefCell::default(),
            peers: RefCell::default(),
            neighbours: RefCell::default(),
            neighbour: Cell::default(),
            origins: RefCell::default(),
            crashes: RefCell::default(),
            shares: RefCell::default(),
            models_changed: Notify::new(),
            log,
        }
    }

    /// Sets the address at which this entry takes requests from others; `None` while it reaches no target
    /// itself. The control instances hear it with the next heartbeat, which a change brings at once.
    ///
    /// ```
    /// use flamingo_link::subscription::PushHandler;
    /// use flamingo_serve::topology::Topology;
    /// use slog::{Discard, Logger, o};
    ///
    /// let topology = Topology::new(Logger::root(Discard, o!()));
    /// assert_eq!(topology.neighbour(), None);
    /// let address = "10.0.1.1:4000".parse().ok();
    /// topology.set_neighbour(address);
    /// assert_eq!(topology.neighbour(), address);
    /// ```
    pub fn set_neighbour(&self, address: Option<SocketAddr>) {
        self.neighbour.set(address);
    }

    /// Records the newest routes that the control instance at `origin` knows to be committed.
    fn record_committed(&self, origin: SocketAddr, version: id::Version) {
        let mut freshness = self.freshness.borrow_mut();
        let is_news = freshness.record_committed(version, clock::now());
        drop(freshness);
        self.log_newer(is_news, origin, version);
    }

    fn log_newer(&self, is_news: bool, origin: SocketAddr, version: id::Version) {
        if is_news && version > self.routes_version() {
            info!(self.log, "newer routes known"; "version" => version, "control" => %origin,
                "in_force" => self.routes_version());
        }
    }

    /// Records the entries that a list of the processes names.
    fn record_neighbours(&self, peers: &control::Peers, now: Instant) {
        if let Some(named) = &peers.neighbours {
            let mut neighbours = self.neighbours.borrow_mut();
            neighbours.record(&named.zone, &named.addresses, now);
        }
    }

    /// Records the leader's answer to a question for the newest routes, sent at `asked_at`, a time of
    /// [`clock::now`], to the control instance `asked`.
    pub fn record_newest(&self, asked: SocketAddr, answer: NewestRoutes, asked_at: Instant) {
        let mut freshness = self.freshness.borrow_mut();
        let is_news = freshness.record_answer(answer, asked_at, clock::now());
        drop(freshness);
        self.answered_by.set(Some(asked));
        self.log_newer(is_news, asked, answer.version);
    }

    /// Returns whether the routes in force are surely the newest ones, so that a caller may be refused for good
    /// by them. `now` is a time of [`clock::now`], which counts suspensions.
    #[must_use]
    pub fn has_newest_routes(&self, now: Instant) -> bool {
        self.freshness.borrow().is_sure(now)
    }

    /// Makes the origin of the streams uncertain that a target began after it sent its last known
    /// heartbeat, if it has restarted with other software since.
    fn forget_uncertain_streams(&self, registrations: &[Registration]) {
        let table = self.table.borrow();
        for registration in registrations {
            let Some(known) = table.get(&registration.id) else {
                continue;
            };
            let other_software = known.registration.software != registration.software;
            if other_software && registration.supersedes(&known.registration) {
                let mut origins = self.origins.borrow_mut();
                let since = known.last_heartbeat().checked_sub(MAX_HEARTBEAT_DELAY);
                origins.forget(&registration.id, since);
            }
        }
    }

    /// Records that an incarnation of a target has ended under requests of this entry.
    pub fn record_crash(&self, life: &Life) {
        let now = Instant::now();
        if self.crashes.borrow_mut().record_crash(life, now) {
            let (target, incarnation) = life;
            info!(self.log, "target crashed"; "target" => target, "incarnation" => incarnation);
        }
    }

    /// Records that a target accepts no connection after those of requests of this entry broke.
    pub fn record_unreached(&self, life: &Life) {
        let now = Instant::now();
        if self.crashes.borrow_mut().record_unreached(life, now) {
            let (target, incarnation) = life;
            info!(self.log, "target crashed"; "target" => target, "incarnation" => incarnation);
        }
    }

    /// Withdraws the crashes that were none, by what control says of the targets since.
    pub fn settle_crashes(&self) {
        let table = self.table.borrow();
        let alive = self
            .crashes
            .borrow_mut()
            .settle(|life, at| table.fate(life, at));
        for (target, incarnation) in alive {
            info!(self.log, "no crash"; "target" => target, "incarnation" => incarnation);
        }
    }

    /// Returns when the last quarantine of these parts and whole requests ends; `None` if there is none. While no
    /// leader is known, which judges by the requests of all entries, judges by this entry's own first.
    pub fn quarantined_until(
        &self,
        service: &str,
        parts: &[PartId],
        now: Instant,
    ) -> Option<Instant> {
        let mut crashes = self.crashes.borrow_mut();
        let findings = match self.peers.borrow().leader {
            Some(_) => Vec::new(),
            None => crashes.judge(now),
        };
        for Finding {
            kind,
            key,
            crashes: count,
            events,
            answered,
            until,
        } in findings
        {
            let kind: &str = kind.into();
            info!(self.log, "quarantined"; "kind" => kind, "service" => key.service,
                "part" => format!("{:x}", key.part), "crashes" => count, "events" => events,
                "answered" => answered,
                "for_ms" => (until - now).as_millis());
        }
        crashes.quarantined_until(service, parts, now)
    }

    /// Adopts the prompt parts that control has quarantined.
    fn adopt_quarantines(&self, quarantines: &[Quarantine], now: Instant) {
        let adopted = self.crashes.borrow_mut().adopt(quarantines, now);
        for key in adopted {
            info!(self.log, "quarantine received"; "service" => key.service,
                "part" => format!("{:x}", key.part));
        }
    }

    /// Replaces the routes by those that the control instance at `origin` sent, if they have a higher version.
    pub(crate) fn replace_routes(&self, origin: SocketAddr, set: Arc<Set>) {
        let current = self.routes_version();
        if current != 0 && set.version <= current {
            return;
        }
        let now = clock::now();
        let mut freshness = self.freshness.borrow_mut();
        info!(self.log, "routes in force"; "version" => set.version, "routes" => set.routes.len(),
            "control" => %origin, "newest" => freshness.newest().max(set.version),
            "outdated_ms" => freshness.outdated_for(now).map(|age| age.as_millis()));
        freshness.record_in_force(set.version, now);
        *self.routes.borrow_mut() = Some(Rc::new(Routes::new(set)));
    }
}

impl Topology {
    /// Handles a push that the control instance at `origin` sent, directly or through a relay.
    fn apply(&self, origin: SocketAddr, push: Push, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        if peers.leader == Some(origin) {
            peers.leader_heard_at = Some(now);
        }
        drop(peers);
        if let Push::Targets(registrations) = &push {
            self.forget_uncertain_streams(registrations);
            for registration in registrations {
                let crashes = self.crashes.borrow();
                let ended = crashes.ended_lives(&registration.id, registration.incarnation);
                drop(crashes);
                for life in ended {
                    self.record_crash(&life);
                }
            }
        }
        let obsolete = self.table.borrow_mut().apply(now, &push);
        if matches!(push, Push::Targets(_)) {
            self.settle_crashes();
        }
        for target in obsolete {
            self.pool.borrow_mut().remove(&target);
        }
        if matches!(push, Push::Targets(_) | Push::Residency(_)) {
            self.models_changed.notify_waiters();
        }
        match push {
            Push::Routes(set) => self.replace_routes(origin, set),
            Push::Quarantines(quarantines) => self.adopt_quarantines(&quarantines, now),
            Push::Peers(peers) => {
                self.record_committed(origin, peers.routes);
                self.record_neighbours(&peers, now);
                self.peers.borrow_mut().record(origin, &peers, now);
            }
            Push::Shares(limits) => self.shares.borrow_mut().replace(&limits, now),
            _ => {}
        }
    }

    /// Handles that the pushes of control instances do not arrive any more. They may have lost what
    /// they were told.
    fn forget_controls(&self, lost: &[SocketAddr]) {
        for control in lost {
            self.peers.borrow_mut().remove_leader(*control);
            self.origins.borrow_mut().remove_holder(*control);
        }
    }
}

impl PushHandler for Topology {
    fn routes_version(&self) -> id::Version {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.set.version)
    }

    fn neighbour(&self) -> Option<SocketAddr> {
        self.neighbour.get()
    }

    fn on_push(&self, from: SocketAddr, push: Push) {
        let now = Instant::now();
        self.peers.borrow_mut().connected.insert(from);
        match push {
            Push::Relayed(Relayed { origin, push }) => self.apply(origin, *push, now),
            Push::Reached(reached) => {
                let lost = self.peers.borrow_mut().record_reached(from, reached);
                self.forget_controls(&lost);
            }
            push => self.apply(from, push, now),
        }
    }

    fn on_disconnect(&self, from: SocketAddr) {
        let lost = self.peers.borrow_mut().disconnect(from);
        self.forget_controls(&lost);
    }

    fn on_close(&self, from: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        peers.connected.remove(&from);
        peers.reached.remove(&from);
    }

    fn on_followed(&self, own: usize, other: usize) {
        self.peers.borrow_mut().followed = (own, other);
    }
}

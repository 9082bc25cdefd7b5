//! Registry of targets, and the pushes about them to this instance's followers.
//!
//! Targets send a heartbeat about once a second. The registry decides which registration of a
//! target is the newest where heartbeats arrive late, a target restarts under the same name, or an
//! address is reused.

mod dispute;
mod naming;
mod records;
mod relay;

use dispute::{Disputes, Hiding};
use flamingo_guard::quarantine::{Finding, Ledger};
use flamingo_wire::control::{Peers, Push, Relayed};
use flamingo_wire::frame::{Frame, Seal};
use flamingo_wire::id;
use flamingo_wire::prompt::{Dossier, Evidence, Quarantine};
use flamingo_wire::target::{Registration, Residency};
use naming::Rotation;
use records::{Record, Records};
use relay::{LoadTotals, Reach, Residencies};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::broadcast::{self, Receiver, Sender};

/// Pushes that are queued for a slow follower before it gets all targets again.
const PUSH_QUEUE: usize = 1_024;
/// Time for which a signed frame is sent to further followers; far shorter than the age at which they
/// refuse it.
const SEAL_REUSE: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a target is removed.
const EXPIRY: Duration = Duration::from_secs(30);
/// Time after an entry's last report by which entries report to another instance.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Age up to which a new follower gets the last list of the processes, instead of waiting for the next.
const PEERS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval in which changed registrations are published together. Each push costs a frame for every
/// follower here and at every relay; when all targets of a large fleet start, they change at once.
pub const TARGETS_INTERVAL: Duration = Duration::from_millis(100);

/// A push for all followers, which is encoded and signed once for those that get it at the same time.
#[derive(Debug)]
pub struct Broadcast {
    push: Push,
    sealed: Mutex<Option<Sealed>>,
}

/// A frame for any receiver, which receivers refuse once it is too old.
#[derive(Clone, Debug)]
struct Sealed {
    /// `None` where the push can't be encoded.
    frame: Option<Frame>,
    at: SystemTime,
}

impl Sealed {
    /// Returns whether the frame may still be sent. A clock that was set back makes it too new.
    fn is_current(&self, now: SystemTime) -> bool {
        now.duration_since(self.at)
            .is_ok_and(|age| age < SEAL_REUSE)
    }
}

impl Broadcast {
    /// Wraps a push that is not signed yet.
    #[must_use]
    pub fn new(push: Push) -> Self {
        Self {
            push,
            sealed: Mutex::default(),
        }
    }

    /// Returns the push.
    #[must_use]
    pub fn push(&self) -> &Push {
        &self.push
    }

    /// Returns the push as a frame for any receiver that is sent now, or `None` where it can't be
    /// encoded.
    ///
    /// ```
    /// use flamingo_control::registry::Broadcast;
    /// use flamingo_wire::control::Push;
    /// use flamingo_wire::frame::Seal;
    /// use std::time::SystemTime;
    ///
    /// let broadcast = Broadcast::new(Push::Heartbeat(7));
    /// let now = SystemTime::now();
    /// let frame = broadcast.frame(&Seal::new("control", b"secret"), now).unwrap();
    /// let entry = Seal::new("entry", b"secret");
    /// let push: Push = entry.open(&frame, now).unwrap();
    /// assert!(matches!(push, Push::Heartbeat(7)));
    /// ```
    #[must_use]
    pub fn frame(&self, seal: &Seal, now: SystemTime) -> Option<Frame> {
        // A panic of another holder leaves the frame consistent.
        let mut sealed = self.sealed.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sealed) = sealed.as_ref().filter(|sealed| sealed.is_current(now)) {
            return sealed.frame.clone();
        }
        let frame = seal.seal("", &self.push, now).ok();
        *sealed = Some(Sealed {
            frame: frame.clone(),
            at: now,
        });
        frame
    }
}

/// A list of the processes that was published.
#[derive(Debug)]
struct PublishedPeers {
    peers: Peers,
    /// Whether this instance led.
    leads: bool,
    at: Instant,
}

/// The targets that registered with this instance or with another control instance.
#[derive(Debug)]
pub struct Registry {
    targets: Records,
    /// Changed registrations that have not been published yet.
    pending: BTreeMap<id::Target, Registration>,
    /// Until when changed registrations are collected; `None` before the first.
    collected_until: Option<Instant>,
    /// Targets whose heartbeats since the last `publish_unchanged` brought nothing new.
    unchanged: BTreeSet<id::Target>,
    /// Targets whose heartbeats are outdated.
    disputes: Disputes,
    /// Evidence against what crashes targets, and what any control instance has quarantined.
    ledger: Ledger,
    /// When an entry last reported evidence to this instance; `None` if none has.
    evidence_at: Option<Instant>,
    /// The other control instances that this one reaches.
    reach: Reach,
    /// The newest residency of each target, for new followers.
    residencies: Residencies,
    /// The load of each target as the leader published it, for new followers.
    loads: LoadTotals,
    /// The last list of the processes that this instance published.
    peers: Option<PublishedPeers>,
    /// The entries that lists of the processes name as taking requests of others.
    naming: Rotation,
    pushes: Sender<Arc<Broadcast>>,
}

impl Default for Registry {
    fn default() -> Self {
        let (pushes, _) = broadcast::channel(PUSH_QUEUE);
        Self {
            targets: Records::default(),
            pending: BTreeMap::new(),
            collected_until: None,
            unchanged: BTreeSet::new(),
            disputes: Disputes::default(),
            ledger: Ledger::default(),
            evidence_at: None,
            reach: Reach::default(),
            residencies: Residencies::default(),
            loads: LoadTotals::default(),
            peers: None,
            naming: Rotation::default(),
            pushes,
        }
    }
}

impl Registry {
    /// Records a heartbeat of a target. Returns `false` where the registration is outdated and was
    /// dropped. A changed registration is published at once, or with others that change within
    /// [`TARGETS_INTERVAL`].
    pub fn record_heartbeat(&mut self, now: Instant, mut registration: Registration) -> bool {
        registration.revision = self.revision(&registration.id);
        if self.is_outdated(&registration) && !self.settle_dispute(now, &mut registration) {
            return false;
        }
        self.disputes.end(&registration.id);
        let id = registration.id.clone();
        let record = self.targets.get(&id);
        let changed = record.is_none_or(|record| !record.registration.same_state(&registration));
        self.store(now, registration.clone());
        if changed {
            self.publish_target(now, registration);
        } else {
            self.unchanged.insert(id);
        }
        true
    }

    /// Makes a registration the newest one of its target.
    fn store(&mut self, now: Instant, registration: Registration) {
        let known = self.targets.get(&registration.id);
        let known = known.map(|record| &record.registration);
        self.residencies.apply(known, &registration);
        let record = Record {
            registration,
            last_heartbeat: now,
        };
        self.targets.insert(record);
    }

    /// Returns whether a newer registration is known, of the same target or of a target that took
    /// over its address.
    #[must_use]
    pub fn is_outdated(&self, registration: &Registration) -> bool {
        self.superseding(registration).next().is_some()
    }

    /// Returns the revision of a target's newest registration.
    fn revision(&self, id: &str) -> u32 {
        self.get(id).map_or(0, |known| known.revision)
    }

    /// Returns the records that outdate a registration.
    fn superseding<'a>(
        &'a self,
        registration: &'a Registration,
    ) -> impl Iterator<Item = &'a Record> {
        let own = self.targets.get(&registration.id);
        let own = own.filter(|known| !registration.supersedes(&known.registration));
        let others = self.targets.at(registration.address).filter(|record| {
            let other = &record.registration;
            other.id != registration.id
                && other.incarnation > registration.incarnation
                && !other.gone
        });
        own.into_iter().chain(others)
    }

    /// Decides whether to believe a target against the registrations that outdate its heartbeat. If so,
    /// raises its revision and marks those of other names as gone.
    fn settle_dispute(&mut self, now: Instant, registration: &mut Registration) -> bool {
        let own = self.targets.get(&registration.id);
        // A target that has said that it left may still send heartbeats.
        if own.is_some_and(|own| own.registration.gone) {
            return false;
        }
        let records: Vec<&Record> = self.superseding(registration).collect();
        let confirmed_at = records.iter().map(|record| record.last_heartbeat).max();
        let hiding = Hiding {
            confirmed_at: confirmed_at.unwrap_or(now),
            leaving: records.iter().any(|record| record.registration.leaving),
        };
        if !self.disputes.record(now, registration, hiding) {
            return false;
        }
        registration.revision += 1;
        let hiding: Vec<id::Target> = self
            .superseding(registration)
            .map(|record| record.registration.id.clone())
            .collect();
        for id in hiding {
            self.record_departure(now, &id, 0);
        }
        true
    }

    /// Marks the earlier incarnation of a target as gone, whose newer registration may not be published
    /// yet. Returns `false` where the registration is outdated.
    pub fn withdraw_superseded(&mut self, now: Instant, registration: &mut Registration) -> bool {
        registration.revision = self.revision(&registration.id);
        if self.is_outdated(registration) {
            return false;
        }
        let known = self.get(&registration.id);
        if known.is_some_and(|known| known.incarnation < registration.incarnation) {
            self.record_departure(now, &registration.id, 0);
        }
        true
    }

    /// Marks a target as gone and publishes that. An `incarnation` other than 0 must be the current
    /// one; 0 stands for any.
    pub fn record_departure(&mut self, now: Instant, id: &str, incarnation: id::Incarnation) {
        let Some(record) = self.targets.get_mut(id) else {
            return;
        };
        let current = record.registration.incarnation;
        if incarnation != 0 && incarnation != current {
            return;
        }
        record.registration.gone = true;
        record.last_heartbeat = now;
        let gone = record.registration.clone();
        self.publish_target(now, gone);
    }

    /// Publishes a changed registration, at once unless others were published within
    /// [`TARGETS_INTERVAL`].
    fn publish_target(&mut self, now: Instant, registration: Registration) {
        self.pending.insert(registration.id.clone(), registration);
        if self.collected_until.is_none_or(|until| now >= until) {
            self.collected_until = Some(now + TARGETS_INTERVAL);
            self.publish_targets();
        }
    }

    /// Publishes the changed registrations that have been collected; called every
    /// [`TARGETS_INTERVAL`].
    pub fn publish_targets(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut self.pending);
        self.send(Push::Targets(changed.into_values().collect()));
    }

    /// Publishes which targets sent unchanged heartbeats since the last call, and removes the
    /// targets without a heartbeat for `EXPIRY`.
    pub fn publish_unchanged(&mut self, now: Instant) {
        self.targets
            .retain(|record| now < record.last_heartbeat + EXPIRY);
        self.residencies
            .retain(|target| self.targets.get(target).is_some());
        self.ledger.remove_expired(now);
        if !self.unchanged.is_empty() {
            let unchanged = std::mem::take(&mut self.unchanged);
            self.publish(Push::Unchanged(unchanged.into_iter().collect()));
        }
    }

    /// Publishes which models and adapters targets have resident.
    pub fn publish_residency(&mut self, now: Instant, residencies: Vec<Residency>) {
        self.residencies.record(&residencies, now);
        self.publish(Push::Residency(residencies));
    }

    /// Sets which entries the next list of the processes names as taking requests of others, a few in one
    /// of some lists. This instance is at `instance`, and its followers `own` take requests.
    pub fn name_neighbours(
        &mut self,
        now: Instant,
        instance: SocketAddr,
        own: &[(id::Zone, SocketAddr)],
        peers: &mut Peers,
    ) {
        self.naming.name(peers, instance, own, now);
    }

    /// Publishes the processes of the system. `leads` says whether this instance is the leader.
    pub fn publish_peers(&mut self, now: Instant, peers: Peers, leads: bool) {
        self.peers = Some(PublishedPeers {
            peers: peers.clone(),
            leads,
            at: now,
        });
        self.publish(Push::Peers(peers));
    }

    /// Records what the entry `from` has seen of targets that crash, and publishes what the entry knows
    /// to be quarantined and was not here.
    pub fn record_evidence(&mut self, now: Instant, from: &str, evidence: &Evidence) {
        self.evidence_at = Some(now);
        if !self.ledger.record(from, evidence, now).is_empty() {
            self.publish(Push::Quarantines(self.ledger.quarantines(now)));
        }
    }

    /// Returns whether there is evidence that has not been judged and counts by now.
    #[must_use]
    pub fn is_judgement_due(&self, now: Instant) -> bool {
        self.ledger.is_due(now)
    }

    /// Judges by the evidence, and publishes what this puts in quarantine.
    pub fn judge(&mut self, now: Instant) -> Vec<Finding> {
        let findings = self.ledger.judge(now);
        if !findings.is_empty() {
            self.publish(Push::Quarantines(self.ledger.quarantines(now)));
        }
        findings
    }

    /// Returns the part and the request against which most speaks, whether or not it suffices.
    #[must_use]
    pub fn leading_suspects(&self, now: Instant) -> Vec<Finding> {
        self.ledger.leading(now)
    }

    /// Returns what any control instance has quarantined.
    #[must_use]
    pub fn quarantines(&self, now: Instant) -> Vec<Quarantine> {
        self.ledger.quarantines(now)
    }

    /// Returns all evidence against what crashes targets.
    #[must_use]
    pub fn dossier(&self, now: Instant) -> Dossier {
        self.ledger.dossier(now)
    }

    /// Returns the number of changes of the evidence so far.
    #[must_use]
    pub fn evidence_revision(&self) -> u64 {
        self.ledger.revision()
    }

    /// Returns whether there is any evidence or quarantine.
    #[must_use]
    pub fn has_evidence(&self) -> bool {
        !self.ledger.is_empty()
    }

    /// Returns whether entries report their evidence to this instance.
    #[must_use]
    pub fn gets_evidence(&self, now: Instant) -> bool {
        self.evidence_at
            .is_some_and(|at| now < at + EVIDENCE_TIMEOUT)
    }

    /// Adopts the evidence of another instance, or of this one before its restart, and publishes what
    /// was in no quarantine here.
    pub fn restore_evidence(&mut self, now: Instant, dossier: &Dossier) {
        if !self.ledger.restore(dossier, now).is_empty() {
            self.publish(Push::Quarantines(self.ledger.quarantines(now)));
        }
    }

    /// Sends a push to all followers of this instance, after the changed registrations that have been
    /// collected: a push may refer to them.
    pub fn publish(&mut self, push: Push) {
        self.publish_targets();
        self.send(push);
    }

    /// Publishes loads of targets, summed over all entries.
    pub fn publish_loads(&mut self, now: Instant, push: Push) {
        self.loads.record(None, &push, now);
        self.publish(push);
    }

    fn send(&self, push: Push) {
        // Sending fails where there is no follower.
        let _ = self.pushes.send(Arc::new(Broadcast::new(push)));
    }

    /// Returns all targets, and a receiver of the pushes after them.
    #[must_use]
    pub fn subscribe(&self) -> (Vec<Registration>, Receiver<Arc<Broadcast>>) {
        let records = self.targets.values();
        let all = records.map(|record| record.registration.clone()).collect();
        (all, self.pushes.subscribe())
    }

    /// Returns what a new follower gets after the targets, besides the later pushes: residencies,
    /// and for one that wants relayed pushes the processes and which other instances are reached.
    #[must_use]
    pub fn state_after_targets(&self, relays: bool, now: Instant) -> Vec<Push> {
        let mut state = Vec::new();
        let published = self.peers.as_ref();
        let published = published.filter(|published| now < published.at + PEERS_TIMEOUT);
        // Another control instance gets the residencies from the leader alone: what an earlier leader
        // knows must not replace them.
        let leads = published.is_some_and(|published| published.leads);
        let residencies = self.residencies.newest(now);
        if (relays || leads) && !residencies.is_empty() {
            state.push(Push::Residency(residencies));
        }
        if relays {
            state.extend(published.map(|published| self.peers_for_new(published)));
            state.extend(self.loads.current(now));
            state.push(Push::Reached(self.reach.current(now)));
        }
        state
    }

    /// Returns the last list of the processes with the last names, for which a new follower would wait.
    fn peers_for_new(&self, published: &PublishedPeers) -> Push {
        let neighbours = self.naming.latest();
        Push::Peers(Peers {
            neighbours,
            ..published.peers.clone()
        })
    }

    /// Handles a push of the control instance at `origin`: merges it, and relays it to the followers
    /// that do not follow that instance.
    pub fn receive(&mut self, now: Instant, origin: SocketAddr, push: Push) {
        let is_state = matches!(push, Push::Targets(_));
        match push {
            Push::Targets(registrations) => self.receive_targets(now, origin, registrations),
            Push::Residency(residencies) => {
                self.residencies.record(&residencies, now);
                self.relay(origin, Push::Residency(residencies));
            }
            Push::Unchanged(_) | Push::Quarantines(_) => {
                self.merge(now, &push);
                self.relay(origin, push);
            }
            Push::Loads(_) | Push::LoadChanges(_) => {
                self.loads.record(Some(origin), &push, now);
                self.relay(origin, push);
            }
            Push::Shares(_) => self.relay(origin, push),
            Push::Peers(mut peers) => {
                self.naming.hear(&mut peers, now);
                // Only the leader's count of entries matters to others than its followers.
                if peers.leader == Some(origin) {
                    self.relay(origin, Push::Peers(peers));
                }
            }
            other => self.merge(now, &other),
        }
        self.reach.record(origin, is_state, now);
        self.publish_reached(now);
    }

    /// Handles the end of the stream from the control instance at `origin`.
    pub fn disconnect(&mut self, now: Instant, origin: SocketAddr) {
        self.reach.remove(origin);
        self.publish_reached(now);
    }

    /// Publishes which other control instances are reached, if that has changed.
    pub fn publish_reached(&mut self, now: Instant) {
        if let Some(reached) = self.reach.take_change(now) {
            self.publish(Push::Reached(reached));
        }
    }

    fn relay(&mut self, origin: SocketAddr, push: Push) {
        let push = Box::new(push);
        self.publish(Push::Relayed(Relayed { origin, push }));
    }

    /// Merges registrations of another instance and relays those that change something. A new stream
    /// brings all of them, of which most are known.
    fn receive_targets(&mut self, now: Instant, origin: SocketAddr, all: Vec<Registration>) {
        let mut changed = Vec::new();
        let mut unchanged = Vec::new();
        for registration in all {
            if self.is_outdated(&registration) {
                continue;
            }
            let known = self.get(&registration.id);
            if known.is_some_and(|known| known.same_state(&registration)) {
                unchanged.push(registration.id.clone());
            } else {
                changed.push(registration.clone());
            }
            self.store(now, registration);
        }
        if !changed.is_empty() {
            self.relay(origin, Push::Targets(changed));
        }
        if !unchanged.is_empty() {
            self.relay(origin, Push::Unchanged(unchanged));
        }
    }

    /// Merges a push of another control instance about targets or prompt parts, without relaying it.
    pub fn merge(&mut self, now: Instant, push: &Push) {
        match push {
            Push::Targets(registrations) => {
                for registration in registrations {
                    if !self.is_outdated(registration) {
                        self.store(now, registration.clone());
                    }
                }
            }
            Push::Unchanged(ids) => {
                for id in ids {
                    if let Some(record) = self.targets.get_mut(id) {
                        record.last_heartbeat = now;
                    }
                }
            }
            Push::Quarantines(quarantines) => {
                self.ledger.adopt(quarantines, now);
            }
            Push::Dossier(dossier) => self.restore_evidence(now, dossier),
            _ => {}
        }
    }

    /// Returns the registrations of the targets whose last heartbeat is less than `timeout` ago.
    #[must_use]
    pub fn active(&self, now: Instant, timeout: Duration) -> Vec<Registration> {
        let records = self.targets.values();
        let active = records.filter(|record| now < record.last_heartbeat + timeout);
        active.map(|record| record.registration.clone()).collect()
    }

    /// Returns a target's newest registration.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Registration> {
        self.targets.get(id).map(|record| &record.registration)
    }
}

//! The handle through which an entry uses its link.

use crate::pool::Pool;
use crate::report::{self, PendingReport};
use crate::shared::Shared;
use crate::status::{Counters, Status, load};
use crate::{ask, config_stream, gossip};
use flamingo_member::Machine;
use flamingo_member::table::Presence;
use flamingo_settings::entry::Settings;
use flamingo_wire::announce::Announcement;
use flamingo_wire::control::{Demand, Reply, Request};
use flamingo_wire::event::Sink;
use flamingo_wire::frame::Seal;
use flamingo_wire::gossip::{Liveness, Peer, Role};
use flamingo_wire::id;
use flamingo_wire::prompt::Evidence;
use slog::Logger;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// Number of times that the other entries are notified of a planned stop.
const LEAVE_MESSAGES: u32 = 3;
/// Time between two notifications of a planned stop.
const LEAVE_INTERVAL: Duration = Duration::from_millis(100);

/// An entry's link to the other entries and the control instances. Clones share the link.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
}

impl Link {
    /// Starts the link of an entry, which reports its events to `sink`.
    ///
    /// Must be called in an actix runtime, which runs the link's tasks. The sink must not call the
    /// link, because it is called while the state of the link is locked.
    #[must_use]
    pub fn start(settings: &Settings, seal: Seal, sink: Arc<dyn Sink>, log: Logger) -> Self {
        let node = &settings.node;
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let me = Peer {
            node: node.name.clone(),
            role: Role::Entry,
            zone: node.zone.clone(),
            address: node.inner,
            incarnation: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            version: 0,
        };
        let seed = u64::from(started.subsec_nanos()) << 32 | u64::from(std::process::id());
        let machine = Machine::new(me, settings.seeds.clone(), seed, Instant::now());
        let (outgoing, parcels) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            node: node.name.clone(),
            zone: node.zone.clone(),
            seal,
            controls: node.controls.clone(),
            sink,
            log,
            pool: Pool::default(),
            counters: Counters::default(),
            pending_report: Mutex::new(PendingReport::default()),
            leader: Mutex::new(None),
            machine: Mutex::new(machine),
            outgoing,
        });
        actix_rt::spawn(gossip::serve(shared.clone(), node.inner));
        actix_rt::spawn(gossip::drive(shared.clone(), parcels));
        actix_rt::spawn(config_stream::follow(shared.clone()));
        actix_rt::spawn(report::run(shared.clone()));
        Self { shared }
    }

    /// Sends a request to the control instances and retries it until one answers, for at most
    /// [`ask::REQUEST_TIMEOUT`].
    ///
    /// The verdict of a refusal says whether the request may have been carried out.
    pub async fn ask(&self, request: &Request) -> Reply {
        ask::ask(&self.shared, request).await
    }

    /// Handles an announcement that a target sent to this entry by HTTP.
    pub fn announce(&self, announcement: Announcement) {
        self.shared
            .pending_report()
            .add_target(&announcement.target);
        self.shared
            .tell(|machine, now| machine.announce(now, announcement));
    }

    /// Adds demand to the next report to a control instance.
    pub fn demand(&self, demand: Vec<Demand>) {
        self.shared.pending_report().add_demand(demand);
    }

    /// Adds evidence against prompts to the next report to a control instance.
    pub fn evidence(&self, evidence: Evidence) {
        let taken_at = Instant::now();
        self.shared
            .pending_report()
            .add_evidence(evidence, taken_at);
    }

    /// Returns the supposed leader; `None` where none is known.
    #[must_use]
    pub fn leader(&self) -> Option<id::Node> {
        self.shared.leader().clone()
    }

    /// Notifies the other entries that this entry stops as planned.
    pub async fn leave(&self) {
        for _ in 0..LEAVE_MESSAGES {
            self.shared.tell(Machine::leave);
            actix_rt::time::sleep(LEAVE_INTERVAL).await;
        }
    }

    /// Returns the state of the link, for operators and metrics.
    #[must_use]
    pub fn status(&self) -> Status {
        let shared = &self.shared;
        let machine = shared.machine();
        let members = machine.members();
        let suspected = members
            .live()
            .filter(|record| record.liveness == Liveness::Suspect);
        let table = machine.table();
        let suspected_targets = table
            .present()
            .filter(|record| record.presence == Presence::Suspect);
        Status {
            entries: machine.entries().len(),
            suspects: suspected.count(),
            dead: members.dead().count(),
            targets: table.present().count(),
            suspected_targets: suspected_targets.count(),
            version: machine.version(),
            control: shared.leader().clone(),
            zones: machine.zones().summaries().cloned().collect(),
            sent: load(&shared.counters.sent),
            received: load(&shared.counters.received),
            exchanges: load(&shared.counters.exchanges),
            failures: load(&shared.counters.failures),
            redials: load(&shared.counters.redials),
        }
    }
}

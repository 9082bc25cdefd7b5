//! The link that an entry holds.

use crate::pool::Pool;
use crate::report::{self, PendingReport};
use crate::shared::Shared;
use crate::status::{Counters, Status, load};
use crate::{ask, gossip, watch};
use flamingo_member::Machine;
use flamingo_member::table::Presence;
use flamingo_settings::entry::Settings;
use flamingo_wire::announce::Announcement;
use flamingo_wire::control::{Demand, Reply, Request};
use flamingo_wire::event::Sink;
use flamingo_wire::frame::Seal;
use flamingo_wire::gossip::{Liveness, Peer, Role};
use slog::Logger;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// Times that the other entries are told of a planned stop.
const FAREWELLS: u32 = 3;
/// Time between two of them.
const FAREWELL: Duration = Duration::from_millis(100);

/// A link to the rest of the system.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
}

impl Link {
    /// Starts the links of an entry; news goes to `sink`.
    ///
    /// It must be called in an actix runtime, which runs the link's tasks. The
    /// sink must not call the link: it is called while an input is decided.
    #[must_use]
    pub fn start(settings: &Settings, seal: Seal, sink: Arc<dyn Sink>, log: Logger) -> Self {
        let node = &settings.node;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let me = Peer {
            node: node.name.clone(),
            role: Role::Entry,
            zone: node.zone.clone(),
            address: node.inner,
            incarnation: u64::try_from(born.as_millis()).unwrap_or(u64::MAX),
            version: 0,
        };
        let seed = u64::from(born.subsec_nanos()) << 32 | u64::from(std::process::id());
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
            draft: Mutex::new(PendingReport::default()),
            leader: Mutex::new(None),
            machine: Mutex::new(machine),
            outgoing,
        });
        actix_rt::spawn(gossip::serve(shared.clone(), node.inner));
        actix_rt::spawn(gossip::drive(shared.clone(), parcels));
        actix_rt::spawn(watch::follow(shared.clone()));
        actix_rt::spawn(report::run(shared.clone()));
        Self { shared }
    }

    /// Asks the control instances until one answers, at most for
    /// [`ask::PATIENCE`].
    ///
    /// A refusal's verdict says whether the question may have been carried out.
    pub async fn ask(&self, request: &Request) -> Reply {
        ask::ask(&self.shared, request).await
    }

    /// Takes a target's announcement from the entry's HTTP interface.
    pub fn announce(&self, announcement: Announcement) {
        self.shared.draft().hear(&announcement.target);
        self.shared
            .tell(|machine, now| machine.announce(now, announcement));
    }

    /// Adds demand to the next report to a control instance.
    pub fn demand(&self, demand: Vec<Demand>) {
        self.shared.draft().demand(demand);
    }

    /// Tells the other entries that this one stops as planned.
    pub async fn leave(&self) {
        for _ in 0..FAREWELLS {
            self.shared.tell(Machine::leave);
            actix_rt::time::sleep(FAREWELL).await;
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
        let silent = table
            .present()
            .filter(|record| record.presence == Presence::Suspect);
        Status {
            entries: machine.entries().len(),
            suspects: suspected.count(),
            dead: members.dead().count(),
            targets: table.present().count(),
            silent: silent.count(),
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

//! What an entry knows of the system, as control instances tell it.

use crate::pool::Pool;
use crate::table::Table;
use flamingo_link::subscription::PushHandler;
use flamingo_wire::control::Push;
use flamingo_wire::id;
use flamingo_wire::route::{Route, Service, Set};
use slog::{Logger, info};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Routes in force, with an index of their hosts.
#[derive(Debug)]
pub struct Routes {
    /// The set.
    pub set: Arc<Set>,
    /// Places of the routes of a host, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    services: HashMap<id::Service, usize>,
}

impl Routes {
    /// Indexes a set.
    #[must_use]
    pub fn new(set: Arc<Set>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in set.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(place);
        }
        for places in hosts.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(set.routes[*place].prefix.len()));
        }
        let services = set.services.iter().enumerate();
        let services = services.map(|(place, service)| (service.name.clone(), place));
        let services = services.collect();
        Self {
            set,
            hosts,
            services,
        }
    }

    /// Returns the route of a host with the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let places = self.hosts.get(host)?;
        let mut routes = places.iter().map(|place| &self.set.routes[*place]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let place = self.services.get(name)?;
        self.set.services.get(*place)
    }
}

/// The processes of the system, as this entry last heard.
#[derive(Debug, Default)]
pub struct Peers {
    /// The control instance that leads.
    pub leader: Option<SocketAddr>,
    /// Entries, as each control instance counts them.
    entries: HashMap<SocketAddr, usize>,
}

impl Peers {
    /// Notes that a control instance is out of reach or does not lead.
    pub fn forget(&mut self, control: SocketAddr) {
        self.leader = self.leader.filter(|leader| *leader != control);
    }

    /// Returns how many entries there are at least.
    #[must_use]
    pub fn entries(&self) -> Option<usize> {
        self.entries.values().copied().max()
    }
}

/// What an entry knows.
#[derive(Debug)]
pub struct News {
    /// The routes in force; none before the first.
    pub routes: RefCell<Option<Rc<Routes>>>,
    /// The targets.
    pub table: RefCell<Table>,
    /// The connections to them.
    pub pool: RefCell<Pool>,
    /// The other processes.
    pub peers: RefCell<Peers>,
    log: Logger,
}

impl News {
    /// Starts with nothing known.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            routes: RefCell::default(),
            table: RefCell::default(),
            pool: RefCell::default(),
            peers: RefCell::default(),
            log,
        }
    }

    fn enforce(&self, set: Arc<Set>) {
        let held = self.routes_version();
        if held != 0 && set.version <= held {
            return;
        }
        info!(self.log, "routes in force"; "version" => set.version, "routes" => set.routes.len());
        *self.routes.borrow_mut() = Some(Rc::new(Routes::new(set)));
    }
}

impl PushHandler for News {
    fn routes_version(&self) -> id::Version {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.set.version)
    }

    fn on_push(&self, from: SocketAddr, push: Push) {
        let now = Instant::now();
        let ended = self.table.borrow_mut().take(now, &push);
        for target in ended {
            self.pool.borrow_mut().drop(&target);
        }
        match push {
            Push::Routes(set) => self.enforce(set),
            Push::Peers(peers) => {
                let mut known = self.peers.borrow_mut();
                if peers.leader.is_some() {
                    known.leader = peers.leader;
                }
                known.entries.insert(from, peers.entries as usize);
            }
            _ => {}
        }
    }

    fn on_disconnect(&self, from: SocketAddr) {
        self.peers.borrow_mut().forget(from);
    }
}

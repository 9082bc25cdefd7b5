//! What an entry knows of the system: routes, targets, connections to them, and other processes.
//! Control instances send this state and its changes.

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

/// The current routes, indexed by host and service name.
#[derive(Debug)]
pub struct Routes {
    /// The set of routes and services.
    pub set: Arc<Set>,
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
        Self {
            set,
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
    /// Number of entries that each control instance counts.
    entries: HashMap<SocketAddr, usize>,
}

impl Peers {
    /// Removes `control` as the leader, if it was: it is unreachable or does not lead.
    pub fn remove_leader(&mut self, control: SocketAddr) {
        self.leader = self.leader.filter(|leader| *leader != control);
    }

    /// Returns the largest number of entries that any control instance counts; `None` if none
    /// was received.
    #[must_use]
    pub fn entries(&self) -> Option<usize> {
        self.entries.values().copied().max()
    }
}

/// Routes, targets, connections and processes that an entry knows.
#[derive(Debug)]
pub struct Topology {
    /// The current routes; `None` until the first were received.
    pub routes: RefCell<Option<Rc<Routes>>>,
    /// The targets.
    pub table: RefCell<Table>,
    /// Idle connections to the targets.
    pub pool: RefCell<Pool>,
    /// The other processes.
    pub peers: RefCell<Peers>,
    log: Logger,
}

impl Topology {
    /// Returns an empty topology, without routes and targets.
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

    /// Replaces the routes if `set` has a higher version than the current ones.
    fn replace_routes(&self, set: Arc<Set>) {
        let current = self.routes_version();
        if current != 0 && set.version <= current {
            return;
        }
        info!(self.log, "routes in force"; "version" => set.version, "routes" => set.routes.len());
        *self.routes.borrow_mut() = Some(Rc::new(Routes::new(set)));
    }
}

impl PushHandler for Topology {
    fn routes_version(&self) -> id::Version {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.set.version)
    }

    fn on_push(&self, from: SocketAddr, push: Push) {
        let now = Instant::now();
        let obsolete = self.table.borrow_mut().apply(now, &push);
        for target in obsolete {
            self.pool.borrow_mut().remove(&target);
        }
        match push {
            Push::Routes(set) => self.replace_routes(set),
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
        self.peers.borrow_mut().remove_leader(from);
    }
}

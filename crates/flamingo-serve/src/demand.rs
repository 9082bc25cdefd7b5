//! What an entry tells the leader of demand and load.

use crate::topology::Topology;
use crate::wire::RequestHead;
use flamingo_link::feed::Asker;
use flamingo_wire::control::Request;
use flamingo_wire::id;
use flamingo_wire::target::{Demand, Tally};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two reports.
const PAUSE: Duration = Duration::from_millis(100);
/// Time that the leader has to take a report.
const PATIENCE: Duration = Duration::from_millis(500);
/// Time of an engine for a token that it reads, in milliseconds.
const READ_MS: f64 = 0.04;
/// Time of an engine for a token that it writes beside others, in milliseconds.
const WRITE_MS: f64 = 0.7;

/// Model of a service.
type Key = (id::Service, id::Model);

/// Demand since the last report.
#[derive(Debug, Default)]
pub struct Counter {
    demand: RefCell<BTreeMap<Key, Demand>>,
}

impl Counter {
    /// Counter a request for a model.
    pub fn arrived(&self, service: &str, ask: &RequestHead) {
        self.change(service, ask, |demand| {
            demand.requests += 1;
            demand.work_ms += work(ask);
        });
    }

    /// Counter a request for a model that no target had or had room for.
    pub fn refused(&self, service: &str, ask: &RequestHead) {
        self.change(service, ask, |demand| demand.refused += 1);
    }

    fn change(&self, service: &str, ask: &RequestHead, change: impl FnOnce(&mut Demand)) {
        let Some(model) = ask.model.clone() else {
            return;
        };
        let mut all = self.demand.borrow_mut();
        let key = (service.to_owned(), model.clone());
        let demand = all.entry(key).or_insert_with(|| Demand {
            service: service.to_owned(),
            model,
            ..Demand::default()
        });
        change(demand);
    }

    fn take(&self) -> Vec<Demand> {
        std::mem::take(&mut *self.demand.borrow_mut())
            .into_values()
            .collect()
    }
}

/// Returns the time of an engine that a request asks for, in milliseconds.
fn work(ask: &RequestHead) -> f64 {
    let written = ask
        .expected_output_tokens
        .unwrap_or(ask.max_output_tokens)
        .min(ask.max_output_tokens);
    f64::from(ask.prompt_tokens) * READ_MS + f64::from(written) * WRITE_MS
}

/// Tells the leader for ever.
pub async fn report(topology: Rc<Topology>, counter: Rc<Counter>, control_client: Rc<Asker>) {
    loop {
        tokio::time::sleep(PAUSE).await;
        let Some(leader) = topology.peers.borrow().leader else {
            continue;
        };
        let tally = Tally {
            demand: counter.take(),
            loads: topology.table.borrow_mut().tell(),
        };
        if tally == Tally::default() {
            continue;
        }
        let deadline = Instant::now() + PATIENCE;
        let request = Request::Tally(tally);
        // A report that is lost is followed by the next one.
        let _ = control_client.ask(leader, &request, deadline).await;
    }
}

//! What an entry tells the leader of demand and load.

use crate::news::News;
use crate::wire::Ask;
use flamingo_link::subscription::ControlClient;
use flamingo_wire::control::Request;
use flamingo_wire::id;
use flamingo_wire::target::{Demand, Usage};
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
pub struct Counts {
    demand: RefCell<BTreeMap<Key, Demand>>,
}

impl Counts {
    /// Counts a request for a model.
    pub fn arrived(&self, service: &str, ask: &Ask) {
        self.change(service, ask, |demand| {
            demand.requests += 1;
            demand.work_ms += work(ask);
        });
    }

    /// Counts a request for a model that no target had or had room for.
    pub fn refused(&self, service: &str, ask: &Ask) {
        self.change(service, ask, |demand| demand.refused += 1);
    }

    fn change(&self, service: &str, ask: &Ask, change: impl FnOnce(&mut Demand)) {
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
fn work(ask: &Ask) -> f64 {
    let written = ask.hint.unwrap_or(ask.answer).min(ask.answer);
    f64::from(ask.prompt) * READ_MS + f64::from(written) * WRITE_MS
}

/// Tells the leader for ever.
pub async fn report(news: Rc<News>, counts: Rc<Counts>, asker: Rc<ControlClient>) {
    loop {
        tokio::time::sleep(PAUSE).await;
        let Some(leader) = news.peers.borrow().leader else {
            continue;
        };
        let tally = Usage {
            demand: counts.take(),
            loads: news.table.borrow_mut().tell(),
        };
        if tally == Usage::default() {
            continue;
        }
        let deadline = Instant::now() + PATIENCE;
        let request = Request::Usage(tally);
        // A report that is lost is followed by the next one.
        let _ = asker.ask(leader, &request, deadline).await;
    }
}

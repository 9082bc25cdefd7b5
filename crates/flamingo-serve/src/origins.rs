//! Streams that began at this entry, with the software version that began each, and their reports
//! to control instances.
//!
//! Another entry that is asked to go on with a stream finds its version there. Reports are needed
//! only where a stream could go on at a wrong version; see [`Origins::take_unreported`].

use crate::topology::Topology;
use flamingo_link::subscription::ControlClient;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::id;
use flamingo_wire::stream::{Begun, Key, Origin};
use futures_util::future::join_all;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which a stream is kept; longer than a caller waits for one.
const RETENTION: Duration = Duration::from_mins(1);
/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a control instance must acknowledge a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of control instances that keep each stream.
const HOLDERS: usize = 2;

/// A stream that began at this entry.
#[derive(Clone, Debug)]
struct Record {
    origin: Origin,
    target: id::Target,
    begun_at: Instant,
    reported: bool,
}

/// The streams that began at this entry a short time ago.
#[derive(Debug, Default)]
pub struct Origins {
    streams: HashMap<Key, Record>,
}

impl Origins {
    /// Records that a target has sent the first event of a stream.
    pub fn record(&mut self, stream: Key, origin: Origin, target: &str, now: Instant) {
        let record = Record {
            origin,
            target: target.to_owned(),
            begun_at: now,
            reported: false,
        };
        self.streams.insert(stream, record);
    }

    /// Returns where a stream began; `None` if it did not begin here, or its version is uncertain.
    ///
    /// ```
    /// use flamingo_serve::origins::Origins;
    /// use flamingo_wire::stream::Origin;
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let origin = Origin { service: "notes".into(), software: "v1".into() };
    /// let mut origins = Origins::default();
    /// origins.record(7, origin.clone(), "engine-1", now);
    /// assert_eq!(origins.get(7), Some(&origin));
    /// origins.forget("engine-1", now);
    /// assert_eq!(origins.get(7), None);
    /// ```
    #[must_use]
    pub fn get(&self, stream: Key) -> Option<&Origin> {
        self.streams.get(&stream).map(|record| &record.origin)
    }

    /// Removes the streams that a target has begun since `since`: it turned out to have restarted
    /// with other software, and either version may have begun them.
    pub fn forget(&mut self, target: &str, since: Instant) {
        self.streams
            .retain(|_, record| record.target != target || record.begun_at < since);
    }

    /// Removes the streams that began more than [`RETENTION`] ago.
    pub fn remove_expired(&mut self, now: Instant) {
        self.streams
            .retain(|_, record| now < record.begun_at + RETENTION);
    }

    /// Returns the streams that were not returned before, of the services in `ambiguous`: they could
    /// go on at several versions. Those of other services are kept until that changes.
    pub fn take_unreported(&mut self, ambiguous: &HashSet<id::Service>) -> Vec<Begun> {
        if ambiguous.is_empty() {
            return Vec::new();
        }
        let mut begun: HashMap<Origin, Vec<Key>> = HashMap::new();
        for (stream, record) in &mut self.streams {
            if record.reported || !ambiguous.contains(&record.origin.service) {
                continue;
            }
            record.reported = true;
            begun
                .entry(record.origin.clone())
                .or_default()
                .push(*stream);
        }
        let begun = begun.into_iter();
        begun
            .map(|(origin, streams)| Begun { origin, streams })
            .collect()
    }

    /// Marks streams as not reported, since no control instance has acknowledged them.
    fn return_unreported(&mut self, begun: &[Begun]) {
        for stream in begun.iter().flat_map(|begun| &begun.streams) {
            if let Some(record) = self.streams.get_mut(stream) {
                record.reported = false;
            }
        }
    }
}

/// Reports streams that have begun to [`HOLDERS`] control instances every [`REPORT_INTERVAL`].
/// Never returns.
pub async fn report(topology: Rc<Topology>, control_client: Rc<ControlClient>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let controls = topology.peers.borrow().connected();
        if controls.is_empty() {
            continue;
        }
        let ambiguous = topology.ambiguous_services();
        let begun = topology.origins.borrow_mut().take_unreported(&ambiguous);
        if begun.is_empty() {
            continue;
        }
        round += 1;
        let holders = controls.iter().cycle().skip(round % controls.len());
        let holders = holders.take(HOLDERS.min(controls.len()));
        let deadline = Instant::now() + REPORT_TIMEOUT;
        let request = Request::Begun(begun.clone());
        let asked = holders.map(|holder| control_client.ask(*holder, &request, deadline));
        let replies = join_all(asked).await;
        if !replies.contains(&Reply::Acknowledged) {
            topology.origins.borrow_mut().return_unreported(&begun);
        }
    }
}

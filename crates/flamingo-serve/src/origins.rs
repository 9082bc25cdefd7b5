//! Streams that began at this entry, with the software version that began each, and their reports
//! to control instances.
//!
//! Another entry that is asked to go on with a stream finds its version there. Each stream is
//! reported to [`HOLDERS`] instances, and again to another one when one of them disconnects: it may
//! have lost what it was told.

use crate::topology::Topology;
use flamingo_link::subscription::ControlClient;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::id;
use flamingo_wire::stream::{Begun, Key, Knowledge, Origin};
use smallvec::SmallVec;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which a stream is kept; longer than a caller waits for one.
const RETENTION: Duration = Duration::from_mins(1);
/// Interval between two rounds of reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a control instance must acknowledge a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of control instances that keep each stream.
pub const HOLDERS: usize = 2;

/// Reports to send, by control instance.
pub type Reports = BTreeMap<SocketAddr, Vec<Begun>>;

/// A stream that began at this entry.
#[derive(Clone, Debug)]
struct Record {
    /// `None` if the target turned out to have restarted, and either version may have begun it.
    origin: Option<Origin>,
    target: id::Target,
    begun_at: Instant,
    /// Control instances that have acknowledged the stream, or to which it is being reported.
    holders: SmallVec<[SocketAddr; HOLDERS]>,
}

impl Record {
    /// Returns how many of `connected` control instances must have the stream. All of them get an
    /// uncertain origin, since any of them may have been told a certain one.
    fn holders_needed(&self, connected: usize) -> usize {
        match self.origin {
            Some(_) => HOLDERS,
            None => connected,
        }
    }
}

/// The streams that began at this entry a short time ago.
#[derive(Debug, Default)]
pub struct Origins {
    streams: HashMap<Key, Record>,
    /// Streams that may have too few holders.
    due: BTreeSet<Key>,
}

impl Origins {
    /// Records that a target has sent the first event of a stream.
    pub fn record(&mut self, stream: Key, origin: Origin, target: &str, now: Instant) {
        let record = Record {
            origin: Some(origin),
            target: target.to_owned(),
            begun_at: now,
            holders: SmallVec::new(),
        };
        self.streams.insert(stream, record);
        self.due.insert(stream);
    }

    /// Returns where a stream began, if it began here.
    ///
    /// ```
    /// use flamingo_serve::origins::Origins;
    /// use flamingo_wire::stream::{Knowledge, Origin};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let origin = Origin { service: "notes".into(), software: "v1".into() };
    /// let mut origins = Origins::default();
    /// assert_eq!(origins.find(7), Knowledge::Unknown);
    /// origins.record(7, origin.clone(), "engine-1", now);
    /// assert_eq!(origins.find(7), Knowledge::Known(origin));
    /// origins.forget("engine-1", Some(now));
    /// assert_eq!(origins.find(7), Knowledge::Uncertain);
    /// ```
    #[must_use]
    pub fn find(&self, stream: Key) -> Knowledge {
        let record = self.streams.get(&stream);
        record.map_or(Knowledge::Unknown, |record| record.origin.clone().into())
    }

    /// Makes the origin of the streams uncertain that a target has begun since `since`, or of all where
    /// that is `None`: it turned out to have restarted with other software, and either version may have
    /// begun them.
    pub fn forget(&mut self, target: &str, since: Option<Instant>) {
        for (stream, record) in &mut self.streams {
            let may_be_later = since.is_none_or(|since| record.begun_at >= since);
            if record.target == target && may_be_later {
                record.origin = None;
                record.holders.clear();
                self.due.insert(*stream);
            }
        }
    }

    /// Removes the streams that began more than [`RETENTION`] ago.
    pub fn remove_expired(&mut self, now: Instant) {
        self.streams
            .retain(|_, record| now < record.begun_at + RETENTION);
        self.due.retain(|stream| self.streams.contains_key(stream));
    }

    /// Removes a control instance from the holders of all streams, since it has disconnected.
    pub fn remove_holder(&mut self, control: SocketAddr) {
        for (stream, record) in &mut self.streams {
            if record.holders.contains(&control) {
                record.holders.retain(|holder| *holder != control);
                self.due.insert(*stream);
            }
        }
    }

    /// Returns the reports that are due to the control instances in `free`, of the number of
    /// instances that are `connected`, and counts their receivers as holders. `round` shifts the
    /// choice between the instances.
    pub fn take_reports(&mut self, free: &[SocketAddr], connected: usize, round: usize) -> Reports {
        let mut by_origin: BTreeMap<SocketAddr, HashMap<Option<Origin>, Vec<Key>>> =
            BTreeMap::new();
        self.due.retain(|stream| {
            let Some(record) = self.streams.get_mut(stream) else {
                return false;
            };
            let needed = record.holders_needed(connected);
            let start = round.checked_rem(free.len()).unwrap_or(0);
            for control in free.iter().cycle().skip(start).take(free.len()) {
                if record.holders.len() >= needed {
                    break;
                }
                if record.holders.contains(control) {
                    continue;
                }
                record.holders.push(*control);
                let reports = by_origin.entry(*control).or_default();
                let streams = reports.entry(record.origin.clone()).or_default();
                streams.push(*stream);
            }
            record.holders.len() < needed
        });
        let reports = by_origin.into_iter().map(|(control, reports)| {
            let reports = reports.into_iter();
            let begun = reports.map(|(origin, streams)| Begun { origin, streams });
            (control, begun.collect())
        });
        reports.collect()
    }

    /// Handles a report that a control instance has not acknowledged: the streams become due again.
    pub fn return_report(&mut self, control: SocketAddr, report: &[Begun]) {
        for begun in report {
            for stream in &begun.streams {
                let Some(record) = self.streams.get_mut(stream) else {
                    continue;
                };
                if record.origin == begun.origin {
                    record.holders.retain(|holder| *holder != control);
                    self.due.insert(*stream);
                }
            }
        }
    }
}

/// Reports streams that have begun every [`REPORT_INTERVAL`]. A control instance gets no report
/// while another one to it is on its way. Never returns.
pub async fn report(topology: Rc<Topology>, control_client: Rc<ControlClient>) {
    let busy: Rc<RefCell<BTreeSet<SocketAddr>>> = Rc::default();
    let mut round = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        round += 1;
        let mut controls = topology.peers.borrow().connected();
        let connected = controls.len();
        controls.retain(|control| !busy.borrow().contains(control));
        let reports = topology
            .origins
            .borrow_mut()
            .take_reports(&controls, connected, round);
        for (control, report) in reports {
            busy.borrow_mut().insert(control);
            let topology = Rc::clone(&topology);
            let control_client = Rc::clone(&control_client);
            let busy = Rc::clone(&busy);
            tokio::task::spawn_local(async move {
                send_report(&topology, &control_client, control, report).await;
                busy.borrow_mut().remove(&control);
            });
        }
    }
}

/// Sends a report to a control instance, and makes its streams due again if it is not acknowledged.
async fn send_report(
    topology: &Topology,
    control_client: &ControlClient,
    control: SocketAddr,
    report: Vec<Begun>,
) {
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let request = Request::Begun(report);
    let reply = control_client.ask(control, &request, deadline).await;
    if reply != Reply::Acknowledged
        && let Request::Begun(report) = request
    {
        let mut origins = topology.origins.borrow_mut();
        origins.return_report(control, &report);
    }
}

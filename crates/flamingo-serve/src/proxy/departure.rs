//! Records requests that leave the zone, and the round trips that they are judged by.

use super::Proxy;
use super::job::Job;
use crate::choice::Candidate;
use crate::pool::Connection;
use slog::info;
use std::time::Instant;

impl Proxy {
    /// Logs and counts a request that is sent to another zone, with why.
    pub(super) fn record_departure(&self, job: &Job, candidate: &Candidate) {
        let Some(reason) = candidate.departure else {
            return;
        };
        let reason: &str = reason.into();
        info!(self.log, "request leaves zone"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "zone" => &candidate.zone, "why" => reason,
            "bytes" => job.body.len(), "wait_ms" => candidate.first_event_delay.as_millis());
        self.metrics
            .record_departure(&self.zone, &candidate.zone, reason, job.body.len());
    }

    /// Counts bytes of the answer to a request that was sent to another zone.
    pub(super) fn record_departed_answer(&self, candidate: &Candidate, bytes: usize) {
        if let Some(reason) = candidate.departure {
            self.metrics
                .record_departed_answer(&self.zone, &candidate.zone, reason.into(), bytes);
        }
    }

    /// Records that a target has answered, and the round trip to its zone if the connection is new.
    pub(super) fn record_connection(
        &self,
        candidate: &Candidate,
        connection: &Connection,
        now: Instant,
    ) {
        let mut round_trips = self.round_trips.borrow_mut();
        round_trips.record_answer(&candidate.zone);
        if connection.newly_dialled {
            round_trips.record(&candidate.zone, connection.connect_time, now);
        }
    }

    /// Records that no connection to a target could be established.
    pub(super) fn record_unreached(&self, candidate: &Candidate, now: Instant) {
        let mut round_trips = self.round_trips.borrow_mut();
        round_trips.record_failure(&candidate.zone, now);
    }
}

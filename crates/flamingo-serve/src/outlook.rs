//! What a request that goes on with a stream can expect of the targets of the stream's software version.
//!
//! New requests take any version, so what all targets offer together says nothing about one version: it
//! may have lost its only target with the model while the others serve.

use crate::table::{Table, Target};
use flamingo_guard::observer::Life;
use std::cmp::Reverse;
use std::time::Instant;
use strum::IntoStaticStr;

/// A stream that is to go on.
#[derive(Clone, Copy, Debug)]
pub struct Stream<'a> {
    /// Service of the stream.
    pub service: &'a str,
    /// Version of the software at which the stream began.
    pub software: &'a str,
    /// Model of the stream; `None` at a plain service.
    pub model: Option<&'a str>,
    /// Incarnations of targets that broke off or could not be reached.
    pub lost: &'a [Life],
}

/// What the targets of one version offer, from the worst to the best case.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Outlook {
    /// No target of the version has registered with this entry.
    Unheard,
    /// All targets of the version leave or have gone.
    Left,
    /// The targets of the version have broken off under this request, and answer others.
    BrokenOff,
    /// The targets of the version can't be reached; one of them may be about to return.
    Unreached,
    /// Targets of the version can be reached, but none of them has the model or loads it.
    NoModel,
    /// A target of the version is loading the model, and is expected to have it then; the earlier the
    /// better.
    Loading(Reverse<Instant>),
    /// A target of the version has the model, or needs none.
    Serving,
}

impl Outlook {
    /// Returns what the targets of a version offer at `now`.
    ///
    /// ```
    /// use flamingo_serve::outlook::{Outlook, Stream};
    /// use flamingo_serve::table::Table;
    /// use std::time::Instant;
    ///
    /// let stream = Stream { service: "s", software: "v1", model: Some("m"), lost: &[] };
    /// let outlook = Outlook::of(&Table::default(), &stream, Instant::now());
    /// assert_eq!(outlook, Outlook::Unheard);
    /// ```
    #[must_use]
    pub fn of(table: &Table, stream: &Stream<'_>, now: Instant) -> Self {
        let targets = table.of_service(stream.service);
        let targets = targets.filter(|target| target.registration.software == stream.software);
        let outlooks = targets.map(|target| Self::of_target(table, target, stream, now));
        outlooks.max().unwrap_or(Self::Unheard)
    }

    fn of_target(table: &Table, target: &Target, stream: &Stream<'_>, now: Instant) -> Self {
        let registration = &target.registration;
        let life = (registration.id.clone(), registration.incarnation);
        let lost = stream.lost.contains(&life);
        if !target.accepts_requests() {
            return Self::Left;
        }
        let unreached = lost && target.has_failed();
        if unreached || target.is_avoided(now) || table.heartbeat_overdue(target) {
            return Self::Unreached;
        }
        if lost {
            return Self::BrokenOff;
        }
        let Some(model) = stream.model else {
            return Self::Serving;
        };
        if target.has_model(model, now) {
            return Self::Serving;
        }
        let ready_at = target.ready_at(model, now).map(Reverse);
        ready_at.map_or(Self::NoModel, Self::Loading)
    }
}

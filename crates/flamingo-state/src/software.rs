//! Software versions of targets that serve, or served a short time ago.
//!
//! No target is used before its version is recorded here, and a version stays for longer than any
//! entry uses targets of which the leader hears nothing. So a service with one version here has no
//! stream of another version that a caller may still go on with.

use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::stream::Origin;
use flamingo_wire::{Fault, id};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Time for which a version is kept after it was last confirmed; far longer than regions lose each
/// other.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Largest number of versions of all services.
pub const MAX_VERSIONS: usize = 1_024;

/// When each version of a service was last confirmed.
type Versions = BTreeMap<id::Software, SystemTime>;

/// Versions of all services.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Software {
    services: BTreeMap<id::Service, Versions>,
}

impl Software {
    /// Records that a version serves, or is about to.
    ///
    /// ```
    /// use flamingo_state::software::Software;
    /// use flamingo_wire::stream::Origin;
    /// use std::time::SystemTime;
    ///
    /// let now = SystemTime::now();
    /// let mut software = Software::default();
    /// software.confirm(Origin { service: "notes".into(), software: "v1".into() }, now);
    /// assert_eq!(software.versions("notes"), ["v1"]);
    /// ```
    pub fn confirm(&mut self, origin: Origin, now: SystemTime) -> Reply {
        self.expire(now);
        let known = self.confirmed_at(&origin).is_some();
        let count: usize = self.services.values().map(BTreeMap::len).sum();
        if !known && count >= MAX_VERSIONS {
            return Reply::Refused(full_fault());
        }
        let versions = self.services.entry(origin.service).or_default();
        versions.insert(origin.software, now);
        Reply::Acknowledged
    }

    /// Returns the versions of a service.
    #[must_use]
    pub fn versions(&self, service: &str) -> Vec<id::Software> {
        let versions = self.services.get(service);
        versions.map_or_else(Vec::new, |versions| versions.keys().cloned().collect())
    }

    /// Returns when a version was last confirmed; `None` if that was too long ago, or never.
    #[must_use]
    pub fn confirmed_at(&self, origin: &Origin) -> Option<SystemTime> {
        let versions = self.services.get(&origin.service)?;
        versions.get(&origin.software).copied()
    }

    /// Removes the versions that were last confirmed more than [`RETENTION`] ago.
    fn expire(&mut self, now: SystemTime) {
        for versions in self.services.values_mut() {
            versions.retain(|_, at| now.duration_since(*at).unwrap_or_default() < RETENTION);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}

fn full_fault() -> Fault {
    let message = format!("{MAX_VERSIONS} software versions are recorded already");
    let help = "look for targets that state a version of their own in each heartbeat";
    Fault::not_run(Reason::Invalid, message, help)
}

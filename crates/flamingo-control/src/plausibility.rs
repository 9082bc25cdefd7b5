//! Registrations that no target can have sent.
//!
//! Another writer may register a target by mistake. What it says is well-formed, and would be used.

use flamingo_wire::target::Registration;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest name of a target, service, zone, version, model or adapter, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest number of models and adapters of one kind that a target lists.
const MAX_NAMES: usize = 4_096;
/// Largest number of requests that a target runs concurrently.
const MAX_SLOTS: u32 = 65_535;
/// Largest sequence: the largest number that every writer of JSON keeps exactly.
const MAX_SEQUENCE: u64 = 1 << 53;
/// Time by which a target's clock may be ahead of that of this process.
const MAX_CLOCK_LEAD: Duration = Duration::from_hours(1);

/// Returns why no target can have sent a registration that arrives at the wall-clock time `now`; `None`
/// if one can.
///
/// ```
/// use flamingo_control::plausibility::problem;
/// use flamingo_test_support::registration::registration;
/// use std::time::SystemTime;
///
/// let mut target = registration("t");
/// assert_eq!(problem(&target, SystemTime::now()), None);
/// target.address.set_port(0);
/// assert!(problem(&target, SystemTime::now()).is_some());
/// ```
#[must_use]
pub fn problem(registration: &Registration, now: SystemTime) -> Option<String> {
    address_problem(registration.address)
        .or_else(|| number_problem(registration, now))
        .or_else(|| name_problem(registration))
}

fn address_problem(address: SocketAddr) -> Option<String> {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    let is_unreachable = ip.is_unspecified() || ip.is_multicast() || is_broadcast;
    (is_unreachable || address.port() == 0).then(|| format!("no target has the address {address}"))
}

fn number_problem(registration: &Registration, now: SystemTime) -> Option<String> {
    let Registration {
        slots,
        sequence,
        incarnation,
        ..
    } = registration;
    if !(1..=MAX_SLOTS).contains(slots) {
        return Some(format!("{slots} slots; 1 to {MAX_SLOTS} are allowed"));
    }
    if *sequence > MAX_SEQUENCE {
        return Some(format!("sequence {sequence} is above {MAX_SEQUENCE}"));
    }
    let latest = now + MAX_CLOCK_LEAD;
    let latest_ms = latest.duration_since(UNIX_EPOCH).unwrap_or_default();
    (u128::from(*incarnation) > latest_ms.as_millis())
        .then(|| format!("the start at {incarnation} ms lies in the future"))
}

fn name_problem(registration: &Registration) -> Option<String> {
    let models = &registration.models;
    let adapters = models.iter().flat_map(|resident| &resident.adapters);
    let lists = [
        models.len(),
        adapters.clone().count(),
        registration.in_memory.len(),
        registration.on_disk.len(),
    ];
    if lists.iter().any(|names| *names > MAX_NAMES) {
        return Some(format!("a list has more than {MAX_NAMES} names"));
    }
    let own = [
        &registration.id,
        &registration.service,
        &registration.zone,
        &registration.software,
    ];
    let mut names = own
        .into_iter()
        .chain(models.iter().map(|resident| &resident.model))
        .chain(adapters)
        .chain(&registration.in_memory)
        .chain(&registration.on_disk);
    names
        .any(|name| name.len() > MAX_NAME_BYTES)
        .then(|| format!("a name has more than {MAX_NAME_BYTES} bytes"))
}

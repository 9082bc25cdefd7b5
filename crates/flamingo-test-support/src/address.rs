//! Loopback addresses that no two tests share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

static NEXT: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that no other running test uses, so that tests can listen on fixed
/// ports.
///
/// The address is derived from the process id and a counter.
///
/// # Panics
///
/// Panics after 250 addresses in one process.
#[must_use]
pub fn host() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(last < 250, "too many hosts in one test process");
    IpAddr::V4(Ipv4Addr::new(127, high % 250 + 1, low, last))
}

/// Returns the address of `port` on `host`.
#[must_use]
pub fn at(host: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(host, port)
}

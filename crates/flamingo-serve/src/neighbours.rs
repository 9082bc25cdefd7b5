//! Entries that take requests from other entries.
//!
//! Control instances name a few entries at a time that reach targets. An entry remembers what it heard
//! for [`MEMORY`], so that it knows some of them when it reaches no target itself.

use flamingo_wire::id;
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a named entry is remembered.
pub const MEMORY: Duration = Duration::from_secs(30);
/// Maximum number of entries that are remembered, in all zones together.
pub const MAX_KNOWN: usize = 32;

/// An entry that a control instance has named.
#[derive(Clone, Debug)]
struct Known {
    zone: id::Zone,
    /// When the entry is forgotten, unless it is named again.
    expires: Instant,
}

/// Entries that were named lately as taking requests of other entries.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    known: BTreeMap<SocketAddr, Known>,
    /// When each entry that failed or had no room may be chosen again.
    aside: BTreeMap<SocketAddr, Instant>,
}

impl Neighbours {
    /// Records that entries of `zone` were named. Beyond [`MAX_KNOWN`] the oldest of the zone with the
    /// most entries are forgotten, so that some of each zone stay known.
    pub fn record(&mut self, zone: &id::Zone, addresses: &[SocketAddr], now: Instant) {
        self.known.retain(|_, known| now < known.expires);
        self.aside.retain(|_, until| now < *until);
        for address in addresses {
            let known = Known {
                zone: zone.clone(),
                expires: now + MEMORY,
            };
            self.known.insert(*address, known);
            if self.known.len() > MAX_KNOWN {
                self.forget_one();
            }
        }
    }

    /// Forgets the oldest entry of the zone with the most entries.
    fn forget_one(&mut self) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for known in self.known.values() {
            *counts.entry(&known.zone).or_default() += 1;
        }
        let largest = counts.into_iter().max_by_key(|(_, count)| *count);
        let Some((zone, _)) = largest else {
            return;
        };
        let in_zone = self.known.iter().filter(|(_, known)| known.zone == zone);
        let oldest = in_zone.min_by_key(|(_, known)| known.expires);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.known.remove(&address);
        }
    }

    /// Returns the entry to which a request goes; `None` where no entry is left. Entries of `own_zone` go
    /// before others. `salt` draws among them: equal salts draw the same entry, and different ones spread.
    /// Neither this entry, which is at `own`, nor those in `tried` or put aside are returned.
    ///
    /// ```
    /// use flamingo_serve::neighbours::Neighbours;
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let near = "10.0.1.1:4000".parse().unwrap();
    /// let far = "10.0.2.1:4000".parse().unwrap();
    /// let zone = "a".to_owned();
    /// let mut neighbours = Neighbours::default();
    /// neighbours.record(&zone, &[near], now);
    /// neighbours.record(&"b".to_owned(), &[far], now);
    /// assert_eq!(neighbours.choose(&zone, None, &[], 7, now), Some(near));
    /// assert_eq!(neighbours.choose(&zone, None, &[near], 7, now), Some(far));
    /// assert_eq!(neighbours.choose(&zone, Some(far), &[near], 7, now), None);
    /// ```
    #[must_use]
    pub fn choose(
        &self,
        own_zone: &id::Zone,
        own: Option<SocketAddr>,
        tried: &[SocketAddr],
        salt: u64,
        now: Instant,
    ) -> Option<SocketAddr> {
        let usable = self.known.iter().filter(|(address, known)| {
            let is_aside = self.aside.get(address).is_some_and(|until| now < *until);
            now < known.expires && own != Some(**address) && !tried.contains(address) && !is_aside
        });
        let drawn = usable.max_by_key(|(address, known)| {
            let is_near = known.zone == *own_zone;
            (is_near, weight(salt, **address))
        });
        drawn.map(|(address, _)| *address)
    }

    /// Puts an entry aside that failed or refused for lack of room: it isn't chosen before `until`.
    ///
    /// ```
    /// use flamingo_serve::neighbours::Neighbours;
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let until = now + Duration::from_secs(1);
    /// let address = "10.0.1.1:4000".parse().unwrap();
    /// let zone = "a".to_owned();
    /// let mut neighbours = Neighbours::default();
    /// neighbours.record(&zone, &[address], now);
    /// neighbours.put_aside(address, until);
    /// assert_eq!(neighbours.choose(&zone, None, &[], 7, now), None);
    /// assert_eq!(neighbours.choose(&zone, None, &[], 7, until), Some(address));
    /// ```
    pub fn put_aside(&mut self, address: SocketAddr, until: Instant) {
        let known = self.aside.entry(address).or_insert(until);
        *known = until.max(*known);
    }

    /// Returns the number of entries that are known now, those put aside included.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        let known = self.known.values();
        known.filter(|known| now < known.expires).count()
    }
}

/// Returns the weight of an entry in the draw of `salt` (highest random weight, Thaler and Ravishankar
/// 1998): the loss of one entry moves only what was drawn for it.
fn weight(salt: u64, address: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (salt, address).hash(&mut hasher);
    hasher.finish()
}

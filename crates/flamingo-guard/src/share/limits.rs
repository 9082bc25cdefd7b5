//! What an entry knows of the workspaces that are above their share.

use super::{LIMITS_LIFETIME, Pool, Standing};
use flamingo_wire::id;
use flamingo_wire::share::Limit;
use std::collections::BTreeMap;
use std::time::Instant;

/// The limits that the leader published last. They end by themselves, so that an entry that is cut off
/// limits nothing.
///
/// ```
/// use flamingo_guard::share::limits::Limits;
/// use flamingo_guard::share::{LIMITS_LIFETIME, Pool, Standing};
/// use flamingo_wire::share::Limit;
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let limit = Limit {
///     workspace: "a".into(),
///     rank: 1,
///     service: "s".into(),
///     model: None,
///     permille: 400,
/// };
/// let pool = Pool { service: "s".into(), model: Some("m".into()), rank: 1 };
/// let mut limits = Limits::default();
/// limits.replace(&[limit], now);
/// assert_eq!(limits.standing(&pool, "a", 0.3, now), Standing::WithinShare);
/// assert_eq!(limits.standing(&pool, "a", 0.45, now), Standing::NearShare);
/// assert_eq!(limits.standing(&pool, "a", 0.6, now), Standing::AboveShare);
/// assert_eq!(limits.standing(&pool, "b", 0.5, now), Standing::Unlimited);
/// let later = now + LIMITS_LIFETIME;
/// assert_eq!(limits.standing(&pool, "a", 0.6, later), Standing::Unlimited);
/// ```
#[derive(Debug, Default)]
pub struct Limits {
    /// Parts of the work that are within the share, in thousandths.
    parts: BTreeMap<(Pool, id::Workspace), u16>,
    /// When the limits end; `None` before the first.
    until: Option<Instant>,
}

impl Limits {
    /// Replaces all limits by those that the leader has published.
    pub fn replace(&mut self, limits: &[Limit], now: Instant) {
        self.until = Some(now + LIMITS_LIFETIME);
        let limits = limits.iter().map(|limit| {
            let pool = Pool {
                service: limit.service.clone(),
                model: limit.model.clone(),
                rank: limit.rank,
            };
            ((pool, limit.workspace.clone()), limit.permille)
        });
        self.parts = limits.collect();
    }

    /// Returns how a request stands to the share of its workspace, by the tighter one of the limits on
    /// its model and on its service. `draw` is evenly distributed from 0 to 1 over requests.
    #[must_use]
    pub fn standing(&self, pool: &Pool, workspace: &str, draw: f64, now: Instant) -> Standing {
        if self.parts.is_empty() || self.until.is_none_or(|until| now >= until) {
            return Standing::Unlimited;
        }
        let whole = Pool {
            model: None,
            ..pool.clone()
        };
        let part = |pool: Pool| self.parts.get(&(pool, workspace.to_owned()));
        match part(pool.clone()).into_iter().chain(part(whole)).min() {
            None => Standing::Unlimited,
            Some(permille) => Standing::of(draw, f64::from(*permille) / 1_000.0),
        }
    }

    /// Returns the number of limits in force.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        if self.until.is_some_and(|until| now < until) {
            self.parts.len()
        } else {
            0
        }
    }
}

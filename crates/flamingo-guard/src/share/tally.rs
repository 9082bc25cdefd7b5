//! What an entry counts of the work of workspaces, for its reports to the leader.

use super::Pool;
use flamingo_wire::id;
use flamingo_wire::share::Use;
use std::collections::BTreeMap;

/// Work of workspaces since the last report.
///
/// ```
/// use flamingo_guard::share::Pool;
/// use flamingo_guard::share::tally::{Event, Tally};
///
/// let pool = Pool { service: "s".into(), model: None, rank: 1 };
/// let mut tally = Tally::default();
/// tally.record(&pool, "a", 30.0, Event::Admitted);
/// tally.record(&pool, "a", 20.0, Event::Refused);
/// let uses = tally.take();
/// assert_eq!((uses[0].admitted, uses[0].refused), (30, 20));
/// assert!(tally.take().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Tally {
    uses: BTreeMap<(Pool, id::Workspace), Use>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// It was let in.
    Admitted,
    /// It was let in, and had to join a long queue.
    Pressed,
    /// It was let in before, and targets turned it away.
    TurnedAway,
    /// A target has begun to answer it.
    Begun,
    /// It was rejected for lack of room or by a limit.
    Refused,
}

impl Tally {
    /// Counts a request that takes `work_ms` milliseconds of an engine.
    pub fn record(&mut self, pool: &Pool, workspace: &str, work_ms: f64, event: Event) {
        // Positive, and far below the largest integer; the cast saturates.
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "rounded up, and saturates"
        )]
        let work = work_ms.ceil().max(1.0) as u32;
        let key = (pool.clone(), workspace.to_owned());
        let record = self.uses.entry(key).or_insert_with(|| Use {
            workspace: workspace.to_owned(),
            rank: pool.rank,
            service: pool.service.clone(),
            model: pool.model.clone(),
            ..Use::default()
        });
        let add = |sum: &mut u32| *sum = sum.saturating_add(work);
        match event {
            Event::Admitted => add(&mut record.admitted),
            Event::Pressed => {
                add(&mut record.admitted);
                add(&mut record.pressed);
            }
            Event::TurnedAway => add(&mut record.pressed),
            Event::Begun => add(&mut record.begun),
            Event::Refused => add(&mut record.refused),
        }
    }

    /// Returns the work since the last call and resets the counts.
    #[must_use]
    pub fn take(&mut self) -> Vec<Use> {
        std::mem::take(&mut self.uses).into_values().collect()
    }
}

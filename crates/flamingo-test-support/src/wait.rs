//! Waits for events.

use std::future::Future;
use std::time::{Duration, Instant};

/// Time after which a wait gives up; far above what any wait needs.
const LIMIT: Duration = Duration::from_mins(1);
/// Time between two looks.
const STEP: Duration = Duration::from_millis(20);

/// Looks until `look` gives a value.
///
/// # Panics
///
/// Panics with `what` where no value came for a minute.
pub async fn until<T, F>(what: &str, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + LIMIT;
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        actix_rt::time::sleep(STEP).await;
    }
}

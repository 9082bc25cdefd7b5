//! Polls for events instead of sleeping for a fixed time.

use std::future::Future;
use std::time::{Duration, Instant};

/// Time after which a wait fails; far above what any wait needs.
const TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `look` until it returns a value.
///
/// # Panics
///
/// Panics with `what` if there is no value within a minute.
pub async fn until<T, F>(what: &str, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

//! Announces a target to an entry periodically.

use flamingo_wire::announce::Announcement;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval between two announcements.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the next entry is tried.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Sends the announcement that `next` returns to the first of `entries` that accepts it, every
/// [`INTERVAL`] and after each `changed`. Sends nothing while `next` returns `None`. Never returns.
pub async fn run(
    entries: Vec<SocketAddr>,
    changed: Arc<Notify>,
    next: impl Fn() -> Option<Announcement>,
) {
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    loop {
        if let Some(announcement) = next() {
            send(&client, &entries, &announcement).await;
        }
        let _ = tokio::time::timeout(INTERVAL, changed.notified()).await;
    }
}

async fn send(client: &awc::Client, entries: &[SocketAddr], announcement: &Announcement) {
    for entry in entries {
        let url = format!("http://{entry}/targets/announce");
        let sent = client.post(url).send_json(announcement).await;
        if sent.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
    }
}

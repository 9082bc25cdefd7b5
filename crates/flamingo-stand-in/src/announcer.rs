//! Repeats a target's announcement to an entry.

use flamingo_wire::announce::Announcement;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two announcements.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// Sends what `next` gives to the first of `entries` that takes it, for ever.
pub async fn run(entries: Vec<SocketAddr>, next: impl Fn() -> Announcement) {
    let client = awc::Client::default();
    loop {
        let announcement = next();
        for entry in &entries {
            let url = format!("http://{entry}/targets/announce");
            let sent = client.post(url).send_json(&announcement).await;
            if sent.is_ok_and(|answer| answer.status().is_success()) {
                break;
            }
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
}

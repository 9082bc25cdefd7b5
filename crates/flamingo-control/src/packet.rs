//! Packets that control instances send to each other on their `Log.Send` streams.

use flamingo_log::Message;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Interval of heartbeats on a stream, in both directions.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a packet from the other end after which a stream is dropped and reopened.
pub const STREAM_TIMEOUT: Duration = Duration::from_secs(2);

/// One packet of the `Log.Send` stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Packet {
    /// Shows that the stream is alive.
    #[serde(rename = "Beat")]
    Heartbeat,
    /// A message of the log.
    Log(Message),
}

//! What control instances send to each other on their streams.

use flamingo_log::Message;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time between two heartbeats of a stream that has nothing else to say.
pub const BEAT: Duration = Duration::from_millis(500);
/// Silence after which a stream is dropped and dialled again.
pub const SILENCE: Duration = Duration::from_secs(2);

/// One packet of the `Log.Send` stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Packet {
    /// The stream is alive.
    Beat,
    /// A message of the log.
    Log(Message),
}

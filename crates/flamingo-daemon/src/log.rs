//! Logs of JSON lines that never block the process.
//!
//! Lines go through a bounded queue to a separate thread. Where the queue is full or the output
//! fails, lines are dropped; a later line gives the number of those dropped from the queue.

use slog::{Drain, Level, Logger, o};
use std::io::Write;

/// Maximum number of lines in the queue; further lines are dropped.
const QUEUE_LINES: usize = 8_192;

/// Returns the root logger of the process `node`, which writes to standard error.
///
/// ```
/// let log = flamingo_daemon::log::root("entry-1", slog::Level::Info);
/// slog::info!(log, "ready"; "zone" => "seq-a");
/// ```
pub fn root(node: &str, level: Level) -> Logger {
    with_output(node, level, std::io::stderr())
}

/// Returns a root logger of the process `node` that writes to `out`.
pub fn with_output(node: &str, level: Level, out: impl Write + Send + 'static) -> Logger {
    let json = slog_json::Json::new(out).add_default_keys().build();
    let filtered = json.filter_level(level).ignore_res();
    let queued = slog_async::Async::new(filtered)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(queued.ignore_res(), o!("node" => node.to_owned()))
}

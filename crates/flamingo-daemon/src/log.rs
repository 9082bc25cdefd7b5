//! JSON-line logs that never stop serving.
//!
//! Lines go through a bounded queue to a thread of their own. Where the output
//! is full or closed, lines are dropped and counted; the process goes on.

use slog::{Drain, Level, Logger, o};
use std::io::Write;

/// Lines that may wait for the output before new ones are dropped.
const QUEUE: usize = 8_192;

/// Builds the root logger, which writes to standard error.
///
/// ```
/// let log = flamingo_daemon::log::root("entry-1", slog::Level::Info);
/// slog::info!(log, "ready"; "zone" => "seq-a");
/// ```
pub fn root(node: &str, level: Level) -> Logger {
    with_output(node, level, std::io::stderr())
}

/// Builds a root logger that writes to `out`.
pub fn with_output(node: &str, level: Level, out: impl Write + Send + 'static) -> Logger {
    let json = slog_json::Json::new(out).add_default_keys().build();
    let filtered = json.filter_level(level).ignore_res();
    let queued = slog_async::Async::new(filtered)
        .chan_size(QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(queued.ignore_res(), o!("node" => node.to_owned()))
}

//! Errors of the tool.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why a run, a comparison or a plot failed.
    #[derive(Debug)]
    pub enum Error {
        /// A workload or a set is invalid.
        Settings(error: flamingo_settings::Error) {
            from()
            display("{error}")
        }
        /// A file can't be read or written.
        File(path: PathBuf, message: String) {
            display("{}: {message}", path.display())
        }
        /// A plot can't be drawn.
        Plot(message: String) {
            display("can't draw the plot: {message}")
        }
    }
}

//! Why a command failed, and the exit code that says so.

use quick_error::quick_error;
use std::net::SocketAddr;
use std::process::ExitCode;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// No named instance can be reached, or none answered to the end.
        Unreachable(at: Vec<SocketAddr>, message: String) {
            display("no answer from {at:?}: {message}\nname instances that run with --at IP:PORT")
        }
        /// The instance refused.
        Refused(message: String, help: String) {
            display("{message}\n{help}")
        }
        /// Another operator's change won.
        Conflict(message: String, help: String) {
            display("{message}\n{help}")
        }
        /// Settings or a set are wrong.
        Settings(err: flamingo_settings::Error) {
            from()
            display("{err}")
        }
        /// The command line is wrong.
        Usage(message: String) {
            display("{message}\nsee flamingoctl --help")
        }
        /// The instance gave an answer of another kind.
        Answer(seen: String) {
            display("unexpected answer: {seen}\nrun the same version of client and instance")
        }
    }
}

impl Error {
    /// Returns the exit code: 1 refused, 2 usage, 3 unreachable, 4 conflict,
    /// 5 settings.
    #[must_use]
    pub fn code(&self) -> ExitCode {
        let code = match self {
            Self::Refused(..) | Self::Answer(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(..) => 3,
            Self::Conflict(..) => 4,
            Self::Settings(_) => 5,
        };
        ExitCode::from(code)
    }
}

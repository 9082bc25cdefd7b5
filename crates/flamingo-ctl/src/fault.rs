//! The errors of commands and their exit codes.

use quick_error::quick_error;
use std::net::SocketAddr;
use std::process::ExitCode;

quick_error! {
    /// The cause of a failed command.
    #[derive(Debug)]
    pub enum Error {
        /// None of the given instances returned a complete answer, or each one that did reported
        /// that it knows no leader or is stopping. `message` describes the last failure.
        Unreachable(at: Vec<SocketAddr>, message: String) {
            display("no answer from {at:?}: {message}\ngive the addresses of running instances with --at IP:PORT")
        }
        /// The instance rejected the request.
        Refused(message: String, help: String) {
            display("{message}\n{help}")
        }
        /// The configuration was changed after the version that the change is based on.
        Conflict(message: String, help: String) {
            display("{message}\n{help}")
        }
        /// A settings file or a set file is invalid.
        Settings(err: flamingo_settings::Error) {
            from()
            display("{err}")
        }
        /// The command line is invalid, or a file that it names can't be read.
        Usage(message: String) {
            display("{message}\nsee flamingoctl --help")
        }
        /// The answer can't be parsed or doesn't belong to the request, as happens between
        /// different versions of client and instance.
        UnexpectedAnswer(answer: String) {
            display("unexpected answer: {answer}\nrun the same version of client and instance")
        }
    }
}

impl Error {
    /// Returns the exit code: 1 rejected or unexpected answer, 2 usage, 3 unreachable,
    /// 4 conflict, 5 settings.
    #[must_use]
    pub fn code(&self) -> ExitCode {
        let code = match self {
            Self::Refused(..) | Self::UnexpectedAnswer(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(..) => 3,
            Self::Conflict(..) => 4,
            Self::Settings(_) => 5,
        };
        ExitCode::from(code)
    }
}

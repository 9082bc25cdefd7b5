//! Why a process can't start, for the person who started it: one line for each problem, with
//! what to do.

use crate::tls;
pub use flamingo_settings::reader::format_problems;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Exit status for unusable settings, the same as that of `flamingoctl`.
pub const EXIT_STATUS: i32 = 5;
/// Exit status for an invalid command line, the same as that of `flamingoctl`.
pub const USAGE_STATUS: i32 = 2;
/// Exit status for all other errors.
const OTHER_STATUS: i32 = 1;
/// Name of the file that is created, and removed, to find out whether a folder can be written.
const PROBE: &str = ".writable";

quick_error! {
    /// Something that the settings name and that the process can't use.
    #[derive(Debug)]
    pub enum Problem {
        /// The process can't listen on the address.
        Listener(field: &'static str, address: SocketAddr, err: io::Error) {
            display("'{field}' is {address}, but the process can't listen on it: {err}; \
                stop the process that uses the address, or set another one")
            source(err)
        }
        /// The folder can't be created or written.
        Folder(field: &'static str, path: PathBuf, err: io::Error) {
            display("'{field}' is {}, but the folder can't be written: {err}; \
                set a folder on a writable disk with free space", path.display())
            source(err)
        }
        /// A key file can't be used.
        Keys(field: &'static str, problem: String) {
            display("'{field}' is {problem}")
        }
        /// Certificate or key of the listener can't be used.
        Tls(err: tls::Error) {
            display("[tls]: {err}")
            source(err)
        }
    }
}

quick_error! {
    /// Why a process can't start.
    #[derive(Debug)]
    pub enum Error {
        /// The settings name these things that can't be used.
        Unusable(list: Vec<Problem>) {
            display("{}", format_problems(list))
        }
    }
}

/// Tries what the settings name, and collects all problems instead of stopping at the first.
///
/// ```
/// use flamingo_daemon::startup::Check;
///
/// let mut check = Check::default();
/// let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// check.listener("[listen] http", taken.local_addr().unwrap());
/// assert!(check.finish(Some(())).unwrap_err().to_string().ends_with("1 problem"));
/// ```
#[derive(Debug, Default)]
pub struct Check {
    problems: Vec<Problem>,
    /// Addresses that were tried.
    tried: Vec<SocketAddr>,
}

impl Check {
    /// Tries to bind `address`, which comes from `field` of the settings, without listening there:
    /// a caller that connects meanwhile is refused, and is not cut off once the check ends.
    pub fn listener(&mut self, field: &'static str, address: SocketAddr) {
        let is_taken = self.tried.iter().any(|tried| overlap(*tried, address));
        let bound = if is_taken {
            Err(io::ErrorKind::AddrInUse.into())
        } else {
            try_binding(address)
        };
        self.tried.push(address);
        if let Err(error) = bound {
            self.problems.push(Problem::Listener(field, address, error));
        }
    }

    /// Tries to write to the folder `path`, which comes from `field` of the settings. A full disk is
    /// no problem here: the process runs and says so.
    pub fn folder(&mut self, field: &'static str, path: &Path) {
        let written = create_folder(field, path).and_then(|()| try_writing(field, path));
        self.problems.extend(written.err());
    }

    /// Returns what was opened, or `None` and keeps the problems.
    pub fn take<T>(&mut self, opened: Result<T, Error>) -> Option<T> {
        match opened {
            Ok(value) => Some(value),
            Err(Error::Unusable(list)) => {
                self.problems.extend(list);
                None
            }
        }
    }

    /// Returns `value` if there was no problem.
    ///
    /// # Errors
    ///
    /// Returns all problems.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Error> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(Error::Unusable(self.problems)),
        }
    }
}

/// Returns whether listeners on two addresses exclude each other.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let same_port = one.port() == other.port() && one.port() != 0;
    let is_any = one.ip().is_unspecified() || other.ip().is_unspecified();
    same_port && (is_any || one.ip() == other.ip())
}

/// Binds an address as a listener would, and frees it.
fn try_binding(address: SocketAddr) -> io::Result<()> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)
}

/// Listens on `address`, which comes from `field` of the settings.
///
/// # Errors
///
/// Returns an error that names `field` where the address can't be bound.
pub async fn listen(
    field: &'static str,
    address: SocketAddr,
) -> Result<tokio::net::TcpListener, Problem> {
    let bound = tokio::net::TcpListener::bind(address).await;
    bound.map_err(|error| Problem::Listener(field, address, error))
}

/// Creates the folder `path`, which comes from `field` of the settings, if it does not exist.
///
/// # Errors
///
/// Returns an error that names `field` where the folder can't be created.
pub fn create_folder(field: &'static str, path: &Path) -> Result<(), Problem> {
    std::fs::create_dir_all(path).map_err(|error| Problem::Folder(field, path.to_owned(), error))
}

fn try_writing(field: &'static str, path: &Path) -> Result<(), Problem> {
    let probe = path.join(PROBE);
    let written = std::fs::File::create(&probe).and_then(|_| std::fs::remove_file(probe));
    match written {
        Err(error) if error.kind() != io::ErrorKind::StorageFull => {
            Err(Problem::Folder(field, path.to_owned(), error))
        }
        _ => Ok(()),
    }
}

/// Returns what a person should read about `error`, which ended a process with the settings
/// `file`.
#[must_use]
pub fn explain(file: &Path, error: &(dyn std::error::Error + 'static)) -> String {
    let file = file.display();
    let with_file = |problem: &Problem| format!("{file}: {problem}");
    if let Some(Error::Unusable(list)) = error.downcast_ref() {
        return format_problems(list.iter().map(with_file));
    }
    match error.downcast_ref() {
        Some(problem) => format_problems([with_file(problem)]),
        None => error.to_string(),
    }
}

/// Returns the exit status for `error`.
#[must_use]
pub fn status(error: &(dyn std::error::Error + 'static)) -> i32 {
    if error.is::<Problem>() || error.is::<Error>() {
        EXIT_STATUS
    } else {
        OTHER_STATUS
    }
}

/// Prints why the process can't run, and ends the process with `status`.
pub fn fail(message: &str, status: i32) -> ! {
    eprintln!("{message}");
    std::process::exit(status);
}

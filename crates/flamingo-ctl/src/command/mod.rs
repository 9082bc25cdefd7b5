//! The commands, one to a file.

mod config_apply;
mod config_diff;
mod config_history;
mod config_rollback;
mod config_show;
mod config_validate;
mod drain;
mod model;
mod moves;
mod placement;
mod placement_dry_run;
mod placement_explain;
mod profile;
mod service;
mod snapshot;
mod status;
mod target;
mod trace;
mod undrain;

use crate::client::Client;
use crate::fault::Error;
use crate::output::Output;
use flamingo_wire::id;
use futures_util::future::LocalBoxFuture;

/// What a run of a command gives.
pub type Run<'a> = LocalBoxFuture<'a, Result<Output, Error>>;

/// One way to call a command.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// The words after `flamingoctl`.
    pub line: &'static str,
    /// What it does.
    pub description: &'static str,
}

/// A command of the client.
pub trait Command {
    /// Its name, of one word or two.
    fn name(&self) -> &'static str;
    /// Its arguments, for the help; each must be given, and the last one as often as wanted
    /// where its name ends in `...`.
    fn arguments(&self) -> &'static [&'static str];
    /// What it does, in one line.
    fn description(&self) -> &'static str;
    /// Ways to call it.
    fn examples(&self) -> &'static [Example];
    /// Runs it with the arguments that were given.
    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> Run<'a>;
}

/// Returns every command, in the order of the help.
#[must_use]
pub fn all() -> Vec<Box<dyn Command>> {
    vec![
        Box::new(status::Status),
        Box::new(profile::Profile),
        Box::new(model::Model),
        Box::new(service::Service),
        Box::new(target::Target),
        Box::new(drain::Drain),
        Box::new(undrain::Undrain),
        Box::new(placement::Placement),
        Box::new(placement_explain::Explain),
        Box::new(placement_dry_run::DryRun),
        Box::new(moves::Moves),
        Box::new(config_show::Show),
        Box::new(config_validate::Validate),
        Box::new(config_diff::Diff),
        Box::new(config_apply::Apply),
        Box::new(config_history::History),
        Box::new(config_rollback::Rollback),
        Box::new(snapshot::Snapshot),
        Box::new(trace::Trace),
    ]
}

/// Returns who asks, for the history.
fn author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// Returns a fresh identity for a change.
///
/// # Errors
///
/// Returns an error where the system gives no random bytes: two changes under
/// one identity would pass for a resend.
fn change_id() -> Result<id::Change, Error> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes)
        .map_err(|error| Error::Refused("no random bytes".to_owned(), error.to_string()))?;
    Ok(format!("{:032x}", u128::from_le_bytes(bytes)))
}

/// Builds the error of an answer of another kind.
fn unexpected(answer: &impl std::fmt::Debug) -> Error {
    Error::Answer(format!("{answer:?}"))
}

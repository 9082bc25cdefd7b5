//! The commands of the client, each in its own module.

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
mod workspaces;

use crate::client::Client;
use crate::fault::Error;
use crate::output::Output;
use flamingo_wire::id;
use futures_util::future::LocalBoxFuture;

/// The future that a command returns: its output, or the cause of its failure.
pub type CommandFuture<'a> = LocalBoxFuture<'a, Result<Output, Error>>;

/// An example call of a command, shown in its help and run by the tests.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// The command line after `flamingoctl`, with words separated by single spaces.
    pub line: &'static str,
    /// What the example does, in one line.
    pub description: &'static str,
}

/// A command of the client.
pub trait Command {
    /// Returns the command's name, of one or two words.
    fn name(&self) -> &'static str;
    /// Returns the names of the arguments, as shown in the help. All are required; the last one
    /// may be given several times if its name ends in `...`.
    fn arguments(&self) -> &'static [&'static str];
    /// Returns what the command does, in one line.
    fn description(&self) -> &'static str;
    /// Returns example calls of the command.
    fn examples(&self) -> &'static [Example];
    /// Runs the command. The caller has checked the number of `arguments`.
    fn run<'a>(&'a self, client: &'a Client, arguments: &'a [String]) -> CommandFuture<'a>;
}

/// Returns all commands, in the order in which the help lists them.
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
        Box::new(workspaces::Workspaces),
        Box::new(snapshot::Snapshot),
        Box::new(trace::Trace),
    ]
}

/// Returns the operator's user name, which the history of changes records as the author.
fn author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// Returns a new random ID for a change.
///
/// # Errors
///
/// Returns an error if the system provides no random bytes: a second change with the same ID
/// would be treated as a resend of the first.
fn new_change_id() -> Result<id::Change, Error> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(|error| {
        Error::Refused(
            "the system provides no random bytes".to_owned(),
            error.to_string(),
        )
    })?;
    Ok(format!("{:032x}", u128::from_le_bytes(bytes)))
}

/// Builds the error for an answer that doesn't belong to the query.
fn unexpected_answer(answer: &impl std::fmt::Debug) -> Error {
    Error::UnexpectedAnswer(format!("{answer:?}"))
}

//! Parses the command line of `flamingoctl`, prints help and runs the selected command.
//!
//! Exit codes: 0 success, 1 request rejected or answer not understood, 2 invalid command line,
//! 3 no instance reachable, 4 conflict with a concurrent change, 5 invalid settings file.

use crate::client::Client;
use crate::command::{self, Command};
use crate::fault::Error;
use lexopt::prelude::*;
use std::ffi::OsString;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Environment variable with a comma-separated list of instance addresses (`IP:PORT`),
/// read if `--at` is not given.
pub const ADDRESSES_VARIABLE: &str = "FLAMINGO_AT";
/// Environment variable with the operator's key, read if `--key-file` is not given.
pub const KEY_VARIABLE: &str = "FLAMINGO_KEY";

const FLAGS: &str = "\
Flags:
  --at IP:PORT      an entry or control instance; may be given more than once
  --key-file FILE   file with the operator's key
  --ca FILE         connect over TLS and trust the certificates in this PEM file
  --json            print JSON
  --help            print help; after a command, print its help

Environment variables: FLAMINGO_AT (addresses, separated by commas), FLAMINGO_KEY.
Exit codes: 0 success, 1 request rejected or answer not understood,
2 invalid command line, 3 no instance reachable, 4 conflict with a concurrent
change, 5 invalid settings file.
";

#[derive(Debug, Default)]
struct CommandLine {
    addresses: Vec<SocketAddr>,
    key_file: Option<PathBuf>,
    ca_file: Option<PathBuf>,
    json: bool,
    help: bool,
    /// The command's name and arguments.
    words: Vec<String>,
}

/// Runs the command line `arguments` (without the program's name) and returns the text
/// to print.
///
/// # Errors
///
/// Returns an error if the command line is invalid or the command fails; see [`Error`]
/// for the causes and their exit codes.
pub async fn run(arguments: Vec<OsString>) -> Result<String, Error> {
    let line = parse(arguments)?;
    let commands = command::all();
    let Some(command) = find_command(&commands, &line.words) else {
        if line.help || line.words.is_empty() {
            return Ok(general_help(&commands));
        }
        let words = line.words.join(" ");
        return Err(Error::Usage(format!("unknown command '{words}'")));
    };
    if line.help {
        return Ok(command_help(command));
    }
    let name_words = command.name().split(' ').count();
    let given = &line.words[name_words..];
    let expected = command.arguments();
    let variadic = expected.last().is_some_and(|last| last.ends_with("..."));
    if given.len() < expected.len() || given.len() > expected.len() && !variadic {
        let usage = usage(command);
        return Err(Error::Usage(format!("usage: {usage}")));
    }
    let client = client(&line)?;
    Ok(command.run(&client, given).await?.render(line.json))
}

fn parse(arguments: Vec<OsString>) -> Result<CommandLine, Error> {
    let invalid = |error: lexopt::Error| Error::Usage(error.to_string());
    let mut line = CommandLine::default();
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next().map_err(invalid)? {
        match argument {
            Long("at") => {
                let address = parser
                    .value()
                    .and_then(|value| value.parse())
                    .map_err(invalid)?;
                line.addresses.push(address);
            }
            Long("key-file") => line.key_file = Some(parser.value().map_err(invalid)?.into()),
            Long("ca") => line.ca_file = Some(parser.value().map_err(invalid)?.into()),
            Long("json") => line.json = true,
            Long("help") | Short('h') => line.help = true,
            Value(word) => line.words.push(word.string().map_err(invalid)?),
            _ => return Err(invalid(argument.unexpected())),
        }
    }
    Ok(line)
}

/// Returns the command whose name the words begin with, or `None` if there is none. The
/// longest name wins, so that `placement explain` is preferred to `placement`.
fn find_command<'a>(commands: &'a [Box<dyn Command>], words: &[String]) -> Option<&'a dyn Command> {
    let names = commands.iter().map(AsRef::as_ref);
    let matching = names.filter(|command: &&dyn Command| {
        let name: Vec<_> = command.name().split(' ').collect();
        words.len() >= name.len() && name.iter().zip(words).all(|(part, word)| part == word)
    });
    matching.max_by_key(|command| command.name().len())
}

fn client(line: &CommandLine) -> Result<Client, Error> {
    let mut addresses = line.addresses.clone();
    if addresses.is_empty() {
        let text = std::env::var(ADDRESSES_VARIABLE).unwrap_or_default();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            let invalid =
                |_| Error::Usage(format!("{ADDRESSES_VARIABLE}: '{part}' is not IP:PORT"));
            addresses.push(part.parse().map_err(invalid)?);
        }
    }
    let key = match &line.key_file {
        Some(path) => {
            let invalid = |error| Error::Usage(format!("--key-file {}: {error}", path.display()));
            Some(
                std::fs::read_to_string(path)
                    .map_err(invalid)?
                    .trim()
                    .to_owned(),
            )
        }
        None => std::env::var(KEY_VARIABLE).ok(),
    };
    let client = Client::new(addresses).key(key);
    match &line.ca_file {
        Some(ca) => client.trust_ca(ca),
        None => Ok(client),
    }
}

fn usage(command: &dyn Command) -> String {
    let mut text = format!("flamingoctl {}", command.name());
    for argument in command.arguments() {
        // Writing to a String never fails.
        let _ = write!(text, " {argument}");
    }
    text
}

fn command_help(command: &dyn Command) -> String {
    let mut text = format!("{}\n\nUsage: {}\n\n", command.description(), usage(command));
    for example in command.examples() {
        let _ = writeln!(
            text,
            "  # {}\n  flamingoctl {}",
            example.description, example.line
        );
    }
    let _ = write!(text, "\n{FLAGS}");
    text
}

fn general_help(commands: &[Box<dyn Command>]) -> String {
    let mut text = "Operator client of flamingolink.\n\nCommands:\n".to_owned();
    for command in commands {
        let usage = usage(command.as_ref());
        let usage = usage.trim_start_matches("flamingoctl ");
        let _ = writeln!(text, "  {usage:<26}{}", command.description());
    }
    let _ = write!(text, "\n{FLAGS}");
    text
}

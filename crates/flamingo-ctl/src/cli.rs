//! The command line: flags, help and the choice of the command.
//!
//! Exit codes: 0 done, 1 refused, 2 wrong command line, 3 no instance answers,
//! 4 another operator's change won, 5 a settings file has problems.

use crate::client::Client;
use crate::command::{self, Command};
use crate::fault::Error;
use lexopt::prelude::*;
use std::ffi::OsString;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Variable that names instances where `--at` is missing.
pub const AT: &str = "FLAMINGO_AT";
/// Variable that holds the operator's key where `--key-file` is missing.
pub const KEY: &str = "FLAMINGO_KEY";

const FLAGS: &str = "\
Flags:
  --at IP:PORT      an entry or control instance; may be given more than once
  --key-file FILE   file with the operator's key
  --ca FILE         speak TLS and trust the certificates in this PEM file
  --json            print JSON
  --help            print help; after a command, help on it

Variables: FLAMINGO_AT (addresses, separated by commas), FLAMINGO_KEY.
Exit codes: 0 done, 1 refused, 2 wrong command line, 3 no instance answers,
4 another operator's change won, 5 a settings file has problems.
";

#[derive(Debug, Default)]
struct Line {
    at: Vec<SocketAddr>,
    key: Option<PathBuf>,
    ca: Option<PathBuf>,
    json: bool,
    help: bool,
    words: Vec<String>,
}

/// Runs the command line `arguments` (without the program's name) and returns
/// what to print.
///
/// # Errors
///
/// Returns why the command failed.
pub async fn run(arguments: Vec<OsString>) -> Result<String, Error> {
    let line = parse(arguments)?;
    let commands = command::all();
    let Some(command) = find(&commands, &line.words) else {
        if line.help || line.words.is_empty() {
            return Ok(overview(&commands));
        }
        let words = line.words.join(" ");
        return Err(Error::Usage(format!("no command '{words}'")));
    };
    if line.help {
        return Ok(manual(command));
    }
    let skip = command.name().split(' ').count();
    let given = &line.words[skip..];
    let wanted = command.arguments();
    let open = wanted.last().is_some_and(|last| last.ends_with("..."));
    if given.len() < wanted.len() || given.len() > wanted.len() && !open {
        let usage = usage(command);
        return Err(Error::Usage(format!("usage: {usage}")));
    }
    let client = client(&line)?;
    Ok(command.run(&client, given).await?.print(line.json))
}

fn parse(arguments: Vec<OsString>) -> Result<Line, Error> {
    let wrong = |error: lexopt::Error| Error::Usage(error.to_string());
    let mut line = Line::default();
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next().map_err(wrong)? {
        match argument {
            Long("at") => {
                let at = parser
                    .value()
                    .and_then(|value| value.parse())
                    .map_err(wrong)?;
                line.at.push(at);
            }
            Long("key-file") => line.key = Some(parser.value().map_err(wrong)?.into()),
            Long("ca") => line.ca = Some(parser.value().map_err(wrong)?.into()),
            Long("json") => line.json = true,
            Long("help") | Short('h') => line.help = true,
            Value(word) => line.words.push(word.string().map_err(wrong)?),
            _ => return Err(wrong(argument.unexpected())),
        }
    }
    Ok(line)
}

/// Finds the command with the longest name that the words start with.
fn find<'a>(commands: &'a [Box<dyn Command>], words: &[String]) -> Option<&'a dyn Command> {
    let names = commands.iter().map(AsRef::as_ref);
    let fits = names.filter(|command: &&dyn Command| {
        let name: Vec<_> = command.name().split(' ').collect();
        words.len() >= name.len() && name.iter().zip(words).all(|(part, word)| part == word)
    });
    fits.max_by_key(|command| command.name().len())
}

fn client(line: &Line) -> Result<Client, Error> {
    let mut at = line.at.clone();
    if at.is_empty() {
        let text = std::env::var(AT).unwrap_or_default();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            let wrong = |_| Error::Usage(format!("{AT}: '{part}' is not IP:PORT"));
            at.push(part.parse().map_err(wrong)?);
        }
    }
    let key = match &line.key {
        Some(path) => {
            let wrong = |error| Error::Usage(format!("--key-file {}: {error}", path.display()));
            Some(
                std::fs::read_to_string(path)
                    .map_err(wrong)?
                    .trim()
                    .to_owned(),
            )
        }
        None => std::env::var(KEY).ok(),
    };
    let client = Client::new(at).key(key);
    match &line.ca {
        Some(ca) => client.trust(ca),
        None => Ok(client),
    }
}

fn usage(command: &dyn Command) -> String {
    let mut text = format!("flamingoctl {}", command.name());
    for argument in command.arguments() {
        // Writing to a String can't fail.
        let _ = write!(text, " {argument}");
    }
    text
}

fn manual(command: &dyn Command) -> String {
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

fn overview(commands: &[Box<dyn Command>]) -> String {
    let mut text = "The operators' client of flamingolink.\n\nCommands:\n".to_owned();
    for command in commands {
        let usage = usage(command.as_ref());
        let usage = usage.trim_start_matches("flamingoctl ");
        let _ = writeln!(text, "  {usage:<26}{}", command.description());
    }
    let _ = write!(text, "\n{FLAGS}");
    text
}

//! The operators' client.

use flamingo_ctl::client::{Client, Error};
use flamingo_ctl::command::{config_apply, config_show};
use lexopt::prelude::*;
use std::path::Path;
use std::process::ExitCode;

const USAGE: &str = "usage: flamingoctl --at IP:PORT config show | config apply FILE";

async fn run() -> Result<String, Error> {
    let usage = |error: lexopt::Error| Error::Usage(format!("{error}\n{USAGE}"));
    let mut at = None;
    let mut words = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("at") => {
                at = Some(
                    parser
                        .value()
                        .and_then(|text| text.parse())
                        .map_err(usage)?,
                );
            }
            Value(word) => words.push(word.string().map_err(usage)?),
            _ => return Err(usage(arg.unexpected())),
        }
    }
    let client = Client::new(at.ok_or_else(|| Error::Usage(USAGE.to_owned()))?);
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["config", "show"] => config_show::run(&client).await,
        ["config", "apply", file] => config_apply::run(&client, Path::new(file)).await,
        _ => Err(Error::Usage(USAGE.to_owned())),
    }
}

#[actix_rt::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

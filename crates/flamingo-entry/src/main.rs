//! Runs an entry instance: `flamingo-entry --settings FILE`.

use flamingo_daemon::startup::{self, EXIT_STATUS, USAGE_STATUS, fail};
use flamingo_daemon::{log, stop};
use flamingo_entry::daemon;
use flamingo_settings::entry::Settings;
use lexopt::prelude::*;
use std::path::PathBuf;

const USAGE: &str = "usage: flamingo-entry --settings FILE [--check]";

#[derive(Debug, Default)]
struct Arguments {
    settings: Option<PathBuf>,
    check: bool,
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => arguments.settings = Some(parser.value()?.into()),
            Long("check") => arguments.check = true,
            Long("help") => return Err(USAGE.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(arguments)
}

#[actix_web::main]
async fn main() {
    let arguments =
        parse_arguments().unwrap_or_else(|error| fail(&error.to_string(), USAGE_STATUS));
    let file = arguments
        .settings
        .unwrap_or_else(|| fail(USAGE, USAGE_STATUS));
    let settings =
        Settings::open(&file).unwrap_or_else(|error| fail(&error.to_string(), EXIT_STATUS));
    if arguments.check {
        return;
    }
    let level = settings.node.level.parse().unwrap_or(slog::Level::Info);
    let log = log::root(&settings.node.name, level);
    let stop_signal = async {
        let _ = stop::requested().await;
    };
    if let Err(error) = daemon::run(settings, log, stop_signal).await {
        let error = error.as_ref();
        fail(&startup::explain(&file, error), startup::status(error));
    }
}

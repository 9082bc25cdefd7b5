//! Runs a control instance: `flamingo-control --settings FILE`.

use flamingo_control::daemon;
use flamingo_daemon::startup::{self, EXIT_STATUS, USAGE_STATUS, fail};
use flamingo_daemon::{log, stop};
use flamingo_settings::control::Settings;
use lexopt::prelude::*;
use std::path::PathBuf;

const USAGE: &str = "usage: flamingo-control --settings FILE [--check]";

#[derive(Debug, Default)]
struct Options {
    settings: Option<PathBuf>,
    check: bool,
}

fn parse_options() -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => options.settings = Some(parser.value()?.into()),
            Long("check") => options.check = true,
            Long("help") => return Err(USAGE.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

#[actix_web::main]
async fn main() {
    let options = parse_options().unwrap_or_else(|error| fail(&error.to_string(), USAGE_STATUS));
    let file = options
        .settings
        .unwrap_or_else(|| fail(USAGE, USAGE_STATUS));
    let settings =
        Settings::open(&file).unwrap_or_else(|error| fail(&error.to_string(), EXIT_STATUS));
    if options.check {
        return;
    }
    let level = settings.node.level.parse().unwrap_or(slog::Level::Info);
    let log = log::root(&settings.node.name, level);
    let stop_requested = async {
        let _ = stop::requested().await;
    };
    if let Err(error) = daemon::run(settings, log, stop_requested).await {
        let error = error.as_ref();
        fail(&startup::explain(&file, error), startup::status(error));
    }
}

//! Runs an entry instance: `flamingo-entry --settings FILE`.

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
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments = parse_arguments()?;
    let settings = Settings::open(&arguments.settings.ok_or(USAGE)?)?;
    if arguments.check {
        return Ok(());
    }
    let level = settings.node.level.parse().unwrap_or(slog::Level::Info);
    let log = log::root(&settings.node.name, level);
    let stop_signal = async {
        let _ = stop::requested().await;
    };
    daemon::run(settings, log, stop_signal).await
}

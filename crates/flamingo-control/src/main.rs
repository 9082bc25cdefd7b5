//! Runs a control instance: `flamingo-control --settings FILE`.

use flamingo_control::daemon;
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
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = parse_options()?;
    let settings = Settings::open(&options.settings.ok_or(USAGE)?)?;
    if options.check {
        return Ok(());
    }
    let level = settings.node.level.parse().unwrap_or(slog::Level::Info);
    let log = log::root(&settings.node.name, level);
    let stop_requested = async {
        let _ = stop::requested().await;
    };
    daemon::run(settings, log, stop_requested).await
}

//! Command line of `flamingolink`, which runs a complete local system in one process.

use flamingo_settings::set;
use flamingolink::local::{self, Settings};
use lexopt::prelude::*;
use std::error::Error;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};

const USAGE: &str = "\
Runs a complete local system in one process: one control instance, one entry,
two simulated engines and one simulated replica of each plain service.

Usage: flamingolink [--host IP] [--data FOLDER] [--set FILE]

  --host IP       IP address to listen on (default 127.0.0.1)
  --data FOLDER   folder for the state of the control instance (default data)
  --set FILE      configuration set to apply if the data folder is empty
                  (default: the built-in samples/local-set.ini)
";
const DEFAULT_SET: &str = include_str!("../../../samples/local-set.ini");

fn main() -> Result<(), Box<dyn Error>> {
    let mut settings = Settings {
        host: IpAddr::V4(Ipv4Addr::LOCALHOST),
        data: PathBuf::from("data"),
        set: set::parse(Path::new("samples/local-set.ini"), DEFAULT_SET)?,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("host") => settings.host = parser.value()?.parse()?,
            Long("data") => settings.data = parser.value()?.into(),
            Long("set") => settings.set = set::open(Path::new(&parser.value()?))?,
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    actix_rt::System::new().block_on(local::run(settings))
}

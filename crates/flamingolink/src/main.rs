//! Starts a whole local system in one process.

use flamingo_settings::set;
use flamingolink::local::{self, Settings};
use lexopt::prelude::*;
use std::error::Error;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};

const USAGE: &str = "\
Starts a whole local system in one process: one control instance, one entry,
two fake engines and a fake plain service.

Usage: flamingolink [--host IP] [--data FOLDER] [--set FILE]

  --host IP       IP number to listen on (127.0.0.1)
  --data FOLDER   where the control instance keeps its state (data)
  --set FILE      the set that an empty data folder starts with
                  (samples/local-set.ini, built in)
";
const SET: &str = include_str!("../../../samples/local-set.ini");

fn main() -> Result<(), Box<dyn Error>> {
    let mut settings = Settings {
        host: IpAddr::V4(Ipv4Addr::LOCALHOST),
        data: PathBuf::from("data"),
        set: set::parse(Path::new("samples/local-set.ini"), SET)?,
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

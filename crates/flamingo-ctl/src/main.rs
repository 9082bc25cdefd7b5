//! Runs the operators' client.

use flamingo_ctl::cli;
use std::io::Write;
use std::process::ExitCode;

#[actix_rt::main]
async fn main() -> ExitCode {
    match cli::run(std::env::args_os().skip(1).collect()).await {
        Ok(text) => {
            // A closed pipe, as of `| head`, is no failure of the command.
            let _ = writeln!(std::io::stdout(), "{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "{error}");
            error.code()
        }
    }
}

//! Entry point of `flamingoctl`: prints the result of the command and sets the exit code.

use flamingo_ctl::cli;
use std::io::Write;
use std::process::ExitCode;

#[actix_rt::main]
async fn main() -> ExitCode {
    match cli::run(std::env::args_os().skip(1).collect()).await {
        Ok(text) => {
            // The command succeeds even if the reader closed the pipe, as `| head` does.
            let _ = writeln!(std::io::stdout(), "{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "{error}");
            error.code()
        }
    }
}

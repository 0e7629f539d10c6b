//! The daemon that runs on each host of cornelhitch.

use std::process::ExitCode;

use cornelhitch::daemon::{self, Command, Error};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match serve(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cornelhitchd: {error}");
            ExitCode::from(error.status())
        }
    }
}

/// Does what the arguments ask for.
fn serve(arguments: &[String]) -> Result<(), Error> {
    match daemon::command(arguments)? {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Run(process) => {
            let runtime = tokio::runtime::Runtime::new()?;
            runtime.block_on(daemon::run(*process))
        }
    }
}

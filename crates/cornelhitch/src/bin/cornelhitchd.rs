//! The daemon that runs on each cornelhitch host.

use std::process::ExitCode;

use cornelhitch::daemon::{self, Command, Error};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run_command(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cornelhitchd: {error}");
            ExitCode::from(error.status())
        }
    }
}

/// Carries out the command that the arguments request.
fn run_command(arguments: &[String]) -> Result<(), Error> {
    match daemon::parse_arguments(arguments)? {
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

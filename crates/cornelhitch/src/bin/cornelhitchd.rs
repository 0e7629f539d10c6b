//! The daemon that runs on each cornelhitch host.

use std::process::ExitCode;

use cap::Cap;
use cornelhitch::daemon::{self, Command, Error};
use cornelhitch::log;
use tikv_jemallocator::Jemalloc;

/// Counts the bytes that the process has allocated, without a limit of its own. The allocator gives freed
/// memory back to the system, as `.cargo/config.toml` sets it up.
#[global_allocator]
static ALLOCATOR: Cap<Jemalloc> = Cap::new(Jemalloc, usize::MAX);

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

/// Returns the bytes that the process has allocated.
fn heap_size() -> usize {
    ALLOCATOR.allocated()
}

/// Carries out the command that the arguments request.
fn run_command(arguments: &[String]) -> Result<(), Error> {
    match daemon::parse_arguments(arguments)? {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Run(process) => {
            log::log_panics();
            let runtime = tokio::runtime::Runtime::new()?;
            runtime.block_on(daemon::run(*process, Some(heap_size)))
        }
    }
}

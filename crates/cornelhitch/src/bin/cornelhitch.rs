//! The command-line tool for operators.

use std::process::ExitCode;

use cornelhitch::operator;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cornelhitch: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(operator::run(&arguments)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cornelhitch: {error}");
            ExitCode::from(error.status())
        }
    }
}

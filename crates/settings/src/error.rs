//! Errors in settings files, with their positions.

use std::fmt;

use snafu::Snafu;

/// One error in a settings file, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// Description of the error, in one sentence.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// All errors found in one file, in the order of their positions.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", lines(faults)))]
pub struct Error {
    /// The errors; at least one.
    pub faults: Vec<Fault>,
}

/// Formats each error on a line of its own.
fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

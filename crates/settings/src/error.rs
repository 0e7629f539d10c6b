//! What is wrong with a settings file.

use std::fmt;

use snafu::Snafu;

/// One fault and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong, in one sentence.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// All faults of one file, in the order of their places.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", lines(faults)))]
pub struct Error {
    /// The faults, at least one.
    pub faults: Vec<Fault>,
}

/// One line a fault.
fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

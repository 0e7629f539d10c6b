//! Log lines of the leader about strikes that are taken back.

use cornelhitch_control::command::{Command, Entry, Reply};

use crate::section_ids::SectionIds;

/// Logs which strike counts a committed command decreased, and why.
pub(super) fn log_decrease(command: &Command, reply: &Reply, entry: &Entry) {
    match (command, reply) {
        (Command::Survived { .. }, Reply::Batch(replies)) => {
            for reply in replies {
                log_decrease(command, reply, entry);
            }
        }
        (Command::Batch(commands), Reply::Batch(replies)) => {
            for (command, reply) in commands.iter().zip(replies) {
                log_decrease(command, reply, entry);
            }
        }
        (command, Reply::Strike(answer)) => {
            let Some(cause) = cause(command) else {
                return;
            };
            for count in &answer.counts {
                tracing::info!(
                    fingerprint = count.fingerprint,
                    strikes = count.lost,
                    cause,
                    index = entry.index,
                    term = entry.term,
                    "strike count decreased"
                );
            }
        }
        (command, Reply::Sections(answer)) => {
            if let Some(cause) = cause(command) {
                tracing::info!(
                    sections = %SectionIds::from(&answer.sections[..]),
                    cause,
                    index = entry.index,
                    term = entry.term,
                    "crashes of prompt sections cleared"
                );
            }
        }
        _ => {}
    }
}

/// Returns why a command decreases strike counts; `None` if it does not.
fn cause(command: &Command) -> Option<&'static str> {
    match command {
        Command::ClearStrikes { .. } | Command::AcquitSections(_) => {
            Some("answered completely, or pardoned by an operator")
        }
        Command::Survived { .. } => Some("the target runs on"),
        _ => None,
    }
}

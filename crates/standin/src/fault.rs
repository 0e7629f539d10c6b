//! Faults that an engine is told to have.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use strum::{Display, EnumIter};

/// One fault, which happens once at the next chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The answer names another request in its head.
    CrossedHead,
    /// The answer's second event names another request.
    CrossedEvent,
    /// The stream ends in good order, but without its terminator, after two tokens.
    NoTerminator,
    /// The third token of a stream is left out.
    Gap,
    /// The connection breaks after two tokens.
    Break,
    /// No token comes after the second, and the connection stays open.
    Stall,
    /// The engine refuses the request and says that it did not run.
    Refuse,
    /// The engine fails the request without saying whether it ran.
    Fail,
    /// The order is obeyed, and its answer lost.
    LostReply,
    /// The order is neither obeyed nor answered.
    LostOrder,
    /// The engine dies half way through the next load.
    DieInLoad,
}

/// Faults that wait for their chance.
#[derive(Debug, Default)]
pub struct Faults {
    /// Those that wait, oldest first.
    waiting: Mutex<VecDeque<Fault>>,
}

impl Faults {
    /// Adds a fault.
    pub fn add(&self, fault: Fault) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.push_back(fault);
    }

    /// Takes the oldest of some kinds.
    pub fn take(&self, kinds: &[Fault]) -> Option<Fault> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let at = waiting.iter().position(|fault| kinds.contains(fault))?;
        waiting.remove(at)
    }
}

//! Faults that a test injects into a fake engine.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use strum::{Display, EnumIter};

/// A fault that is injected once, at the next operation that it applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The response headers carry the id of another request.
    #[strum(serialize = "crossed-head")]
    WrongIdInHeaders,
    /// The second event of the stream carries the id of another request.
    #[strum(serialize = "crossed-event")]
    WrongIdInEvent,
    /// The stream ends regularly after two tokens, but without its terminator.
    NoTerminator,
    /// The third token of a stream is omitted.
    #[strum(serialize = "gap")]
    MissingToken,
    /// The connection is aborted after two tokens.
    #[strum(serialize = "break")]
    AbortStream,
    /// The stream stalls after two tokens with the connection open.
    Stall,
    /// The engine refuses the request and states that it did not run.
    Refuse,
    /// The engine fails the request without stating whether it ran.
    Fail,
    /// The order is executed, but its reply is lost.
    LostReply,
    /// The order is lost: neither executed nor replied to.
    LostOrder,
    /// The engine crashes halfway through the next load.
    #[strum(serialize = "die-in-load")]
    CrashDuringLoad,
}

/// Faults that are still to be injected.
#[derive(Debug, Default)]
pub struct FaultQueue {
    /// Oldest first.
    queued: Mutex<VecDeque<Fault>>,
}

impl FaultQueue {
    /// Appends a fault.
    pub fn add(&self, fault: Fault) {
        let mut queued = self.queued.lock().unwrap_or_else(PoisonError::into_inner);
        queued.push_back(fault);
    }

    /// Removes and returns the oldest fault of the given kinds.
    pub fn take(&self, kinds: &[Fault]) -> Option<Fault> {
        let mut queued = self.queued.lock().unwrap_or_else(PoisonError::into_inner);
        let at = queued.iter().position(|fault| kinds.contains(fault))?;
        queued.remove(at)
    }
}

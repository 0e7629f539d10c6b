//! Admission, queues, routing, retries and claims of an entry host.
//!
//! [`core::Core`] is sans-I/O: it takes an [`event::Event`] and the time and
//! returns [`action::Action`]s. Bodies never pass through it; the tasks around
//! it own the connections and ask it before each step that cannot be undone:
//!
//! 1. `Send` names a target. The owner connects, reports `Sent`, and writes
//!    the first byte only after `Proceed`, so "not run" is true.
//! 2. The owner reports `Begun` when the answer starts, and passes the answer
//!    on only after `Deliver`, so a late answer reaches nobody.
//! 3. The owner reports `Ended` when the terminator came, and ends the answer
//!    only after `Finish`, so a truncated answer is never taken for a whole one.
//!
//! ```
//! use cornelhitch_entry::config::Config;
//! use cornelhitch_entry::core::Core;
//! use cornelhitch_entry::event::Event;
//! use std::time::Duration;
//!
//! let mut core = Core::new(Config::new(1), Duration::ZERO);
//! assert!(core.handle(Event::Tick, Duration::from_secs(1)).is_empty());
//! assert_eq!(core.report().host, 1);
//! ```

pub mod action;
pub mod affinity;
pub mod budget;
pub mod catalogue;
pub mod claim;
pub mod config;
pub mod core;
pub mod drain;
pub mod dump;
pub mod ejection;
pub mod entries;
pub mod estimate;
pub mod event;
pub mod fingerprint;
pub mod health;
pub mod lease;
pub mod part;
pub mod picture;
pub mod prelude;
pub mod quarantine;
pub mod queue;
pub mod recent;
pub mod request;
pub mod route;
pub mod rule;
pub mod share;
pub mod stopped;
pub mod tally;

mod admit;
mod attempt;
mod dispatch;
mod fault;
mod finish;
#[cfg(test)]
mod tests;
mod watch;

//! Admission, queueing, routing, retries and idempotency claims of an entry host.
//!
//! [`core::Core`] is sans-I/O: it takes an [`event::Event`] and the current time and returns
//! [`action::Action`]s. Request and response bodies do not pass through it. The tasks around it
//! (the "owner") hold the connections and ask it before each irreversible step:
//!
//! 1. `Send` names a target. The owner connects, reports `Sent`, and writes the first byte only
//!    after `Proceed`, so that a refusal marked "not run" is always true.
//! 2. The owner reports `ResponseStarted` when the response starts and forwards it only after
//!    `Deliver`, so that a response that arrives too late is never forwarded.
//! 3. The owner reports `ResponseEnded` when it has read the terminator and completes the response
//!    only after `Finish`, so that a truncated response is never taken for a complete one.
//! ```
//! use cornelhitch_entry::config::Config;
//! use cornelhitch_entry::core::Core;
//! use cornelhitch_entry::event::Event;
//! use std::time::Duration;
//!
//! let mut core = Core::new(Config::new(1), Duration::ZERO);
//! assert!(core.handle(Event::Tick, Duration::from_secs(1)).is_empty());
//! assert_eq!(core.demand_report().host, 1);
//! ```

pub mod action;
pub mod affinity;
pub mod budget;
pub mod busy_share;
pub mod cancelled;
pub mod catalogue;
pub mod claim;
pub mod config;
pub mod core;
pub mod counters;
pub mod drain;
pub mod drain_rate;
pub mod dump;
pub mod durations;
pub mod ejection;
pub mod entries;
pub mod estimate;
pub mod event;
pub mod expected_time;
pub mod fair_share;
pub mod fingerprint;
pub mod fleet_view;
pub mod health;
pub mod host_share;
pub mod lease;
pub mod long_prompt;
pub mod newest_table;
pub mod pace;
pub mod peer_load;
pub mod peer_reporter;
pub mod prelude;
pub mod promises;
pub mod prompt_speed;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod request;
pub mod retry_policy;
pub mod route;
pub mod share;
pub mod sliding_counter;
pub mod software;
pub mod suspects;
pub mod target_limits;
pub mod target_notices;
pub mod warm;
pub mod work_ahead;

mod admit;
mod attempt;
mod charge;
mod choice;
mod dispatch;
mod fault;
mod finish;
mod held;
mod leave;
mod objective;
mod resume;
mod revocation;
mod slow_target;
mod stated;
mod strikes;
#[cfg(test)]
mod tests;
mod timing;
mod trial;
mod updates;
mod witness;

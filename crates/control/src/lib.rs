//! The replicated control state machine and the soft state of its leader.
//!
//! Both parts are sans-I/O. [`state::State`] is the deterministic state that every control host
//! replicates by applying committed [`command::Command`]s. [`leader::Leader`] is the soft state of
//! the host that leads: it consumes heartbeats, demand reports and the replies of applied commands,
//! and returns commands to propose, orders to send and views to publish.
//!
//! ```
//! use cornelhitch_control::prelude::*;
//! use std::time::Duration;
//!
//! let mut state = State::default();
//! let entry = Entry { index: 1, term: 1, time: Duration::from_secs(1) };
//! let apply = Apply {
//!     operator: "ann".into(),
//!     request: "1".into(),
//!     base: 0,
//!     text: "models: [{ name: report, bytes: 1000 }]".into(),
//! };
//! state.apply(&entry, Command::Apply(apply));
//! assert_eq!(state.current_settings().version(), 1);
//!
//! let copy = State::restore(&state.snapshot())?;
//! assert_eq!(copy.digest(), state.digest());
//! # Ok::<(), cornelhitch_control::error::Error>(())
//! ```

mod claim;
pub mod claims;
pub mod command;
mod context;
pub mod current_settings;
pub mod current_table;
mod demand;
pub mod dump;
pub mod error;
mod feed;
pub mod fleet;
mod full_views;
mod heartbeats;
mod hosting;
pub mod input;
pub mod leader;
mod leases;
pub mod limits;
pub mod mutation;
mod orders;
mod outcome;
pub mod output;
mod pending;
mod plan;
mod planner_input;
pub mod prelude;
pub mod quota;
mod replica_orders;
pub mod replicas;
mod rules;
pub mod sections;
pub mod state;
pub mod strikes;
pub mod submissions;
mod survivors;
mod term_state;
pub mod timing;
mod tombstones;
mod view_builder;
mod workers;

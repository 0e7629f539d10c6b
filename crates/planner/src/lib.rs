//! Decides which models to load, keep and unload, and on which workers.
//!
//! The planner is sans-I/O and deterministic: it takes a
//! [`fleet_state::FleetState`] and the current time, and returns
//! [`decision::Decision`]s. It sends nothing; the caller commits each decision
//! before it sends an order to a worker.

mod adapters;
pub mod baseline;
pub mod catalog;
mod convert;
pub mod decision;
pub mod decision_log;
pub mod demand;
pub mod fleet_index;
pub mod fleet_state;
pub mod gap;
pub mod history;
pub mod hosting;
pub mod keep_alive;
mod load;
mod pass;
pub mod pending;
pub mod placement;
pub mod policy;
mod preload;
pub mod scale;
mod unload;
pub mod weight_store;

use cornelhitch_types::id::Time;

use crate::decision::Decision;
use crate::fleet_state::FleetState;

/// A policy for loading, keeping and unloading models.
pub trait Planner: Send {
    /// Returns the decisions for the state of the fleet at `now`.
    ///
    /// The same calls in the same order return the same decisions.
    fn plan(&mut self, fleet_state: &FleetState, now: Time) -> Vec<Decision>;

    /// Returns the planner's statistics of a model and its latest decisions on it, one line
    /// each, for operators.
    fn explain(&self, model: &str, now: Time) -> Vec<String>;
}

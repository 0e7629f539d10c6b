//! The context of one call of the leader.

use cornelhitch_types::id::Time;

use crate::limits::Limits;
use crate::output::Output;
use crate::state::State;
use crate::timing::Timing;

/// The inputs of one call, and the actions it collects.
pub(crate) struct Context<'a> {
    /// The replicated state.
    pub(crate) state: &'a State,
    /// The time of the call.
    pub(crate) now: Time,
    /// The leader's timeouts and intervals.
    pub(crate) timing: &'a Timing,
    /// What the leader may keep.
    pub(crate) limits: Limits,
    /// Whether the host has no memory for further targets.
    pub(crate) lacks_memory: bool,
    /// The actions collected so far.
    pub(crate) out: Vec<Output>,
}

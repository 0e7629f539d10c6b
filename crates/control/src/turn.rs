//! What one call of the leader works with.

use cornelhitch_types::id::Time;

use crate::output::Output;
use crate::state::State;
use crate::timing::Timing;

/// One call: the state, the time, and where actions go.
pub(crate) struct Turn<'a> {
    /// The replicated state.
    pub(crate) state: &'a State,
    /// The time.
    pub(crate) now: Time,
    /// The leader's lengths of time.
    pub(crate) timing: &'a Timing,
    /// Actions of this call.
    pub(crate) out: Vec<Output>,
}

//! The leader: the soft state of the control host that leads.

use std::fmt;

use cornelhitch_planner::Planner;
use cornelhitch_types::id::{Term, Time, Version};
use cornelhitch_types::view::View;

use crate::context::Context;
use crate::dump::Dump;
use crate::input::Input;
use crate::limits::Limits;
use crate::output::Output;
use crate::state::State;
use crate::term_state::TermState;
use crate::timing::Timing;

/// The leader of the replicated log, apart from consensus itself.
///
/// Sans-I/O: [`Leader::handle`] consumes one [`Input`] and returns [`Output`]s. On a host that does
/// not lead it does nothing.
///
/// ```
/// use cornelhitch_control::prelude::*;
/// use cornelhitch_planner::{Planner, decision::Decision, fleet_state::FleetState};
/// use cornelhitch_types::id::Time;
///
/// struct Nothing;
///
/// impl Planner for Nothing {
///     fn plan(&mut self, _: &FleetState, _: Time) -> Vec<Decision> {
///         Vec::new()
///     }
///     fn explain(&self, _: &str, _: Time) -> Vec<String> {
///         Vec::new()
///     }
/// }
///
/// let state = State::default();
/// let mut leader = Leader::new(Box::new(Nothing));
/// let now = Time::from_secs(1_800_000_000);
/// assert!(leader.handle(Input::Tick, &state, now).is_empty());
/// leader.handle(Input::Elected { term: 1 }, &state, now);
/// assert_eq!(leader.term(), Some(1));
/// ```
pub struct Leader {
    timing: Timing,
    limits: Limits,
    lacks_memory: bool,
    planner: Box<dyn Planner>,
    term_state: Option<TermState>,
}

impl fmt::Debug for Leader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("Leader");
        debug.field("timing", &self.timing);
        debug
            .field("reign", &self.term_state)
            .finish_non_exhaustive()
    }
}

impl Leader {
    /// Creates a host that does not lead yet, with the default timing.
    #[must_use]
    pub fn new(planner: Box<dyn Planner>) -> Self {
        Self::with_timing(planner, Timing::default())
    }

    /// Creates a host that does not lead yet.
    #[must_use]
    pub fn with_timing(planner: Box<dyn Planner>, timing: Timing) -> Self {
        Self {
            timing,
            limits: Limits::default(),
            lacks_memory: false,
            planner,
            term_state: None,
        }
    }

    /// Keeps no more than this.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Records whether the host has no memory for further targets: silent ones make room then.
    pub fn set_lacks_memory(&mut self, lacks_memory: bool) {
        self.lacks_memory = lacks_memory;
    }

    /// Returns the most targets that may be registered.
    #[must_use]
    pub fn targets_limit(&self) -> usize {
        self.limits.targets
    }

    /// Returns whether this host, if it leads, would register a target, or has done so.
    #[must_use]
    pub fn has_room_for(&self, target: &str, state: &State) -> bool {
        let term_state = self.term_state.as_ref();
        term_state.is_none_or(|it| it.has_room_for(target, state.fleet(), self.limits.targets))
    }

    /// Returns the term in which this host leads; `None` when it does not lead.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        self.term_state.as_ref().map(|term_state| term_state.term)
    }

    /// Handles one input and returns the actions to carry out.
    ///
    /// `state` holds every committed entry that this host knows of. `now` is the clock that stamps
    /// the entries which this host proposes: time since the Unix epoch, which must not go back
    /// while the process runs.
    pub fn handle(&mut self, input: Input, state: &State, now: Time) -> Vec<Output> {
        let mut ctx = Context {
            state,
            now,
            timing: &self.timing,
            limits: self.limits,
            lacks_memory: self.lacks_memory,
            out: Vec::new(),
        };
        match input {
            Input::Elected { term } => self.term_state = Some(TermState::new(term, &ctx)),
            Input::LeadershipLost => self.term_state = None,
            input => {
                if let Some(term_state) = &mut self.term_state {
                    term_state.handle(input, self.planner.as_mut(), &mut ctx);
                }
            }
        }
        ctx.out
    }

    /// Returns the sequence number of the newest published view; 0 when this host does not lead.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.term_state
            .as_ref()
            .map_or(0, |term_state| term_state.feed.sequence())
    }

    /// Returns whether no entry host can still act on settings older than `version`.
    #[must_use]
    pub fn in_force(&self, version: Version, now: Time) -> bool {
        let term_state = self.term_state.as_ref();
        term_state.is_some_and(|term_state| term_state.leases.in_force(version, now))
    }

    /// Returns the full view, for operators; empty when this host does not lead.
    #[must_use]
    pub fn view(&self, state: &State, now: Time) -> View {
        let term_state = self.term_state.as_ref();
        View {
            term: self.term().unwrap_or_default(),
            from: 0,
            to: 0,
            changes: term_state.map_or_else(Vec::new, |it| it.view_builder(state, now).full_view()),
        }
    }

    /// Returns the soft state, for operators; `None` when this host does not lead.
    ///
    /// ```
    /// # use cornelhitch_control::prelude::*;
    /// # use cornelhitch_planner::policy::Policy;
    /// # use cornelhitch_types::id::Time;
    /// let state = State::default();
    /// let mut leader = Leader::new(Box::new(Policy::default()));
    /// let now = Time::from_secs(7);
    /// assert!(leader.dump(&state, now).is_none());
    /// leader.handle(Input::Elected { term: 3 }, &state, now);
    /// assert_eq!(leader.dump(&state, now).map(|dump| dump.term), Some(3));
    /// ```
    #[must_use]
    pub fn dump(&self, state: &State, now: Time) -> Option<Dump> {
        let term_state = self.term_state.as_ref();
        term_state.map(|term_state| Dump::new(term_state, state, now))
    }

    /// Explains the placement of a model to operators, one line for each step.
    #[must_use]
    pub fn explain(&self, model: &str, now: Time) -> Vec<String> {
        self.planner.explain(model, now)
    }
}

//! The order of long and short prompts in the queue of a target.
//!
//! A prompt that takes a large part of what others may wait for goes behind the short prompts of its
//! own rank, and before all of the next rank. So short prompts don't wait for long ones, and the
//! order of the ranks is kept. Long prompts wait a little longer, since short ones are little work.

use std::time::Duration;

use cornelhitch_types::id::Time;

/// The last rank in the queue of a target.
const LAST_RANK: u8 = 9;

/// A prompt is long if its processing takes more than the shortest objective divided by this: as many
/// of them may be ahead of a request before its objective has passed.
const LONG_DIVISOR: u32 = 4;

/// Time after which an objective that no request has had since is forgotten.
const OBJECTIVE_LIFETIME: Duration = Duration::from_mins(1);

/// Tells long prompts from short ones by the objectives of the requests that share targets.
#[derive(Debug, Default)]
pub struct LongPrompts {
    /// The shortest objective, and when a request last had it.
    shortest: Option<(Duration, Time)>,
}

impl LongPrompts {
    /// Records the objective of a request.
    pub fn observe(&mut self, objective: Duration, now: Time) {
        let known = self
            .shortest
            .filter(|(_, at)| now.saturating_sub(*at) < OBJECTIVE_LIFETIME);
        if known.is_none_or(|(shortest, _)| objective <= shortest) {
            self.shortest = Some((objective, now));
        }
    }

    /// Returns the rank in a target's queue of a request whose route has this rank, and whose prompt
    /// takes `time` to process. All ranks above 4 become the last one.
    ///
    /// ```
    /// use cornelhitch_entry::long_prompt::LongPrompts;
    /// use std::time::Duration;
    ///
    /// let mut prompts = LongPrompts::default();
    /// prompts.observe(Duration::from_millis(800), Duration::ZERO);
    /// let rank = |rank, ms| prompts.target_rank(rank, Duration::from_millis(ms));
    /// assert!(rank(1, 20) < rank(1, 1_000));
    /// assert!(rank(1, 1_000) < rank(2, 20));
    /// ```
    #[must_use]
    pub fn target_rank(&self, rank: u8, time: Duration) -> u8 {
        let is_long = self
            .shortest
            .is_some_and(|(shortest, _)| time > shortest / LONG_DIVISOR);
        (rank.saturating_mul(2))
            .saturating_add(u8::from(is_long))
            .min(LAST_RANK)
    }
}

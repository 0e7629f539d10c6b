//! Since when the previous leader has led, as far as this host has seen.

use std::time::Duration;

use cornelhitch_types::id::{Term, Time};

/// A term in which this host has heard of a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Leadership {
    term: Term,
    /// When this host first knew the leader.
    since: Time,
}

/// The newest two terms in which this host has heard of a leader.
///
/// ```
/// use std::time::Duration;
/// use cornelhitch_node::leaderships::Leaderships;
///
/// let second = Duration::from_secs(1);
/// let mut leaderships = Leaderships::default();
/// leaderships.observe(4, true, second);
/// leaderships.observe(5, false, 9 * second);
/// leaderships.observe(5, true, 10 * second);
/// assert_eq!(leaderships.since_predecessor(5, 10 * second), Some(9 * second));
/// // A leader of term 6 may have led unnoticed.
/// assert_eq!(leaderships.since_predecessor(7, 11 * second), None);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Leaderships {
    previous: Option<Leadership>,
    newest: Option<Leadership>,
}

impl Leaderships {
    /// Records the term at a time, and whether its leader is known.
    pub fn observe(&mut self, term: Term, has_leader: bool, now: Time) {
        let is_newer = self.newest.is_none_or(|newest| newest.term < term);
        if has_leader && is_newer {
            let since = now;
            self.previous = self.newest.replace(Leadership { term, since });
        }
    }

    /// Returns how long ago the leader of the term before `term` began to lead, at least; `None` if this
    /// host does not know that there was one, so that leaders may have followed one another unnoticed.
    #[must_use]
    pub fn since_predecessor(&self, term: Term, now: Time) -> Option<Duration> {
        let before = term.checked_sub(1)?;
        let known = [self.previous, self.newest].into_iter().flatten();
        let mut known = known.filter(|leadership| leadership.term == before);
        known
            .next()
            .map(|predecessor| now.saturating_sub(predecessor.since))
    }
}

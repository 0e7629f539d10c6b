//! What requests of a team have asked for lately.

use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// Number of intervals of which the sums are kept.
const INTERVALS: usize = 8;

/// The length of an interval.
const INTERVAL: Duration = Duration::from_millis(250);

/// The sum of what was asked for within [`RecentDemand::SPAN`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct RecentDemand {
    /// The number of the newest interval.
    newest: u128,
    /// Sums by interval; an interval's place is its number modulo their count.
    sums: [u64; INTERVALS],
}

impl RecentDemand {
    /// The time over which demand is summed: the objectives of most requests are shorter, and a burst
    /// that the quota allows is not taken for demand that exceeds it.
    pub(super) const SPAN: Duration = Duration::from_secs(2);

    /// Adds what a request asks for.
    pub(super) fn record(&mut self, units: u64, now: Time) {
        let number = now.as_nanos() / INTERVAL.as_nanos();
        if number > self.newest {
            for index in 0..INTERVALS {
                if !self.is_kept(index, number) {
                    self.sums[index] = 0;
                }
            }
            self.newest = number;
        }
        let sum = &mut self.sums[place(number)];
        *sum = sum.saturating_add(units);
    }

    /// Returns the sum.
    pub(super) fn sum(&self, now: Time) -> u64 {
        let number = now.as_nanos() / INTERVAL.as_nanos();
        let sums = self.sums.iter().enumerate();
        let kept = sums.filter(|(index, _)| self.is_kept(*index, number));
        kept.fold(0, |sum, (_, units)| sum.saturating_add(*units))
    }

    /// Whether a place holds an interval that is within the span at the interval `number`.
    fn is_kept(&self, index: usize, number: u128) -> bool {
        let behind = (place(self.newest) + INTERVALS - index) % INTERVALS;
        let held = self.newest.checked_sub(behind as u128);
        held.is_some_and(|held| held + INTERVALS as u128 > number)
    }
}

/// Returns the place of an interval.
fn place(number: u128) -> usize {
    usize::try_from(number % INTERVALS as u128).unwrap_or(0)
}

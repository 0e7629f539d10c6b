//! Counts events in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// Number of slices in a window, which is the time resolution: with a 10 s window, a slice is 250
/// ms.
const SLICE_COUNT: u32 = 40;

/// The events of one slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct Slice {
    /// Index of the slice since the start of the clock.
    at: u64,
    events: u32,
}

/// Counts events in a sliding window, one counter per slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SlidingCounter {
    window: Duration,
    slices: VecDeque<Slice>,
}

impl SlidingCounter {
    /// Creates a counter with no events.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            slices: VecDeque::new(),
        }
    }

    /// Counts an event.
    ///
    /// ```
    /// use cornelhitch_entry::sliding_counter::SlidingCounter;
    /// use std::time::Duration;
    ///
    /// let mut counter = SlidingCounter::new(Duration::from_secs(10));
    /// counter.record(Duration::from_secs(3));
    /// assert_eq!(counter.at_least(Duration::from_secs(12)), 1);
    /// assert_eq!(counter.at_least(Duration::from_secs(14)), 0);
    /// ```
    pub fn record(&mut self, now: Time) {
        let at = self.slice_index(now);
        match self.slices.back_mut().filter(|last| last.at == at) {
            Some(last) => last.events += 1,
            None => self.slices.push_back(Slice { at, events: 1 }),
        }
        let oldest = at.saturating_sub(u64::from(SLICE_COUNT) + 2);
        while self.slices.front().is_some_and(|first| first.at < oldest) {
            self.slices.pop_front();
        }
    }

    /// Returns the number of events that are certainly in the window.
    #[must_use]
    pub fn at_least(&self, now: Time) -> u32 {
        let start = now.saturating_sub(self.window);
        let first =
            self.slice_index(start + self.slice_length().saturating_sub(Time::from_nanos(1)));
        self.count_since(first)
    }

    /// Returns the number of events that may be in the window, including those that may take effect
    /// up to one slice after they were counted.
    #[must_use]
    pub fn at_most(&self, now: Time) -> u32 {
        let start = now.saturating_sub(self.window + self.slice_length());
        self.count_since(self.slice_index(start))
    }

    /// Returns the number of events in a slice and all later ones.
    fn count_since(&self, first: u64) -> u32 {
        let slices = self.slices.iter().filter(|slice| slice.at >= first);
        slices.map(|slice| slice.events).sum()
    }

    /// Returns the length of a slice.
    fn slice_length(&self) -> Duration {
        (self.window / SLICE_COUNT).max(Duration::from_nanos(1))
    }

    /// Returns the index of the slice that contains a time.
    fn slice_index(&self, at: Time) -> u64 {
        let slice = at.as_nanos() / self.slice_length().as_nanos();
        u64::try_from(slice).unwrap_or(u64::MAX)
    }
}

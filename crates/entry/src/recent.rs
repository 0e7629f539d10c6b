//! How often something happened in the last while.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// Slices of a window. An event is known to the length of a slice; 40 slices of 10 s are 250 ms.
const SLICES: u32 = 40;

/// Events of one slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct Slice {
    /// Its position since the start of the clock.
    at: u64,
    /// How many.
    events: u32,
}

/// Events of a window that slides, counted by slices.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Recent {
    window: Duration,
    slices: VecDeque<Slice>,
}

impl Recent {
    /// A window without events.
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
    /// use cornelhitch_entry::recent::Recent;
    /// use std::time::Duration;
    ///
    /// let mut recent = Recent::new(Duration::from_secs(10));
    /// recent.add(Duration::from_secs(3));
    /// assert_eq!(recent.at_least(Duration::from_secs(12)), 1);
    /// assert_eq!(recent.at_least(Duration::from_secs(14)), 0);
    /// ```
    pub fn add(&mut self, now: Time) {
        let at = self.slice(now);
        match self.slices.back_mut().filter(|last| last.at == at) {
            Some(last) => last.events += 1,
            None => self.slices.push_back(Slice { at, events: 1 }),
        }
        let oldest = at.saturating_sub(u64::from(SLICES) + 2);
        while self.slices.front().is_some_and(|first| first.at < oldest) {
            self.slices.pop_front();
        }
    }

    /// Events that lie in the window for certain.
    #[must_use]
    pub fn at_least(&self, now: Time) -> u32 {
        let start = now.saturating_sub(self.window);
        let first = self.slice(start + self.width().saturating_sub(Time::from_nanos(1)));
        self.since(first)
    }

    /// Events that may lie in the window, also where they take up to the length of a slice to come
    /// into effect.
    #[must_use]
    pub fn at_most(&self, now: Time) -> u32 {
        let start = now.saturating_sub(self.window + self.width());
        self.since(self.slice(start))
    }

    /// Events of a slice and of those after it.
    fn since(&self, first: u64) -> u32 {
        let slices = self.slices.iter().filter(|slice| slice.at >= first);
        slices.map(|slice| slice.events).sum()
    }

    /// The length of a slice.
    fn width(&self) -> Duration {
        (self.window / SLICES).max(Duration::from_nanos(1))
    }

    /// The slice of a time.
    fn slice(&self, at: Time) -> u64 {
        let slice = at.as_nanos() / self.width().as_nanos();
        u64::try_from(slice).unwrap_or(u64::MAX)
    }
}

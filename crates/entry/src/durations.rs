//! How long requests of one kind last, from their arrival to the end of their response.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cornelhitch_types::id::{Name, Time};

use crate::event::Request;
use crate::queue::QueueKey;

/// Number of the latest responses of one kind that are remembered.
const MAX_SAMPLES: usize = 64;

/// Number of responses below which nothing is said about a kind.
const MIN_SAMPLES: usize = 16;

/// Length of the windows over which the longest response is remembered.
const WINDOW: Duration = Duration::from_mins(5);

/// One in this many responses may last longer than the common duration.
const UNCOMMON: usize = 10;

/// Factor on the longest response remembered, because a later one may last longer.
const MARGIN_FACTOR: u32 = 2;

/// A kind of request, whose responses last for similar times.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The requests of a route.
    Route(Name),
    /// The requests of a lane that came without a route.
    Lane(QueueKey),
}

impl From<&Request> for Kind {
    fn from(request: &Request) -> Self {
        match &request.terms {
            Some(terms) => Self::Route(terms.route.clone()),
            None => Self::Lane(QueueKey::from(&request.what)),
        }
    }
}

/// The durations of one kind.
#[derive(Debug, Default)]
struct Samples {
    /// The latest ones.
    latest: VecDeque<Duration>,
    /// When the current window began.
    since: Time,
    /// The longest one in the current window, and in the one before it.
    longest: [Duration; 2],
}

impl Samples {
    /// Adds one.
    fn add(&mut self, duration: Duration, now: Time) {
        if self.latest.len() == MAX_SAMPLES {
            self.latest.pop_front();
        }
        self.latest.push_back(duration);
        if now >= self.since + WINDOW {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.since = now;
        }
        self.longest[0] = self.longest[0].max(duration);
    }

    /// Returns the longest one of the last two windows.
    fn longest(&self) -> Duration {
        self.longest[0].max(self.longest[1])
    }
}

/// Durations by kind.
#[derive(Debug, Default)]
pub struct Durations {
    by_kind: BTreeMap<Kind, Samples>,
}

impl Durations {
    /// Records the duration of a complete response.
    pub fn record(&mut self, kind: Kind, duration: Duration, now: Time) {
        self.by_kind.entry(kind).or_default().add(duration, now);
    }

    /// Records that a response would have lasted at least this long.
    pub fn record_at_least(&mut self, kind: Kind, duration: Duration, now: Time) {
        let known = self.by_kind.get(&kind);
        if known.is_some_and(|samples| duration > samples.longest()) {
            self.record(kind, duration, now);
        }
    }

    /// Returns the time in which a response of a kind almost certainly ends: twice the longest
    /// duration of the last five minutes at least. `None` if too few are known.
    ///
    /// ```
    /// use cornelhitch_entry::durations::{Durations, Kind};
    /// use std::time::Duration;
    ///
    /// let (mut durations, second) = (Durations::default(), Duration::from_secs(1));
    /// let kind = Kind::Route("lane-chat".into());
    /// assert_eq!(durations.upper_bound(&kind), None);
    /// (0..16).for_each(|_| durations.record(kind.clone(), second, second));
    /// assert_eq!(durations.upper_bound(&kind), Some(2 * second));
    /// ```
    #[must_use]
    pub fn upper_bound(&self, kind: &Kind) -> Option<Duration> {
        Some(self.known(kind)?.longest() * MARGIN_FACTOR)
    }

    /// Returns the time in which nine of ten of the latest responses of a kind ended. `None` if too
    /// few are known.
    #[must_use]
    pub fn common(&self, kind: &Kind) -> Option<Duration> {
        let latest = &self.known(kind)?.latest;
        let mut sorted: Vec<Duration> = latest.iter().copied().collect();
        sorted.sort_unstable();
        let index = sorted.len() - sorted.len() / UNCOMMON;
        sorted.get(index - 1).copied()
    }

    /// Returns the durations of a kind if enough are known.
    fn known(&self, kind: &Kind) -> Option<&Samples> {
        let samples = self.by_kind.get(kind);
        samples.filter(|samples| samples.latest.len() >= MIN_SAMPLES)
    }
}

//! Exponentially weighted running means of event rates and of levels.

use cornelhitch_types::id::Time;

/// A running mean of arrivals per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArrivalRate {
    /// Arrivals at the last update.
    counted: u64,
    /// When the last update took place.
    at: Time,
    /// When counting began.
    since: Time,
    /// The mean, as if there had been no arrivals before counting began.
    per_second: f64,
}

impl ArrivalRate {
    /// Time constant of the mean, in seconds.
    const TIME_CONSTANT_S: f64 = 20.0;

    /// Lower bound on the counting period, so that a few early arrivals do not give a high rate, in
    /// seconds.
    const MIN_COUNTED_S: f64 = 4.0;

    /// Starts a mean at a total of `counted` arrivals.
    #[must_use]
    pub fn new(counted: u64, at: Time) -> Self {
        Self {
            counted,
            at,
            since: at,
            per_second: 0.0,
        }
    }

    /// Updates the mean with the total of arrivals at `now`; a smaller total than the last one
    /// adds no arrivals and becomes the new base.
    pub fn update(&mut self, counted: u64, now: Time) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let new = counted.saturating_sub(self.counted);
        let new = f64::from(u32::try_from(new).unwrap_or(u32::MAX));
        let kept = (-passed / Self::TIME_CONSTANT_S).exp();
        self.per_second = self.per_second * kept + new / Self::TIME_CONSTANT_S;
        self.counted = counted;
        self.at = now;
    }

    /// Returns the arrivals per second, corrected for the time that was actually counted.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        let counted = self.at.saturating_sub(self.since).as_secs_f64();
        let counted = counted.max(Self::MIN_COUNTED_S);
        self.per_second / (1.0 - (-counted / Self::TIME_CONSTANT_S).exp())
    }
}

/// A running mean of a level.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningMean {
    value: f64,
    at: Time,
}

impl RunningMean {
    /// Time constant of the mean, in seconds.
    const TIME_CONSTANT_S: f64 = 3.0;

    /// Starts a mean at 0.
    #[must_use]
    pub fn new(at: Time) -> Self {
        Self { value: 0.0, at }
    }

    /// Updates the mean with the level at `now`, as if it had held since the last update.
    pub fn update(&mut self, level: f64, now: Time) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / Self::TIME_CONSTANT_S).exp();
        self.value = self.value * kept + level * (1.0 - kept);
        self.at = now;
    }

    /// Returns the current mean.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }
}

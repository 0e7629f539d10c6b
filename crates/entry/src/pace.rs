//! Estimates how long work takes at each target relative to the usual time.
//!
//! A target may state its pace with each response. The statement is exact when it is made and holds
//! for a short time only, so its weight decays to the target's own mean. What targets don't state,
//! or state wrongly, shows in the time to the first byte: the ratio of observed to expected time is
//! averaged per target and corrects the stated pace.

use std::collections::HashMap;
use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};
use cornelhitch_types::target::Pace;

/// Age at which a stated pace has half its weight; slow periods of targets last some hundred
/// milliseconds.
const STATED_HALF_LIFE: Duration = Duration::from_millis(400);

/// Time over which a target's mean pace is taken.
const MEAN_TIME: Duration = Duration::from_secs(30);

/// Time after which a correction has half its distance from the target's mean correction.
const CORRECTION_HALF_LIFE: Duration = Duration::from_secs(5);

/// Weight of a new response in the correction.
const CORRECTION_GAIN: f64 = 0.2;

/// Weight of a new response in a target's mean correction.
const MEAN_CORRECTION_GAIN: f64 = 0.02;

/// Largest ratio of observed to expected time that one response counts as; also that of a failure,
/// after which the request has to start again elsewhere.
const MAX_RATIO: f64 = 8.0;

/// Observed times shorter than expected by this factor or more count as this factor.
const MIN_RATIO: f64 = 0.25;

/// Step of the usual pace, as a natural logarithm.
const USUAL_STEP: f64 = 0.2;

/// The estimate for one target.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// The last stated pace, with its time.
    stated: Option<(f64, Time)>,
    /// Mean of the stated paces.
    mean: f64,
    /// Number of statements in the mean, up to which it is a plain mean.
    statements: f64,
    /// Natural logarithm of the ratio of observed to expected time.
    correction: f64,
    /// The mean of these logarithms over a longer time.
    mean_correction: f64,
    /// When the correction was last changed.
    corrected: Time,
}

impl Default for Estimate {
    /// Returns the estimate of an unknown target, which counts as one statement of the usual pace.
    fn default() -> Self {
        Self {
            stated: None,
            mean: 1.0,
            statements: 1.0,
            correction: 0.0,
            mean_correction: 0.0,
            corrected: Time::ZERO,
        }
    }
}

/// Returns the weight that is left after a time.
fn decay(elapsed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}

impl Estimate {
    /// Includes a stated pace.
    fn state(&mut self, ratio: f64, now: Time) {
        let since = self.stated.map_or(Time::ZERO, |(_, at)| at);
        let elapsed = now.saturating_sub(since).as_secs_f64();
        let by_time = 1.0 - (-elapsed / MEAN_TIME.as_secs_f64()).exp();
        self.statements += 1.0;
        let gain = by_time.max(1.0 / self.statements).min(0.5);
        self.mean += gain * (ratio - self.mean);
        self.stated = Some((ratio, now));
    }

    /// Returns the correction's logarithm, decayed to the target's mean.
    fn correction(&self, now: Time) -> f64 {
        let kept = decay(now.saturating_sub(self.corrected), CORRECTION_HALF_LIFE);
        self.mean_correction + (self.correction - self.mean_correction) * kept
    }

    /// Includes a ratio of observed to expected time.
    fn correct(&mut self, ratio: f64, now: Time) {
        let log = ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        let known = self.correction(now);
        self.correction = known + CORRECTION_GAIN * log;
        self.mean_correction += MEAN_CORRECTION_GAIN * (known + log - self.mean_correction);
        self.corrected = now;
    }

    /// Returns the pace as last stated, decayed to the mean.
    fn stated(&self, now: Time) -> f64 {
        let Some((ratio, at)) = self.stated else {
            return self.mean;
        };
        let kept = decay(now.saturating_sub(at), STATED_HALF_LIFE);
        self.mean + (ratio - self.mean) * kept
    }
}

/// The pace of all targets.
#[derive(Debug, Default)]
pub struct Paces {
    targets: HashMap<TargetId, Estimate>,
}

impl Paces {
    /// Records the pace that a target stated at a time. An older statement than the last known one
    /// is ignored.
    pub fn record_stated(&mut self, target: &TargetId, pace: Pace, at: Time) {
        let known = self.entry(target);
        if known.stated.is_none_or(|(_, last)| last < at) {
            known.state(pace.ratio(), at);
        }
    }

    /// Records a time to the first byte, as a multiple of what the estimate of that time was.
    ///
    /// ```
    /// use cornelhitch_entry::pace::Paces;
    /// use std::time::Duration;
    ///
    /// let (mut paces, target) = (Paces::default(), "worker-1".into());
    /// for _ in 0..30 {
    ///     let expected = paces.ratio("worker-1", Duration::ZERO);
    ///     paces.record_observed(&target, 2.0 / expected, Duration::ZERO);
    /// }
    /// assert!((paces.ratio("worker-1", Duration::ZERO) - 2.0).abs() < 0.1);
    /// ```
    pub fn record_observed(&mut self, target: &TargetId, ratio: f64, now: Time) {
        if ratio.is_finite() {
            self.entry(target).correct(ratio, now);
        }
    }

    /// Records a failed request, which delays its caller as a very slow response does.
    pub fn record_failure(&mut self, target: &TargetId, now: Time) {
        self.entry(target).correct(MAX_RATIO, now);
    }

    /// Returns how long work takes at a target relative to the usual time; 1 if nothing is known.
    #[must_use]
    pub fn ratio(&self, target: &str, now: Time) -> f64 {
        self.targets
            .get(target)
            .map_or(1.0, |known| known.stated(now) * known.correction(now).exp())
    }

    /// Returns how long work usually takes at a target, rounded to steps of a fifth so that hosts with
    /// slightly different estimates mostly agree.
    ///
    /// ```
    /// use cornelhitch_entry::pace::Paces;
    ///
    /// assert!((Paces::default().usual("worker-1") - 1.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn usual(&self, target: &str) -> f64 {
        self.targets.get(target).map_or(1.0, |known| {
            let log = known.mean.ln() + known.mean_correction;
            ((log / USUAL_STEP).round() * USUAL_STEP).exp()
        })
    }

    /// Returns the pace that a target last stated, with the time of that.
    #[must_use]
    pub fn stated(&self, target: &str) -> Option<(f64, Time)> {
        self.targets.get(target)?.stated
    }

    /// Drops the estimate of a target that was removed or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the estimate of a target, a new one if there is none.
    fn entry(&mut self, target: &TargetId) -> &mut Estimate {
        if !self.targets.contains_key(target) {
            self.targets.insert(target.clone(), Estimate::default());
        }
        self.targets.entry(target.clone()).or_default()
    }
}

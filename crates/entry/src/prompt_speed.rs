//! Learns how long targets take to process a prompt token.
//!
//! How much of a prompt a target has to process is known within bounds only, since its cache is not
//! known exactly, and a response may wait for reasons that this host doesn't know. So the estimate
//! moves only when an observed time contradicts it for every number of tokens within the bounds, and
//! it moves down faster than up: it tracks a low quantile of the times.

/// Time to process one prompt token before any response was observed, in milliseconds: the 4 ms for
/// a block of 177 tokens that load routing assumes.
pub const DEFAULT_MS_PER_TOKEN: f64 = 4.0 / 177.0;

/// Time to the first byte of a response without a prompt before any was observed, in milliseconds.
const DEFAULT_BASE_MS: f64 = 10.0;

/// The time of a token stays within this factor of the default in either direction.
const MAX_FACTOR: f64 = 20.0;

/// Relative change of the time of a token by one response that contradicts it.
const TOKEN_STEP: f64 = 0.05;

/// Change of the base time by one response, in milliseconds.
const BASE_STEP_MS: f64 = 1.0;

/// Quantile of the times that the estimates track.
const QUANTILE: f64 = 0.25;

/// Fewest tokens from which an upper bound of the time of a token is derived.
const MIN_TOKENS: f64 = 200.0;

/// The estimate: a base time, and a time for each prompt token.
#[derive(Debug, Clone, Copy)]
pub struct PromptSpeed {
    ms_per_token: f64,
    base_ms: f64,
}

impl Default for PromptSpeed {
    fn default() -> Self {
        Self {
            ms_per_token: DEFAULT_MS_PER_TOKEN,
            base_ms: DEFAULT_BASE_MS,
        }
    }
}

impl PromptSpeed {
    /// Records a response that began after `ms` at the usual pace, with at least and at most so many
    /// tokens to be processed first.
    ///
    /// ```
    /// use cornelhitch_entry::prompt_speed::PromptSpeed;
    ///
    /// let mut speed = PromptSpeed::default();
    /// for tokens in (0..2_000).map(|n| f64::from(n % 10) * 1_000.0) {
    ///     speed.record(tokens, tokens, 30.0 + tokens * 0.04);
    /// }
    /// assert!((speed.ms_per_token() - 0.04).abs() < 0.004);
    /// ```
    pub fn record(&mut self, least: f64, most: f64, ms: f64) {
        if ms < self.base_ms + self.ms_per_token * least {
            self.base_ms = (self.base_ms - BASE_STEP_MS * (1.0 - QUANTILE)).max(0.0);
        } else {
            self.base_ms += BASE_STEP_MS * QUANTILE * self.base_share(most);
        }
        let rest = (ms - self.base_ms).max(0.0);
        if rest > self.ms_per_token * most && most >= MIN_TOKENS {
            self.ms_per_token *= 1.0 + TOKEN_STEP * QUANTILE;
        } else if least >= MIN_TOKENS && rest < self.ms_per_token * least {
            self.ms_per_token *= 1.0 - TOKEN_STEP * (1.0 - QUANTILE);
        }
        self.ms_per_token = self.ms_per_token.clamp(
            DEFAULT_MS_PER_TOKEN / MAX_FACTOR,
            DEFAULT_MS_PER_TOKEN * MAX_FACTOR,
        );
    }

    /// Returns the share of the base in the expected time: a response with many tokens says little of
    /// the base.
    fn base_share(&self, tokens: f64) -> f64 {
        let base = self.base_ms.max(1.0);
        base / (base + self.ms_per_token * tokens)
    }

    /// Returns the time to process one prompt token, in milliseconds.
    #[must_use]
    pub fn ms_per_token(&self) -> f64 {
        self.ms_per_token
    }

    /// Returns the expected time to the first byte with `tokens` to be processed first, in
    /// milliseconds at the usual pace.
    #[must_use]
    pub fn expected_ms(&self, tokens: f64) -> f64 {
        self.base_ms + self.ms_per_token * tokens
    }
}

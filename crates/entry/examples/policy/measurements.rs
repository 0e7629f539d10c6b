//! The measurements of a simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::Refusal;

use crate::bench::RequestInfo;

/// The measurements of one class.
#[derive(Debug, Default, Clone)]
pub struct Class {
    pub arrived: u64,
    pub refused: u64,
    pub response_times: Vec<Duration>,
    /// Times from arrival to refusal.
    pub refused_after: Vec<Duration>,
}

/// The measurements of a simulation.
#[derive(Debug, Clone)]
pub struct Measurements {
    pub classes: BTreeMap<&'static str, Class>,
    pub reasons: BTreeMap<String, u64>,
    pub span: Duration,
    /// Number of sends by engine.
    pub sends: Vec<u64>,
    /// Ratio of the largest load to the mean among engines, sampled every 100 ms.
    pub spread: Vec<f64>,
    /// Bytes of requests that were sent to another region.
    pub cross_region_bytes: u64,
    /// Number of responses that ended while requests still arrived.
    pub in_span: usize,
    /// Maximum number of requests queued inside an engine.
    pub queued: usize,
    /// If set, response times are recorded only for requests that arrived within it.
    pub window: Option<(Time, Time)>,
    /// Number of engines that died.
    pub lost: u64,
    /// The largest number of requests in flight on an engine that died.
    pub batch: usize,
}

impl Measurements {
    pub fn new(engines: usize, span: Duration) -> Self {
        Self {
            classes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            span,
            sends: vec![0; engines],
            spread: Vec::new(),
            cross_region_bytes: 0,
            in_span: 0,
            queued: 0,
            window: None,
            lost: 0,
            batch: 0,
        }
    }

    pub fn arrived(&mut self, class: &'static str) {
        self.classes.entry(class).or_default().arrived += 1;
    }

    pub fn finished(&mut self, info: &RequestInfo, now: Time) {
        if now <= self.span {
            self.in_span += 1;
        }
        let inside = |(from, to): (Time, Time)| info.at >= from && info.at < to;
        if !self.window.is_none_or(inside) {
            return;
        }
        let class = self.classes.entry(info.class).or_default();
        class.response_times.push(now.saturating_sub(info.at));
    }

    pub fn refused(&mut self, info: &RequestInfo, refusal: &Refusal, now: Time) {
        let class = self.classes.entry(info.class).or_default();
        class.refused += 1;
        class.refused_after.push(now.saturating_sub(info.at));
        let reason = format!("{} ({})", refusal.reason, refusal.run);
        *self.reasons.entry(reason).or_default() += 1;
    }

    pub fn sent(&mut self, engine: usize, info: &RequestInfo, regions: usize) {
        self.sends[engine] += 1;
        if engine % regions != info.region {
            self.cross_region_bytes += info.bytes;
        }
    }

    pub fn sample(&mut self, loads: &[u32]) {
        let sum: u32 = loads.iter().sum();
        let count = u32::try_from(loads.len()).unwrap_or(1);
        if sum >= count {
            let most = loads.iter().copied().max().unwrap_or_default();
            self.spread.push(f64::from(most * count) / f64::from(sum));
        }
    }

    pub fn done(&self) -> usize {
        self.classes
            .values()
            .map(|class| class.response_times.len())
            .sum()
    }

    pub fn refusals(&self) -> u64 {
        self.classes.values().map(|class| class.refused).sum()
    }

    /// Returns the responses per second over the time in which requests arrived.
    #[allow(clippy::cast_precision_loss)]
    pub fn goodput(&self) -> f64 {
        self.in_span as f64 / self.span.as_secs_f64()
    }

    pub fn mean_spread(&self) -> f64 {
        let count = u32::try_from(self.spread.len().max(1)).unwrap_or(1);
        self.spread.iter().sum::<f64>() / f64::from(count)
    }

    /// Returns the 99th percentile of a class's response times, in milliseconds.
    pub fn p99(&self, class: &str) -> u128 {
        percentile(
            self.classes
                .get(class)
                .map_or(&[], |class| &class.response_times),
            99,
        )
    }

    pub fn mean_ms(&self) -> u128 {
        let all: Vec<Duration> = self
            .classes
            .values()
            .flat_map(|class| class.response_times.clone())
            .collect();
        let sum: Duration = all.iter().sum();
        sum.as_millis() / all.len().max(1) as u128
    }
}

/// Returns the percentile `percent` of the times, in milliseconds.
pub fn percentile(times: &[Duration], percent: usize) -> u128 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times.get(index).map_or(0, Duration::as_millis)
}

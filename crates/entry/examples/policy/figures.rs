//! What is counted in a run.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::Refusal;

use crate::bench::Ticket;

/// The counts of one class.
#[derive(Debug, Default, Clone)]
pub struct Class {
    pub arrived: u64,
    pub refused: u64,
    pub took: Vec<Duration>,
    /// Times to a refusal.
    pub refused_after: Vec<Duration>,
}

/// What is counted in a run.
#[derive(Debug, Clone)]
pub struct Figures {
    pub classes: BTreeMap<&'static str, Class>,
    pub reasons: BTreeMap<String, u64>,
    pub span: Duration,
    /// Sends by engine.
    pub sends: Vec<u64>,
    /// Most requests over the mean among engines, once every 100 ms.
    pub spread: Vec<f64>,
    /// Bytes of requests that went to another region.
    pub crossed: u64,
    /// Answers while requests arrived.
    pub in_span: usize,
    /// Requests that waited inside an engine, at most.
    pub queued: usize,
    /// Only times of requests that arrived within it are kept, if there is one.
    pub window: Option<(Time, Time)>,
    /// Engines lost.
    pub lost: u64,
    /// The largest batch that died.
    pub batch: usize,
}

impl Figures {
    pub fn new(engines: usize, span: Duration) -> Self {
        Self {
            classes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            span,
            sends: vec![0; engines],
            spread: Vec::new(),
            crossed: 0,
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

    pub fn finished(&mut self, ticket: &Ticket, now: Time) {
        if now <= self.span {
            self.in_span += 1;
        }
        let inside = |(from, to): (Time, Time)| ticket.at >= from && ticket.at < to;
        if !self.window.is_none_or(inside) {
            return;
        }
        let class = self.classes.entry(ticket.class).or_default();
        class.took.push(now.saturating_sub(ticket.at));
    }

    pub fn refused(&mut self, ticket: &Ticket, refusal: &Refusal, now: Time) {
        let class = self.classes.entry(ticket.class).or_default();
        class.refused += 1;
        class.refused_after.push(now.saturating_sub(ticket.at));
        let reason = format!("{} ({})", refusal.reason, refusal.run);
        *self.reasons.entry(reason).or_default() += 1;
    }

    pub fn sent(&mut self, engine: usize, ticket: &Ticket, regions: usize) {
        self.sends[engine] += 1;
        if engine % regions != ticket.region {
            self.crossed += ticket.bytes;
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
        self.classes.values().map(|class| class.took.len()).sum()
    }

    pub fn refusals(&self) -> u64 {
        self.classes.values().map(|class| class.refused).sum()
    }

    /// Answers a second, counted over the time in which requests arrived.
    #[allow(clippy::cast_precision_loss)]
    pub fn goodput(&self) -> f64 {
        self.in_span as f64 / self.span.as_secs_f64()
    }

    pub fn mean_spread(&self) -> f64 {
        let count = u32::try_from(self.spread.len().max(1)).unwrap_or(1);
        self.spread.iter().sum::<f64>() / f64::from(count)
    }

    /// The 99th of 100 times of a class, in milliseconds.
    pub fn p99(&self, class: &str) -> u128 {
        percentile(self.classes.get(class).map_or(&[], |class| &class.took), 99)
    }

    pub fn mean_ms(&self) -> u128 {
        let all: Vec<Duration> = self
            .classes
            .values()
            .flat_map(|class| class.took.clone())
            .collect();
        let sum: Duration = all.iter().sum();
        sum.as_millis() / all.len().max(1) as u128
    }
}

/// The time that `part` of 100 do not exceed, in milliseconds.
pub fn percentile(times: &[Duration], part: usize) -> u128 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let index = (times.len() * part / 100).min(times.len().saturating_sub(1));
    times.get(index).map_or(0, Duration::as_millis)
}

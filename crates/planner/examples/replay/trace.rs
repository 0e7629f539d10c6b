//! Synthetic request arrivals and faults, generated from a seed.

use std::time::Duration;

use cornelhitch_settings::fleet::{FleetSettings, Model};
use cornelhitch_types::id::{ModelId, RegionId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::{Display, EnumIter};

use super::world::Call;

/// Duration of a replay.
pub const LENGTH: Duration = Duration::from_hours(8);
/// Time before the measurement starts, so that every policy has seen each model.
pub const WARM_UP: Duration = Duration::from_hours(2);

/// The load and faults of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Infrequent requests for every model.
    Rare,
    /// Infrequent requests, and sessions with bursts of requests for some models.
    Bursts,
    /// The load of `Bursts`, with a zone that fails for a while.
    DeadZone,
    /// The load of `Bursts`, with a weight store that is slow for a while.
    SlowStore,
}

/// A fault of the fleet, or its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The worker with this index fails.
    Fail(usize),
    /// The worker with this index returns.
    Return(usize),
    /// The weight store becomes this many times slower than declared.
    Slow(f64),
}

/// Arrivals and faults of one replay.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// Requests in order of arrival.
    pub calls: Vec<Call>,
    /// Faults and their times, in order.
    pub faults: Vec<(Time, Fault)>,
    /// Copies on disk at the start: worker index and model.
    pub copies: Vec<(usize, ModelId)>,
}

/// Generates one trace.
struct Generator<'a> {
    fleet: &'a FleetSettings,
    random: SmallRng,
    trace: Trace,
}

impl Trace {
    /// Generates the trace of a scenario from a seed.
    pub fn new(fleet: &FleetSettings, scenario: Scenario, seed: u64) -> Self {
        let mut generator = Generator {
            fleet,
            random: SmallRng::seed_from_u64(seed),
            trace: Self::default(),
        };
        generator.copies();
        generator.rare();
        if scenario != Scenario::Rare {
            generator.bursts();
        }
        generator.faults(scenario);
        generator.trace.calls.sort_by_key(|call| call.at);
        generator.trace
    }
}

impl Generator<'_> {
    /// Returns a uniformly distributed number.
    fn within(&mut self, from: f64, to: f64) -> f64 {
        self.random.random_range(from..to)
    }

    /// Returns an exponentially distributed time to the next event.
    fn wait(&mut self, mean: f64) -> f64 {
        -mean * self.within(f64::EPSILON, 1.0).ln()
    }

    /// Picks a random region.
    fn region(&mut self) -> RegionId {
        let index = self.random.random_range(0..self.fleet.regions.len());
        self.fleet.regions[index].name.clone()
    }

    /// Generates the copies on disk at the start: up to two for each model, on random workers.
    fn copies(&mut self) {
        for model in &self.fleet.models {
            for _ in 0..self.random.random_range(0..3) {
                let worker = self.random.random_range(0..12);
                self.trace.copies.push((worker, model.name.clone()));
            }
        }
    }

    /// Generates infrequent requests: at regular times for one model in four, at random for the
    /// others.
    fn rare(&mut self) {
        let models = self.fleet.models.clone();
        for model in &models {
            let mean = self.within(120.0_f64.ln(), 10_800.0_f64.ln()).exp();
            let regular = self.random.random_bool(0.25);
            let mut at = self.within(0.0, mean);
            while at < LENGTH.as_secs_f64() {
                let size = self.random.random_range(1..=4);
                self.burst(model, at, size, 2.0);
                at += if regular {
                    mean * self.within(0.9, 1.1)
                } else {
                    self.wait(mean).max(1.0)
                };
            }
        }
    }

    /// Generates sessions of frequent requests for models of the first two groups.
    fn bursts(&mut self) {
        let models = self.fleet.models.clone();
        let first: Vec<&Model> = models
            .iter()
            .filter(|model| self.in_group(model, 0))
            .collect();
        let second: Vec<&Model> = models
            .iter()
            .filter(|model| self.in_group(model, 1))
            .collect();
        let mut at = self.within(600.0, 2_400.0);
        while at < LENGTH.as_secs_f64() {
            let length = self.within(900.0, 2_400.0);
            for model in &first {
                self.session(model, at, length);
            }
            for _ in 0..3 {
                let index = self.random.random_range(0..second.len());
                self.session(second[index], at, length);
            }
            at += length + self.within(1_200.0, 3_600.0);
        }
    }

    /// Returns whether a model belongs to the group at an index.
    fn in_group(&self, model: &Model, group: usize) -> bool {
        model.group.as_ref() == Some(&self.fleet.groups[group].name)
    }

    /// Generates a session of one model: an initial burst, then a steady rate.
    fn session(&mut self, model: &Model, start: f64, length: f64) {
        let size = self.random.random_range(5..=30);
        self.burst(model, start, size, 10.0);
        let mean = self.within(10.0, 60.0);
        let mut at = start + self.wait(mean);
        while at < start + length {
            let size = self.random.random_range(1..=2);
            self.burst(model, at, size, 1.0);
            at += self.wait(mean);
        }
    }

    /// Generates `size` requests for one model within `spread` seconds.
    fn burst(&mut self, model: &Model, at: f64, size: u32, spread: f64) {
        for _ in 0..size {
            let at = at + self.within(0.0, spread);
            if at >= LENGTH.as_secs_f64() {
                continue;
            }
            let adapters = model.adapters.len();
            let adapter = (adapters > 0).then(|| self.random.random_range(0..adapters));
            let call = Call {
                at: Duration::from_secs_f64(at),
                model: model.name.clone(),
                region: self.region(),
                service: Duration::from_secs_f64(self.within(1.0, 6.0)),
                adapter: adapter.map(|index| model.adapters[index].clone()),
            };
            self.trace.calls.push(call);
        }
    }

    /// Generates the faults of the scenario.
    fn faults(&mut self, scenario: Scenario) {
        let at = |share: f64| LENGTH.mul_f64(share);
        match scenario {
            Scenario::Rare | Scenario::Bursts => {}
            Scenario::DeadZone => {
                // The workers of one zone are every second one of the four in a region.
                let first = self.random.random_range(0..3) * 4;
                let faults = &mut self.trace.faults;
                faults.extend([0, 2].map(|i| (at(0.5), Fault::Fail(first + i))));
                faults.extend([0, 2].map(|i| (at(0.6), Fault::Return(first + i))));
            }
            Scenario::SlowStore => {
                self.trace.faults.push((at(0.4), Fault::Slow(4.0)));
                self.trace.faults.push((at(0.7), Fault::Slow(1.0)));
            }
        }
    }
}

//! Arrivals and faults of one replay, from a seed.

use std::time::Duration;

use cornelhitch_settings::fleet::{Fleet, Model};
use cornelhitch_types::id::{ModelId, RegionId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::{Display, EnumIter};

use super::world::Call;

/// The length of a replay.
pub const LENGTH: Duration = Duration::from_hours(8);
/// Nothing before it is measured, so that every policy has seen each model.
pub const WARM_UP: Duration = Duration::from_hours(2);

/// What happens in a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Steady rare calls of every model.
    Rare,
    /// Auction lanes or school projects over fewer rare calls.
    Bursts,
    /// Rare calls and bursts while a zone is dead for a while.
    DeadZone,
    /// Rare calls and bursts while the weight store is slow for a while.
    SlowStore,
}

/// A change of the fleet at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A worker dies.
    Die(usize),
    /// A worker comes back.
    Return(usize),
    /// The weight store becomes this many times slower than declared.
    Slow(f64),
}

/// Arrivals and faults of one replay.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// Requests in the order of time.
    pub calls: Vec<Call>,
    /// Faults in the order of time.
    pub faults: Vec<(Time, Fault)>,
    /// Copies on disks at the start: worker and model.
    pub copies: Vec<(usize, ModelId)>,
}

/// Makes one trace.
struct Maker<'a> {
    fleet: &'a Fleet,
    random: SmallRng,
    trace: Trace,
}

impl Trace {
    /// The trace of a scenario and a seed.
    pub fn new(fleet: &Fleet, scenario: Scenario, seed: u64) -> Self {
        let mut maker = Maker {
            fleet,
            random: SmallRng::seed_from_u64(seed),
            trace: Self::default(),
        };
        maker.copies();
        maker.rare();
        if scenario != Scenario::Rare {
            maker.bursts();
        }
        maker.faults(scenario);
        maker.trace.calls.sort_by_key(|call| call.at);
        maker.trace
    }
}

impl Maker<'_> {
    /// A number in a range.
    fn within(&mut self, from: f64, to: f64) -> f64 {
        self.random.random_range(from..to)
    }

    /// A time after which the next of some random events comes.
    fn wait(&mut self, mean: f64) -> f64 {
        -mean * self.within(f64::EPSILON, 1.0).ln()
    }

    /// A region.
    fn region(&mut self) -> RegionId {
        let index = self.random.random_range(0..self.fleet.regions.len());
        self.fleet.regions[index].name.clone()
    }

    /// Copies that are on disks at the start, unevenly.
    fn copies(&mut self) {
        for model in &self.fleet.models {
            for _ in 0..self.random.random_range(0..3) {
                let worker = self.random.random_range(0..12);
                self.trace.copies.push((worker, model.name.clone()));
            }
        }
    }

    /// Rare calls: a model in four is called at regular times, the others at random.
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

    /// Sessions in which the models of the first two groups are called again and again.
    fn bursts(&mut self) {
        let models = self.fleet.models.clone();
        let first: Vec<&Model> = models.iter().filter(|model| self.of(model, 0)).collect();
        let second: Vec<&Model> = models.iter().filter(|model| self.of(model, 1)).collect();
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

    /// Whether a model is of the group at an index.
    fn of(&self, model: &Model, group: usize) -> bool {
        model.group.as_ref() == Some(&self.fleet.groups[group].name)
    }

    /// A session of one model: many first requests at once, then steady ones.
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

    /// Requests for one model within a few seconds.
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

    /// Faults of the scenario.
    fn faults(&mut self, scenario: Scenario) {
        let at = |share: f64| LENGTH.mul_f64(share);
        match scenario {
            Scenario::Rare | Scenario::Bursts => {}
            Scenario::DeadZone => {
                // The workers of one zone: every second one of a region's four.
                let first = self.random.random_range(0..3) * 4;
                let faults = &mut self.trace.faults;
                faults.extend([0, 2].map(|i| (at(0.5), Fault::Die(first + i))));
                faults.extend([0, 2].map(|i| (at(0.6), Fault::Return(first + i))));
            }
            Scenario::SlowStore => {
                self.trace.faults.push((at(0.4), Fault::Slow(4.0)));
                self.trace.faults.push((at(0.7), Fault::Slow(1.0)));
            }
        }
    }
}

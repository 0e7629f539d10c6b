//! The simulated engines, and what control publishes about them.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use cornelhitch_entry::event::{CallId, Failure};
use cornelhitch_entry::prelude::*;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::Name;
use cornelhitch_types::target::{CacheEvent, Kind, Load};
use cornelhitch_types::view::{Change, Replica, State, Target};
use rand::Rng;

use crate::bench::{Bench, Job, ScheduledEvent};

/// Time to prefill one block that is not cached.
const PREFILL_PER_BLOCK: Duration = Duration::from_millis(4);

/// Number of blocks in the shared prefix of a group of callers.
pub const SHARED_BLOCKS: u64 = 32;

/// Number of prefixes that an engine's cache holds.
const MAX_CACHED_PREFIXES: usize = 12;

/// A simulated engine.
pub struct Engine {
    pub incarnation: u64,
    pub alive: bool,
    pub running: HashSet<CallId>,
    pub queued: VecDeque<Job>,
    pub cached: VecDeque<u64>,
    pub events: Vec<CacheEvent>,
    pub sequence: u64,
}

impl Bench {
    pub(crate) fn settings(&self) -> String {
        let regions: Vec<String> = (0..self.setup.regions)
            .map(|region| format!("{{ name: r{region}, distance-ms: 30, price: 0.1 }}"))
            .collect();
        format!(
            "
refusing: {{ queue: 2000, caller: 100000 }}
placing: {{ concurrency: {} }}
regions: [{}]
classes:
  - {{ name: preview, weight: 100, deadline-ms: 2000 }}
  - {{ name: heritage, weight: 20, deadline-ms: 10000 }}
  - {{ name: pattern, weight: 1, deadline-ms: 20000 }}
models: [{{ name: report, bytes: 1000 }}]
",
            self.setup.concurrency,
            regions.join(", ")
        )
    }

    pub(crate) fn host(&self, core: usize) -> Change {
        let region = core % self.setup.regions;
        Change::Entry(Host {
            host: core as u64,
            incarnation: 1,
            address: ([10, 0, 0, 1], 8_000).into(),
            region: format!("r{region}").into(),
            zone: format!("z{region}").into(),
            load: self.cores[core].load(),
            draining: false,
            settings: 1,
        })
    }

    pub(crate) fn engine(&self, engine: usize, load: Load) -> [Change; 2] {
        let region = engine % self.setup.regions;
        let name: Name = format!("w{engine}").into();
        let known = &self.engines[engine];
        let target = Target {
            target: name.clone(),
            incarnation: known.incarnation,
            kind: Kind::Worker,
            address: ([10, 1, 0, 1], 9_000).into(),
            region: format!("r{region}").into(),
            zone: format!("z{region}").into(),
            services: Vec::new(),
            open: known.alive,
            load,
            slots: None,
        };
        let replica = Replica {
            replica: engine as u64 + known.incarnation * 1_000,
            model: "report".into(),
            version: None,
            target: name,
            state: State::Ready,
            ready_in_ms: 0,
            adapters: Vec::new(),
        };
        [Change::Target(target), Change::Replica(replica)]
    }

    pub(crate) fn written(&mut self, job: Job, engine: usize, incarnation: u64) {
        let known = &mut self.engines[engine];
        if !known.alive || known.incarnation != incarnation {
            let (id, attempt) = (job.id, job.attempt);
            let failure = Failure::Broken;
            let event = Event::Failed {
                id,
                attempt,
                failure,
            };
            self.schedule(self.now, ScheduledEvent::Event(job.core, Box::new(event)));
            return;
        }
        known.queued.push_back(job);
        self.start(engine);
        let queued = self.engines[engine].queued.len();
        self.measurements.queued = self.measurements.queued.max(queued);
    }

    /// Starts queued requests while an engine has free slots.
    pub(crate) fn start(&mut self, engine: usize) {
        loop {
            let known = &mut self.engines[engine];
            if !known.alive || known.running.len() >= self.setup.concurrency as usize {
                return;
            }
            let Some(job) = known.queued.pop_front() else {
                return;
            };
            known.running.insert(job.id);
            let info = &self.infos[&job.id];
            self.measurements.sent(engine, info, self.setup.regions);
            if info.poison {
                self.schedule(
                    self.now + Duration::from_millis(50),
                    ScheduledEvent::Die(engine),
                );
                continue;
            }
            let group = info.group;
            let read = self.read(engine, group);
            let sample: f64 = self.random.random_range(1e-9..1.0);
            let response_times = self.setup.mean.mul_f64(0.5 - 0.5 * sample.ln());
            let incarnation = self.engines[engine].incarnation;
            self.schedule(
                self.now + read + response_times,
                ScheduledEvent::Ended(engine, incarnation, job),
            );
        }
    }

    /// Updates the engine's prefix cache and returns the time to prefill a prompt.
    fn read(&mut self, engine: usize, group: u64) -> Duration {
        if group == 0 {
            return Duration::ZERO;
        }
        let known = &mut self.engines[engine];
        if let Some(index) = known.cached.iter().position(|held| *held == group) {
            known.cached.remove(index);
            known.cached.push_back(group);
            return Duration::ZERO;
        }
        known.cached.push_back(group);
        let evicted = (known.cached.len() > MAX_CACHED_PREFIXES).then(|| known.cached.pop_front());
        for (group, held) in [(Some(group), true), (evicted.flatten(), false)] {
            if let Some(group) = group {
                known.sequence += 1;
                known.events.push(CacheEvent {
                    sequence: known.sequence,
                    model: "report".into(),
                    prefix: group * 1_000 + SHARED_BLOCKS - 1,
                    held,
                });
            }
        }
        PREFILL_PER_BLOCK * u32::try_from(SHARED_BLOCKS).unwrap_or_default()
    }

    pub(crate) fn ended(&mut self, engine: usize, incarnation: u64, job: Job) {
        let known = &mut self.engines[engine];
        if known.incarnation != incarnation || !known.running.remove(&job.id) {
            return;
        }
        let (id, attempt) = (job.id, job.attempt);
        let back = self.now + self.latency(job.core, engine);
        if self.random.random_range(0..100) < self.setup.failure_percent {
            let failure = Failure::Status;
            let event = Event::Failed {
                id,
                attempt,
                failure,
            };
            self.schedule(back, ScheduledEvent::Event(job.core, Box::new(event)));
            self.start(engine);
            return;
        }
        self.schedule(
            back,
            ScheduledEvent::Event(job.core, Box::new(Event::ResponseStarted { id, attempt })),
        );
        self.schedule(
            back,
            ScheduledEvent::Event(job.core, Box::new(Event::ResponseEnded { id, attempt })),
        );
        self.start(engine);
    }

    /// Samples the load; once per second, engines and entry hosts report theirs.
    pub(crate) fn report(&mut self) {
        let loads: Vec<u32> = self.engines.iter().map(engine_load).collect();
        self.measurements.sample(&loads);
        let second = self.now.as_millis().is_multiple_of(1_000);
        if second {
            let mut changes = Vec::new();
            for engine in 0..self.engines.len() {
                let known = &self.engines[engine];
                let load = Load {
                    running: u32::try_from(known.running.len()).unwrap_or_default(),
                    queued: u32::try_from(known.queued.len()).unwrap_or_default(),
                    age_ms: u32::try_from(self.setup.lag.as_millis()).unwrap_or_default(),
                };
                let [target, _] = self.engine(engine, load);
                changes.push(target);
                let events = std::mem::take(&mut self.engines[engine].events);
                changes.push(Change::Cache(format!("w{engine}").into(), events));
            }
            changes.extend((0..self.cores.len()).map(|core| self.host(core)));
            self.publish(changes, self.setup.lag);
        }
        if self.now < self.setup.span {
            self.schedule(
                self.now + Duration::from_millis(100),
                ScheduledEvent::Report,
            );
        }
    }

    pub(crate) fn die(&mut self, engine: usize) {
        let known = &mut self.engines[engine];
        if !known.alive {
            return;
        }
        known.alive = false;
        known.incarnation += 1;
        known.cached.clear();
        self.measurements.lost += 1;
        self.measurements.batch = self.measurements.batch.max(known.running.len());
        let running: Vec<CallId> = known.running.drain().collect();
        let queued: Vec<CallId> = known.queued.drain(..).map(|job| job.id).collect();
        let mut ids = [running, queued].concat();
        ids.sort_unstable();
        for id in ids {
            self.fail_in_flight(id);
        }
        let changes = self.engine(engine, Load::default()).to_vec();
        self.publish(changes, Duration::from_millis(1_500));
        self.schedule(
            self.now + Duration::from_secs(4),
            ScheduledEvent::Restart(engine),
        );
    }

    /// Reports a broken connection to the core that has the request in flight.
    fn fail_in_flight(&mut self, id: CallId) {
        for core in 0..self.cores.len() {
            let row = self.cores[core]
                .dump()
                .calls
                .into_iter()
                .find(|row| row.id == id);
            if let Some(row) = row {
                let (attempt, failure) = (row.attempts, Failure::Broken);
                let event = Event::Failed {
                    id,
                    attempt,
                    failure,
                };
                self.schedule(self.now, ScheduledEvent::Event(core, Box::new(event)));
            }
        }
    }
}

fn engine_load(engine: &Engine) -> u32 {
    u32::try_from(engine.running.len() + engine.queued.len()).unwrap_or_default()
}

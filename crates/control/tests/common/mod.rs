//! Shared test support: constructors of inputs, a simple planner and a single-host harness.

#![allow(dead_code)]

pub mod fake;
pub mod simulation;

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_control::claims::{Claim, Holder, Key};
use cornelhitch_control::prelude::*;
use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::{self, Decision, Reason};
use cornelhitch_planner::fleet_state::{FleetState, Worker};
use cornelhitch_types::demand::{Demand, DemandReport};
use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, ReplicaId, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::Order;
use cornelhitch_types::target::{Announcement, Heartbeat, Holding, Kind, Load, Stage};
use cornelhitch_types::view::{Change, State as ReplicaState};

/// Two models of 40 bytes, one of 50, and one of 10 in an unmanaged group.
pub const MODELS: &str = "
groups: [{ name: old, managed: false }]
models:
  - { name: report, bytes: 40 }
  - { name: preview, bytes: 40 }
  - { name: lane, bytes: 50 }
  - { name: script, bytes: 10, group: old }
placing: { replicas: 2, concurrency: 16, spread: true }
";

/// The time at which every test starts.
pub const START: Time = Duration::from_hours(500_000);

pub fn worker(name: &str, incarnation: u64, memory: u64, fencing: bool) -> Announcement {
    Announcement {
        target: name.into(),
        incarnation,
        kind: Kind::Worker,
        address: ([127, 0, 0, 1], 9).into(),
        region: "perth-a".into(),
        zone: "a1".into(),
        memory,
        accelerators: 1,
        fencing,
        services: Vec::new(),
        slots: None,
        incarnation_is_start_time: false,
    }
}

pub fn heartbeat(
    name: &str,
    incarnation: u64,
    sequence: u64,
    inventory: Vec<Holding>,
) -> Heartbeat {
    Heartbeat {
        target: name.into(),
        incarnation,
        sequence,
        fence: 0,
        inventory,
        load: Load::default(),
        cache: Vec::new(),
        leaving: false,
    }
}

pub fn model_copy(model: &str, replica: Option<ReplicaId>, stage: Stage, bytes: u64) -> Holding {
    Holding {
        model: Reference::base(model),
        replica,
        stage,
        bytes,
        adapters: Vec::new(),
    }
}

/// Builds a report from rows of model, waiting and running requests.
pub fn report(host: HostId, sequence: u64, rows: &[(&str, u32, u32)]) -> DemandReport {
    let row = |(model, waiting, running): &(&str, u32, u32)| Demand {
        model: (*model).into(),
        version: None,
        waiting: *waiting,
        running: *running,
        time_to_deadline: Duration::from_secs(10),
        weight: 1,
        arrivals: u64::from(*waiting),
        adapters: Vec::new(),
    };
    DemandReport {
        host,
        incarnation: 1,
        sequence,
        region: "perth-a".into(),
        rows: rows.iter().map(row).collect(),
    }
}

pub fn entry_host(host: HostId, settings: u64) -> entry::Host {
    entry::Host {
        host,
        incarnation: 1,
        address: ([127, 0, 0, 1], 8).into(),
        region: "perth-a".into(),
        zone: "a1".into(),
        load: 0,
        draining: false,
        settings,
    }
}

pub fn key(text: &str) -> Key {
    Key {
        caller: "ann".into(),
        key: text.into(),
    }
}

pub fn claim(text: &str, digest: u8, host: HostId) -> Claim {
    Claim {
        key: key(text),
        digest: [digest; 32],
        holder: holder(host, 1),
        call: 1,
        issued: None,
    }
}

pub fn holder(host: HostId, incarnation: u64) -> Holder {
    Holder { host, incarnation }
}

/// A planner that places replicas for models with waiting requests, and retires those of models
/// without waiting or running requests.
#[derive(Debug, Default)]
pub struct DemandPlanner;

impl Planner for DemandPlanner {
    fn plan(&mut self, fleet_state: &FleetState, _: Time) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for demand in fleet_state.demand.iter().filter(|it| it.waiting > 0) {
            let Some(model) = fleet_state.settings.model(&demand.model) else {
                continue;
            };
            let existing = fleet_state
                .replicas
                .iter()
                .filter(|it| it.model == model.name);
            let wanted = demand.waiting.div_ceil(4) as usize;
            if existing.count() >= wanted || !fleet_state.settings.managed(model) {
                continue;
            }
            let fits = |it: &&Worker| {
                let present = |replica: &cornelhitch_planner::fleet_state::Replica| {
                    replica.target == it.target && replica.model == model.name
                };
                it.accepts_loads
                    && it.free >= model.bytes
                    && !fleet_state.replicas.iter().any(present)
            };
            if let Some(worker) = fleet_state.workers.iter().find(fits) {
                decisions.push(decision::Action::Load {
                    model: model.name.clone(),
                    version: None,
                    target: worker.target.clone(),
                    bytes: model.bytes,
                });
            }
        }
        for replica in fleet_state
            .replicas
            .iter()
            .filter(|it| it.state == ReplicaState::Ready)
        {
            let same = |it: &&cornelhitch_planner::fleet_state::Demand| it.model == replica.model;
            let demand = fleet_state.demand.iter().filter(same);
            let wanted: u32 = demand.map(|it| it.waiting + it.running).sum();
            if wanted == 0 {
                decisions.push(decision::Action::Unload {
                    replica: replica.replica,
                });
            }
        }
        let decision = |action| Decision {
            action,
            reason: Reason::Waiting,
            detail: "".into(),
        };
        decisions.into_iter().map(decision).collect()
    }

    fn explain(&self, _: &str, _: Time) -> Vec<String> {
        Vec::new()
    }
}

/// A single control host whose proposals are committed immediately.
pub struct Bench {
    pub state: State,
    pub leader: Leader,
    pub now: Time,
    pub term: u64,
    pub log: Vec<(Entry, Command)>,
    pub outputs: Vec<Output>,
}

impl Bench {
    /// Creates a new leader over an empty state.
    pub fn new() -> Self {
        let mut bench = Self {
            state: State::default(),
            leader: Leader::new(Box::new(DemandPlanner)),
            now: START,
            term: 0,
            log: Vec::new(),
            outputs: Vec::new(),
        };
        bench.elect();
        bench
    }

    /// Starts another leader over the same state.
    pub fn elect(&mut self) {
        self.term += 1;
        self.leader = Leader::new(Box::new(DemandPlanner));
        self.handle(Input::Elected { term: self.term });
    }

    /// Restores the state from its snapshot and starts another leader over it.
    pub fn restart(&mut self) {
        self.state = State::restore(&self.state.snapshot()).expect("a snapshot is readable");
        self.elect();
    }

    /// Commits a command without notifying the leader.
    pub fn apply(&mut self, command: &Command) -> Reply {
        let entry = Entry {
            index: self.log.len() as u64 + 1,
            term: self.term,
            time: self.now,
        };
        let command = Command::decode(&command.encode()).expect("a command is readable");
        self.log.push((entry, command.clone()));
        self.state.apply(&entry, command)
    }

    /// Commits a command and notifies the leader.
    pub fn commit(&mut self, command: &Command) -> Reply {
        let reply = self.apply(command);
        self.handle(Input::Applied {
            command: command.clone(),
            reply: reply.clone(),
        });
        reply
    }

    /// Passes an input to the leader and commits its proposals.
    pub fn handle(&mut self, input: Input) {
        let outputs = self.leader.handle(input, &self.state, self.now);
        let mut proposals = VecDeque::new();
        for output in outputs {
            match output {
                Output::Propose(command) => proposals.push_back(command),
                output => self.outputs.push(output),
            }
        }
        for command in proposals {
            self.commit(&command);
        }
    }

    /// Advances the time in steps of 100 ms, each with a tick.
    pub fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.now += Duration::from_millis(100);
            self.handle(Input::Tick);
        }
    }

    /// Applies the first settings text, always under the same request id.
    pub fn apply_settings(&mut self, text: &str) -> Reply {
        self.commit(&Command::Apply(Apply {
            operator: "ann".into(),
            request: "first".into(),
            base: 0,
            text: text.into(),
        }))
    }

    /// Removes and returns the orders sent so far.
    pub fn orders(&mut self) -> Vec<Order> {
        let orders = |it: &Output| match it {
            Output::Order(order) => Some(order.clone()),
            _ => None,
        };
        let found = self.outputs.iter().filter_map(orders).collect();
        self.outputs.retain(|it| !matches!(it, Output::Order(_)));
        found
    }

    /// Removes and returns the changes published so far.
    pub fn changes(&mut self) -> Vec<Change> {
        let changes = |it: &Output| match it {
            Output::Publish { view, .. } => Some(view.changes.clone()),
            _ => None,
        };
        let found = self.outputs.iter().filter_map(changes).flatten().collect();
        self.outputs
            .retain(|it| !matches!(it, Output::Publish { .. }));
        found
    }
}

//! A route table with models, and a simulated worker that handles orders by the platform's rules.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Outcome, Reply as Answer};
use cornelhitch_types::route::{Model, RouteTable, Service, WorkerCapacity};
use cornelhitch_types::target::{
    AnnouncedHeartbeat, Announcement, Heartbeat, Holding, Inspection, Kind, Load, Stage,
};

/// The models, more than two workers can hold.
pub const MODELS: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
/// The number of models that fit into one worker.
pub const MAX_MODELS: u64 = 2;
/// The number of adapters that fit into one worker.
pub const MAX_ADAPTERS: u32 = 3;
/// The time of a load from disk.
pub const FROM_DISK: Time = Duration::from_millis(400);
/// The time of a load from the weight store.
pub const FROM_STORE: Time = Duration::from_secs(6);

/// Returns the capacity of each worker, and the models.
pub fn engine() -> WorkerCapacity {
    let model = |name: &&str| Model {
        name: (*name).into(),
        bytes: 100,
        from_store: FROM_STORE,
        from_disk: FROM_DISK,
        from_memory: Duration::from_millis(300),
        adapters: (1..=9).map(|at| format!("a{at}").into()).collect(),
        adapter_bytes: 1,
    };
    WorkerCapacity {
        slots: 64,
        kv_cache_tokens: 250_000,
        memory: MAX_MODELS * 100 + u64::from(MAX_ADAPTERS),
        host_memory: 0,
        disk: 0,
        adapters: MAX_ADAPTERS,
        start_interval: Duration::from_millis(500),
        models: MODELS.iter().map(model).collect(),
    }
}

/// Returns a table with the workers' service alone.
pub fn table() -> SubmittedTable {
    table_of(engine())
}

/// Returns a table with one service whose workers have this capacity.
pub fn table_of(engine: WorkerCapacity) -> SubmittedTable {
    let service = Service {
        name: "s".into(),
        connections: 100,
        engine: Some(engine),
    };
    let table = RouteTable {
        version: 1,
        services: vec![service],
        ..RouteTable::default()
    };
    SubmittedTable {
        table: Arc::new(table),
        text: Bytes::new(),
    }
}

/// A simulated worker that counts its orders.
#[derive(Debug, Clone)]
pub struct SimulatedWorker {
    pub name: Name,
    pub incarnation: u64,
    pub heartbeats: u64,
    pub accepted: u64,
    pub held: BTreeMap<String, BTreeSet<Name>>,
    pub disk: BTreeSet<String>,
    /// The order in progress, and when it ends.
    pub busy: Option<(Action, Time)>,
    pub crashed: Option<String>,
}

impl SimulatedWorker {
    pub fn new(name: &str, incarnation: u64, disk: &[&str]) -> Self {
        Self {
            name: name.into(),
            incarnation,
            heartbeats: 0,
            accepted: 0,
            held: BTreeMap::new(),
            disk: disk.iter().map(|it| (*it).to_owned()).collect(),
            busy: None,
            crashed: None,
        }
    }

    /// Returns the worker's port, from the number in its name.
    fn port(&self) -> u16 {
        9_000 + self.name[1..].parse::<u16>().expect("a number")
    }

    /// Handles an order as the platform's workers do; one that exceeds its capacity crashes it.
    pub fn handle_order(&mut self, order: &Order, now: Time) -> Outcome {
        let refused = |reason: &str| {
            let reason = reason.into();
            Outcome::Answered(Answer::Refused { reason })
        };
        if order.incarnation != self.incarnation {
            return refused("another incarnation");
        }
        if order.after.is_some_and(|after| after != self.accepted) || self.busy.is_some() {
            return refused("another count, or busy");
        }
        self.accepted += 1;
        let adapters: usize = self.held.values().map(BTreeSet::len).sum();
        match &order.action {
            Action::Load { model, .. } => {
                if self.held.len() as u64 + 1 > MAX_MODELS {
                    self.crashed = Some(format!("{} models and {model}", self.held.len()));
                }
                let on_disk = self.disk.contains(&*model.model);
                let load_time = if on_disk { FROM_DISK } else { FROM_STORE };
                self.busy = Some((order.action.clone(), now + load_time));
            }
            Action::Unload { .. } => {
                let ends = now + Duration::from_millis(50);
                self.busy = Some((order.action.clone(), ends));
            }
            Action::Adapter { model } => {
                if adapters + 1 > MAX_ADAPTERS as usize {
                    self.crashed = Some(format!("{adapters} adapters and {model}"));
                }
                let adapter = model.adapter.clone().expect("an adapter");
                if let Some(held) = self.held.get_mut(&*model.model) {
                    held.insert(adapter);
                }
            }
            Action::DropAdapter { model } => {
                let adapter = model.adapter.clone().expect("an adapter");
                if let Some(held) = self.held.get_mut(&*model.model) {
                    held.remove(&adapter);
                }
            }
            other => panic!("expected a load, unload or adapter order, got {other:?}"),
        }
        Outcome::Answered(Answer::Accepted)
    }

    /// Ends the order in progress when it is due; returns whether it did.
    pub fn advance(&mut self, now: Time) -> bool {
        let Some((action, _)) = self.busy.take_if(|(_, ends)| *ends <= now) else {
            return false;
        };
        match action {
            Action::Load { model, .. } => {
                self.disk.insert(model.model.to_string());
                self.held.insert(model.model.to_string(), BTreeSet::new());
            }
            Action::Unload { model } => {
                self.held.remove(&*model.model);
            }
            _ => {}
        }
        true
    }

    pub fn inventory(&self) -> Vec<Holding> {
        let held = self.held.iter().map(|(model, adapters)| Holding {
            model: Reference::base(model.as_str()),
            replica: None,
            stage: Stage::Ready,
            bytes: 0,
            adapters: adapters.iter().cloned().collect(),
        });
        held.collect()
    }

    pub fn presence(&mut self, leaving: bool) -> AnnouncedHeartbeat {
        self.heartbeats += 1;
        let disk = self.disk.iter().map(|model| Holding {
            model: Reference::base(model.as_str()),
            replica: None,
            stage: Stage::Disk,
            bytes: 0,
            adapters: Vec::new(),
        });
        AnnouncedHeartbeat {
            announcement: Announcement {
                target: self.name.clone(),
                incarnation: self.incarnation,
                kind: Kind::Worker,
                address: ([10, 0, 0, 1], self.port()).into(),
                region: "r".into(),
                zone: "z".into(),
                memory: 0,
                accelerators: 1,
                fencing: true,
                services: vec!["s".into()],
                slots: Some(64),
                incarnation_is_start_time: true,
            },
            heartbeat: Heartbeat {
                target: self.name.clone(),
                incarnation: self.incarnation,
                sequence: self.heartbeats,
                fence: 0,
                inventory: self.inventory().into_iter().chain(disk).collect(),
                load: Load::default(),
                cache: Vec::new(),
                leaving,
            },
            software: None,
        }
    }

    pub fn inspection(&self) -> Inspection {
        Inspection {
            orders: self.accepted,
            busy: self.busy.is_some(),
            inventory: self.inventory(),
        }
    }
}

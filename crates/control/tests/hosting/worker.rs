//! A table of models, and a worker that carries out orders by the platform's rules.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::document::Publish;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Outcome, Reply as Answer};
use cornelhitch_types::route::{Engine, Model, Service, Table};
use cornelhitch_types::target::{
    Announcement, Heartbeat, Holding, Inspection, Kind, Load, Presence, Stage,
};

/// The models: more than two workers hold.
pub const MODELS: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
/// Models that fit into one worker.
pub const ROOM: u64 = 2;
/// Adapters that fit into one worker.
pub const PLACES: u32 = 3;
/// Time of a load from the disk.
pub const FROM_DISK: Time = Duration::from_millis(400);
/// Time of a load from the store.
pub const FROM_STORE: Time = Duration::from_secs(6);

pub fn table() -> Publish {
    let model = |name: &&str| Model {
        name: (*name).into(),
        bytes: 100,
        from_store: FROM_STORE,
        from_disk: FROM_DISK,
        from_memory: Duration::from_millis(300),
        adapters: (1..=9).map(|at| format!("a{at}").into()).collect(),
        adapter_bytes: 1,
    };
    let engine = Engine {
        slots: 64,
        tokens: 250_000,
        memory: ROOM * 100 + u64::from(PLACES),
        host: 0,
        disk: 0,
        adapters: PLACES,
        start_interval: Duration::from_millis(500),
        models: MODELS.iter().map(model).collect(),
    };
    let service = Service {
        name: "s".into(),
        connections: 100,
        engine: Some(engine),
    };
    let table = Table {
        version: 1,
        services: vec![service],
        ..Table::default()
    };
    Publish {
        table: Arc::new(table),
        text: Bytes::new(),
    }
}

/// A worker as it is, which carries out orders by its own rules.
#[derive(Debug, Clone)]
pub struct Worker {
    pub name: Name,
    pub born: u64,
    pub beats: u64,
    pub accepted: u64,
    pub held: BTreeMap<String, BTreeSet<Name>>,
    pub disk: BTreeSet<String>,
    /// The order in progress, and when it ends.
    pub busy: Option<(Action, Time)>,
    pub crashed: Option<String>,
}

impl Worker {
    pub fn new(name: &str, born: u64, disk: &[&str]) -> Self {
        Self {
            name: name.into(),
            born,
            beats: 0,
            accepted: 0,
            held: BTreeMap::new(),
            disk: disk.iter().map(|it| (*it).to_owned()).collect(),
            busy: None,
            crashed: None,
        }
    }

    /// Takes an order as the platform's workers do; one beyond its room takes it down.
    pub fn obey(&mut self, order: &Order, now: Time) -> Outcome {
        let refused = |reason: &str| {
            let reason = reason.into();
            Outcome::Answered(Answer::Refused { reason })
        };
        if order.incarnation != self.born {
            return refused("another life");
        }
        if order.after.is_some_and(|after| after != self.accepted) || self.busy.is_some() {
            return refused("another count, or busy");
        }
        self.accepted += 1;
        let adapters: usize = self.held.values().map(BTreeSet::len).sum();
        match &order.action {
            Action::Load { model, .. } => {
                if self.held.len() as u64 + 1 > ROOM {
                    self.crashed = Some(format!("{} models and {model}", self.held.len()));
                }
                let near = self.disk.contains(&*model.model);
                let takes = if near { FROM_DISK } else { FROM_STORE };
                self.busy = Some((order.action.clone(), now + takes));
            }
            Action::Unload { .. } => {
                let ends = now + Duration::from_millis(50);
                self.busy = Some((order.action.clone(), ends));
            }
            Action::Adapter { model } => {
                if adapters + 1 > PLACES as usize {
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
            other => panic!("no order for such a worker: {other:?}"),
        }
        Outcome::Answered(Answer::Accepted)
    }

    /// Ends the order in progress when its time has come; says whether it did.
    pub fn work(&mut self, now: Time) -> bool {
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

    pub fn presence(&mut self, leaving: bool) -> Presence {
        self.beats += 1;
        let disk = self.disk.iter().map(|model| Holding {
            model: Reference::base(model.as_str()),
            replica: None,
            stage: Stage::Disk,
            bytes: 0,
            adapters: Vec::new(),
        });
        Presence {
            announcement: Announcement {
                target: self.name.clone(),
                incarnation: self.born,
                kind: Kind::Worker,
                address: ([10, 0, 0, 1], 9_000 + u16::from(self.name.as_bytes()[1])).into(),
                region: "r".into(),
                zone: "z".into(),
                memory: 0,
                accelerators: 1,
                fencing: true,
                services: vec!["s".into()],
                slots: Some(64),
                dated: true,
            },
            heartbeat: Heartbeat {
                target: self.name.clone(),
                incarnation: self.born,
                sequence: self.beats,
                fence: 0,
                inventory: self.inventory().into_iter().chain(disk).collect(),
                load: Load::default(),
                cache: Vec::new(),
                leaving,
            },
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

//! A simulated worker: memory, load and unload orders, heartbeats.

use cornelhitch_types::id::ReplicaId;
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Reply};
use cornelhitch_types::target::{Announcement, Heartbeat, Holding, Stage};

/// How a kind of worker handles orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capabilities {
    /// Whether it refuses old fencing numbers and accepts each replica id once.
    pub fencing: bool,
    /// Whether it reports replica ids and unloads by them.
    pub ids: bool,
}

/// A copy in accelerator memory.
#[derive(Debug, Clone)]
pub struct Held {
    /// The replica whose order loaded it; `None` for a copy loaded by the operators' own scripts.
    pub replica: Option<ReplicaId>,
    pub model: Reference,
    pub bytes: u64,
    /// Seconds until it is ready.
    pub seconds_left: u32,
}

/// A simulated worker.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    pub capabilities: Capabilities,
    pub announcement: Announcement,
    pub sequence: u64,
    /// Seconds that it has been running.
    pub running_seconds: u64,
    pub fence: u64,
    pub held: Vec<Held>,
    /// Replica ids whose load was accepted in this incarnation.
    pub accepted_loads: Vec<ReplicaId>,
    /// Description of an unload that removed another replica's copy, if one did.
    pub wrong_unload: Option<String>,
}

impl FakeWorker {
    pub fn new(name: &str, memory: u64, capabilities: Capabilities) -> Self {
        Self {
            capabilities,
            announcement: super::worker(name, 1, memory, capabilities.fencing),
            sequence: 0,
            running_seconds: 0,
            fence: 0,
            held: Vec::new(),
            accepted_loads: Vec::new(),
            wrong_unload: None,
        }
    }

    /// Restarts the worker empty in a new incarnation.
    pub fn restart(&mut self) {
        let mut next = Self::new("", 0, self.capabilities);
        next.announcement = self.announcement.clone();
        next.announcement.incarnation += 1;
        next.wrong_unload = self.wrong_unload.take();
        *self = next;
    }

    /// Runs for one second and returns the heartbeat at its end.
    pub fn run_second(&mut self) -> Heartbeat {
        for held in &mut self.held {
            held.seconds_left = held.seconds_left.saturating_sub(1);
        }
        self.running_seconds += 1;
        self.heartbeat()
    }

    /// Returns a heartbeat, which the worker also sends at each change of its inventory.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let inventory = self.held.iter().map(|held| self.copy(held)).collect();
        let name = &self.announcement.target;
        let incarnation = self.announcement.incarnation;
        Heartbeat {
            fence: self.fence,
            ..super::heartbeat(name, incarnation, self.sequence, inventory)
        }
    }

    fn copy(&self, held: &Held) -> Holding {
        Holding {
            model: held.model.clone(),
            replica: held.replica.filter(|_| self.capabilities.ids),
            stage: if held.seconds_left > 0 {
                Stage::Loading
            } else {
                Stage::Ready
            },
            bytes: held.bytes,
            adapters: Vec::new(),
        }
    }

    /// Returns the memory in use, in bytes.
    pub fn used(&self) -> u64 {
        self.held.iter().map(|held| held.bytes).sum()
    }

    /// Handles an order; a worker without fencing loads whatever it is ordered.
    pub fn handle_order(&mut self, order: &Order) -> Reply {
        if self.capabilities.fencing && order.fence < self.fence {
            return Reply::Fenced { seen: self.fence };
        }
        self.fence = order.fence;
        match &order.action {
            Action::Load { model, bytes } => {
                if self.capabilities.fencing && self.accepted_loads.contains(&order.replica) {
                    return Reply::Accepted;
                }
                self.accepted_loads.push(order.replica);
                self.held.push(Held {
                    replica: Some(order.replica),
                    model: model.clone(),
                    bytes: *bytes,
                    seconds_left: 2,
                });
            }
            Action::Unload { model } => self.unload(order.replica, model),
            _ => {}
        }
        Reply::Accepted
    }

    fn unload(&mut self, replica: ReplicaId, model: &Reference) {
        let ids = self.capabilities.ids;
        let matches = |held: &Held| {
            if ids {
                held.replica == Some(replica)
            } else {
                held.model == *model
            }
        };
        let other = |held: &&Held| matches(held) && held.replica.is_some_and(|it| it != replica);
        if let Some(held) = self.held.iter().find(other) {
            self.wrong_unload = Some(format!(
                "unload of {replica} removed the copy of {:?}",
                held.replica
            ));
        }
        self.held.retain(|held| !matches(held));
    }
}

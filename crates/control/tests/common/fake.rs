//! A worker model: memory, orders that load and unload, heartbeats.

use cornelhitch_types::id::ReplicaId;
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Reply};
use cornelhitch_types::target::{Announcement, Heartbeat, Holding, Stage};

/// How a kind of worker treats orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Habit {
    /// It refuses old fencing numbers and takes each replica id once.
    pub fencing: bool,
    /// It reports replica ids, and unloads by them.
    pub ids: bool,
}

/// One copy in accelerator memory.
#[derive(Debug, Clone)]
pub struct Held {
    /// The replica whose order loaded it; none for a copy of the operators' own scripts.
    pub replica: Option<ReplicaId>,
    pub model: Reference,
    pub bytes: u64,
    /// Seconds until it is ready.
    pub left: u32,
}

/// A worker.
#[derive(Debug, Clone)]
pub struct Fake {
    pub habit: Habit,
    pub announcement: Announcement,
    pub sequence: u64,
    /// Seconds that it has run.
    pub ran: u64,
    pub fence: u64,
    pub held: Vec<Held>,
    /// Replica ids whose load was taken in this life.
    pub taken: Vec<ReplicaId>,
    /// What a late unload of another replica cut off.
    pub cut: Option<String>,
}

impl Fake {
    pub fn new(name: &str, memory: u64, habit: Habit) -> Self {
        Self {
            habit,
            announcement: super::worker(name, 1, memory, habit.fencing),
            sequence: 0,
            ran: 0,
            fence: 0,
            held: Vec::new(),
            taken: Vec::new(),
            cut: None,
        }
    }

    /// Dies and comes back empty in a new life.
    pub fn restart(&mut self) {
        let mut next = Self::new("", 0, self.habit);
        next.announcement = self.announcement.clone();
        next.announcement.incarnation += 1;
        next.cut = self.cut.take();
        *self = next;
    }

    /// A second of running time, and the heartbeat at its end.
    pub fn second(&mut self) -> Heartbeat {
        for held in &mut self.held {
            held.left = held.left.saturating_sub(1);
        }
        self.ran += 1;
        self.beat()
    }

    /// A heartbeat, which it also sends at each change of its inventory.
    pub fn beat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let inventory = self.held.iter().map(|held| self.show(held)).collect();
        let name = &self.announcement.target;
        let life = self.announcement.incarnation;
        Heartbeat {
            fence: self.fence,
            ..super::heartbeat(name, life, self.sequence, inventory)
        }
    }

    fn show(&self, held: &Held) -> Holding {
        Holding {
            model: held.model.clone(),
            replica: held.replica.filter(|_| self.habit.ids),
            stage: if held.left > 0 {
                Stage::Loading
            } else {
                Stage::Ready
            },
            bytes: held.bytes,
            adapters: Vec::new(),
        }
    }

    /// Memory that is really taken.
    pub fn used(&self) -> u64 {
        self.held.iter().map(|held| held.bytes).sum()
    }

    /// Takes an order as its kind does; a worker that does not check loads whatever it is told.
    pub fn take(&mut self, order: &Order) -> Reply {
        if self.habit.fencing && order.fence < self.fence {
            return Reply::Fenced { seen: self.fence };
        }
        self.fence = order.fence;
        match &order.action {
            Action::Load { model, bytes } => {
                if self.habit.fencing && self.taken.contains(&order.replica) {
                    return Reply::Accepted;
                }
                self.taken.push(order.replica);
                self.held.push(Held {
                    replica: Some(order.replica),
                    model: model.clone(),
                    bytes: *bytes,
                    left: 2,
                });
            }
            Action::Unload { model } => self.unload(order.replica, model),
            _ => {}
        }
        Reply::Accepted
    }

    fn unload(&mut self, replica: ReplicaId, model: &Reference) {
        let ids = self.habit.ids;
        let hit = |held: &Held| {
            if ids {
                held.replica == Some(replica)
            } else {
                held.model == *model
            }
        };
        let other = |held: &&Held| hit(held) && held.replica.is_some_and(|it| it != replica);
        if let Some(held) = self.held.iter().find(other) {
            self.cut = Some(format!("unload of {replica} cut off {:?}", held.replica));
        }
        self.held.retain(|held| !hit(held));
    }
}

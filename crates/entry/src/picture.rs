//! What this host knows of the fleet: the view, put together from its changes.

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, ModelId, RegionId, ReplicaId, TargetId, Term, Time};
use cornelhitch_types::view::{self, State, View};
use serde::Serialize;

use crate::share::Sharers;

/// A replica and when it is expected to be ready.
#[derive(Debug, Clone, Serialize)]
pub struct Replica {
    /// What control published.
    pub view: view::Replica,
    /// When it is expected to be ready, on the clock of this core.
    pub ready_at: Time,
}

/// A target and when its report was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Target {
    /// What control published.
    pub view: view::Target,
    /// When its load was measured, on the clock of this core.
    pub measured: Time,
    /// Requests of this host that were in progress there when the report came.
    pub own: u32,
}

/// What a view led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// It was put in.
    Taken,
    /// It is older than what is known.
    Old,
    /// Changes before it are missing.
    Gap,
}

/// What this host knows of the fleet.
#[derive(Debug, Default, Serialize)]
pub struct Picture {
    /// The newest term that published a view.
    pub term: Term,
    /// The sequence number up to which changes are known.
    pub sequence: u64,
    /// Replicas.
    pub replicas: BTreeMap<ReplicaId, Replica>,
    /// Targets.
    pub targets: BTreeMap<TargetId, Target>,
    /// Entry hosts.
    pub hosts: BTreeMap<HostId, entry::Host>,
    /// How long the load of a model takes that no target has near.
    outlooks: BTreeMap<ModelId, Time>,
    /// Replicas by model.
    models: BTreeMap<ModelId, BTreeSet<ReplicaId>>,
    /// Targets by plain service.
    services: BTreeMap<cornelhitch_types::id::Name, BTreeSet<TargetId>>,
}

impl Picture {
    /// Checks a view's place in the sequence; a whole one clears what was known.
    ///
    /// Changes say how things stand, so those that are known already may come once more before new ones.
    pub fn merge(&mut self, view: &View) -> Merge {
        if view.term < self.term {
            return Merge::Old;
        }
        let renewed = view.term > self.term;
        if view.from == 0 && (renewed || view.to > self.sequence || self.sequence == 0) {
            *self = Self::default();
        } else if renewed || view.from > self.sequence {
            return Merge::Gap;
        } else if view.to <= self.sequence {
            return Merge::Old;
        }
        self.term = view.term;
        self.sequence = view.to;
        Merge::Taken
    }

    /// Puts a replica in, in place of what was known of it.
    pub fn replica(&mut self, view: view::Replica, now: Time) {
        self.replica_gone(view.replica);
        let ids = self.models.entry(view.model.clone()).or_default();
        ids.insert(view.replica);
        let ready_at = now + Time::from_millis(u64::from(view.ready_in_ms));
        self.replicas
            .insert(view.replica, Replica { view, ready_at });
    }

    /// Takes a replica out.
    pub fn replica_gone(&mut self, id: ReplicaId) {
        let Some(known) = self.replicas.remove(&id) else {
            return;
        };
        if let Some(ids) = self.models.get_mut(&known.view.model) {
            ids.remove(&id);
        }
    }

    /// Notes how long the load of a model takes; 0 where a target has it near.
    pub fn outlook(&mut self, model: ModelId, ms: u32) {
        if ms == 0 {
            self.outlooks.remove(&model);
        } else {
            self.outlooks.insert(model, Time::from_millis(ms.into()));
        }
    }

    /// How long the load of a model takes at least that no target has near.
    #[must_use]
    pub fn load_of(&self, model: &str) -> Time {
        self.outlooks.get(model).copied().unwrap_or_default()
    }

    /// Puts a target in; returns whether it is another life than the one that was known.
    pub fn target(&mut self, view: view::Target, own: u32, now: Time) -> bool {
        let known = self.targets.get(&view.target);
        let renewed = known.is_some_and(|known| known.view.incarnation != view.incarnation);
        self.target_gone(&view.target.clone());
        for service in &view.services {
            let targets = self.services.entry(service.clone()).or_default();
            targets.insert(view.target.clone());
        }
        let measured = now.saturating_sub(view.load.age());
        self.targets.insert(
            view.target.clone(),
            Target {
                view,
                measured,
                own,
            },
        );
        renewed
    }

    /// Takes a target out.
    pub fn target_gone(&mut self, id: &TargetId) {
        let Some(known) = self.targets.remove(id) else {
            return;
        };
        for service in &known.view.services {
            if let Some(targets) = self.services.get_mut(service) {
                targets.remove(id);
            }
        }
    }

    /// The replicas of a model, in the order of their ids.
    pub fn of_model(&self, model: &str) -> impl Iterator<Item = &Replica> {
        let ids = self.models.get(model).into_iter().flatten();
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// The targets of a plain service, in the order of their names.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Target> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.targets.get(id))
    }

    /// Whether a target takes new work, in this life.
    #[must_use]
    pub fn open(&self, target: &TargetId, incarnation: u64) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|known| known.view.open && known.view.incarnation == incarnation)
    }

    /// Whether a replica may be sent to.
    #[must_use]
    pub fn ready(&self, replica: ReplicaId) -> bool {
        let known = self.replicas.get(&replica);
        known.is_some_and(|known| known.view.state == State::Ready)
    }

    /// How many replicas a target holds ready.
    #[must_use]
    pub fn held(&self, target: &TargetId) -> u32 {
        let ready = self.replicas.values();
        let ready =
            ready.filter(|known| known.view.target == *target && known.view.state == State::Ready);
        u32::try_from(ready.count()).unwrap_or(u32::MAX)
    }

    /// Entry hosts that share a target in a region with this one.
    #[must_use]
    pub fn sharers(&self, own: HostId, home: &RegionId, region: &RegionId) -> Sharers {
        let mut sharers = Sharers {
            near: u32::from(home == region),
            far: u32::from(home != region),
            busy: 1,
            is_near: home == region,
        };
        let others = self.hosts.values().filter(|host| host.host != own);
        for host in others.filter(|host| !host.draining) {
            if host.region == *region {
                sharers.near += 1;
            } else {
                sharers.far += 1;
            }
            sharers.busy += u32::from(host.load > 0);
        }
        sharers
    }
}

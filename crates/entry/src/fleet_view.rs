//! This host's copy of the fleet view that control publishes, kept current by incremental changes.

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, ModelId, RegionId, ReplicaId, TargetId, Term, Time};
use cornelhitch_types::view::{self, State, View};
use serde::Serialize;

use crate::share::Sharers;

/// A replica, with its expected time of readiness.
#[derive(Debug, Clone, Serialize)]
pub struct Replica {
    /// The replica as control published it.
    pub view: view::Replica,
    /// When it is expected to be ready, on this core's clock.
    pub ready_at: Time,
}

/// A target, with the age of its load report.
#[derive(Debug, Clone, Serialize)]
pub struct Target {
    /// The target as control published it.
    pub view: view::Target,
    /// When its load was measured, on this core's clock.
    pub measured: Time,
    /// Number of this host's requests in flight there when the report arrived.
    pub own: u32,
}

/// The result of merging a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The view follows the changes applied so far and is to be applied.
    Applied,
    /// The view holds no change newer than those already applied.
    Stale,
    /// Changes before this view are missing.
    Gap,
}

/// This host's copy of the fleet view.
#[derive(Debug, Default, Serialize)]
pub struct FleetView {
    /// The newest term in which a view was published.
    pub term: Term,
    /// The sequence number up to which changes have been applied.
    pub sequence: u64,
    /// All known replicas.
    pub replicas: BTreeMap<ReplicaId, Replica>,
    /// All known targets.
    pub targets: BTreeMap<TargetId, Target>,
    /// All known entry hosts.
    pub hosts: BTreeMap<HostId, entry::Host>,
    /// Load time of models that no target has stored nearby.
    #[serde(rename = "outlooks")]
    cold_start_estimates: BTreeMap<ModelId, Time>,
    /// Replicas by model.
    models: BTreeMap<ModelId, BTreeSet<ReplicaId>>,
    /// Targets by service.
    services: BTreeMap<cornelhitch_types::id::Name, BTreeSet<TargetId>>,
}

impl FleetView {
    /// Checks a view's position in the sequence and advances to it; a complete view first clears
    /// the previous state.
    ///
    /// Changes carry absolute state, so a view may repeat some that are already applied before
    /// new ones.
    pub fn merge(&mut self, view: &View) -> Merge {
        if view.term < self.term {
            return Merge::Stale;
        }
        let renewed = view.term > self.term;
        if view.from == 0 && (renewed || view.to > self.sequence || self.sequence == 0) {
            *self = Self::default();
        } else if renewed || view.from > self.sequence {
            return Merge::Gap;
        } else if view.to <= self.sequence {
            return Merge::Stale;
        }
        self.term = view.term;
        self.sequence = view.to;
        Merge::Applied
    }

    /// Inserts or replaces a replica.
    pub fn insert_replica(&mut self, view: view::Replica, now: Time) {
        self.remove_replica(view.replica);
        let ids = self.models.entry(view.model.clone()).or_default();
        ids.insert(view.replica);
        let ready_at = now + Time::from_millis(u64::from(view.ready_in_ms));
        self.replicas
            .insert(view.replica, Replica { view, ready_at });
    }

    /// Removes a replica, if it is known.
    pub fn remove_replica(&mut self, id: ReplicaId) {
        let Some(known) = self.replicas.remove(&id) else {
            return;
        };
        if let Some(ids) = self.models.get_mut(&known.view.model) {
            ids.remove(&id);
        }
    }

    /// Sets how long loading a model takes; 0 if a target has it stored nearby.
    pub fn set_cold_start_estimate(&mut self, model: ModelId, ms: u32) {
        if ms == 0 {
            self.cold_start_estimates.remove(&model);
        } else {
            self.cold_start_estimates
                .insert(model, Time::from_millis(ms.into()));
        }
    }

    /// Returns the minimum load time of a model that no target has stored nearby, else zero.
    #[must_use]
    pub fn cold_start_estimate(&self, model: &str) -> Time {
        self.cold_start_estimates
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// Inserts or replaces a target. Returns whether its incarnation differs from the known one.
    pub fn insert_target(&mut self, view: view::Target, own: u32, now: Time) -> bool {
        let known = self.targets.get(&view.target);
        let renewed = known.is_some_and(|known| known.view.incarnation != view.incarnation);
        self.remove_target(&view.target.clone());
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

    /// Removes a target, if it is known.
    pub fn remove_target(&mut self, id: &TargetId) {
        let Some(known) = self.targets.remove(id) else {
            return;
        };
        for service in &known.view.services {
            if let Some(targets) = self.services.get_mut(service) {
                targets.remove(id);
            }
        }
    }

    /// Iterates over the replicas of a model, in the order of their ids.
    pub fn replicas_of_model(&self, model: &str) -> impl Iterator<Item = &Replica> {
        let ids = self.models.get(model).into_iter().flatten();
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Iterates over the targets of a service, in the order of their names.
    pub fn targets_of_service(&self, service: &str) -> impl Iterator<Item = &Target> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.targets.get(id))
    }

    /// Closes a target for new work, if it still has this incarnation.
    pub fn close(&mut self, target: &TargetId, incarnation: u64) {
        let known = self.targets.get_mut(target);
        if let Some(known) = known.filter(|known| known.view.incarnation == incarnation) {
            known.view.open = false;
        }
    }

    /// Whether a target accepts new work and still has this incarnation.
    #[must_use]
    pub fn is_open(&self, target: &TargetId, incarnation: u64) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|known| known.view.open && known.view.incarnation == incarnation)
    }

    /// Whether a replica is ready for requests.
    #[must_use]
    pub fn is_ready(&self, replica: ReplicaId) -> bool {
        let known = self.replicas.get(&replica);
        known.is_some_and(|known| known.view.state == State::Ready)
    }

    /// Returns the number of ready replicas on a target.
    #[must_use]
    pub fn ready_replicas_on(&self, target: &TargetId) -> u32 {
        let ready = self.replicas.values();
        let ready =
            ready.filter(|known| known.view.target == *target && known.view.state == State::Ready);
        u32::try_from(ready.count()).unwrap_or(u32::MAX)
    }

    /// Returns which entry hosts share the targets of `region` with this one, whose own region is
    /// `home`.
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

//! Handles events from control and targets: view changes, load reports, reservations and probes.

use cornelhitch_types::id::{HostId, Incarnation, Name, TargetId, Version};
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::target::LoadReport;
use cornelhitch_types::view::{self, Change, View};

use crate::action::Action;
use crate::catalogue::Catalogue;
use crate::core::Core;
use crate::event::CallId;
use crate::finish::Rejection;
use crate::fleet_view::Merge;
use crate::quarantine::TargetInstance;
use crate::route::Place;
use crate::share;

impl Core {
    /// Applies a view, or requests the complete one if changes are missing.
    pub(crate) fn on_view(&mut self, view: View) {
        let settings_before = self.catalogue.version;
        let term_before = self.fleet_view.term;
        match self.fleet_view.merge(&view) {
            Merge::Stale => return,
            Merge::Gap => {
                let from = self.fleet_view.sequence;
                self.actions.push(Action::RequestView { from });
                return;
            }
            Merge::Applied => {}
        }
        let is_complete = view.from == 0;
        if is_complete {
            self.quarantine.clear_published(self.now);
            self.suspects.begin_view();
            self.target_limits.clear_published();
        }
        let is_crash = |change: &Change| matches!(change, Change::SectionCrashes(..));
        let crashes = view.changes.iter().any(is_crash);
        for change in view.changes {
            self.apply_change(change);
        }
        if is_complete {
            self.suspects.end_view(self.now);
        }
        if crashes {
            self.suspects.update(self.now);
        }
        if crashes || is_complete {
            self.refuse_suspects();
        }
        let hosts: Vec<HostId> = self.fleet_view.hosts.keys().copied().collect();
        let own = self.config.host;
        self.budget.set_hosts(&hosts, own, self.now);
        self.target_limits.set_hosts(&hosts, own, self.now);
        if self.catalogue.version != settings_before {
            self.refuse_unknown();
        }
        self.watch_software(self.fleet_view.term > term_before);
        self.refuse_all_stranded();
        self.dirty.extend(self.queue.keys());
    }

    /// Applies one change of a view.
    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Replica(replica) => self.fleet_view.insert_replica(replica, self.now),
            Change::ReplicaRemoved(id) => self.on_replica_removed(id),
            Change::Target(target) => self.on_target(target),
            Change::TargetRemoved(target) => self.on_target_removed(&target),
            Change::Entry(host) => {
                self.fleet_view.hosts.insert(host.host, host);
            }
            Change::EntryRemoved(host) => {
                self.fleet_view.hosts.remove(&host);
                self.forget_peer(host);
            }
            Change::Cache(target, events) => self.caches.apply(&target, events),
            Change::StrikeCount(fingerprint, strikes) => {
                self.quarantine
                    .set_published(fingerprint, strikes, self.now);
                self.refuse_quarantined(fingerprint);
            }
            Change::SectionCrashes(section, crashes) => {
                self.suspects.set_published(section, crashes, self.now);
            }
            Change::Settings(version, text) => self.apply_settings(version, &text),
            Change::Table(table) => self.adopt_table(table),
            Change::GuardedTable(guarded) => self.adopt_table(guarded.into_table()),
            Change::ColdStartEstimate(model, ms) => {
                self.fleet_view.set_cold_start_estimate(model, ms);
            }
            Change::TargetLimit(target, incarnation, limit) => {
                let running = self.own_in_flight(&target);
                self.target_limits
                    .on_published(&target, incarnation, limit, running, self.now);
            }
        }
    }

    /// Removes a replica with its share.
    fn on_replica_removed(&mut self, id: u64) {
        if let Some(known) = self.fleet_view.replicas.get(&id) {
            let target = known.view.target.clone();
            let replica = Some(id);
            self.shares.forget(&Place { target, replica });
        }
        self.fleet_view.remove_replica(id);
    }

    /// Handles a target that is new, has changed or has reported its load.
    fn on_target(&mut self, mut target: view::Target) {
        let id = target.target.clone();
        let (load, incarnation) = (target.load, target.incarnation);
        if target.open && self.target_notices.is_leaving(&id, incarnation) {
            target.open = false;
            self.report_leaving(&id, incarnation);
        }
        let sharers = self.sharers(&target.region);
        let own = self.own_in_flight(&id);
        if self.fleet_view.insert_target(target, own, self.now) {
            self.ejections.readmit(&id);
            self.health.forget(&id);
            self.caches.forget(&id);
            self.forget_timing(&id);
        }
        self.target_limits.forget_before(&id, incarnation);
        self.target_notices.forget_before(&id, incarnation);
        if self
            .fleet_view
            .targets
            .get(&id)
            .is_some_and(|target| target.view.slots.is_some())
        {
            return;
        }
        let held = self.fleet_view.ready_replicas_on(&id).max(1);
        let replicas = self.fleet_view.replicas.values();
        let mut places: Vec<(Place, u32)> = replicas
            .filter(|known| known.view.target == id)
            .map(|known| {
                let replica = Some(known.view.replica);
                let target = id.clone();
                let capacity = self.catalogue.concurrency(Some(&known.view.model));
                (Place { target, replica }, capacity)
            })
            .collect();
        if places.is_empty() {
            let place = Place {
                target: id,
                replica: None,
            };
            places.push((place, self.catalogue.concurrency(None)));
        }
        for (place, capacity) in places {
            let own = self.in_flight.get(&place).copied().unwrap_or(0);
            let report = share::Report {
                running: load.running / held,
                queued: load.queued / held,
                own,
                capacity,
                sharers,
            };
            self.shares.apply_report(&place, report);
        }
    }

    /// Returns the number of this host's requests in flight on a target.
    pub(crate) fn own_in_flight(&self, target: &TargetId) -> u32 {
        let in_flight = self.in_flight.iter();
        let there = in_flight.filter(|(place, _)| place.target == *target);
        there.map(|(_, count)| *count).sum()
    }

    /// Updates the load of a target that reported it with a response.
    pub(crate) fn on_loaded(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        report: LoadReport,
    ) {
        let own = self.own_in_flight(target);
        let now = self.now;
        let known = self.fleet_view.targets.get_mut(target);
        if let Some(known) = known.filter(|known| known.view.incarnation == incarnation) {
            known.view.load = report.load;
            known.measured = now;
            known.own = own;
            self.observe_report(target, incarnation, report);
        }
    }

    /// Records whether a target's response was an error of its own, if its incarnation is current.
    pub(crate) fn on_response_head(
        &mut self,
        target: &TargetId,
        instance: Incarnation,
        error: bool,
    ) {
        let known = self.fleet_view.targets.get(target);
        if known.is_some_and(|known| known.view.incarnation == instance) {
            self.health.record_answer(target, error, self.now);
        }
    }

    /// Removes a target and all state kept for it.
    fn on_target_removed(&mut self, target: &TargetId) {
        self.fleet_view.remove_target(target);
        self.ejections.readmit(target);
        self.health.forget(target);
        self.caches.forget(target);
        self.forget_timing(target);
        self.target_limits.forget(target);
        let place = Place {
            target: target.clone(),
            replica: None,
        };
        self.shares.forget(&place);
    }

    /// Applies newer settings; reports them to the owner if they are invalid.
    fn apply_settings(&mut self, version: Version, text: &Name) {
        if version <= self.catalogue.version {
            return;
        }
        match Catalogue::read(version, text) {
            Ok(catalogue) => {
                let table = self.catalogue.table.take();
                self.catalogue = catalogue;
                if let Some(table) = table {
                    self.catalogue.adopt_table(table);
                }
            }
            Err(error) => {
                let error = error.to_string();
                self.actions.push(Action::BadSettings { version, error });
            }
        }
    }

    /// Refuses waiting requests for models and services that the new settings no longer list.
    fn refuse_unknown(&mut self) {
        let unknown = self.calls.values().filter(|call| {
            let waits = call.is_waiting() && call.attempts == 0;
            waits && !self.is_known(&call.request)
        });
        let mut unknown: Vec<CallId> = unknown.map(|call| call.request.id).collect();
        unknown.sort_unstable();
        for id in unknown {
            let rejection = Rejection::not_run(Reason::Unknown, "the settings no longer have it");
            self.refuse(id, rejection);
        }
    }

    /// Handles control's answer to a reservation; releases a grant that is no longer wanted.
    pub(crate) fn on_reserved(
        &mut self,
        target: TargetId,
        incarnation: Incarnation,
        granted: bool,
    ) {
        let instance = (target, incarnation);
        let wanted = self.quarantine.on_reservation(&instance, granted, self.now);
        if granted && !wanted {
            let (target, incarnation) = instance;
            self.actions.push(Action::Unreserve {
                target,
                incarnation,
            });
        }
        self.dirty.extend(self.queue.keys());
    }

    /// Releases the reservations that no suspect can use any more.
    pub(crate) fn release_idle_reservations(&mut self) {
        if !self.quarantine.has_reservations() {
            return;
        }
        let suspect = |call: &crate::request::Call| {
            self.quarantine.strikes(call.request.fingerprint) > 0 && call.is_waiting()
        };
        let wanted = self.calls.values().any(suspect);
        let kept =
            |instance: &TargetInstance| wanted && self.fleet_view.is_open(&instance.0, instance.1);
        for (target, incarnation) in self.quarantine.release_idle(kept, self.now) {
            self.actions.push(Action::Unreserve {
                target,
                incarnation,
            });
        }
    }

    /// Probes the ejected targets whose probe is due.
    pub(crate) fn send_due_probes(&mut self) {
        for target in self.ejections.take_due(self.now) {
            match self.fleet_view.targets.get(&target) {
                Some(known) if self.wants_no_probe(&target, known.view.incarnation) => {}
                Some(known) => {
                    let address = known.view.address;
                    self.actions.push(Action::Probe { target, address });
                }
                None => self.ejections.readmit(&target),
            }
        }
    }

    /// Whether an incarnation of a target has stated that it wants no connections now.
    fn wants_no_probe(&self, target: &str, incarnation: Incarnation) -> bool {
        let notices = &self.target_notices;
        notices.is_leaving(target, incarnation)
            || notices.pause_left(target, incarnation, self.now).is_some()
    }

    /// Readmits an ejected target if a probe connected to it.
    pub(crate) fn on_probed(&mut self, target: &TargetId, connected: bool) {
        if connected {
            self.ejections.readmit(target);
            self.dirty.extend(self.queue.keys());
        }
    }
}

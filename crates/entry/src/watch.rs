//! What comes from control and from targets: the view, reservations and probes.

use cornelhitch_types::id::{Incarnation, Name, TargetId, Version};
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::target::Load;
use cornelhitch_types::view::{self, Change, View};

use crate::action::Action;
use crate::catalogue::Catalogue;
use crate::core::Core;
use crate::event::CallId;
use crate::finish::End;
use crate::picture::Merge;
use crate::quarantine::Life;
use crate::route::Place;
use crate::share;

impl Core {
    /// Puts a view in, or asks for the whole where changes are missing.
    pub(crate) fn view(&mut self, view: View) {
        let settings_before = self.catalogue.version;
        match self.picture.merge(&view) {
            Merge::Old => return,
            Merge::Gap => {
                let from = self.picture.sequence;
                self.actions.push(Action::RequestView { from });
                return;
            }
            Merge::Taken => {}
        }
        if view.from == 0 {
            self.quarantine.unpublish();
        }
        for change in view.changes {
            self.change(change);
        }
        let hosts = &self.picture.hosts;
        let listed = hosts.contains_key(&self.config.host);
        let count = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
        self.budget.list(count, listed, self.now);
        if self.catalogue.version != settings_before {
            self.drop_unknown();
        }
        self.dirty.extend(self.queue.keys());
    }

    /// Takes one change.
    fn change(&mut self, change: Change) {
        match change {
            Change::Replica(replica) => self.picture.replica(replica, self.now),
            Change::ReplicaGone(id) => self.replica_gone(id),
            Change::Target(target) => self.target(target),
            Change::TargetGone(target) => self.target_gone(&target),
            Change::Entry(host) => {
                self.picture.hosts.insert(host.host, host);
            }
            Change::EntryGone(host) => {
                self.picture.hosts.remove(&host);
            }
            Change::Cache(target, events) => self.caches.take(&target, events),
            Change::Strike(fingerprint, strikes) => {
                self.quarantine.publish(fingerprint, strikes, self.now);
                self.expel(fingerprint);
            }
            Change::Settings(version, text) => self.settings_changed(version, &text),
            Change::Table(table) => self.catalogue.adopt(table),
            Change::Outlook(model, ms) => self.picture.outlook(model, ms),
        }
    }

    /// A replica is gone.
    fn replica_gone(&mut self, id: u64) {
        if let Some(known) = self.picture.replicas.get(&id) {
            let target = known.view.target.clone();
            let replica = Some(id);
            self.shares.forget(&Place { target, replica });
        }
        self.picture.replica_gone(id);
    }

    /// A target is new, changed or has reported its load.
    fn target(&mut self, target: view::Target) {
        let id = target.target.clone();
        let load = target.load;
        let sharers = self.sharers(&target.region);
        let own = self.own(&id);
        if self.picture.target(target, own, self.now) {
            self.ejections.readmit(&id);
            self.health.forget(&id);
            self.caches.forget(&id);
        }
        if self
            .picture
            .targets
            .get(&id)
            .is_some_and(|it| it.view.slots.is_some())
        {
            return;
        }
        let held = self.picture.held(&id).max(1);
        let replicas = self.picture.replicas.values();
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
            let own = self.flights.get(&place).copied().unwrap_or(0);
            let report = share::Report {
                running: load.running / held,
                queued: load.queued / held,
                own,
                capacity,
                sharers,
            };
            self.shares.report(&place, report);
        }
    }

    /// Requests of this host in progress on a target.
    pub(crate) fn own(&self, target: &TargetId) -> u32 {
        let flights = self.flights.iter();
        let there = flights.filter(|(place, _)| place.target == *target);
        there.map(|(_, count)| *count).sum()
    }

    /// A target told its load with an answer.
    pub(crate) fn loaded(&mut self, target: &TargetId, incarnation: Incarnation, load: Load) {
        let own = self.own(target);
        let now = self.now;
        let known = self.picture.targets.get_mut(target);
        if let Some(known) = known.filter(|known| known.view.incarnation == incarnation) {
            known.view.load = load;
            known.measured = now;
            known.own = own;
        }
    }

    /// A target answered a request, with an error of its own or not.
    pub(crate) fn answered(&mut self, target: &TargetId, life: Incarnation, error: bool) {
        let known = self.picture.targets.get(target);
        if known.is_some_and(|known| known.view.incarnation == life) {
            self.health.answered(target, error, self.now);
        }
    }

    /// A target is gone.
    fn target_gone(&mut self, target: &TargetId) {
        self.picture.target_gone(target);
        self.ejections.readmit(target);
        self.health.forget(target);
        self.caches.forget(target);
        let place = Place {
            target: target.clone(),
            replica: None,
        };
        self.shares.forget(&place);
    }

    /// Takes newer settings, if they can be read.
    fn settings_changed(&mut self, version: Version, text: &Name) {
        if version <= self.catalogue.version {
            return;
        }
        match Catalogue::read(version, text) {
            Ok(catalogue) => {
                let table = self.catalogue.table.take();
                self.catalogue = catalogue;
                if let Some(table) = table {
                    self.catalogue.adopt(table);
                }
            }
            Err(error) => {
                let error = error.to_string();
                self.actions.push(Action::BadSettings { version, error });
            }
        }
    }

    /// Refuses what waits for something that the settings no longer have.
    fn drop_unknown(&mut self) {
        let gone = self.calls.values().filter(|call| {
            let waits = call.waits() && call.attempts == 0;
            waits && !self.lists(&call.request)
        });
        let mut gone: Vec<CallId> = gone.map(|call| call.request.id).collect();
        gone.sort_unstable();
        for id in gone {
            let end = End::not_run(Reason::Unknown, "the settings no longer have it");
            self.refuse(id, end);
        }
    }

    /// Control answered a reservation.
    pub(crate) fn reserved(&mut self, target: TargetId, incarnation: Incarnation, granted: bool) {
        let life = (target, incarnation);
        let wanted = self.quarantine.reserved(&life, granted, self.now);
        if granted && !wanted {
            let (target, incarnation) = life;
            self.actions.push(Action::Unreserve {
                target,
                incarnation,
            });
        }
        self.dirty.extend(self.queue.keys());
    }

    /// Gives back the reservations that no suspect can use any more.
    pub(crate) fn release(&mut self) {
        if !self.quarantine.holds() {
            return;
        }
        let suspect = |call: &crate::request::Call| {
            self.quarantine.strikes(call.request.fingerprint) > 0 && call.waits()
        };
        let wanted = self.calls.values().any(suspect);
        let kept = |life: &Life| wanted && self.picture.open(&life.0, life.1);
        for (target, incarnation) in self.quarantine.release(kept, self.now) {
            self.actions.push(Action::Unreserve {
                target,
                incarnation,
            });
        }
    }

    /// Probes the ejected targets whose pause is over.
    pub(crate) fn probe(&mut self) {
        for target in self.ejections.due(self.now) {
            match self.picture.targets.get(&target) {
                Some(known) => {
                    let address = known.view.address;
                    self.actions.push(Action::Probe { target, address });
                }
                None => self.ejections.readmit(&target),
            }
        }
    }

    /// A probe ended.
    pub(crate) fn probed(&mut self, target: &TargetId, connected: bool) {
        if connected {
            self.ejections.readmit(target);
            self.dirty.extend(self.queue.keys());
        }
    }
}

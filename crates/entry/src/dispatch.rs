//! From the queue to a place.

use cornelhitch_types::id::{ModelId, Name, RegionId, Time};
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::view::State;

use crate::action::{Action, Destination};
use crate::affinity;
use crate::config::Guard;
use crate::core::Core;
use crate::estimate::Supply;
use crate::event::{CallId, What};
use crate::fault::Fault;
use crate::finish::End;
use crate::picture::Target;
use crate::quarantine::Life;
use crate::queue::Key;
use crate::request::{Call, Reach, Run, Stage};
use crate::route::{Candidate, Place};
use crate::share::Sharers;

/// Requests that are looked at for a place at once; those before them wait for an adapter or a
/// target of their own.
const SCAN: usize = 64;

/// When requests that are held back by the retry budget are tried again.
const BUDGET_PAUSE: Time = Time::from_millis(250);

/// The wait for a retry up to which a request is held back: the shortest time after which callers are
/// told to come back.
const SOON: Time = Time::from_secs(1);

/// A candidate, and what a request may need of it.
pub(crate) struct Choice {
    /// Where it is.
    pub candidate: Candidate,
    /// Requests that this host may have there.
    pub limit: u32,
    /// Adapters that are ready there.
    pub adapters: Vec<Name>,
}

impl Choice {
    /// Whether this host may send one more there.
    pub(crate) fn free(&self) -> bool {
        self.candidate.own < self.limit
    }

    /// The target in its life.
    fn life(&self) -> Life {
        (
            self.candidate.place.target.clone(),
            self.candidate.incarnation,
        )
    }
}

impl Core {
    /// Sends what can be sent of one kind of request.
    pub(crate) fn dispatch(&mut self, key: &Key) {
        self.send_waiting(key);
        self.refuse_unaffordable();
    }

    /// Sends what waits and has a place to go to.
    fn send_waiting(&mut self, key: &Key) {
        if self.queue.waiting(key) == 0 {
            return;
        }
        let mut options = self.options(key);
        let waiting: Vec<CallId> = self.queue.lane(key).take(SCAN).collect();
        for id in waiting {
            if !options.iter().any(Choice::free) {
                return;
            }
            if let Some(index) = self.choose(id, &mut options) {
                options[index].candidate.own += 1;
                let candidate = options[index].candidate.clone();
                self.send(id, &candidate);
            }
        }
        if self.queue.waiting(key) > 0 && options.iter().any(Choice::free) {
            self.look_further(key, &mut options);
        }
    }

    /// Goes through the whole queue, past requests that wait for something of their own.
    fn look_further(&mut self, key: &Key, options: &mut [Choice]) {
        let rest: Vec<CallId> = self.queue.lane(key).skip(SCAN).collect();
        for id in rest {
            if !options.iter().any(Choice::free) {
                return;
            }
            if let Some(index) = self.choose(id, options) {
                options[index].candidate.own += 1;
                let candidate = options[index].candidate.clone();
                self.send(id, &candidate);
            }
        }
    }

    /// The places that could run one kind of request, full ones too.
    pub(crate) fn options(&self, key: &Key) -> Vec<Choice> {
        match key {
            Key::Model(model, version) => {
                let wanted = self.wanted(model, version.as_ref());
                let all = self.picture.of_model(model).filter(|replica| {
                    let state = replica.view.state;
                    let usable = state == State::Ready || self.planted(Fault::SendsToClosed);
                    usable && (wanted.is_none() || replica.view.version == wanted)
                });
                all.filter_map(|replica| {
                    let target = self.picture.targets.get(&replica.view.target)?;
                    let mut option =
                        self.option(target, Some(model), Some(replica.view.replica))?;
                    option.adapters.clone_from(&replica.view.adapters);
                    Some(option)
                })
                .collect()
            }
            Key::Service(name) => {
                let all = self.picture.of_service(name);
                all.filter_map(|target| self.option(target, None, None))
                    .collect()
            }
        }
    }

    /// The version that a request runs in.
    fn wanted(&self, model: &ModelId, named: Option<&Name>) -> Option<Name> {
        let known = self.catalogue.models.get(model);
        let in_force = known.and_then(|known| known.version.clone());
        named.cloned().or(in_force)
    }

    /// A place, if its target takes new work.
    fn option(
        &self,
        target: &Target,
        model: Option<&ModelId>,
        replica: Option<u64>,
    ) -> Option<Choice> {
        let view = &target.view;
        let closed = !view.open && !self.planted(Fault::SendsToClosed);
        if closed || self.ejections.has(&view.target) {
            return None;
        }
        let place = Place {
            target: view.target.clone(),
            replica,
        };
        // A target that tells its slots shares them among all that it holds.
        let own = match view.slots {
            Some(_) => self.own(&view.target),
            None => self.flights.get(&place).copied().unwrap_or(0),
        };
        let concurrency = self.catalogue.concurrency(model.map(|model| &**model));
        let capacity = view.slots.unwrap_or(concurrency);
        let (distance_ms, _) = self.catalogue.way(&self.config.region, &view.region, 0);
        let zone_ms = if view.zone == self.config.zone {
            0.0
        } else {
            0.5
        };
        let reported = view.load.running + view.load.queued;
        let candidate = Candidate {
            incarnation: view.incarnation,
            address: view.address,
            region: view.region.clone(),
            zone: view.zone.clone(),
            own,
            others: reported.saturating_sub(target.own),
            age: self.now.saturating_sub(target.measured),
            capacity,
            cached: 0.0,
            distance_ms: distance_ms + zone_ms,
            price: 0.0,
            place,
        };
        let limit = match view.slots {
            Some(slots) => slots,
            None => self.limit(&candidate, capacity),
        };
        Some(Choice {
            limit,
            candidate,
            adapters: Vec::new(),
        })
    }

    /// Requests that this host may have at a place.
    fn limit(&self, candidate: &Candidate, capacity: u32) -> u32 {
        if !self.config.uses(Guard::Sharing) {
            return capacity;
        }
        let sharers = self.sharers(&candidate.region);
        self.shares.limit(&candidate.place, capacity, sharers)
    }

    /// Who shares a target in a region.
    pub(crate) fn sharers(&self, region: &RegionId) -> Sharers {
        let config = &self.config;
        self.picture.sharers(config.host, &config.region, region)
    }

    /// What is known of the places for one kind of request.
    pub(crate) fn supply(&self, key: &Key) -> Supply {
        let options = self.options(key);
        let slots = options.iter().map(|option| option.limit).sum();
        let Key::Model(model, version) = key else {
            return Supply {
                slots,
                ready_at: None,
                load: Time::ZERO,
            };
        };
        let wanted = self.wanted(model, version.as_ref());
        let loading = self.picture.of_model(model).filter(|replica| {
            replica.view.state == State::Loading
                && (wanted.is_none() || replica.view.version == wanted)
        });
        let known = self.catalogue.models.get(model);
        Supply {
            slots,
            ready_at: loading.map(|replica| replica.ready_at).min(),
            load: known
                .map_or(Time::ZERO, |known| known.load)
                .max(self.picture.load_of(model)),
        }
    }

    /// Whether there is a place for one kind of request; plain services are not loaded.
    pub(crate) fn is_ready(&self, key: &Key) -> bool {
        let Key::Model(model, version) = key else {
            return true;
        };
        let wanted = self.wanted(model, version.as_ref());
        self.picture.of_model(model).any(|replica| {
            let view = &replica.view;
            let fits = wanted.is_none() || view.version == wanted;
            fits && view.state == State::Ready && !self.ejections.has(&view.target)
        })
    }

    /// Whether a request names an adapter that no ready replica has.
    pub(crate) fn lacks_adapter(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let What::Model(reference) = &call.request.what else {
            return false;
        };
        let Some(adapter) = &reference.adapter else {
            return false;
        };
        let mut replicas = self.picture.of_model(&reference.model);
        replicas.all(|replica| !replica.view.adapters.contains(adapter))
    }

    /// Chooses a place for a request, as an index of `options`.
    fn choose(&mut self, id: CallId, options: &mut [Choice]) -> Option<usize> {
        let call = self.calls.get(&id)?;
        if call.pause > self.now {
            return None;
        }
        let service = call.key.service();
        if call.arrivals > 0 && !self.affords(&service) {
            self.starve(id, &service);
            return None;
        }
        let call = self.calls.get(&id)?;
        let mut fit: Vec<usize> = (0..options.len())
            .filter(|index| options[*index].free() && self.fits(call, &options[*index]))
            .collect();
        // A suspect takes any target that is reserved: hosts that hold out for one another's
        // reservations would wait for ever.
        let suspect = self.quarantine.strikes(call.request.fingerprint) > 0;
        if suspect && self.config.serving.quarantine {
            fit = self.isolated(id, fit, options);
        }
        let call = self.calls.get(&id)?;
        let target = |index: &usize| &options[*index].candidate.place.target;
        let fresh = |index: &usize| !call.failed.contains(target(index));
        if fit.iter().any(fresh) {
            fit.retain(fresh);
        }
        let well = |index: &usize| !self.health.is_failing(target(index), self.now);
        if fit.iter().any(well) {
            fit.retain(well);
        }
        let whole = self.paces.get(&call.key).whole().unwrap_or_default();
        let mut candidates: Vec<Candidate> = fit
            .iter()
            .map(|index| self.priced(call, &options[*index].candidate))
            .collect();
        prefer(call, &mut candidates);
        let whole_ms = whole.as_secs_f64() * 1_000.0;
        let chosen = self.config.router.choose(whole_ms, &candidates)?;
        fit.get(chosen).copied()
    }

    /// Holds a request back that the budget does not let be sent once more, or has it refused where
    /// its caller is sooner served by coming back, which costs the budget nothing.
    ///
    /// An answer that has begun waits: what its caller has is worth more than another try.
    fn starve(&mut self, id: CallId, service: &Name) {
        self.starved = Some(self.now + BUDGET_PAUSE);
        self.tallies.of(service).held_back += 1;
        let others = self.calls.values().filter(|call| {
            let before = call.request.id < id && call.waits() && call.arrivals > 0;
            before && call.key.service() == *service
        });
        let ahead = others.count();
        let wait = self.budget.wait(service, ahead, self.now);
        let begun = self
            .calls
            .get(&id)
            .is_some_and(|call| call.reach == Reach::Begun);
        if wait > SOON && !begun {
            self.unaffordable.push((id, wait));
        }
    }

    /// Refuses the requests for which no retry comes soon.
    fn refuse_unaffordable(&mut self) {
        for (id, wait) in std::mem::take(&mut self.unaffordable) {
            let unsent = self
                .calls
                .get(&id)
                .is_some_and(|call| call.reach == Reach::Unsent);
            if unsent {
                let detail = "targets turned it away, and no more retries may be made now";
                let end = End::not_run(Reason::Overloaded, detail);
                self.refuse(id, end.after(wait.min(SOON)));
            } else {
                self.give_up(id, "the target failed, and no more retries may be made now");
            }
        }
    }

    /// Whether a request of a service may be sent once more.
    pub(crate) fn affords(&mut self, service: &Name) -> bool {
        !self.config.uses(Guard::Budget) || self.budget.has(service, self.now)
    }

    /// Whether a place has what a request needs, and the request may go there.
    pub(crate) fn fits(&self, call: &Call, option: &Choice) -> bool {
        if let What::Model(reference) = &call.request.what
            && let Some(adapter) = &reference.adapter
            && !option.adapters.contains(adapter)
        {
            return false;
        }
        let fingerprint = call.request.fingerprint;
        let strikes = self.quarantine.strikes(fingerprint);
        let Some(targets) = self.prints.get(&fingerprint) else {
            return true;
        };
        let left = self.strike_limit().saturating_sub(strikes) as usize;
        targets.len() < left || targets.contains_key(&option.candidate.place.target)
    }

    /// Of the places that fit a suspect, those that are reserved for it; asks for one if none is.
    fn isolated(&mut self, id: CallId, fit: Vec<usize>, options: &[Choice]) -> Vec<usize> {
        if self.planted(Fault::SharesSuspects) {
            return fit;
        }
        let free = self.quarantine.free(self.config.suspects);
        let reserved: Vec<usize> = fit
            .iter()
            .copied()
            .filter(|index| free.contains(&options[*index].life()))
            .collect();
        if !reserved.is_empty() || !self.calls.contains_key(&id) {
            return reserved;
        }
        let lives: Vec<Life> = fit.iter().map(|index| options[*index].life()).collect();
        if let Some((target, incarnation)) = self.quarantine.ask(&lives, self.now) {
            self.actions.push(Action::Reserve {
                target,
                incarnation,
            });
        }
        Vec::new()
    }

    /// A candidate with what depends on the request.
    fn priced(&self, call: &Call, candidate: &Candidate) -> Candidate {
        let mut candidate = candidate.clone();
        let bytes = call.request.bytes;
        let (_, price) = self
            .catalogue
            .way(&self.config.region, &candidate.region, bytes);
        candidate.price = price;
        if let What::Model(reference) = &call.request.what
            && !call.request.prefixes.is_empty()
        {
            let target = &candidate.place.target;
            let prefixes = &call.request.prefixes;
            let terms = call.request.terms.as_ref();
            let sizes = terms.map_or(&[][..], |terms| &terms.sizes);
            candidate.cached = self
                .caches
                .blocks(target, &reference.model, prefixes, sizes);
        }
        candidate
    }

    /// Starts an attempt.
    pub(crate) fn send(&mut self, id: CallId, candidate: &Candidate) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.queue.serve(&call.key, call.rank, id);
        let fingerprint = call.request.fingerprint;
        let life = (candidate.place.target.clone(), candidate.incarnation);
        let strikes = self.quarantine.strikes(fingerprint);
        let reserved = strikes > 0 && self.quarantine.start(&life);
        if call.arrivals > 0 {
            self.budget.reserve(&call.key.service(), self.now);
        }
        call.attempts += 1;
        call.stage = Stage::Running(Run {
            attempt: call.attempts,
            place: candidate.place.clone(),
            incarnation: candidate.incarnation,
            reach: Reach::Unsent,
            since: self.now,
            strikes,
            reserved,
        });
        *self.flights.entry(candidate.place.clone()).or_default() += 1;
        let targets = self.prints.entry(fingerprint).or_default();
        *targets.entry(life.0).or_default() += 1;
        if let What::Model(reference) = &call.request.what
            && !call.request.prefixes.is_empty()
        {
            let prefixes = &call.request.prefixes;
            let target = &candidate.place.target;
            self.caches.sent(target, &reference.model, prefixes);
        }
        self.actions.push(Action::Send {
            id,
            attempt: call.attempts,
            to: Destination {
                target: candidate.place.target.clone(),
                incarnation: candidate.incarnation,
                address: candidate.address,
                replica: candidate.place.replica,
            },
            resume: (call.reach == Reach::Begun).then_some(call.offset),
        });
    }
}

/// Notes which candidate all hosts prefer for the shared part of a prompt, where the request tells
/// the parts of its prompt.
fn prefer(call: &Call, candidates: &mut [Candidate]) {
    let Some(terms) = &call.request.terms else {
        return;
    };
    let targets = candidates.iter().map(|candidate| &candidate.place.target);
    let preferred = affinity::preferred(targets, &call.request.prefixes, &terms.sizes);
    let Some((target, blocks)) = preferred.map(|(target, blocks)| (target.clone(), blocks)) else {
        return;
    };
    for candidate in candidates {
        if candidate.place.target == target {
            candidate.cached = candidate.cached.max(blocks);
        }
    }
}

//! Dispatch: assigns queued requests to places.

use cornelhitch_types::id::{ModelId, Name, RegionId, Time};
use cornelhitch_types::view::State;

use crate::action::{Action, Destination};
use crate::affinity;
use crate::choice::Choice;
use crate::config::Guard;
use crate::core::Core;
use crate::estimate::Supply;
use crate::event::{CallId, RequestedResource};
use crate::expected_time::Work;
use crate::fault::Fault;
use crate::fleet_view::Target;
use crate::quarantine::TargetInstance;
use crate::queue::{Group, QueueKey, Rank};
use crate::request::{Call, Progress, RunningAttempt, Stage};
use crate::route::{Candidate, Place};
use crate::share::Sharers;

/// Number of requests at the head of a lane that are considered first. The rest is searched only
/// while capacity is left, because those before it wait for an adapter or for a target of their own.
const SCAN_LIMIT: usize = 64;

impl Core {
    /// Sends the waiting requests of a lane that have a place to go to, and refuses those that the
    /// retry budget or the limits of their targets cannot serve soon.
    pub(crate) fn dispatch(&mut self, key: &QueueKey) {
        self.send_waiting(key);
        self.refuse_over_budget();
        self.refuse_over_limit(key);
    }

    /// Sends waiting requests in turn while there are places with capacity.
    fn send_waiting(&mut self, key: &QueueKey) {
        if self.queue.waiting(key) == 0 {
            return;
        }
        let mut options = self.options(key);
        let waiting: Vec<CallId> = self.queue.lane(key).take(SCAN_LIMIT).collect();
        self.send_each(&waiting, &mut options);
        // The rest is searched past requests that wait for an adapter or a target of their own.
        if self.queue.waiting(key) > 0 && options.iter().any(Choice::has_capacity) {
            let rest: Vec<CallId> = self.queue.lane(key).skip(SCAN_LIMIT).collect();
            self.send_each(&rest, &mut options);
        }
    }

    /// Sends requests in turn, as long as a place has capacity.
    fn send_each(&mut self, ids: &[CallId], options: &mut [Choice]) {
        for id in ids {
            if !options.iter().any(Choice::has_capacity) {
                return;
            }
            if let Some(index) = self.choose(*id, options) {
                self.send_to(*id, &mut options[index]);
            }
        }
    }

    /// Sends a request to a place and updates what the place can still take.
    fn send_to(&mut self, id: CallId, option: &mut Choice) {
        option.candidate.own += 1;
        self.send(id, &option.candidate);
        let target = &option.candidate.place.target;
        option.quota = self.target_limits.quota(target, self.now);
    }

    /// Returns the places that can serve a lane, including those without free capacity.
    pub(crate) fn options(&self, key: &QueueKey) -> Vec<Choice> {
        match key {
            QueueKey::Model(model, version) => {
                let wanted = self.wanted_version(model, version.as_ref());
                let all = self.fleet_view.replicas_of_model(model).filter(|replica| {
                    let state = replica.view.state;
                    let usable = state == State::Ready || self.has_fault(Fault::SendsToClosed);
                    usable && (wanted.is_none() || replica.view.version == wanted)
                });
                all.filter_map(|replica| {
                    let target = self.fleet_view.targets.get(&replica.view.target)?;
                    let mut option =
                        self.choice_for(target, Some(model), Some(replica.view.replica))?;
                    option.adapters.clone_from(&replica.view.adapters);
                    Some(option)
                })
                .collect()
            }
            QueueKey::Service(name) => {
                let all = self.fleet_view.targets_of_service(name);
                all.filter_map(|target| self.choice_for(target, None, None))
                    .collect()
            }
        }
    }

    /// Returns the model version that a request runs on: the one it names, else the one in force.
    fn wanted_version(&self, model: &ModelId, named: Option<&Name>) -> Option<Name> {
        let known = self.catalogue.models.get(model);
        let in_force = known.and_then(|known| known.version.clone());
        named.cloned().or(in_force)
    }

    /// Returns the choice for a target, or `None` if the target is closed or ejected.
    fn choice_for(
        &self,
        target: &Target,
        model: Option<&ModelId>,
        replica: Option<u64>,
    ) -> Option<Choice> {
        let view = &target.view;
        let closed = !view.open && !self.has_fault(Fault::SendsToClosed);
        if closed || self.ejections.is_ejected(&view.target) {
            return None;
        }
        let place = Place {
            target: view.target.clone(),
            replica,
        };
        // A target that reports its slots shares them among all replicas that it holds.
        let slots = self.slots(target);
        let own = match slots {
            Some(_) => self.own_in_flight(&view.target),
            None => self.in_flight.get(&place).copied().unwrap_or(0),
        };
        let concurrency = self.catalogue.concurrency(model.map(|model| &**model));
        let capacity = slots.unwrap_or(concurrency);
        let distance_ms = self.distance_ms(target);
        let reported = view.load.running.saturating_add(view.load.queued);
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
            distance_ms,
            price: 0.0,
            work: Work::default(),
            saving_ms: 0.0,
            place,
        };
        let limit = match slots {
            Some(slots) => slots,
            None => self.limit(&candidate, capacity),
        };
        Some(Choice {
            limit,
            candidate,
            quota: self.target_limits.quota(&view.target, self.now),
            pause: self
                .target_notices
                .pause_left(&view.target, view.incarnation, self.now),
            adapters: Vec::new(),
        })
    }

    /// Returns the round-trip time to a target in milliseconds.
    fn distance_ms(&self, target: &Target) -> f64 {
        let view = &target.view;
        let (region_ms, _) =
            self.catalogue
                .distance_and_price(&self.config.region, &view.region, 0);
        if self.uses_expected_time() {
            return self.expected_distance_ms(region_ms, target);
        }
        let zone_ms = if view.zone == self.config.zone {
            0.0
        } else {
            0.5
        };
        region_ms + zone_ms
    }

    /// Returns how many requests this host may have in flight at a place that does not report
    /// slots.
    fn limit(&self, candidate: &Candidate, capacity: u32) -> u32 {
        if !self.config.uses(Guard::Sharing) {
            return capacity;
        }
        let sharers = self.sharers(&candidate.region);
        self.shares.limit(&candidate.place, capacity, sharers)
    }

    /// Returns which entry hosts share the targets of a region with this one.
    pub(crate) fn sharers(&self, region: &RegionId) -> Sharers {
        let config = &self.config;
        self.fleet_view.sharers(config.host, &config.region, region)
    }

    /// Returns the current and expected capacity for a lane.
    pub(crate) fn supply(&self, key: &QueueKey) -> Supply {
        let options = self.options(key);
        let limits = options.iter().map(|option| option.limit);
        let slots = limits.fold(0, u32::saturating_add);
        let QueueKey::Model(model, version) = key else {
            return Supply {
                slots,
                ready_at: None,
                load_time: Time::ZERO,
            };
        };
        let wanted = self.wanted_version(model, version.as_ref());
        let loading = self.fleet_view.replicas_of_model(model).filter(|replica| {
            replica.view.state == State::Loading
                && (wanted.is_none() || replica.view.version == wanted)
        });
        let known = self.catalogue.models.get(model);
        Supply {
            slots,
            ready_at: loading.map(|replica| replica.ready_at).min(),
            load_time: known
                .map_or(Time::ZERO, |known| known.load)
                .max(self.fleet_view.cold_start_estimate(model)),
        }
    }

    /// Whether any replica is ready for a lane; always `true` for services, which are not loaded on
    /// demand.
    pub(crate) fn is_ready(&self, key: &QueueKey) -> bool {
        let QueueKey::Model(model, version) = key else {
            return true;
        };
        let wanted = self.wanted_version(model, version.as_ref());
        self.fleet_view.replicas_of_model(model).any(|replica| {
            let view = &replica.view;
            let fits = wanted.is_none() || view.version == wanted;
            fits && view.state == State::Ready && !self.ejections.is_ejected(&view.target)
        })
    }

    /// Whether a request names an adapter that no replica of its model has.
    pub(crate) fn lacks_adapter(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let RequestedResource::Model(reference) = &call.request.what else {
            return false;
        };
        let Some(adapter) = &reference.adapter else {
            return false;
        };
        let mut replicas = self.fleet_view.replicas_of_model(&reference.model);
        replicas.all(|replica| !replica.view.adapters.contains(adapter))
    }

    /// Chooses a place for a request, as an index into `options`.
    fn choose(&mut self, id: CallId, options: &mut [Choice]) -> Option<usize> {
        let call = self.calls.get(&id)?;
        if call.retry_at > self.now {
            return None;
        }
        let service = call.key.service();
        if call.sends > 0 && !self.budget_allows(&service) {
            self.hold_back(id, &service);
            return None;
        }
        let call = self.calls.get(&id)?;
        let mut fitting: Vec<usize> = (0..options.len())
            .filter(|index| options[*index].has_capacity() && self.fits(call, &options[*index]))
            .collect();
        // A suspect may use any reserved target. Were each host to wait for a reservation of its
        // own choosing, hosts could wait for one another's reservations forever.
        let suspect = self.quarantine.strikes(call.request.fingerprint) > 0;
        if suspect && self.config.serving.quarantine {
            fitting = self.reserved_choices(id, fitting, options);
        }
        let call = self.calls.get(&id)?;
        let target = |index: &usize| &options[*index].candidate.place.target;
        prefer(&mut fitting, |it| !call.failed.contains(target(it)));
        prefer(&mut fitting, |it| {
            !self.health.is_failing(target(it), self.now)
        });
        if !call.failed.is_empty() {
            // One that has answered this host can be reached, which an announcement doesn't show.
            prefer(&mut fitting, |it| self.health.has_answered(target(it)));
        }
        prefer(&mut fitting, |it| {
            !self.target_limits.is_fresh(target(it), self.now)
        });
        let response_time = self
            .latencies
            .get(&call.key)
            .response_time()
            .unwrap_or_default();
        let mut candidates: Vec<Candidate> = fitting
            .iter()
            .map(|index| self.with_request_costs(call, &options[*index].candidate))
            .collect();
        if self.uses_expected_time() {
            self.credit_caches(call, &mut candidates);
        } else {
            credit_preferred(call, &mut candidates);
        }
        let response_ms = response_time.as_secs_f64() * 1_000.0;
        self.observe_busy(&mut candidates);
        let chosen = self.config.router.choose(response_ms, &candidates)?;
        self.observe_choice(id, &candidates[chosen]);
        fitting.get(chosen).copied()
    }

    /// Whether a place has the adapter that a request needs, and the strike limit allows the
    /// request's fingerprint to run there.
    pub(crate) fn fits(&self, call: &Call, option: &Choice) -> bool {
        if let RequestedResource::Model(reference) = &call.request.what
            && let Some(adapter) = &reference.adapter
            && !option.adapters.contains(adapter)
        {
            return false;
        }
        let candidate = &option.candidate;
        if !self.has_origin(call, &candidate.place.target, candidate.incarnation) {
            return false;
        }
        let fingerprint = call.request.fingerprint;
        let strikes = self.quarantine.strikes(fingerprint);
        let Some(targets) = self.in_flight_fingerprints.get(&fingerprint) else {
            return true;
        };
        let strikes_left = self.strike_limit().saturating_sub(strikes) as usize;
        targets.len() < strikes_left || targets.contains_key(&option.candidate.place.target)
    }

    /// Filters the places to those reserved for this host's suspects. If there are none, asks
    /// control to reserve one.
    fn reserved_choices(
        &mut self,
        id: CallId,
        fitting: Vec<usize>,
        options: &[Choice],
    ) -> Vec<usize> {
        if self.has_fault(Fault::SharesSuspects) {
            return fitting;
        }
        let free = self.quarantine.available(self.config.suspects);
        let reserved: Vec<usize> = fitting
            .iter()
            .copied()
            .filter(|index| free.contains(&options[*index].instance()))
            .collect();
        if !reserved.is_empty() || !self.calls.contains_key(&id) {
            return reserved;
        }
        let instances: Vec<TargetInstance> = fitting
            .iter()
            .map(|index| options[*index].instance())
            .collect();
        if let Some((target, incarnation)) = self.quarantine.next_to_reserve(&instances, self.now) {
            self.actions.push(Action::Reserve {
                target,
                incarnation,
            });
        }
        Vec::new()
    }

    /// Returns the candidate with the costs that depend on the request: network price and cached
    /// prefix.
    fn with_request_costs(&self, call: &Call, candidate: &Candidate) -> Candidate {
        let mut candidate = candidate.clone();
        let bytes = call.request.bytes;
        let (_, price) =
            self.catalogue
                .distance_and_price(&self.config.region, &candidate.region, bytes);
        candidate.price = price;
        if let RequestedResource::Model(reference) = &call.request.what
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
        if self.uses_expected_time() {
            candidate.work = self.work_at(call, &candidate);
        }
        candidate.saving_ms = self.connection_saving_ms(call, &candidate);
        candidate
    }

    /// Takes a request out of the queue, and records how fast its team's requests leave it.
    fn leave_queue(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        self.queue.take_turn(&call.key, call.rank, id);
        if call.request.team.is_none() {
            return;
        }
        let last = Rank {
            deadline: Time::MAX,
            ..call.rank
        };
        let left = self.queue.ahead_in_group(&call.key, last);
        let group = Group::of(&call.key, call.rank);
        self.drain_rates.record_send(group, left, self.now);
    }

    /// Starts an attempt at a place.
    pub(crate) fn send(&mut self, id: CallId, candidate: &Candidate) {
        let rank = self.target_rank(id);
        let reuse_stated = self.uses_expected_time();
        self.leave_queue(id);
        self.expect_connection(id, candidate.address);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let fingerprint = call.request.fingerprint;
        let instance = (candidate.place.target.clone(), candidate.incarnation);
        let strikes = self.quarantine.strikes(fingerprint);
        let reserved = strikes > 0 && self.quarantine.start_suspect(&instance);
        if call.sends > 0 {
            self.budget.reserve(&call.key.service(), self.now);
        }
        let limited = self.target_limits.is_limited(&instance.0);
        self.target_limits.record_send(&instance.0, self.now);
        call.attempts += 1;
        call.stage = Stage::Running(RunningAttempt {
            attempt: call.attempts,
            place: candidate.place.clone(),
            incarnation: candidate.incarnation,
            progress: Progress::Unsent,
            since: self.now,
            begun: None,
            strikes,
            known: self.suspects.knowledge(self.now),
            error: false,
            reserved,
        });
        *self.in_flight.entry(candidate.place.clone()).or_default() += 1;
        let targets = self.in_flight_fingerprints.entry(fingerprint).or_default();
        *targets.entry(instance.0).or_default() += 1;
        if let RequestedResource::Model(reference) = &call.request.what
            && !call.request.prefixes.is_empty()
        {
            let prefixes = &call.request.prefixes;
            let target = &candidate.place.target;
            self.caches
                .expect_prompt(target, &reference.model, prefixes);
        }
        self.actions.push(Action::Send {
            id,
            attempt: call.attempts,
            to: Destination {
                target: candidate.place.target.clone(),
                software: self
                    .software
                    .version(&candidate.place.target, candidate.incarnation),
                incarnation: candidate.incarnation,
                address: candidate.address,
                replica: candidate.place.replica,
                rank,
                limited,
                reuse_stated,
            },
            resume: (call.progress == Progress::Begun).then_some(call.offset),
        });
    }
}

/// Raises the expected cached prefix of the target that all hosts prefer for the shared part of a
/// prompt, if the request gives the sizes of its prompt's prefixes.
fn credit_preferred(call: &Call, candidates: &mut [Candidate]) {
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

/// Keeps the preferred ones of some choices, if there are any.
fn prefer(choices: &mut Vec<usize>, is_preferred: impl Fn(&usize) -> bool) {
    if choices.iter().any(&is_preferred) {
        choices.retain(is_preferred);
    }
}

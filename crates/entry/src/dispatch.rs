//! Dispatch: assigns queued requests to places.

use cornelhitch_types::id::{ModelId, Name, RegionId, Time};
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::view::State;

use crate::action::{Action, Destination};
use crate::affinity;
use crate::config::Guard;
use crate::core::Core;
use crate::estimate::Supply;
use crate::event::{CallId, RequestedResource};
use crate::fault::Fault;
use crate::finish::Rejection;
use crate::fleet_view::Target;
use crate::quarantine::TargetInstance;
use crate::queue::QueueKey;
use crate::request::{Call, Progress, RunningAttempt, Stage};
use crate::route::{Candidate, Place};
use crate::share::Sharers;
use crate::target_limits::Turn;

/// Number of requests at the head of a lane that are considered first. The rest is searched only
/// while capacity is left, because those before it wait for an adapter or for a target of their own.
const SCAN_LIMIT: usize = 64;

/// Interval at which requests that are held back by the retry budget or a target's limit are tried
/// again.
const HELD_RETRY_INTERVAL: Time = Time::from_millis(250);

/// Longest expected wait for the retry budget or a target's limit for which a request is held back
/// instead of refused: the shortest `Retry-After` that callers are given.
const MAX_HELD_WAIT: Time = Time::from_secs(1);

/// A place that a request may be sent to, with this host's limit there.
pub(crate) struct Choice {
    pub candidate: Candidate,
    /// Number of requests that this host may have in flight there.
    pub limit: u32,
    /// When its target's limit, if any, lets this host send there.
    pub turn: Turn,
    /// Adapters that are loaded there.
    pub adapters: Vec<Name>,
}

impl Choice {
    /// Whether this host may send one more request there.
    pub(crate) fn has_capacity(&self) -> bool {
        self.candidate.own < self.limit && self.turn == Turn::Now
    }

    /// Returns the target with its incarnation.
    fn instance(&self) -> TargetInstance {
        (
            self.candidate.place.target.clone(),
            self.candidate.incarnation,
        )
    }
}

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
        for id in waiting {
            if !options.iter().any(Choice::has_capacity) {
                return;
            }
            if let Some(index) = self.choose(id, &mut options) {
                self.send_to(id, &mut options[index]);
            }
        }
        if self.queue.waiting(key) > 0 && options.iter().any(Choice::has_capacity) {
            self.send_waiting_beyond_scan(key, &mut options);
        }
    }

    /// Continues with the rest of the lane, past requests that wait for an adapter or a target of
    /// their own.
    fn send_waiting_beyond_scan(&mut self, key: &QueueKey, options: &mut [Choice]) {
        let rest: Vec<CallId> = self.queue.lane(key).skip(SCAN_LIMIT).collect();
        for id in rest {
            if !options.iter().any(Choice::has_capacity) {
                return;
            }
            if let Some(index) = self.choose(id, options) {
                self.send_to(id, &mut options[index]);
            }
        }
    }

    /// Sends a request to a place and updates what the place can still take.
    fn send_to(&mut self, id: CallId, option: &mut Choice) {
        option.candidate.own += 1;
        self.send(id, &option.candidate);
        let target = &option.candidate.place.target;
        option.turn = self.target_limits.turn(target, 0, self.now);
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
        let own = match view.slots {
            Some(_) => self.own_in_flight(&view.target),
            None => self.in_flight.get(&place).copied().unwrap_or(0),
        };
        let concurrency = self.catalogue.concurrency(model.map(|model| &**model));
        let capacity = view.slots.unwrap_or(concurrency);
        let (distance_ms, _) =
            self.catalogue
                .distance_and_price(&self.config.region, &view.region, 0);
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
            turn: self.target_limits.turn(&view.target, 0, self.now),
            adapters: Vec::new(),
        })
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
        let slots = options.iter().map(|option| option.limit).sum();
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
        let untried = |index: &usize| !call.failed.contains(target(index));
        if fitting.iter().any(untried) {
            fitting.retain(untried);
        }
        let healthy = |index: &usize| !self.health.is_failing(target(index), self.now);
        if fitting.iter().any(healthy) {
            fitting.retain(healthy);
        }
        let unlimited = |index: &usize| !self.target_limits.is_fresh(target(index), self.now);
        if fitting.iter().any(unlimited) {
            fitting.retain(unlimited);
        }
        let response_time = self
            .latencies
            .get(&call.key)
            .response_time()
            .unwrap_or_default();
        let mut candidates: Vec<Candidate> = fitting
            .iter()
            .map(|index| self.with_request_costs(call, &options[*index].candidate))
            .collect();
        credit_preferred(call, &mut candidates);
        let response_ms = response_time.as_secs_f64() * 1_000.0;
        let chosen = self.config.router.choose(response_ms, &candidates)?;
        fitting.get(chosen).copied()
    }

    /// Holds a request back because the retry budget is spent. If the expected wait is too long,
    /// marks the request for refusal instead: a retry by the caller does not use the budget.
    ///
    /// A request whose response has begun always waits: losing the partial response would cost the
    /// caller more than the wait.
    fn hold_back(&mut self, id: CallId, service: &Name) {
        self.held_retry_at = Some(self.now + HELD_RETRY_INTERVAL);
        self.counters.of(service).held_back += 1;
        let others = self.calls.values().filter(|call| {
            let before = call.request.id < id && call.is_waiting() && call.sends > 0;
            before && call.key.service() == *service
        });
        let ahead = others.count();
        let wait = self.budget.expected_wait(service, ahead, self.now);
        let begun = self
            .calls
            .get(&id)
            .is_some_and(|call| call.progress == Progress::Begun);
        if wait > MAX_HELD_WAIT && !begun {
            self.over_budget.push((id, wait));
        }
    }

    /// Refuses the requests whose expected wait for the retry budget is too long.
    fn refuse_over_budget(&mut self) {
        for (id, wait) in std::mem::take(&mut self.over_budget) {
            let unsent = self
                .calls
                .get(&id)
                .is_some_and(|call| call.progress == Progress::Unsent);
            if unsent {
                let detail = "targets turned it away, and no more retries may be made now";
                let rejection = Rejection::not_run(Reason::Overloaded, detail);
                self.refuse(id, rejection.after(wait.min(MAX_HELD_WAIT)));
            } else {
                self.fail_call(id, "the target failed, and no more retries may be made now");
            }
        }
    }

    /// Refuses the requests of a lane whose targets all name a limit that leaves them no turn soon.
    /// Nothing waits for a limit to end.
    fn refuse_over_limit(&mut self, key: &QueueKey) {
        if self.target_limits.is_empty() || self.queue.waiting(key) == 0 {
            return;
        }
        let options = self.options(key);
        let waiting: Vec<CallId> = self.queue.lane(key).collect();
        let mut ahead = 0;
        for id in waiting {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let Some(turn) = self.limited_turn(call, &options, ahead) else {
                continue;
            };
            ahead += 1;
            let begun = call.progress == Progress::Begun;
            match turn {
                Turn::After(wait) if wait <= MAX_HELD_WAIT || begun => self.hold_for_turn(),
                Turn::Elsewhere(_) if begun => self.hold_for_turn(),
                Turn::After(wait) | Turn::Elsewhere(wait) => self.refuse_limited(id, wait),
                Turn::Now => {}
            }
        }
    }

    /// Returns the first turn of a request with `ahead` others before it, if limits alone keep it
    /// from being sent: every place that could take it has no turn.
    fn limited_turn(&self, call: &Call, options: &[Choice], ahead: u32) -> Option<Turn> {
        let fitting = options.iter().filter(|option| self.fits(call, option));
        let turns = fitting.map(|option| {
            // A place with a turn is full, and is waited for.
            if option.turn == Turn::Now {
                return Turn::Now;
            }
            let target = &option.candidate.place.target;
            self.target_limits.turn(target, ahead, self.now)
        });
        let first = turns.min_by_key(|turn| match turn {
            Turn::Now => (0, Time::ZERO),
            Turn::After(wait) => (1, *wait),
            Turn::Elsewhere(wait) => (2, *wait),
        })?;
        (first != Turn::Now).then_some(first)
    }

    /// Tries the waiting requests again soon, because a turn at a limited target is near.
    fn hold_for_turn(&mut self) {
        let at = self.now + HELD_RETRY_INTERVAL;
        self.held_retry_at = Some(self.held_retry_at.map_or(at, |held| held.min(at)));
    }

    /// Refuses a request that its targets' limits leave no turn soon.
    fn refuse_limited(&mut self, id: CallId, wait: Time) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let unsent = call.progress == Progress::Unsent;
        let service = call.key.service();
        self.counters.of(&service).limited += 1;
        if unsent {
            let detail = "its targets take no more requests now";
            let rejection = Rejection::not_run(Reason::Overloaded, detail);
            self.refuse(id, rejection.after(wait));
        } else {
            self.fail_call(
                id,
                "the target failed, and others take no more requests now",
            );
        }
    }

    /// Whether the retry budget allows sending another retry to a service.
    pub(crate) fn budget_allows(&mut self, service: &Name) -> bool {
        !self.config.uses(Guard::Budget) || self.budget.allows(service, self.now)
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
        candidate
    }

    /// Starts an attempt at a place.
    pub(crate) fn send(&mut self, id: CallId, candidate: &Candidate) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.queue.take_turn(&call.key, call.rank, id);
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
            strikes,
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
                incarnation: candidate.incarnation,
                address: candidate.address,
                replica: candidate.place.replica,
                limited,
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

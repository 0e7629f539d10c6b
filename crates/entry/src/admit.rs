//! Admission: a request from its arrival until it is queued.

use std::time::Duration;

use cornelhitch_settings::process::IsolationPolicy;
use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::{Reason, Run};

use crate::action::Action;
use crate::claim::{self, Reply};
use crate::config::Guard;
use crate::core::Core;
use crate::estimate::{self, Supply};
use crate::event::{CallId, Request, RequestedResource};
use crate::fair_share::Flow;
use crate::fault::Fault;
use crate::finish::Rejection;
use crate::newest_table;
use crate::queue::{QueueKey, Rank};
use crate::request::{Call, Claim, Interruption, Progress, Stage};
use crate::suspects::{Knowledge, Turn, Verdict};

/// Upper limit on how long before its deadline an unsent request is refused.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);

/// The refusal margin is at most the request's total time divided by this.
const REFUSAL_MARGIN_DIVISOR: u32 = 20;

/// Upper limit on any deadline, and on the limit of any route.
const MAX_WAIT: Duration = Duration::from_hours(720);

/// `Retry-After` for a model that only operators load.
const UNMANAGED_RETRY_AFTER: Duration = Duration::from_secs(10);

/// `Retry-After` of a host that has no lease on the settings.
const ISOLATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Factor on the mean response time when checking whether a request can meet its deadline.
const RESPONSE_TIME_FACTOR: f64 = 2.0;

impl Core {
    /// Admits a request, or refuses it at once.
    pub(crate) fn on_arrived(&mut self, request: Request) {
        if self.calls.contains_key(&request.id) {
            return;
        }
        let id = request.id;
        if let RequestedResource::Model(reference) = &request.what
            && self.catalogue.models.contains_key(&reference.model)
        {
            let arrivals = self.arrivals.entry(reference.model.clone()).or_default();
            arrivals.count += 1;
            arrivals.last = self.now;
        }
        if let Some(rejection) = self.admission_rejection(&request) {
            self.refuse_unadmitted(id, rejection);
            return;
        }
        let mut call = self.new_call(request);
        if self.may_outlast_shutdown(&call) {
            self.refuse_unadmitted(id, self.leaving_rejection());
            return;
        }
        if let Some(rejection) = self.deadline_rejection(&call) {
            self.refuse_unadmitted(id, rejection);
            return;
        }
        if !self.redeem_promise(&mut call)
            && let Some(rejection) = self.objective_rejection(&call)
        {
            self.refuse_unadmitted(id, rejection);
            return;
        }
        match self.judge_parts(&call.request) {
            Verdict::Run => {}
            Verdict::Try(parts) => {
                call.tried = parts;
                call.tried_knowing = self.suspects.knowledge(self.now);
            }
            Verdict::Refuse(part) => {
                let rejection = self.part_rejection(part, &call.request, Run::NotRun);
                self.refuse_unadmitted(id, rejection);
                return;
            }
        }
        self.queue.add_caller_request(&call.request.caller);
        self.timers.insert((call.timer, id));
        let is_trial = !call.tried.is_empty();
        self.calls.insert(id, call);
        if is_trial {
            self.ask_trial(id);
        } else {
            self.advance_admitted(id);
        }
    }

    /// Returns why a request may not be admitted, regardless of its position in the queue.
    fn admission_rejection(&self, request: &Request) -> Option<Rejection> {
        let refuse = |reason, detail: &str| Some(Rejection::not_run(reason, detail));
        if !self.shutdown.accepts_requests() {
            return Some(self.leaving_rejection());
        }
        let has_lease = self.lease.holds(self.catalogue.version, self.now);
        if !has_lease && self.config.serving.isolated == IsolationPolicy::Refuse {
            let detail = "this host has no lease on the settings";
            return refuse(Reason::Isolated, detail)
                .map(|rejection| self.with_other_hosts(rejection.after(ISOLATED_RETRY_AFTER)));
        }
        if request.terms.is_some() && self.is_table_outdated() {
            let detail = "this host has heard of a newer route table and does not have it";
            return refuse(Reason::Isolated, detail).map(|rejection| {
                self.with_other_hosts(rejection.after(newest_table::RETRY_AFTER))
            });
        }
        if let Some(rejection) = self.revocation_rejection(request) {
            return Some(rejection);
        }
        if !self.is_known(request) {
            let detail = format!("there is no {}", request.what);
            return refuse(Reason::Unknown, &detail);
        }
        if let Some(class) = &request.class
            && self.catalogue.class(class).is_none()
        {
            return refuse(Reason::Malformed, &format!("there is no class {class}"));
        }
        if let Some(rejection) = self.unservable_rejection(&request.what) {
            return Some(rejection);
        }
        if self.quarantine.strikes(request.fingerprint) >= self.strike_limit() {
            return Some(self.quarantine_rejection(request.fingerprint));
        }
        let limit = self.catalogue.fleet.refusing.caller;
        if self.queue.caller_requests(&request.caller) >= limit {
            let detail = format!("a caller may have {limit} requests here");
            return refuse(Reason::Limited, &detail)
                .map(|rejection| rejection.after(Duration::from_secs(1)));
        }
        let bound = self.catalogue.fleet.refusing.queue as usize;
        if request.key.is_some() && self.claiming >= bound {
            let detail = "too many requests wait for their claims";
            let rejection = refuse(Reason::Overloaded, detail);
            return rejection.map(|rejection| rejection.after(Duration::from_secs(1)));
        }
        None
    }

    /// Whether the requested model or service exists. Checked on arrival and again whenever the
    /// settings change while the request waits.
    ///
    /// A service reached through a route is known by its route, even if the settings do not list
    /// it.
    pub(crate) fn is_known(&self, request: &Request) -> bool {
        let routed = request.terms.is_some();
        let service = matches!(request.what, RequestedResource::Service { .. });
        routed && service || self.catalogue.contains(&request.what)
    }

    /// Returns why no replica will ever be able to serve a request, however long it waits.
    fn unservable_rejection(&self, what: &RequestedResource) -> Option<Rejection> {
        let RequestedResource::Model(reference) = what else {
            return None;
        };
        let model = self.catalogue.models.get(&reference.model)?;
        let named = reference.version.as_ref();
        let other_version = named.is_some() && named != model.version.as_ref();
        let held = self
            .fleet_view
            .replicas_of_model(&reference.model)
            .any(|replica| {
                let version = replica.view.version.as_ref();
                named.is_none() || version == named
            });
        if held {
            return None;
        }
        if other_version {
            let detail = format!("{what}: this version is not in force and nothing holds it");
            return Some(Rejection::not_run(Reason::Unknown, &detail));
        }
        if !model.managed {
            let detail = format!("{what}: its group is unmanaged and no worker holds it");
            let rejection = Rejection::not_run(Reason::Unavailable, &detail);
            return Some(rejection.after(UNMANAGED_RETRY_AFTER));
        }
        None
    }

    /// Returns the refusal for a fingerprint that has reached the strike limit.
    pub(crate) fn quarantine_rejection(&self, fingerprint: u64) -> Rejection {
        let retention = Duration::from_secs(self.catalogue.fleet.refusing.quarantine_s);
        let time_left = self.quarantine.time_left(fingerprint, retention, self.now);
        Rejection {
            reason: Reason::Quarantined,
            run: Run::Failed,
            retry: Some(time_left),
            detail: "targets failed while they ran this request".into(),
        }
    }

    /// Decides whether the parts of a request allow it to run.
    fn judge_parts(&mut self, request: &Request) -> Verdict {
        let hosts = &self.fleet_view.hosts;
        let own = hosts.keys().position(|host| *host == self.config.host);
        let turn = own.map(|position| Turn {
            position,
            hosts: hosts.len(),
        });
        self.suspects.judge(request.parts(), turn, self.now)
    }

    /// Returns the refusal for a request with a part under which targets end.
    pub(crate) fn part_rejection(&self, part: u64, request: &Request, run: Run) -> Rejection {
        let retention = Duration::from_secs(self.catalogue.fleet.refusing.quarantine_s);
        let parts = request.parts();
        let wait = self.suspects.time_to_decision(parts, retention, self.now);
        let detail = if request.content() == Some(part) {
            format!("targets failed while they ran this request ({part:x})")
        } else {
            format!("targets failed under the prompt section {part:x}")
        };
        Rejection {
            reason: Reason::Quarantined,
            run,
            retry: None,
            detail: detail.into(),
        }
        .after(wait)
    }

    /// Adds the addresses of up to four other entry hosts to a refusal.
    pub(crate) fn with_other_hosts(&self, mut rejection: Rejection) -> Rejection {
        let others = self.fleet_view.hosts.values();
        let others = others.filter(|host| host.host != self.config.host && !host.draining);
        let others: Vec<String> = others
            .take(4)
            .map(|host| host.address.to_string())
            .collect();
        if !others.is_empty() {
            rejection.detail =
                format!("{}; others: {}", rejection.detail, others.join(", ")).into();
        }
        rejection
    }

    /// Creates the state of an admitted request.
    fn new_call(&self, mut request: Request) -> Call {
        if let Some(terms) = &mut request.terms {
            terms.limit = terms.limit.min(MAX_WAIT);
        }
        let name = request.class.as_ref();
        let name = name.or_else(|| self.catalogue.default_class(&request.what));
        let class = name.and_then(|name| self.catalogue.class(name));
        let wait = request.deadline;
        let wait = wait.unwrap_or_else(|| self.catalogue.deadline(&request.what, class));
        let terms = request.terms.as_ref();
        let limit = terms.map_or(MAX_WAIT, |terms| terms.limit);
        let wait = wait.min(limit);
        let deadline = self.now + wait;
        let weight = class.map_or(1, |class| class.weight);
        let weight = terms.map_or(weight, |terms| terms.weight());
        let has_key = request.key.is_some();
        let allowed = terms.is_some() || self.catalogue.repeatable(&request.what);
        let repeatable = !has_key && request.repeatable && allowed;
        let injected_delay_s = if self.has_fault(Fault::LateTimer) {
            3
        } else {
            0
        };
        Call {
            key: QueueKey::from(&request.what),
            weight,
            arrived: self.now,
            deadline,
            timer: refusal_time(self.now, deadline) + Time::from_secs(injected_delay_s),
            rank: Rank {
                weight,
                deadline,
                flow: Flow::from(&request),
            },
            repeatable,
            claim: if has_key { Claim::Asked } else { Claim::None },
            stage: Stage::Claiming,
            progress: Progress::Unsent,
            offset: 0,
            attempts: 0,
            sends: 0,
            runs: 0,
            failed: Vec::new(),
            retry_at: Time::ZERO,
            answered: false,
            origin: None,
            tried: Vec::new(),
            trial_until: Time::ZERO,
            tried_knowing: Knowledge::default(),
            stalled: false,
            interruption: Interruption::None,
            charge: None,
            request,
        }
    }

    /// Returns the refusal for a new request that could not meet its deadline even under the
    /// lower-bound estimate.
    fn deadline_rejection(&self, call: &Call) -> Option<Rejection> {
        if !self.config.uses(Guard::Early) {
            return None;
        }
        let ahead = self.queue.ahead(&call.key, call.rank);
        self.late_rejection(call, ahead, self.supply(&call.key))
    }

    /// Returns the refusal for a request that cannot meet its deadline with `ahead` requests before
    /// it.
    fn late_rejection(&self, call: &Call, ahead: usize, supply: Supply) -> Option<Rejection> {
        let latency = self.latencies.get(&call.key);
        let start = estimate::earliest_start(supply, latency, ahead, self.now);
        let response_time = latency
            .response_time_for(call.request.streaming)
            .mul_f64(RESPONSE_TIME_FACTOR);
        if start + response_time <= call.deadline {
            return None;
        }
        let wait = start.saturating_sub(self.now);
        let detail = format!("it could not start before {} ms", wait.as_millis());
        Some(Rejection::not_run(Reason::Late, &detail).after(wait))
    }

    /// Refuses the unsent requests of one lane that can no longer meet their deadline.
    pub(crate) fn shed_late(&mut self, key: &QueueKey) {
        let supply = self.supply(key);
        let mut ahead = 0;
        let mut late = Vec::new();
        for id in self.queue.lane(key) {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let unsent = call.progress == Progress::Unsent;
            match self.late_rejection(call, ahead, supply) {
                Some(rejection) if unsent => late.push((id, rejection)),
                _ => ahead += 1,
            }
        }
        for (id, rejection) in late {
            self.refuse(id, rejection);
        }
    }

    /// Asks control to commit a claim for the request's key.
    pub(crate) fn request_claim(&mut self, id: CallId) {
        self.claiming += 1;
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(key) = call.request.key.clone() else {
            return;
        };
        self.actions.push(Action::Claim {
            id,
            caller: call.request.caller.clone(),
            key,
            digest: call.request.digest,
        });
    }

    /// Handles control's reply to a claim.
    pub(crate) fn on_claimed(&mut self, id: CallId, reply: Reply) {
        if self.orphaned_claims.get(id).is_some() {
            self.release_late_grant(id, &reply);
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.stage != Stage::Claiming {
            return;
        }
        match reply.next() {
            claim::NextStep::Wait => {
                call.claim = Claim::Granted;
                self.claiming -= 1;
                self.enqueue(id);
            }
            claim::NextStep::Replay => {
                call.claim = Claim::None;
                if let Reply::Recorded(recorded) = reply {
                    self.replay(id, recorded);
                }
            }
            claim::NextStep::Refuse {
                reason,
                run,
                retry,
                release,
                detail,
            } => {
                if !release {
                    call.claim = Claim::None;
                }
                let detail = detail.into();
                let rejection = Rejection {
                    reason,
                    run,
                    retry,
                    detail,
                };
                self.refuse(id, rejection);
            }
        }
    }

    /// Releases a claim that was granted only after its request had ended without being sent.
    fn release_late_grant(&mut self, id: CallId, reply: &Reply) {
        if *reply != Reply::Granted {
            return;
        }
        if let Some(orphan) = self.orphaned_claims.get(id) {
            let (caller, key) = (orphan.caller.clone(), orphan.key.clone());
            let outcome = claim::Outcome::NotRun;
            self.actions.push(Action::Record {
                id,
                caller,
                key,
                outcome,
            });
        }
    }

    /// Queues a request, once it is charged. If the queue exceeds its limit, sheds the request that
    /// is last in turn.
    pub(crate) fn enqueue(&mut self, id: CallId) {
        if !self.charge(id) {
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.stage = Stage::Waiting;
        let (key, rank) = (call.key.clone(), call.rank);
        let first = self.queue.waiting(&key) == 0;
        let adapter_missing = self.lacks_adapter(id);
        self.queue.push(&key, rank, id);
        if adapter_missing || (first && !self.is_ready(&key)) {
            self.actions.push(Action::Report);
        }
        self.dirty.insert(key);
        let bound = self.catalogue.fleet.refusing.queue as usize;
        let full = self.queue.len() > bound && !self.has_fault(Fault::Unbounded);
        if full && let Some(last) = self.queue.last() {
            self.shed_overload(last, bound);
        }
    }

    /// Refuses a request because the queue is full.
    fn shed_overload(&mut self, id: CallId, bound: usize) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let run = match call.progress {
            Progress::Unsent => Run::NotRun,
            _ => Run::Unknown,
        };
        let supply = self.supply(&call.key);
        let latency = self.latencies.get(&call.key);
        let start =
            estimate::earliest_start(supply, latency, self.queue.waiting(&call.key), self.now);
        let detail = format!("{bound} requests wait here that are nearer to being met");
        let rejection = Rejection {
            run,
            ..Rejection::not_run(Reason::Overloaded, &detail)
        };
        self.refuse(id, rejection.after(start.saturating_sub(self.now)));
    }
}

/// Returns when a request that still waits for a place is refused: shortly before its deadline.
pub(crate) fn refusal_time(arrived: Time, deadline: Time) -> Time {
    let wait = deadline.saturating_sub(arrived);
    deadline.saturating_sub(REFUSAL_MARGIN.min(wait / REFUSAL_MARGIN_DIVISOR))
}

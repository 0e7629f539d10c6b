//! What happens to a request from its arrival until it waits.

use std::time::Duration;

use cornelhitch_settings::process::Isolated;
use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::{Reason, Run};

use crate::action::Action;
use crate::claim::{self, Reply};
use crate::config::Guard;
use crate::core::Core;
use crate::estimate::{self, Supply};
use crate::event::{CallId, Request, What};
use crate::fault::Fault;
use crate::finish::End;
use crate::queue::{Key, Rank};
use crate::request::{Call, Claim, Reach, Stage};

/// The longest time that a request is answered before its deadline, if it was not sent.
const MARGIN: Duration = Duration::from_millis(50);

/// The part of a request's time that the margin takes at most.
const MARGIN_PART: u32 = 20;

/// The longest wait that is ever promised or asked for.
const LONGEST: Duration = Duration::from_hours(720);

/// When to come back for a model that only operators load.
const UNMANAGED: Duration = Duration::from_secs(10);

/// Room that an expected answer needs beyond its mean time.
const ROOM: f64 = 2.0;

impl Core {
    /// Takes a request, or refuses it at once.
    pub(crate) fn arrived(&mut self, request: Request) {
        if self.calls.contains_key(&request.id) {
            return;
        }
        let id = request.id;
        if let What::Model(reference) = &request.what
            && self.catalogue.models.contains_key(&reference.model)
        {
            let arrivals = self.arrivals.entry(reference.model.clone()).or_default();
            arrivals.count += 1;
            arrivals.last = self.now;
        }
        if let Some(end) = self.barred(&request) {
            self.turn_away(id, end);
            return;
        }
        let call = self.call(request);
        if let Some(end) = self.hopeless(&call) {
            self.turn_away(id, end);
            return;
        }
        self.queue.enter(&call.request.caller);
        self.timers.insert((call.timer, id));
        let claims = call.claim == Claim::Asked;
        self.calls.insert(id, call);
        if claims {
            self.claim(id);
        } else {
            self.wait(id);
        }
    }

    /// Why a request may not come in, whatever its place in the queue would be.
    fn barred(&self, request: &Request) -> Option<End> {
        let refuse = |reason, detail: &str| Some(End::not_run(reason, detail));
        if !self.drain.serves() {
            return refuse(Reason::Draining, "this host is shutting down")
                .map(|end| self.name(end));
        }
        let held = self.lease.holds(self.catalogue.version, self.now);
        if !held && self.config.serving.isolated == Isolated::Refuse {
            let detail = "this host has no lease on the settings";
            return refuse(Reason::Isolated, detail).map(|end| self.name(end));
        }
        if !self.lists(request) {
            let detail = format!("there is no {}", request.what);
            return refuse(Reason::Unknown, &detail);
        }
        if let Some(class) = &request.class
            && self.catalogue.class(class).is_none()
        {
            return refuse(Reason::Malformed, &format!("there is no class {class}"));
        }
        if let Some(end) = self.unservable(&request.what) {
            return Some(end);
        }
        if self.quarantine.strikes(request.fingerprint) >= self.strike_limit() {
            return Some(self.quarantined(request.fingerprint));
        }
        let limit = self.catalogue.fleet.refusing.caller;
        if self.queue.of_caller(&request.caller) >= limit {
            let detail = format!("a caller may have {limit} requests here");
            return refuse(Reason::Limited, &detail).map(|end| end.after(Duration::from_secs(1)));
        }
        let bound = self.catalogue.fleet.refusing.queue as usize;
        if request.key.is_some() && self.claiming >= bound {
            let detail = "too many requests wait for their claims";
            let end = refuse(Reason::Overloaded, detail);
            return end.map(|end| end.after(Duration::from_secs(1)));
        }
        None
    }

    /// Whether what a request asks for exists, when it arrives and for as long as it waits.
    ///
    /// A service that a route leads to is known by the route, whatever the settings list.
    pub(crate) fn lists(&self, request: &Request) -> bool {
        let routed = request.terms.is_some();
        let service = matches!(request.what, What::Service { .. });
        routed && service || self.catalogue.has(&request.what)
    }

    /// Why nothing will come that could answer, however long the request waits.
    fn unservable(&self, what: &What) -> Option<End> {
        let What::Model(reference) = what else {
            return None;
        };
        let model = self.catalogue.models.get(&reference.model)?;
        let named = reference.version.as_ref();
        let other = named.is_some() && named != model.version.as_ref();
        let held = self.picture.of_model(&reference.model).any(|replica| {
            let version = replica.view.version.as_ref();
            named.is_none() || version == named
        });
        if held {
            return None;
        }
        if other {
            let detail = format!("{what}: this version is not in force and nothing holds it");
            return Some(End::not_run(Reason::Unknown, &detail));
        }
        if !model.managed {
            let detail = format!("{what}: its group is unmanaged and no worker holds it");
            let end = End::not_run(Reason::Unavailable, &detail);
            return Some(end.after(UNMANAGED));
        }
        None
    }

    /// The refusal of a fingerprint that took down as many targets as it may.
    pub(crate) fn quarantined(&self, fingerprint: u64) -> End {
        let kept = Duration::from_secs(self.catalogue.fleet.refusing.quarantine_s);
        let left = self.quarantine.left(fingerprint, kept, self.now);
        End {
            reason: Reason::Quarantined,
            run: Run::Failed,
            retry: Some(left),
            detail: "targets failed while they ran this request".into(),
        }
    }

    /// Adds the addresses of other hosts to a refusal.
    fn name(&self, end: End) -> End {
        let others = self.picture.hosts.values();
        let others = others.filter(|host| host.host != self.config.host && !host.draining);
        let others: Vec<String> = others
            .take(4)
            .map(|host| host.address.to_string())
            .collect();
        let detail = if others.is_empty() {
            end.detail.to_string()
        } else {
            format!("{}; others: {}", end.detail, others.join(", "))
        };
        End {
            detail: detail.into(),
            ..end.after(Duration::from_secs(1))
        }
    }

    /// Makes the state of a request.
    fn call(&self, request: Request) -> Call {
        let name = request.class.as_ref();
        let name = name.or_else(|| self.catalogue.class_of(&request.what));
        let class = name.and_then(|name| self.catalogue.class(name));
        let wait = request.deadline;
        let wait = wait.unwrap_or_else(|| self.catalogue.deadline(&request.what, class));
        let terms = request.terms.as_ref();
        let limit = terms.map_or(LONGEST, |terms| terms.limit);
        let wait = wait.min(limit);
        let deadline = self.now + wait;
        let weight = class.map_or(1, |class| class.weight);
        let weight = terms.map_or(weight, |terms| terms.weight());
        let keyed = request.key.is_some();
        let allowed = terms.is_some() || self.catalogue.repeatable(&request.what);
        let repeatable = !keyed && request.repeatable && allowed;
        let margin = MARGIN.min(wait / MARGIN_PART);
        let late = if self.planted(Fault::LateTimer) { 3 } else { 0 };
        Call {
            key: Key::from(&request.what),
            weight,
            arrived: self.now,
            deadline,
            timer: deadline.saturating_sub(margin) + Time::from_secs(late),
            rank: Rank { weight, deadline },
            repeatable,
            claim: if keyed { Claim::Asked } else { Claim::None },
            stage: Stage::Claiming,
            reach: Reach::Unsent,
            offset: 0,
            attempts: 0,
            arrivals: 0,
            runs: 0,
            failed: Vec::new(),
            pause: Time::ZERO,
            answered: false,
            stalled: false,
            request,
        }
    }

    /// Whether a request cannot be met even if all goes well.
    fn hopeless(&self, call: &Call) -> Option<End> {
        if !self.config.uses(Guard::Early) {
            return None;
        }
        let ahead = self.queue.ahead(&call.key, call.rank);
        self.late(call, ahead, self.supply(&call.key))
    }

    /// The refusal of a request that cannot be met with `ahead` others before it.
    fn late(&self, call: &Call, ahead: usize, supply: Supply) -> Option<End> {
        let pace = self.paces.get(&call.key);
        let start = estimate::start(supply, pace, ahead, self.now);
        let need = pace.need(call.request.streaming).mul_f64(ROOM);
        if start + need <= call.deadline {
            return None;
        }
        let wait = start.saturating_sub(self.now);
        let detail = format!("it could not start before {} ms", wait.as_millis());
        Some(End::not_run(Reason::Late, &detail).after(wait))
    }

    /// Refuses the requests of one kind that can no longer be met.
    pub(crate) fn shed_late(&mut self, key: &Key) {
        let supply = self.supply(key);
        let mut ahead = 0;
        let mut late = Vec::new();
        for id in self.queue.lane(key) {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let fresh = call.reach == Reach::Unsent;
            match self.late(call, ahead, supply) {
                Some(end) if fresh => late.push((id, end)),
                _ => ahead += 1,
            }
        }
        for (id, end) in late {
            self.refuse(id, end);
        }
    }

    /// Asks control for a claim.
    fn claim(&mut self, id: CallId) {
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

    /// Takes control's answer to a claim.
    pub(crate) fn claimed(&mut self, id: CallId, reply: Reply) {
        if self.orphans.granted(id).is_some() {
            self.late_grant(id, &reply);
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.stage != Stage::Claiming {
            return;
        }
        match reply.next() {
            claim::Next::Wait => {
                call.claim = Claim::Granted;
                self.claiming -= 1;
                self.wait(id);
            }
            claim::Next::Replay => {
                call.claim = Claim::None;
                if let Reply::Recorded(recorded) = reply {
                    self.replay(id, recorded);
                }
            }
            claim::Next::Refuse {
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
                let end = End {
                    reason,
                    run,
                    retry,
                    detail,
                };
                self.refuse(id, end);
            }
        }
    }

    /// Gives back a claim that was granted after its request had ended unsent.
    fn late_grant(&mut self, id: CallId, reply: &Reply) {
        if *reply != Reply::Granted {
            return;
        }
        if let Some(orphan) = self.orphans.granted(id) {
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

    /// Puts a request into the queue, and sheds the furthest if it is too long.
    pub(crate) fn wait(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.stage = Stage::Waiting;
        let (key, rank) = (call.key.clone(), call.rank);
        let first = self.queue.waiting(&key) == 0;
        let bare = self.lacks_adapter(id);
        self.queue.push(&key, rank, id);
        if bare || (first && !self.is_ready(&key)) {
            self.actions.push(Action::Report);
        }
        self.dirty.insert(key);
        let bound = self.catalogue.fleet.refusing.queue as usize;
        let full = self.queue.len() > bound && !self.planted(Fault::Unbounded);
        if full && let Some(last) = self.queue.last() {
            self.shed(last, bound);
        }
    }

    /// Refuses a request for which there is no room.
    fn shed(&mut self, id: CallId, bound: usize) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let run = match call.reach {
            Reach::Unsent => Run::NotRun,
            _ => Run::Unknown,
        };
        let supply = self.supply(&call.key);
        let pace = self.paces.get(&call.key);
        let start = estimate::start(supply, pace, self.queue.waiting(&call.key), self.now);
        let detail = format!("{bound} requests wait here that are nearer to being met");
        let end = End {
            run,
            ..End::not_run(Reason::Overloaded, &detail)
        };
        self.refuse(id, end.after(start.saturating_sub(self.now)));
    }
}

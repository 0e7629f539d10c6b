//! The aggregate of one entry host.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_types::demand;
use cornelhitch_types::id::{Incarnation, ModelId, Name, TargetId, Time};
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::route::Table;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::action::Action;
use crate::affinity::Caches;
use crate::budget::Budget;
use crate::catalogue::Catalogue;
use crate::claim::Orphans;
use crate::config::{Config, Guard};
use crate::drain::Drain;
use crate::dump::Dump;
use crate::ejection::Ejections;
use crate::entries::{self, Entries, Whence};
use crate::estimate::Paces;
use crate::event::{CallId, Event};
use crate::fault::Fault;
use crate::finish::End;
use crate::health::Health;
use crate::lease::Lease;
use crate::picture::Picture;
use crate::quarantine::Quarantine;
use crate::queue::{Key, Queue};
use crate::request::{Call, Reach, Stage};
use crate::route::Place;
use crate::share::Shares;
use crate::stopped::Stopped;
use crate::tally::Tallies;

/// How often requests that can no longer be met are looked for.
const SWEEP: Time = Time::from_millis(100);

/// How long a model is reported after its last request: some reports, of which a few may be lost.
const RECENT: Time = Time::from_secs(2);

/// The slack that is reported where nothing waits.
const NO_HURRY: Time = Time::from_hours(1);

/// Requests for one model that came to this host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Arrivals {
    /// How many, since the process started.
    pub count: u64,
    /// When the last one came.
    pub last: Time,
}

/// The state of one entry host.
///
/// It holds no clock: the owner passes the time, calls again with
/// [`Event::Tick`] at [`Core::next_wake`], and carries out the actions in order.
pub struct Core {
    pub(crate) config: Config,
    pub(crate) now: Time,
    pub(crate) catalogue: Catalogue,
    pub(crate) picture: Picture,
    pub(crate) lease: Lease,
    pub(crate) drain: Drain,
    pub(crate) queue: Queue,
    pub(crate) calls: HashMap<CallId, Call>,
    /// Requests that wait for their claim.
    pub(crate) claiming: usize,
    pub(crate) timers: BTreeSet<(Time, CallId)>,
    /// Requests that are sent again only after a pause.
    pub(crate) pauses: BTreeSet<(Time, CallId)>,
    pub(crate) paces: Paces,
    pub(crate) shares: Shares,
    pub(crate) ejections: Ejections,
    pub(crate) health: Health,
    pub(crate) caches: Caches,
    pub(crate) quarantine: Quarantine,
    pub(crate) stopped: Stopped,
    pub(crate) budget: Budget,
    pub(crate) tallies: Tallies,
    pub(crate) orphans: Orphans,
    /// Requests in progress by place.
    pub(crate) flights: BTreeMap<Place, u32>,
    /// Requests in progress by fingerprint and target.
    pub(crate) prints: HashMap<u64, BTreeMap<TargetId, u32>>,
    pub(crate) arrivals: BTreeMap<ModelId, Arrivals>,
    /// Kinds of requests that may have got a place to go to.
    pub(crate) dirty: BTreeSet<Key>,
    /// When requests that are held back by the retry budget are tried.
    pub(crate) starved: Option<Time>,
    /// Requests for which the budget has no retry soon, and how long they would wait.
    pub(crate) unaffordable: Vec<(CallId, Duration)>,
    /// When the queue is next looked through.
    pub(crate) sweep: Time,
    pub(crate) random: SmallRng,
    pub(crate) actions: Vec<Action>,
    /// Reports made.
    reports: u64,
}

impl Core {
    /// A core that knows nothing of the fleet and takes no requests yet.
    #[must_use]
    pub fn new(config: Config, now: Time) -> Self {
        let random = SmallRng::seed_from_u64(config.seed);
        let budget = Budget::new(&config.serving, now);
        Self {
            config,
            now,
            catalogue: Catalogue::default(),
            picture: Picture::default(),
            lease: Lease::default(),
            drain: Drain::default(),
            queue: Queue::default(),
            calls: HashMap::new(),
            claiming: 0,
            timers: BTreeSet::new(),
            pauses: BTreeSet::new(),
            paces: Paces::default(),
            shares: Shares::default(),
            ejections: Ejections::default(),
            health: Health::default(),
            caches: Caches::default(),
            quarantine: Quarantine::default(),
            stopped: Stopped::default(),
            budget,
            tallies: Tallies::default(),
            orphans: Orphans::default(),
            flights: BTreeMap::new(),
            prints: HashMap::new(),
            arrivals: BTreeMap::new(),
            dirty: BTreeSet::new(),
            starved: None,
            unaffordable: Vec::new(),
            sweep: now,
            random,
            actions: Vec::new(),
            reports: 0,
        }
    }

    /// Takes an event and returns what is to be done, in order.
    ///
    /// Events of requests and attempts that have ended change nothing.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Arrived(request) => self.arrived(request),
            Event::View(view) => self.view(view),
            Event::Lease { until, version } => {
                self.lease.renew(until, version, self.now);
                self.budget.renew(until, self.now);
            }
            Event::Claimed { id, reply } => self.claimed(id, reply),
            Event::Recorded { id } => self.recorded(id),
            Event::Sent { id, attempt } => self.sent(id, attempt),
            Event::Begun { id, attempt } => self.begun(id, attempt),
            Event::Answered {
                target,
                incarnation,
                error,
            } => self.answered(&target, incarnation, error),
            Event::Progress {
                id,
                attempt,
                offset,
            } => self.progress(id, attempt, offset),
            Event::Ended { id, attempt } => self.ended(id, attempt),
            Event::Failed {
                id,
                attempt,
                failure,
            } => self.failed(id, attempt, failure),
            Event::CallerLeft { id } => self.caller_left(id),
            Event::Reserved {
                target,
                incarnation,
                granted,
            } => self.reserved(target, incarnation, granted),
            Event::Probed { target, connected } => self.probed(&target, connected),
            Event::Loaded {
                target,
                incarnation,
                load,
            } => self.loaded(&target, incarnation, load),
            Event::Drain => {
                let leave = Time::from_millis(self.config.serving.leave_ms);
                self.drain.start(self.now + leave);
            }
            Event::Tick => {}
        }
        self.settle();
        std::mem::take(&mut self.actions)
    }

    /// When the core next wants [`Event::Tick`], if nothing else comes before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let timer = self.timers.first().map(|(time, _)| *time);
        let pause = self.pauses.first().map(|(time, _)| *time);
        let sweep = (!self.queue.is_empty()).then_some(self.sweep);
        let wakes = [
            timer,
            pause,
            sweep,
            self.starved,
            self.ejections.next(),
            self.quarantine.next(),
            self.drain.next(),
        ];
        wakes.into_iter().flatten().min()
    }

    /// The demand for models, as a level; each call counts as one more report.
    pub fn report(&mut self) -> demand::Report {
        self.reports += 1;
        let mut rows: BTreeMap<(ModelId, Option<Name>), demand::Demand> = BTreeMap::new();
        let recent = self
            .arrivals
            .iter()
            .filter(|(_, arrivals)| arrivals.last + RECENT > self.now);
        for (model, _) in recent {
            rows.insert((model.clone(), None), self.row(model, None));
        }
        for call in self.calls.values() {
            let Key::Model(model, version) = &call.key else {
                continue;
            };
            let row = rows
                .entry((model.clone(), version.clone()))
                .or_insert_with(|| self.row(model, version.clone()));
            count(row, call, self.now);
        }
        demand::Report {
            host: self.config.host,
            incarnation: self.config.incarnation,
            sequence: self.reports,
            region: self.config.region.clone(),
            rows: rows.into_values().collect(),
        }
    }

    /// The answer to a caller that asks where to connect.
    pub fn entries(&mut self, whence: &Whence) -> Entries {
        let load = self.load();
        let draining = self.drain.leaves();
        if let Some(own) = self.picture.hosts.get_mut(&self.config.host) {
            own.load = load;
            own.draining |= draining;
        }
        let hosts: Vec<_> = self.picture.hosts.values().collect();
        let max_age = Time::from_millis(self.config.serving.max_age_ms);
        entries::answer(&hosts, whence, max_age, &mut self.random)
    }

    /// The answer to a caller that connects to any of the hosts named: those nearest to it.
    #[must_use]
    pub fn nearest(&self, whence: &Whence) -> Entries {
        let own = self.config.host;
        let leaves = self.drain.leaves();
        let open = self.picture.hosts.values();
        let open = open.filter(|host| !(host.draining || (host.host == own && leaves)));
        let max_age = Time::from_millis(self.config.serving.max_age_ms);
        entries::nearest(&open.collect::<Vec<_>>(), whence, max_age)
    }

    /// Whether this host takes requests: it knows routes and targets and does not end.
    #[must_use]
    pub fn takes_requests(&self) -> bool {
        !self.drain.leaves() && self.catalogue.table.is_some() && self.picture.sequence > 0
    }

    /// The term of the view, and the place up to which it is known.
    #[must_use]
    pub fn seen(&self) -> (u64, u64) {
        (self.picture.term, self.picture.sequence)
    }

    /// The table of routes in force here.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.catalogue.table.as_ref()
    }

    /// Strikes at which a request is refused.
    pub(crate) fn strike_limit(&self) -> u32 {
        self.config.serving.strikes
    }

    /// Whether control published this life of a target, or a later one.
    #[must_use]
    pub fn knows(&self, target: &str, incarnation: u64) -> bool {
        let known = self.picture.targets.get(target);
        known.is_some_and(|known| known.view.incarnation >= incarnation)
    }

    /// The life of a target that control published.
    #[must_use]
    pub fn life(&self, target: &str) -> Option<Incarnation> {
        let known = self.picture.targets.get(target);
        known.map(|known| known.view.incarnation)
    }

    /// Requests that wait or are in progress.
    #[must_use]
    pub fn load(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    /// Whether this host is left out of the answers to callers.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.drain.leaves()
    }

    /// The version of the settings that this host acts on.
    #[must_use]
    pub fn settings(&self) -> cornelhitch_types::id::Version {
        self.catalogue.version
    }

    /// Requests and repeats by service.
    #[must_use]
    pub fn tallies(&self) -> &Tallies {
        &self.tallies
    }

    /// The state, for operators.
    #[must_use]
    pub fn dump(&self) -> Dump {
        Dump::from(self)
    }

    /// A row without requests.
    fn row(&self, model: &ModelId, version: Option<Name>) -> demand::Demand {
        let arrivals = self.arrivals.get(model).copied().unwrap_or_default();
        demand::Demand {
            model: model.clone(),
            arrivals: if version.is_none() { arrivals.count } else { 0 },
            version,
            waiting: 0,
            running: 0,
            slack: NO_HURRY,
            weight: 0,
            adapters: Vec::new(),
        }
    }

    /// Does what has become due or possible.
    fn settle(&mut self) {
        self.expire();
        self.probe();
        let retry = self.starved.is_some_and(|at| at <= self.now)
            || self.quarantine.next().is_some_and(|at| at <= self.now);
        if retry {
            self.starved = None;
            self.quarantine.lapse(self.now);
            self.dirty.extend(self.queue.keys());
        }
        if self.sweep <= self.now {
            self.sweep = self.now + SWEEP;
            self.tidy();
        }
        while let Some(key) = self.dirty.pop_first() {
            self.dispatch(&key);
        }
        self.release();
        self.step_drain();
    }

    /// Fires the timers and the pauses that are over.
    fn expire(&mut self) {
        while let Some((time, id)) = self.timers.first().copied() {
            if time > self.now {
                break;
            }
            self.timers.remove(&(time, id));
            self.expired(id);
        }
        while let Some((time, id)) = self.pauses.first().copied() {
            if time > self.now {
                break;
            }
            self.pauses.remove(&(time, id));
            let key = self.calls.get(&id).map(|call| call.key.clone());
            self.dirty.extend(key);
        }
    }

    /// Drops what is kept only for a time, and refuses what can no longer be met.
    fn tidy(&mut self) {
        let kept = Time::from_secs(self.catalogue.fleet.refusing.quarantine_s);
        self.quarantine.expire(kept, self.now);
        self.orphans.expire(self.now);
        self.stopped.expire(self.now);
        if self.config.uses(Guard::Early) {
            for key in self.queue.keys() {
                self.shed_late(&key);
            }
        }
    }

    /// Goes on with the end of the process.
    fn step_drain(&mut self) {
        if let Drain::Leaving { until } = self.drain
            && until <= self.now
        {
            self.drain = Drain::Closed;
            self.actions.push(Action::CloseListener);
            self.send_away();
        }
        if self.drain == Drain::Closed && self.calls.is_empty() {
            self.drain = Drain::Done;
            self.actions.push(Action::Drained);
        }
    }

    /// Refuses routed requests that wait here, so that their callers go to another host at once.
    fn send_away(&mut self) {
        let waiting = self.calls.values().filter(|call| {
            let routed = call.request.terms.is_some();
            routed && call.waits() && call.reach == Reach::Unsent
        });
        let mut waiting: Vec<CallId> = waiting.map(|call| call.request.id).collect();
        waiting.sort_unstable();
        for id in waiting {
            let end = End::not_run(Reason::Draining, "this host is shutting down");
            self.refuse(id, end);
        }
    }

    /// Whether a test planted this fault.
    #[cfg(test)]
    pub(crate) fn planted(&self, fault: Fault) -> bool {
        self.config.fault == Some(fault)
    }

    /// No faults outside tests.
    #[cfg(not(test))]
    #[allow(clippy::unused_self)]
    pub(crate) fn planted(&self, _: Fault) -> bool {
        false
    }
}

/// Counts one request into its model's row.
fn count(row: &mut demand::Demand, call: &Call, now: Time) {
    match call.stage {
        Stage::Waiting => {
            row.waiting += 1;
            row.slack = row.slack.min(call.deadline.saturating_sub(now));
            row.weight = row.weight.max(call.weight);
            if let crate::event::What::Model(reference) = &call.request.what
                && let Some(adapter) = &reference.adapter
                && !row.adapters.contains(adapter)
            {
                row.adapters.push(adapter.clone());
            }
        }
        Stage::Running(_) => row.running += 1,
        Stage::Claiming | Stage::Recording => {}
    }
}

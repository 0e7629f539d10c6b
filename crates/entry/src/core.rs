//! The state machine of one entry host.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_types::demand;
use cornelhitch_types::id::{Incarnation, ModelId, Name, TargetId, Time, Version};
use cornelhitch_types::route::RouteTable;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::action::Action;
use crate::affinity::PrefixCaches;
use crate::budget::Budget;
use crate::cancelled::CancelledAttempts;
use crate::catalogue::Catalogue;
use crate::claim::OrphanedClaims;
use crate::config::{Config, Guard};
use crate::counters::Counters;
use crate::drain::{Phases, Shutdown};
use crate::drain_rate::DrainRates;
use crate::dump::Dump;
use crate::durations::Durations;
use crate::ejection::Ejections;
use crate::entries::{self, CallerLocation, EntryHosts};
use crate::estimate::Latencies;
use crate::event::{CallId, Event};
use crate::fault::Fault;
use crate::fleet_view::FleetView;
use crate::health::Health;
use crate::lease::Lease;
use crate::newest_table::{NewestTable, Statement};
use crate::promises::Promises;
use crate::quarantine::Quarantine;
use crate::queue::{Queue, QueueKey};
use crate::quota::{Allowances, TeamCountersByName};
use crate::request::{Call, Stage};
use crate::route::Place;
use crate::share::Shares;
use crate::software::Software;
use crate::suspects::Suspects;
use crate::target_limits::TargetLimits;
use crate::target_notices::TargetNotices;
use crate::timing::Timing;
use crate::warm::WarmConnections;

/// Interval at which the queue is searched for requests that can no longer meet their deadline.
const SWEEP_INTERVAL: Time = Time::from_millis(100);

/// How long a model stays in demand reports after its last request. This spans several reports, so
/// that it gets through even if some of them are lost.
const DEMAND_REPORT_WINDOW: Time = Time::from_secs(2);

/// The slack reported for a model with no waiting requests.
const IDLE_SLACK: Time = Time::from_hours(1);

/// Requests for one model that arrived at this host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Arrivals {
    /// Number of arrivals since the process started.
    pub count: u64,
    /// Time of the last arrival.
    pub last: Time,
}

/// State machine of one entry host.
///
/// It has no clock: the owner passes the time with each event, sends [`Event::Tick`] at
/// [`Core::next_wake`], and carries out the returned actions in order.
pub struct Core {
    pub(crate) config: Config,
    pub(crate) now: Time,
    pub(crate) catalogue: Catalogue,
    pub(crate) fleet_view: FleetView,
    pub(crate) lease: Lease,
    pub(crate) newest_table: NewestTable,
    pub(crate) shutdown: Shutdown,
    pub(crate) queue: Queue,
    pub(crate) drain_rates: DrainRates,
    /// Refused requests that are expected back.
    pub(crate) promises: Promises,
    pub(crate) calls: HashMap<CallId, Call>,
    /// Number of requests that wait for control to answer their claim.
    pub(crate) claiming: usize,
    pub(crate) timers: BTreeSet<(Time, CallId)>,
    /// Requests in retry backoff, by the time at which they may be sent again.
    pub(crate) backoffs: BTreeSet<(Time, CallId)>,
    pub(crate) latencies: Latencies,
    pub(crate) durations: Durations,
    pub(crate) shares: Shares,
    pub(crate) timing: Timing,
    pub(crate) target_limits: TargetLimits,
    pub(crate) warm: WarmConnections,
    pub(crate) target_notices: TargetNotices,
    pub(crate) ejections: Ejections,
    pub(crate) health: Health,
    pub(crate) caches: PrefixCaches,
    pub(crate) quarantine: Quarantine,
    pub(crate) suspects: Suspects,
    pub(crate) software: Software,
    pub(crate) cancelled: CancelledAttempts,
    pub(crate) budget: Budget,
    pub(crate) allowances: Allowances,
    pub(crate) counters: Counters,
    pub(crate) orphaned_claims: OrphanedClaims,
    /// In-flight requests by place.
    pub(crate) in_flight: BTreeMap<Place, u32>,
    /// In-flight requests by fingerprint and target.
    pub(crate) in_flight_fingerprints: HashMap<u64, BTreeMap<TargetId, u32>>,
    pub(crate) arrivals: BTreeMap<ModelId, Arrivals>,
    /// Lanes to dispatch from: a place may have become available for their requests.
    pub(crate) dirty: BTreeSet<QueueKey>,
    /// When requests that are held back by the retry budget or the limits of targets are tried again.
    pub(crate) held_retry_at: Option<Time>,
    /// Requests that the retry budget cannot serve soon, with their expected wait.
    pub(crate) over_budget: Vec<(CallId, Duration)>,
    /// When the queue is next searched for expired requests.
    pub(crate) next_sweep: Time,
    pub(crate) random: SmallRng,
    pub(crate) actions: Vec<Action>,
    /// Number of demand reports made, used as their sequence number.
    report_count: u64,
}

impl Core {
    /// Creates a core with an empty view of the fleet, which accepts no requests yet.
    #[must_use]
    pub fn new(config: Config, now: Time) -> Self {
        let random = SmallRng::seed_from_u64(config.seed);
        let budget = Budget::new(&config.serving, now);
        let suspects = Suspects::new(config.serving.section_strikes);
        let allowances = Allowances::new(config.incarnation);
        Self {
            config,
            now,
            catalogue: Catalogue::default(),
            fleet_view: FleetView::default(),
            lease: Lease::default(),
            newest_table: NewestTable::default(),
            shutdown: Shutdown::default(),
            queue: Queue::default(),
            drain_rates: DrainRates::default(),
            promises: Promises::default(),
            calls: HashMap::new(),
            claiming: 0,
            timers: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            latencies: Latencies::default(),
            durations: Durations::default(),
            shares: Shares::default(),
            timing: Timing::default(),
            target_limits: TargetLimits::default(),
            warm: WarmConnections::default(),
            target_notices: TargetNotices::default(),
            ejections: Ejections::default(),
            health: Health::default(),
            caches: PrefixCaches::default(),
            quarantine: Quarantine::default(),
            suspects,
            software: Software::new(now),
            cancelled: CancelledAttempts::default(),
            budget,
            allowances,
            counters: Counters::default(),
            orphaned_claims: OrphanedClaims::default(),
            in_flight: BTreeMap::new(),
            in_flight_fingerprints: HashMap::new(),
            arrivals: BTreeMap::new(),
            dirty: BTreeSet::new(),
            held_retry_at: None,
            over_budget: Vec::new(),
            next_sweep: now,
            random,
            actions: Vec::new(),
            report_count: 0,
        }
    }

    /// Processes an event and returns the actions to carry out, in order.
    ///
    /// Events for requests or attempts that have already ended are ignored.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Arrived(request) => self.on_arrived(request),
            Event::View(view) => self.on_view(view),
            Event::Lease { until, version } => self.on_lease(until, version),
            Event::NewestTable(statement) => self.on_newest_table(statement),
            Event::Table(table) => self.adopt_table(table),
            Event::Claimed { id, reply } => self.on_claimed(id, reply),
            Event::Recorded { id } => self.on_recorded(id),
            Event::Sent { id, attempt } => self.on_sent(id, attempt),
            Event::ResponseStarted { id, attempt } => self.on_response_started(id, attempt),
            Event::ResponseHead {
                target,
                incarnation,
                error,
            } => self.on_response_head(&target, incarnation, error),
            Event::Progress {
                id,
                attempt,
                offset,
            } => self.on_progress(id, attempt, offset),
            Event::ErrorStatus { id, attempt } => self.on_error_status(id, attempt),
            Event::ResponseEnded { id, attempt } => self.on_response_ended(id, attempt),
            Event::Failed {
                id,
                attempt,
                failure,
            } => self.on_failed(id, attempt, failure),
            Event::CallerDisconnected { id } => self.on_caller_disconnected(id),
            Event::Reserved {
                target,
                incarnation,
                granted,
            } => self.on_reserved(target, incarnation, granted),
            Event::Software(software) => self.software.apply(software),
            Event::OriginAnswered { id, answer } => self.on_origin_answered(id, answer.as_ref()),
            Event::TrialAnswered { id, granted } => self.on_trial_answered(id, granted),
            Event::Probed { target, connected } => self.on_probed(&target, connected),
            Event::Loaded {
                target,
                incarnation,
                load,
            } => self.on_loaded(&target, incarnation, load),
            Event::Stated {
                target,
                incarnation,
                statement,
            } => self.on_stated(&target, incarnation, statement),
            Event::PeerReport(received) => self.on_peer_report(&received),
            Event::Drain => {
                let phases = Phases::from(&self.config.serving);
                self.shutdown.start(phases, self.now);
            }
            Event::Tick => {}
            Event::Quota(answer) => self.on_quota(&answer),
            Event::IdleConnections(idle) => self.warm.apply(idle),
            Event::Connected { id, reused } => self.on_connected(id, reused),
        }
        self.process_due();
        std::mem::take(&mut self.actions)
    }

    /// Applies a renewal of this host's lease.
    fn on_lease(&mut self, until: Time, version: Version) {
        if !self.lease.is_live(self.now) {
            self.software.lose_touch(self.now);
        }
        self.lease.renew(until, version, self.now);
        self.budget.renew_lease(until, self.now);
        self.target_limits.renew_lease(until, self.now);
    }

    /// Records which route table is the newest, and asks for it if it does not come with the view.
    fn on_newest_table(&mut self, statement: Statement) {
        let (held, limit) = (self.held_table(), self.table_limit());
        self.newest_table.learn(statement, held, self.now);
        if self.newest_table.is_missing(held, limit, self.now) {
            self.actions.push(Action::RequestTable { held });
        }
    }

    /// Applies a route table, unless a newer one is known.
    pub(crate) fn adopt_table(&mut self, table: Arc<RouteTable>) {
        let before = self.held_table();
        self.catalogue.adopt_table(table);
        let held = self.held_table();
        if held > before {
            self.newest_table.adopt(held, self.now);
            self.dirty.extend(self.queue.keys());
            self.refuse_revoked();
        }
    }

    /// Returns the version of the newest route table that this host has; 0 if it has none.
    fn held_table(&self) -> Version {
        let table = self.catalogue.table.as_ref();
        table.map_or(0, |table| table.version)
    }

    /// Returns how long a route table may be acted on after it was last known to be the newest, once
    /// a newer one is known.
    fn table_limit(&self) -> Duration {
        Duration::from_secs_f64(self.config.serving.table_lag_ms / 1_000.0)
    }

    /// Whether this host must not act on its route table any more.
    pub(crate) fn is_table_outdated(&self) -> bool {
        let (held, limit) = (self.held_table(), self.table_limit());
        self.newest_table.is_outdated(held, limit, self.now)
    }

    /// Returns when the core needs the next [`Event::Tick`], or `None` if only other events can
    /// change its state.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let timer = self.timers.first().map(|(time, _)| *time);
        let backoff_end = self.backoffs.first().map(|(time, _)| *time);
        let next_sweep = (!self.queue.is_empty()).then_some(self.next_sweep);
        let (held, limit) = (self.held_table(), self.table_limit());
        let outdated = self.newest_table.expiry(held, limit);
        let wakes = [
            outdated.filter(|at| *at > self.now),
            timer,
            backoff_end,
            next_sweep,
            self.held_retry_at,
            self.ejections.next_probe(),
            self.quarantine.next_expiry(),
            self.shutdown.next_step(),
            self.allowances.next_wake(self.now),
            self.next_peer_report(),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Returns the current demand by model and version. Each call increments the report's sequence
    /// number.
    pub fn demand_report(&mut self) -> demand::DemandReport {
        self.report_count += 1;
        let mut rows: BTreeMap<(ModelId, Option<Name>), demand::Demand> = BTreeMap::new();
        let recent = self
            .arrivals
            .iter()
            .filter(|(_, arrivals)| arrivals.last + DEMAND_REPORT_WINDOW > self.now);
        for (model, _) in recent {
            rows.insert((model.clone(), None), self.demand_row(model, None));
        }
        for call in self.calls.values() {
            let QueueKey::Model(model, version) = &call.key else {
                continue;
            };
            let row = rows
                .entry((model.clone(), version.clone()))
                .or_insert_with(|| self.demand_row(model, version.clone()));
            count_call(row, call, self.now);
        }
        demand::DemandReport {
            host: self.config.host,
            incarnation: self.config.incarnation,
            sequence: self.report_count,
            region: self.config.region.clone(),
            rows: rows.into_values().collect(),
        }
    }

    /// Returns the entry hosts that a caller at this location should connect to.
    pub fn entry_hosts(&mut self, location: &CallerLocation) -> EntryHosts {
        let load = self.load();
        let draining = self.shutdown.is_leaving();
        if let Some(own) = self.fleet_view.hosts.get_mut(&self.config.host) {
            own.load = load;
            own.draining |= draining;
        }
        let hosts: Vec<_> = self.fleet_view.hosts.values().collect();
        let max_age = Time::from_millis(self.config.serving.max_age_ms);
        entries::answer(&hosts, location, max_age, &mut self.random)
    }

    /// Returns the nearest entry hosts, for a caller that may connect to any of the addresses
    /// given.
    #[must_use]
    pub fn nearest_entry_hosts(&self, location: &CallerLocation) -> EntryHosts {
        let own = self.config.host;
        let leaves = self.shutdown.is_leaving();
        let open = self.fleet_view.hosts.values();
        let open = open.filter(|host| !(host.draining || (host.host == own && leaves)));
        let max_age = Time::from_millis(self.config.serving.max_age_ms);
        entries::nearest(&open.collect::<Vec<_>>(), location, max_age)
    }

    /// Whether this host accepts requests: it has a route table and a view of the fleet, and is not
    /// shutting down.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        !self.shutdown.is_leaving() && self.table().is_some() && self.fleet_view.sequence > 0
    }

    /// Returns the term of the fleet view and the sequence number up to which it has been applied.
    #[must_use]
    pub fn view_position(&self) -> (u64, u64) {
        (self.fleet_view.term, self.fleet_view.sequence)
    }

    /// Returns the route table in force on this host, or `None` before the first one arrives and while
    /// a newer one is known that has not arrived in time.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        let table = self.catalogue.table.as_ref();
        table.filter(|_| !self.is_table_outdated())
    }

    /// Returns how long this host knew of a newer route table before the one that it has came.
    #[must_use]
    pub fn table_delay(&self) -> Time {
        self.newest_table.delay()
    }

    /// Number of strikes at which a fingerprint is quarantined.
    pub(crate) fn strike_limit(&self) -> u32 {
        self.config.serving.strikes
    }

    /// Whether control has published this incarnation of a target, or a later one.
    #[must_use]
    pub fn knows_incarnation(&self, target: &str, incarnation: u64) -> bool {
        let known = self.fleet_view.targets.get(target);
        known.is_some_and(|known| known.view.incarnation >= incarnation)
    }

    /// Returns the incarnation of a target that control last published.
    #[must_use]
    pub fn target_incarnation(&self, target: &str) -> Option<Incarnation> {
        let known = self.fleet_view.targets.get(target);
        known.map(|known| known.view.incarnation)
    }

    /// Returns the number of requests that wait or are in flight.
    #[must_use]
    pub fn load(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    /// Whether this host is shutting down and therefore no longer announced to callers.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.shutdown.is_leaving()
    }

    /// Returns the version of the settings in force on this host, 0 before there are any.
    #[must_use]
    pub fn settings_version(&self) -> cornelhitch_types::id::Version {
        self.catalogue.version
    }

    /// Returns the request and retry counters by service.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns what teams used and were refused at this host.
    #[must_use]
    pub fn team_counters(&self) -> &TeamCountersByName {
        self.allowances.counters()
    }

    /// Returns a snapshot of the state for operators.
    #[must_use]
    pub fn dump(&self) -> Dump {
        Dump::from(self)
    }

    /// Returns a demand row with no waiting or running requests.
    fn demand_row(&self, model: &ModelId, version: Option<Name>) -> demand::Demand {
        let arrivals = self.arrivals.get(model).copied().unwrap_or_default();
        demand::Demand {
            model: model.clone(),
            arrivals: if version.is_none() { arrivals.count } else { 0 },
            version,
            waiting: 0,
            running: 0,
            time_to_deadline: IDLE_SLACK,
            weight: 0,
            adapters: Vec::new(),
        }
    }

    /// Fires due timers, dispatches waiting requests and advances the shutdown. Runs after each event.
    fn process_due(&mut self) {
        self.fire_timers();
        self.send_due_probes();
        let retry = self.held_retry_at.is_some_and(|at| at <= self.now)
            || self
                .quarantine
                .next_expiry()
                .is_some_and(|at| at <= self.now);
        if retry {
            self.held_retry_at = None;
            self.quarantine.expire_reservations(self.now);
            self.dirty.extend(self.queue.keys());
        }
        if self.next_sweep <= self.now {
            self.next_sweep = self.now + SWEEP_INTERVAL;
            self.sweep_expired();
        }
        while let Some(key) = self.dirty.pop_first() {
            self.dispatch(&key);
        }
        self.release_idle_reservations();
        self.advance_allowances();
        self.report_to_peers();
        self.advance_shutdown();
    }

    /// Fires the request timers that are due and marks lanes whose requests have finished their
    /// backoff. A timer that is set to a time that has passed fires in the next step, so that each step
    /// ends.
    fn fire_timers(&mut self) {
        let due = self.timers.range(..=(self.now, CallId::MAX));
        let due: Vec<(Time, CallId)> = due.copied().collect();
        for timer in due {
            if self.timers.remove(&timer) {
                self.on_timer(timer.1);
            }
        }
        while let Some((time, id)) = self.backoffs.first().copied() {
            if time > self.now {
                break;
            }
            self.backoffs.remove(&(time, id));
            let key = self.calls.get(&id).map(|call| call.key.clone());
            self.dirty.extend(key);
        }
    }

    /// Drops expired records and refuses waiting requests that can no longer meet their deadline.
    fn sweep_expired(&mut self) {
        let retention = Time::from_secs(self.catalogue.fleet.refusing.quarantine_s);
        self.quarantine.expire(retention, self.now);
        self.suspects.expire(retention, self.now);
        self.refuse_suspects();
        self.orphaned_claims.expire(self.now);
        self.cancelled.expire(self.now);
        self.drain_rates.expire(self.now);
        self.promises.expire(self.now);
        self.refuse_outlasting();
        self.refuse_lapsed_trials();
        if self.config.uses(Guard::Early) {
            for key in self.queue.keys() {
                self.shed_late(&key);
            }
        }
    }

    /// Whether a test injected this fault.
    #[cfg(test)]
    pub(crate) fn has_fault(&self, fault: Fault) -> bool {
        self.config.fault == Some(fault)
    }

    /// Always `false`: faults are only injected in tests.
    #[cfg(not(test))]
    #[allow(clippy::unused_self)]
    pub(crate) fn has_fault(&self, _: Fault) -> bool {
        false
    }
}

/// Adds one request to its model's demand row.
fn count_call(row: &mut demand::Demand, call: &Call, now: Time) {
    match call.stage {
        Stage::Waiting => {
            row.waiting += 1;
            row.time_to_deadline = row.time_to_deadline.min(call.deadline.saturating_sub(now));
            row.weight = row.weight.max(call.weight);
            if let crate::event::RequestedResource::Model(reference) = &call.request.what
                && let Some(adapter) = &reference.adapter
                && !row.adapters.contains(adapter)
            {
                row.adapters.push(adapter.clone());
            }
        }
        Stage::Running(_) => row.running += 1,
        Stage::Claiming
        | Stage::AskingTrial
        | Stage::AskingOrigin
        | Stage::AwaitingAllowance
        | Stage::Recording => {}
    }
}

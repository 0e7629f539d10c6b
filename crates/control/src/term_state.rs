//! The soft state of the leader within one term, and the dispatch of its inputs.

use std::collections::BTreeMap;

use cornelhitch_planner::Planner;
use cornelhitch_types::id::{Incarnation, ModelId, Name, ReplicaId, TargetId, Term, Time};
use cornelhitch_types::target::{Heartbeat, Holding, RequestRate};
use cornelhitch_types::view::{self, Change};

use crate::command::{Command, Reply};
use crate::context::Context;
use crate::current_settings;
use crate::current_table;
use crate::demand::DemandTracker;
use crate::feed::Feed;
use crate::fleet;
use crate::hosting::Hosting;
use crate::input::Input;
use crate::leases::Leases;
use crate::mutation::{self, Mutation};
use crate::pending::Pending;
use crate::planner_input::PlannerInput;
use crate::replica_orders::{OrdersByReplica, ReplicaOrders};
use crate::replicas::{Answer, Replica};
use crate::state::State;
use crate::strikes::{Count, Strike, TargetIncarnation};
use crate::survivors::Survivors;
use crate::view_builder::ViewBuilder;
use crate::workers::{LeaveState, Worker, Workers};

/// An adapter load that was ordered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Adapter {
    /// The replica it is loaded onto.
    pub(crate) replica: ReplicaId,
    /// The name of the adapter.
    pub(crate) name: Name,
}

/// A copy of a model that was ordered into a faster storage tier.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Warming {
    /// The worker that holds the copy.
    pub(crate) target: TargetId,
    /// The model of the copy.
    pub(crate) model: ModelId,
}

/// The soft state of one term.
#[derive(Debug)]
pub(crate) struct TermState {
    pub(crate) term: Term,
    pub(crate) since: Time,
    pub(crate) workers: Workers,
    pub(crate) replica_orders: OrdersByReplica,
    pub(crate) demand: DemandTracker,
    pub(crate) leases: Leases,
    pub(crate) feed: Feed,
    pub(crate) planner_input: PlannerInput,
    pub(crate) pending: Pending,
    /// Adapter loads in flight, with the time of the order.
    pub(crate) adapters: BTreeMap<Adapter, Time>,
    /// Copies ordered into a faster storage tier, with the time of the order.
    pub(crate) warming: BTreeMap<Warming, Time>,
    /// Fingerprints with strikes, with the time at which they expire.
    pub(crate) quarantine: BTreeMap<u64, Time>,
    /// Prompt sections with crashes, with the time at which they expire.
    section_quarantine: BTreeMap<u64, Time>,
    /// Heartbeats of the targets that strikes name.
    pub(crate) survivors: Survivors,
    /// The state of workers that count their orders.
    pub(crate) hosting: Hosting,
    /// Heartbeats of incarnations that are not registered yet.
    pub(crate) pending_heartbeats: BTreeMap<TargetId, Heartbeat>,
    /// When the planner last ran.
    pub(crate) last_plan: Option<Time>,
    /// Whether a change requires a planner run before the regular interval ends.
    pub(crate) plan_requested: bool,
}

impl TermState {
    /// Creates the state at the start of a term: no target has sent a heartbeat in this term
    /// yet, and the load of any decided replica may already have been ordered.
    pub(crate) fn new(term: Term, ctx: &Context) -> Self {
        let mut term_state = Self {
            term,
            since: ctx.now,
            workers: Workers::default(),
            replica_orders: OrdersByReplica::default(),
            demand: DemandTracker::default(),
            leases: Leases::new(ctx),
            feed: Feed::new(term, ctx.limits.kept_changes),
            planner_input: PlannerInput::default(),
            pending: Pending::default(),
            adapters: BTreeMap::new(),
            warming: BTreeMap::new(),
            quarantine: BTreeMap::new(),
            section_quarantine: ctx.state.section_strikes().iter().collect(),
            survivors: Survivors::default(),
            hosting: Hosting::default(),
            pending_heartbeats: BTreeMap::new(),
            last_plan: None,
            plan_requested: true,
        };
        for known in ctx.state.fleet().iter() {
            let announcement = &known.announcement;
            let mut worker = Worker::new(announcement.incarnation, ctx.now);
            if known.leaving {
                worker.leave_state = LeaveState::Final;
            }
            let target = announcement.target.clone();
            if announcement.incarnation_is_start_time {
                worker.restore_held(&known.held);
            }
            if announcement.takes_numbered_orders() {
                let copy_status = |copy: &Holding| (copy.adapters.clone(), view::State::Ready);
                worker.observe(&target, copy_status, None, ctx.now);
                term_state
                    .hosting
                    .register(&target, announcement.incarnation, false);
            }
            term_state.planner_input.mark_worker(&target);
            term_state.workers.insert(target, worker);
        }
        for replica in ctx.state.replicas().iter() {
            let orders = ReplicaOrders::inherit(replica, ctx.now);
            term_state.replica_orders.insert(replica.id, orders);
            term_state
                .planner_input
                .mark_replica(replica.id, &replica.target);
        }
        for count in ctx.state.strikes().iter() {
            term_state.update_quarantine(count);
        }
        let lost = ctx.state.strikes().incarnations();
        for lost in lost.chain(ctx.state.section_strikes().incarnations()) {
            term_state.survivors.watch(lost.clone(), ctx.now);
        }
        term_state
    }

    /// Handles one input and publishes what is due.
    pub(crate) fn handle(&mut self, input: Input, planner: &mut dyn Planner, ctx: &mut Context) {
        match input {
            Input::Elected { .. } | Input::LeadershipLost => {}
            Input::Applied { command, reply } => self.on_applied(command, reply, ctx),
            Input::Announcement(announcement) => self.on_announcement(announcement, ctx),
            Input::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat, ctx),
            Input::Presence(presence) => self.on_presence(*presence, ctx),
            Input::Report(report) => {
                if self.demand.on_report(report, ctx.now) {
                    self.plan_requested = true;
                    self.hosting.request_plan();
                    self.run_planner(planner, ctx);
                    self.plan_hosted(ctx);
                }
            }
            Input::Renewal(host) => {
                let id = host.host;
                if self.leases.renew(host, ctx) {
                    self.feed.mark_host(id);
                }
                self.leases.announce(ctx);
            }
            Input::OrderDone { order, outcome } => self.on_order_done(&order, &outcome, ctx),
            Input::Inspected {
                target,
                incarnation,
                inspection,
            } => self.on_inspected(&target, incarnation, inspection.as_ref(), ctx),
            Input::ConnectionLost {
                target,
                incarnation,
            } => self.on_connection_lost(&target, incarnation, ctx),
            Input::LimitNamed {
                target,
                incarnation,
                limit,
            } => self.on_limit_named(target, incarnation, limit, ctx),
            Input::TargetPaused {
                target,
                incarnation,
                pause,
            } => self.on_target_paused(&target, incarnation, pause, ctx),
            Input::Subscribe {
                host,
                term,
                sequence,
            } => {
                let answer = self.feed.resync(host, term, sequence);
                ctx.out.extend(answer);
            }
            Input::HeartbeatsDelayed { targets } => self.on_heartbeats_delayed(&targets, ctx),
            Input::Tick => self.on_tick(planner, ctx),
        }
        self.flush(ctx);
    }

    /// Returns the inputs from which views are built.
    pub(crate) fn view_builder<'a>(&'a self, state: &'a State, now: Time) -> ViewBuilder<'a> {
        ViewBuilder {
            state,
            workers: &self.workers,
            replica_orders: &self.replica_orders,
            leases: &self.leases,
            hosting: &self.hosting,
            now,
        }
    }

    /// Publishes the changes that are due.
    fn flush(&mut self, ctx: &mut Context) {
        let view_builder = ViewBuilder {
            state: ctx.state,
            workers: &self.workers,
            replica_orders: &self.replica_orders,
            leases: &self.leases,
            hosting: &self.hosting,
            now: ctx.now,
        };
        if self.feed.is_published() {
            let view = self.feed.flush(&view_builder, ctx.timing.publish_interval);
            ctx.out.extend(view);
        } else if self.all_targets_reported(ctx) {
            ctx.out.push(self.feed.publish_full(&view_builder));
        }
        ctx.out.extend(self.feed.send_full_views(&view_builder));
    }

    /// Returns whether every target has sent a heartbeat in this term, or the time to wait for the
    /// heartbeats has passed.
    pub(crate) fn all_targets_reported(&self, ctx: &Context) -> bool {
        ctx.now >= self.since + ctx.timing.initial_heartbeat_wait
            || self.workers.values().all(|it| it.last_heartbeat.is_some())
    }

    /// Handles the reply to an applied command.
    fn on_applied(&mut self, command: Command, reply: Reply, ctx: &mut Context) {
        self.pending.applied(&command);
        match (command, reply) {
            (Command::Batch(commands), Reply::Batch(replies)) => {
                for (command, reply) in commands.into_iter().zip(replies) {
                    self.on_applied(command, reply, ctx);
                }
            }
            (_, Reply::Settings(current_settings::ApplyResult::Accepted { .. })) => {
                let settings = self.view_builder(ctx.state, ctx.now).settings();
                if let Some(change) = settings {
                    self.feed.push(change, true);
                }
                self.plan_requested = true;
            }
            (Command::Register(announcement), Reply::Target(answer)) => {
                self.on_registered(&announcement.target, answer, ctx);
            }
            (Command::Leave { target, .. }, Reply::Target(fleet::Answer::Done)) => {
                self.on_leave(&target, ctx);
            }
            (_, Reply::Document(current_table::Answer::Accepted)) => {
                if let Some(change) = self.view_builder(ctx.state, ctx.now).table() {
                    self.feed.push(change, true);
                }
                self.plan_requested = true;
            }
            (Command::Deregister { target, .. }, Reply::Target(fleet::Answer::Done)) => {
                self.publish_observed_gone(&target);
                self.hosting.forget(&target);
                self.workers.remove(&target);
                self.forget_released_replicas(&target, ctx);
            }
            (Command::RecordSilence { target, .. }, Reply::Target(_)) => {
                for replica in ctx.state.replicas().on_target(&target) {
                    self.planner_input.mark_replica(replica.id, &target);
                }
                self.planner_input.mark_worker(&target);
                self.feed.mark_target(&target, true);
                self.plan_requested = true;
            }
            (command, Reply::Strike(answer)) => {
                self.watch_survivors(&command, ctx);
                self.publish_strikes(answer.counts, ctx);
            }
            (command @ Command::Survived { .. }, Reply::Batch(replies)) => {
                for reply in replies {
                    self.on_applied(command.clone(), reply, ctx);
                }
            }
            (_, Reply::Sections(answer)) => {
                for section in answer.sections {
                    self.publish_section(section, ctx);
                }
            }
            (command, Reply::Replica(answer)) => self.on_replica_reply(&command, answer, ctx),
            _ => {}
        }
    }

    /// Publishes the limit of a target when it changes.
    fn on_limit_named(
        &mut self,
        target: TargetId,
        incarnation: Incarnation,
        limit: Option<RequestRate>,
        ctx: &Context,
    ) {
        let worker = self.workers.get_mut(&target);
        let Some(worker) = worker.filter(|worker| worker.incarnation == incarnation) else {
            return;
        };
        if worker.on_limit(limit, ctx.now) {
            let rate = worker.limit.map(|limit| limit.rate);
            self.feed
                .push(Change::TargetLimit(target, incarnation, rate), true);
        }
    }

    /// Handles the registration of a target.
    fn on_registered(&mut self, target: &TargetId, answer: fleet::Answer, ctx: &mut Context) {
        let Some(known) = ctx.state.fleet().get(target) else {
            return;
        };
        let incarnation = known.announcement.incarnation;
        let known_worker = self.workers.get(target);
        if known_worker.is_none_or(|worker| worker.incarnation != incarnation) {
            self.publish_observed_gone(target);
            let worker = Worker::new(incarnation, ctx.now);
            self.workers.insert(target.clone(), worker);
        }
        if known.announcement.takes_numbered_orders() && answer == fleet::Answer::Registered {
            self.hosting.register(target, incarnation, true);
        }
        match answer {
            fleet::Answer::Registered => {
                self.forget_removed_targets(ctx);
                self.forget_released_replicas(target, ctx);
            }
            fleet::Answer::Changed => self.feed.mark_target(target, true),
            _ => {}
        }
        let pending = self.pending_heartbeats.remove(target);
        if let Some(heartbeat) = pending.filter(|pending| pending.incarnation == incarnation) {
            self.on_heartbeat(heartbeat, ctx);
        }
    }

    /// Removes targets that were dismissed because a new incarnation took over their address.
    fn forget_removed_targets(&mut self, ctx: &Context) {
        let fleet = ctx.state.fleet();
        if self.workers.len() == fleet.len() {
            // Each registered target has a worker, so no other has one.
            return;
        }
        let removed = |target: &&TargetId| fleet.get(target).is_none();
        let removed: Vec<TargetId> = self.workers.keys().filter(removed).cloned().collect();
        for target in removed {
            self.publish_observed_gone(&target);
            self.hosting.forget(&target);
            self.workers.remove(&target);
            self.forget_released_replicas(&target, ctx);
        }
    }

    /// Publishes that the observed copies of a target are gone.
    fn publish_observed_gone(&mut self, target: &TargetId) {
        let worker = self.workers.get_mut(target);
        let observed = worker.map(|worker| std::mem::take(&mut worker.observed));
        for replica in observed.into_iter().flatten() {
            self.feed
                .push(Change::ReplicaRemoved(replica.replica), true);
        }
    }

    /// Removes the state of replicas that no longer hold a reservation.
    fn forget_released_replicas(&mut self, target: &TargetId, ctx: &Context) {
        let replicas = ctx.state.replicas();
        let released: Vec<ReplicaId> = self
            .replica_orders
            .keys()
            .copied()
            .filter(|id| replicas.get(*id).is_none())
            .collect();
        for id in released {
            self.forget_replica(id, target);
        }
        self.planner_input.mark_worker(target);
        self.feed.mark_target(target, true);
        self.plan_requested = true;
    }

    /// Removes the state of a replica.
    fn forget_replica(&mut self, id: ReplicaId, target: &TargetId) {
        self.replica_orders.remove(&id);
        self.adapters.retain(|adapter, _| adapter.replica != id);
        self.planner_input.mark_replica(id, target);
        self.feed.mark_replica(id, true);
    }

    /// Handles the reply to a command about a replica.
    fn on_replica_reply(&mut self, command: &Command, answer: Answer, ctx: &mut Context) {
        match (command, answer) {
            (Command::Decide(_), Answer::Decided(replica)) => self.on_decided(&replica, ctx),
            (Command::Decide(decide), Answer::Refused(_)) => {
                let until = ctx.now + ctx.timing.load_backoff;
                if let Some(worker) = self.workers.get_mut(&decide.target) {
                    worker.back_off(&decide.model, until, ctx.now);
                    let mut orphans = worker.orphans.iter_mut();
                    if let Some(it) = orphans.find(|it| it.model.model == decide.model) {
                        it.refused |= decide.adopted;
                    }
                }
                self.planner_input.mark_worker(&decide.target);
            }
            (Command::Ready { replica, .. }, Answer::Done) => self.mark_changed(*replica, ctx),
            (Command::Retire { replica }, Answer::Done) => {
                if let Some(orders) = self.replica_orders.get_mut(replica) {
                    orders.retired = orders.retired.or(Some(ctx.now));
                }
                self.mark_changed(*replica, ctx);
            }
            (Command::Release { unknown, .. }, Answer::Released(replica)) => {
                let unknown = *unknown && !mutation::is(Mutation::NoQuiet);
                if let Some(worker) = self.workers.get_mut(&replica.target).filter(|_| unknown) {
                    let until = ctx.now + ctx.timing.quiet_period;
                    worker.back_off(&replica.model, until, ctx.now);
                }
                self.forget_replica(replica.id, &replica.target);
                self.plan_requested = true;
            }
            _ => {}
        }
    }

    /// Starts to track a decided replica and orders its load.
    fn on_decided(&mut self, replica: &Replica, ctx: &mut Context) {
        if ctx.state.replicas().get(replica.id).is_none() {
            return;
        }
        let from = self.fastest_tier(replica);
        let mut orders = ReplicaOrders::new(from, ctx.now);
        // An entry proposed by an earlier leader may be committed early in this term, and that
        // leader may have ordered the load; only a replica decided in this term is certain not to
        // have been ordered.
        orders.inherited = replica.term != self.term;
        orders.may_arrive = orders.inherited;
        self.replica_orders.insert(replica.id, orders);
        self.mark_changed(replica.id, ctx);
        self.send_due_order(replica.id, ctx);
    }

    /// Marks a replica as changed for the view and the planner.
    fn mark_changed(&mut self, id: ReplicaId, ctx: &Context) {
        if let Some(replica) = ctx.state.replicas().get(id) {
            self.planner_input.mark_replica(id, &replica.target);
        }
        self.feed.mark_replica(id, true);
        self.plan_requested = true;
    }

    /// Starts or stops watching the heartbeats of the target that a command about strikes names.
    fn watch_survivors(&mut self, command: &Command, ctx: &Context) {
        let (Command::Strike(Strike {
            target,
            incarnation,
            ..
        })
        | Command::Survived {
            target,
            incarnation,
            ..
        }) = command
        else {
            return;
        };
        let target = TargetIncarnation {
            target: target.clone(),
            incarnation: *incarnation,
        };
        if matches!(command, Command::Survived { .. }) {
            self.survivors.forget(&target);
        }
        if ctx.state.strikes().names(&target) || ctx.state.section_strikes().names(&target) {
            self.survivors.watch(target, ctx.now);
        }
    }

    /// Proposes to take back the strikes for a target whose heartbeats go on.
    pub(crate) fn propose_survived(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        ctx: &mut Context,
    ) {
        let survivor = TargetIncarnation {
            target: target.clone(),
            incarnation,
        };
        if let Some(until) = self.survivors.on_heartbeat(&survivor, ctx.now) {
            let TargetIncarnation {
                target,
                incarnation,
            } = survivor;
            let command = Command::Survived {
                target,
                incarnation,
                until,
            };
            self.pending.propose(command, ctx);
        }
    }

    /// Publishes strike counts, and records until when the fingerprints have strikes.
    fn publish_strikes(&mut self, counts: Vec<Count>, ctx: &Context) {
        for count in counts {
            self.update_quarantine(count);
            let change = self.view_builder(ctx.state, ctx.now).strike(count);
            self.feed.push(change, true);
        }
    }

    /// Publishes the crashes of a section, and records until when it has some.
    fn publish_section(&mut self, section: u64, ctx: &Context) {
        match ctx.state.section_strikes().forgotten(section) {
            Some(until) if until > ctx.now => self.section_quarantine.insert(section, until),
            _ => self.section_quarantine.remove(&section),
        };
        self.feed.mark_section(section);
    }

    /// Records until when a fingerprint has strikes.
    fn update_quarantine(&mut self, count: Count) {
        if count.lost > 0 {
            self.quarantine.insert(count.fingerprint, count.forgotten);
        } else {
            self.quarantine.remove(&count.fingerprint);
        }
    }

    /// Runs everything that depends on time: timeouts, expiry and planning.
    fn on_tick(&mut self, planner: &mut dyn Planner, ctx: &mut Context) {
        self.pending.expire(ctx);
        self.check_silence(ctx);
        let (report, drain) = (ctx.timing.report_max_age, ctx.timing.drain_timeout);
        self.demand.expire(
            ctx.now.saturating_sub(report),
            ctx.now.saturating_sub(drain),
        );
        self.end_expired_hosts(ctx);
        self.publish_expired_strikes(ctx);
        let adapter = ctx.timing.adapter_timeout;
        self.adapters.retain(|_, since| ctx.now < *since + adapter);
        self.warming.retain(|_, since| ctx.now < *since + adapter);
        self.leases.announce(ctx);
        self.run_planner(planner, ctx);
        self.hosting.request_plan();
        self.plan_hosted(ctx);
    }

    /// Publishes entry hosts whose leases have expired, and ends the claims of incarnations that
    /// ended.
    fn end_expired_hosts(&mut self, ctx: &mut Context) {
        for id in self.leases.expired(ctx.now) {
            self.feed.mark_host(id);
        }
        self.leases.remove_silent(ctx);
        let hosts_known = ctx.now >= self.since + ctx.timing.host_timeout;
        for holder in ctx.state.claims().holders() {
            let ended = match self.leases.get(holder.host) {
                Some(lease) => lease.host.incarnation > holder.incarnation,
                None => hosts_known,
            };
            if ended {
                let command = Command::HostEnded {
                    host: holder.host,
                    incarnation: holder.incarnation,
                };
                self.pending.propose(command, ctx);
            }
        }
    }

    /// Publishes fingerprints whose strikes have expired.
    fn publish_expired_strikes(&mut self, ctx: &Context) {
        self.survivors.expire(ctx.now);
        let has_expired = |until: &Time| *until <= ctx.now;
        let expired: Vec<u64> = self
            .quarantine
            .iter()
            .filter(|(_, until)| has_expired(until))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in expired {
            self.quarantine.remove(&fingerprint);
            let count = ctx.state.strikes().count(fingerprint);
            let change = self.view_builder(ctx.state, ctx.now).strike(count);
            self.feed.push(change, false);
        }
        let expired = self.section_quarantine.iter();
        let expired = expired.filter(|(_, until)| has_expired(until));
        let expired: Vec<u64> = expired.map(|(section, _)| *section).collect();
        for section in expired {
            self.publish_section(section, ctx);
        }
    }
}

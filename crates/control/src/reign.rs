//! The soft state of the leader within one term, and the dispatch of its inputs.

use std::collections::BTreeMap;

use cornelhitch_planner::Planner;
use cornelhitch_types::id::{ModelId, Name, ReplicaId, TargetId, Term, Time};
use cornelhitch_types::target::{Heartbeat, Holding};
use cornelhitch_types::view::{self, Change};

use crate::catalogue;
use crate::command::{Command, Reply};
use crate::document;
use crate::feed::Feed;
use crate::fleet;
use crate::hosting::Hosting;
use crate::input::Input;
use crate::leases::Leases;
use crate::levels::Levels;
use crate::mutation::{self, Mutation};
use crate::pending::Pending;
use crate::replicas::{Answer, Replica};
use crate::scene::Scene;
use crate::sketch::Sketch;
use crate::state::State;
use crate::strikes::Count;
use crate::tracks::{Track, Tracks};
use crate::turn::Turn;
use crate::workers::{Leave, Worker, Workers};

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
pub(crate) struct Reign {
    pub(crate) term: Term,
    pub(crate) since: Time,
    pub(crate) workers: Workers,
    pub(crate) tracks: Tracks,
    pub(crate) levels: Levels,
    pub(crate) leases: Leases,
    pub(crate) feed: Feed,
    pub(crate) sketch: Sketch,
    pub(crate) pending: Pending,
    /// Adapter loads in flight, with the time of the order.
    pub(crate) adapters: BTreeMap<Adapter, Time>,
    /// Copies ordered into a faster storage tier, with the time of the order.
    pub(crate) warming: BTreeMap<Warming, Time>,
    /// Fingerprints with strikes, with the time at which they expire.
    pub(crate) quarantine: BTreeMap<u64, Time>,
    /// The state of workers that count their orders.
    pub(crate) hosting: Hosting,
    /// Heartbeats of incarnations that are not registered yet.
    pub(crate) early: BTreeMap<TargetId, Heartbeat>,
    /// When the planner last ran.
    pub(crate) planned: Option<Time>,
    /// Whether a change calls for a plan before the regular interval ends.
    pub(crate) eager: bool,
}

impl Reign {
    /// Creates the state at the start of a term: no target has been heard yet, and any decided
    /// replica may already have been ordered.
    pub(crate) fn new(term: Term, turn: &Turn) -> Self {
        let mut reign = Self {
            term,
            since: turn.now,
            workers: Workers::default(),
            tracks: Tracks::default(),
            levels: Levels::default(),
            leases: Leases::new(turn),
            feed: Feed::new(term),
            sketch: Sketch::default(),
            pending: Pending::default(),
            adapters: BTreeMap::new(),
            warming: BTreeMap::new(),
            quarantine: BTreeMap::new(),
            hosting: Hosting::default(),
            early: BTreeMap::new(),
            planned: None,
            eager: true,
        };
        for known in turn.state.fleet().iter() {
            let announcement = &known.announcement;
            let mut worker = Worker::new(announcement.incarnation, turn.now);
            if known.leaving {
                worker.leave = Leave::Told;
            }
            let target = announcement.target.clone();
            if announcement.dated {
                worker.recall(&known.held);
            }
            if announcement.is_hosted() {
                let shown = |holding: &Holding| (holding.adapters.clone(), view::State::Ready);
                worker.observe(&target, shown, None, turn.now);
                reign
                    .hosting
                    .register(&target, announcement.incarnation, false);
            }
            reign.sketch.worker(&target);
            reign.workers.insert(target, worker);
        }
        for replica in turn.state.replicas().iter() {
            let track = Track::inherit(replica, turn.now);
            reign.tracks.insert(replica.id, track);
            reign.sketch.replica(replica.id, &replica.target);
        }
        for count in turn.state.strikes().iter() {
            reign.refuse(count);
        }
        reign
    }

    /// Handles one input and publishes what is due.
    pub(crate) fn handle(&mut self, input: Input, planner: &mut dyn Planner, turn: &mut Turn) {
        match input {
            Input::Elected { .. } | Input::Deposed => {}
            Input::Applied { command, reply } => self.applied(command, reply, turn),
            Input::Announcement(announcement) => self.announcement(announcement, turn),
            Input::Heartbeat(heartbeat) => self.heartbeat(heartbeat, turn),
            Input::Presence(presence) => self.presence(*presence, turn),
            Input::Report(report) => {
                if self.levels.take(report, turn.now) {
                    self.eager = true;
                    self.hosting.hurry();
                    self.plan(planner, turn);
                    self.host(turn);
                }
            }
            Input::Renewal(host) => {
                let id = host.host;
                if self.leases.renew(host, turn) {
                    self.feed.host(id);
                }
                self.leases.announce(turn);
            }
            Input::OrderDone { order, outcome } => self.order_done(&order, &outcome, turn),
            Input::Inspected {
                target,
                incarnation,
                inspection,
            } => self.inspected(&target, incarnation, inspection.as_ref(), turn),
            Input::Lost {
                target,
                incarnation,
            } => self.lost(&target, incarnation, turn),
            Input::Subscribe {
                host,
                term,
                sequence,
            } => {
                let scene = self.scene(turn.state, turn.now);
                let answer = self.feed.resync(host, term, sequence, &scene);
                turn.out.extend(answer);
            }
            Input::Tick => self.tick(planner, turn),
        }
        self.flush(turn);
    }

    /// Returns the inputs from which views are built.
    pub(crate) fn scene<'a>(&'a self, state: &'a State, now: Time) -> Scene<'a> {
        Scene {
            state,
            workers: &self.workers,
            tracks: &self.tracks,
            leases: &self.leases,
            hosting: &self.hosting,
            now,
        }
    }

    /// Publishes the changes that are due.
    fn flush(&mut self, turn: &mut Turn) {
        let scene = Scene {
            state: turn.state,
            workers: &self.workers,
            tracks: &self.tracks,
            leases: &self.leases,
            hosting: &self.hosting,
            now: turn.now,
        };
        if self.feed.is_open() {
            let view = self.feed.flush(&scene, turn.timing.publication);
            turn.out.extend(view);
        } else if self.is_gathered(turn) {
            turn.out.push(self.feed.open(&scene));
        }
    }

    /// Returns whether every target was heard in this term, or the time to wait for them has
    /// passed.
    pub(crate) fn is_gathered(&self, turn: &Turn) -> bool {
        turn.now >= self.since + turn.timing.gather
            || self.workers.values().all(|it| it.beat.is_some())
    }

    /// Handles the reply of an applied command.
    fn applied(&mut self, command: Command, reply: Reply, turn: &mut Turn) {
        self.pending.applied(&command);
        match (command, reply) {
            (Command::Batch(commands), Reply::Batch(replies)) => {
                for (command, reply) in commands.into_iter().zip(replies) {
                    self.applied(command, reply, turn);
                }
            }
            (_, Reply::Settings(catalogue::Answer::Accepted { .. })) => {
                let settings = self.scene(turn.state, turn.now).settings();
                if let Some(change) = settings {
                    self.feed.push(change, true);
                }
                self.eager = true;
            }
            (Command::Register(announcement), Reply::Target(answer)) => {
                self.registered(&announcement.target, answer, turn);
            }
            (Command::Leave { target, .. }, Reply::Target(fleet::Answer::Done)) => {
                self.left(&target, turn);
            }
            (_, Reply::Document(document::Answer::Accepted)) => {
                if let Some(change) = self.scene(turn.state, turn.now).table() {
                    self.feed.push(change, true);
                }
                self.eager = true;
            }
            (Command::Dismiss { target, .. }, Reply::Target(fleet::Answer::Done)) => {
                self.forget_observed(&target);
                self.hosting.forget(&target);
                self.workers.remove(&target);
                self.forget_replicas(&target, turn);
            }
            (Command::Silence { target, .. }, Reply::Target(_)) => {
                for replica in turn.state.replicas().on(&target) {
                    self.sketch.replica(replica.id, &target);
                }
                self.sketch.worker(&target);
                self.feed.target(&target, true);
                self.eager = true;
            }
            (_, Reply::Strike(answer)) => {
                for count in answer.counts {
                    self.refuse(count);
                    let change = self.scene(turn.state, turn.now).strike(count);
                    self.feed.push(change, true);
                }
            }
            (command, Reply::Replica(answer)) => self.replica_changed(&command, answer, turn),
            _ => {}
        }
    }

    /// Handles the registration of a target.
    fn registered(&mut self, target: &TargetId, answer: fleet::Answer, turn: &mut Turn) {
        let Some(known) = turn.state.fleet().get(target) else {
            return;
        };
        let incarnation = known.announcement.incarnation;
        let stands = self.workers.get(target);
        if stands.is_none_or(|worker| worker.incarnation != incarnation) {
            self.forget_observed(target);
            let worker = Worker::new(incarnation, turn.now);
            self.workers.insert(target.clone(), worker);
        }
        if known.announcement.is_hosted() && answer == fleet::Answer::Registered {
            self.hosting.register(target, incarnation, true);
        }
        match answer {
            fleet::Answer::Registered => {
                self.forget_vacated(turn);
                self.forget_replicas(target, turn);
            }
            fleet::Answer::Changed => self.feed.target(target, true),
            _ => {}
        }
        let early = self.early.remove(target);
        if let Some(heartbeat) = early.filter(|early| early.incarnation == incarnation) {
            self.heartbeat(heartbeat, turn);
        }
    }

    /// Removes targets that were dismissed because a new incarnation took over their address.
    fn forget_vacated(&mut self, turn: &Turn) {
        let fleet = turn.state.fleet();
        let gone = |target: &&TargetId| fleet.get(target).is_none();
        let gone: Vec<TargetId> = self.workers.keys().filter(gone).cloned().collect();
        for target in gone {
            self.forget_observed(&target);
            self.hosting.forget(&target);
            self.workers.remove(&target);
            self.forget_replicas(&target, turn);
        }
    }

    /// Publishes that the observed copies of a target are gone.
    fn forget_observed(&mut self, target: &TargetId) {
        let worker = self.workers.get_mut(target);
        let observed = worker.map(|worker| std::mem::take(&mut worker.observed));
        for replica in observed.into_iter().flatten() {
            self.feed.push(Change::ReplicaGone(replica.replica), true);
        }
    }

    /// Removes the state of replicas that no longer hold a reservation.
    fn forget_replicas(&mut self, target: &TargetId, turn: &Turn) {
        let standing = turn.state.replicas();
        let gone: Vec<ReplicaId> = self
            .tracks
            .keys()
            .copied()
            .filter(|id| standing.get(*id).is_none())
            .collect();
        for id in gone {
            self.forget(id, target);
        }
        self.sketch.worker(target);
        self.feed.target(target, true);
        self.eager = true;
    }

    /// Removes the state of a replica.
    fn forget(&mut self, id: ReplicaId, target: &TargetId) {
        self.tracks.remove(&id);
        self.adapters.retain(|adapter, _| adapter.replica != id);
        self.sketch.replica(id, target);
        self.feed.replica(id, true);
    }

    /// Handles the reply of a command about a replica.
    fn replica_changed(&mut self, command: &Command, answer: Answer, turn: &mut Turn) {
        match (command, answer) {
            (Command::Decide(_), Answer::Decided(replica)) => self.decided(&replica, turn),
            (Command::Decide(decide), Answer::Refused(_)) => {
                let until = turn.now + turn.timing.backoff;
                if let Some(worker) = self.workers.get_mut(&decide.target) {
                    worker.back_off(&decide.model, until, turn.now);
                    let mut strangers = worker.strangers.iter_mut();
                    if let Some(it) = strangers.find(|it| it.model.model == decide.model) {
                        it.refused |= decide.adopted;
                    }
                }
                self.sketch.worker(&decide.target);
            }
            (Command::Ready { replica, .. }, Answer::Done) => self.touch(*replica, turn),
            (Command::Retire { replica }, Answer::Done) => {
                if let Some(track) = self.tracks.get_mut(replica) {
                    track.retired = track.retired.or(Some(turn.now));
                }
                self.touch(*replica, turn);
            }
            (Command::Release { unknown, .. }, Answer::Released(replica)) => {
                let unknown = *unknown && !mutation::is(Mutation::NoQuiet);
                if let Some(worker) = self.workers.get_mut(&replica.target).filter(|_| unknown) {
                    let until = turn.now + turn.timing.quiet;
                    worker.back_off(&replica.model, until, turn.now);
                }
                self.forget(replica.id, &replica.target);
                self.eager = true;
            }
            _ => {}
        }
    }

    /// Starts to track a decided replica and orders its load.
    fn decided(&mut self, replica: &Replica, turn: &mut Turn) {
        if turn.state.replicas().get(replica.id).is_none() {
            return;
        }
        let from = self.nearest(replica);
        let mut track = Track::new(from, turn.now);
        // An entry proposed by an earlier leader may be committed early in this term, and that
        // leader may have ordered the load; only a replica decided in this term is certain not to
        // have been ordered.
        track.inherited = replica.term != self.term;
        track.doubtful = track.inherited;
        self.tracks.insert(replica.id, track);
        self.touch(replica.id, turn);
        self.drive(replica.id, turn);
    }

    /// Marks a replica as changed for the view and the planner.
    fn touch(&mut self, id: ReplicaId, turn: &Turn) {
        if let Some(replica) = turn.state.replicas().get(id) {
            self.sketch.replica(id, &replica.target);
        }
        self.feed.replica(id, true);
        self.eager = true;
    }

    /// Records until when a fingerprint has strikes.
    fn refuse(&mut self, count: Count) {
        if count.lost > 0 {
            self.quarantine.insert(count.fingerprint, count.forgotten);
        } else {
            self.quarantine.remove(&count.fingerprint);
        }
    }

    /// Handles the passage of time: timeouts, expiry and planning.
    fn tick(&mut self, planner: &mut dyn Planner, turn: &mut Turn) {
        self.pending.expire(turn);
        self.watch(turn);
        let (report, drain) = (turn.timing.report, turn.timing.drain);
        self.levels.expire(
            turn.now.saturating_sub(report),
            turn.now.saturating_sub(drain),
        );
        self.end_hosts(turn);
        self.end_quarantine(turn);
        let adapter = turn.timing.adapter;
        self.adapters.retain(|_, since| turn.now < *since + adapter);
        self.warming.retain(|_, since| turn.now < *since + adapter);
        self.leases.announce(turn);
        self.plan(planner, turn);
        self.hosting.hurry();
        self.host(turn);
    }

    /// Publishes entry hosts whose leases ran out, and ends the claims of incarnations that ended.
    fn end_hosts(&mut self, turn: &mut Turn) {
        for id in self.leases.lapsed(turn.now) {
            self.feed.host(id);
        }
        self.leases.expire(turn);
        let heard = turn.now >= self.since + turn.timing.host;
        for holder in turn.state.claims().holders() {
            let ended = match self.leases.get(holder.host) {
                Some(lease) => lease.host.incarnation > holder.incarnation,
                None => heard,
            };
            if ended {
                let command = Command::HostEnded {
                    host: holder.host,
                    incarnation: holder.incarnation,
                };
                self.pending.propose(command, turn);
            }
        }
    }

    /// Publishes fingerprints whose strikes have expired.
    fn end_quarantine(&mut self, turn: &Turn) {
        let over = |until: &Time| *until <= turn.now;
        let ended: Vec<u64> = self
            .quarantine
            .iter()
            .filter(|(_, until)| over(until))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in ended {
            self.quarantine.remove(&fingerprint);
            let count = turn.state.strikes().count(fingerprint);
            let change = self.scene(turn.state, turn.now).strike(count);
            self.feed.push(change, false);
        }
    }
}

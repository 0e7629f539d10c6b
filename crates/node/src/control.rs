//! The task that owns the replicated log, the replicated state, and what leads from it.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::command::{Command, Entry, Reply};
use cornelhitch_control::document::Publish;
use cornelhitch_control::input::Input;
use cornelhitch_control::leader::Leader;
use cornelhitch_control::output::{Audience, Output};
use cornelhitch_control::state::State;
use cornelhitch_quorum::action::{self, Action, Reason};
use cornelhitch_quorum::core::Core;
use cornelhitch_quorum::disk::{Done, Writer};
use cornelhitch_quorum::event::{Change, Event};
use cornelhitch_quorum::id::RequestId;
use cornelhitch_quorum::log::Snapshot;
use cornelhitch_quorum::status::Role;
use cornelhitch_quorum::steward::{Joiners, Steward};
use cornelhitch_settings::process;
use cornelhitch_target::client::Client;
use cornelhitch_target::inbound;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Term, Time, Version};
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::Inspection;
use cornelhitch_wire::hello::Peer;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::beacon::Beacon;
use crate::message::{Datagram, Downward, Incoming, Message, Said};
use crate::metrics::{Count, Metrics};
use crate::orders;
use crate::registry::{Answer, NotLeader};
use crate::reservation::Reservations;
use crate::stamp::Stamped;
use crate::switch::Switch;

/// Time between two ticks of the leader.
const TICK: Duration = Duration::from_millis(50);

/// How long a worker may take to tell of its orders.
const INSPECTION: Duration = Duration::from_millis(1_500);

/// Time between two looks at the members.
const STEWARD: Duration = Duration::from_millis(500);

/// What the control task is told besides messages.
#[derive(Debug)]
pub enum Told {
    /// The disk has written, or not.
    Written(Done),
    /// An order has an outcome.
    Ordered(Order, Outcome),
    /// A worker was asked about its orders.
    Inspected {
        /// The worker.
        target: TargetId,
        /// The life that was asked.
        incarnation: Incarnation,
        /// Its answer, if it gave one.
        inspection: Option<Inspection>,
    },
    /// An operator asks for the state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// A target told something.
    Target(Box<inbound::Message>, Answer<()>),
    /// An operator hands in a table of routes.
    Publish(Publish, Answer<()>),
    /// An operator asks for the table of routes in force.
    Read(Answer<Option<Bytes>>),
}

/// What the control task is started with.
pub struct Setup {
    /// This host's number.
    pub me: HostId,
    /// The voters of the settings.
    pub voters: HashSet<HostId>,
    /// The core of the replicated log.
    pub core: Core,
    /// The disk.
    pub writer: Writer,
    /// What leads.
    pub leader: Leader,
    /// What peers say.
    pub incoming: mpsc::UnboundedReceiver<Incoming>,
    /// What other tasks say.
    pub told: mpsc::UnboundedReceiver<Told>,
    /// The other end of `told`.
    pub tell: mpsc::UnboundedSender<Told>,
    /// Links.
    pub switch: Switch,
    /// Datagrams.
    pub beacon: Beacon,
    /// The way to targets.
    pub client: Arc<dyn Client>,
    /// Counters.
    pub metrics: Metrics,
    /// Settings that a new cluster starts from.
    pub first: Option<Bytes>,
    /// Where this host takes what targets and operators tell.
    pub registry: Option<SocketAddr>,
    /// Who decides on the members, where hosts come and go without an operator.
    pub steward: Option<Steward>,
    /// Ends the task.
    pub stop: CancellationToken,
    /// The time that the log's core counts from.
    pub epoch: Instant,
    /// The time of `epoch` since the Unix epoch, from which the leader counts.
    pub started: Time,
}

/// The lease of the leader as the gate of an order sees it.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// The term.
    pub term: Term,
    /// Until when no other host leads.
    pub until: Instant,
}

/// Who waits for a proposal.
#[derive(Debug)]
enum Waiting {
    /// A host's call.
    Host {
        /// The host.
        host: HostId,
        /// Its number for the call.
        call: u64,
    },
    /// The leader here; nothing need be said.
    Leader,
    /// The first read of a new leader.
    Election(Term),
    /// A member that is to vote once it has caught up.
    Learner(HostId),
    /// A host's question that changes the members.
    Members {
        /// The host.
        host: HostId,
        /// Its number for the call.
        call: u64,
    },
    /// A target or an operator here, who is told once it is committed.
    Local(Answer<()>),
    /// An operator here who reads the table of routes.
    Read(Answer<Option<Bytes>>),
}

/// The control host, owned by its task.
pub(crate) struct Control {
    pub(crate) setup: Setup,
    pub(crate) state: State,
    pub(crate) role: Role,
    pub(crate) term: Term,
    pub(crate) following: Option<HostId>,
    /// Whether the leader here has read all entries of earlier terms.
    pub(crate) leading: bool,
    /// Hosts that follow the view.
    pub(crate) subscribers: HashSet<HostId>,
    /// Hosts that asked for the leader while none was known here.
    pub(crate) unled: HashSet<HostId>,
    /// The voters that subscribers were told of.
    voters: Vec<process::Peer>,
    /// Where the renewals of hosts come from.
    pub(crate) renewals: HashMap<HostId, Renewal>,
    pub(crate) reservations: Reservations,
    pub(crate) in_force: Version,
    waiting: HashMap<RequestId, Waiting>,
    next: RequestId,
    lease: watch::Sender<Option<Lease>>,
    /// The newest entry that the state holds.
    applied: u64,
    /// Hosts that ask to join.
    joiners: Joiners,
    /// When the members were last looked at.
    stewarded: Instant,
}

/// The newest renewal of a host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Renewal {
    pub peer: Peer,
    pub address: SocketAddr,
    pub sequence: u64,
}

/// Runs a control host until the process stops.
pub async fn run(setup: Setup) {
    let (lease, _) = watch::channel(None);
    let control = Control {
        state: State::default(),
        role: Role::Follower,
        term: 0,
        following: None,
        leading: false,
        subscribers: HashSet::new(),
        unled: HashSet::new(),
        voters: Vec::new(),
        renewals: HashMap::new(),
        reservations: Reservations::default(),
        in_force: 0,
        waiting: HashMap::new(),
        next: 1,
        lease,
        applied: 0,
        joiners: Joiners::default(),
        stewarded: Instant::now(),
        setup,
    };
    control.serve().await;
}

impl Control {
    /// Serves until the process stops.
    async fn serve(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.event(Event::Tick);
        loop {
            let wake = self.setup.epoch + self.setup.core.next_wake();
            tokio::select! {
                () = self.setup.stop.cancelled() => return,
                incoming = self.setup.incoming.recv() => match incoming {
                    Some(incoming) => self.incoming(incoming),
                    None => return,
                },
                told = self.setup.told.recv() => match told {
                    Some(told) => self.told(told),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => self.event(Event::Tick),
                _ = ticks.tick() => self.tick(),
            }
            self.renew_lease();
        }
    }

    /// The time that the log's core counts.
    pub(crate) fn now(&self) -> Time {
        self.setup.epoch.elapsed()
    }

    /// The time that the leader counts: since the Unix epoch, never going back.
    pub(crate) fn unix(&self) -> Time {
        self.setup.started + self.now()
    }

    /// Does what is due in the leader.
    fn tick(&mut self) {
        if self.leading {
            self.lead(Input::Tick);
            self.tell_changed_voters();
            self.steward();
        }
    }

    /// Changes the members where that is due.
    fn steward(&mut self) {
        let Some(steward) = self.setup.steward else {
            return;
        };
        if self.stewarded.elapsed() < STEWARD {
            return;
        }
        self.stewarded = Instant::now();
        let status = self.setup.core.status();
        let joined = |id: &HostId, life: &Incarnation| {
            let member = status.members.get(id);
            member.is_some_and(|member| member.incarnation == *life)
        };
        self.joiners.retain(|id, life| !joined(id, life));
        if let Some(change) = steward.next(&status, &self.joiners) {
            tracing::info!(?change, silent = ?status.silent, "the members change");
            let id = self.wait(Waiting::Leader);
            self.event(Event::Change { id, change });
        }
    }

    /// Tells all subscribers who votes, when that or an address has changed.
    fn tell_changed_voters(&mut self) {
        let voters = self.reached_voters();
        if voters != self.voters {
            self.voters = voters;
            for host in &self.subscribers {
                self.tell_voters(*host);
            }
        }
    }

    /// Tells a host who votes, so that it knows whom to ask when this host is gone.
    pub(crate) fn tell_voters(&self, host: HostId) {
        let downward = Downward::Voters {
            term: self.term,
            voters: self.reached_voters(),
            registry: self.setup.registry,
        };
        self.setup.switch.send(host, Message::Downward(downward));
    }

    /// The voters whose addresses are known.
    fn reached_voters(&self) -> Vec<process::Peer> {
        let members = self.setup.core.status().members;
        let voters = members.voters();
        voters.filter_map(|host| self.reached(host)).collect()
    }

    /// A host and its address, if that is known.
    fn reached(&self, host: HostId) -> Option<process::Peer> {
        let address = self.setup.switch.address(host)?;
        Some(process::Peer { host, address })
    }

    /// Shows the lease to the gates of orders.
    fn renew_lease(&mut self) {
        let lease = self.setup.core.lease(self.now());
        self.lease.send_replace(lease.map(|lease| Lease {
            term: lease.term,
            until: self.setup.epoch + lease.until,
        }));
    }

    /// Takes what a peer says.
    fn incoming(&mut self, incoming: Incoming) {
        let from = incoming.from;
        match incoming.said {
            Said::Message(Message::Quorum(message)) => self.event(Event::Receive {
                from: from.host,
                message,
            }),
            Said::Message(Message::Upward(upward)) => self.upward(from, upward),
            Said::Datagram(Datagram::Renew { sequence, host, .. }, address) => {
                let renewal = Renewal {
                    peer: from,
                    address,
                    sequence,
                };
                self.renewal(renewal, host);
            }
            Said::Message(Message::Downward(_)) | Said::Datagram(..) | Said::Linked => {}
        }
    }

    /// Takes what another task says.
    fn told(&mut self, told: Told) {
        match told {
            Told::Written(done) => self.event(done.into()),
            Told::Ordered(order, outcome) => self.lead(Input::OrderDone { order, outcome }),
            Told::Inspected {
                target,
                incarnation,
                inspection,
            } => self.lead(Input::Inspected {
                target,
                incarnation,
                inspection,
            }),
            Told::Dump(answer) => {
                let _ = answer.send(self.dump());
            }
            Told::Target(message, answer) => self.target(*message, answer),
            Told::Publish(publish, answer) => {
                let version = publish.table.version;
                tracing::info!(version, "a table of routes was handed in");
                self.commit(&Command::Publish(publish), answer);
            }
            Told::Read(answer) => self.read(answer),
        }
    }

    /// Takes what a target told here.
    fn target(&mut self, message: inbound::Message, answer: Answer<()>) {
        if !self.leading {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        match message {
            inbound::Message::Announcement(announcement) => {
                self.lead(Input::Announcement(announcement));
            }
            inbound::Message::Heartbeat(heartbeat) => self.lead(Input::Heartbeat(heartbeat)),
            inbound::Message::Presence(presence) => {
                let leaving = presence.heartbeat.leaving;
                let (target, life) = (
                    presence.heartbeat.target.clone(),
                    presence.heartbeat.incarnation,
                );
                self.lead(Input::Presence(presence));
                if leaving {
                    return self.leave(target, Some(life), answer);
                }
            }
            inbound::Message::Leaving(leaving) => {
                return self.leave(leaving.target, Some(leaving.incarnation), answer);
            }
            inbound::Message::Ended(ended) => {
                return self.leave(ended.target, ended.incarnation, answer);
            }
        }
        let _ = answer.send(Ok(()));
    }

    /// Commits that a target leaves, and says so once that is sure.
    fn leave(&mut self, target: TargetId, life: Option<Incarnation>, answer: Answer<()>) {
        let known = self.state.fleet().get(&target);
        let current = known.map(|known| known.announcement.incarnation);
        let noted = known.is_some_and(|known| known.leaving);
        let Some(incarnation) = current.filter(|current| life.is_none_or(|it| it == *current))
        else {
            // Nothing is sent to a life that is not known.
            let _ = answer.send(Ok(()));
            return;
        };
        if noted {
            let _ = answer.send(Ok(()));
            return;
        }
        tracing::info!(target = &*target, incarnation, "a target leaves");
        let command = Command::Leave {
            target,
            incarnation,
        };
        self.commit(&command, answer);
    }

    /// Commits a command for somebody here.
    fn commit(&mut self, command: &Command, answer: Answer<()>) {
        if !self.leading {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        let id = self.wait(Waiting::Local(answer));
        let time = self.unix();
        let command = command.encode();
        let payload = Stamped { time, command }.encode();
        self.event(Event::Propose { id, payload });
    }

    /// Reads the table of routes once a quorum has confirmed that this host leads.
    fn read(&mut self, answer: Answer<Option<Bytes>>) {
        if !self.leading {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        let id = self.wait(Waiting::Read(answer));
        self.event(Event::Barrier { id });
    }

    /// Gives the log's core an event and does what it says.
    pub(crate) fn event(&mut self, event: Event) {
        let now = self.now();
        for action in self.setup.core.handle(event, now) {
            self.act(action);
        }
    }

    /// Does one thing that the log's core said.
    fn act(&mut self, action: Action) {
        match action {
            Action::Persist(batch) => self.setup.writer.submit(batch),
            Action::Send { to, message } => self.setup.switch.send(to, Message::Quorum(message)),
            Action::Apply(entry) => self.apply(&entry),
            Action::Restore(snapshot) => self.restore(&snapshot),
            Action::NeedSnapshot => {
                let data = self.state.snapshot();
                let index = self.applied;
                self.event(Event::Snapshot { index, data });
            }
            Action::Rejected { id, reason, leader } => self.rejected(id, reason, leader),
            Action::BarrierDone { id } => self.barrier_done(id),
            Action::Changed { id } => self.changed(id),
            Action::Joining(peer) => self.joining(peer),
            Action::Role { role, term, leader } => self.role(role, term, leader),
        }
    }

    /// Applies a committed entry.
    fn apply(&mut self, entry: &action::Entry) {
        self.setup.metrics.one(Count::Applied);
        self.applied = entry.index;
        let waiting = entry.id.and_then(|id| self.waiting.remove(&id));
        let stamped = Stamped::decode(&entry.payload);
        let command = stamped
            .as_ref()
            .ok()
            .and_then(|stamped| Command::decode(&stamped.command).ok());
        let (Ok(stamped), Some(command)) = (stamped, command) else {
            tracing::error!(index = entry.index, "an entry holds no command");
            return;
        };
        let place = Entry {
            index: entry.index,
            term: entry.term,
            time: stamped.time,
        };
        let reply = self.state.apply(&place, command.clone());
        match waiting {
            Some(Waiting::Host { host, call }) => self.committed(host, call, &reply),
            Some(Waiting::Local(answer)) => {
                let _ = answer.send(Ok(()));
            }
            _ => {}
        }
        if self.leading {
            self.lead(Input::Applied { command, reply });
        }
    }

    /// Answers a host's call.
    fn committed(&self, host: HostId, call: u64, reply: &Reply) {
        let reply = postcard::to_stdvec(reply).unwrap_or_default().into();
        let downward = Downward::Committed { call, reply };
        self.setup.switch.send(host, Message::Downward(downward));
    }

    /// Takes a snapshot for the state.
    fn restore(&mut self, snapshot: &Snapshot) {
        match State::restore(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.applied = snapshot.index;
            }
            Err(error) => tracing::error!(%error, "a snapshot cannot be read"),
        }
    }

    /// Proposes a command.
    pub(crate) fn propose(&mut self, command: Bytes, host: Option<(HostId, u64)>) {
        let waiting = match host {
            Some((host, call)) => Waiting::Host { host, call },
            None => Waiting::Leader,
        };
        let id = self.wait(waiting);
        let time = self.unix();
        let payload = Stamped { time, command }.encode();
        self.event(Event::Propose { id, payload });
    }

    /// Starts a change of the members.
    pub(crate) fn change(&mut self, change: Change, host: HostId, call: u64) {
        let id = self.wait(Waiting::Members { host, call });
        self.event(Event::Change { id, change });
    }

    /// The number under which the answer to a request is known.
    fn wait(&mut self, waiting: Waiting) -> RequestId {
        let id = self.next;
        self.next += 1;
        self.waiting.insert(id, waiting);
        id
    }

    /// Takes the end of a request without success.
    fn rejected(&mut self, id: RequestId, reason: Reason, leader: Option<HostId>) {
        let Some(waiting) = self.waiting.remove(&id) else {
            return;
        };
        tracing::debug!(%reason, ?waiting, "not done");
        match waiting {
            // The host asks again, here or at the leader; a retry is idempotent.
            Waiting::Host { host, call } => {
                if matches!(reason, Reason::NotLeader | Reason::Superseded) {
                    self.not_leader(host, Some(call), leader);
                }
            }
            Waiting::Members { host, call } => {
                let json = format!("{{\"done\":false,\"reason\":\"{reason}\"}}");
                self.answer(host, call, json.into());
            }
            // Those who asked here hear that it is not known.
            Waiting::Local(_)
            | Waiting::Read(_)
            | Waiting::Leader
            | Waiting::Election(_)
            | Waiting::Learner(_) => {}
        }
    }

    /// Takes the end of a read.
    fn barrier_done(&mut self, id: RequestId) {
        match self.waiting.remove(&id) {
            Some(Waiting::Election(term)) if term == self.term && self.role == Role::Leader => {
                tracing::info!(term, "this host leads");
                self.leading = true;
                self.lead(Input::Elected { term });
                self.begin();
                self.name_leader(self.setup.me);
            }
            Some(Waiting::Read(answer)) => {
                let text = self.state.document().text().cloned();
                let _ = answer.send(Ok(text));
            }
            _ => {}
        }
    }

    /// Brings the first settings into a cluster that has none.
    fn begin(&mut self) {
        if self.state.catalogue().version() == 0
            && let Some(command) = self.setup.first.clone()
        {
            self.propose(command, None);
        }
    }

    /// Takes the end of a change of the members.
    fn changed(&mut self, id: RequestId) {
        match self.waiting.remove(&id) {
            Some(Waiting::Members { host, call }) => {
                self.answer(host, call, Bytes::from_static(b"{\"done\":true}"));
            }
            Some(Waiting::Learner(member)) => {
                let id = self.wait(Waiting::Leader);
                let change = Change::Promote(member);
                self.event(Event::Change { id, change });
            }
            _ => {}
        }
    }

    /// Admits a voter of the settings that has no group yet.
    ///
    /// A host that is none takes a vote only where an operator names it to replace another.
    /// One that is known under another life of its disk is not admitted: an
    /// operator has to replace it, since its votes are lost.
    fn joining(&mut self, peer: cornelhitch_quorum::id::Peer) {
        if self.setup.steward.is_some() {
            self.joiners.insert(peer.id, peer.incarnation);
            return;
        }
        if !self.setup.voters.contains(&peer.id) {
            tracing::warn!(host = peer.id, "a host that is no voter asks to join");
            return;
        }
        let id = self.wait(Waiting::Learner(peer.id));
        let change = Change::Add(peer);
        self.event(Event::Change { id, change });
    }

    /// Takes a change of the role.
    fn role(&mut self, role: Role, term: Term, leader: Option<HostId>) {
        tracing::info!(%role, term, ?leader, "role");
        let led = self.leading;
        self.role = role;
        self.term = term;
        self.following = leader;
        self.leading = false;
        if led {
            self.lead(Input::Deposed);
            self.reservations = Reservations::default();
            self.subscribers.clear();
        }
        if role == Role::Leader {
            let id = self.wait(Waiting::Election(term));
            self.event(Event::Barrier { id });
        } else if let Some(leader) = leader {
            self.name_leader(leader);
        }
    }

    /// Tells the hosts that asked before there was a leader.
    fn name_leader(&mut self, leader: HostId) {
        for host in std::mem::take(&mut self.unled) {
            self.not_leader(host, None, Some(leader));
        }
    }

    /// Gives the leader an input and does what it says.
    pub(crate) fn lead(&mut self, input: Input) {
        let now = self.unix();
        for output in self.setup.leader.handle(input, &self.state, now) {
            self.output(output);
        }
    }

    /// Does one thing that the leader said.
    fn output(&mut self, output: Output) {
        match output {
            Output::Propose(command) => self.propose(command.encode(), None),
            Output::Order(order) => self.order(order),
            Output::Publish { to, view } => {
                let message = Message::Downward(Downward::View(view));
                match to {
                    Audience::All => {
                        let hosts = self.subscribers.iter().copied();
                        self.setup.switch.send_all(hosts, &message);
                    }
                    Audience::Host(host) => self.setup.switch.send(host, message),
                }
            }
            Output::Lease {
                host,
                incarnation,
                length,
                version,
            } => self.grant(host, incarnation, length, version),
            Output::Decided(step) => tracing::info!(
                target = &*step.target, action = ?step.action, reason = %step.reason,
                waiting = step.wish.waiting, running = step.wish.running,
                rate = step.wish.rate, copies = step.copies, "order decided"
            ),
            Output::Inspect {
                target,
                incarnation,
            } => self.inspect(target, incarnation),
            Output::InForce { version } => self.in_force = version,
            Output::Ask { target } => tracing::debug!(target = &*target, "not announced"),
        }
    }

    /// Sends an order in a task of its own.
    fn order(&self, order: Order) {
        let Some(address) = self.address(&order.target, order.incarnation) else {
            let _ = self.setup.tell.send(Told::Ordered(order, Outcome::Unsent));
            return;
        };
        self.setup.metrics.one(Count::Orders);
        let sending = orders::Sending {
            order,
            address,
            lease: self.lease.subscribe(),
            client: self.setup.client.clone(),
            tell: self.setup.tell.clone(),
            metrics: self.setup.metrics.clone(),
        };
        tokio::spawn(sending.run());
    }

    /// Asks a worker about its orders, in a task of its own.
    fn inspect(&self, target: TargetId, incarnation: Incarnation) {
        let known = self.state.fleet().alive(&target, incarnation);
        let Some(known) = known.map(|known| &known.announcement) else {
            return;
        };
        let address = known.address;
        let service = known.services.first().cloned().unwrap_or_default();
        let client = self.setup.client.clone();
        let tell = self.setup.tell.clone();
        tokio::spawn(async move {
            let asked = client.inspect(address, &target, &service);
            let inspection = tokio::time::timeout(INSPECTION, asked).await;
            let inspection = inspection.ok().and_then(Result::ok);
            tracing::info!(target = &*target, ?inspection, "asked about its orders");
            let _ = tell.send(Told::Inspected {
                target,
                incarnation,
                inspection,
            });
        });
    }

    /// Where a life of a target takes orders.
    fn address(&self, target: &TargetId, incarnation: Incarnation) -> Option<SocketAddr> {
        let target = self.state.fleet().alive(target, incarnation)?;
        Some(target.announcement.address)
    }

    /// Answers a renewal, while this host is sure to lead.
    fn grant(&self, host: HostId, incarnation: Incarnation, length: Duration, version: Version) {
        let Some(renewal) = self.renewals.get(&host) else {
            return;
        };
        let sure = self.setup.core.lease(self.now()).is_some();
        if !sure || renewal.peer.incarnation != incarnation {
            return;
        }
        let lease = Datagram::Lease {
            sequence: renewal.sequence,
            length,
            version,
            term: self.term,
            view: self.setup.leader.sequence(),
        };
        self.setup.beacon.send(renewal.peer, renewal.address, lease);
    }

    /// Answers a question.
    pub(crate) fn answer(&self, host: HostId, call: u64, json: Bytes) {
        let downward = Downward::Answer { call, json };
        self.setup.switch.send(host, Message::Downward(downward));
    }

    /// Sends a host to the leader.
    pub(crate) fn not_leader(&self, host: HostId, call: Option<u64>, leader: Option<HostId>) {
        let leader = leader.and_then(|leader| self.reached(leader));
        let downward = Downward::NotLeader { leader, call };
        self.setup.switch.send(host, Message::Downward(downward));
    }
}

//! The task that owns the replicated log, the replicated state and, while this host leads, the
//! leader's decisions.

mod group_log;
mod heartbeats;
mod leading;
mod members;
pub(crate) mod origins;
mod quotas;
mod requests;
mod strike_log;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::command::{Command, Entry, Reply};
use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_control::input::Input;
use cornelhitch_control::leader::Leader;
use cornelhitch_control::quota::Terms;
use cornelhitch_control::state::State;
use cornelhitch_control::submissions::Submissions;
use cornelhitch_quorum::action::{self, Action, RejectReason};
use cornelhitch_quorum::core::Core;
use cornelhitch_quorum::disk::{WriteResult, Writer};
use cornelhitch_quorum::event::Event;
use cornelhitch_quorum::id::RequestId;
use cornelhitch_quorum::log::Snapshot;
use cornelhitch_quorum::membership_policy::{JoinRequests, MembershipPolicy};
use cornelhitch_quorum::status::Role;
use cornelhitch_settings::process;
use cornelhitch_target::client::Client;
use cornelhitch_target::inbound;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Term, Time, Version};
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::Inspection;
use cornelhitch_wire::hello::ProcessId;
use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::backlog::{self, Backlog, Class, Item};
use crate::datagrams::DatagramSocket;
use crate::intake::{Forwards, Intake};
use crate::leaderships::Leaderships;
use crate::links::Links;
use crate::log_limit::LogLimiter;
use crate::message::{Datagram, Downward, Incoming, Message, PeerEvent};
use crate::metrics::{Count, Metrics};
use crate::registry::Answer;
use crate::reservation::Reservations;
use crate::software::SoftwareRegister;
use crate::stall_watch::Steps;
use crate::target_state::TargetState;
use crate::timestamped::TimestampedCommand;
use crate::trials::Trials;

/// Interval between ticks of the leader.
const LEADER_TICK: Duration = Duration::from_millis(50);

/// Time after which the control task lets the tasks of the links run, which read and write the
/// messages of the replicated log.
const SLICE: Duration = Duration::from_millis(5);

/// A message to the control task from another task of this process.
#[derive(Debug)]
pub enum TaskMessage {
    /// The disk writer has finished a batch, successfully or not.
    Written(WriteResult),
    /// The outcome of an order that was sent to a worker.
    Order(Order, Outcome),
    /// The result of querying a worker about its orders.
    Inspected {
        /// The worker.
        target: TargetId,
        /// The incarnation that was queried.
        incarnation: Incarnation,
        /// The answer; `None` if the worker failed to answer in time.
        inspection: Option<Inspection>,
    },
    /// A request for this host's control state as JSON, for the operators' dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// A message from a target, answered once it is handled or committed.
    Target(Box<inbound::Message>, Answer<()>),
    /// A route table from an operator, answered once it is committed.
    Publish(SubmittedTable, Answer<()>),
    /// A request for the text of the route table in force.
    Read(Answer<Option<Bytes>>),
    /// The hosts that the settings now name as seeds.
    Seeds(Vec<HostId>),
}

/// Everything that [`run`] needs.
pub struct Setup {
    /// This host's id.
    pub me: HostId,
    /// The voters named in the settings.
    pub voters: BTreeSet<HostId>,
    /// The sans-I/O core of the replicated log.
    pub core: Core,
    /// The writer of the log and its snapshots.
    pub writer: Writer,
    /// The leader's decision logic.
    pub leader: Leader,
    /// The memory for what targets report.
    pub target_state: TargetState,
    /// Messages and datagrams from peers.
    pub incoming: mpsc::UnboundedReceiver<Incoming>,
    /// Messages from other tasks of this process.
    pub task_messages: mpsc::UnboundedReceiver<TaskMessage>,
    /// The sending end of `task_messages`.
    pub task_sender: mpsc::UnboundedSender<TaskMessage>,
    /// The links to peers.
    pub links: Links,
    /// The socket for lease datagrams.
    pub datagrams: DatagramSocket,
    /// The client for orders to workers.
    pub client: Arc<dyn Client>,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// Tells of the cores' steps whether they return.
    pub(crate) steps: Steps,
    /// The encoded command with the first fleet settings of a new cluster.
    pub initial_settings: Option<Bytes>,
    /// The address at which this host accepts messages from targets and operators.
    pub registry: Option<SocketAddr>,
    /// The addresses of the other hosts that take targets' heartbeats while this one leads.
    pub takers: watch::Sender<Vec<SocketAddr>>,
    /// Decides on membership changes, on clusters whose hosts join and leave without an operator.
    pub membership_policy: Option<MembershipPolicy>,
    /// How far teams may go beyond their quotas.
    pub quota_terms: Terms,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
    /// The instant from which the log's core measures time.
    pub epoch: Instant,
    /// The time since the Unix epoch at `epoch`; the leader's clock starts from it.
    pub started: Time,
}

/// The leader's lease, as checked just before an order is sent.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// The term in which it is held.
    pub term: Term,
    /// The instant until which no other host can lead.
    pub until: Instant,
}

/// What to do when a proposal, read or membership change completes.
#[derive(Debug)]
enum Waiter {
    /// Answer a host's call.
    Host {
        /// The host.
        host: HostId,
        /// The host's number for the call.
        call: u64,
    },
    /// Do nothing: the leader on this host made the request.
    Leader,
    /// Start leading in this term: this is a new leader's first read barrier.
    Election(Term),
    /// Answer the hosts' questions about origins of streams.
    Origins,
    /// Check the membership again: the membership policy started the change.
    MembershipPolicy,
    /// Answer a host's call to change the membership.
    Members {
        /// The host.
        host: HostId,
        /// The host's number for the call.
        call: u64,
    },
    /// Answer a target or operator of this host's registry listener, once committed.
    Local(Answer<()>),
    /// Answer the operators of this host's registry listener who wait for a route table.
    Table(Version),
    /// Answer an operator of this host's registry listener with the route table.
    Read(Answer<Option<Bytes>>),
}

/// The state of the control task.
pub(crate) struct Control {
    pub(crate) setup: Setup,
    /// The messages that wait to be handled.
    backlog: Backlog,
    /// When the leader's periodic work is due next.
    next_tick: Instant,
    pub(crate) state: State,
    pub(crate) role: Role,
    pub(crate) term: Term,
    pub(crate) known_leader: Option<HostId>,
    /// Whether this host leads and has applied all entries of earlier terms.
    pub(crate) leading: bool,
    /// Hosts that are subscribed to the view.
    pub(crate) subscribers: HashSet<HostId>,
    /// Hosts that contacted this host while it knew no leader.
    pub(crate) awaiting_leader: HashSet<HostId>,
    /// The voters last sent to the subscribers.
    voters: Vec<process::Peer>,
    /// The newest lease renewal of each host, with the address to answer.
    pub(crate) renewals: HashMap<HostId, Renewal>,
    pub(crate) reservations: Reservations,
    /// Trials of request parts that this leader granted.
    pub(crate) trials: Trials,
    /// Which hosts have led before.
    leaderships: Leaderships,
    /// Quotas of teams, while this host leads.
    pub(crate) quotas: Option<quotas::TermQuotas>,
    /// What this leader knows of the targets' software.
    pub(crate) software: SoftwareRegister,
    /// Heartbeats that this host takes while another one leads.
    pub(crate) intake: Intake,
    /// Heartbeats that other control hosts have taken for this leader.
    pub(crate) forwards: Forwards,
    /// Questions about origins of streams that wait for a confirmation.
    pub(crate) origins: origins::Questions,
    /// Limits the log lines about targets that are not registered for lack of room.
    pub(crate) refused_targets: LogLimiter,
    /// Operators' route tables that wait to be committed.
    submissions: Submissions<Answer<()>>,
    /// The newest settings version in force on all hosts.
    pub(crate) settings_in_force: Version,
    waiters: HashMap<RequestId, Waiter>,
    next: RequestId,
    lease: watch::Sender<Option<Lease>>,
    /// The index of the last entry applied to the state.
    applied: u64,
    /// Hosts that have requested to join.
    join_requests: JoinRequests,
    /// When membership was last checked.
    last_membership_check: Instant,
    /// What was last logged about the group.
    group_log: group_log::GroupLog,
}

/// The newest lease renewal of a host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Renewal {
    pub peer: ProcessId,
    pub address: SocketAddr,
    pub sequence: u64,
}

/// Runs the control task until the process stops.
pub async fn run(setup: Setup) {
    let (lease, _) = watch::channel(None);
    let control = Control {
        backlog: Backlog::default(),
        next_tick: Instant::now(),
        state: State::default(),
        role: Role::Follower,
        term: 0,
        known_leader: None,
        leading: false,
        subscribers: HashSet::new(),
        awaiting_leader: HashSet::new(),
        voters: Vec::new(),
        renewals: HashMap::new(),
        reservations: Reservations::default(),
        trials: Trials::default(),
        leaderships: Leaderships::default(),
        quotas: None,
        software: SoftwareRegister::default(),
        intake: Intake::new(setup.epoch.elapsed()),
        forwards: Forwards::default(),
        origins: origins::Questions::default(),
        refused_targets: LogLimiter::default(),
        submissions: Submissions::default(),
        settings_in_force: 0,
        waiters: HashMap::new(),
        next: 1,
        lease,
        applied: 0,
        join_requests: JoinRequests::default(),
        last_membership_check: Instant::now(),
        group_log: group_log::GroupLog::default(),
        setup,
    };
    control.serve().await;
}

impl Control {
    /// Processes messages, ticks and timers until the process stops.
    ///
    /// Between two looks at the messages of the replicated log it handles other messages for
    /// [`SLICE`] and then the one at hand to its end.
    async fn serve(mut self) {
        let mut slice = Instant::now();
        self.quorum_event(Event::Tick);
        while !self.setup.stop.is_cancelled() && self.collect() {
            self.run_due();
            let Some(item) = self.backlog.pop() else {
                self.renew_lease();
                if !self.wait().await {
                    return;
                }
                slice = Instant::now();
                continue;
            };
            self.handle_item(item);
            self.renew_lease();
            if slice.elapsed() >= SLICE {
                tokio::task::yield_now().await;
                slice = Instant::now();
            }
        }
    }

    /// Moves the messages that have arrived to the backlog; returns false once none can arrive.
    fn collect(&mut self) -> bool {
        let peers = loop {
            match self.setup.incoming.try_recv() {
                Ok(incoming) => self.backlog.push(Item::Peer(incoming)),
                Err(error) => break error != TryRecvError::Disconnected,
            }
        };
        let tasks = loop {
            match self.setup.task_messages.try_recv() {
                Ok(message) => self.backlog.push(Item::Task(message)),
                Err(error) => break error != TryRecvError::Disconnected,
            }
        };
        let superseded = self.backlog.take_superseded();
        self.setup.metrics.add(Count::ControlSuperseded, superseded);
        peers && tasks
    }

    /// Handles the messages of the replicated log that wait, and what is due by the clock.
    fn run_due(&mut self) {
        while let Some(item) = self.backlog.pop_consensus() {
            self.handle_item(item);
        }
        if self.now() >= self.setup.core.next_wake() {
            self.quorum_event(Event::Tick);
        }
        let now = Instant::now();
        if now >= self.next_tick {
            self.next_tick = now + LEADER_TICK;
            self.tick();
        }
    }

    /// Waits for a message or for what is due by the clock; returns false once no message can arrive.
    async fn wait(&mut self) -> bool {
        let wake = self.setup.epoch + self.setup.core.next_wake();
        tokio::select! {
            () = self.setup.stop.cancelled() => false,
            incoming = self.setup.incoming.recv() => {
                let incoming = incoming.map(Item::Peer);
                incoming.map(|item| self.backlog.push(item)).is_some()
            }
            message = self.setup.task_messages.recv() => {
                let message = message.map(Item::Task);
                message.map(|item| self.backlog.push(item)).is_some()
            }
            () = tokio::time::sleep_until(wake.min(self.next_tick)) => true,
        }
    }

    /// Handles one message of the backlog.
    fn handle_item(&mut self, item: Item) {
        let count = match backlog::class(&item) {
            Class::Consensus => Count::ControlConsensus,
            Class::Command => Count::ControlCommands,
            Class::Quota => Count::ControlQuotas,
            Class::Renewal => Count::ControlRenewals,
            Class::Heartbeat => Count::ControlHeartbeats,
            Class::Report => Count::ControlReports,
        };
        self.setup.metrics.increment(count);
        match item {
            Item::Peer(incoming) => self.peer_event(incoming),
            Item::Task(message) => self.task_message(message),
        }
    }

    /// Returns the time by the clock of the log's core.
    pub(crate) fn now(&self) -> Time {
        self.setup.epoch.elapsed()
    }

    /// Returns the leader's time: since the Unix epoch, monotonic.
    pub(crate) fn unix_time(&self) -> Time {
        self.setup.started + self.now()
    }

    /// Does the periodic work of a leader, or of a host that takes heartbeats for one.
    fn tick(&mut self) {
        if self.leading {
            let fleet = self.state.fleet();
            let is_known = |target: &TargetId| fleet.get(target).is_some();
            let lacks_memory = self.setup.target_state.is_full(is_known);
            self.setup.leader.set_lacks_memory(lacks_memory);
            self.excuse_delayed_heartbeats();
            self.handle(Input::Tick);
            self.advance_quotas();
            self.send_changed_voters();
            self.adjust_membership();
        } else {
            self.forward_heartbeats();
        }
        self.log_group();
    }

    /// Handles a message or datagram from a peer.
    fn peer_event(&mut self, incoming: Incoming) {
        let from = incoming.from;
        match incoming.event {
            PeerEvent::Message(Message::Quorum(message)) => self.quorum_event(Event::Receive {
                from: from.host,
                message,
            }),
            PeerEvent::Message(Message::Upward(upward)) => self.upward(from, upward),
            PeerEvent::Datagram(Datagram::Renew { sequence, host, .. }, address) => {
                let renewal = Renewal {
                    peer: from,
                    address,
                    sequence,
                };
                self.lease_renewal(renewal, host);
            }
            PeerEvent::Message(Message::Downward(Downward::HeartbeatsTaken { term, missing })) => {
                let now = self.now();
                self.intake.on_answer(term, &missing, now);
            }
            PeerEvent::Message(Message::Downward(_))
            | PeerEvent::Datagram(..)
            | PeerEvent::Linked => {}
        }
    }

    /// Handles a message from another task of this process.
    fn task_message(&mut self, message: TaskMessage) {
        match message {
            TaskMessage::Written(done) => self.quorum_event(done.into()),
            TaskMessage::Order(order, outcome) => self.handle(Input::OrderDone { order, outcome }),
            TaskMessage::Inspected {
                target,
                incarnation,
                inspection,
            } => self.handle(Input::Inspected {
                target,
                incarnation,
                inspection,
            }),
            TaskMessage::Dump(answer) => {
                let _ = answer.send(self.dump());
            }
            TaskMessage::Target(message, answer) => self.target_message(*message, answer),
            TaskMessage::Publish(submitted, answer) => self.submit_table(submitted, answer),
            TaskMessage::Read(answer) => self.read_table(answer),
            TaskMessage::Seeds(mut seeds) => {
                seeds.retain(|seed| *seed != self.setup.me);
                self.quorum_event(Event::Peers(seeds));
            }
        }
    }

    /// Passes an event to the log's core and performs the resulting actions.
    pub(crate) fn quorum_event(&mut self, event: Event) {
        let now = self.now();
        let core = &mut self.setup.core;
        let actions = self.setup.steps.run("Log", || core.handle(event, now));
        for action in actions {
            self.perform(action);
        }
    }

    /// Performs one action of the log's core.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Persist(batch) => self.setup.writer.submit(batch),
            Action::Send { to, message } => self.setup.links.send(to, Message::Quorum(message)),
            Action::Apply(entry) => self.apply(&entry),
            Action::Restore(snapshot) => self.restore(&snapshot),
            Action::NeedSnapshot => {
                let data = self.state.snapshot();
                let index = self.applied;
                self.quorum_event(Event::Snapshot { index, data });
            }
            Action::Rejected { id, reason, leader } => self.rejected(id, reason, leader),
            Action::BarrierDone { id } => self.barrier_done(id),
            Action::MembershipChanged { id } => self.membership_changed(id),
            Action::JoinRequested(peer) => self.admit(peer),
            Action::Role { role, term, leader } => self.role_changed(role, term, leader),
        }
    }

    /// Applies a committed entry to the state and answers the proposer, if it waits on this host.
    fn apply(&mut self, entry: &action::Entry) {
        self.setup.metrics.increment(Count::Applied);
        self.applied = entry.index;
        let waiting = entry.id.and_then(|id| self.waiters.remove(&id));
        let stamped = TimestampedCommand::decode(&entry.payload);
        let command = stamped
            .as_ref()
            .ok()
            .and_then(|stamped| Command::decode(&stamped.command).ok());
        let (Ok(stamped), Some(command)) = (stamped, command) else {
            tracing::error!(
                index = entry.index,
                "cannot decode a committed log entry; entry skipped"
            );
            return;
        };
        let place = Entry {
            index: entry.index,
            term: entry.term,
            time: stamped.time,
        };
        let reply = self.state.apply(&place, command.clone());
        match waiting {
            Some(Waiter::Host { host, call }) => self.send_committed(host, call, &reply),
            Some(Waiter::Local(answer)) => {
                let (index, term) = (entry.index, entry.term);
                if let Command::Leave { target, .. } = &command {
                    tracing::info!(
                        target = &**target,
                        index,
                        term,
                        "leave committed; acknowledging it to the target"
                    );
                }
                let _ = answer.send(Ok(()));
            }
            _ => {}
        }
        if matches!(
            command,
            Command::PublishTable(_) | Command::PublishGuardedTable(_)
        ) {
            self.acknowledge_tables(&place);
        }
        if self.leading {
            strike_log::log_decrease(&command, &reply, &place);
            let now = self.now();
            self.trials.on_committed(&command, now);
            self.handle(Input::Applied { command, reply });
        }
    }

    /// Sends a host the state machine's reply to its proposal.
    fn send_committed(&self, host: HostId, call: u64, reply: &Reply) {
        let reply = postcard::to_stdvec(reply).unwrap_or_default().into();
        let downward = Downward::Committed { call, reply };
        self.setup.links.send(host, Message::Downward(downward));
    }

    /// Replaces the state with that of a snapshot.
    fn restore(&mut self, snapshot: &Snapshot) {
        match State::restore(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.applied = snapshot.index;
                self.acknowledge_tables(&Entry {
                    index: snapshot.index,
                    term: snapshot.term,
                    ..Entry::default()
                });
            }
            Err(error) => tracing::error!(%error, "cannot decode a snapshot; state not replaced"),
        }
    }

    /// Proposes a command for a host's call, or for the leader here if `host` is `None`.
    pub(crate) fn propose(&mut self, command: Bytes, host: Option<(HostId, u64)>) {
        let waiting = match host {
            Some((host, call)) => Waiter::Host { host, call },
            None => Waiter::Leader,
        };
        self.propose_for(waiting, command);
    }

    /// Proposes a command for a waiter.
    fn propose_for(&mut self, waiter: Waiter, command: Bytes) {
        let id = self.register_waiter(waiter);
        let time = self.unix_time();
        let payload = TimestampedCommand { time, command }.encode();
        self.quorum_event(Event::Propose { id, payload });
    }

    /// Stores what to do when a request completes and returns the request's id.
    fn register_waiter(&mut self, waiter: Waiter) -> RequestId {
        let id = self.next;
        self.next += 1;
        self.waiters.insert(id, waiter);
        id
    }

    /// Handles a request that the log's core rejected.
    fn rejected(&mut self, id: RequestId, reason: RejectReason, leader: Option<HostId>) {
        let Some(waiting) = self.waiters.remove(&id) else {
            return;
        };
        if matches!(waiting, Waiter::MembershipPolicy) {
            tracing::info!(%reason, "an automatic membership change has not been made");
        } else {
            tracing::debug!(%reason, ?waiting, "proposal, read or membership change rejected");
        }
        match waiting {
            // The host retries, here or at the leader; retries are idempotent.
            Waiter::Host { host, call } => {
                if matches!(reason, RejectReason::NotLeader | RejectReason::Superseded) {
                    self.send_not_leader(host, Some(call), leader);
                }
            }
            Waiter::Members { host, call } => {
                let json = format!("{{\"done\":false,\"reason\":\"{reason}\"}}");
                self.send_answer(host, call, json.into());
            }
            Waiter::Origins => self.refuse_origins(leader),
            Waiter::Table(version) => drop(self.submissions.failed(version)),
            // Local requesters treat a dropped sender as an unknown outcome.
            Waiter::Local(_)
            | Waiter::Read(_)
            | Waiter::Leader
            | Waiter::Election(_)
            | Waiter::MembershipPolicy => {}
        }
    }
}

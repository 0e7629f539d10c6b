//! The task that owns the replicated log, the replicated state, and what leads from it.

mod leading;
mod members;
mod requests;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::command::{Command, Entry, Reply};
use cornelhitch_control::document::Publish;
use cornelhitch_control::input::Input;
use cornelhitch_control::leader::Leader;
use cornelhitch_control::state::State;
use cornelhitch_quorum::action::{self, Action, Reason};
use cornelhitch_quorum::core::Core;
use cornelhitch_quorum::disk::{Done, Writer};
use cornelhitch_quorum::event::Event;
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
use crate::registry::Answer;
use crate::reservation::Reservations;
use crate::stamp::Stamped;
use crate::switch::Switch;

/// Time between two ticks of the leader.
const TICK: Duration = Duration::from_millis(50);

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
                let (index, term) = (entry.index, entry.term);
                if let Command::Leave { target, .. } = &command {
                    tracing::info!(
                        target = &**target,
                        index,
                        term,
                        "a farewell is acknowledged"
                    );
                }
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
}

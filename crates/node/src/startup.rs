//! Starts the tasks of a process from their shared state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cornelhitch_control::command::Command;
use cornelhitch_control::current_settings::Apply;
use cornelhitch_control::leader::Leader;
use cornelhitch_control::limits::Limits;
use cornelhitch_control::quota::Terms;
use cornelhitch_entry::config::Config;
use cornelhitch_entry::core::Core;
use cornelhitch_planner::policy::Policy;
use cornelhitch_quorum as quorum;
use cornelhitch_quorum::disk::{DiskStore, ExpectedIdentity, Writer};
use cornelhitch_quorum::membership_policy::MembershipPolicy;
use cornelhitch_quorum::store::Store;
use cornelhitch_settings::fleet::FleetSettings;
use cornelhitch_settings::process::{Peer, ProcessSettings, Role, Serving};
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{HostId, Incarnation};
use cornelhitch_wire::hello::{Identity, cluster_id};
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::answer_memory::AnswerMemory;
use crate::callers::Callers;
use crate::connection::ConnectionTable;
use crate::control::{self, TaskMessage};
use crate::datagrams::{self, DatagramSocket};
use crate::entry::{self, Input};
use crate::error::{DataSnafu, Error, FleetSnafu, SystemSnafu};
use crate::exposition::Exposition;
use crate::ingress::{FIRST_TABLE_WAIT, LocalRequestService, RoutedService, Routes};
use crate::links::{self, Inbox, Links};
use crate::listener_limits::{Audience, ListenerLimits};
use crate::message::Incoming;
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::peer_threads::PeerThreads;
use crate::process_memory::{HeapSize, ProcessMemory};
use crate::protocols::Protocols;
use crate::registry::Registry;
use crate::request_memory::RequestBodies;
use crate::secret::{self, Token};
use crate::server::{self, Service};
use crate::session;
use crate::socket::Addresses;
use crate::stall_watch::{self, Steps};
use crate::takers::Takers;
use crate::target_state::TargetState;
use crate::unread_answers::UnreadAnswers;

/// Targets that the leader registers for each megabyte of memory. One takes some 3 kB.
const TARGETS_PER_MB: f64 = 24.0;

/// Published changes that the leader keeps for each megabyte of memory.
const KEPT_CHANGES_PER_MB: f64 = 80.0;

/// Entries of the log, and their bytes, for each megabyte of memory after which a snapshot takes their place.
const LOG_ENTRIES_PER_MB: f64 = 40.0;
const LOG_BYTES_PER_MB: f64 = 32_768.0;

/// Election timeout of a cluster that runs without operators: several round trips between regions,
/// and less than callers wait.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between the leader's heartbeats in such a cluster.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time without progress after which a membership change is given up on a cluster with seeds, where
/// the membership policy decides anew.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of seeds that settings name if there are as many control hosts; fewer are all that there
/// are.
const FULL_SEED_LIST: usize = 3;

/// The state that the tasks of a process share when they are started.
pub(crate) struct Startup {
    pub(crate) process: ProcessSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) addresses: Addresses,
    pub(crate) epoch: Instant,
    pub(crate) stop: CancellationToken,
    pub(crate) metrics: Metrics,
    pub(crate) protocols: Protocols,
    pub(crate) links: Links,
    pub(crate) datagrams: DatagramSocket,
    /// The bound on all memory of the process.
    pub(crate) memory: ProcessMemory,
    /// Reads the messages of targets and operators.
    messages: RequestBodies,
    /// Runs the control task, the links and the session.
    pub(crate) peer_threads: PeerThreads,
}

/// The sockets to peers, and what their messages go to.
pub(crate) struct Peers {
    pub(crate) listener: TcpListener,
    pub(crate) socket: UdpSocket,
    pub(crate) inbox: Inbox,
    /// Hosts with which no traffic is exchanged, to simulate network partitions in tests.
    pub(crate) blocked: watch::Receiver<Vec<HostId>>,
}

impl Peers {
    /// Registers the sockets with the runtime that has been entered.
    fn register(self) -> std::io::Result<Self> {
        Ok(Self {
            listener: TcpListener::from_std(self.listener.into_std()?)?,
            socket: UdpSocket::from_std(self.socket.into_std()?)?,
            ..self
        })
    }
}

impl Startup {
    /// Starts the links and the datagram socket. What the process allocates is bounded if `heap` counts it.
    pub(crate) fn connect(
        process: ProcessSettings,
        protocols: Protocols,
        addresses: Addresses,
        peers: Peers,
        heap: Option<HeapSize>,
    ) -> Result<Self, Error> {
        let incarnation = incarnation();
        let (identity, identities) = watch::channel(Identity {
            cluster: cluster_id(&process.cluster),
            host: process.host,
            incarnation,
            address: process
                .peers_listen
                .map_or(addresses.peers, |_| process.peers),
            keys: match &process.keys {
                Some(path) => secret::keys(path)?,
                None => secret::public_key(&process.cluster)?,
            },
        });
        let metrics = Metrics::default();
        let memory = ProcessMemory::new(&process.serving, heap);
        let stop = CancellationToken::new();
        if let Some(path) = &process.keys {
            tokio::spawn(secret::watch(path.clone(), identity, stop.clone()));
        } else {
            tracing::info!("links to peers are not authenticated: no key file is set");
        }
        let what = "cannot start the threads for peers";
        let peer_threads = PeerThreads::start().context(SystemSnafu { what })?;
        let on_peer_threads = peer_threads.enter();
        let what = "cannot move the sockets for peers to their threads";
        let peers = peers.register().context(SystemSnafu { what })?;
        let links = Links::start(links::Setup {
            identity: identities.clone(),
            listener: peers.listener,
            voters: process.voters.clone(),
            common_port: (!process.seeds.is_empty()).then_some(process.peers.port()),
            local: process.peers_listen.map(|listen| listen.ip()),
            inbox: peers.inbox.clone(),
            metrics: metrics.clone(),
            stop: stop.clone(),
            blocked_peers: peers.blocked.clone(),
        });
        let datagrams = DatagramSocket::start(datagrams::Setup {
            identity: identities,
            socket: peers.socket,
            inbox: peers.inbox,
            metrics: metrics.clone(),
            stop: stop.clone(),
            blocked_peers: peers.blocked,
        });
        drop(on_peer_threads);
        Ok(Self {
            process,
            incarnation,
            addresses,
            epoch: Instant::now(),
            stop,
            messages: RequestBodies::of_messages(memory, metrics.clone()),
            metrics,
            protocols,
            links,
            datagrams,
            memory,
            peer_threads,
        })
    }

    /// Starts the session with the leader.
    pub(crate) fn start_session(
        &self,
        incoming: mpsc::UnboundedReceiver<Incoming>,
        host: watch::Receiver<Host>,
        events: mpsc::UnboundedSender<session::Event>,
    ) -> session::Handle {
        let _on_peer_threads = self.peer_threads.enter();
        session::start(session::Setup {
            me: self.process.host,
            voters: self.process.voters.clone(),
            own: self.process.has_role(Role::Control).then_some(Peer {
                host: self.process.host,
                address: self.addresses.peers,
            }),
            links: self.links.clone(),
            datagrams: self.datagrams.clone(),
            incoming,
            host: self.process.has_role(Role::Entry).then_some(host),
            events,
            stop: self.stop.clone(),
        })
    }

    /// Returns the initial description of this host for the leader.
    pub(crate) fn host(&self) -> Host {
        Host {
            host: self.process.host,
            incarnation: self.incarnation,
            address: self.addresses.callers,
            region: self.process.region.clone(),
            zone: self.process.zone.clone(),
            load: 0,
            draining: false,
            settings: 0,
        }
    }

    /// Starts the control task.
    pub(crate) fn start_control(
        &self,
        incoming: mpsc::UnboundedReceiver<Incoming>,
        takers: watch::Sender<Vec<SocketAddr>>,
    ) -> Result<(mpsc::UnboundedSender<TaskMessage>, JoinHandle<()>), Error> {
        let folder = self.process.data.clone().context(DataSnafu)?;
        let disk = DiskStore::open(
            folder,
            ExpectedIdentity {
                cluster: cluster_id(&self.process.cluster),
                group: 0,
                member: self.process.host,
                incarnation: self.incarnation,
            },
        )?;
        let recovered = disk.recovered();
        let (task_sender, task_messages) = mpsc::unbounded_channel();
        let done_sender = task_sender.clone();
        let written = move |done| {
            let _ = done_sender.send(TaskMessage::Written(done));
        };
        let what = "cannot start the disk writer's thread";
        let writer = Writer::start(Box::new(disk), written).context(SystemSnafu { what })?;
        let voters: BTreeSet<HostId> = self.process.voters.iter().map(|peer| peer.host).collect();
        let me = self.process.host;
        let seeded = !self.process.seeds.is_empty();
        let config = self.quorum_config(&voters);
        let now = self.epoch.elapsed();
        let seed = quorum::core::seed(me, self.incarnation);
        let core = quorum::core::Core::new(config, recovered, seed, now);
        for voter in core.status().members.voters() {
            self.links.open(voter);
        }
        let setup = control::Setup {
            me,
            voters,
            core,
            writer,
            leader: Leader::new(Box::new(Policy::default()))
                .limits(leader_limits(&self.process.serving)),
            target_state: TargetState::new(self.memory),
            incoming,
            task_messages,
            task_sender: task_sender.clone(),
            links: self.links.clone(),
            datagrams: self.datagrams.clone(),
            client: self.protocols.target_client.clone(),
            metrics: self.metrics.clone(),
            steps: self.watch_steps("control"),
            initial_settings: self.initial_settings()?,
            registry: self.process.registry,
            takers,
            quota_terms: Terms::from(&self.process.serving),
            membership_policy: seeded.then(|| self.membership_policy()),
            stop: self.stop.clone(),
            epoch: self.epoch,
            started: since_unix_epoch(),
        };
        let _on_peer_threads = self.peer_threads.enter();
        Ok((task_sender, tokio::spawn(control::run(setup))))
    }

    /// Returns the membership policy of a cluster with seeds.
    fn membership_policy(&self) -> MembershipPolicy {
        let losses = self.process.losses as usize;
        let policy = MembershipPolicy::for_losses(losses, ELECTION_TIMEOUT);
        let seeds = self.process.seeds.len();
        let hosts = (seeds < FULL_SEED_LIST).then_some(seeds);
        let first_voters = hosts.map_or(policy.target_voters, |hosts| {
            policy.target_voters.min(hosts)
        });
        MembershipPolicy {
            first_voters,
            ..policy
        }
    }

    /// Returns the configuration of this host's member of the log.
    fn quorum_config(&self, voters: &BTreeSet<HostId>) -> quorum::config::Config {
        let me = self.process.host;
        let seeded = !self.process.seeds.is_empty();
        let mut config = quorum::config::Config {
            peers: voters.iter().copied().filter(|peer| *peer != me).collect(),
            may_bootstrap: if seeded {
                self.process.bootstrap && voters.contains(&me)
            } else {
                voters.first() == Some(&me)
            },
            founders: if seeded {
                voters.clone()
            } else {
                BTreeSet::new()
            },
            lease_reads: !seeded,
            ..quorum::config::Config::default()
        };
        config.limit_log(
            for_memory(LOG_ENTRIES_PER_MB, &self.process.serving),
            for_memory(LOG_BYTES_PER_MB, &self.process.serving),
        );
        if seeded {
            config.election_timeout = ELECTION_TIMEOUT;
            config.heartbeat_interval = HEARTBEAT_INTERVAL;
            config.catch_up_timeout = MEMBERSHIP_CHANGE_TIMEOUT;
        }
        config
    }

    /// Returns the command that applies the first fleet settings, if the settings name their file.
    fn initial_settings(&self) -> Result<Option<bytes::Bytes>, Error> {
        let Some(path) = &self.process.fleet else {
            return Ok(None);
        };
        let text = std::fs::read_to_string(path).context(FleetSnafu { path })?;
        let apply = Command::Apply(Apply {
            operator: "first start".into(),
            request: "first start".into(),
            base: 0,
            text: text.into(),
        });
        Ok(Some(apply.encode()))
    }

    /// Starts to watch the steps of a task, on other threads than the entry task's.
    fn watch_steps(&self, core: &'static str) -> Steps {
        let (steps, metrics) = (Steps::default(), self.metrics.clone());
        let _on_peer_threads = self.peer_threads.enter();
        tokio::spawn(stall_watch::watch(
            core,
            steps.clone(),
            metrics,
            self.stop.clone(),
        ));
        steps
    }

    /// Starts the entry task and the callers' listener.
    pub(crate) fn start_entry(
        &self,
        session: &session::Handle,
        events: mpsc::UnboundedReceiver<session::Event>,
        host_state: watch::Sender<Host>,
        listener: TcpListener,
    ) -> (mpsc::UnboundedSender<Input>, [JoinHandle<()>; 2]) {
        let host = self.host();
        let config = Config::new(host.host)
            .incarnation(self.incarnation)
            .place(host.region.clone(), host.zone.clone())
            .serving(self.process.serving)
            .seed(self.incarnation ^ host.host);
        let (input, inputs) = mpsc::unbounded_channel();
        let (fleet, settings) = watch::channel(Arc::new(FleetSettings::default()));
        let (routes, route_receiver) = watch::channel(None);
        let close = CancellationToken::new();
        let leaving = CancellationToken::new();
        let setup = entry::Setup {
            core: Core::new(config, self.epoch.elapsed()),
            host,
            inputs,
            input_sender: input.clone(),
            events,
            session: session.clone(),
            links: self.links.clone(),
            datagrams: self.datagrams.clone(),
            client: self.protocols.target_client.clone(),
            answer_memory: AnswerMemory::of_host(self.memory),
            host_state,
            fleet,
            routes,
            metrics: self.metrics.clone(),
            steps: self.watch_steps("entry"),
            close: close.clone(),
            leaving: leaving.clone(),
            drained: CancellationToken::new(),
            epoch: self.epoch,
        };
        let entry = tokio::spawn(entry::run(setup));
        let listening = Listening {
            listener,
            close,
            leaving,
        };
        let serving = self.serve_callers(listening, input.clone(), settings, route_receiver);
        (input, [entry, serving])
    }

    /// Starts the callers' listener, for routed requests or the project's own interface.
    fn serve_callers(
        &self,
        listening: Listening,
        inputs: mpsc::UnboundedSender<Input>,
        fleet: watch::Receiver<Arc<FleetSettings>>,
        routes: watch::Receiver<Option<Arc<Routes>>>,
    ) -> JoinHandle<()> {
        let metrics = self.metrics.clone();
        let bodies = RequestBodies::of_callers(&self.process.serving, self.memory, metrics.clone());
        let unread = UnreadAnswers::new(self.memory, metrics.clone());
        let next = AtomicU64::new(1);
        let Listening {
            listener,
            close,
            leaving,
        } = listening;
        if let Some(protocol) = self.protocols.callers.clone() {
            let service = RoutedService {
                inputs,
                routes,
                protocol,
                bodies,
                unread,
                metrics,
                next,
                leaving,
                first_table_until: Instant::now() + FIRST_TABLE_WAIT,
                log_limit: Mutex::default(),
            };
            return tokio::spawn(self.listen(listener, service, Audience::Callers, close));
        }
        let callers = Callers {
            inputs,
            fleet,
            protocol: self.protocols.target_messages.clone(),
            bodies,
            messages: self.messages.clone(),
            unread,
            metrics,
            next,
            leaving,
        };
        tokio::spawn(self.listen(listener, callers, Audience::Callers, close))
    }

    /// Returns the task that serves a listener within its limits.
    pub(crate) fn listen<S: Service>(
        &self,
        listener: TcpListener,
        service: S,
        audience: Audience,
        close: CancellationToken,
    ) -> impl Future<Output = ()> + use<S> {
        let limits = ListenerLimits::new(&self.process.serving, audience);
        let metrics = self.metrics.clone();
        let table = ConnectionTable::new(limits, self.memory, metrics);
        server::run(listener, Arc::new(service), table, close)
    }

    /// Starts the registry listener of a control host, if the settings have an address for it.
    pub(crate) fn start_registry(
        &self,
        control: mpsc::UnboundedSender<TaskMessage>,
        session: session::Handle,
        takers: watch::Receiver<Vec<SocketAddr>>,
        listener: TcpListener,
    ) {
        let Some(address) = self.process.registry else {
            return;
        };
        let registry = Registry {
            control,
            session,
            messages: self.messages.clone(),
            targets: self.protocols.target_messages.clone(),
            route_tables: self.protocols.route_tables.clone(),
            address,
            zones: self.process.zones.clone(),
            takers: Takers::new(takers),
            epoch: self.epoch,
            head_bytes: ListenerLimits::new(&self.process.serving, Audience::Registry).head_bytes,
            log_limit: Mutex::default(),
        };
        tokio::spawn(self.listen(listener, registry, Audience::Registry, self.stop.clone()));
    }

    /// Creates the operators' service; without a token it refuses all requests.
    pub(crate) fn operators(
        &self,
        token: Option<Token>,
        session: &session::Handle,
        entry: Option<mpsc::UnboundedSender<Input>>,
        control: Option<mpsc::UnboundedSender<TaskMessage>>,
        drain_token: CancellationToken,
    ) -> Operators {
        Operators {
            token: token.unwrap_or_else(Token::unmatchable),
            host: self.process.host,
            incarnation: self.incarnation,
            session: session.clone(),
            entry,
            control,
            messages: self.messages.clone(),
            metrics: self.metrics.clone(),
            drain_token,
        }
    }

    /// Starts the operators' listener.
    pub(crate) fn start_operators(
        &self,
        listener: TcpListener,
        operators: Operators,
    ) -> JoinHandle<()> {
        tokio::spawn(self.listen(listener, operators, Audience::Operators, self.stop.clone()))
    }

    /// Starts the metrics listener.
    pub(crate) fn start_exposition(&self, listener: TcpListener) {
        let exposition = Exposition {
            metrics: self.metrics.clone(),
            memory: self.memory,
        };
        tokio::spawn(self.listen(listener, exposition, Audience::Metrics, self.stop.clone()));
    }

    /// Starts the listeners for requests that need no target.
    pub(crate) fn start_pages(
        &self,
        inputs: &mpsc::UnboundedSender<Input>,
        listeners: Vec<TcpListener>,
    ) {
        let Some(protocol) = &self.protocols.callers else {
            return;
        };
        for listener in listeners {
            let pages = LocalRequestService {
                inputs: inputs.clone(),
                protocol: protocol.clone(),
            };
            tokio::spawn(self.listen(listener, pages, Audience::Pages, self.stop.clone()));
        }
    }
}

/// The callers' listener, and what ends it.
struct Listening {
    listener: TcpListener,
    /// Cancelled when the listener has to close.
    close: CancellationToken,
    /// Cancelled when the graceful shutdown starts.
    leaving: CancellationToken,
}

/// Creates the queues for messages from peers, with the receiving ends for the control task and the
/// session.
pub(crate) fn inboxes(
    process: &ProcessSettings,
) -> (
    Inbox,
    Option<mpsc::UnboundedReceiver<Incoming>>,
    mpsc::UnboundedReceiver<Incoming>,
) {
    let (session, session_inbox) = mpsc::unbounded_channel();
    let (control, control_inbox) = mpsc::unbounded_channel();
    let is_control = process.has_role(Role::Control);
    let inbox = Inbox {
        control: is_control.then_some(control),
        session,
    };
    (inbox, is_control.then_some(control_inbox), session_inbox)
}

/// Returns a new incarnation: the start time of the process in microseconds since the Unix epoch.
fn incarnation() -> Incarnation {
    let micros = since_unix_epoch().as_micros();
    Incarnation::try_from(micros).unwrap_or(Incarnation::MAX)
}

/// Returns the current time since the Unix epoch.
fn since_unix_epoch() -> Duration {
    let now = SystemTime::now();
    now.duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns what the leader may keep.
fn leader_limits(serving: &Serving) -> Limits {
    let default = Limits::default();
    let kept_changes = for_memory(KEPT_CHANGES_PER_MB, serving);
    Limits {
        targets: match usize::try_from(serving.targets) {
            Ok(0) => for_memory(TARGETS_PER_MB, serving),
            targets => targets.unwrap_or(usize::MAX),
        },
        kept_changes: kept_changes.min(default.kept_changes),
    }
}

/// Returns a number in proportion to the process's memory.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn for_memory(per_mb: f64, serving: &Serving) -> usize {
    (per_mb * serving.memory_mb) as usize
}

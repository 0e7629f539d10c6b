//! One cornelhitch process: its tasks, started and ended.

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cornelhitch_control::catalogue::Apply;
use cornelhitch_control::command::Command;
use cornelhitch_control::leader::Leader;
use cornelhitch_entry::config::Config;
use cornelhitch_entry::core::Core;
use cornelhitch_planner::policy::Policy;
use cornelhitch_quorum as quorum;
use cornelhitch_quorum::disk::{Disk, Owner, Writer};
use cornelhitch_quorum::store::Store;
use cornelhitch_settings::fleet::Fleet;
use cornelhitch_settings::process::{Process, Role};
use cornelhitch_target::client::Client;
use cornelhitch_target::http::Http;
use cornelhitch_target::inbound::Json;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{HostId, Incarnation};
use cornelhitch_wire::hello::{Identity, cluster};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::beacon::{self, Beacon};
use crate::callers::Callers;
use crate::control::{self, Told};
use crate::entry::{self, Input};
use crate::message::Incoming;
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::secret::{self, Token};
use crate::server;
use crate::session;
use crate::socket::{Addresses, Sockets};
use crate::switch::{self, Inbox, Switch};

/// Time that operators' last answers may take at the end.
const GOODBYE: Duration = Duration::from_secs(2);

/// Why a process cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A secret cannot be read.
    #[snafu(display("{source}"), context(false))]
    Secret {
        /// Why.
        source: secret::Error,
    },
    /// A control host has no data folder.
    #[snafu(display("data: a host with the role control needs a data folder"))]
    Data,
    /// The data folder is refused.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Why.
        source: quorum::store::Error,
    },
    /// The system refused something.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was asked.
        what: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// The first fleet settings cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Fleet {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
}

/// A running process.
#[derive(Debug)]
pub struct Node {
    /// Where it listens.
    pub addresses: Addresses,
    /// Hosts with which nothing is exchanged, for tests of partitions.
    pub cut: watch::Sender<Vec<HostId>>,
    /// Counters.
    pub metrics: Metrics,
    drain: Option<mpsc::UnboundedSender<Input>>,
    stop: CancellationToken,
    /// Tasks that end by themselves once everything in progress has.
    serving: Vec<JoinHandle<()>>,
    /// The control task, which ends when it is stopped and then lets go of its folder.
    control: Option<JoinHandle<()>>,
    /// The operators' listener, which answers until it is stopped.
    operators: JoinHandle<()>,
    /// Cancelled when an operator asks for the graceful shutdown.
    asked: CancellationToken,
}

/// What the tasks of one process share while they are started.
struct Parts {
    process: Process,
    incarnation: Incarnation,
    addresses: Addresses,
    epoch: Instant,
    stop: CancellationToken,
    metrics: Metrics,
    client: Arc<dyn Client>,
    switch: Switch,
    beacon: Beacon,
}

impl Node {
    /// Starts the tasks of a process on sockets that are bound.
    ///
    /// # Errors
    /// A file cannot be read, or the data folder is refused.
    pub fn start(process: Process, sockets: Sockets) -> Result<Self, Error> {
        let token = Token::read(&process.token)?;
        let (inbox, control_inbox, session_inbox) = inboxes(&process);
        let (cut, cuts) = watch::channel(Vec::new());
        let Sockets {
            callers,
            operators,
            links,
            datagrams,
        } = sockets;
        let addresses = Addresses::of(&callers, &operators, &links);
        let what = "the addresses are not known";
        let addresses = addresses.context(SystemSnafu { what })?;
        let parts = Parts::connect(process, addresses, links, datagrams, inbox, cuts)?;
        let (control, control_task) = match control_inbox {
            Some(inbox) => parts
                .control(inbox)
                .map(|(tell, task)| (Some(tell), Some(task)))?,
            None => (None, None),
        };
        let (shown, host) = watch::channel(parts.host());
        let (events, heard) = mpsc::unbounded_channel();
        let session = parts.session(session_inbox, host, events);
        let mut serving = Vec::new();
        let mut drain = None;
        if parts.process.has(Role::Entry) {
            let (input, tasks) = parts.entry(&session, heard, shown, callers);
            drain = Some(input);
            serving.extend(tasks);
        }
        let asked = CancellationToken::new();
        let service = Operators {
            token,
            host: parts.process.host,
            incarnation: parts.incarnation,
            session,
            entry: drain.clone(),
            control,
            metrics: parts.metrics.clone(),
            asked: asked.clone(),
        };
        let serve = server::run(operators, Arc::new(service), parts.stop.clone());
        let operators = tokio::spawn(serve);
        Ok(Self {
            addresses,
            cut,
            metrics: parts.metrics,
            drain,
            stop: parts.stop,
            serving,
            control: control_task,
            operators,
            asked,
        })
    }

    /// Starts the graceful shutdown: no new callers, everything in progress ends.
    pub fn drain(&self) {
        match &self.drain {
            Some(entry) => {
                let _ = entry.send(Input::Drain);
            }
            None => self.stop.cancel(),
        }
    }

    /// Waits until an operator asks for the graceful shutdown.
    pub async fn asked(&self) {
        self.asked.cancelled().await;
    }

    /// Waits until everything in progress has ended, then stops what is left.
    pub async fn ended(self) {
        for task in self.serving {
            let _ = task.await;
        }
        self.stop.cancel();
        if let Some(task) = self.control {
            let _ = task.await;
        }
        // An operator who holds a connection open does not hold the end up.
        let _ = tokio::time::timeout(GOODBYE, self.operators).await;
    }

    /// Stops without any grace.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Parts {
    /// Starts what carries messages between processes.
    fn connect(
        process: Process,
        addresses: Addresses,
        listener: TcpListener,
        socket: UdpSocket,
        inbox: Inbox,
        cut: watch::Receiver<Vec<HostId>>,
    ) -> Result<Self, Error> {
        let incarnation = incarnation();
        let (identity, identities) = watch::channel(Identity {
            cluster: cluster(&process.cluster),
            host: process.host,
            incarnation,
            address: addresses.peers,
            keys: secret::keys(&process.keys)?,
        });
        let metrics = Metrics::default();
        let stop = CancellationToken::new();
        let watching = secret::watch(process.keys.clone(), identity, stop.clone());
        tokio::spawn(watching);
        let switch = Switch::start(switch::Setup {
            identity: identities.clone(),
            listener,
            voters: process.voters.clone(),
            inbox: inbox.clone(),
            metrics: metrics.clone(),
            stop: stop.clone(),
            cut: cut.clone(),
        });
        let beacon = Beacon::start(beacon::Setup {
            identity: identities,
            socket,
            inbox,
            metrics: metrics.clone(),
            stop: stop.clone(),
            cut,
        });
        Ok(Self {
            process,
            incarnation,
            addresses,
            epoch: Instant::now(),
            stop,
            metrics,
            client: Arc::new(Http::default()),
            switch,
            beacon,
        })
    }

    /// Starts the session with the leader.
    fn session(
        &self,
        incoming: mpsc::UnboundedReceiver<Incoming>,
        host: watch::Receiver<Host>,
        events: mpsc::UnboundedSender<session::Event>,
    ) -> session::Handle {
        session::start(session::Setup {
            me: self.process.host,
            voters: self.process.voters.clone(),
            switch: self.switch.clone(),
            beacon: self.beacon.clone(),
            incoming,
            host: self.process.has(Role::Entry).then_some(host),
            events,
            stop: self.stop.clone(),
        })
    }

    /// This host as the leader knows it.
    fn host(&self) -> Host {
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
    fn control(
        &self,
        incoming: mpsc::UnboundedReceiver<Incoming>,
    ) -> Result<(mpsc::UnboundedSender<Told>, JoinHandle<()>), Error> {
        let folder = self.process.data.clone().context(DataSnafu)?;
        let disk = Disk::open(
            folder,
            Owner {
                cluster: cluster(&self.process.cluster),
                group: 0,
                member: self.process.host,
                incarnation: self.incarnation,
            },
        )?;
        let recovered = disk.recovered();
        let (tell, told) = mpsc::unbounded_channel();
        let report = tell.clone();
        let written = move |done| {
            let _ = report.send(Told::Written(done));
        };
        let what = "the disk's thread cannot be started";
        let writer = Writer::start(Box::new(disk), written).context(SystemSnafu { what })?;
        let voters: HashSet<HostId> = self.process.voters.iter().map(|peer| peer.host).collect();
        let me = self.process.host;
        let config = quorum::config::Config {
            peers: voters.iter().copied().filter(|peer| *peer != me).collect(),
            founder: voters.iter().min() == Some(&me),
            ..quorum::config::Config::default()
        };
        let now = self.epoch.elapsed();
        let core = quorum::core::Core::new(config, recovered, self.incarnation, now);
        let setup = control::Setup {
            me,
            voters,
            core,
            writer,
            leader: Leader::new(Box::new(Policy::default())),
            incoming,
            told,
            tell: tell.clone(),
            switch: self.switch.clone(),
            beacon: self.beacon.clone(),
            client: self.client.clone(),
            metrics: self.metrics.clone(),
            first: self.first()?,
            stop: self.stop.clone(),
            epoch: self.epoch,
            started: since_unix_epoch(),
        };
        Ok((tell, tokio::spawn(control::run(setup))))
    }

    /// The command that brings the first fleet settings in.
    fn first(&self) -> Result<Option<bytes::Bytes>, Error> {
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

    /// Starts the entry task and the listener of callers.
    fn entry(
        &self,
        session: &session::Handle,
        events: mpsc::UnboundedReceiver<session::Event>,
        shown: watch::Sender<Host>,
        listener: TcpListener,
    ) -> (mpsc::UnboundedSender<Input>, [JoinHandle<()>; 2]) {
        let host = self.host();
        let config = Config::new(host.host)
            .incarnation(self.incarnation)
            .place(host.region.clone(), host.zone.clone())
            .seed(self.incarnation ^ host.host);
        let (input, inputs) = mpsc::unbounded_channel();
        let (fleet, settings) = watch::channel(Arc::new(Fleet::default()));
        let close = CancellationToken::new();
        let setup = entry::Setup {
            core: Core::new(config, self.epoch.elapsed()),
            host,
            inputs,
            input: input.clone(),
            events,
            session: session.clone(),
            client: self.client.clone(),
            shown,
            fleet,
            metrics: self.metrics.clone(),
            close: close.clone(),
            drained: CancellationToken::new(),
            epoch: self.epoch,
        };
        let callers = Callers {
            inputs: input.clone(),
            fleet: settings,
            protocol: Arc::new(Json),
            metrics: self.metrics.clone(),
            next: AtomicU64::new(1),
        };
        let entry = tokio::spawn(entry::run(setup));
        let serving = tokio::spawn(server::run(listener, Arc::new(callers), close));
        (input, [entry, serving])
    }
}

/// Where messages go, and the receiving ends of the control and the session task.
fn inboxes(
    process: &Process,
) -> (
    Inbox,
    Option<mpsc::UnboundedReceiver<Incoming>>,
    mpsc::UnboundedReceiver<Incoming>,
) {
    let (session, session_inbox) = mpsc::unbounded_channel();
    let (control, control_inbox) = mpsc::unbounded_channel();
    let is_control = process.has(Role::Control);
    let inbox = Inbox {
        control: is_control.then_some(control),
        session,
    };
    (inbox, is_control.then_some(control_inbox), session_inbox)
}

/// The number of this life of the process: the time of its start, in microseconds.
fn incarnation() -> Incarnation {
    let micros = since_unix_epoch().as_micros();
    Incarnation::try_from(micros).unwrap_or(Incarnation::MAX)
}

/// The time of now, since the Unix epoch.
fn since_unix_epoch() -> Duration {
    let now = SystemTime::now();
    now.duration_since(UNIX_EPOCH).unwrap_or_default()
}

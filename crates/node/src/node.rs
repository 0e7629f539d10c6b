//! Starts and stops the tasks of one cornelhitch process.

use std::sync::OnceLock;
use std::time::Duration;

use cornelhitch_entry::drain::Phases;
use cornelhitch_settings::process::{ProcessSettings, Role};
use cornelhitch_types::id::HostId;
use snafu::ResultExt;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::control::TaskMessage;
use crate::entry::Input;
pub use crate::error::Error;
use crate::error::SystemSnafu;
use crate::metrics::Metrics;
use crate::peer_threads::PeerThreads;
use crate::process_memory::HeapSize;
use crate::protocols::Protocols;
use crate::secret::Token;
use crate::session;
use crate::socket::{Addresses, Sockets};
use crate::startup::{Peers, Startup, inboxes};

/// Grace period at shutdown for the last answers to operators.
const OPERATORS_GRACE: Duration = Duration::from_secs(2);

/// A running process.
#[derive(Debug)]
pub struct Node {
    /// The addresses on which it listens.
    pub addresses: Addresses,
    /// Hosts with which no traffic is exchanged, to simulate network partitions in tests.
    pub blocked_peers: watch::Sender<Vec<HostId>>,
    /// The metrics of this process.
    pub metrics: Metrics,
    drain: Option<mpsc::UnboundedSender<Input>>,
    stop: CancellationToken,
    /// The entry task and its listener, which end after the last request in flight.
    serving: Vec<JoinHandle<()>>,
    /// The control task, which ends when it is stopped and then releases its data folder.
    control: Option<JoinHandle<()>>,
    /// The control task's queue.
    control_sender: Option<mpsc::UnboundedSender<TaskMessage>>,
    /// The operators' listener, which answers until it is stopped.
    operators: JoinHandle<()>,
    /// Cancelled when an operator requests a graceful shutdown.
    drain_token: CancellationToken,
    /// The session with the leader.
    session: session::Handle,
    /// How long the phases of the shutdown may last.
    phases: Phases,
    /// When the graceful shutdown started.
    drained_at: OnceLock<Instant>,
    #[expect(dead_code, reason = "ends its threads when it is dropped")]
    peer_threads: PeerThreads,
}

impl Node {
    /// Starts a process with the project's own protocols on bound sockets.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or the data folder cannot be opened.
    pub fn start(process: ProcessSettings, sockets: Sockets) -> Result<Self, Error> {
        Self::start_with(process, sockets, Protocols::default())
    }

    /// Starts a process that uses the given protocols with targets, callers and operators.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or the data folder cannot be opened.
    pub fn start_with(
        process: ProcessSettings,
        sockets: Sockets,
        protocols: Protocols,
    ) -> Result<Self, Error> {
        Self::start_bounded(process, sockets, protocols, None)
    }

    /// As [`Node::start_with`], and bounds what the process allocates by the memory that its settings name, if
    /// `heap` counts it.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or the data folder cannot be opened.
    pub fn start_bounded(
        process: ProcessSettings,
        sockets: Sockets,
        protocols: Protocols,
        heap: Option<HeapSize>,
    ) -> Result<Self, Error> {
        let phases = Phases::from(&process.serving);
        let token = process.token.as_deref().map(Token::read).transpose()?;
        let (inbox, control_inbox, session_inbox) = inboxes(&process);
        let (blocked_peers, blocked) = watch::channel(Vec::new());
        let addresses = sockets.addresses();
        let what = "cannot read the local addresses of the listeners";
        let addresses = addresses.context(SystemSnafu { what })?;
        let peers = Peers {
            listener: sockets.peer_links,
            socket: sockets.datagrams,
            inbox,
            blocked,
        };
        let startup = Startup::connect(process, protocols, addresses, peers, heap)?;
        let (taker_sender, takers) = watch::channel(Vec::new());
        let control = control_inbox.map(|inbox| startup.start_control(inbox, taker_sender));
        let (control, control_task) = control.transpose()?.unzip();
        let (host_state, host) = watch::channel(startup.host());
        let (events, event_receiver) = mpsc::unbounded_channel();
        let session = startup.start_session(session_inbox, host, events);
        if let (Some(control), Some(listener)) = (&control, sockets.registry) {
            startup.start_registry(control.clone(), session.clone(), takers.clone(), listener);
        }
        if let Some(listener) = sockets.metrics {
            startup.start_exposition(listener);
        }
        let mut serving = Vec::new();
        let mut drain = None;
        if startup.process.has_role(Role::Entry) {
            let (input, tasks) =
                startup.start_entry(&session, event_receiver, host_state, sockets.callers);
            startup.start_pages(&input, sockets.pages);
            drain = Some(input);
            serving.extend(tasks);
        }
        let drain_token = CancellationToken::new();
        let control_sender = control.clone();
        let service =
            startup.operators(token, &session, drain.clone(), control, drain_token.clone());
        let operators = startup.start_operators(sockets.operators, service);
        Ok(Self {
            addresses,
            blocked_peers,
            metrics: startup.metrics,
            drain,
            stop: startup.stop,
            serving,
            control: control_task,
            control_sender,
            operators,
            drain_token,
            session,
            phases,
            drained_at: OnceLock::new(),
            peer_threads: startup.peer_threads,
        })
    }

    /// Applies the settings that may change while the process runs: the seeds.
    pub fn reload(&self, process: &ProcessSettings) {
        if process.seeds.is_empty() {
            return;
        }
        let seeds = process.seed_peers();
        if let Some(control) = &self.control_sender {
            let hosts = seeds.iter().map(|seed| seed.host).collect();
            let _ = control.send(TaskMessage::Seeds(hosts));
        }
        self.session.replace_seeds(seeds);
    }

    /// Starts the graceful shutdown: stops accepting callers and lets requests in flight finish.
    pub fn drain(&self) {
        self.drained_at.get_or_init(Instant::now);
        match &self.drain {
            Some(entry) => {
                let _ = entry.send(Input::Drain);
            }
            None => self.stop.cancel(),
        }
    }

    /// Waits until an operator requests a graceful shutdown.
    pub async fn drain_requested(&self) {
        self.drain_token.cancelled().await;
    }

    /// Waits until all requests in flight have ended, then stops the remaining tasks. A shutdown
    /// that has started ends within its grace period, whatever is still open then.
    pub async fn wait(self) {
        let phases = self.phases;
        let exit = self
            .drained_at
            .get()
            .map(|since| *since + phases.exits_after());
        let ended = self.end_tasks();
        let Some(exit) = exit else {
            return ended.await;
        };
        if timeout_at(exit, ended).await.is_err() {
            tracing::warn!(
                grace_ms = phases.grace.as_millis(),
                "connections or tasks are still open near the end of the grace period; ending"
            );
        }
    }

    /// Waits for the tasks that serve callers, then stops and awaits the others.
    async fn end_tasks(self) {
        for task in self.serving {
            let _ = task.await;
        }
        self.stop.cancel();
        if let Some(task) = self.control {
            let _ = task.await;
        }
        // An operator who keeps a connection open must not delay the shutdown further.
        let _ = tokio::time::timeout(OPERATORS_GRACE, self.operators).await;
    }

    /// Stops at once, without waiting for requests in flight.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

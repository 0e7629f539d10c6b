//! A fake model engine that survives simulated crashes by starting a new process.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cornelhitch_target::inbound::Leaving;
use cornelhitch_types::id::Incarnation;
use cornelhitch_types::target::{Announcement, Heartbeat, Holding};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::announcer::{self, Announcer, ReportSource};
use crate::counters::Counters;
use crate::fault::{Fault, FaultQueue};
use crate::process::{Process, Shared};
use crate::routes;
use crate::settings::{Builder, Settings};

/// How often a leaving engine checks whether its requests are done.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why an engine failed to start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No loopback port could be bound.
    #[snafu(display("cannot bind a loopback port for the engine: {source}"))]
    Bind {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A fake model engine on its own loopback port.
///
/// ```
/// use cornelhitch_standin::engine::Engine;
/// use tokio_util::sync::CancellationToken;
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let engine = Engine::builder().name("worker-1").start(CancellationToken::new()).await?;
/// assert_eq!(engine.incarnation(), 1);
/// engine.crash();
/// assert_eq!(engine.counters().crashes, 1);
/// engine.stop().await;
/// # Ok::<(), cornelhitch_standin::engine::Error>(())
/// # }).unwrap();
/// ```
#[derive(Debug, Clone)]
pub struct Engine {
    /// State that survives a crash.
    shared: Arc<Shared>,
    /// The current process, or the last one once the engine has stopped.
    process: watch::Receiver<Process>,
    /// Stops the engine.
    token: CancellationToken,
}

impl Engine {
    /// Returns a builder with default settings.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Binds a port and starts the first process.
    pub(crate) async fn start(settings: Settings, token: CancellationToken) -> Result<Self, Error> {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(loopback).await.context(BindSnafu)?;
        let address = listener.local_addr().context(BindSnafu)?;
        let entries = Mutex::new(settings.entries.clone());
        let shared = Arc::new(Shared {
            settings,
            faults: FaultQueue::default(),
            counters: Mutex::default(),
            entries,
        });
        let first = shared.settings.incarnation;
        let process = Process::new(Arc::clone(&shared), first, address, token.child_token());
        let (sender, receiver) = watch::channel(process);
        let supervisor = Supervisor {
            shared: Arc::clone(&shared),
            processes: sender,
            token: token.clone(),
        };
        tokio::spawn(supervisor.run(listener));
        Ok(Self {
            shared,
            process: receiver,
            token,
        })
    }

    /// Returns the address of the current process; a restart may change the port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.process.borrow().address
    }

    /// Returns the incarnation of the current process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.process.borrow().incarnation
    }

    /// Returns the counters since the engine was built, over all restarts.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.counters().clone()
    }

    /// Returns the inventory that the next heartbeat would list.
    #[must_use]
    pub fn inventory(&self) -> Vec<Holding> {
        let process = self.process.borrow().clone();
        let state = process.state();
        state.memory.inventory()
    }

    /// Returns the accelerator memory in use, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        let process = self.process.borrow().clone();
        let state = process.state();
        state.memory.used_bytes()
    }

    /// Replaces the entry hosts that the engine reports to, and sends a heartbeat at once.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        let mut list = self.shared.entries.lock();
        let list = list.as_deref_mut();
        if let Ok(list) = list {
            *list = entries;
        }
        self.process.borrow().heartbeat_now.notify_one();
    }

    /// Queues a fault, which is injected once at the next operation that it applies to.
    pub fn inject_fault(&self, fault: Fault) {
        self.shared.faults.add(fault);
    }

    /// Crashes the process; a new one with empty accelerators starts after the restart delay.
    pub fn crash(&self) {
        self.process.borrow().crash();
    }

    /// Waits for a process whose incarnation is larger than `after`, or for the engine's end.
    pub async fn wait_for_restart(&self, after: Incarnation) {
        let mut process = self.process.clone();
        // Fails only if the engine has stopped, and then no further process starts.
        drop(
            process
                .wait_for(|process| process.incarnation > after)
                .await,
        );
    }

    /// Announces that the engine leaves, serves on during the notice, drains and stops.
    pub async fn leave(&self, notice: Duration) {
        let process = self.process.borrow().clone();
        process.state().leaving = Some(Instant::now());
        process.heartbeat_now.notify_one();
        let leaving = Leaving {
            target: self.shared.settings.name.clone(),
            incarnation: process.incarnation,
        };
        announcer::leave(&process.entries(), &leaving).await;
        sleep(notice).await;
        while !process.state().requests.is_empty() && !process.token.is_cancelled() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.stop().await;
    }

    /// Stops the engine and waits until its supervisor has ended.
    pub async fn stop(&self) {
        self.token.cancel();
        let mut process = self.process.clone();
        while process.changed().await.is_ok() {}
    }
}

impl ReportSource for Process {
    fn announcement(&self) -> Announcement {
        Process::announcement(self)
    }

    fn heartbeat(&self) -> Heartbeat {
        Process::heartbeat(self)
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.shared.entries.lock();
        entries.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Starts a new process after each crash.
struct Supervisor {
    /// State that survives a crash.
    shared: Arc<Shared>,
    /// Publishes the current process.
    processes: watch::Sender<Process>,
    /// Stops the engine.
    token: CancellationToken,
}

impl Supervisor {
    /// Serves and restarts until the engine is stopped.
    async fn run(self, mut listener: TcpListener) {
        loop {
            let process = self.processes.borrow().clone();
            serve(&process, listener).await;
            let pause = sleep(self.shared.settings.restart_delay);
            if self.token.run_until_cancelled(pause).await.is_none() {
                return;
            }
            let Ok(next) = bind(process.address).await else {
                return;
            };
            listener = next;
            let address = listener.local_addr().unwrap_or(process.address);
            let shared = Arc::clone(&self.shared);
            let token = self.token.child_token();
            let next = Process::new(shared, process.incarnation + 1, address, token);
            self.processes.send_replace(next);
        }
    }
}

/// Binds the previous address, or another port if that one is taken.
async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Ok(listener),
        Err(_) => TcpListener::bind(SocketAddr::new(address.ip(), 0)).await,
    }
}

/// Announces a process and serves its connections until the process ends.
async fn serve(process: &Process, listener: TcpListener) {
    let interval = process.shared.settings.heartbeat_interval;
    let announcer = Announcer::new(
        Box::new(process.clone()),
        interval,
        Arc::clone(&process.heartbeat_now),
    );
    process.spawn(announcer.run());
    while let Some(accepted) = process.token.run_until_cancelled(listener.accept()).await {
        if let Ok((socket, _)) = accepted {
            process.spawn(serve_connection(process.clone(), socket));
        }
    }
}

/// Serves one connection until either side closes it.
async fn serve_connection(process: Process, socket: TcpStream) {
    // Best effort: with Nagle's algorithm on, responses are only delayed.
    drop(socket.set_nodelay(true));
    let service = service_fn(move |request| routes::handle(process.clone(), request));
    let builder = auto::Builder::new(TokioExecutor::new());
    let served = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection to the fake engine ended with an error");
    }
}

//! A stand-in for a model engine, over all its lives.

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

use crate::announcer::{self, Announcer, Source};
use crate::counters::Counters;
use crate::fault::{Fault, Faults};
use crate::life::{Life, Shared};
use crate::routes;
use crate::settings::{Builder, Settings};

/// How often a leaving engine looks whether its requests are done.
const POLL: Duration = Duration::from_millis(5);

/// Why an engine does not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No port can be had.
    #[snafu(display("no port for the engine: {source}"))]
    Bind {
        /// Why.
        source: std::io::Error,
    },
}

/// A model engine on a loopback port of its own.
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
    /// What outlives a crash.
    shared: Arc<Shared>,
    /// The life of now, or the last one.
    life: watch::Receiver<Life>,
    /// Ends it.
    token: CancellationToken,
}

impl Engine {
    /// An engine with settings.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Starts an engine.
    pub(crate) async fn start(settings: Settings, token: CancellationToken) -> Result<Self, Error> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any).await.context(BindSnafu)?;
        let address = listener.local_addr().context(BindSnafu)?;
        let entries = Mutex::new(settings.entries.clone());
        let shared = Arc::new(Shared {
            settings,
            faults: Faults::default(),
            counters: Mutex::default(),
            entries,
        });
        let first = shared.settings.incarnation;
        let life = Life::new(Arc::clone(&shared), first, address, token.child_token());
        let (sender, receiver) = watch::channel(life);
        let keeper = Keeper {
            shared: Arc::clone(&shared),
            lives: sender,
            token: token.clone(),
        };
        tokio::spawn(keeper.run(listener));
        Ok(Self {
            shared,
            life: receiver,
            token,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.life.borrow().address
    }

    /// Its life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.life.borrow().incarnation
    }

    /// What was done to it.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.counters().clone()
    }

    /// Its copies, as its next heartbeat would list them.
    #[must_use]
    pub fn inventory(&self) -> Vec<Holding> {
        let life = self.life.borrow().clone();
        let state = life.state();
        state.memory.inventory()
    }

    /// Accelerator memory in use, in bytes.
    #[must_use]
    pub fn used(&self) -> u64 {
        let life = self.life.borrow().clone();
        let state = life.state();
        state.memory.used()
    }

    /// Replaces the entry hosts that it tells.
    pub fn tell(&self, entries: Vec<SocketAddr>) {
        let mut list = self.shared.entries.lock();
        let list = list.as_deref_mut();
        if let Ok(list) = list {
            *list = entries;
        }
        self.life.borrow().news.notify_one();
    }

    /// Gives it a fault, which happens once at the next chance.
    pub fn fault(&self, fault: Fault) {
        self.shared.faults.add(fault);
    }

    /// Kills it; it restarts with empty accelerators as its settings say.
    pub fn crash(&self) {
        self.life.borrow().crash();
    }

    /// Waits for a life after the one of a number.
    pub async fn next_life(&self, after: Incarnation) {
        let mut life = self.life.clone();
        // The only error is that the engine has ended, and then no life follows.
        drop(life.wait_for(|life| life.incarnation > after).await);
    }

    /// Says that it leaves, goes on for the notice, ends its requests and stops.
    pub async fn leave(&self, notice: Duration) {
        let life = self.life.borrow().clone();
        life.state().leaving = Some(Instant::now());
        life.news.notify_one();
        let leaving = Leaving {
            target: self.shared.settings.name.clone(),
            incarnation: life.incarnation,
        };
        announcer::leave(&life.entries(), &leaving).await;
        sleep(notice).await;
        while !life.state().requests.is_empty() && !life.token.is_cancelled() {
            sleep(POLL).await;
        }
        self.stop().await;
    }

    /// Stops it for good.
    pub async fn stop(&self) {
        self.token.cancel();
        let mut life = self.life.clone();
        while life.changed().await.is_ok() {}
    }
}

impl Source for Life {
    fn announcement(&self) -> Announcement {
        Life::announcement(self)
    }

    fn heartbeat(&self) -> Heartbeat {
        Life::heartbeat(self)
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.shared.entries.lock();
        entries.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Starts one life after the other.
struct Keeper {
    /// What outlives a crash.
    shared: Arc<Shared>,
    /// Publishes the life of now.
    lives: watch::Sender<Life>,
    /// Ends the engine.
    token: CancellationToken,
}

impl Keeper {
    /// Goes on until the engine is stopped.
    async fn run(self, mut listener: TcpListener) {
        loop {
            let life = self.lives.borrow().clone();
            serve(&life, listener).await;
            let pause = sleep(self.shared.settings.restart);
            if self.token.run_until_cancelled(pause).await.is_none() {
                return;
            }
            let Ok(next) = bind(life.address).await else {
                return;
            };
            listener = next;
            let address = listener.local_addr().unwrap_or(life.address);
            let shared = Arc::clone(&self.shared);
            let token = self.token.child_token();
            let next = Life::new(shared, life.incarnation + 1, address, token);
            self.lives.send_replace(next);
        }
    }
}

/// A listener on the old address, or on another where that is taken.
async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Ok(listener),
        Err(_) => TcpListener::bind(SocketAddr::new(address.ip(), 0)).await,
    }
}

/// Announces a life and serves its connections until it ends.
async fn serve(life: &Life, listener: TcpListener) {
    let every = life.shared.settings.heartbeat;
    let announcer = Announcer::new(Box::new(life.clone()), every, Arc::clone(&life.news));
    life.spawn(announcer.run());
    while let Some(accepted) = life.token.run_until_cancelled(listener.accept()).await {
        if let Ok((socket, _)) = accepted {
            life.spawn(connection(life.clone(), socket));
        }
    }
}

/// Serves one connection.
async fn connection(life: Life, socket: TcpStream) {
    // Without it answers are only later, not wrong.
    drop(socket.set_nodelay(true));
    let service = service_fn(move |request| routes::handle(life.clone(), request));
    let builder = auto::Builder::new(TokioExecutor::new());
    let served = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "a connection to the stand-in ended");
    }
}

//! Starts, stops, restarts and partitions the hosts of a cluster on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cornelhitch_node::node::{self, Node};
use cornelhitch_node::socket::{self, Addresses, Sockets};
use cornelhitch_settings::process::{Peer, ProcessSettings, Protocol, Role, Serving};
use cornelhitch_types::id::HostId;
use rand::Rng;
use snafu::{ResultExt, Snafu};
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};

/// Worker threads of each host's runtime.
const RUNTIME_THREADS: usize = 2;

/// Range from which the first port of a host is drawn. It lies below the ephemeral ports.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Limit and interval of the attempts to bind the ports of a stopped host again.
const REBIND_ATTEMPTS: usize = 100;
const REBIND_INTERVAL: Duration = Duration::from_millis(50);

/// Bearer token of the operators' interface.
pub const OPERATOR_TOKEN: &str = "a token for operators";

/// Secret that the peers share.
const PEER_SECRET: &str = "a secret that all peers of the cluster share";

/// Error on starting a cluster or a host.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file could not be written or removed, or a runtime could not be created.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The I/O error.
        source: std::io::Error,
    },
    /// A socket could not be bound.
    #[snafu(display("{source}"), context(false))]
    Socket {
        /// The underlying error.
        source: socket::Error,
    },
    /// A node failed to start.
    #[snafu(display("host {host} failed to start: {source}"))]
    Start {
        /// Number of the host.
        host: HostId,
        /// The underlying error.
        source: node::Error,
    },
}

/// One host of a cluster.
pub struct Host {
    /// Settings of the process, with the ports that were bound.
    pub process: ProcessSettings,
    /// Addresses on which the host listens.
    pub addresses: Addresses,
    running: Option<RunningHost>,
}

/// A node and the runtime on which it runs.
pub struct RunningHost {
    runtime: Runtime,
    node: Node,
}

impl RunningHost {
    /// Shuts the host down gracefully and waits up to `limit` for the node to end.
    ///
    /// Returns whether the node ended within the limit. The runtime is shut down in both cases.
    #[must_use]
    pub fn drain(self, limit: Duration) -> bool {
        self.node.drain();
        let ended = async { tokio::time::timeout(limit, self.node.wait()).await };
        let ended = self.runtime.block_on(ended);
        self.runtime.shutdown_background();
        ended.is_ok()
    }
}

/// Hosts of one cluster. Dropping it kills them and removes their files.
pub struct Cluster {
    /// Hosts in the order of their numbers; the host at index 0 has number 1.
    pub hosts: Vec<Host>,
    directory: TempDir,
}

/// Size and initial settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Regions, assigned to the hosts round-robin.
    pub regions: Vec<String>,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of voters. The first hosts are the voters and have a data directory.
    pub voters: usize,
    /// Text of the fleet's settings from which the cluster is bootstrapped.
    pub fleet: String,
}

impl Cluster {
    /// Binds the sockets of all hosts and starts the hosts.
    ///
    /// # Errors
    /// Fails if a file cannot be written, a socket cannot be bound or a node does not start.
    pub fn start(spec: &ClusterSpec) -> Result<Self, Error> {
        let directory = TempDir::new()?;
        std::fs::write(directory.path().join("keys"), PEER_SECRET)?;
        std::fs::write(directory.path().join("token"), OPERATOR_TOKEN)?;
        std::fs::write(directory.path().join("fleet.yaml"), &spec.fleet)?;
        let mut bound = Vec::new();
        for index in 0..spec.hosts {
            let runtime = build_runtime(index as HostId + 1)?;
            let mut process = process_settings(&directory, spec, index);
            let sockets = runtime.block_on(bind_free_ports(&mut process))?;
            let addresses = sockets.addresses()?;
            bound.push((runtime, process, sockets, addresses));
        }
        let voters: Vec<Peer> = bound
            .iter()
            .take(spec.voters)
            .map(|(_, process, ..)| Peer {
                host: process.host,
                address: process.peers,
            })
            .collect();
        let mut hosts = Vec::new();
        for (runtime, mut process, sockets, addresses) in bound {
            process.voters.clone_from(&voters);
            let running = start_node(runtime, &process, sockets)?;
            hosts.push(Host {
                process,
                addresses,
                running: Some(running),
            });
        }
        Ok(Self { hosts, directory })
    }

    /// Starts another host with the control role, which is not listed as a voter in the settings
    /// of any host.
    ///
    /// Returns its index in [`Cluster::hosts`].
    ///
    /// # Errors
    /// Fails if a socket cannot be bound or the node does not start.
    pub fn add_spare_host(&mut self) -> Result<usize, Error> {
        let index = self.hosts.len();
        let mut process = self.hosts[0].process.clone();
        process.host = index as HostId + 1;
        process.roles = vec![Role::Entry, Role::Control];
        process.data = Some(self.data_dir(index));
        let runtime = build_runtime(process.host)?;
        let sockets = runtime.block_on(bind_free_ports(&mut process))?;
        let addresses = sockets.addresses()?;
        let running = start_node(runtime, &process, sockets)?;
        self.hosts.push(Host {
            process,
            addresses,
            running: Some(running),
        });
        Ok(index)
    }

    /// Returns the addresses for callers and targets of the running hosts.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter(|host| host.running.is_some());
        running.map(|host| host.addresses.callers).collect()
    }

    /// Returns the node of a host, or `None` if the host is stopped.
    #[must_use]
    pub fn node(&self, index: usize) -> Option<&Node> {
        let running = self.hosts[index].running.as_ref();
        running.map(|running| &running.node)
    }

    /// Stops a host without draining it, as if its process were killed.
    pub fn kill(&mut self, index: usize) {
        if let Some(running) = self.hosts[index].running.take() {
            running.node.stop();
            running.runtime.shutdown_background();
        }
    }

    /// Takes a running host out of the cluster, so that it can be drained without borrowing the
    /// cluster. Returns `None` if the host is stopped.
    pub fn take_running(&mut self, index: usize) -> Option<RunningHost> {
        self.hosts[index].running.take()
    }

    /// Starts a stopped host again with the same ports and data directory. Does nothing if the
    /// host is running.
    ///
    /// # Errors
    /// Fails if a socket cannot be bound or the node does not start.
    pub fn restart(&mut self, index: usize) -> Result<(), Error> {
        let host = &mut self.hosts[index];
        if host.running.is_some() {
            return Ok(());
        }
        let runtime = build_runtime(host.process.host)?;
        let sockets = runtime.block_on(rebind_ports(&host.process))?;
        host.running = Some(start_node(runtime, &host.process, sockets)?);
        Ok(())
    }

    /// Removes the data directory of a stopped host.
    ///
    /// # Errors
    /// Fails if the directory cannot be removed.
    pub fn remove_data_dir(&self, index: usize) -> Result<(), Error> {
        let directory = self.data_dir(index);
        if directory.exists() {
            std::fs::remove_dir_all(directory)?;
        }
        Ok(())
    }

    /// Blocks traffic between a host and the hosts in `from`, in both directions. Replaces the
    /// previous list; an empty one restores all connections.
    pub fn partition(&self, index: usize, from: &[HostId]) {
        if let Some(node) = self.node(index) {
            node.blocked_peers.send_replace(from.to_vec());
        }
    }

    fn data_dir(&self, index: usize) -> PathBuf {
        data_dir(&self.directory, index)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.hosts.len() {
            self.kill(index);
        }
    }
}

/// Returns the name of a host's runtime threads, for [`crate::process_stats::cpu_time`].
#[must_use]
pub fn thread_name(host: HostId) -> String {
    format!("host-{host}")
}

/// Returns the path of a host's data directory.
fn data_dir(directory: &TempDir, index: usize) -> PathBuf {
    directory.path().join(format!("data-{}", index + 1))
}

/// Returns the settings of a host's process, with port 0 until the sockets are bound.
fn process_settings(directory: &TempDir, spec: &ClusterSpec, index: usize) -> ProcessSettings {
    let region = &spec.regions[index % spec.regions.len()];
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let is_voter = index < spec.voters;
    let mut roles = vec![Role::Entry];
    roles.extend(is_voter.then_some(Role::Control));
    ProcessSettings {
        cluster: "trial".to_owned(),
        host: index as HostId + 1,
        region: region.as_str().into(),
        zone: format!("{region}-{}", index / spec.regions.len() + 1).into(),
        roles,
        callers: any_port,
        operators: any_port,
        peers: any_port,
        peers_listen: None,
        voters: Vec::new(),
        seeds: Vec::new(),
        bootstrap: false,
        losses: 1,
        registry: None,
        directory: None,
        ready: None,
        metrics: None,
        features: Vec::new(),
        serving: Serving::default(),
        protocol: Protocol::Own,
        zones: Vec::new(),
        file: None,
        trusted_network: false,
        data: is_voter.then(|| data_dir(directory, index)),
        keys: Some(directory.path().join("keys")),
        token: Some(directory.path().join("token")),
        fleet: Some(directory.path().join("fleet.yaml")),
        otlp: None,
    }
}

/// Returns a port below the ephemeral range that is free at the moment.
#[must_use]
pub fn free_port() -> u16 {
    loop {
        let port = rand::rng().random_range(PORT_RANGE);
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Binds the sockets of a host to random free ports below the ephemeral range and stores the
/// ports in `process`.
///
/// An ephemeral port could be taken by an outgoing connection while the host is stopped, so that
/// the host could not bind it again.
async fn bind_free_ports(process: &mut ProcessSettings) -> Result<Sockets, Error> {
    loop {
        let port = rand::rng().random_range(PORT_RANGE);
        process.callers.set_port(port);
        process.operators.set_port(port + 1);
        process.peers.set_port(port + 2);
        match Sockets::bind(process).await {
            Ok(sockets) => return Ok(sockets),
            Err(error) if error.is_taken() => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Binds the same ports again for a stopped host. Retries because the sockets stay open until the
/// old runtime has shut down.
async fn rebind_ports(process: &ProcessSettings) -> Result<Sockets, Error> {
    let mut attempts_left = REBIND_ATTEMPTS;
    loop {
        match Sockets::bind(process).await {
            Err(error) if error.is_taken() && attempts_left > 0 => attempts_left -= 1,
            bound => return Ok(bound?),
        }
        tokio::time::sleep(REBIND_INTERVAL).await;
    }
}

/// Creates the runtime of a host, with threads named after the host.
fn build_runtime(host: HostId) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .thread_name(thread_name(host))
        .enable_all()
        .build()
}

/// Starts a node on its runtime.
fn start_node(
    runtime: Runtime,
    process: &ProcessSettings,
    sockets: Sockets,
) -> Result<RunningHost, Error> {
    let started = {
        let _entered = runtime.enter();
        Node::start(process.clone(), sockets)
    };
    let host = process.host;
    let node = started.context(StartSnafu { host })?;
    Ok(RunningHost { runtime, node })
}

//! The daemon: reads its settings, runs a node, and shuts it down gracefully.

use std::net::SocketAddr;
use std::path::PathBuf;

use cornelhitch_node::node::{self, Node};
use cornelhitch_node::process_memory::HeapSize;
use cornelhitch_node::protocols::Protocols;
use cornelhitch_node::socket::{self, Sockets};
use cornelhitch_settings::process::{ProcessSettings, Protocol};
use getopts::{Matches, Options};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};

use crate::log::{self, Format};
use crate::telemetry;

/// Usage text at the top of `--help`.
const USAGE: &str = "Usage: cornelhitchd --settings FILE [options]

Runs one host of cornelhitch. SIGTERM and SIGINT shut it down gracefully: it is no
longer listed for callers, completes what is in progress, and exits.

Exit status: 0 after a graceful shutdown, 2 if the arguments or the settings are
invalid, 3 if an address or the data folder is not available, 1 for any other error.";

/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// Errors that end the daemon.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The arguments are invalid.
    #[snafu(display("{source}; see --help"))]
    Arguments {
        /// The error of the argument parser.
        source: getopts::Fail,
    },
    /// The value of an argument is invalid.
    #[snafu(display("--{name}: {value:?} is invalid: {detail}; see --help"))]
    InvalidValue {
        /// Name of the argument, without dashes.
        name: &'static str,
        /// The value as given.
        value: String,
        /// Why the value is invalid.
        detail: String,
    },
    /// The argument `--settings` is missing.
    #[snafu(display("--settings FILE is missing; see --help"))]
    MissingSettings,
    /// The settings file cannot be read.
    #[snafu(display("cannot read settings file {}: {source}", path.display()))]
    ReadSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The settings file is invalid.
    #[snafu(display("{}:\n{source}", path.display()))]
    InvalidSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// All faults, each on a line of its own.
        source: cornelhitch_settings::error::Error,
    },
    /// A socket cannot be bound.
    #[snafu(display("{source}"), context(false))]
    Socket {
        /// The address and the I/O error.
        source: socket::Error,
    },
    /// The node fails to start.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// The error of the node.
        source: node::Error,
    },
    /// The metrics exporter cannot be created.
    #[snafu(display("cannot export metrics over OTLP: {source}"), context(false))]
    Telemetry {
        /// The error of the exporter.
        source: opentelemetry_otlp::ExporterBuildError,
    },
    /// The operating system reports an error.
    #[snafu(display("{source}"), context(false))]
    System {
        /// The I/O error.
        source: std::io::Error,
    },
}

impl Error {
    /// Returns the exit status for the error: 2 for arguments and settings, 3 for addresses and the
    /// data folder, 1 for anything else.
    #[must_use]
    pub fn status(&self) -> u8 {
        match self {
            Self::Arguments { .. }
            | Self::InvalidValue { .. }
            | Self::MissingSettings
            | Self::ReadSettings { .. }
            | Self::InvalidSettings { .. } => 2,
            Self::Socket { .. } | Self::Node { .. } => 3,
            Self::Telemetry { .. } | Self::System { .. } => 1,
        }
    }
}

/// What the arguments request.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Print a text and exit.
    Print(String),
    /// Run a host with these settings.
    Run(Box<ProcessSettings>),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file of this process", "FILE");
    options.optopt(
        "",
        "callers",
        "address for callers; overrides the settings",
        "ADDRESS",
    );
    options.optopt(
        "",
        "operators",
        "address for operators; overrides the settings",
        "ADDRESS",
    );
    options.optopt(
        "",
        "peers",
        "address for peers; overrides the settings",
        "ADDRESS",
    );
    options.optopt("", "data", "data folder; overrides the settings", "FOLDER");
    options.optopt("", "log", "filter for log output (info)", "FILTER");
    options.optopt("", "log-format", "text or json (text)", "FORMAT");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Parses the arguments, reads the settings file that they name, and initializes logging.
///
/// # Errors
/// An argument or the settings file is invalid, or the file cannot be read.
pub fn parse_arguments(arguments: &[String]) -> Result<Command, Error> {
    let options = options();
    let matches = options.parse(arguments).context(ArgumentsSnafu)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        let version = concat!("cornelhitchd ", env!("CARGO_PKG_VERSION"), "\n");
        return Ok(Command::Print(version.to_owned()));
    }
    let format = parse_value::<Format>(&matches, "log-format")?.unwrap_or_default();
    let filter = matches.opt_str("log").unwrap_or_else(|| "info".to_owned());
    log::init(format, &filter).map_err(|error| Error::InvalidValue {
        name: "log",
        value: filter,
        detail: error.to_string(),
    })?;
    let path = PathBuf::from(matches.opt_str("settings").context(MissingSettingsSnafu)?);
    let text = std::fs::read_to_string(&path).context(ReadSettingsSnafu { path: &path })?;
    let process: ProcessSettings = text.parse().context(InvalidSettingsSnafu { path: &path })?;
    let process = ProcessSettings {
        file: Some(path),
        ..process
    };
    Ok(Command::Run(Box::new(override_settings(
        process, &matches,
    )?)))
}

/// Overrides settings with the addresses and the data folder given as arguments.
fn override_settings(
    mut process: ProcessSettings,
    matches: &Matches,
) -> Result<ProcessSettings, Error> {
    let callers = parse_value::<SocketAddr>(matches, "callers")?;
    let operators = parse_value::<SocketAddr>(matches, "operators")?;
    let peers = parse_value::<SocketAddr>(matches, "peers")?;
    process.callers = callers.unwrap_or(process.callers);
    process.operators = operators.unwrap_or(process.operators);
    process.peers = peers.unwrap_or(process.peers);
    process.data = matches.opt_str("data").map(PathBuf::from).or(process.data);
    Ok(process)
}

/// Parses the value of an argument; `None` if the argument is absent.
fn parse_value<T>(matches: &Matches, name: &'static str) -> Result<Option<T>, Error>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let Some(value) = matches.opt_str(name) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(error) => {
            let detail = error.to_string();
            InvalidValueSnafu {
                name,
                value,
                detail,
            }
            .fail()
        }
    }
}

/// Reloads the settings file after SIGHUP and whenever it has changed; never returns.
///
/// If the file cannot be read or is invalid, the current settings stay in force.
async fn reload_on_change(node: &Node, file: Option<PathBuf>) {
    let Some(path) = file else {
        return std::future::pending().await;
    };
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        tracing::error!("cannot install SIGHUP handler; settings file is not reloaded");
        return std::future::pending().await;
    };
    let mut last_text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = hangup.recv() => tracing::info!("received SIGHUP, reading the settings file"),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match std::fs::read_to_string(&path) {
            Ok(text) if text == last_text => {}
            Ok(text) => {
                match text.parse::<ProcessSettings>() {
                    Ok(process) => {
                        tracing::info!(seeds = ?process.seeds, "settings reloaded");
                        node.reload(&process);
                    }
                    Err(error) => tracing::warn!(%error, "invalid settings file ignored"),
                }
                last_text = text;
            }
            Err(error) => tracing::warn!(%error, "unreadable settings file ignored"),
        }
    }
}

/// Runs a host until it has shut down gracefully. What the process allocates is bounded by the memory that its
/// settings name, if `heap` counts it.
///
/// # Errors
/// The host fails to start.
pub async fn run(mut process: ProcessSettings, heap: Option<HeapSize>) -> Result<(), Error> {
    let metrics_provider = match &process.otlp {
        Some(endpoint) => Some(telemetry::export(endpoint)?),
        None => None,
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let sockets = Sockets::bind(&process).await?;
    let protocols = match process.protocol {
        Protocol::Own => Protocols::default(),
        Protocol::Platform => {
            cornelhitch_platform::feature::apply(&mut process);
            cornelhitch_platform::protocols(process.host)
        }
    };
    let file = process.file.clone();
    tracing::info!(
        host = process.host, zone = &*process.zone, roles = ?process.roles, seeds = ?process.seeds,
        bootstrap = process.bootstrap, routing = %process.serving.routing, "starting"
    );
    let node = Node::start_bounded(process, sockets, protocols, heap)?;
    tracing::info!(addresses = ?node.addresses, "started");
    tokio::spawn(log::report_dropped_lines());
    if metrics_provider.is_none() {
        tokio::spawn(telemetry::log_metrics(node.metrics.clone()));
    }
    tokio::select! {
        () = reload_on_change(&node, file) => {}
        _ = terminate.recv() => tracing::info!("received SIGTERM, shutting down"),
        _ = interrupt.recv() => tracing::info!("received SIGINT, shutting down"),
        () = node.drain_requested() => tracing::info!("shutdown requested by an operator"),
    }
    node.drain();
    node.wait().await;
    if let Some(provider) = metrics_provider {
        // The exporter waits for its own thread, which would block the runtime.
        let _ = tokio::task::spawn_blocking(move || provider.shutdown()).await;
    }
    tracing::info!("ended");
    log::flush();
    Ok(())
}

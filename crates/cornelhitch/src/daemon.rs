//! The daemon: reads its settings, starts the node, and ends it gracefully.

use std::net::SocketAddr;
use std::path::PathBuf;

use cornelhitch_node::dialect::Dialect;
use cornelhitch_node::node::{self, Node};
use cornelhitch_node::socket::{self, Sockets};
use cornelhitch_settings::process::{Process, Protocol};
use getopts::{Matches, Options};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};

use crate::log::{self, Format};
use crate::telemetry;

/// What stands at the top of `--help`.
const BRIEF: &str = "Usage: cornelhitchd --settings FILE [options]

Runs one host of cornelhitch. SIGTERM and SIGINT shut it down gracefully: it leaves
the answers to callers, ends what is in progress, and exits.

Exit status: 0 after a graceful shutdown, 2 when the arguments or the settings are
faulty, 3 when an address or the data folder cannot be had, 1 for anything else.";

/// Time between two looks at the settings file.
const LOOK: std::time::Duration = std::time::Duration::from_secs(2);

/// Why the daemon ends.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The arguments are faulty.
    #[snafu(display("{source}; see --help"))]
    Arguments {
        /// What is wrong.
        source: getopts::Fail,
    },
    /// An argument has a value that cannot be.
    #[snafu(display("--{name}: {value:?} cannot be read: {detail}; see --help"))]
    Value {
        /// The argument.
        name: &'static str,
        /// Its value.
        value: String,
        /// What is wrong.
        detail: String,
    },
    /// No settings were named.
    #[snafu(display("--settings FILE is missing; see --help"))]
    Settings,
    /// The settings cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The settings are faulty.
    #[snafu(display("{}:\n{source}", path.display()))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// What is wrong, a line a fault.
        source: cornelhitch_settings::error::Error,
    },
    /// An address cannot be had.
    #[snafu(display("{source}"), context(false))]
    Socket {
        /// Why.
        source: socket::Error,
    },
    /// The node does not start.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// Why.
        source: node::Error,
    },
    /// Metrics cannot be exported.
    #[snafu(display("otlp: {source}"), context(false))]
    Telemetry {
        /// Why.
        source: opentelemetry_otlp::ExporterBuildError,
    },
    /// The system refused something.
    #[snafu(display("{source}"), context(false))]
    System {
        /// Why.
        source: std::io::Error,
    },
}

impl Error {
    /// The exit status that the error stands for.
    #[must_use]
    pub fn status(&self) -> u8 {
        match self {
            Self::Arguments { .. }
            | Self::Value { .. }
            | Self::Settings
            | Self::Read { .. }
            | Self::Faulty { .. } => 2,
            Self::Socket { .. } | Self::Node { .. } => 3,
            Self::Telemetry { .. } | Self::System { .. } => 1,
        }
    }
}

/// What the arguments ask for.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Print a text and end.
    Print(String),
    /// Run a host.
    Run(Box<Process>),
}

/// The options of the daemon.
fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings of this process", "FILE");
    options.optopt(
        "",
        "callers",
        "over the settings: where callers connect",
        "ADDRESS",
    );
    options.optopt(
        "",
        "operators",
        "over the settings: where operators connect",
        "ADDRESS",
    );
    options.optopt(
        "",
        "peers",
        "over the settings: where peers connect",
        "ADDRESS",
    );
    options.optopt("", "data", "over the settings: the data folder", "FOLDER");
    options.optopt("", "log", "what is logged (info)", "FILTER");
    options.optopt("", "log-format", "text or json (text)", "FORMAT");
    options.optflag("h", "help", "print this");
    options.optflag("V", "version", "print the version");
    options
}

/// Reads the arguments and the settings that they name, and starts the log.
///
/// # Errors
/// An argument or the settings are faulty.
pub fn command(arguments: &[String]) -> Result<Command, Error> {
    let options = options();
    let matches = options.parse(arguments).context(ArgumentsSnafu)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(options.usage(BRIEF)));
    }
    if matches.opt_present("version") {
        let version = concat!("cornelhitchd ", env!("CARGO_PKG_VERSION"), "\n");
        return Ok(Command::Print(version.to_owned()));
    }
    let format = value::<Format>(&matches, "log-format")?.unwrap_or_default();
    let filter = matches.opt_str("log").unwrap_or_else(|| "info".to_owned());
    log::start(format, &filter).map_err(|error| Error::Value {
        name: "log",
        value: filter,
        detail: error.to_string(),
    })?;
    let path = PathBuf::from(matches.opt_str("settings").context(SettingsSnafu)?);
    let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    let process: Process = text.parse().context(FaultySnafu { path: &path })?;
    let process = Process {
        file: Some(path),
        ..process
    };
    Ok(Command::Run(Box::new(over(process, &matches)?)))
}

/// The settings with the arguments over them.
fn over(mut process: Process, matches: &Matches) -> Result<Process, Error> {
    let callers = value::<SocketAddr>(matches, "callers")?;
    let operators = value::<SocketAddr>(matches, "operators")?;
    let peers = value::<SocketAddr>(matches, "peers")?;
    process.callers = callers.unwrap_or(process.callers);
    process.operators = operators.unwrap_or(process.operators);
    process.peers = peers.unwrap_or(process.peers);
    process.data = matches.opt_str("data").map(PathBuf::from).or(process.data);
    Ok(process)
}

/// The value of an argument.
fn value<T>(matches: &Matches, name: &'static str) -> Result<Option<T>, Error>
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
            ValueSnafu {
                name,
                value,
                detail,
            }
            .fail()
        }
    }
}

/// Takes over changes of the settings file, after a signal and without; it never ends.
///
/// A file that cannot be read, or is faulty, leaves the settings as they are.
async fn reload(node: &Node, file: Option<PathBuf>) {
    let Some(path) = file else {
        return std::future::pending().await;
    };
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        tracing::error!("SIGHUP cannot be taken: the settings are not read again");
        return std::future::pending().await;
    };
    let mut known = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = hangup.recv() => tracing::info!("SIGHUP: reading the settings"),
            () = tokio::time::sleep(LOOK) => {}
        }
        match std::fs::read_to_string(&path) {
            Ok(text) if text == known => {}
            Ok(text) => {
                match text.parse::<Process>() {
                    Ok(process) => {
                        tracing::info!(seeds = ?process.seeds, "the settings were reloaded");
                        node.reload(&process);
                    }
                    Err(error) => tracing::warn!(%error, "the settings stay as they are"),
                }
                known = text;
            }
            Err(error) => tracing::warn!(%error, "the settings stay as they are"),
        }
    }
}

/// Runs a host until it has shut down.
///
/// # Errors
/// The host does not start.
pub async fn run(process: Process) -> Result<(), Error> {
    let exporting = match &process.otlp {
        Some(endpoint) => Some(telemetry::export(endpoint)?),
        None => None,
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let sockets = Sockets::bind(&process).await?;
    let dialect = match process.protocol {
        Protocol::Own => Dialect::default(),
        Protocol::Platform => cornelhitch_platform::dialect(process.host),
    };
    let file = process.file.clone();
    tracing::info!(
        host = process.host, zone = &*process.zone, roles = ?process.roles, seeds = ?process.seeds,
        bootstrap = process.bootstrap, "starting"
    );
    let node = Node::speak(process, sockets, dialect)?;
    tracing::info!(addresses = ?node.addresses, "started");
    tokio::spawn(log::watch());
    if exporting.is_none() {
        tokio::spawn(telemetry::lines(node.metrics.clone()));
    }
    tokio::select! {
        () = reload(&node, file) => {}
        _ = terminate.recv() => tracing::info!("SIGTERM: shutting down"),
        _ = interrupt.recv() => tracing::info!("SIGINT: shutting down"),
        () = node.asked() => tracing::info!("an operator asked: shutting down"),
    }
    node.drain();
    node.ended().await;
    if let Some(provider) = exporting {
        // The exporter's own thread waits for it, so this may not run on the runtime.
        let _ = tokio::task::spawn_blocking(move || provider.shutdown()).await;
    }
    tracing::info!("ended");
    log::finish();
    Ok(())
}

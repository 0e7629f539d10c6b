//! Runs fake workers and a fake plain service, for trying a daemon by hand.
//!
//! `cargo run --release -p cornelhitch-standin --example targets -- --entry 127.0.0.1:8080`
//! runs until it is interrupted; the workers then drain and leave.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::service::Service;
use cornelhitch_standin::store::Store;
use getopts::{Matches, Options};
use tokio_util::sync::CancellationToken;

/// Default number of workers.
const DEFAULT_WORKERS: usize = 4;

/// Default accelerator memory of a worker.
const DEFAULT_MEMORY_GIB: u64 = 80;

/// How long a leaving worker still accepts requests.
const LEAVE_NOTICE: Duration = Duration::from_secs(5);

/// Exit code for a wrong command line and for targets that fail to start.
const EXIT_USAGE: u8 = 2;

/// Parsed command line.
struct Config {
    /// Entry hosts to announce to.
    entries: Vec<SocketAddr>,
    /// Number of workers.
    workers: usize,
    /// Accelerator memory of each worker, in bytes.
    memory: u64,
    /// Region of all targets.
    region: String,
    /// Availability zone of all targets.
    zone: String,
    /// Name of the plain service, if one is to run.
    service: Option<String>,
    /// Text in a request body that crashes a worker.
    poison: Option<String>,
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return report_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage("Usage: targets --entry ADDRESS [options]")
        );
        return ExitCode::SUCCESS;
    }
    let config = match parse_config(&matches) {
        Ok(config) => config,
        Err(error) => return report_error(&error),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let run = runtime.and_then(|runtime| runtime.block_on(run(config)));
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error.to_string()),
    }
}

/// Defines the command line options.
fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "e",
        "entry",
        "an entry host to announce to; as often as wanted",
        "ADDRESS",
    );
    options.optopt("n", "workers", "number of workers (4)", "COUNT");
    options.optopt(
        "m",
        "memory",
        "accelerator memory of each worker (80)",
        "GIB",
    );
    options.optopt("r", "region", "region of the workers (perth-a)", "NAME");
    options.optopt(
        "z",
        "zone",
        "availability zone of the workers (perth-a-1)",
        "NAME",
    );
    options.optopt("s", "service", "a plain service to run as well", "NAME");
    options.optopt(
        "p",
        "poison",
        "text in a body that crashes a worker",
        "TEXT",
    );
    options.optflag("h", "help", "this text");
    options
}

/// Parses the command line; the error names the invalid option.
fn parse_config(matches: &Matches) -> Result<Config, String> {
    let entries = matches.opt_strs("entry");
    let entries = entries.iter().map(|text| {
        let address = text.parse();
        address.map_err(|_| format!("--entry {text}: not an IP address with a port"))
    });
    let gib: u64 = parse_number(matches, "memory", DEFAULT_MEMORY_GIB)?;
    let memory = gib
        .checked_mul(1 << 30)
        .ok_or("--memory: size in bytes does not fit into 64 bits")?;
    let text =
        |name: &str, default: &str| matches.opt_str(name).unwrap_or_else(|| default.to_owned());
    Ok(Config {
        entries: entries.collect::<Result<_, _>>()?,
        workers: parse_number(matches, "workers", DEFAULT_WORKERS)?,
        memory,
        region: text("region", "perth-a"),
        zone: text("zone", "perth-a-1"),
        service: matches.opt_str("service"),
        poison: matches.opt_str("poison"),
    })
}

/// Parses an option as a number, or returns the default if it is not given.
fn parse_number<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
    default: T,
) -> Result<T, String> {
    let text = matches.opt_str(name);
    text.map_or(Ok(default), |text| {
        let parsed = text.parse();
        parsed.map_err(|_| format!("--{name} {text}: not a whole number"))
    })
}

/// Runs the targets until interrupted; then the workers leave.
async fn run(config: Config) -> std::io::Result<()> {
    let store = Store::builder().build();
    let mut workers = Vec::new();
    for index in 1..=config.workers {
        let name = format!("{}-worker-{index}", config.zone);
        let builder = Engine::builder()
            .name(name.as_str())
            .incarnation(clock_incarnation())
            .region(config.region.as_str())
            .zone(config.zone.as_str())
            .memory(config.memory)
            .store(store.clone())
            .poison(config.poison.clone().map(Into::into))
            .entries(config.entries.clone());
        let worker = builder.start(CancellationToken::new()).await;
        let worker = worker.map_err(std::io::Error::other)?;
        println!("{name} listens on {}", worker.address());
        workers.push(worker);
    }
    if let Some(name) = config.service {
        let service = Service::builder()
            .name(format!("{name}-1"))
            .service(name.as_str());
        let service = service
            .region(config.region)
            .zone(config.zone)
            .incarnation(clock_incarnation());
        let service = service.entries(config.entries);
        let service = service.start(CancellationToken::new()).await?;
        println!("{name}-1 listens on {}", service.address());
    }
    tokio::signal::ctrl_c().await?;
    println!("leaving");
    let leaving = workers.iter().map(|worker| worker.leave(LEAVE_NOTICE));
    futures_util::future::join_all(leaving).await;
    Ok(())
}

/// Returns an incarnation larger than that of an earlier run: the Unix time in seconds.
fn clock_incarnation() -> u64 {
    let elapsed = std::time::UNIX_EPOCH.elapsed();
    elapsed.map_or(1, |elapsed| elapsed.as_secs())
}

/// Prints an error and returns the exit code.
fn report_error(error: &str) -> ExitCode {
    eprintln!("targets: {error}");
    ExitCode::from(EXIT_USAGE)
}

//! Stand-in workers and a plain service, for trying a daemon by hand.
//!
//! `cargo run --release -p cornelhitch-standin --example targets -- --entry 127.0.0.1:8080`
//! runs until it is interrupted.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::service::Service;
use cornelhitch_standin::store::Store;
use getopts::{Matches, Options};
use tokio_util::sync::CancellationToken;

/// Workers where none are asked for.
const WORKERS: usize = 4;

/// Accelerator memory of a worker where none is asked for, in gibibytes.
const MEMORY_GIB: u64 = 80;

/// How long a leaving worker still takes requests.
const NOTICE: Duration = Duration::from_secs(5);

/// The exit code for a wrong command line.
const USAGE: u8 = 2;

/// What the command line asks for.
struct Wanted {
    /// Entry hosts.
    entries: Vec<SocketAddr>,
    /// How many workers.
    workers: usize,
    /// Accelerator memory of each, in bytes.
    memory: u64,
    /// The region.
    region: String,
    /// The availability zone.
    zone: String,
    /// The plain service.
    service: Option<String>,
    /// Text in a body that crashes a worker.
    poison: Option<String>,
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return fail(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage("Usage: targets --entry ADDRESS [options]")
        );
        return ExitCode::SUCCESS;
    }
    let wanted = match wanted(&matches) {
        Ok(wanted) => wanted,
        Err(error) => return fail(&error),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let run = runtime.and_then(|runtime| runtime.block_on(run(wanted)));
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

/// The options of the command line.
fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "e",
        "entry",
        "an entry host to announce to; as often as wanted",
        "ADDRESS",
    );
    options.optopt("n", "workers", "how many workers, 4 unless said", "COUNT");
    options.optopt(
        "m",
        "memory",
        "accelerator memory of each, 80 unless said",
        "GIB",
    );
    options.optopt("r", "region", "their region, perth-a unless said", "NAME");
    options.optopt(
        "z",
        "zone",
        "their availability zone, perth-a-1 unless said",
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

/// What the command line asks for, or what is wrong with it.
fn wanted(matches: &Matches) -> Result<Wanted, String> {
    let entries = matches.opt_strs("entry");
    let entries = entries.iter().map(|text| {
        let address = text.parse();
        address.map_err(|_| format!("--entry {text}: not an IP address with a port"))
    });
    let gib: u64 = number(matches, "memory", MEMORY_GIB)?;
    let memory = gib.checked_mul(1 << 30).ok_or("--memory: too much")?;
    let text = |name: &str, usual: &str| matches.opt_str(name).unwrap_or_else(|| usual.to_owned());
    Ok(Wanted {
        entries: entries.collect::<Result<_, _>>()?,
        workers: number(matches, "workers", WORKERS)?,
        memory,
        region: text("region", "perth-a"),
        zone: text("zone", "perth-a-1"),
        service: matches.opt_str("service"),
        poison: matches.opt_str("poison"),
    })
}

/// The number of an option.
fn number<T: std::str::FromStr>(matches: &Matches, name: &str, usual: T) -> Result<T, String> {
    let text = matches.opt_str(name);
    text.map_or(Ok(usual), |text| {
        let number = text.parse();
        number.map_err(|_| format!("--{name} {text}: not a whole number"))
    })
}

/// Runs the targets until an interrupt; then the workers leave.
async fn run(wanted: Wanted) -> std::io::Result<()> {
    let store = Store::builder().build();
    let mut workers = Vec::new();
    for at in 1..=wanted.workers {
        let name = format!("{}-worker-{at}", wanted.zone);
        let builder = Engine::builder()
            .name(name.as_str())
            .incarnation(life())
            .region(wanted.region.as_str())
            .zone(wanted.zone.as_str())
            .memory(wanted.memory)
            .store(store.clone())
            .poison(wanted.poison.clone().map(Into::into))
            .entries(wanted.entries.clone());
        let worker = builder.start(CancellationToken::new()).await;
        let worker = worker.map_err(std::io::Error::other)?;
        println!("{name} listens on {}", worker.address());
        workers.push(worker);
    }
    if let Some(name) = wanted.service {
        let service = Service::builder()
            .name(format!("{name}-1"))
            .runs(name.as_str());
        let service = service
            .region(wanted.region)
            .zone(wanted.zone)
            .incarnation(life());
        let service = service.entries(wanted.entries);
        let service = service.start(CancellationToken::new()).await?;
        println!("{name}-1 listens on {}", service.address());
    }
    tokio::signal::ctrl_c().await?;
    println!("leaving");
    let leaving = workers.iter().map(|worker| worker.leave(NOTICE));
    futures_util::future::join_all(leaving).await;
    Ok(())
}

/// A number for this life that is larger than that of an earlier run: the time in seconds.
fn life() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed();
    since.map_or(1, |since| since.as_secs())
}

/// Tells an error.
fn fail(error: &str) -> ExitCode {
    eprintln!("targets: {error}");
    ExitCode::from(USAGE)
}

//! 200 first requests for one idle model through nine entry hosts, several times.
//!
//! `cargo run --release -p cornelhitch-trial --example burst [RUNS]`; each run is a new cluster.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::{Ask, Caller, End};
use cornelhitch_trial::cluster::{self, Cluster};
use cornelhitch_trial::{meter, operator, workers};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::Stage;
use futures_util::future::join_all;
use tokio_util::sync::CancellationToken;

/// Runs where none are asked for.
const RUNS: usize = 5;

/// Entry hosts, of which the first three vote.
const HOSTS: usize = 9;

/// Requests of the burst.
const REQUESTS: usize = 200;

/// Tokens of an answer.
const TOKENS: u64 = 4;

/// How long the cluster settles before the burst.
const SETTLE: Duration = Duration::from_secs(4);

/// How often the workers and the leader are looked at.
const LOOK: Duration = Duration::from_millis(5);

/// The bare load of the model: 4 GiB at 100 ms each.
const LOAD: Duration = Duration::from_millis(400);

/// The fleet's settings.
const FLEET: &str = "
loading: { starts-per-second: 4.0, concurrency: 4, remote-ms-per-gib: 100 }
placing: { replicas: 2, concurrency: 16 }
regions: [{ name: north }, { name: middle }, { name: south }]
models:
  - { name: summary, bytes: 4294967296 }
";

/// The model.
const MODEL: &str = "summary";

/// When the workers were first seen at a step, after the burst began.
#[derive(Debug, Default)]
struct Seen {
    loading: Option<Duration>,
    ready: Option<Duration>,
}

/// What came of one run.
struct Outcome {
    ends: Vec<End>,
    seen: Seen,
    decided: u64,
    loaded: u32,
}

fn main() -> ExitCode {
    let wanted = std::env::args().nth(1);
    let runs = wanted.and_then(|runs| runs.parse().ok()).unwrap_or(RUNS);
    println!(
        "bare load {} ms; times in ms after the burst began",
        LOAD.as_millis()
    );
    println!(
        "| run | answered | refused | lost or wrong | decided | loaded | load begins | load ends | \
         first token: first | p50 | last | added | load average |"
    );
    println!("|{}", " --- |".repeat(13));
    let mut kept = true;
    for number in 1..=runs {
        match run() {
            Ok(outcome) => kept &= outcome.print(number),
            Err(error) => {
                println!("run {number} did not run: {error}");
                kept = false;
            }
        }
    }
    if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// One run on a new cluster.
fn run() -> Result<Outcome, Box<dyn std::error::Error>> {
    let regions = ["north", "middle", "south"].map(str::to_owned).to_vec();
    let cluster = Cluster::start(&cluster::Plan {
        regions: regions.clone(),
        hosts: HOSTS,
        voters: 3,
        fleet: FLEET.to_owned(),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stop = CancellationToken::new();
    let plan = workers::Plan {
        regions,
        workers: 6,
        memory: 8 << 30,
        token: Duration::from_millis(2),
        store: Store::builder().gib(Duration::from_millis(100)).build(),
    };
    let outcome = runtime.block_on(async {
        let hosts = cluster.callers();
        let engines = workers::start(&plan, &hosts, &stop).await?;
        tokio::time::sleep(SETTLE).await;
        let started = Instant::now();
        let asks = (0..REQUESTS).map(|number| async move {
            let caller = Caller::new(format!("caller-{number}"));
            let host = hosts_at(number);
            (caller, host, ask(number))
        });
        let asks = join_all(asks).await;
        let burst = asks
            .iter()
            .map(|(caller, host, ask)| caller.ask(hosts[*host], ask));
        let (ends, seen) = tokio::join!(join_all(burst), look(&engines, started));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let decided = operator::decided(&cluster).await;
        Ok::<_, Box<dyn std::error::Error>>(Outcome {
            ends,
            seen,
            decided: decided.get(MODEL).copied().unwrap_or_default(),
            loaded: engines
                .iter()
                .map(|engine| engine.counters().loads_of(MODEL))
                .sum(),
        })
    });
    stop.cancel();
    runtime.shutdown_background();
    outcome
}

/// The host that a request goes to.
fn hosts_at(number: usize) -> usize {
    number % HOSTS
}

/// One request.
fn ask(number: usize) -> Ask {
    Ask {
        model: Reference::base(MODEL),
        prompt: format!("the {number}th item"),
        tokens: TOKENS,
        stream: true,
        class: None,
        deadline: None,
    }
}

/// Looks at the workers until one is ready or for ten seconds.
async fn look(engines: &[Engine], started: Instant) -> Seen {
    let mut seen = Seen::default();
    while seen.ready.is_none() && started.elapsed() < Duration::from_secs(10) {
        for engine in engines {
            for holding in engine.inventory() {
                if holding.stage >= Stage::Loading {
                    seen.loading.get_or_insert_with(|| started.elapsed());
                }
                if holding.stage == Stage::Ready {
                    seen.ready.get_or_insert_with(|| started.elapsed());
                }
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    seen
}

impl Outcome {
    /// Prints a row; tells whether the promises were kept.
    fn print(&self, number: usize) -> bool {
        let mut firsts: Vec<Duration> = self.ends.iter().filter_map(first).collect();
        firsts.sort_unstable();
        let refused = self.ends.iter().filter(|end| end.is_not_run()).count();
        let bad = self.ends.len() - firsts.len() - refused;
        let earliest = firsts.first().copied().unwrap_or_default();
        println!(
            "| {number} | {} | {refused} | {bad} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            firsts.len(),
            self.decided,
            self.loaded,
            millis(self.seen.loading),
            millis(self.seen.ready),
            earliest.as_millis(),
            millis(firsts.get(firsts.len() / 2).copied()),
            millis(firsts.last().copied()),
            earliest.saturating_sub(LOAD).as_millis(),
            meter::load(),
        );
        self.explain();
        bad == 0 && u64::from(self.loaded) == self.decided && !firsts.is_empty()
    }

    /// Prints how the others ended, a line a kind.
    fn explain(&self) {
        let mut kinds = BTreeMap::<String, usize>::new();
        for end in self.ends.iter().filter(|end| !end.is_answered()) {
            let kind = match end {
                End::Refused { detail, .. } => format!("refused: {detail}"),
                other => format!("{other:?}"),
            };
            *kinds.entry(kind).or_default() += 1;
        }
        for (kind, count) in kinds {
            println!("{count}: {kind}");
        }
    }
}

/// Time of the first token of an answer.
fn first(end: &End) -> Option<Duration> {
    match end {
        End::Answered { first, .. } => Some(*first),
        _ => None,
    }
}

/// Milliseconds, or that it was not seen.
fn millis(time: Option<Duration>) -> String {
    time.map_or_else(
        || "not seen".to_owned(),
        |time| time.as_millis().to_string(),
    )
}

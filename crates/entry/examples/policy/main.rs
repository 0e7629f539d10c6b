//! The policy of entry hosts measured in virtual time: `cargo run --release --example policy`.

mod bench;
mod cost;
mod engine;
mod figures;

use std::time::Duration;

use bench::{Bench, Setup};
use cornelhitch_entry::config::{Config, Guard};
use cornelhitch_entry::route::{
    CostTerm, LoadCost, LocalityCost, PrefixCost, RandomRouter, TwoChoiceRouter,
};
use figures::Figures;

/// A part that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Left {
    Nothing,
    Load,
    /// Two at random: all candidates are compared.
    Drawing,
    Prefix,
    Locality,
    All,
    Sharing,
    Early,
    Ejecting,
    Budget,
    Isolation,
}

const MEAN: Duration = Duration::from_millis(400);

fn config(core: usize, regions: usize, left: Left) -> Config {
    let region = core % regions;
    let seed = core as u64 + 100;
    let half_life = 0.1;
    let mut parts: Vec<Box<dyn CostTerm>> = Vec::new();
    if left != Left::Load {
        parts.push(Box::new(LoadCost { half_life }));
    }
    if left != Left::Prefix {
        parts.push(Box::new(PrefixCost { block_ms: 4.0 }));
    }
    if left != Left::Locality {
        let ms_per_price = 1_000_000.0;
        parts.push(Box::new(LocalityCost { ms_per_price }));
    }
    let mut config = Config::new(core as u64)
        .place(format!("r{region}"), format!("z{region}"))
        .seed(seed)
        .suspects(if left == Left::Isolation { 16 } else { 1 });
    let guard = match left {
        Left::Sharing => Some(Guard::Sharing),
        Left::Early => Some(Guard::Early),
        Left::Ejecting => Some(Guard::Ejection),
        Left::Budget => Some(Guard::Budget),
        _ => None,
    };
    if let Some(guard) = guard {
        config = config.without(guard);
    }
    if left == Left::All {
        return config.router(Box::new(RandomRouter::new(seed)));
    }
    let choices = if left == Left::Drawing { usize::MAX } else { 2 };
    config.router(Box::new(
        TwoChoiceRouter::new(seed, parts).sample_size(choices),
    ))
}

/// Nine entry hosts and six engines of 16 in one region: 240 answers a second at most.
fn setup(left: Left) -> Setup {
    Setup {
        cores: 9,
        engines: 6,
        concurrency: 16,
        regions: 1,
        rate: 240.0,
        span: Duration::from_mins(1),
        lag: Duration::from_secs(1),
        mean: MEAN,
        groups: 0,
        death: None,
        window: None,
        sick: 0,
        poison: false,
        config: Box::new(move |core| config(core, 1, left)),
    }
}

fn overload(left: Left) {
    println!("\n## Overload, {left:?} left out\n");
    println!(
        "| load | offered/s | goodput/s | refused | p99 preview | p99 heritage | p99 pattern | preview refused | refusals by reason |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in [0.5, 1.0, 2.0, 5.0] {
        let mut setup = setup(left);
        setup.rate *= load;
        let rate = setup.rate;
        let figures = Bench::run(setup);
        let preview = &figures.classes["preview"];
        let refused = format!("{} of {}", preview.refused, preview.arrived);
        println!(
            "| {load} | {rate} | {:.1} | {} | {} ms | {} ms | {} ms | {refused} | {:?} |",
            figures.goodput(),
            figures.refusals(),
            figures.p99("preview"),
            figures.p99("heritage"),
            figures.p99("pattern"),
            figures.reasons,
        );
    }
}

fn overloads() {
    for left in [Left::Nothing, Left::Early, Left::Sharing] {
        overload(left);
    }
}

fn death() {
    println!(
        "\n## A replica dies at 20 s and is back at 24 s, load 0.7; requests of 19 s to 25 s\n"
    );
    println!(
        "| left out | p99 preview | p99 heritage | p99 pattern | answered | refused | by reason |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (left, dies) in [
        (Left::Nothing, false),
        (Left::Nothing, true),
        (Left::Ejecting, true),
    ] {
        let mut setup = setup(left);
        setup.rate *= 0.7;
        setup.death = dies.then(|| Duration::from_secs(20));
        setup.window = Some((Duration::from_secs(19), Duration::from_secs(25)));
        let figures = Bench::run(setup);
        let name = if dies {
            format!("{left:?}")
        } else {
            "no death".to_owned()
        };
        println!(
            "| {name} | {} ms | {} ms | {} ms | {} | {} | {:?} |",
            figures.p99("preview"),
            figures.p99("heritage"),
            figures.p99("pattern"),
            figures.done(),
            figures.refusals(),
            figures.reasons,
        );
    }
}

fn spread() {
    println!(
        "\n## Spread of load among replicas, load 0.7 (mean of max over mean, every 100 ms)\n"
    );
    println!("| mean answer | left out | lag 0 s | lag 1 s | lag 5 s |");
    println!("| --- | --- | --- | --- | --- |");
    let lefts = [
        Left::Nothing,
        Left::Load,
        Left::Drawing,
        Left::Sharing,
        Left::All,
    ];
    for mean in [MEAN, MEAN * 10] {
        for left in lefts {
            let row = [0, 1, 5].map(|lag| spread_of(mean, left, lag));
            println!("| {mean:?} | {left:?} | {} |", row.join(" | "));
        }
    }
}

fn spread_of(mean: Duration, left: Left, lag: u64) -> String {
    let mut setup = setup(left);
    setup.rate *= 0.7 * MEAN.div_duration_f64(mean);
    setup.mean = mean;
    setup.span = Duration::from_mins(3);
    setup.lag = Duration::from_secs(lag);
    let figures = Bench::run(setup);
    format!("{:.2}", figures.mean_spread())
}

fn parts() {
    for groups in [0, 30, 60] {
        println!("\n## Three regions, {groups} groups of prompts with a common begin, load 0.6\n");
        println!(
            "| left out | mean | p99 preview | p99 pattern | crossed MB | goodput/s | refused |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- |");
        let lefts = [
            Left::Nothing,
            Left::Load,
            Left::Prefix,
            Left::Locality,
            Left::Sharing,
            Left::All,
        ];
        for left in lefts {
            let mut setup = setup(left);
            setup.regions = 3;
            setup.groups = groups;
            setup.rate *= 0.6;
            setup.config = Box::new(move |core| config(core, 3, left));
            let figures = Bench::run(setup);
            println!(
                "| {left:?} | {} ms | {} ms | {} ms | {} | {:.1} | {} |",
                figures.mean_ms(),
                figures.p99("preview"),
                figures.p99("pattern"),
                figures.crossed / 1_000_000,
                figures.goodput(),
                figures.refusals(),
            );
        }
    }
}

/// A sick fleet: four of ten attempts fail at their end.
fn retries() {
    println!("\n## 40 of 100 attempts fail at their end, load 0.9\n");
    println!("| left out | sends a request | goodput/s | p99 preview | refused | by reason |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for left in [Left::Nothing, Left::Budget] {
        let mut setup = setup(left);
        setup.sick = 40;
        setup.rate *= 0.9;
        let figures = Bench::run(setup);
        let sends: u64 = figures.sends.iter().sum();
        let arrived: u64 = figures.classes.values().map(|class| class.arrived).sum();
        println!(
            "| {left:?} | {}.{:02} | {:.1} | {} ms | {} | {:?} |",
            sends / arrived,
            sends * 100 / arrived % 100,
            figures.goodput(),
            figures.p99("preview"),
            figures.refusals(),
            figures.reasons,
        );
    }
}

/// A model wakes: one engine, 300 requests at nine hosts within a tenth of a second.
fn wake() {
    println!("\n## One engine of 16, 300 requests within 0.1 s at nine hosts\n");
    println!(
        "| left out | longest queue inside the engine | p99 preview | p99 heritage | answered | refused | by reason |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for left in [Left::Nothing, Left::Sharing] {
        let mut setup = setup(left);
        setup.engines = 1;
        setup.rate = 3_000.0;
        setup.span = Duration::from_millis(100);
        let figures = Bench::run(setup);
        println!(
            "| {left:?} | {} | {} ms | {} ms | {} | {} | {:?} |",
            figures.queued,
            figures.p99("preview"),
            figures.p99("heritage"),
            figures.done(),
            figures.refusals(),
            figures.reasons,
        );
    }
}

fn poison() {
    println!("\n## One poison request in a batch of 32, four engines, three hosts\n");
    println!(
        "| suspects at once | engines lost | largest batch | neighbours | answered | refused | last answer |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for left in [Left::Nothing, Left::Isolation] {
        let figures: Figures = Bench::run(
            Setup {
                cores: 3,
                engines: 2,
                concurrency: 32,
                rate: 4_000.0,
                span: Duration::from_millis(25),
                ..setup(left)
            }
            .poisoned(left),
        );
        let arrived: u64 = figures.classes.values().map(|class| class.arrived).sum();
        let took = figures.classes.values().flat_map(|class| class.took.iter());
        println!(
            "| {} | {} | {} | {} | {} | {:?} | {} ms |",
            if left == Left::Isolation { 16 } else { 1 },
            figures.lost,
            figures.batch,
            arrived - 1,
            figures.done(),
            figures.reasons,
            took.max().map_or(0, Duration::as_millis),
        );
    }
}

impl Setup {
    /// The same with a first request that takes its engine down.
    fn poisoned(mut self, left: Left) -> Self {
        self.poison = true;
        self.mean = Duration::from_millis(150);
        self.config = Box::new(move |core| config(core, 1, left));
        self
    }
}

fn main() {
    let wanted = std::env::args().nth(1).unwrap_or_default();
    let runs: [(&str, fn()); 8] = [
        ("overload", overloads),
        ("death", death),
        ("spread", spread),
        ("parts", parts),
        ("retries", retries),
        ("wake", wake),
        ("poison", poison),
        ("cost", cost::run),
    ];
    for (name, run) in runs {
        if wanted.is_empty() || wanted == name {
            run();
        }
    }
}

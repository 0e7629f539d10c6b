//! Measures the policy of entry hosts in virtual time: `cargo run --release --example policy`.

mod bench;
mod cost;
mod engine;
mod measurements;

use std::time::Duration;

use bench::{Bench, Setup};
use cornelhitch_entry::config::{Config, Guard};
use cornelhitch_entry::route::{
    CostTerm, LoadCost, LocalityCost, PrefixCost, RandomRouter, TwoChoiceRouter,
};
use measurements::Measurements;

/// A part of the policy that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeftOut {
    Nothing,
    Load,
    /// The random sampling: all candidates are compared.
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

const MEAN_RESPONSE_TIME: Duration = Duration::from_millis(400);

fn config(core: usize, regions: usize, left_out: LeftOut) -> Config {
    let region = core % regions;
    let seed = core as u64 + 100;
    let half_life = 0.1;
    let mut terms: Vec<Box<dyn CostTerm>> = Vec::new();
    if left_out != LeftOut::Load {
        terms.push(Box::new(LoadCost { half_life }));
    }
    if left_out != LeftOut::Prefix {
        terms.push(Box::new(PrefixCost { block_ms: 4.0 }));
    }
    if left_out != LeftOut::Locality {
        let ms_per_price = 1_000_000.0;
        terms.push(Box::new(LocalityCost { ms_per_price }));
    }
    let mut config = Config::new(core as u64)
        .place(format!("r{region}"), format!("z{region}"))
        .seed(seed)
        .suspects(if left_out == LeftOut::Isolation {
            16
        } else {
            1
        });
    let guard = match left_out {
        LeftOut::Sharing => Some(Guard::Sharing),
        LeftOut::Early => Some(Guard::Early),
        LeftOut::Ejecting => Some(Guard::Ejection),
        LeftOut::Budget => Some(Guard::Budget),
        _ => None,
    };
    if let Some(guard) = guard {
        config = config.without(guard);
    }
    if left_out == LeftOut::All {
        return config.router(Box::new(RandomRouter::new(seed)));
    }
    let samples = if left_out == LeftOut::Drawing {
        usize::MAX
    } else {
        2
    };
    config.router(Box::new(
        TwoChoiceRouter::new(seed, terms).sample_size(samples),
    ))
}

/// Nine entry hosts and six engines with 16 slots in one region, which can serve 240 responses per
/// second.
fn setup(left_out: LeftOut) -> Setup {
    Setup {
        cores: 9,
        engines: 6,
        concurrency: 16,
        regions: 1,
        rate: 240.0,
        span: Duration::from_mins(1),
        lag: Duration::from_secs(1),
        mean: MEAN_RESPONSE_TIME,
        groups: 0,
        death: None,
        window: None,
        failure_percent: 0,
        poison: false,
        config: Box::new(move |core| config(core, 1, left_out)),
    }
}

fn overload(left_out: LeftOut) {
    println!("\n## Overload, {left_out:?} left out\n");
    println!(
        "| load | offered/s | goodput/s | refused | p99 preview | p99 heritage | p99 pattern | preview refused | refusals by reason |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in [0.5, 1.0, 2.0, 5.0] {
        let mut setup = setup(left_out);
        setup.rate *= load;
        let rate = setup.rate;
        let measurements = Bench::run(setup);
        let preview = &measurements.classes["preview"];
        let refused = format!("{} of {}", preview.refused, preview.arrived);
        println!(
            "| {load} | {rate} | {:.1} | {} | {} ms | {} ms | {} ms | {refused} | {:?} |",
            measurements.goodput(),
            measurements.refusals(),
            measurements.p99("preview"),
            measurements.p99("heritage"),
            measurements.p99("pattern"),
            measurements.reasons,
        );
    }
}

fn overloads() {
    for left_out in [LeftOut::Nothing, LeftOut::Early, LeftOut::Sharing] {
        overload(left_out);
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
    for (left_out, dies) in [
        (LeftOut::Nothing, false),
        (LeftOut::Nothing, true),
        (LeftOut::Ejecting, true),
    ] {
        let mut setup = setup(left_out);
        setup.rate *= 0.7;
        setup.death = dies.then(|| Duration::from_secs(20));
        setup.window = Some((Duration::from_secs(19), Duration::from_secs(25)));
        let measurements = Bench::run(setup);
        let name = if dies {
            format!("{left_out:?}")
        } else {
            "no death".to_owned()
        };
        println!(
            "| {name} | {} ms | {} ms | {} ms | {} | {} | {:?} |",
            measurements.p99("preview"),
            measurements.p99("heritage"),
            measurements.p99("pattern"),
            measurements.done(),
            measurements.refusals(),
            measurements.reasons,
        );
    }
}

fn spread() {
    println!(
        "\n## Spread of load among replicas, load 0.7 (mean of max over mean, every 100 ms)\n"
    );
    println!("| mean answer | left out | lag 0 s | lag 1 s | lag 5 s |");
    println!("| --- | --- | --- | --- | --- |");
    let variants = [
        LeftOut::Nothing,
        LeftOut::Load,
        LeftOut::Drawing,
        LeftOut::Sharing,
        LeftOut::All,
    ];
    for mean in [MEAN_RESPONSE_TIME, MEAN_RESPONSE_TIME * 10] {
        for left_out in variants {
            let row = [0, 1, 5].map(|lag| spread_of(mean, left_out, lag));
            println!("| {mean:?} | {left_out:?} | {} |", row.join(" | "));
        }
    }
}

fn spread_of(mean: Duration, left_out: LeftOut, lag: u64) -> String {
    let mut setup = setup(left_out);
    setup.rate *= 0.7 * MEAN_RESPONSE_TIME.div_duration_f64(mean);
    setup.mean = mean;
    setup.span = Duration::from_mins(3);
    setup.lag = Duration::from_secs(lag);
    let measurements = Bench::run(setup);
    format!("{:.2}", measurements.mean_spread())
}

fn cost_terms() {
    for groups in [0, 30, 60] {
        println!("\n## Three regions, {groups} groups of prompts with a common begin, load 0.6\n");
        println!(
            "| left out | mean | p99 preview | p99 pattern | crossed MB | goodput/s | refused |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- |");
        let variants = [
            LeftOut::Nothing,
            LeftOut::Load,
            LeftOut::Prefix,
            LeftOut::Locality,
            LeftOut::Sharing,
            LeftOut::All,
        ];
        for left_out in variants {
            let mut setup = setup(left_out);
            setup.regions = 3;
            setup.groups = groups;
            setup.rate *= 0.6;
            setup.config = Box::new(move |core| config(core, 3, left_out));
            let measurements = Bench::run(setup);
            println!(
                "| {left_out:?} | {} ms | {} ms | {} ms | {} | {:.1} | {} |",
                measurements.mean_ms(),
                measurements.p99("preview"),
                measurements.p99("pattern"),
                measurements.cross_region_bytes / 1_000_000,
                measurements.goodput(),
                measurements.refusals(),
            );
        }
    }
}

/// Measures the retry budget while 40 % of the attempts fail.
fn retries() {
    println!("\n## 40 of 100 attempts fail at their end, load 0.9\n");
    println!("| left out | sends a request | goodput/s | p99 preview | refused | by reason |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for left_out in [LeftOut::Nothing, LeftOut::Budget] {
        let mut setup = setup(left_out);
        setup.failure_percent = 40;
        setup.rate *= 0.9;
        let measurements = Bench::run(setup);
        let sends: u64 = measurements.sends.iter().sum();
        let arrived: u64 = measurements
            .classes
            .values()
            .map(|class| class.arrived)
            .sum();
        println!(
            "| {left_out:?} | {}.{:02} | {:.1} | {} ms | {} | {:?} |",
            sends / arrived,
            sends * 100 / arrived % 100,
            measurements.goodput(),
            measurements.p99("preview"),
            measurements.refusals(),
            measurements.reasons,
        );
    }
}

/// Measures a cold model: one engine gets 300 requests at nine hosts within 0.1 s.
fn wake() {
    println!("\n## One engine of 16, 300 requests within 0.1 s at nine hosts\n");
    println!(
        "| left out | longest queue inside the engine | p99 preview | p99 heritage | answered | refused | by reason |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for left_out in [LeftOut::Nothing, LeftOut::Sharing] {
        let mut setup = setup(left_out);
        setup.engines = 1;
        setup.rate = 3_000.0;
        setup.span = Duration::from_millis(100);
        let measurements = Bench::run(setup);
        println!(
            "| {left_out:?} | {} | {} ms | {} ms | {} | {} | {:?} |",
            measurements.queued,
            measurements.p99("preview"),
            measurements.p99("heritage"),
            measurements.done(),
            measurements.refusals(),
            measurements.reasons,
        );
    }
}

fn poison() {
    println!("\n## One poison request in a batch of 32, four engines, three hosts\n");
    println!(
        "| suspects at once | engines lost | largest batch | neighbours | answered | refused | last answer |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for left_out in [LeftOut::Nothing, LeftOut::Isolation] {
        let measurements: Measurements = Bench::run(
            Setup {
                cores: 3,
                engines: 2,
                concurrency: 32,
                rate: 4_000.0,
                span: Duration::from_millis(25),
                ..setup(left_out)
            }
            .poisoned(left_out),
        );
        let arrived: u64 = measurements
            .classes
            .values()
            .map(|class| class.arrived)
            .sum();
        let response_times = measurements
            .classes
            .values()
            .flat_map(|class| class.response_times.iter());
        println!(
            "| {} | {} | {} | {} | {} | {:?} | {} ms |",
            if left_out == LeftOut::Isolation {
                16
            } else {
                1
            },
            measurements.lost,
            measurements.batch,
            arrived - 1,
            measurements.done(),
            measurements.reasons,
            response_times.max().map_or(0, Duration::as_millis),
        );
    }
}

impl Setup {
    /// Changes the setup so that the first request takes its engine down.
    fn poisoned(mut self, left_out: LeftOut) -> Self {
        self.poison = true;
        self.mean = Duration::from_millis(150);
        self.config = Box::new(move |core| config(core, 1, left_out));
        self
    }
}

fn main() {
    let wanted = std::env::args().nth(1).unwrap_or_default();
    let runs: [(&str, fn()); 8] = [
        ("overload", overloads),
        ("death", death),
        ("spread", spread),
        ("parts", cost_terms),
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

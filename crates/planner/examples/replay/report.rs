//! Tables and plots of replays.

use std::error::Error;
use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use super::stats::Stats;

/// The result of one policy on one trace.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the trace.
    pub seed: u64,
    /// Name of the policy.
    pub policy: String,
    /// Median cold-start delay of all requests, in seconds.
    pub p50_s: f64,
    /// 99th percentile of the cold-start delay of all requests, in seconds.
    pub p99_s: f64,
    /// Largest cold-start delay, in seconds.
    pub max_s: f64,
    /// 99th percentile of the cold-start delay of requests that found no ready replica, in seconds.
    pub cold_p99_s: f64,
    /// Requests that found no ready replica, in percent.
    pub cold_percent: f64,
    /// Idle accelerator hours.
    pub idle_h: f64,
    /// Refused requests.
    pub refusals: u64,
    /// Loads from the weight store.
    pub starts: u64,
    /// Loads from any stage.
    pub loads: u64,
    /// Share of the accelerator time that was spent loading, in percent.
    pub load_percent: f64,
    /// Weighted cost, relative to an idle timeout of 10 min.
    pub cost: f64,
}

impl Row {
    /// Creates the result of one replay, without its cost.
    pub fn new(deployment: &str, scenario: &str, seed: u64, policy: &str, stats: &Stats) -> Self {
        let total = to_f64(stats.waits.len());
        Self {
            deployment: deployment.into(),
            scenario: scenario.into(),
            seed,
            policy: policy.into(),
            p50_s: quantile(&stats.waits, 0.5),
            p99_s: quantile(&stats.waits, 0.99),
            max_s: quantile(&stats.waits, 1.0),
            cold_p99_s: quantile(&stats.cold, 0.99),
            cold_percent: 100.0 * to_f64(stats.cold.len()) / total.max(1.0),
            idle_h: stats.idle / 3_600.0,
            refusals: stats.refusals,
            starts: stats.starts,
            loads: stats.loads,
            load_percent: 100.0 * stats.load_share(),
            cost: 0.0,
        }
    }
}

/// Converts a count to floating point.
fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns a quantile of a histogram of milliseconds, in seconds.
fn quantile(waits: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    to_f64(waits.value_at_quantile(quantile)) / 1_000.0
}

/// Returns the mean of a figure over rows.
pub fn mean(rows: &[&Row], figure: impl Fn(&Row) -> f64) -> f64 {
    let sum: f64 = rows.iter().map(|row| figure(row)).sum();
    sum / to_f64(rows.len() as u64).max(1.0)
}

/// Formats a Markdown table with one line per policy, averaged over the rows.
pub fn table(rows: &[Row], policies: &[&str]) -> String {
    let mut text = String::from(
        "| policy | p50 s | p99 s | max s | cold p99 s | cold % | idle h | refused | starts | loads | load % | cost |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for policy in policies {
        let of: Vec<&Row> = rows.iter().filter(|row| row.policy == *policy).collect();
        let figures: [fn(&Row) -> f64; 11] = [
            |row| row.p50_s,
            |row| row.p99_s,
            |row| row.max_s,
            |row| row.cold_p99_s,
            |row| row.cold_percent,
            |row| row.idle_h,
            |row| to_f64(row.refusals),
            |row| to_f64(row.starts),
            |row| to_f64(row.loads),
            |row| row.load_percent,
            |row| row.cost,
        ];
        let _ = write!(text, "| {policy} |");
        for figure in &figures[..10] {
            let _ = write!(text, " {:.1} |", mean(&of, figure));
        }
        let _ = writeln!(text, " {:.3} |", mean(&of, figures[10]));
    }
    text
}

/// Writes the rows as CSV.
pub fn csv(rows: &[Row], path: &Path) -> Result<(), Box<dyn Error>> {
    let mut writer = csv::Writer::from_path(path)?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}

/// Plots tail cold-start delay against idle accelerator hours, one point per policy.
pub fn plot(rows: &[Row], policies: &[&str], path: &Path) -> Result<(), Box<dyn Error>> {
    let points: Vec<(f64, f64)> = policies
        .iter()
        .map(|policy| {
            let of: Vec<&Row> = rows.iter().filter(|row| row.policy == *policy).collect();
            (mean(&of, |row| row.idle_h), mean(&of, |row| row.p99_s))
        })
        .collect();
    let right = points.iter().map(|point| point.0).fold(1.0, f64::max) * 1.2;
    let top = points.iter().map(|point| point.1).fold(1.0, f64::max) * 1.2;
    let area = SVGBackend::new(path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours")
        .y_desc("cold start p99, seconds")
        .draw()?;
    for (index, (policy, point)) in policies.iter().zip(points).enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let dot = Circle::new(point, 5, colour.filled());
        chart
            .draw_series([dot])?
            .label(*policy)
            .legend(move |(x, y)| Circle::new((x + 8, y), 5, colour.filled()));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

//! Injects a random sequence of faults that is derived from the seed.

use std::time::{Duration, Instant};

use cornelhitch_standin::fault::Fault;
use cornelhitch_types::id::HostId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::IntoEnumIterator;

use crate::Trial;
use crate::checks::Downtime;

/// Range of the pause before each fault.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 300..1_500;

/// Time limit for draining a host.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(40);

/// Kind of fault.
#[derive(Debug, Clone, Copy, strum::EnumIter)]
enum FaultKind {
    /// A host is killed and started again.
    Kill,
    /// A host is drained and started again.
    Drain,
    /// A host is partitioned from all others for a while.
    Cut,
    /// A model worker crashes.
    Crash,
    /// A model worker shows one of the faults of the stand-in engine.
    Engine,
    /// A worker of the plain service fails in one of several ways, before or after running a request.
    Service,
    /// The weight store is slow for a while.
    Store,
}

/// Injects faults until `stop_at`. All hosts are running and connected on return, and the store has
/// its normal speed.
pub fn run(trial: &Trial, seed: u64, stop_at: Instant) {
    let mut random = SmallRng::seed_from_u64(seed);
    let kinds: Vec<FaultKind> = FaultKind::iter().collect();
    while Instant::now() < stop_at {
        std::thread::sleep(Duration::from_millis(
            random.random_range(FAULT_INTERVAL_MS),
        ));
        let kind = kinds[random.random_range(0..kinds.len())];
        tracing::warn!(?kind, at = ?trial.started.elapsed(), "fault");
        inject(trial, kind, &mut random);
    }
    trial.store.set_slowness(1.0);
}

/// Injects one fault and undoes it if it does not end by itself.
fn inject(trial: &Trial, kind: FaultKind, random: &mut SmallRng) {
    let host = random.random_range(0..crate::HOSTS);
    let duration = Duration::from_millis(random.random_range(200..3_000));
    let engine = &trial.engines[random.random_range(0..trial.engines.len())];
    match kind {
        FaultKind::Kill => {
            let from = Instant::now();
            trial.cluster().kill(host);
            std::thread::sleep(duration);
            restart(trial, host, from, true);
        }
        FaultKind::Drain => drain_and_restart(trial, host),
        FaultKind::Cut => {
            let others: Vec<HostId> = (1..=crate::HOSTS as HostId).collect();
            trial.cluster().partition(host, &others);
            std::thread::sleep(duration * 2);
            trial.cluster().partition(host, &[]);
        }
        FaultKind::Crash => engine.crash(),
        FaultKind::Engine => {
            let faults: Vec<Fault> = Fault::iter().collect();
            engine.inject_fault(faults[random.random_range(0..faults.len())]);
        }
        FaultKind::Service => {
            use cornelhitch_standin::service::Failure;
            let failures = [
                Failure::AbortBeforeRun,
                Failure::AbortAfterRun,
                Failure::Refuse,
                Failure::Fail,
                Failure::WrongRequestId,
            ];
            let service = &trial.services[random.random_range(0..trial.services.len())];
            service.inject_failure(failures[random.random_range(0..failures.len())]);
        }
        FaultKind::Store => {
            trial.store.set_slowness(random.random_range(2.0..6.0));
            std::thread::sleep(duration);
            trial.store.set_slowness(1.0);
        }
    }
}

/// Drains a host and starts it again. Records a violation if draining takes longer than
/// [`DRAIN_TIMEOUT`].
fn drain_and_restart(trial: &Trial, host: usize) {
    let from = Instant::now();
    let running = trial.cluster().take_running(host);
    if let Some(running) = running
        && !running.drain(DRAIN_TIMEOUT)
    {
        let line = format!("host {} was not drained within {DRAIN_TIMEOUT:?}", host + 1);
        trial.log().violations.push(line);
    }
    restart(trial, host, from, false);
}

/// Starts a host again and records its downtime.
fn restart(trial: &Trial, host: usize, from: Instant, killed: bool) {
    let address = trial.cluster().hosts[host].addresses.callers;
    let restarted = trial.cluster().restart(host);
    let mut log = trial.log();
    if let Err(error) = restarted {
        log.violations
            .push(format!("host {} failed to restart: {error}", host + 1));
    }
    log.downtimes.push(Downtime {
        host: address,
        from,
        until: Instant::now(),
        killed,
    });
}

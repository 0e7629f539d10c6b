//! What is broken, when, by a seed.

use std::time::{Duration, Instant};

use cornelhitch_standin::fault::Fault;
use cornelhitch_types::id::HostId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::IntoEnumIterator;

use crate::Trial;
use crate::verdict::Away;

/// Time between two faults, at least and at most.
const PAUSE: std::ops::Range<u64> = 300..1_500;

/// Time that a graceful shutdown may take.
const DRAIN: Duration = Duration::from_secs(40);

/// What is broken.
#[derive(Debug, Clone, Copy, strum::EnumIter)]
enum Kind {
    /// A host is killed and started again.
    Kill,
    /// A host is shut down gracefully and started again.
    Drain,
    /// A host is cut off from all others for a while.
    Cut,
    /// A model worker crashes.
    Crash,
    /// A model worker has one of the stand-ins' faults.
    Engine,
    /// A plain service breaks a connection before or after it ran.
    Service,
    /// The weight store slows down for a while.
    Store,
}

/// Breaks things until the end; everything is whole again afterwards.
pub fn run(trial: &Trial, seed: u64, end: Instant) {
    let mut random = SmallRng::seed_from_u64(seed);
    let kinds: Vec<Kind> = Kind::iter().collect();
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(random.random_range(PAUSE)));
        let kind = kinds[random.random_range(0..kinds.len())];
        tracing::warn!(?kind, at = ?trial.started.elapsed(), "fault");
        act(trial, kind, &mut random);
    }
    trial.store.slow(1.0);
}

/// Breaks one thing, and mends what is not mended by itself.
fn act(trial: &Trial, kind: Kind, random: &mut SmallRng) {
    let host = random.random_range(0..crate::HOSTS);
    let pause = Duration::from_millis(random.random_range(200..3_000));
    let engine = &trial.engines[random.random_range(0..trial.engines.len())];
    match kind {
        Kind::Kill => {
            let from = Instant::now();
            trial.cluster().kill(host);
            std::thread::sleep(pause);
            restart(trial, host, from, true);
        }
        Kind::Drain => drain(trial, host),
        Kind::Cut => {
            let others: Vec<HostId> = (1..=crate::HOSTS as HostId).collect();
            trial.cluster().cut(host, &others);
            std::thread::sleep(pause * 2);
            trial.cluster().cut(host, &[]);
        }
        Kind::Crash => engine.crash(),
        Kind::Engine => {
            let faults: Vec<Fault> = Fault::iter().collect();
            engine.fault(faults[random.random_range(0..faults.len())]);
        }
        Kind::Service => {
            use cornelhitch_standin::service::Failure;
            let failures = [
                Failure::BreakBefore,
                Failure::BreakAfter,
                Failure::Refuse,
                Failure::Fail,
                Failure::Crossed,
            ];
            let service = &trial.services[random.random_range(0..trial.services.len())];
            service.fail(failures[random.random_range(0..failures.len())]);
        }
        Kind::Store => {
            trial.store.slow(random.random_range(2.0..6.0));
            std::thread::sleep(pause);
            trial.store.slow(1.0);
        }
    }
}

/// Shuts a host down gracefully and starts it again.
fn drain(trial: &Trial, host: usize) {
    let from = Instant::now();
    let taken = trial.cluster().take(host);
    if let Some(taken) = taken
        && !taken.drain(DRAIN)
    {
        let line = format!(
            "host {} did not end within {DRAIN:?} of its drain",
            host + 1
        );
        trial.log().broken.push(line);
    }
    restart(trial, host, from, false);
}

/// Starts a host again.
fn restart(trial: &Trial, host: usize, from: Instant, killed: bool) {
    let address = trial.cluster().hosts[host].addresses.callers;
    let restarted = trial.cluster().restart(host);
    let mut log = trial.log();
    if let Err(error) = restarted {
        log.broken
            .push(format!("host {} did not start again: {error}", host + 1));
    }
    log.away.push(Away {
        host: address,
        from,
        until: Instant::now(),
        killed,
    });
}

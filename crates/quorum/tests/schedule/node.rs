//! A simulated member: process, clock, disk and state machine.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_quorum::action::Entry;
use cornelhitch_quorum::config::{Config, DRIFT_PPM, Fault};
use cornelhitch_quorum::log::Payload;
use cornelhitch_quorum::membership_policy::JoinRequests;
use cornelhitch_quorum::memory::MemoryStore;
use cornelhitch_quorum::prelude::*;

const MILLION: u64 = 1_000_000;

/// Snapshot size in bytes, large enough for several chunks.
const SNAPSHOT_BYTES: usize = 200;

/// The owner's state machine: the last applied index and a hash over all applied entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    pub index: Index,
    pub hash: u64,
}

impl State {
    pub fn apply(&mut self, entry: &Entry) {
        let mut hasher = DefaultHasher::new();
        (self.hash, entry.index, entry.term, &entry.payload).hash(&mut hasher);
        *self = Self {
            index: entry.index,
            hash: hasher.finish(),
        };
    }

    pub fn encode(self) -> Bytes {
        let mut data = vec![0; SNAPSHOT_BYTES];
        data[..8].copy_from_slice(&self.hash.to_le_bytes());
        data.into()
    }

    pub fn decode(data: &[u8], index: Index) -> Self {
        let hash = u64::from_le_bytes(data[..8].try_into().unwrap());
        Self { index, hash }
    }
}

/// A simulated disk with its write queue.
#[derive(Debug)]
pub struct SimulatedDisk {
    pub memory: MemoryStore,
    pub batches: VecDeque<Batch>,
    pub attempt: u64,
    pub sync: Duration,
    /// Number of batches covered by the sync in progress.
    pub syncing: usize,
}

impl SimulatedDisk {
    /// Completes the sync in progress, like the writer thread.
    pub fn finish(&mut self) -> Option<Event> {
        let attempt = self.attempt;
        let batches = self.batches.drain(..self.syncing);
        let current: Vec<Batch> = batches.filter(|batch| batch.attempt >= attempt).collect();
        self.syncing = 0;
        let (first, last) = (current.first()?.token, current.last()?.token);
        let records: Vec<_> = current
            .into_iter()
            .flat_map(|batch| batch.records)
            .collect();
        if self.memory.append(&records).is_ok() {
            return Some(Event::Persisted { token: last });
        }
        self.attempt += 1;
        Some(Event::PersistFailed { token: first })
    }

    /// Crashes; only the first `kept` queued records survive.
    pub fn crash(&mut self, kept: usize) {
        let attempt = self.attempt;
        let batches = std::mem::take(&mut self.batches);
        let current = batches.into_iter().filter(|batch| batch.attempt >= attempt);
        let records: Vec<_> = current.flat_map(|batch| batch.records).take(kept).collect();
        let _ = self.memory.append(&records);
        self.attempt = 0;
        self.syncing = 0;
    }
}

/// A simulated member.
#[derive(Debug)]
pub struct Node {
    pub peer: Peer,
    pub core: Option<Core>,
    pub disk: SimulatedDisk,
    pub state: State,
    /// Number of process starts; distinguishes events of an earlier process.
    pub start_count: u64,
    pub paused_until: Duration,
    pub wake: Duration,
    /// Commit index up to which entries have been checked.
    pub checked: Index,
    /// The requests to join that this member received as leader.
    pub join_requests: JoinRequests,
    started: Duration,
    /// Deviation of the clock rate from real time, in parts per million.
    drift_ppm: i64,
}

/// A configuration with small limits, so that few entries reach them.
pub fn config(may_bootstrap: bool, fault: Option<Fault>) -> Config {
    Config {
        peers: (0..8).collect(),
        may_bootstrap,
        max_message_bytes: 64,
        max_inflight_messages: 3,
        snapshot_threshold_entries: 12,
        trailing_entries: 3,
        catch_up_timeout: Duration::from_secs(3),
        fault,
        ..Config::default()
    }
}

impl Node {
    pub fn new(recovered: Recovered) -> Self {
        let peer = recovered.identity.peer;
        let sync = Duration::from_millis(2);
        let memory = MemoryStore::new(recovered);
        let disk = SimulatedDisk {
            memory,
            batches: VecDeque::new(),
            attempt: 0,
            sync,
            syncing: 0,
        };
        Self {
            peer,
            core: None,
            disk,
            state: State::default(),
            start_count: 0,
            paused_until: Duration::ZERO,
            wake: Duration::ZERO,
            checked: 0,
            join_requests: JoinRequests::default(),
            started: Duration::ZERO,
            drift_ppm: 0,
        }
    }

    /// Starts the process at a real time, with a clock rate derived from the seed.
    pub fn start(&mut self, config: Config, seed: u64, now: Duration) {
        let bound = i64::from(DRIFT_PPM);
        self.drift_ppm =
            [-bound, bound, 0, i64::try_from(seed % 100).unwrap()][(seed >> 8) as usize % 4];
        self.started = now;
        self.start_count += 1;
        self.checked = 0;
        self.join_requests = JoinRequests::default();
        self.state = State::default();
        self.wake = Duration::MAX;
        self.core = Some(Core::new(
            config,
            self.disk.memory.recovered(),
            seed,
            Time::ZERO,
        ));
    }

    pub fn crash(&mut self, kept: usize) {
        self.disk.crash(kept);
        self.core = None;
        self.paused_until = Duration::ZERO;
    }

    pub fn wipe(&mut self, incarnation: u64) {
        self.crash(0);
        self.peer.incarnation = incarnation;
        let identity = Identity {
            peer: self.peer,
            ..self.disk.memory.recovered().identity
        };
        self.disk.memory = MemoryStore::new(Recovered::empty(identity));
    }

    fn rate(&self) -> u64 {
        MILLION.checked_add_signed(self.drift_ppm).unwrap()
    }

    /// Converts real time to the process's clock.
    pub fn local(&self, real: Duration) -> Time {
        scale(real.saturating_sub(self.started), self.rate(), MILLION)
    }

    /// Returns the first real time at which the process's clock shows `local`.
    pub fn real(&self, local: Time) -> Duration {
        self.started + scale(local, MILLION, self.rate()) + Duration::from_nanos(1)
    }

    /// The latest memberships known to this member, on disk and in memory.
    pub fn memberships(&self) -> Vec<Membership> {
        let disk = self.disk.memory.synced();
        let in_log = disk
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(members) => Some(members.clone()),
                _ => None,
            });
        let in_snapshot = disk
            .snapshot
            .as_ref()
            .map(|snapshot| snapshot.membership.clone());
        let memory = self.core.as_ref().map(|core| core.status().members);
        in_log.or(in_snapshot).into_iter().chain(memory).collect()
    }
}

fn scale(time: Duration, by: u64, of: u64) -> Duration {
    let nanos = time.as_nanos() * u128::from(by) / u128::from(of);
    Duration::from_nanos(u64::try_from(nanos).unwrap())
}

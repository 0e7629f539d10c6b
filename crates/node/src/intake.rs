//! Heartbeats that a control host takes from targets while another host leads.
//!
//! The host answers its targets, and tells the leader in batches what they say: in full what has
//! changed, otherwise only that the target goes on. So the leader handles a batch of each control host
//! in place of a connection of each target. A host whose batches the leader does not answer takes
//! nothing. While nobody leads it goes on for a moment: targets that are turned away try all control
//! hosts in turn, and that load would delay the election.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_types::id::{HostId, Incarnation, Name, TargetId, Term, Time};
use cornelhitch_types::target::{AnnouncedHeartbeat, Holding};
use serde::{Deserialize, Serialize};

/// Time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two batches if no target has sent a heartbeat; the leader answers them.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after the last answer of the leader for which heartbeats are taken: less than targets may be
/// silent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the start of the process for which heartbeats are taken without an answer: an election
/// usually takes less.
const START_TIME: Duration = Duration::from_secs(2);

/// Time after which a target that sends its heartbeats elsewhere is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The most heartbeats that are sent in full in one batch.
const MAX_FULL: usize = 200;

/// Time without a batch after which the leader counts a host as silent.
const SILENT_AFTER: Duration = Duration::from_millis(600);

/// A heartbeat with the version of the target's software, which is not part of it between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakenHeartbeat {
    /// The heartbeat, without the version.
    pub presence: AnnouncedHeartbeat,
    /// The version.
    pub software: Option<Name>,
}

impl From<AnnouncedHeartbeat> for TakenHeartbeat {
    fn from(presence: AnnouncedHeartbeat) -> Self {
        let software = presence.software.clone();
        Self { presence, software }
    }
}

impl From<TakenHeartbeat> for AnnouncedHeartbeat {
    fn from(taken: TakenHeartbeat) -> Self {
        Self {
            software: taken.software,
            ..taken.presence
        }
    }
}

impl TakenHeartbeat {
    /// Returns a digest of all that it says but its number, and the order of what the target holds.
    fn digest(&self) -> u64 {
        let mut same = self.clone();
        same.presence.heartbeat.sequence = 0;
        let inventory = &mut same.presence.heartbeat.inventory;
        inventory.sort_by(|one, other| {
            let key = |it: &Holding| (it.stage, it.model.model.clone(), it.replica);
            key(one).cmp(&key(other))
        });
        let bytes = postcard::to_stdvec(&same).unwrap_or_default();
        let mut hasher = DefaultHasher::new();
        bytes.hash(&mut hasher);
        hasher.finish()
    }
}

/// What a batch says of one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Forwarded {
    /// A heartbeat in full, and its digest.
    Full(Box<TakenHeartbeat>, u64),
    /// A heartbeat that says the same as the last one in full.
    Unchanged {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The number of the heartbeat.
        sequence: u64,
        /// The digest of the last one in full.
        digest: u64,
    },
}

/// A target whose heartbeats this host takes.
#[derive(Debug)]
struct Taken {
    newest: TakenHeartbeat,
    digest: u64,
    /// Whether the leader has it in full.
    told: bool,
    /// Whether it is not in a batch yet.
    fresh: bool,
    at: Time,
}

/// The heartbeats that a host takes while another one leads.
#[derive(Debug)]
pub struct Intake {
    targets: BTreeMap<TargetId, Taken>,
    /// The term of the leader that gets the batches.
    term: Term,
    last_batch: Option<Time>,
    /// Until when heartbeats are taken.
    open_until: Time,
}

impl Intake {
    /// Creates the intake of a process that has just started.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            targets: BTreeMap::new(),
            term: 0,
            last_batch: None,
            open_until: now + START_TIME,
        }
    }

    /// Whether heartbeats may be taken: the leader has answered lately, or an election is due.
    #[must_use]
    pub fn is_open(&self, now: Time) -> bool {
        now < self.open_until
    }

    /// Returns whether the heartbeats of a target are taken, or may be: those of fewer than `max_targets` are.
    #[must_use]
    pub fn has_room_for(&self, target: &str, max_targets: usize) -> bool {
        self.targets.contains_key(target) || self.targets.len() < max_targets
    }

    /// Takes a heartbeat; an older one than the newest is dropped.
    pub fn take(&mut self, presence: AnnouncedHeartbeat, now: Time) {
        let position = |it: &AnnouncedHeartbeat| (it.heartbeat.incarnation, it.heartbeat.sequence);
        let target = presence.heartbeat.target.clone();
        let known = self.targets.get(&target);
        if known.is_some_and(|known| position(&presence) <= position(&known.newest.presence)) {
            return;
        }
        let newest = TakenHeartbeat::from(presence);
        let digest = newest.digest();
        let told = known.is_some_and(|known| known.told && known.digest == digest);
        let taken = Taken {
            newest,
            digest,
            told,
            fresh: true,
            at: now,
        };
        self.targets.insert(target, taken);
    }

    /// Returns the batch that is due for the leader of a term.
    pub fn batch(&mut self, term: Term, now: Time) -> Option<Vec<Forwarded>> {
        if term != self.term {
            self.begin_term(term, now);
        }
        self.targets
            .retain(|_, taken| now < taken.at + FORGET_AFTER);
        let has_fresh = self.targets.values().any(|taken| taken.fresh);
        let interval = if has_fresh {
            BATCH_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        if self.last_batch.is_some_and(|last| now < last + interval) {
            return None;
        }
        self.last_batch = Some(now);
        let mut full = 0;
        let fresh = self.targets.values_mut().filter(|taken| taken.fresh);
        let batch = fresh.filter_map(|taken| {
            full += usize::from(!taken.told);
            (taken.told || full <= MAX_FULL).then(|| taken.forward())
        });
        Some(batch.collect())
    }

    /// Handles the leader's answer to a batch; it names the targets that it does not have in full.
    pub fn on_answer(&mut self, term: Term, missing: &[TargetId], now: Time) {
        if term != self.term {
            return;
        }
        self.open_until = self.open_until.max(now + ANSWER_TIMEOUT);
        for target in missing {
            if let Some(taken) = self.targets.get_mut(target) {
                taken.told = false;
                taken.fresh = true;
            }
        }
    }

    /// Takes all heartbeats that are not older than `age`, for a host that leads from now on.
    pub fn drain(&mut self, age: Duration, now: Time) -> Vec<AnnouncedHeartbeat> {
        let targets = std::mem::take(&mut self.targets).into_values();
        let newest = targets.filter(|taken| now < taken.at + age);
        newest.map(|taken| taken.newest.into()).collect()
    }

    /// Begins to tell another leader, which has nothing in full.
    fn begin_term(&mut self, term: Term, now: Time) {
        self.term = term;
        self.last_batch = None;
        self.open_until = self.open_until.max(now + ANSWER_TIMEOUT);
        for taken in self.targets.values_mut() {
            taken.told = false;
        }
    }
}

impl Taken {
    /// Returns what the leader is told, and records that it is.
    fn forward(&mut self) -> Forwarded {
        self.fresh = false;
        if !self.told {
            self.told = true;
            return Forwarded::Full(Box::new(self.newest.clone()), self.digest);
        }
        let heartbeat = &self.newest.presence.heartbeat;
        Forwarded::Unchanged {
            target: heartbeat.target.clone(),
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            digest: self.digest,
        }
    }
}

/// The last heartbeat in full of a target that sends its heartbeats to another control host.
#[derive(Debug)]
struct Known {
    taken: TakenHeartbeat,
    digest: u64,
    /// The host that took it.
    host: HostId,
}

/// What the leader has from other control hosts.
#[derive(Debug, Default)]
pub struct Forwards {
    known: BTreeMap<TargetId, Known>,
    /// When each host last sent a batch; those that were found silent are left out.
    heard: BTreeMap<HostId, Time>,
    /// The addresses at which these hosts accept messages from targets.
    addresses: BTreeMap<HostId, SocketAddr>,
}

/// What follows from a batch.
#[derive(Debug, Default)]
pub struct Unpacked {
    /// The heartbeats.
    pub heartbeats: Vec<AnnouncedHeartbeat>,
    /// Targets that have to be told in full.
    pub missing: Vec<TargetId>,
}

impl Forwards {
    /// Unpacks a batch of a host.
    pub fn unpack(&mut self, host: HostId, batch: Vec<Forwarded>, now: Time) -> Unpacked {
        self.heard.insert(host, now);
        let mut unpacked = Unpacked::default();
        for forwarded in batch {
            match forwarded {
                Forwarded::Full(taken, digest) => {
                    let taken = *taken;
                    unpacked.heartbeats.push(taken.clone().into());
                    let target = taken.presence.heartbeat.target.clone();
                    let known = Known {
                        taken,
                        digest,
                        host,
                    };
                    self.known.insert(target, known);
                }
                Forwarded::Unchanged {
                    target,
                    incarnation,
                    sequence,
                    digest,
                } => match self.known.get_mut(&target) {
                    Some(known) if known.is(host, incarnation, digest) => {
                        known.taken.presence.heartbeat.sequence = sequence;
                        let mut heartbeat = AnnouncedHeartbeat::from(known.taken.clone());
                        heartbeat.heartbeat.cache.clear();
                        unpacked.heartbeats.push(heartbeat);
                    }
                    _ => unpacked.missing.push(target),
                },
            }
        }
        unpacked
    }

    /// Returns the targets whose host has fallen silent since the last call: their heartbeats may be
    /// on their way to another one.
    pub fn newly_silent(&mut self, now: Time) -> Vec<TargetId> {
        let silent = |heard: &Time| now >= *heard + SILENT_AFTER;
        let hosts = self.heard.iter().filter(|(_, heard)| silent(heard));
        let hosts: Vec<HostId> = hosts.map(|(host, _)| *host).collect();
        let mut targets = Vec::new();
        for host in hosts {
            self.heard.remove(&host);
            self.addresses.remove(&host);
            let its = self.known.iter().filter(|(_, known)| known.host == host);
            targets.extend(its.map(|(target, _)| target.clone()));
        }
        targets
    }

    /// Records the address at which a host accepts messages from targets.
    pub fn set_address(&mut self, host: HostId, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.addresses.insert(host, address),
            None => self.addresses.remove(&host),
        };
    }

    /// Returns the addresses of the hosts that send batches, by their ids.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.values().copied().collect()
    }

    /// Returns the number of targets that other hosts have told of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no other host has told of a target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets targets that are not registered any more.
    pub fn retain(&mut self, is_registered: impl Fn(&TargetId) -> bool) {
        self.known.retain(|target, _| is_registered(target));
    }
}

impl Known {
    /// Whether it is the last heartbeat in full that a host means.
    fn is(&self, host: HostId, incarnation: Incarnation, digest: u64) -> bool {
        let same = self.host == host && self.digest == digest;
        same && self.taken.presence.heartbeat.incarnation == incarnation
    }
}

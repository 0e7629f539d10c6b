//! A fake of control: claims, strikes, reservations and the fleet view.

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{CallerId, Name};
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Replica, State, Target, View};

use crate::claim::{Outcome, Reply};
use crate::event::{CallId, Digest};
use crate::quarantine::TargetInstance;

/// The settings of a simulation, with limits low enough to be reached.
pub const SETTINGS: &str = "
refusing: { queue: 12, caller: 9, quarantine-s: 3600 }
placing: { concurrency: 3 }
regions: [{ name: perth-a, distance-ms: 30, price: 0.1 }]
classes: [{ name: urgent, weight: 100 }, { name: patient, weight: 1 }]
models: [{ name: report, bytes: 1000 }]
services: [{ name: bids }]
";

/// Maximum number of requests that wait on one core, as in [`SETTINGS`].
pub const MAX_QUEUED: usize = 12;

/// Maximum number of requests of one caller on one core, as in [`SETTINGS`].
pub const MAX_PER_CALLER: u32 = 9;

/// A fake target with one replica and one service.
#[derive(Debug, Clone)]
pub struct FakeTarget {
    pub name: Name,
    /// The target's incarnation; it changes when the target dies.
    pub incarnation: u64,
    /// Whether its process runs.
    pub alive: bool,
    /// Whether it accepts new work.
    pub open: bool,
    /// The id of its replica.
    pub replica: u64,
    pub state: State,
}

/// The owner of a claim and its recorded outcome.
#[derive(Debug, Clone)]
struct CommittedClaim {
    owner: CallId,
    digest: Digest,
    outcome: Option<Outcome>,
}

/// The replicated state of the fake control.
#[derive(Debug, Default)]
pub struct FakeControl {
    claims: BTreeMap<(CallerId, Name), CommittedClaim>,
    strikes: BTreeMap<u64, BTreeSet<TargetInstance>>,
    reserved: BTreeMap<TargetInstance, usize>,
    /// Number of views published after the first complete one, whose sequence number is 1.
    sequence: u64,
}

impl FakeControl {
    /// Commits a claim, or returns why it cannot.
    pub fn claim(&mut self, owner: CallId, at: (CallerId, Name), digest: Digest) -> Reply {
        let held = self.claims.entry(at).or_insert(CommittedClaim {
            owner,
            digest,
            outcome: None,
        });
        if held.digest != digest {
            return Reply::Mismatch;
        }
        match held.outcome {
            Some(Outcome::Answered) => Reply::Recorded(bytes::Bytes::from_static(b"ok")),
            Some(_) => Reply::Unknown,
            None if held.owner == owner => Reply::Granted,
            None => Reply::InProgress,
        }
    }

    /// Commits an outcome; ignored unless it comes from the claim's owner.
    pub fn record(&mut self, owner: CallId, at: &(CallerId, Name), outcome: Outcome) {
        let Some(held) = self.claims.get_mut(at) else {
            return;
        };
        if held.owner != owner {
            return;
        }
        if outcome == Outcome::NotRun {
            self.claims.remove(at);
        } else if held.outcome.is_none() {
            held.outcome = Some(outcome);
        }
    }

    /// Counts a strike and returns the change to publish.
    pub fn strike(&mut self, fingerprint: u64, instance: TargetInstance) -> Change {
        let lives = self.strikes.entry(fingerprint).or_default();
        lives.insert(instance);
        strikes(fingerprint, lives)
    }

    /// Clears the strikes of a fingerprint and returns the change to publish.
    pub fn clear_strikes(&mut self, fingerprint: u64) -> Change {
        self.strikes.remove(&fingerprint);
        Change::StrikeCount(fingerprint, 0)
    }

    /// Reserves a target for one core's suspects; returns whether that core now holds it.
    pub fn reserve(&mut self, instance: TargetInstance, core: usize) -> bool {
        *self.reserved.entry(instance).or_insert(core) == core
    }

    /// Ends a reservation, if this core holds it.
    pub fn unreserve(&mut self, instance: &TargetInstance, core: usize) {
        if self.reserved.get(instance) == Some(&core) {
            self.reserved.remove(instance);
        }
    }

    /// Returns the next incremental view, with these changes.
    pub fn changes(&mut self, changes: Vec<Change>) -> View {
        let from = self.sequence + 1;
        self.sequence += 1;
        View {
            term: 1,
            from,
            to: from + 1,
            changes,
        }
    }

    /// Returns the complete view.
    pub fn complete_view(&self, targets: &[FakeTarget], cores: usize) -> View {
        let mut changes = vec![Change::Settings(1, SETTINGS.into())];
        changes.extend((0..cores).map(host));
        changes.extend(targets.iter().flat_map(FakeTarget::changes));
        let struck = self.strikes.iter();
        changes.extend(struck.map(|(fingerprint, lives)| strikes(*fingerprint, lives)));
        View {
            term: 1,
            from: 0,
            to: self.sequence + 1,
            changes,
        }
    }
}

impl FakeTarget {
    /// Returns what control publishes about the target.
    pub fn changes(&self) -> [Change; 2] {
        let target = Target {
            target: self.name.clone(),
            incarnation: self.incarnation,
            kind: Kind::Worker,
            address: ([10, 0, 0, 1], 9_000).into(),
            region: "perth-a".into(),
            zone: "perth-a1".into(),
            services: vec!["bids".into()],
            open: self.open,
            load: Load::default(),
            slots: None,
        };
        let replica = Replica {
            replica: self.replica,
            model: "report".into(),
            version: None,
            target: self.name.clone(),
            state: self.state,
            ready_in_ms: 0,
            adapters: Vec::new(),
        };
        [Change::Target(target), Change::Replica(replica)]
    }
}

/// Returns the number of strikes, as control publishes it.
fn strikes(fingerprint: u64, lives: &BTreeSet<TargetInstance>) -> Change {
    Change::StrikeCount(fingerprint, u32::try_from(lives.len()).unwrap_or(u32::MAX))
}

/// Returns an entry host, as control publishes it.
fn host(core: usize) -> Change {
    Change::Entry(Host {
        host: core as u64,
        incarnation: 1,
        address: ([10, 0, 1, 1], 8_000).into(),
        region: "perth-a".into(),
        zone: "perth-a1".into(),
        load: 0,
        draining: false,
        settings: 1,
    })
}

//! Publishes the view as a sequence of numbered changes.

use std::collections::{BTreeSet, VecDeque};

use cornelhitch_types::id::{HostId, ReplicaId, TargetId, Term, Time};
use cornelhitch_types::view::{Change, View};

use crate::output::{Audience, Output};
use crate::scene::Scene;

/// The minimum interval between two urgent publications, for each entry host.
const SPACING: Time = Time::from_micros(300);

/// The maximum number of changes kept for entry hosts that missed them.
const KEPT: usize = 20_000;

/// The changes of one publication.
#[derive(Debug)]
struct Page {
    sequence: u64,
    changes: Vec<Change>,
}

/// The published changes and those still to be published.
#[derive(Debug)]
pub(crate) struct Feed {
    term: Term,
    sequence: u64,
    published: Option<Time>,
    pages: VecDeque<Page>,
    kept: usize,
    urgent: bool,
    targets: BTreeSet<TargetId>,
    replicas: BTreeSet<ReplicaId>,
    hosts: BTreeSet<HostId>,
    others: Vec<Change>,
}

impl Feed {
    /// Creates a feed that has published nothing.
    pub(crate) fn new(term: Term) -> Self {
        Self {
            term,
            sequence: 1,
            published: None,
            pages: VecDeque::new(),
            kept: 0,
            urgent: false,
            targets: BTreeSet::new(),
            replicas: BTreeSet::new(),
            hosts: BTreeSet::new(),
            others: Vec::new(),
        }
    }

    /// Marks a target as changed; an urgent change skips the regular interval.
    pub(crate) fn target(&mut self, target: &TargetId, urgent: bool) {
        self.targets.insert(target.clone());
        self.urgent |= urgent;
    }

    /// Marks a replica as changed; an urgent change skips the regular interval.
    pub(crate) fn replica(&mut self, replica: ReplicaId, urgent: bool) {
        self.replicas.insert(replica);
        self.urgent |= urgent;
    }

    /// Marks an entry host as changed.
    pub(crate) fn host(&mut self, host: HostId) {
        self.hosts.insert(host);
    }

    /// Adds a change as it is; an urgent change skips the regular interval.
    pub(crate) fn push(&mut self, change: Change, urgent: bool) {
        self.others.push(change);
        self.urgent |= urgent;
    }

    /// Returns the sequence number of the newest publication.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns whether the first full view was published.
    pub(crate) fn is_open(&self) -> bool {
        self.published.is_some()
    }

    /// Publishes the first full view to every entry host.
    pub(crate) fn open(&mut self, scene: &Scene) -> Output {
        self.published = Some(scene.now);
        self.clear();
        self.whole(Audience::All, scene)
    }

    /// Publishes pending changes, if the interval has passed; urgent ones wait for a shorter
    /// interval.
    pub(crate) fn flush(&mut self, scene: &Scene, interval: Time) -> Option<Output> {
        let published = self.published?;
        // Each publication costs one message for each host, so the interval grows with their
        // number.
        let hosts = u32::try_from(scene.leases.iter().count()).unwrap_or(u32::MAX);
        let least = SPACING.saturating_mul(hosts).min(interval);
        let wait = if self.urgent { least } else { interval };
        if scene.now < published + wait {
            return None;
        }
        self.published = Some(scene.now);
        let changes = self.collect(scene);
        if changes.is_empty() {
            return None;
        }
        let from = self.sequence;
        self.sequence += 1;
        self.keep(changes.clone());
        let view = View {
            term: self.term,
            from,
            to: self.sequence,
            changes,
        };
        Some(Output::Publish {
            to: Audience::All,
            view,
        })
    }

    /// Returns the changes that an entry host has missed, or the full view if they are no longer
    /// kept.
    pub(crate) fn resync(
        &self,
        host: HostId,
        term: Term,
        sequence: u64,
        scene: &Scene,
    ) -> Option<Output> {
        self.published?;
        let to = Audience::Host(host);
        let first = self
            .pages
            .front()
            .map_or(self.sequence + 1, |page| page.sequence);
        let known = (first.saturating_sub(1)..=self.sequence).contains(&sequence);
        if term != self.term || !known {
            return Some(self.whole(to, scene));
        }
        let missed = self.pages.iter().filter(|page| page.sequence > sequence);
        let view = View {
            term: self.term,
            from: sequence,
            to: self.sequence,
            changes: missed.flat_map(|page| page.changes.clone()).collect(),
        };
        Some(Output::Publish { to, view })
    }

    /// Builds a publication of the full view.
    fn whole(&self, to: Audience, scene: &Scene) -> Output {
        let view = View {
            term: self.term,
            from: 0,
            to: self.sequence,
            changes: scene.whole(),
        };
        Output::Publish { to, view }
    }

    /// Returns the changes since the last publication, and clears them.
    fn collect(&mut self, scene: &Scene) -> Vec<Change> {
        let mut changes = std::mem::take(&mut self.others);
        for target in std::mem::take(&mut self.targets) {
            let now = scene.target(&target).map(Change::Target);
            changes.push(now.unwrap_or(Change::TargetGone(target)));
        }
        for replica in std::mem::take(&mut self.replicas) {
            let now = scene.replica(replica).map(Change::Replica);
            changes.push(now.unwrap_or(Change::ReplicaGone(replica)));
        }
        for host in std::mem::take(&mut self.hosts) {
            let now = scene.leases.get(host).and_then(|lease| scene.entry(lease));
            changes.push(now.unwrap_or(Change::EntryGone(host)));
        }
        self.urgent = false;
        changes
    }

    /// Clears pending changes, because the full view contains them.
    fn clear(&mut self) {
        self.others.clear();
        self.targets.clear();
        self.replicas.clear();
        self.hosts.clear();
        self.urgent = false;
    }

    /// Keeps changes for entry hosts that miss them, and drops the oldest above the limit.
    fn keep(&mut self, changes: Vec<Change>) {
        self.kept += changes.len();
        self.pages.push_back(Page {
            sequence: self.sequence,
            changes,
        });
        while self.kept > KEPT {
            let Some(page) = self.pages.pop_front() else {
                return;
            };
            self.kept -= page.changes.len();
        }
    }
}

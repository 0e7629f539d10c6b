//! Publishes the view as a sequence of numbered changes.

use std::collections::{BTreeSet, VecDeque};

use cornelhitch_types::id::{HostId, ReplicaId, TargetId, Term, Time};
use cornelhitch_types::view::{Change, View};

use crate::full_views::FullViews;
use crate::output::{Audience, Output};
use crate::view_builder::ViewBuilder;

/// The minimum interval between two urgent publications, for each entry host.
const URGENT_INTERVAL_PER_HOST: Time = Time::from_millis(1);

/// The changes of one publication.
#[derive(Debug)]
struct Publication {
    sequence: u64,
    changes: Vec<Change>,
}

/// The published changes and those still to be published.
#[derive(Debug)]
pub(crate) struct Feed {
    term: Term,
    sequence: u64,
    last_published: Option<Time>,
    publications: VecDeque<Publication>,
    kept_changes: usize,
    /// The most changes that are kept for entry hosts which missed them.
    max_kept_changes: usize,
    urgent: bool,
    changed_targets: BTreeSet<TargetId>,
    changed_replicas: BTreeSet<ReplicaId>,
    changed_hosts: BTreeSet<HostId>,
    changed_sections: BTreeSet<u64>,
    other_changes: Vec<Change>,
    full_views: FullViews,
}

impl Feed {
    /// Creates a feed that has published nothing, and keeps this many changes.
    pub(crate) fn new(term: Term, max_kept_changes: usize) -> Self {
        Self {
            term,
            sequence: 1,
            last_published: None,
            publications: VecDeque::new(),
            kept_changes: 0,
            max_kept_changes,
            urgent: false,
            changed_targets: BTreeSet::new(),
            changed_replicas: BTreeSet::new(),
            changed_hosts: BTreeSet::new(),
            changed_sections: BTreeSet::new(),
            other_changes: Vec::new(),
            full_views: FullViews::default(),
        }
    }

    /// Marks a target as changed; an urgent change skips the regular interval.
    pub(crate) fn mark_target(&mut self, target: &TargetId, urgent: bool) {
        self.changed_targets.insert(target.clone());
        self.urgent |= urgent;
    }

    /// Marks a replica as changed; an urgent change skips the regular interval.
    pub(crate) fn mark_replica(&mut self, replica: ReplicaId, urgent: bool) {
        self.changed_replicas.insert(replica);
        self.urgent |= urgent;
    }

    /// Marks an entry host as changed.
    pub(crate) fn mark_host(&mut self, host: HostId) {
        self.changed_hosts.insert(host);
    }

    /// Marks a prompt section as changed, which skips the regular interval.
    pub(crate) fn mark_section(&mut self, section: u64) {
        self.changed_sections.insert(section);
        self.urgent = true;
    }

    /// Adds an already built change; an urgent change skips the regular interval.
    pub(crate) fn push(&mut self, change: Change, urgent: bool) {
        self.other_changes.push(change);
        self.urgent |= urgent;
    }

    /// Returns the sequence number of the newest publication.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns whether the first full view was published.
    pub(crate) fn is_published(&self) -> bool {
        self.last_published.is_some()
    }

    /// Publishes the first full view to every entry host.
    pub(crate) fn publish_full(&mut self, view_builder: &ViewBuilder) -> Output {
        self.last_published = Some(view_builder.now);
        self.clear_pending();
        let to = Audience::All;
        let view = self.full_view(view_builder);
        Output::Publish { to, view }
    }

    /// Publishes pending changes, if the interval has passed; urgent ones wait for a shorter
    /// interval.
    pub(crate) fn flush(&mut self, view_builder: &ViewBuilder, interval: Time) -> Option<Output> {
        let published = self.last_published?;
        // Each publication costs one message for each host, so the interval grows with their
        // number.
        let hosts = u32::try_from(view_builder.leases.iter().count()).unwrap_or(u32::MAX);
        let urgent_interval = URGENT_INTERVAL_PER_HOST.saturating_mul(hosts).min(interval);
        let wait = if self.urgent {
            urgent_interval
        } else {
            interval
        };
        if view_builder.now < published + wait {
            return None;
        }
        self.last_published = Some(view_builder.now);
        let changes = self.collect(view_builder);
        if changes.is_empty() {
            return None;
        }
        let from = self.sequence;
        self.sequence += 1;
        self.keep_publication(changes.clone());
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

    /// Returns the changes that an entry host has missed; `None` if it needs the full view, which it
    /// gets with [`Feed::send_full_views`].
    pub(crate) fn resync(&mut self, host: HostId, term: Term, sequence: u64) -> Option<Output> {
        let first = self
            .publications
            .front()
            .map_or(self.sequence + 1, |publication| publication.sequence);
        let known = (first.saturating_sub(1)..=self.sequence).contains(&sequence);
        if term != self.term || !known || !self.is_published() {
            self.full_views.request(host);
            return None;
        }
        let to = Audience::Host(host);
        let missed = self
            .publications
            .iter()
            .filter(|publication| publication.sequence > sequence);
        let view = View {
            term: self.term,
            from: sequence,
            to: self.sequence,
            changes: missed
                .flat_map(|publication| publication.changes.clone())
                .collect(),
        };
        Some(Output::Publish { to, view })
    }

    /// Sends the full view to some of the entry hosts that wait for it, once it was published.
    pub(crate) fn send_full_views(&mut self, view_builder: &ViewBuilder) -> Option<Output> {
        self.last_published?;
        if !self.full_views.is_due(view_builder.now) {
            return None;
        }
        let view = self.full_view(view_builder);
        let hosts = self
            .full_views
            .take_due(view.changes.len(), view_builder.now);
        let to = match hosts[..] {
            [] => return None,
            [host] => Audience::Host(host),
            _ => Audience::Hosts(hosts),
        };
        Some(Output::Publish { to, view })
    }

    /// Builds the full view.
    fn full_view(&self, view_builder: &ViewBuilder) -> View {
        View {
            term: self.term,
            from: 0,
            to: self.sequence,
            changes: view_builder.full_view(),
        }
    }

    /// Returns the changes since the last publication, and clears them.
    fn collect(&mut self, view_builder: &ViewBuilder) -> Vec<Change> {
        let mut changes = std::mem::take(&mut self.other_changes);
        for target in std::mem::take(&mut self.changed_targets) {
            let now = view_builder.target(&target).map(Change::Target);
            changes.push(now.unwrap_or(Change::TargetRemoved(target)));
        }
        for replica in std::mem::take(&mut self.changed_replicas) {
            let now = view_builder.replica(replica).map(Change::Replica);
            changes.push(now.unwrap_or(Change::ReplicaRemoved(replica)));
        }
        for host in std::mem::take(&mut self.changed_hosts) {
            let now = view_builder
                .leases
                .get(host)
                .and_then(|lease| view_builder.entry(lease));
            changes.push(now.unwrap_or(Change::EntryRemoved(host)));
        }
        for section in std::mem::take(&mut self.changed_sections) {
            changes.push(view_builder.section(section));
        }
        self.urgent = false;
        changes
    }

    /// Clears pending changes, because the full view contains them.
    fn clear_pending(&mut self) {
        self.other_changes.clear();
        self.changed_targets.clear();
        self.changed_replicas.clear();
        self.changed_hosts.clear();
        self.changed_sections.clear();
        self.urgent = false;
    }

    /// Keeps changes for entry hosts that miss them, and drops the oldest above the limit. Of the route
    /// tables, which may be large, only the newest is kept: who misses an earlier one misses that too.
    fn keep_publication(&mut self, changes: Vec<Change>) {
        if changes.iter().any(Change::is_table) {
            for publication in &mut self.publications {
                let before = publication.changes.len();
                publication.changes.retain(|change| !change.is_table());
                self.kept_changes -= before - publication.changes.len();
            }
        }
        self.kept_changes += changes.len();
        self.publications.push_back(Publication {
            sequence: self.sequence,
            changes,
        });
        while self.kept_changes > self.max_kept_changes {
            let Some(publication) = self.publications.pop_front() else {
                return;
            };
            self.kept_changes -= publication.changes.len();
        }
    }
}

//! What the leader knows of the targets' software: the versions that they state, and which of them
//! began the streams of services that run several.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use cornelhitch_entry::software::{
    ORIGIN_RETENTION, OriginAnswer, SoftwareVersion, StreamBegun, VERSION_RETENTION,
};
use cornelhitch_types::id::{Incarnation, Name, TargetId, Time};
use cornelhitch_types::target::{AnnouncedHeartbeat, TargetSoftware};
use cornelhitch_types::view::{Change, View};

/// How long after its last heartbeat a target counts for the versions of its service.
const HEARD_TIME: Duration = Duration::from_secs(5);

/// Interval between two looks for versions that are not remembered any more, while there is no room for others.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Fewest targets at which those that are not registered any more are forgotten.
const MIN_FORGET: usize = 64;

/// Maximum number of streams with a record; the oldest are dropped first.
const MAX_RECORDS: usize = 200_000;

/// Returns a time in milliseconds.
fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The record of a stream.
#[derive(Debug)]
struct Record {
    version: SoftwareVersion,
    expiry: Time,
}

/// The register of one leader's term.
///
/// It is soft state: a new leader hears all targets again, and entry hosts tell it of their streams
/// again.
#[derive(Debug, Default)]
pub struct SoftwareRegister {
    /// When the leader began to hear targets.
    since: Time,
    targets: BTreeMap<TargetId, (Incarnation, Name)>,
    /// The incarnations that were in a view for all hosts.
    published: BTreeMap<TargetId, Incarnation>,
    /// Number of targets at which those that are not registered any more are forgotten.
    forget_at: usize,
    /// When a target of each version of a service was last heard.
    heard: BTreeMap<Name, BTreeMap<SoftwareVersion, Time>>,
    /// The number of versions of all services.
    versions: usize,
    /// When versions that are not remembered any more are next looked for.
    prune_at: Time,
    records: HashMap<u64, Record>,
    /// The streams of the records in the order in which they expire; those recorded again are in it
    /// more than once.
    expiries: VecDeque<(Time, u64)>,
}

impl SoftwareRegister {
    /// Creates the register of a leader that begins to hear targets.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Returns whether each version that a target states is known, or there are fewer than `max_versions`.
    ///
    /// A version that is forgotten could be taken for one that never ran, so that none makes room before its
    /// time.
    pub fn has_room_for(
        &mut self,
        presence: &AnnouncedHeartbeat,
        max_versions: usize,
        now: Time,
    ) -> bool {
        if self.versions >= max_versions && now >= self.prune_at {
            self.prune_at = now + PRUNE_INTERVAL;
            self.prune(now);
        }
        let services = presence.announcement.services.iter();
        let new = services.filter(|it| !self.is_heard(it, &presence.software));
        let new = new.count();
        new == 0 || self.versions + new <= max_versions
    }

    /// Returns whether a version of a service has been heard.
    fn is_heard(&self, service: &str, version: &SoftwareVersion) -> bool {
        let versions = self.heard.get(service);
        versions.is_some_and(|versions| versions.contains_key(version))
    }

    /// Forgets versions that have not been heard for long.
    fn prune(&mut self, now: Time) {
        self.heard.retain(|_, versions| {
            versions.retain(|_, heard| now < *heard + VERSION_RETENTION);
            !versions.is_empty()
        });
        self.versions = self.heard.values().map(BTreeMap::len).sum();
    }

    /// Records what a target states; returns it if it is new.
    pub fn hear(&mut self, presence: &AnnouncedHeartbeat, now: Time) -> Option<TargetSoftware> {
        let announcement = &presence.announcement;
        let (target, incarnation) = (&announcement.target, announcement.incarnation);
        let known = self.targets.get(target).cloned();
        if known
            .as_ref()
            .is_some_and(|(known, _)| *known > incarnation)
        {
            return None;
        }
        for service in &announcement.services {
            let versions = self.heard.entry(service.clone()).or_default();
            if versions.insert(presence.software.clone(), now).is_none() {
                let before = versions.len();
                versions.retain(|_, heard| now < *heard + VERSION_RETENTION);
                self.versions = self.versions + 1 + versions.len() - before;
            }
        }
        let version = presence.software.clone()?;
        let stated = (incarnation, version.clone());
        if known.as_ref() == Some(&stated) {
            return None;
        }
        self.targets.insert(target.clone(), stated);
        Some(TargetSoftware {
            target: target.clone(),
            incarnation,
            version,
        })
    }

    /// Returns the software of the targets in a view that goes to one host.
    #[must_use]
    pub fn of_view(&self, view: &View) -> Vec<TargetSoftware> {
        let targets = view.changes.iter().filter_map(|change| match change {
            Change::Target(target) => self.targets.get_key_value(&target.target),
            _ => None,
        });
        let software = targets.map(|(target, (incarnation, version))| TargetSoftware {
            target: target.clone(),
            incarnation: *incarnation,
            version: version.clone(),
        });
        software.collect()
    }

    /// Returns the software of the targets in a view that goes to all hosts, of each incarnation once.
    pub fn of_first_view(&mut self, view: &View) -> Vec<TargetSoftware> {
        let mut software = self.of_view(view);
        software.retain(|it| {
            let published = self.published.insert(it.target.clone(), it.incarnation);
            published != Some(it.incarnation)
        });
        software
    }

    /// Forgets targets that are not registered any more, if there may be many of them.
    pub fn retain(&mut self, is_registered: impl Fn(&TargetId) -> bool) {
        if self.targets.len() < self.forget_at {
            return;
        }
        self.targets.retain(|target, _| is_registered(target));
        self.published.retain(|target, _| is_registered(target));
        self.forget_at = MIN_FORGET.max(2 * self.targets.len());
    }

    /// Records which versions began streams.
    pub fn record_streams(&mut self, streams: Vec<StreamBegun>, now: Time) {
        let expiry = now + ORIGIN_RETENTION;
        for stream in streams {
            let version = stream.version;
            let record = Record { version, expiry };
            self.records.insert(stream.attempt, record);
            self.expiries.push_back((expiry, stream.attempt));
        }
        while let Some((expiry, attempt)) = self.expiries.front().copied()
            && (expiry <= now || self.expiries.len() > MAX_RECORDS)
        {
            self.expiries.pop_front();
            let record = self.records.get(&attempt);
            if record.is_some_and(|record| record.expiry == expiry) {
                self.records.remove(&attempt);
            }
        }
    }

    /// Returns what is known of the origin of a stream; the position of the view is left out.
    #[must_use]
    pub fn origin(&self, service: &str, attempt: Option<u64>, now: Time) -> OriginAnswer {
        let recorded = attempt.and_then(|attempt| {
            let version = self.records.get(&attempt)?.version.clone();
            Some(StreamBegun { attempt, version })
        });
        let heard = self.heard.get(service).into_iter().flatten();
        let current = heard
            .clone()
            .filter(|(_, heard)| now < **heard + HEARD_TIME);
        let versions: Vec<SoftwareVersion> = current.map(|(version, _)| version.clone()).collect();
        let others = heard.filter(|(version, _)| !versions.contains(version));
        let last = others.map(|(_, heard)| *heard).max();
        let changed = last.unwrap_or(self.since).max(self.since);
        OriginAnswer {
            recorded,
            versions,
            unchanged_ms: milliseconds(now.saturating_sub(changed)),
            other_heard_ms: last.map(|last| milliseconds(now.saturating_sub(last))),
            ..OriginAnswer::default()
        }
    }

    /// Returns the versions of each service, with the number of targets of each, for operators.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let targets = self.targets.iter();
        let targets: BTreeMap<&str, &str> = targets
            .map(|(target, (_, version))| (&**target, &**version))
            .collect();
        let services = self.heard.iter().map(|(service, versions)| {
            let versions = versions.keys();
            let versions: Vec<&str> = versions.map(|it| it.as_deref().unwrap_or("")).collect();
            (&**service, versions)
        });
        let services: BTreeMap<&str, Vec<&str>> = services.collect();
        serde_json::json!({
            "targets": targets, "services": services, "streams": self.records.len(),
        })
    }
}

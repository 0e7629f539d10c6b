//! Versions of the targets' software, and which of them began a stream.
//!
//! What targets of two versions write does not fit together, so a stream that breaks goes on only at
//! the version that began it. A host knows that version for the streams that it passed on itself. For
//! those that a caller takes up elsewhere it asks the leader, which has a record of the streams that
//! began while their service ran several versions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, Name, TargetId, Time};
use cornelhitch_types::target::TargetSoftware;
use serde::{Deserialize, Serialize};

use crate::fleet_view::FleetView;

/// How long it is kept which version began a stream.
pub const ORIGIN_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of streams that one host keeps; the oldest are dropped first.
const MAX_STREAMS: usize = 20_000;

/// Time beyond the limit of its route within which a stream that is taken up has begun.
const ORIGIN_SLACK: Duration = Duration::from_secs(2);

/// A version of a target's software; `None` if the target states none.
pub type SoftwareVersion = Option<Name>;

/// A stream that began at a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBegun {
    /// The digest of the caller's attempt; see [`crate::fingerprint::of_attempt`].
    pub attempt: u64,
    /// The version of the target's software.
    pub version: SoftwareVersion,
}

/// What the leader knows of the origin of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The stream's record, if there is one.
    pub recorded: Option<StreamBegun>,
    /// The versions that targets of the service run now, as far as the leader has heard them.
    pub versions: Vec<SoftwareVersion>,
    /// How long it has heard no others, in milliseconds.
    pub unchanged_ms: u64,
}

/// The software that an incarnation runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Stated {
    incarnation: Incarnation,
    version: Name,
}

/// What this host knows of the targets' software.
#[derive(Debug, Default, Serialize)]
pub struct Software {
    targets: BTreeMap<TargetId, Stated>,
    /// When targets of each version of a service were last in the view; see [`key`].
    seen: BTreeMap<Name, BTreeMap<String, Time>>,
    /// The services and versions of the targets that are in the view.
    present: BTreeSet<(Name, String)>,
    /// When this host began to watch, or lost what it knew.
    since: Time,
    /// Streams that began here, the oldest first.
    #[serde(skip)]
    streams: VecDeque<(Time, Name, StreamBegun)>,
}

/// Returns the key of a version in [`Software::seen`].
fn key(version: &SoftwareVersion) -> String {
    version.as_deref().unwrap_or_default().to_owned()
}

impl Software {
    /// Creates an empty state.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Applies what the leader tells.
    pub fn apply(&mut self, software: Vec<TargetSoftware>) {
        for entry in software {
            let (incarnation, version) = (entry.incarnation, entry.version);
            let stated = Stated {
                incarnation,
                version,
            };
            self.targets.insert(entry.target, stated);
        }
    }

    /// Returns the version that an incarnation of a target runs.
    #[must_use]
    pub fn version(&self, target: &str, incarnation: Incarnation) -> SoftwareVersion {
        let stated = self.targets.get(target);
        let stated = stated.filter(|stated| stated.incarnation == incarnation);
        stated.map(|stated| stated.version.clone())
    }

    /// Records which versions the targets in the view run, and drops what is known of others.
    pub(crate) fn watch(&mut self, view: &FleetView, now: Time) {
        self.targets
            .retain(|target, _| view.targets.contains_key(target));
        let mut present = BTreeSet::new();
        for target in view.targets.values() {
            let version = self.version(&target.view.target, target.view.incarnation);
            let services = target.view.services.iter();
            present.extend(services.map(|service| (service.clone(), key(&version))));
        }
        // What was in the view before was there until now.
        let before = std::mem::replace(&mut self.present, present);
        for (service, version) in before.iter().chain(&self.present) {
            let versions = self.seen.entry(service.clone()).or_default();
            versions.insert(version.clone(), now);
        }
        for versions in self.seen.values_mut() {
            versions.retain(|_, seen| now < *seen + ORIGIN_RETENTION);
        }
    }

    /// Whether the targets of a service have run several versions lately.
    #[must_use]
    pub fn is_mixed(&self, service: &str) -> bool {
        let versions = self.seen.get(service);
        versions.is_some_and(|versions| versions.len() > 1)
    }

    /// Returns the version that all targets of a service have run for a time, if there is one.
    fn only_version(&self, service: &str, length: Duration, now: Time) -> Option<SoftwareVersion> {
        let mut present = self.present.iter().filter(|(name, _)| **name == *service);
        let (_, version) = present.next()?;
        if present.next().is_some() {
            return None;
        }
        let versions = self.seen.get(service).into_iter().flatten();
        let others = versions.filter(|(other, _)| *other != version);
        let last = others.map(|(_, seen)| *seen).max();
        let since = last.unwrap_or(self.since).max(self.since);
        let lasted = now.saturating_sub(since) >= length;
        let version = (!version.is_empty()).then(|| version.as_str().into());
        lasted.then_some(version)
    }

    /// Returns the version that began a stream, if the leader's answer and what this host has seen
    /// leave no doubt; `limit` is that of the stream's route.
    #[must_use]
    pub fn origin(
        &self,
        service: &str,
        answer: &OriginAnswer,
        limit: Duration,
        now: Time,
    ) -> Option<SoftwareVersion> {
        if let Some(recorded) = &answer.recorded {
            return Some(recorded.version.clone());
        }
        let length = limit + ORIGIN_SLACK;
        if let [only] = &answer.versions[..]
            && Duration::from_millis(answer.unchanged_ms) >= length
        {
            return Some(only.clone());
        }
        let own = self.only_version(service, length, now)?;
        let agrees = answer.versions.iter().all(|version| *version == own);
        agrees.then_some(own)
    }

    /// Keeps the origin of a stream; returns what the leader is to know now.
    pub(crate) fn record_stream(
        &mut self,
        service: Name,
        stream: StreamBegun,
        now: Time,
    ) -> Option<StreamBegun> {
        let oldest_kept = now.saturating_sub(ORIGIN_RETENTION);
        while let Some((at, ..)) = self.streams.front()
            && (*at < oldest_kept || self.streams.len() >= MAX_STREAMS)
        {
            self.streams.pop_front();
        }
        let told = self.is_mixed(&service).then(|| stream.clone());
        self.streams.push_back((now, service, stream));
        told
    }

    /// Returns the streams of services that run several versions, for a leader that has no record of
    /// them.
    #[must_use]
    pub(crate) fn mixed_streams(&self) -> Vec<StreamBegun> {
        let streams = self.streams.iter();
        let streams = streams.filter(|(_, service, _)| self.is_mixed(service));
        streams.map(|(.., stream)| stream.clone()).collect()
    }

    /// Returns the services whose targets have run several versions lately.
    pub(crate) fn mixed_services(&self) -> usize {
        let mixed = self.seen.values().filter(|versions| versions.len() > 1);
        mixed.count()
    }
}

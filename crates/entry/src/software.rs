//! Versions of the targets' software, and which of them began a stream.
//!
//! What targets of two versions write does not fit together, so a stream that breaks goes on only at
//! the version that began it. A host knows that version for the streams that it passed on itself. For
//! those that a caller takes up elsewhere it asks the leader, which has a record of the streams that
//! began while their service ran several versions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, Name, TargetId, Term, Time};
use cornelhitch_types::target::TargetSoftware;
use serde::{Deserialize, Serialize};

use crate::fleet_view::FleetView;

/// How long it is kept which version began a stream.
pub const ORIGIN_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of streams that one host keeps; the oldest are dropped first.
const MAX_STREAMS: usize = 20_000;

/// How long it is kept when a service ran a version.
pub const VERSION_RETENTION: Duration = Duration::from_hours(1);

/// Time beyond the limit of its route within which a stream that is taken up has begun: targets get
/// requests for some seconds after the last that was heard of them, and callers wait before they try
/// again.
const ORIGIN_SLACK: Duration = Duration::from_secs(8);

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
    /// How long ago it last heard another version, in milliseconds; `None` if it has heard none.
    #[serde(default)]
    pub other_heard_ms: Option<u64>,
    /// The term of the leader, and the sequence number of its view; 0 if it did not tell.
    #[serde(default)]
    pub term: Term,
    /// See [`OriginAnswer::term`].
    #[serde(default)]
    pub view: u64,
}

impl OriginAnswer {
    /// Returns the version that the service has run for a time by what the leader has heard.
    fn only_version(&self, length: Duration) -> Option<&SoftwareVersion> {
        let lasted = Duration::from_millis(self.unchanged_ms) >= length;
        match &self.versions[..] {
            [only] if lasted => Some(only),
            _ => None,
        }
    }

    /// Whether the leader has heard several versions in a time, so that nobody else knows better.
    fn is_mixed(&self, length: Duration) -> bool {
        let other = self.other_heard_ms.map(Duration::from_millis);
        self.versions.len() > 1 || other.is_some_and(|ago| ago < length)
    }
}

/// What a stream is taken up with.
#[derive(Debug, Clone, Copy)]
pub struct TakenUp<'a> {
    /// The service.
    pub service: &'a str,
    /// The digest of the attempt that brought its first event, if the caller names one.
    pub attempt: Option<u64>,
    /// The limit of the stream's route; `None` if it has none.
    pub limit: Option<Duration>,
    /// The position of this host's view.
    pub position: (Term, u64),
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
            versions.retain(|_, seen| now < *seen + VERSION_RETENTION);
        }
    }

    /// Forgets how long versions have run: this host was out of touch, and may have missed others.
    pub(crate) fn lose_touch(&mut self, now: Time) {
        self.since = now;
    }

    /// Whether the targets of a service have run several versions lately.
    #[must_use]
    pub fn is_mixed(&self, service: &str, now: Time) -> bool {
        let versions = self.seen.get(service).into_iter().flatten();
        let lately = versions.filter(|(_, seen)| now < **seen + ORIGIN_RETENTION);
        lately.count() > 1
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

    /// Returns the version that began a stream, if the leader's answer and what this host knows leave
    /// no doubt.
    ///
    /// | evidence | what follows |
    /// | --- | --- |
    /// | a record of the stream, here or at the leader | its version |
    /// | the leader has heard one version alone since before the stream can have begun | that one |
    /// | the leader has heard another since then | unknown, whatever this host has seen |
    /// | the leader has not led for so long | this host's view, if it is as new as the leader's and in touch since then |
    #[must_use]
    pub fn origin(
        &self,
        taken_up: &TakenUp,
        answer: &OriginAnswer,
        now: Time,
    ) -> Option<SoftwareVersion> {
        if let Some(recorded) = &answer.recorded {
            return Some(recorded.version.clone());
        }
        if let Some(own) = self.own_record(taken_up) {
            return Some(own.version.clone());
        }
        let length = origin_length(taken_up.limit);
        if let Some(only) = answer.only_version(length) {
            return Some(only.clone());
        }
        let told = answer.term > 0 && taken_up.position >= (answer.term, answer.view);
        if answer.is_mixed(length) || !told {
            return None;
        }
        let own = self.only_version(taken_up.service, length, now)?;
        let agrees = answer.versions.iter().all(|version| *version == own);
        agrees.then_some(own)
    }

    /// Returns this host's own record of a stream.
    fn own_record(&self, taken_up: &TakenUp) -> Option<&StreamBegun> {
        let attempt = taken_up.attempt?;
        let mut newest_first = self.streams.iter().rev();
        let own = newest_first.find(|(.., stream)| stream.attempt == attempt)?;
        (*own.1 == *taken_up.service).then_some(&own.2)
    }

    /// Keeps the origin of a stream; returns what the leader is to know now.
    pub(crate) fn record_stream(
        &mut self,
        service: Name,
        stream: StreamBegun,
        limit: Option<Duration>,
        now: Time,
    ) -> Option<StreamBegun> {
        let oldest_kept = now.saturating_sub(ORIGIN_RETENTION);
        while let Some((at, ..)) = self.streams.front()
            && (*at < oldest_kept || self.streams.len() >= MAX_STREAMS)
        {
            self.streams.pop_front();
        }
        // Where no host could tell without a record, the leader needs one.
        let length = origin_length(limit);
        let doubtful = self.only_version(&service, length, now).is_none();
        let told = (doubtful || self.is_mixed(&service, now)).then(|| stream.clone());
        self.streams.push_back((now, service, stream));
        told
    }

    /// Returns the streams of services that run several versions, for a leader that has no record of
    /// them.
    #[must_use]
    pub(crate) fn mixed_streams(&self, now: Time) -> Vec<StreamBegun> {
        let streams = self.streams.iter();
        let streams = streams.filter(|(_, service, _)| self.is_mixed(service, now));
        streams.map(|(.., stream)| stream.clone()).collect()
    }

    /// Returns the services whose targets have run several versions lately.
    pub(crate) fn mixed_services(&self, now: Time) -> usize {
        let services = self.seen.keys();
        services
            .filter(|service| self.is_mixed(service, now))
            .count()
    }
}

/// Returns the time for which a service must have run one version for a stream without a record to
/// go on; `limit` is that of its route.
fn origin_length(limit: Option<Duration>) -> Duration {
    limit
        .unwrap_or(VERSION_RETENTION)
        .saturating_add(ORIGIN_SLACK)
}

//! The replicated state machine: applies commands and encodes snapshots.

use std::time::Duration;

use bytes::Bytes;
use cornelhitch_types::id::{TargetId, Term, Time};
use cornelhitch_types::target::Announcement;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::claims::{Claims, LIMITS};
use crate::command::{Command, Entry, Reply};
use crate::current_settings::{self, CurrentSettings};
use crate::current_table::CurrentTable;
use crate::error::{Error, FormatVersionSnafu, MalformedSnafu, TrailingBytesSnafu};
use crate::fleet::{self, Fleet};
use crate::replicas::{Answer, Decide, Replicas};
use crate::sections::SectionStrikes;
use crate::strikes::{Strikes, TargetIncarnation};

/// The format version of a snapshot, its first byte, unless its route table has teams.
pub const FORMAT_VERSION: u8 = 3;

/// The format version of a snapshot whose route table has teams, which follow the rest.
const WITH_ACCESS: u8 = 4;

/// The format version of a snapshot without the crashes of prompt sections.
const WITHOUT_SECTIONS: u8 = 2;

/// The state that every control host replicates.
///
/// Applying the same commands in the same order gives the same state on every host: nothing in it
/// depends on a clock, a random source or the iteration order of a hash map.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    entry: Entry,
    current_settings: CurrentSettings,
    fleet: Fleet,
    replicas: Replicas,
    claims: Claims,
    strikes: Strikes,
    current_table: CurrentTable,
    section_strikes: SectionStrikes,
}

/// The state as decoded from a snapshot; the crashes of prompt sections follow it.
#[derive(Debug, Deserialize)]
struct Image {
    entry: Entry,
    #[serde(rename = "catalogue")]
    current_settings: current_settings::Image,
    fleet: Fleet,
    replicas: Replicas,
    claims: Claims,
    strikes: Strikes,
    #[serde(rename = "document")]
    current_table: CurrentTable,
}

/// The state as encoded into a snapshot, with the layout of [`Image`].
#[derive(Serialize)]
struct ImageRef<'a> {
    entry: Entry,
    #[serde(rename = "catalogue")]
    current_settings: current_settings::Image,
    fleet: &'a Fleet,
    replicas: &'a Replicas,
    claims: &'a Claims,
    strikes: &'a Strikes,
    #[serde(rename = "document")]
    current_table: &'a CurrentTable,
}

/// The state as shown to operators.
#[derive(Debug, Serialize)]
pub struct Dump<'a> {
    /// The newest applied entry.
    pub entry: Entry,
    /// The version of the settings in force; 0 when there are none.
    pub settings: u64,
    /// The version of the route table in force; 0 when there is none.
    pub table: u64,
    /// The registered targets.
    pub fleet: &'a Fleet,
    /// The replicas that hold a reservation.
    pub replicas: &'a Replicas,
    /// The number of claims that still have a record.
    pub claims: usize,
    /// The number of claims of which only a digest is left.
    pub tombstones: usize,
    /// Fingerprints of requests that were in progress when targets were lost.
    pub strikes: &'a Strikes,
    /// Prompt sections that were in progress when targets were lost.
    pub section_strikes: &'a SectionStrikes,
}

impl State {
    /// Returns the state as shown to operators.
    #[must_use]
    pub fn dump(&self) -> Dump<'_> {
        Dump {
            entry: self.entry,
            settings: self.current_settings.version(),
            table: self.current_table.version(),
            fleet: &self.fleet,
            replicas: &self.replicas,
            claims: self.claims.len(),
            tombstones: self.claims.tombstones(),
            strikes: &self.strikes,
            section_strikes: &self.section_strikes,
        }
    }

    /// Returns the newest applied entry.
    #[must_use]
    pub fn entry(&self) -> Entry {
        self.entry
    }

    /// Returns the settings and the answers kept for resends.
    #[must_use]
    pub fn current_settings(&self) -> &CurrentSettings {
        &self.current_settings
    }

    /// Returns the route table and its text.
    #[must_use]
    pub fn current_table(&self) -> &CurrentTable {
        &self.current_table
    }

    /// Returns the registered targets.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the replicas and their reservations.
    #[must_use]
    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    /// Returns the claims on requests that must not be repeated.
    #[must_use]
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the fingerprints of requests in progress on lost targets.
    #[must_use]
    pub fn strikes(&self) -> &Strikes {
        &self.strikes
    }

    /// Returns the prompt sections in progress on lost targets.
    #[must_use]
    pub fn section_strikes(&self) -> &SectionStrikes {
        &self.section_strikes
    }

    /// Applies a committed command and returns its reply.
    ///
    /// Entries must arrive in index order, each once. A timestamp older than that of an earlier
    /// entry is replaced by the newest one seen.
    pub fn apply(&mut self, entry: &Entry, command: Command) -> Reply {
        self.entry = Entry {
            time: self.entry.time.max(entry.time),
            ..*entry
        };
        self.run(command)
    }

    /// Runs one command, or each command of a batch.
    fn run(&mut self, command: Command) -> Reply {
        let now = self.entry.time;
        match command {
            Command::Noop => Reply::Nothing,
            Command::Apply(apply) => Reply::Settings(self.current_settings.apply(apply)),
            Command::Register(announcement) => Reply::Target(self.register(announcement, now)),
            Command::Deregister {
                target,
                incarnation,
                attested,
            } => Reply::Target(self.deregister(&target, incarnation, attested)),
            Command::RecordSilence {
                target,
                incarnation,
                silent,
            } => Reply::Target(self.fleet.record_silence(&target, incarnation, silent)),
            Command::Leave {
                target,
                incarnation,
            } => Reply::Target(self.fleet.record_leaving(&target, incarnation)),
            Command::RecordHeld {
                target,
                incarnation,
                models,
            } => Reply::Target(self.fleet.record_held(&target, incarnation, models)),
            Command::PublishTable(submitted) => {
                Reply::Document(self.current_table.publish(submitted))
            }
            Command::PublishGuardedTable(submitted) => {
                Reply::Document(self.current_table.publish(submitted.into()))
            }
            Command::Batch(commands) => {
                Reply::Batch(commands.into_iter().map(|it| self.run(it)).collect())
            }
            command => self.run_strike_command(command, now),
        }
    }

    /// Runs a command about replicas; other commands are passed on.
    fn run_replica_command(&mut self, command: Command, now: Time) -> Reply {
        match command {
            Command::Decide(decide) => Reply::Replica(self.decide(decide)),
            Command::Ready { replica, sequence } => {
                Reply::Replica(self.replicas.ready(replica, sequence, now))
            }
            Command::Retire { replica } => Reply::Replica(self.replicas.retire(replica)),
            Command::Release {
                replica,
                evidence,
                unknown,
            } => {
                let fleet = &self.fleet;
                let answer = self.replicas.release(replica, evidence, unknown, fleet);
                Reply::Replica(answer)
            }
            command => self.run_claim_command(command, now),
        }
    }

    /// Runs a command about strikes; other commands are passed on.
    fn run_strike_command(&mut self, command: Command, now: Time) -> Reply {
        match command {
            Command::Strike(strike) => {
                let quarantine = self.quarantine();
                self.strikes.expire(now);
                Reply::Strike(self.strikes.strike(strike, quarantine, now))
            }
            Command::ClearStrikes { fingerprint } => Reply::Strike(self.strikes.clear(fingerprint)),
            Command::StrikeSections(strike) => {
                let (quarantine, index) = (self.quarantine(), self.entry.index);
                let sections = &mut self.section_strikes;
                sections.expire(now);
                Reply::Sections(sections.strike(strike, quarantine, index, now))
            }
            Command::AcquitSections(acquittal) => {
                Reply::Sections(self.section_strikes.acquit(&acquittal))
            }
            Command::Survived {
                target,
                incarnation,
                until,
            } => {
                let survivor = TargetIncarnation {
                    target,
                    incarnation,
                };
                let counts = self.strikes.survived(&survivor, until);
                let sections = self.section_strikes.survived(&survivor, until);
                Reply::Batch(vec![Reply::Strike(counts), Reply::Sections(sections)])
            }
            command => self.run_replica_command(command, now),
        }
    }

    /// Runs a command about claims.
    fn run_claim_command(&mut self, command: Command, now: Time) -> Reply {
        self.claims.expire(self.retention(), now);
        let answer = match command {
            Command::Claim(claim) => self.claims.claim(&claim, &LIMITS),
            Command::Finish(finish) => self.claims.finish(finish, &LIMITS, now),
            Command::Abandon { key, holder, call } => self.claims.abandon(&key, holder, call),
            Command::HostEnded { host, incarnation } => {
                self.claims.host_ended(host, incarnation, &LIMITS, now)
            }
            _ => return Reply::Nothing,
        };
        Reply::Claim(answer)
    }

    /// Decides a replica under the current settings and fleet.
    fn decide(&mut self, decide: Decide) -> Answer {
        let settings = self.current_settings.fleet();
        self.replicas
            .decide(decide, settings, &self.fleet, &self.entry)
    }

    /// Registers a target; a new incarnation ends the reservations of the previous one.
    fn register(&mut self, announcement: Announcement, now: Time) -> fleet::Answer {
        let target = announcement.target.clone();
        let answer = self.fleet.register(announcement, now);
        if answer == fleet::Answer::Registered {
            self.replicas.release_all(&target);
        }
        answer
    }

    /// Removes a target and ends its reservations.
    fn deregister(&mut self, target: &TargetId, incarnation: u64, attested: bool) -> fleet::Answer {
        let reserved = self.replicas.reserved(target) > 0;
        let answer = self
            .fleet
            .deregister(target, incarnation, attested, reserved);
        if answer == fleet::Answer::Done {
            self.replicas.release_all(target);
        }
        answer
    }

    /// Returns how long outcomes of claims are kept.
    fn retention(&self) -> Duration {
        Duration::from_secs(self.current_settings.fleet().refusing.claims_s)
    }

    /// Returns how long a fingerprint with too many strikes is refused.
    fn quarantine(&self) -> Duration {
        Duration::from_secs(self.current_settings.fleet().refusing.quarantine_s)
    }

    /// Encodes the whole state.
    #[must_use]
    pub fn snapshot(&self) -> Bytes {
        let image = ImageRef {
            entry: self.entry,
            current_settings: self.current_settings.image(),
            fleet: &self.fleet,
            replicas: &self.replicas,
            claims: &self.claims,
            strikes: &self.strikes,
            current_table: &self.current_table,
        };
        let access = self.current_table.access();
        let version = access.map_or(FORMAT_VERSION, |_| WITH_ACCESS);
        let mut bytes = vec![version];
        bytes.extend(postcard::to_stdvec(&image).unwrap_or_default());
        bytes.extend(postcard::to_stdvec(&self.section_strikes).unwrap_or_default());
        if let Some(access) = access {
            bytes.extend(postcard::to_stdvec(access).unwrap_or_default());
        }
        bytes.into()
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes have another format version, are malformed, truncated or followed by extra
    /// bytes, or hold settings that this build rejects.
    pub fn restore(bytes: &[u8]) -> Result<Self, Error> {
        let what = "snapshot";
        let (&version, rest) = bytes
            .split_first()
            .ok_or(Error::IncompleteHeader { what })?;
        ensure!(
            matches!(version, FORMAT_VERSION | WITHOUT_SECTIONS | WITH_ACCESS),
            FormatVersionSnafu {
                what,
                found: version,
                known: FORMAT_VERSION
            }
        );
        let (mut image, mut left): (Image, &[u8]) =
            postcard::take_from_bytes(rest).context(MalformedSnafu { what })?;
        let mut section_strikes = SectionStrikes::default();
        if version != WITHOUT_SECTIONS {
            (section_strikes, left) =
                postcard::take_from_bytes(left).context(MalformedSnafu { what })?;
        }
        if version == WITH_ACCESS {
            let access;
            (access, left) = postcard::take_from_bytes(left).context(MalformedSnafu { what })?;
            image.current_table.restore_access(access);
        }
        ensure!(
            left.is_empty(),
            TrailingBytesSnafu {
                what,
                left: left.len()
            }
        );
        Ok(Self {
            entry: image.entry,
            current_settings: CurrentSettings::from_image(image.current_settings)?,
            fleet: image.fleet,
            replicas: image.replicas,
            claims: image.claims,
            strikes: image.strikes,
            current_table: image.current_table,
            section_strikes,
        })
    }

    /// Returns a digest of the whole state; equal states have equal digests.
    #[must_use]
    pub fn digest(&self) -> [u8; 32] {
        *blake3::hash(&self.snapshot()).as_bytes()
    }

    /// Returns the term of the newest applied entry.
    #[must_use]
    pub fn term(&self) -> Term {
        self.entry.term
    }
}

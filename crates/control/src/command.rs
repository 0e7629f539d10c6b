//! Commands of the replicated log, their encoding and their replies.

use bytes::Bytes;
use cornelhitch_types::id::{HostId, Incarnation, ReplicaId, TargetId, Term, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::Announcement;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};
use strum::{Display, EnumDiscriminants};

use crate::claims::{self, Claim, Finish, Holder, Key};
use crate::current_settings::{self, Apply};
use crate::current_table::{self, SubmittedGuardedTable, SubmittedTable};
use crate::error::{
    CommandKindSnafu, Error, FormatVersionSnafu, MalformedSnafu, TrailingBytesSnafu,
};
use crate::fleet;
use crate::replicas::{self, Decide, Evidence};
use crate::sections;
use crate::strikes::{self, Strike};

/// The format version of an encoded command, its first byte.
pub const FORMAT_VERSION: u8 = 1;

/// The second byte of an encoded single command.
const SINGLE: u8 = 0;

/// The second byte of an encoded batch.
const BATCH: u8 = 1;

/// The log metadata of a command.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The index in the log, from 1.
    pub index: u64,
    /// The term of the leader that proposed the command.
    pub term: Term,
    /// The leader's clock at the proposal, since the Unix epoch; never decreases along the log.
    pub time: Time,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, EnumDiscriminants)]
#[strum_discriminants(name(Kind), derive(Display), doc = "The names of the commands.")]
#[strum_discriminants(strum(serialize_all = "kebab-case"))]
pub enum Command {
    /// No operation; a new leader commits one to determine which entries are committed.
    #[serde(rename = "Nothing")]
    #[strum_discriminants(strum(serialize = "nothing"))]
    Noop,
    /// Brings a settings text into force.
    Apply(Apply),
    /// Registers a target and ends its earlier incarnation.
    Register(Announcement),
    /// Removes a target.
    #[serde(rename = "Dismiss")]
    #[strum_discriminants(strum(serialize = "dismiss"))]
    Deregister {
        /// The target to remove.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether an operator attests that the machine no longer runs.
        attested: bool,
    },
    /// Records that a target has been silent for long, or that its heartbeats have resumed.
    #[serde(rename = "Silence")]
    #[strum_discriminants(strum(serialize = "silence"))]
    RecordSilence {
        /// The target concerned.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether it is silent now.
        silent: bool,
    },
    /// Decides a replica and reserves its memory.
    Decide(Decide),
    /// Records that a heartbeat showed a replica ready.
    Ready {
        /// The replica shown.
        replica: ReplicaId,
        /// The sequence number of that heartbeat.
        sequence: u64,
    },
    /// Retires a replica: it gets no new requests.
    Retire {
        /// The replica to retire.
        replica: ReplicaId,
    },
    /// Ends a replica's reservation.
    Release {
        /// The replica to release.
        replica: ReplicaId,
        /// What proves that its memory is free.
        evidence: Evidence,
        /// Whether an order for it may still arrive at the worker.
        unknown: bool,
    },
    /// Claims a request that must not be repeated, before it is sent.
    Claim(Claim),
    /// Records the outcome of a claimed request.
    Finish(Finish),
    /// Gives a claim back because the request was not sent.
    Abandon {
        /// The key of the request.
        key: Key,
        /// The holder of the claim.
        holder: Holder,
        /// The call number under which the holder claimed it.
        call: u64,
    },
    /// Ends an incarnation of an entry host; the outcomes of the claims it held become unknown.
    HostEnded {
        /// The entry host.
        host: HostId,
        /// Its newest incarnation that ended.
        incarnation: Incarnation,
    },
    /// Records that a target was lost with requests in progress.
    Strike(Strike),
    /// Clears the strikes of a request.
    #[serde(rename = "Pardon")]
    #[strum_discriminants(strum(serialize = "pardon"))]
    ClearStrikes {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// Records that a target is leaving and gets no new work in this incarnation.
    Leave {
        /// The target that leaves.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Records which models a worker that counts its orders holds.
    #[serde(rename = "Hold")]
    #[strum_discriminants(strum(serialize = "hold"))]
    RecordHeld {
        /// The worker concerned.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The models it holds.
        models: Vec<Reference>,
    },
    /// Brings a route table into force.
    #[serde(rename = "Publish")]
    #[strum_discriminants(strum(serialize = "publish"))]
    PublishTable(SubmittedTable),
    /// Records that an incarnation of a target has not ended, though strikes name it.
    Survived {
        /// The target that runs on.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Up to when it has certainly run.
        until: Time,
    },
    /// Records that a target was lost with prompt sections in progress.
    StrikeSections(sections::Strike),
    /// Clears crashes of prompt sections that were answered completely.
    AcquitSections(sections::Acquittal),
    /// Brings a route table with teams into force.
    PublishGuardedTable(SubmittedGuardedTable),
    /// Several commands in one entry, applied in order.
    ///
    /// Nested batches are flattened by the encoding.
    #[serde(skip)]
    Batch(Vec<Command>),
}

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// No result.
    Nothing,
    /// The result of [`Command::Apply`].
    Settings(current_settings::ApplyResult),
    /// The result of [`Command::Register`], [`Command::Deregister`], [`Command::RecordSilence`],
    /// [`Command::Leave`] and [`Command::RecordHeld`].
    Target(fleet::Answer),
    /// The result of [`Command::Decide`], [`Command::Ready`], [`Command::Retire`] and
    /// [`Command::Release`].
    Replica(replicas::Answer),
    /// The result of [`Command::Claim`], [`Command::Finish`], [`Command::Abandon`] and
    /// [`Command::HostEnded`].
    Claim(claims::ClaimResult),
    /// The result of [`Command::Strike`], [`Command::ClearStrikes`] and [`Command::Survived`].
    Strike(strikes::Answer),
    /// The result of [`Command::PublishTable`] and [`Command::PublishGuardedTable`].
    Document(current_table::Answer),
    /// The result of [`Command::StrikeSections`], [`Command::AcquitSections`] and, for the sections,
    /// of [`Command::Survived`].
    Sections(sections::Answer),
    /// The results of [`Command::Batch`], one for each command.
    #[serde(skip)]
    Batch(Vec<Reply>),
}

impl Command {
    /// Returns the command that records a lost target for a request's fingerprint and for the
    /// shared sections of its prompt.
    #[must_use]
    pub fn strike(sections: sections::Strike) -> Self {
        let strike = Self::Strike(Strike {
            fingerprints: vec![sections.fingerprint],
            target: sections.target.clone(),
            incarnation: sections.incarnation,
        });
        if sections.sections.is_empty() {
            return strike;
        }
        Self::Batch(vec![strike, Self::StrikeSections(sections)])
    }

    /// Returns the command that brings a route table into force, which for a table without teams
    /// is [`Command::PublishTable`].
    #[must_use]
    pub fn publish_table(submitted: SubmittedTable) -> Self {
        match SubmittedGuardedTable::of(&submitted) {
            Some(guarded) => Self::PublishGuardedTable(guarded),
            None => Self::PublishTable(submitted),
        }
    }

    /// Encodes the command for the log.
    ///
    /// ```
    /// use cornelhitch_control::command::Command;
    ///
    /// let command = Command::Batch(vec![Command::Noop, Command::Retire { replica: 7 }]);
    /// assert_eq!(Command::decode(&command.encode())?, command);
    /// # Ok::<(), cornelhitch_control::error::Error>(())
    /// ```
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut bytes = vec![FORMAT_VERSION];
        let body = if let Self::Batch(commands) = self {
            bytes.push(BATCH);
            let mut flat = Vec::new();
            flatten(commands, &mut flat);
            postcard::to_stdvec(&flat)
        } else {
            bytes.push(SINGLE);
            postcard::to_stdvec(self)
        };
        bytes.extend(body.unwrap_or_default());
        bytes.into()
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// If the bytes have another format version, are malformed, truncated or followed by extra
    /// bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let what = "command";
        let (&version, rest) = bytes
            .split_first()
            .ok_or(Error::IncompleteHeader { what })?;
        ensure!(
            version == FORMAT_VERSION,
            FormatVersionSnafu {
                what,
                found: version,
                known: FORMAT_VERSION
            }
        );
        let (&kind, rest) = rest.split_first().ok_or(Error::IncompleteHeader { what })?;
        let (command, left) = match kind {
            SINGLE => postcard::take_from_bytes(rest).context(MalformedSnafu { what })?,
            BATCH => {
                let (commands, left) =
                    postcard::take_from_bytes(rest).context(MalformedSnafu { what })?;
                (Self::Batch(commands), left)
            }
            found => return CommandKindSnafu { found }.fail(),
        };
        ensure!(
            left.is_empty(),
            TrailingBytesSnafu {
                what,
                left: left.len()
            }
        );
        Ok(command)
    }
}

/// Collects the commands of nested batches in order.
fn flatten<'a>(commands: &'a [Command], flat: &mut Vec<&'a Command>) {
    for command in commands {
        match command {
            Command::Batch(inner) => flatten(inner, flat),
            command => flat.push(command),
        }
    }
}

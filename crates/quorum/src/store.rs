//! Persistent state: records, batches and the [`Store`] interface.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id::{BatchToken, ClusterId, GroupId, Incarnation, Index, Peer, Term};
use crate::log::{Entry, Payload, Snapshot};
use crate::member::Membership;

/// Identifies the member whose state a store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster.
    pub cluster: ClusterId,
    /// The group.
    pub group: GroupId,
    /// The member, with the incarnation assigned when its store was created.
    pub peer: Peer,
}

/// The persistent state besides the log: current term and vote (Ongaro's thesis §3.4).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The candidate that this member voted for in that term.
    #[serde(rename = "vote")]
    pub voted_for: Option<Peer>,
    /// Identifies the log: the storage incarnation of the member that bootstrapped it; 0 while
    /// there is no log.
    pub lineage: Incarnation,
}

/// One change of the persistent state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Replaces the hard state.
    #[serde(rename = "Ballot")]
    HardState(HardState),
    /// Appends an entry, after removing any entries at and after its index.
    Entry(Entry),
    /// Replaces all entries up to the snapshot's index. Later entries are kept if the log has an
    /// entry with the snapshot's index and term, and removed otherwise.
    Snapshot(Snapshot),
}

/// Records to be written and synced together, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Identifies the batch in reports of completion; increases with each batch.
    pub token: BatchToken,
    /// Increases after a failed write. Batches of an attempt that has failed must be skipped.
    pub attempt: u64,
    /// The records to write.
    pub records: Vec<Record>,
}

/// The content of a store: the result of applying all its records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovered {
    /// The member that the state belongs to.
    pub identity: Identity,
    /// Current term, vote and log lineage.
    #[serde(rename = "ballot")]
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Creates the state of an empty store.
    #[must_use]
    pub fn empty(identity: Identity) -> Self {
        Self {
            identity,
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Creates the initial state of a member of a new group whose members know each other's
    /// incarnations. All of them must start with the same `members`, and only once in the lifetime
    /// of the cluster.
    #[must_use]
    pub fn seeded(identity: Identity, members: &Membership) -> Self {
        let payload = Payload::Membership(members.clone());
        let entries = vec![Entry {
            index: 1,
            term: 1,
            payload,
        }];
        let hard_state = HardState {
            term: 1,
            voted_for: None,
            lineage: 1,
        };
        Self {
            identity,
            hard_state,
            snapshot: None,
            entries,
        }
    }

    /// Index of the last entry in the log, or of the snapshot if no entries follow it.
    #[must_use]
    pub fn last(&self) -> Index {
        self.base() + self.entries.len() as u64
    }

    fn base(&self) -> Index {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Applies a record.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if an entry would leave a gap in the log.
    pub fn apply(&mut self, record: &Record) -> Result<(), Error> {
        match record {
            Record::HardState(hard_state) => self.hard_state = *hard_state,
            Record::Entry(entry) => self.push(entry)?,
            Record::Snapshot(snapshot) => self.install(snapshot),
        }
        Ok(())
    }

    fn push(&mut self, entry: &Entry) -> Result<(), Error> {
        if entry.index <= self.base() {
            return Ok(());
        }
        let at = entry.index - self.base() - 1;
        let gap = GapSnafu {
            index: entry.index,
            last: self.last(),
        };
        let at = usize::try_from(at)
            .ok()
            .filter(|at| *at <= self.entries.len());
        let Some(at) = at else { return gap.fail() };
        self.entries.truncate(at);
        self.entries.push(entry.clone());
        Ok(())
    }

    fn install(&mut self, snapshot: &Snapshot) {
        if snapshot.index < self.base() {
            return;
        }
        let same = |e: &Entry| e.index == snapshot.index && e.term == snapshot.term;
        let agrees = self.entries.iter().position(same);
        match agrees {
            Some(at) => drop(self.entries.drain(..=at)),
            None => self.entries.clear(),
        }
        self.snapshot = Some(snapshot.clone());
    }
}

/// An error from opening or writing a store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file system operation failed.
    #[snafu(display("cannot {what} {}: {source}", path.display()))]
    Io {
        /// The operation that failed.
        what: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The error returned by the operating system.
        source: std::io::Error,
    },
    /// A file is corrupt.
    #[snafu(display(
        "{} is corrupt at byte {offset}: {what}. This member must not start from this data. To \
         rejoin: move the data directory away, start with an empty one and replace this member \
         with its new incarnation (`cornelhitch replace`)",
        path.display()
    ))]
    Corrupt {
        /// The corrupt file.
        path: PathBuf,
        /// Offset of the corruption in the file, in bytes.
        offset: u64,
        /// Description of the corruption.
        what: String,
    },
    /// Another process has locked the directory.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// The directory belongs to another member, group or cluster.
    #[snafu(display(
        "{} belongs to member {} of cluster {} group {}, not to member {} of cluster {} group {}",
        path.display(), found.peer.id, found.cluster, found.group,
        expected.peer.id, expected.cluster, expected.group
    ))]
    WrongOwner {
        /// The data directory.
        path: PathBuf,
        /// The identity stored in the directory.
        found: Box<Identity>,
        /// The expected identity.
        expected: Box<Identity>,
    },
    /// An entry would leave a gap in the log.
    #[snafu(display("entry {index} leaves a gap in the log after entry {last}"))]
    Gap {
        /// Index of the entry.
        index: Index,
        /// Index of the last entry in the log.
        last: Index,
    },
    /// A batch exceeds the maximum frame payload.
    #[snafu(display("a batch of {bytes} bytes exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// Encoded size of the batch in bytes.
        bytes: usize,
        /// The maximum in bytes.
        limit: usize,
    },
}

/// Durable storage for records.
pub trait Store: Send {
    /// Returns the current content: what was found on opening plus all records appended since.
    fn recovered(&self) -> Recovered;

    /// Writes records in order and syncs them.
    ///
    /// # Errors
    ///
    /// After an error none of the records counts as written, although some may reappear after a
    /// crash. The same records may be appended again.
    fn append(&mut self, records: &[Record]) -> Result<(), Error>;
}

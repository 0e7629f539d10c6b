//! What lasts: records, batches, and the border towards the disk.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id::{ClusterId, GroupId, Incarnation, Index, Peer, Term, Token};
use crate::log::{Entry, Payload, Snapshot};
use crate::member::Membership;

/// Whose state a store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster.
    pub cluster: ClusterId,
    /// The group.
    pub group: GroupId,
    /// The member, with the incarnation that its store got when it was empty.
    pub peer: Peer,
}

/// What must last besides the log (Raft §3.4).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The latest term seen.
    pub term: Term,
    /// Whom this member voted for in that term.
    pub vote: Option<Peer>,
    /// The incarnation of the disk that founded the log; 0 while there is none.
    pub lineage: Incarnation,
}

/// One change of what lasts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The ballot is this now.
    Ballot(Ballot),
    /// The entry follows those before its index; any at or after its index are gone.
    Entry(Entry),
    /// The snapshot stands for all entries up to its index. Later entries stay if the entry at
    /// its index has its term, else they are gone.
    Snapshot(Snapshot),
}

/// Records to write and sync together, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Its number; the last one of all that are synced is reported.
    pub token: Token,
    /// Grows after a failure; later batches of the failed attempt must be skipped.
    pub attempt: u64,
    /// What to write.
    pub records: Vec<Record>,
}

/// What a store holds: the result of all its records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovered {
    /// Whose state it is.
    pub identity: Identity,
    /// The ballot.
    pub ballot: Ballot,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// The state of an empty store.
    #[must_use]
    pub fn empty(identity: Identity) -> Self {
        Self {
            identity,
            ballot: Ballot::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// The state of a member of a new group whose members know each other's incarnations.
    /// All of them must start with the same `members`, once in the life of the cluster.
    #[must_use]
    pub fn seeded(identity: Identity, members: &Membership) -> Self {
        let payload = Payload::Membership(members.clone());
        let entries = vec![Entry {
            index: 1,
            term: 1,
            payload,
        }];
        let ballot = Ballot {
            term: 1,
            vote: None,
            lineage: 1,
        };
        Self {
            identity,
            ballot,
            snapshot: None,
            entries,
        }
    }

    /// The last entry, in the log or in the snapshot.
    #[must_use]
    pub fn last(&self) -> Index {
        self.base() + self.entries.len() as u64
    }

    fn base(&self) -> Index {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Takes in a record.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if an entry does not follow from what is there.
    pub fn apply(&mut self, record: &Record) -> Result<(), Error> {
        match record {
            Record::Ballot(ballot) => self.ballot = *ballot,
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

/// Why a store could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file system refused.
    #[snafu(display("cannot {what} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        what: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file holds what was never written there.
    #[snafu(display(
        "{} is damaged at byte {offset}: {what}. This member must not start with it. To rejoin: \
         move the data folder away, start with an empty one, and have the operator replace this \
         member by its new incarnation (`cornelhitch replace`)",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where in the file, in bytes.
        offset: u64,
        /// What is wrong.
        what: String,
    },
    /// Another process has the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// The folder belongs to another member.
    #[snafu(display(
        "{} belongs to member {} of cluster {} group {}, not to member {} of cluster {} group {}",
        path.display(), found.peer.id, found.cluster, found.group,
        wanted.peer.id, wanted.cluster, wanted.group
    ))]
    Foreign {
        /// The folder.
        path: PathBuf,
        /// Whose it is.
        found: Box<Identity>,
        /// Whose it should be.
        wanted: Box<Identity>,
    },
    /// An entry does not follow from the one before it.
    #[snafu(display("entry {index} does not follow from entry {last}"))]
    Gap {
        /// The entry.
        index: Index,
        /// The last one before it.
        last: Index,
    },
    /// A record is larger than a file may hold.
    #[snafu(display("a batch of {bytes} bytes is over the limit of {limit}"))]
    TooLarge {
        /// The size of the batch.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
}

/// Where records last.
pub trait Store: Send {
    /// What the store held when it was opened, with all records since.
    fn recovered(&self) -> Recovered;

    /// Writes and syncs records, in order.
    ///
    /// # Errors
    ///
    /// After an error none of the records counts as written, though some may turn up after a
    /// crash; the same records may be given again.
    fn append(&mut self, records: &[Record]) -> Result<(), Error>;
}

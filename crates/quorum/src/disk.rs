//! The on-disk store: a directory with a log file, a snapshot file and a lock file.
//!
//! A log file starts with a [`Block::Base`], followed by [`Block::Records`], one frame per sync.
//! A snapshot, and any write after a failed sync, starts a new log file with the next
//! number: it is written under a temporary name, synced and renamed, and the directory is synced;
//! only then are older files removed. The log file with the largest number is therefore always
//! complete from its base on. After a write that failed for another reason, such as a full disk, the
//! file is cut back to what was synced before, which needs no room.

mod file;
mod frame;
mod snapshot_file;
mod writer;

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt};

use crate::id::{ClusterId, GroupId, Incarnation, MemberId, Peer};
use crate::store::{
    CorruptSnafu, Error, HardState, Identity, IoSnafu, LockedSnafu, Record, Recovered, Store,
    WrongOwnerSnafu,
};

pub use frame::{MAX_PAYLOAD_BYTES, Scan, scan};
pub use snapshot_file::SnapshotRef;
pub use writer::{WriteResult, Writer};

/// Maximum total payload of the records in one frame, unless a single record is larger.
const MAX_FRAME_RECORD_BYTES: usize = 8 * 1024 * 1024;

/// What a failed sync is called in its error.
const SYNC: &str = "sync";

const LOCK_FILE: &str = "lock";
const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_FILE: &str = "unfinished";

/// The content of one frame of a log file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Block {
    /// The state at the start of the file, without entries; those follow as records.
    Base {
        /// The member that the state belongs to.
        identity: Identity,
        /// Current term, vote and log lineage.
        #[serde(rename = "ballot")]
        hard_state: HardState,
        /// Reference to the snapshot file, if there is a snapshot.
        snapshot: Option<SnapshotRef>,
    },
    /// Records that were synced together.
    Records(Vec<Record>),
}

/// The expected owner of a data directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedIdentity {
    /// The cluster.
    pub cluster: ClusterId,
    /// The group.
    pub group: GroupId,
    /// The member.
    pub member: MemberId,
    /// The incarnation assigned to an empty directory. It must be a number that this member has
    /// never used, such as the time in nanoseconds.
    pub incarnation: Incarnation,
}

/// A store in a directory.
#[derive(Debug)]
pub struct DiskStore {
    dir: PathBuf,
    _lock: File,
    state: Recovered,
    log: file::LogFile,
    number: u64,
    /// What the next write must do first, because one has failed.
    repair: Option<Repair>,
    /// How the next write fails.
    failure: Option<InjectedFailure>,
}

/// A failure of the next write, for tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFailure {
    /// The write fails after some bytes, as on a full disk.
    Write {
        /// The bytes that are written.
        after: usize,
    },
    /// All bytes are written, and their sync fails.
    Sync,
}

/// How the log file becomes sound again after a failed write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repair {
    /// Cut it back to where the failed batch began: all before that is synced.
    Truncate(file::Position),
    /// Start a new one: a sync failed, so what of the file is on the disk is unknown.
    Rewrite,
}

/// Returns how to repair a log file whose batch began at a position and failed.
fn repair_after(error: &Error, start: file::Position) -> Repair {
    match error {
        Error::Io { what: SYNC, .. } => Repair::Rewrite,
        _ => Repair::Truncate(start),
    }
}

impl DiskStore {
    /// Opens the directory, creating it if missing. A torn tail, left by a crash during a write
    /// that was never reported as synced, is truncated.
    ///
    /// # Errors
    ///
    /// [`Error::Corrupt`] if a file is corrupt other than by a torn tail, [`Error::Locked`] if
    /// another process has locked the directory, [`Error::WrongOwner`] if it belongs to another
    /// member, [`Error::Io`] if a file system operation fails.
    pub fn open(dir: impl Into<PathBuf>, owner: ExpectedIdentity) -> Result<Self, Error> {
        let dir = dir.into();
        fs::create_dir_all(&dir).context(IoSnafu {
            what: "make",
            path: &dir,
        })?;
        let lock = lock(&dir)?;
        let newest = file::log_numbers(&dir)?.into_iter().max();
        let Some(number) = newest else {
            return Self::create(dir, lock, owner);
        };
        let path = file::log_path(&dir, number);
        let (state, log) = recover(&dir, &path)?;
        check_owner(&dir, state.identity, owner)?;
        let disk = Self {
            dir,
            _lock: lock,
            state,
            log,
            number,
            repair: None,
            failure: None,
        };
        disk.remove_obsolete_files();
        Ok(disk)
    }

    /// Initializes an empty directory with a new incarnation.
    fn create(dir: PathBuf, lock: File, owner: ExpectedIdentity) -> Result<Self, Error> {
        if let Some(path) = file::find_by_prefix(&dir, SNAPSHOT_PREFIX)? {
            let what = "found a snapshot file but no log file";
            return CorruptSnafu {
                path,
                offset: 0_u64,
                what,
            }
            .fail();
        }
        let peer = Peer {
            id: owner.member,
            incarnation: owner.incarnation.max(1),
        };
        let identity = Identity {
            cluster: owner.cluster,
            group: owner.group,
            peer,
        };
        let state = Recovered::empty(identity);
        let log = write_base(&dir, 1, &state)?;
        Ok(Self {
            dir,
            _lock: lock,
            state,
            log,
            number: 1,
            repair: None,
            failure: None,
        })
    }

    /// Makes the next write fail; for tests.
    #[doc(hidden)]
    pub fn fail_next(&mut self, failure: InjectedFailure) {
        self.failure = Some(failure);
    }

    fn write(&mut self, records: &[Record]) -> Result<(), Error> {
        for group in split_into_frames(records) {
            let block = Block::Records(group.to_vec());
            self.log.append(&block, self.failure.take())?;
        }
        records
            .iter()
            .try_for_each(|record| self.state.apply(record))
    }

    /// Writes the entire state, including `records`, to a new log file.
    fn rewrite(&mut self, records: &[Record]) -> Result<(), Error> {
        let result = self.try_rewrite(records);
        match result {
            Ok(()) => self.remove_obsolete_files(),
            // An unfinished file takes room. One that has its name already may be the newest log.
            Err(_) => drop(fs::remove_file(self.dir.join(TEMPORARY_FILE))),
        }
        result
    }

    fn try_rewrite(&mut self, records: &[Record]) -> Result<(), Error> {
        let mut state = self.state.clone();
        records.iter().try_for_each(|record| state.apply(record))?;
        if let Some(snapshot) = &state.snapshot {
            snapshot_file::write_snapshot(&self.dir, snapshot)?;
        }
        let number = self.number + 1;
        self.log = write_base(&self.dir, number, &state)?;
        self.number = number;
        self.state = state;
        self.repair = None;
        Ok(())
    }

    /// Removes files that the current log file does not reference. Files that cannot be removed now
    /// are retried at the next rewrite or restart.
    fn remove_obsolete_files(&self) {
        let log = file::log_name(self.number);
        let snapshot = self
            .state
            .snapshot
            .as_ref()
            .map(|s| SnapshotRef::of(s).name());
        let needed_files = [Some(log), snapshot, Some(LOCK_FILE.to_owned())];
        let Ok(files) = fs::read_dir(&self.dir) else {
            return;
        };
        for entry in files.flatten() {
            let name = entry.file_name();
            let name = name.to_string_lossy();
            let ours = [LOG_PREFIX, SNAPSHOT_PREFIX, TEMPORARY_FILE]
                .iter()
                .any(|prefix| name.starts_with(prefix));
            let needed = needed_files.iter().flatten().any(|file| *file == name);
            if ours
                && !needed
                && let Err(error) = fs::remove_file(entry.path())
            {
                tracing::warn!(%error, file = %name, "cannot remove an obsolete file");
            }
        }
    }
}

impl Store for DiskStore {
    fn recovered(&self) -> Recovered {
        self.state.clone()
    }

    fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        let snapshot = records
            .iter()
            .any(|record| matches!(record, Record::Snapshot(_)));
        if snapshot || self.repair == Some(Repair::Rewrite) {
            return self.rewrite(records);
        }
        let start = match self.repair {
            Some(Repair::Truncate(to)) => to,
            _ => self.log.end(),
        };
        let cut = match self.repair {
            Some(_) => self.log.truncate(start),
            None => Ok(()),
        };
        let result = cut.and_then(|()| self.write(records));
        self.repair = result
            .as_ref()
            .err()
            .map(|error| repair_after(error, start));
        result
    }
}

fn lock(dir: &Path) -> Result<File, Error> {
    let path = dir.join(LOCK_FILE);
    let file = File::create(&path).context(IoSnafu {
        what: "make",
        path: &path,
    })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(fs::TryLockError::Error(source)) => Err(source).context(IoSnafu { what: "lock", path }),
    }
}

fn check_owner(dir: &Path, found: Identity, owner: ExpectedIdentity) -> Result<(), Error> {
    let peer = Peer {
        id: owner.member,
        incarnation: found.peer.incarnation,
    };
    let expected = Identity {
        cluster: owner.cluster,
        group: owner.group,
        peer,
    };
    if found == expected {
        return Ok(());
    }
    WrongOwnerSnafu {
        path: dir,
        found,
        expected,
    }
    .fail()
}

/// Splits records into groups that each fit into one frame.
fn split_into_frames(records: &[Record]) -> Vec<&[Record]> {
    let mut sum = 0;
    let fits = |_: &Record, next: &Record| {
        let size = match next {
            Record::Entry(entry) => entry.size(),
            Record::HardState(_) | Record::Snapshot(_) => 0,
        };
        sum += size;
        let fits = sum <= MAX_FRAME_RECORD_BYTES;
        if !fits {
            sum = size;
        }
        fits
    };
    records.chunk_by(fits).collect()
}

fn write_base(dir: &Path, number: u64, state: &Recovered) -> Result<file::LogFile, Error> {
    let temporary = dir.join(TEMPORARY_FILE);
    let mut log = file::LogFile::create(&temporary)?;
    let snapshot = state.snapshot.as_ref().map(SnapshotRef::of);
    let (identity, hard_state) = (state.identity, state.hard_state);
    log.append(
        &Block::Base {
            identity,
            hard_state,
            snapshot,
        },
        None,
    )?;
    let records: Vec<Record> = state.entries.iter().cloned().map(Record::Entry).collect();
    for group in split_into_frames(&records) {
        log.append(&Block::Records(group.to_vec()), None)?;
    }
    log.rename(dir, file::log_path(dir, number))?;
    Ok(log)
}

fn recover(dir: &Path, path: &Path) -> Result<(Recovered, file::LogFile), Error> {
    let (log, blocks) = file::LogFile::open(path)?;
    let mut blocks = blocks.into_iter();
    let head = blocks.next().context(CorruptSnafu {
        path,
        offset: 0_u64,
        what: "expected a base block, got an empty file",
    })?;
    let (
        _,
        Block::Base {
            identity,
            hard_state,
            snapshot,
        },
    ) = head
    else {
        let what = "expected a base block first, got records";
        return CorruptSnafu {
            path,
            offset: 0_u64,
            what,
        }
        .fail();
    };
    let mut state = Recovered::empty(identity);
    state.hard_state = hard_state;
    state.snapshot = snapshot
        .map(|reference| snapshot_file::read_snapshot(dir, reference))
        .transpose()?;
    for (offset, block) in blocks {
        let Block::Records(records) = block else {
            let what = "expected records, got a second base block";
            return CorruptSnafu { path, offset, what }.fail();
        };
        for record in &records {
            state.apply(record).map_err(|error| {
                CorruptSnafu {
                    path,
                    offset,
                    what: error.to_string(),
                }
                .build()
            })?;
        }
    }
    Ok((state, log))
}

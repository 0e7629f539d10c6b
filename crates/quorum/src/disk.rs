//! The store on disk: one folder with a log file, a snapshot file and a lock file.
//!
//! A log file starts with a [`Block::Base`] and goes on with [`Block::Records`], one frame per
//! sync. A snapshot, and any write after a failed one, starts a new log file under the next
//! number: it is written under another name, synced, renamed, and the folder is synced; only then
//! are older files removed. So the log file with the largest number is whole from its base on.

mod file;
mod frame;
mod kept;
mod writer;

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt};

use crate::id::{ClusterId, GroupId, Incarnation, MemberId, Peer};
use crate::store::{
    Ballot, DamagedSnafu, Error, ForeignSnafu, Identity, IoSnafu, LockedSnafu, Record, Recovered,
    Store,
};

pub use frame::{LIMIT, Scan, scan};
pub use kept::Kept;
pub use writer::{Done, Writer};

/// Payload bytes of the records that go into one frame.
const FRAME_RECORDS: usize = 8 * 1024 * 1024;

const LOCK: &str = "lock";
const LOG: &str = "log-";
const SNAPSHOT: &str = "snapshot-";
const UNFINISHED: &str = "unfinished";

/// What one frame of a log file holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Block {
    /// The state at the start of the file; the entries follow as records.
    Base {
        /// Whose state it is.
        identity: Identity,
        /// The ballot.
        ballot: Ballot,
        /// The snapshot, whose data is in a file of its own.
        snapshot: Option<Kept>,
    },
    /// Records, synced together.
    Records(Vec<Record>),
}

/// Whose folder it is to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The cluster.
    pub cluster: ClusterId,
    /// The group.
    pub group: GroupId,
    /// The member.
    pub member: MemberId,
    /// The incarnation that an empty folder gets: a number that this member never had, such as
    /// the time in nanoseconds.
    pub incarnation: Incarnation,
}

/// A store in a folder.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    _lock: File,
    image: Recovered,
    log: file::Log,
    number: u64,
    /// A write failed, so what the log file holds after its last sync is not known.
    broken: bool,
    fail_after: Option<usize>,
}

impl Disk {
    /// Opens the folder, or makes it. A torn tail, which is what a crash leaves of a write that
    /// was never reported as synced, is cut.
    ///
    /// # Errors
    ///
    /// [`Error::Damaged`] if a file is damaged elsewhere, [`Error::Locked`] if another process
    /// has the folder, [`Error::Foreign`] if it is another member's, [`Error::Io`].
    pub fn open(folder: impl Into<PathBuf>, owner: Owner) -> Result<Self, Error> {
        let folder = folder.into();
        fs::create_dir_all(&folder).context(IoSnafu {
            what: "make",
            path: &folder,
        })?;
        let lock = lock(&folder)?;
        let newest = file::numbers(&folder)?.into_iter().max();
        let Some(number) = newest else {
            return Self::create(folder, lock, owner);
        };
        let path = file::log_path(&folder, number);
        let (image, log) = recover(&folder, &path)?;
        check_owner(&folder, image.identity, owner)?;
        let disk = Self {
            folder,
            _lock: lock,
            image,
            log,
            number,
            broken: false,
            fail_after: None,
        };
        disk.remove_old();
        Ok(disk)
    }

    /// Starts an empty folder under a new incarnation.
    fn create(folder: PathBuf, lock: File, owner: Owner) -> Result<Self, Error> {
        if let Some(path) = file::find(&folder, SNAPSHOT)? {
            let what = "there is a snapshot and no log";
            return DamagedSnafu {
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
        let image = Recovered::empty(identity);
        let log = write_base(&folder, 1, &image)?;
        Ok(Self {
            folder,
            _lock: lock,
            image,
            log,
            number: 1,
            broken: false,
            fail_after: None,
        })
    }

    /// Makes the next write fail after some bytes, as a full disk does; for tests.
    #[doc(hidden)]
    pub fn fail_after(&mut self, bytes: usize) {
        self.fail_after = Some(bytes);
    }

    fn write(&mut self, records: &[Record]) -> Result<(), Error> {
        for part in parts(records) {
            let block = Block::Records(part.to_vec());
            self.log.append(&block, self.fail_after.take())?;
        }
        records
            .iter()
            .try_for_each(|record| self.image.apply(record))
    }

    /// Writes all that the store holds, with `records`, into a new log file.
    fn rewrite(&mut self, records: &[Record]) -> Result<(), Error> {
        let mut image = self.image.clone();
        records.iter().try_for_each(|record| image.apply(record))?;
        if let Some(snapshot) = &image.snapshot {
            kept::write_snapshot(&self.folder, snapshot)?;
        }
        let number = self.number + 1;
        self.log = write_base(&self.folder, number, &image)?;
        self.number = number;
        self.image = image;
        self.broken = false;
        self.remove_old();
        Ok(())
    }

    /// Removes files that the current log file does not need. What cannot be removed now is
    /// removed after the next start.
    fn remove_old(&self) {
        let log = file::log_name(self.number);
        let snapshot = self.image.snapshot.as_ref().map(|s| Kept::of(s).name());
        let kept = [Some(log), snapshot, Some(LOCK.to_owned())];
        let Ok(files) = fs::read_dir(&self.folder) else {
            return;
        };
        for entry in files.flatten() {
            let name = entry.file_name();
            let name = name.to_string_lossy();
            let ours = [LOG, SNAPSHOT, UNFINISHED]
                .iter()
                .any(|prefix| name.starts_with(prefix));
            let needed = kept.iter().flatten().any(|kept| *kept == name);
            if ours
                && !needed
                && let Err(error) = fs::remove_file(entry.path())
            {
                tracing::warn!(%error, file = %name, "cannot remove an old file");
            }
        }
    }
}

impl Store for Disk {
    fn recovered(&self) -> Recovered {
        self.image.clone()
    }

    fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        let snapshot = records
            .iter()
            .any(|record| matches!(record, Record::Snapshot(_)));
        if self.broken || snapshot {
            return self.rewrite(records);
        }
        let done = self.write(records);
        self.broken = done.is_err();
        done
    }
}

fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join(LOCK);
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

fn check_owner(folder: &Path, found: Identity, owner: Owner) -> Result<(), Error> {
    let peer = Peer {
        id: owner.member,
        incarnation: found.peer.incarnation,
    };
    let wanted = Identity {
        cluster: owner.cluster,
        group: owner.group,
        peer,
    };
    if found == wanted {
        return Ok(());
    }
    ForeignSnafu {
        path: folder,
        found,
        wanted,
    }
    .fail()
}

/// Records in parts that each fit into a frame.
fn parts(records: &[Record]) -> Vec<&[Record]> {
    let mut sum = 0;
    let fits = |_: &Record, next: &Record| {
        let size = match next {
            Record::Entry(entry) => entry.size(),
            Record::Ballot(_) | Record::Snapshot(_) => 0,
        };
        sum += size;
        let fits = sum <= FRAME_RECORDS;
        if !fits {
            sum = size;
        }
        fits
    };
    records.chunk_by(fits).collect()
}

fn write_base(folder: &Path, number: u64, image: &Recovered) -> Result<file::Log, Error> {
    let unfinished = folder.join(UNFINISHED);
    let mut log = file::Log::create(&unfinished)?;
    let snapshot = image.snapshot.as_ref().map(Kept::of);
    let (identity, ballot) = (image.identity, image.ballot);
    log.append(
        &Block::Base {
            identity,
            ballot,
            snapshot,
        },
        None,
    )?;
    let records: Vec<Record> = image.entries.iter().cloned().map(Record::Entry).collect();
    for part in parts(&records) {
        log.append(&Block::Records(part.to_vec()), None)?;
    }
    log.rename(folder, file::log_path(folder, number))?;
    Ok(log)
}

fn recover(folder: &Path, path: &Path) -> Result<(Recovered, file::Log), Error> {
    let (log, blocks) = file::Log::open(path)?;
    let mut blocks = blocks.into_iter();
    let head = blocks.next().context(DamagedSnafu {
        path,
        offset: 0_u64,
        what: "it has no base",
    })?;
    let (
        _,
        Block::Base {
            identity,
            ballot,
            snapshot,
        },
    ) = head
    else {
        let what = "it starts without a base";
        return DamagedSnafu {
            path,
            offset: 0_u64,
            what,
        }
        .fail();
    };
    let mut image = Recovered::empty(identity);
    image.ballot = ballot;
    image.snapshot = snapshot
        .map(|kept| kept::read_snapshot(folder, kept))
        .transpose()?;
    for (offset, block) in blocks {
        let Block::Records(records) = block else {
            let what = "there is a second base";
            return DamagedSnafu { path, offset, what }.fail();
        };
        for record in &records {
            image.apply(record).map_err(|error| {
                DamagedSnafu {
                    path,
                    offset,
                    what: error.to_string(),
                }
                .build()
            })?;
        }
    }
    Ok((image, log))
}

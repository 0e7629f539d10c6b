//! Snapshot files.

use std::fs;
use std::path::Path;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{SNAPSHOT_PREFIX, TEMPORARY_FILE, file};
use crate::id::{Index, Term};
use crate::log::Snapshot;
use crate::member::Membership;
use crate::store::{CorruptSnafu, Error, IoSnafu};

/// Reference in a log file to a snapshot whose data is in a separate file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    index: Index,
    term: Term,
    membership: Membership,
    total: u64,
    checksum: u32,
}

impl SnapshotRef {
    pub(super) fn of(snapshot: &Snapshot) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            total: snapshot.data.len() as u64,
            checksum: crc32fast::hash(&snapshot.data),
        }
    }

    pub(super) fn name(&self) -> String {
        format!("{SNAPSHOT_PREFIX}{:016x}-{:016x}", self.index, self.term)
    }
}

/// Writes the snapshot file, unless one of the right size exists.
pub(super) fn write_snapshot(dir: &Path, snapshot: &Snapshot) -> Result<(), Error> {
    let reference = SnapshotRef::of(snapshot);
    let path = dir.join(reference.name());
    let present = fs::metadata(&path).is_ok_and(|file| file.len() == reference.total);
    if present {
        return Ok(());
    }
    file::write_atomically(dir, &dir.join(TEMPORARY_FILE), &path, &snapshot.data)
}

/// Reads the snapshot file that the log refers to and verifies its checksum.
pub(super) fn read_snapshot(dir: &Path, reference: SnapshotRef) -> Result<Snapshot, Error> {
    let path = dir.join(reference.name());
    let data = fs::read(&path).context(IoSnafu {
        what: "read",
        path: &path,
    })?;
    let valid =
        data.len() as u64 == reference.total && crc32fast::hash(&data) == reference.checksum;
    if !valid {
        let what = "its length or checksum differs from the reference in the log";
        return CorruptSnafu {
            path,
            offset: 0_u64,
            what,
        }
        .fail();
    }
    let SnapshotRef {
        index,
        term,
        membership,
        ..
    } = reference;
    Ok(Snapshot {
        index,
        term,
        membership,
        data: Bytes::from(data),
    })
}

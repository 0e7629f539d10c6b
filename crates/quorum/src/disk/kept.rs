//! Snapshots in files of their own.

use std::fs;
use std::path::Path;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{SNAPSHOT, UNFINISHED, file};
use crate::id::{Index, Term};
use crate::log::Snapshot;
use crate::member::Membership;
use crate::store::{DamagedSnafu, Error, IoSnafu};

/// A snapshot whose data is in a file of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    index: Index,
    term: Term,
    membership: Membership,
    total: u64,
    checksum: u32,
}

impl Kept {
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
        format!("{SNAPSHOT}{:016x}-{:016x}", self.index, self.term)
    }
}

/// Writes a snapshot's file, unless it is there.
pub(super) fn write_snapshot(folder: &Path, snapshot: &Snapshot) -> Result<(), Error> {
    let kept = Kept::of(snapshot);
    let path = folder.join(kept.name());
    let present = fs::metadata(&path).is_ok_and(|file| file.len() == kept.total);
    if present {
        return Ok(());
    }
    file::write_whole(folder, &folder.join(UNFINISHED), &path, &snapshot.data)
}

/// Reads the file of a snapshot that the log names.
pub(super) fn read_snapshot(folder: &Path, kept: Kept) -> Result<Snapshot, Error> {
    let path = folder.join(kept.name());
    let data = fs::read(&path).context(IoSnafu {
        what: "read",
        path: &path,
    })?;
    let sound = data.len() as u64 == kept.total && crc32fast::hash(&data) == kept.checksum;
    if !sound {
        let what = "its checksum differs from the one in the log";
        return DamagedSnafu {
            path,
            offset: 0_u64,
            what,
        }
        .fail();
    }
    let Kept {
        index,
        term,
        membership,
        ..
    } = kept;
    Ok(Snapshot {
        index,
        term,
        membership,
        data: Bytes::from(data),
    })
}

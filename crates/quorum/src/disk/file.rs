//! File operations in the data directory: writing, syncing, atomic renaming and listing.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use super::{Block, InjectedFailure, LOG_PREFIX, SYNC, frame};
use crate::store::{CorruptSnafu, Error, IoSnafu};

/// A position in a log file up to which it is synced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Position {
    /// Bytes before the position.
    bytes: u64,
    /// Frames before the position.
    frames: u64,
}

/// The log file open for appending.
#[derive(Debug)]
pub(super) struct LogFile {
    file: File,
    path: PathBuf,
    end: Position,
}

impl LogFile {
    pub(super) fn create(path: &Path) -> Result<Self, Error> {
        let file = File::create(path).context(IoSnafu { what: "make", path })?;
        Ok(Self {
            file,
            path: path.to_owned(),
            end: Position::default(),
        })
    }

    /// Returns the position after the last synced frame.
    pub(super) fn end(&self) -> Position {
        self.end
    }

    /// Removes everything after a synced position, synced or not.
    pub(super) fn truncate(&mut self, to: Position) -> Result<(), Error> {
        let path = &self.path;
        let io = |what| IoSnafu { what, path };
        self.file.set_len(to.bytes).context(io("cut"))?;
        let start = SeekFrom::Start(to.bytes);
        self.file.seek(start).context(io("seek"))?;
        self.file.sync_data().context(io(SYNC))?;
        self.end = to;
        Ok(())
    }

    /// Opens a log file and truncates its torn tail. Returns the blocks with their file offsets.
    pub(super) fn open(path: &Path) -> Result<(Self, Vec<(u64, Block)>), Error> {
        let io = |what| IoSnafu { what, path };
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(path)
            .context(io("open"))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).context(io("read"))?;
        let scan = frame::scan(&bytes);
        if scan.corrupt || scan.blocks.is_empty() {
            let what = "expected a valid frame, got an invalid one that is not a torn tail";
            return CorruptSnafu {
                path,
                offset: scan.end,
                what,
            }
            .fail();
        }
        if scan.end < bytes.len() as u64 {
            tracing::info!(file = %path.display(), offset = scan.end, "truncated the torn tail");
            file.set_len(scan.end).context(io("cut"))?;
            file.sync_all().context(io(SYNC))?;
        }
        file.seek(SeekFrom::Start(scan.end)).context(io("read"))?;
        let frames = scan.blocks.len() as u64;
        Ok((
            Self {
                file,
                path: path.to_owned(),
                end: Position {
                    bytes: scan.end,
                    frames,
                },
            },
            scan.blocks,
        ))
    }

    /// Writes and syncs a block, unless it is to fail.
    pub(super) fn append(
        &mut self,
        block: &Block,
        failure: Option<InjectedFailure>,
    ) -> Result<(), Error> {
        let frame = frame::encode(self.end.frames, block)?;
        let written = match failure {
            Some(InjectedFailure::Write { after }) => {
                let part = &frame[..after.min(frame.len())];
                let full = Err(io::Error::from(io::ErrorKind::StorageFull));
                self.file.write_all(part).and(full)
            }
            None | Some(InjectedFailure::Sync) => self.file.write_all(&frame),
        };
        let path = &self.path;
        written.context(IoSnafu {
            what: "write",
            path,
        })?;
        let synced = match failure {
            Some(InjectedFailure::Sync) => Err(io::Error::other("the disk has failed")),
            _ => self.file.sync_data(),
        };
        synced.context(IoSnafu { what: SYNC, path })?;
        self.end = Position {
            bytes: self.end.bytes + frame.len() as u64,
            frames: self.end.frames + 1,
        };
        Ok(())
    }

    /// Syncs the file and renames it to its final path.
    pub(super) fn rename(&mut self, dir: &Path, path: PathBuf) -> Result<(), Error> {
        self.file.sync_all().context(IoSnafu {
            what: SYNC,
            path: &self.path,
        })?;
        rename(dir, &self.path, &path)?;
        self.path = path;
        Ok(())
    }
}

/// Writes a file atomically: under a temporary name, synced, renamed, then the directory synced.
pub(super) fn write_atomically(
    dir: &Path,
    temporary: &Path,
    path: &Path,
    data: &[u8],
) -> Result<(), Error> {
    let io = |what| IoSnafu {
        what,
        path: temporary,
    };
    let mut file = File::create(temporary).context(io("make"))?;
    file.write_all(data).context(io("write"))?;
    file.sync_all().context(io(SYNC))?;
    rename(dir, temporary, path)
}

fn rename(dir: &Path, from: &Path, to: &Path) -> Result<(), Error> {
    fs::rename(from, to).context(IoSnafu {
        what: "rename",
        path: from,
    })?;
    let opened = File::open(dir).context(IoSnafu {
        what: "open",
        path: dir,
    })?;
    opened.sync_all().context(IoSnafu {
        what: SYNC,
        path: dir,
    })
}

pub(super) fn log_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number:016x}")
}

pub(super) fn log_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(log_name(number))
}

fn file_names(dir: &Path) -> Result<Vec<String>, Error> {
    let io = IoSnafu {
        what: "read",
        path: dir,
    };
    let files = fs::read_dir(dir).context(io)?;
    let names = files.map(|file| file.map(|f| f.file_name().to_string_lossy().into_owned()));
    names.collect::<io::Result<_>>().context(io)
}

/// Returns the numbers of the log files.
pub(super) fn log_numbers(dir: &Path) -> Result<Vec<u64>, Error> {
    let number = |name: &String| u64::from_str_radix(name.strip_prefix(LOG_PREFIX)?, 16).ok();
    Ok(file_names(dir)?.iter().filter_map(number).collect())
}

/// Returns a file whose name starts with `prefix`, if any.
pub(super) fn find_by_prefix(dir: &Path, prefix: &str) -> Result<Option<PathBuf>, Error> {
    let found = file_names(dir)?
        .into_iter()
        .find(|name| name.starts_with(prefix));
    Ok(found.map(|name| dir.join(name)))
}

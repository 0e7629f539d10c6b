//! Files of the data folder: how they are written, synced, renamed and found.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use super::{Block, LOG, frame};
use crate::store::{DamagedSnafu, Error, IoSnafu};

/// The log file that is being written.
#[derive(Debug)]
pub(super) struct Log {
    file: File,
    path: PathBuf,
    frames: u64,
}

impl Log {
    pub(super) fn create(path: &Path) -> Result<Self, Error> {
        let file = File::create(path).context(IoSnafu { what: "make", path })?;
        Ok(Self {
            file,
            path: path.to_owned(),
            frames: 0,
        })
    }

    /// Opens a log file and cuts its torn tail.
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
        if scan.damaged || scan.blocks.is_empty() {
            let what = "a frame does not have its checksum and is not the last";
            return DamagedSnafu {
                path,
                offset: scan.end,
                what,
            }
            .fail();
        }
        if scan.end < bytes.len() as u64 {
            tracing::info!(file = %path.display(), offset = scan.end, "cut a torn tail");
            file.set_len(scan.end).context(io("cut"))?;
            file.sync_all().context(io("sync"))?;
        }
        file.seek(SeekFrom::Start(scan.end)).context(io("read"))?;
        let frames = scan.blocks.len() as u64;
        Ok((
            Self {
                file,
                path: path.to_owned(),
                frames,
            },
            scan.blocks,
        ))
    }

    /// Writes and syncs a block. `fail_after` makes the write fail after some bytes.
    pub(super) fn append(&mut self, block: &Block, fail_after: Option<usize>) -> Result<(), Error> {
        let frame = frame::encode(self.frames, block)?;
        let written = match fail_after {
            None => self.file.write_all(&frame),
            Some(bytes) => {
                let part = &frame[..bytes.min(frame.len())];
                let full = Err(io::Error::from(io::ErrorKind::StorageFull));
                self.file.write_all(part).and(full)
            }
        };
        let path = &self.path;
        written.context(IoSnafu {
            what: "write",
            path,
        })?;
        self.file
            .sync_data()
            .context(IoSnafu { what: "sync", path })?;
        self.frames += 1;
        Ok(())
    }

    /// Gives the file its name for good.
    pub(super) fn rename(&mut self, folder: &Path, path: PathBuf) -> Result<(), Error> {
        self.file.sync_all().context(IoSnafu {
            what: "sync",
            path: &self.path,
        })?;
        rename(folder, &self.path, &path)?;
        self.path = path;
        Ok(())
    }
}

/// Writes a file under another name, syncs it, renames it and syncs the folder.
pub(super) fn write_whole(
    folder: &Path,
    unfinished: &Path,
    path: &Path,
    data: &[u8],
) -> Result<(), Error> {
    let io = |what| IoSnafu {
        what,
        path: unfinished,
    };
    let mut file = File::create(unfinished).context(io("make"))?;
    file.write_all(data).context(io("write"))?;
    file.sync_all().context(io("sync"))?;
    rename(folder, unfinished, path)
}

fn rename(folder: &Path, from: &Path, to: &Path) -> Result<(), Error> {
    fs::rename(from, to).context(IoSnafu {
        what: "rename",
        path: from,
    })?;
    let opened = File::open(folder).context(IoSnafu {
        what: "open",
        path: folder,
    })?;
    opened.sync_all().context(IoSnafu {
        what: "sync",
        path: folder,
    })
}

pub(super) fn log_name(number: u64) -> String {
    format!("{LOG}{number:016x}")
}

pub(super) fn log_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(log_name(number))
}

fn names(folder: &Path) -> Result<Vec<String>, Error> {
    let io = IoSnafu {
        what: "read",
        path: folder,
    };
    let files = fs::read_dir(folder).context(io)?;
    let names = files.map(|file| file.map(|f| f.file_name().to_string_lossy().into_owned()));
    names.collect::<io::Result<_>>().context(io)
}

/// The numbers of the log files.
pub(super) fn numbers(folder: &Path) -> Result<Vec<u64>, Error> {
    let number = |name: &String| u64::from_str_radix(name.strip_prefix(LOG)?, 16).ok();
    Ok(names(folder)?.iter().filter_map(number).collect())
}

/// A file whose name starts with `prefix`.
pub(super) fn find(folder: &Path, prefix: &str) -> Result<Option<PathBuf>, Error> {
    let found = names(folder)?
        .into_iter()
        .find(|name| name.starts_with(prefix));
    Ok(found.map(|name| folder.join(name)))
}

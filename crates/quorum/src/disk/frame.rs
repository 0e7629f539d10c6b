//! Frames of a log file: mark, length, checksum, number, payload.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | the mark `cqf1` |
//! | 4 | length of the payload, little endian |
//! | 4 | CRC-32 of number and payload |
//! | 8 | number of the frame in its file, from 0 |
//! | length | one [`Block`], encoded with postcard |

use super::Block;
use crate::store::{Error, TooLargeSnafu};

/// Largest payload of a frame in bytes.
pub const LIMIT: usize = 64 * 1024 * 1024;

/// Bytes before the payload.
pub(super) const HEAD: usize = 20;

const MARK: [u8; 4] = *b"cqf1";

/// What a file of frames holds.
#[derive(Debug, PartialEq, Eq)]
pub struct Scan {
    /// The blocks, each with the offset of its frame.
    pub blocks: Vec<(u64, Block)>,
    /// Where the last whole frame ends.
    pub end: u64,
    /// Whether frames follow after `end`, so that what is there is not a torn tail.
    pub damaged: bool,
}

/// Puts a block into a frame.
pub(super) fn encode(number: u64, block: &Block) -> Result<Vec<u8>, Error> {
    let mut frame = vec![0; HEAD];
    let encoded = postcard::to_extend(block, Vec::new());
    let payload = encoded.unwrap_or_default();
    let bytes = payload.len();
    let length = u32::try_from(bytes)
        .ok()
        .filter(|_| bytes > 0 && bytes <= LIMIT);
    let Some(length) = length else {
        return TooLargeSnafu {
            bytes,
            limit: LIMIT,
        }
        .fail();
    };
    frame[..4].copy_from_slice(&MARK);
    frame[4..8].copy_from_slice(&length.to_le_bytes());
    frame[12..HEAD].copy_from_slice(&number.to_le_bytes());
    frame.extend_from_slice(&payload);
    let checksum = crc32fast::hash(&frame[12..]);
    frame[8..12].copy_from_slice(&checksum.to_le_bytes());
    Ok(frame)
}

fn word(bytes: &[u8]) -> Option<u32> {
    bytes.get(..4)?.try_into().ok().map(u32::from_le_bytes)
}

/// The number and payload of the frame at the start of `bytes`, if it is sound.
fn decode(bytes: &[u8]) -> Option<(u64, &[u8])> {
    if bytes.get(..4)? != MARK {
        return None;
    }
    let length = usize::try_from(word(&bytes[4..])?)
        .ok()
        .filter(|length| *length <= LIMIT)?;
    let checksum = word(bytes.get(8..)?)?;
    let body = bytes.get(12..HEAD + length)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    let number = u64::from_le_bytes(body[..8].try_into().ok()?);
    Some((number, &body[8..]))
}

fn block(bytes: &[u8], expected: u64) -> Option<(usize, Block)> {
    let (_, payload) = decode(bytes).filter(|(number, _)| *number == expected)?;
    let block = postcard::from_bytes(payload).ok()?;
    Some((HEAD + payload.len(), block))
}

/// Reads the frames of a whole file. Allocates no more than the blocks that are sound.
///
/// ```
/// let scan = cornelhitch_quorum::disk::scan(b"not a log file");
/// assert!(scan.blocks.is_empty());
/// ```
#[must_use]
pub fn scan(bytes: &[u8]) -> Scan {
    let mut blocks = Vec::new();
    let mut at = 0;
    while let Some((length, block)) = block(&bytes[at..], blocks.len() as u64) {
        blocks.push((at as u64, block));
        at += length;
    }
    let damaged = is_damaged(&bytes[at..]);
    Scan {
        blocks,
        end: at as u64,
        damaged,
    }
}

/// Whether the rest of a file is more than the torn tail of one write: a frame is written only
/// after the one before it is synced, so a sound frame further on shows that one was damaged.
fn is_damaged(rest: &[u8]) -> bool {
    let marks = rest
        .windows(MARK.len())
        .enumerate()
        .filter(|(_, window)| *window == MARK);
    rest.len() > HEAD + LIMIT
        || marks
            .into_iter()
            .any(|(at, _)| decode(&rest[at..]).is_some())
}

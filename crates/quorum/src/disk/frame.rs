//! Frame format of log files: magic, length, checksum, sequence number, payload.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | the magic bytes `cqf1` |
//! | 4 | length of the payload, little endian |
//! | 4 | CRC-32 of sequence number and payload |
//! | 8 | sequence number of the frame in its file, from 0 |
//! | length | one [`Block`], encoded with postcard |

use super::Block;
use crate::store::{Error, TooLargeSnafu};

/// Maximum payload of a frame in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

/// Size of the frame header.
pub(super) const HEADER_BYTES: usize = 20;

const MAGIC: [u8; 4] = *b"cqf1";

/// The result of scanning a log file.
#[derive(Debug, PartialEq, Eq)]
pub struct Scan {
    /// The blocks of all valid frames, each with the file offset of its frame.
    pub blocks: Vec<(u64, Block)>,
    /// Offset of the end of the last valid frame.
    pub end: u64,
    /// Whether the bytes after `end` are not just the torn tail of one write.
    pub corrupt: bool,
}

/// Encodes a block as a frame.
pub(super) fn encode(number: u64, block: &Block) -> Result<Vec<u8>, Error> {
    let mut frame = vec![0; HEADER_BYTES];
    let encoded = postcard::to_extend(block, Vec::new());
    let payload = encoded.unwrap_or_default();
    let bytes = payload.len();
    let length = u32::try_from(bytes)
        .ok()
        .filter(|_| bytes > 0 && bytes <= MAX_PAYLOAD_BYTES);
    let Some(length) = length else {
        return TooLargeSnafu {
            bytes,
            limit: MAX_PAYLOAD_BYTES,
        }
        .fail();
    };
    frame[..4].copy_from_slice(&MAGIC);
    frame[4..8].copy_from_slice(&length.to_le_bytes());
    frame[12..HEADER_BYTES].copy_from_slice(&number.to_le_bytes());
    frame.extend_from_slice(&payload);
    let checksum = crc32fast::hash(&frame[12..]);
    frame[8..12].copy_from_slice(&checksum.to_le_bytes());
    Ok(frame)
}

fn read_u32_le(bytes: &[u8]) -> Option<u32> {
    bytes.get(..4)?.try_into().ok().map(u32::from_le_bytes)
}

/// Returns the sequence number and payload of the frame at the start of `bytes`, if it is valid.
fn decode(bytes: &[u8]) -> Option<(u64, &[u8])> {
    if bytes.get(..4)? != MAGIC {
        return None;
    }
    let length = usize::try_from(read_u32_le(&bytes[4..])?)
        .ok()
        .filter(|length| *length <= MAX_PAYLOAD_BYTES)?;
    let checksum = read_u32_le(bytes.get(8..)?)?;
    let body = bytes.get(12..HEADER_BYTES + length)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    let number = u64::from_le_bytes(body[..8].try_into().ok()?);
    Some((number, &body[8..]))
}

fn decode_block(bytes: &[u8], expected: u64) -> Option<(usize, Block)> {
    let (_, payload) = decode(bytes).filter(|(number, _)| *number == expected)?;
    let block = postcard::from_bytes(payload).ok()?;
    Some((HEADER_BYTES + payload.len(), block))
}

/// Scans the content of a log file. Allocates memory only for blocks of valid frames.
///
/// ```
/// let scan = cornelhitch_quorum::disk::scan(b"not a log file");
/// assert!(scan.blocks.is_empty());
/// ```
#[must_use]
pub fn scan(bytes: &[u8]) -> Scan {
    let mut blocks = Vec::new();
    let mut at = 0;
    while let Some((length, block)) = decode_block(&bytes[at..], blocks.len() as u64) {
        blocks.push((at as u64, block));
        at += length;
    }
    let corrupt = is_corrupt(&bytes[at..]);
    Scan {
        blocks,
        end: at as u64,
        corrupt,
    }
}

/// Whether the rest of a file is more than the torn tail of one write. A frame is written only
/// after the previous one is synced, so a valid frame further on shows that an earlier one is
/// corrupt. A rest longer than the largest frame cannot be a torn tail either.
fn is_corrupt(rest: &[u8]) -> bool {
    let magics = rest
        .windows(MAGIC.len())
        .enumerate()
        .filter(|(_, window)| *window == MAGIC);
    rest.len() > HEADER_BYTES + MAX_PAYLOAD_BYTES
        || magics
            .into_iter()
            .any(|(at, _)| decode(&rest[at..]).is_some())
}

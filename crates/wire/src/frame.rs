//! Framing on a link: length prefix, payload, message authentication code.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{Snafu, ensure};
use tokio_util::codec::{Decoder, Encoder};

use crate::key::{Key, MAC_BYTES};

/// Maximum payload size in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 20;

/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// Why a frame is rejected. The link must then be closed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The payload exceeds [`MAX_PAYLOAD_BYTES`].
    #[snafu(display(
        "a frame payload of {length} bytes exceeds the limit of {MAX_PAYLOAD_BYTES} bytes"
    ))]
    TooLong {
        /// Length of the payload in bytes.
        length: usize,
    },
    /// The message authentication code is wrong, because of another key or because the frame was
    /// altered, repeated or reordered.
    #[snafu(display("frame {counter} has a wrong authentication code"))]
    InvalidMac {
        /// Expected sequence number of the frame in its direction of the link.
        counter: u64,
    },
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"), context(false))]
    Io {
        /// The cause.
        source: std::io::Error,
    },
}

/// Encodes or decodes the frames of one direction of a link. A counter that is part of the
/// authentication code binds each frame to its position.
#[derive(Debug)]
pub struct Codec {
    key: Key,
    counter: u64,
}

impl From<Key> for Codec {
    fn from(key: Key) -> Self {
        Self { key, counter: 0 }
    }
}

impl Decoder for Codec {
    type Item = Bytes;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Bytes>, Error> {
        let Some(prefix) = source.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        ensure!(length <= MAX_PAYLOAD_BYTES, TooLongSnafu { length });
        let frame_length = LENGTH_BYTES + length + MAC_BYTES;
        if source.len() < frame_length {
            return Ok(None);
        }
        source.advance(LENGTH_BYTES);
        let payload = source.split_to(length).freeze();
        let mac = source.split_to(MAC_BYTES);
        let counter = self.counter;
        let valid = self.key.verify(&[&counter.to_be_bytes(), &payload], &mac);
        ensure!(valid, InvalidMacSnafu { counter });
        self.counter += 1;
        Ok(Some(payload))
    }
}

impl Encoder<Bytes> for Codec {
    type Error = Error;

    fn encode(&mut self, payload: Bytes, out: &mut BytesMut) -> Result<(), Error> {
        let length = payload.len();
        ensure!(length <= MAX_PAYLOAD_BYTES, TooLongSnafu { length });
        out.reserve(LENGTH_BYTES + length + MAC_BYTES);
        out.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        out.put_slice(&payload);
        out.put_slice(&self.key.mac(&[&self.counter.to_be_bytes(), &payload]));
        self.counter += 1;
        Ok(())
    }
}

//! A payload with its length before it and its code behind it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{Snafu, ensure};
use tokio_util::codec::{Decoder, Encoder};

use crate::key::{Key, MAC_BYTES};

/// The largest payload in bytes.
pub const LIMIT: usize = 16 << 20;

/// Bytes of the length before a payload.
const LENGTH_BYTES: usize = 4;

/// Why a frame is refused; the link is closed then.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The payload is over the limit.
    #[snafu(display("a frame of {length} bytes is over the limit of {LIMIT}"))]
    Long {
        /// Its length in bytes.
        length: usize,
    },
    /// The code is wrong: another key, a changed, repeated or reordered frame.
    #[snafu(display("the code of frame {counter} is wrong"))]
    Forged {
        /// The number of the frame on its link and direction.
        counter: u64,
    },
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"), context(false))]
    Io {
        /// Why.
        source: std::io::Error,
    },
}

/// Frames of one direction of a link, each bound to its place by a counter.
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
        let Some(head) = source.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_be_bytes(*head)).unwrap_or(usize::MAX);
        ensure!(length <= LIMIT, LongSnafu { length });
        let whole = LENGTH_BYTES + length + MAC_BYTES;
        if source.len() < whole {
            return Ok(None);
        }
        source.advance(LENGTH_BYTES);
        let payload = source.split_to(length).freeze();
        let mac = source.split_to(MAC_BYTES);
        let counter = self.counter;
        let right = self.key.verify(&[&counter.to_be_bytes(), &payload], &mac);
        ensure!(right, ForgedSnafu { counter });
        self.counter += 1;
        Ok(Some(payload))
    }
}

impl Encoder<Bytes> for Codec {
    type Error = Error;

    fn encode(&mut self, payload: Bytes, out: &mut BytesMut) -> Result<(), Error> {
        let length = payload.len();
        ensure!(length <= LIMIT, LongSnafu { length });
        out.reserve(LENGTH_BYTES + length + MAC_BYTES);
        out.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        out.put_slice(&payload);
        out.put_slice(&self.key.mac(&[&self.counter.to_be_bytes(), &payload]));
        self.counter += 1;
        Ok(())
    }
}

//! Reads of a bounded length.
//!
//! The HTTP library doubles a connection's buffer each time a read fills it, up to the size of the largest
//! head, and keeps it. A read that leaves room keeps the buffer at its size.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};

/// Bytes that are read at once, less than a buffer of 16 KiB holds.
const MAX_READ_BYTES: usize = (16 << 10) - 1;

/// Reads at most [`MAX_READ_BYTES`] and returns how many there were; 0 at the end of the stream.
pub fn poll_short_read(
    socket: &mut (impl AsyncRead + Unpin),
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    let room = buffer.remaining().min(MAX_READ_BYTES);
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
    ready!(Pin::new(socket).poll_read(context, &mut part))?;
    let length = part.filled().len();
    buffer.advance(length);
    Poll::Ready(Ok(length))
}

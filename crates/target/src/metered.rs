//! A connection that ends when its peer sends much that becomes no part of a response.
//!
//! Chunk lengths, chunk extensions and trailers may go on without end, and the HTTP library reads
//! them for as long as they come, without a byte of a body for its caller.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::short_read::poll_short_read;

/// Upper bound on the bytes that are read without a part of a body, far above the head of a response
/// and what is read ahead.
const MAX_UNDELIVERED_BYTES: usize = 1 << 20;

/// Bytes that were read from a connection since the last part of a body was delivered.
#[derive(Debug, Clone, Default)]
pub struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Records that a part of a body was delivered, or that a request is sent.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read; returns whether there may be more.
    fn count(&self, bytes: usize) -> bool {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_UNDELIVERED_BYTES
    }
}

/// A socket whose reads are counted.
#[derive(Debug)]
pub struct MeteredStream {
    socket: TcpStream,
    meter: Meter,
}

impl MeteredStream {
    /// Creates a stream that counts its reads in a meter.
    pub fn new(socket: TcpStream, meter: Meter) -> Self {
        Self { socket, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = ready!(poll_short_read(&mut self.socket, context, buffer))?;
        if read > 0 && !self.meter.count(read) {
            let detail = "too many bytes that are no part of a response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}

//! A caller's socket that ends when a head, a pause between requests or an unread answer lasts too long.
//!
//! The HTTP library limits the size of heads, and the time from the end of one request to the end of the
//! next head. It has no limit on the time for which a head is incomplete, on a connection before its first
//! byte, on an idle HTTP/2 connection, nor on answers that are not read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use cornelhitch_target::short_read::poll_short_read;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::connection::Connection;
use crate::metrics::Count;

/// The beginning of the connection preface of HTTP/2 (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI";

/// Bytes that are read from one connection before others have their turn. Callers that send without
/// end, as pings or the length of a chunk, would keep a thread otherwise.
const MAX_BURST_BYTES: usize = 8 << 10;

/// Bytes of an HTTP/1.1 connection that may become no part of a body while a request is in progress,
/// relative to the largest head. The length of a chunk may have any number of leading zeros.
const UNDELIVERED_FACTOR: usize = 4;

/// The answer to a head that takes too long. The library answers none.
const HEAD_OVERDUE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A caller's socket.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    socket: TcpStream,
    connection: Arc<Connection>,
    /// Longest time without a request.
    idle_timeout: Duration,
    /// Whether the first bytes are those of HTTP/2; `None` before these.
    is_http2: Option<bool>,
    /// When the first byte of the incomplete head was received.
    head_since: Option<Instant>,
    /// Bytes received since the last request while none was in progress.
    unrequested: usize,
    /// Bytes received since the last part of a body, while a request was in progress.
    undelivered: usize,
    /// Number of parts of bodies when bytes were last received.
    body_parts: usize,
    /// Bytes read since others had their turn.
    burst: usize,
    /// Number of requests when a head was last looked for.
    requests: usize,
    /// Wakes the reader when a head or a pause is overdue.
    read_timer: Pin<Box<Sleep>>,
    /// Runs while the socket takes no more bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Whether the socket takes no more bytes until the caller reads some.
    blocked: bool,
    /// Runs while nothing is read because the address has used up its allowance.
    pause_timer: Option<Pin<Box<Sleep>>>,
}

impl GuardedStream {
    /// Guards a socket.
    pub(crate) fn new(
        socket: TcpStream,
        connection: Arc<Connection>,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            socket,
            connection,
            idle_timeout,
            is_http2: None,
            head_since: None,
            unrequested: 0,
            undelivered: 0,
            body_parts: 0,
            burst: 0,
            requests: 0,
            read_timer: Box::pin(sleep_until(Instant::now() + idle_timeout)),
            write_timer: None,
            blocked: false,
            pause_timer: None,
        }
    }

    /// Accounts for requests and parts of bodies that were read since the last call.
    fn note_progress(&mut self) {
        let requests = self.connection.requests();
        let parts = self.connection.body_parts();
        if requests == self.requests && parts == self.body_parts {
            return;
        }
        if requests != self.requests {
            self.requests = requests;
            self.head_since = None;
            self.unrequested = 0;
        }
        self.body_parts = parts;
        self.undelivered = 0;
    }

    /// Returns whether nothing may be read yet; wakes the task when that may have changed.
    fn pauses(&mut self, context: &mut Context<'_>) -> bool {
        loop {
            if let Some(timer) = &mut self.pause_timer
                && timer.as_mut().poll(context).is_pending()
            {
                return true;
            }
            let pause = self.connection.pause();
            self.pause_timer = pause.map(|pause| Box::pin(sleep_until(Instant::now() + pause)));
            if self.pause_timer.is_none() {
                return false;
            }
        }
    }

    /// Accounts for bytes that were received; fails if they are too many without a request.
    fn received(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.is_http2.is_none() {
            self.is_http2 = Some(bytes.starts_with(HTTP2_PREFACE));
        }
        self.connection.charge(bytes.len());
        if !self.connection.is_busy() {
            self.head_since.get_or_insert_with(Instant::now);
            self.connection.receive(bytes.len());
            self.unrequested += bytes.len();
        } else if self.is_http2 == Some(false) {
            self.undelivered += bytes.len();
        }
        let table = self.connection.table();
        if self.connection.is_out_of_memory() {
            table.closed(Count::ConnectionsOutOfMemory, self.connection.from);
            let detail = "the process has no memory for more";
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, detail));
        }
        let head_bytes = table.limits.head_bytes;
        // HTTP/2 limits heads, but not the other frames between requests.
        if self.unrequested <= head_bytes && self.undelivered <= UNDELIVERED_FACTOR * head_bytes {
            return Ok(());
        }
        table.closed(Count::ConnectionsWithoutRequests, self.connection.from);
        let detail = "too many bytes that are no request";
        Err(io::Error::new(io::ErrorKind::InvalidData, detail))
    }

    /// Returns whether others have their turn before more is read; wakes the task for its next one.
    fn yields(&mut self, context: &mut Context<'_>) -> bool {
        let yields = self.burst >= MAX_BURST_BYTES;
        if yields {
            self.burst = 0;
            context.waker().wake_by_ref();
        }
        yields
    }

    /// Returns when the connection has to end unless more happens; `None` while a request is in progress.
    fn read_deadline(&self) -> Option<(Instant, bool)> {
        if self.connection.is_busy() {
            return None;
        }
        let head = self.head_since.filter(|_| self.is_http2 == Some(false));
        let head_timeout = self.connection.table().limits.head_timeout;
        Some(match head {
            Some(since) => (since + head_timeout, true),
            None => (self.connection.idle_since() + self.idle_timeout, false),
        })
    }

    /// Fails if a head or a pause is overdue; else wakes the task when one may be.
    fn poll_overdue(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        loop {
            let deadline = self.read_deadline();
            if let Some((deadline, is_head)) = deadline
                && deadline <= Instant::now()
            {
                return Err(self.end_overdue(is_head));
            }
            let wake = deadline.map_or(Instant::now() + self.idle_timeout, |(at, _)| at);
            if deadline.is_some() || self.read_timer.is_elapsed() {
                self.read_timer.as_mut().reset(wake);
            }
            if self.read_timer.as_mut().poll(context).is_pending() {
                return Ok(());
            }
        }
    }

    /// Answers a head that is overdue, and returns the error that ends the connection.
    fn end_overdue(&self, is_head: bool) -> io::Error {
        if is_head {
            // An unsent answer leaves the closed connection, which says the same.
            let _ = self.socket.try_write(HEAD_OVERDUE);
            let from = self.connection.from;
            let table = self.connection.table();
            table.closed(Count::HeadsOverdue, from);
        }
        io::Error::new(io::ErrorKind::TimedOut, "no complete request in time")
    }

    /// Fails if the socket has taken no bytes for too long.
    fn poll_unread(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        let timeout = self.idle_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + timeout)));
        if timer.as_mut().poll(context).is_pending() {
            return Ok(());
        }
        let from = self.connection.from;
        let table = self.connection.table();
        table.closed(Count::AnswersUnread, from);
        let detail = "the caller reads no answer";
        Err(io::Error::new(io::ErrorKind::TimedOut, detail))
    }

    /// Accounts for the progress of answers: the socket takes no more bytes (`None`), or has taken some of those
    /// that there were.
    fn note_written(&mut self, written: Option<usize>, length: usize) {
        if let Some(bytes) = written.filter(|_| self.blocked) {
            self.connection.progress(bytes);
        }
        let blocked = written.is_none_or(|bytes| bytes < length);
        if blocked != self.blocked {
            self.blocked = blocked;
            self.connection.set_blocked(blocked);
        }
    }

    /// Accounts for an attempt to write this many bytes.
    fn after_write(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
        length: usize,
    ) -> Poll<io::Result<usize>> {
        match &polled {
            Poll::Pending => self.note_written(None, length),
            Poll::Ready(Ok(bytes)) => self.note_written(Some(*bytes), length),
            Poll::Ready(Err(_)) => {}
        }
        if polled.is_pending() {
            return match self.poll_unread(context) {
                Ok(()) => Poll::Pending,
                Err(error) => Poll::Ready(Err(error)),
            };
        }
        self.write_timer = None;
        // Over HTTP/2 a request is in progress until its answer is sent; other frames are no activity.
        if self.is_http2 != Some(true) || self.connection.is_busy() {
            self.connection.record_write();
        }
        polled
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        if self.connection.cuts_answer(self.blocked) {
            let _ = self.socket.set_zero_linger();
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.note_progress();
        if self.yields(context) {
            return Poll::Pending;
        }
        if self.pauses(context) {
            return match self.poll_overdue(context) {
                Ok(()) => Poll::Pending,
                Err(error) => Poll::Ready(Err(error)),
            };
        }
        let before = buffer.filled().len();
        let polled = poll_short_read(&mut self.socket, context, buffer).map_ok(|_| ());
        let received = &buffer.filled()[before..];
        if received.is_empty() {
            self.burst = 0;
        } else {
            self.burst += received.len();
            if let Err(error) = self.received(received) {
                return Poll::Ready(Err(error));
            }
        }
        if let Err(error) = self.poll_overdue(context) {
            return Poll::Ready(Err(error));
        }
        polled
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.after_write(context, polled, bytes.len())
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
        let polled = Pin::new(&mut self.socket).poll_write_vectored(context, bytes);
        let length = bytes.iter().map(|part| part.len()).sum();
        self.after_write(context, polled, length)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}

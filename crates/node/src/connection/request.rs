//! A request in progress on a connection, and what it waits for its caller for.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::Extensions;

use super::Connection;
use crate::answer_progress::AnswerProgress;
use crate::shared_memory::Reservation;

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    connection: Arc<Connection>,
    /// Whether its body is incomplete.
    receiving: AtomicBool,
    /// What it waits for its caller for: the body, and until an answer over HTTP/2 is read.
    waits: AtomicUsize,
    /// How far the caller has read the answer, over HTTP/2.
    progress: AnswerProgress,
    #[expect(dead_code, reason = "frees the request's place when it is dropped")]
    place: Reservation<IpAddr>,
}

/// Records which bytes of a connection became a part of a body; an extension of each request. The request
/// is in progress until the last clone is dropped, so also while the rest of a refused body is read.
#[derive(Debug, Clone)]
pub(crate) struct BodyProgress(pub(crate) Arc<Request>);

impl BodyProgress {
    /// Records that a part with this many bytes was read.
    pub(crate) fn record(extensions: &Extensions, bytes: usize) {
        if let Some(Self(request)) = extensions.get() {
            let connection = &request.connection;
            connection.body_parts.fetch_add(1, Ordering::Relaxed);
            connection.unused.store(0, Ordering::Relaxed);
            connection.refund();
            connection.progress(bytes);
        }
    }

    /// Records that the body is complete, or broke off.
    pub(crate) fn end(extensions: &Extensions) {
        if let Some(Self(request)) = extensions.get()
            && request.receiving.swap(false, Ordering::Relaxed)
        {
            request.end_wait();
        }
    }
}

impl Request {
    /// Begins a request on a connection, which may have a body.
    pub(super) fn new(
        connection: Arc<Connection>,
        has_body: bool,
        place: Reservation<IpAddr>,
    ) -> Self {
        let request = Self {
            connection,
            receiving: AtomicBool::new(has_body),
            waits: AtomicUsize::new(0),
            progress: AnswerProgress::new(),
            place,
        };
        if has_body {
            request.begin_wait();
        }
        request
    }

    /// Returns the connection.
    pub(super) fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Returns whether the caller has read nothing of an answer over HTTP/2 for longer than `timeout`, or too slowly.
    pub(super) fn is_stalled(&self, timeout: Duration) -> bool {
        self.progress.is_stalled(timeout)
    }

    /// Records that the request waits for its caller, for one more thing.
    fn begin_wait(&self) {
        let connection = &self.connection;
        let now = connection.table.epoch.elapsed();
        let mut state = connection.table.lock();
        if self.waits.fetch_add(1, Ordering::Relaxed) == 0 {
            state.connections.begin_wait(connection.id, now);
        }
    }

    /// Records that the request waits for its caller for one thing less.
    fn end_wait(&self) {
        let connection = &self.connection;
        let mut state = connection.table.lock();
        if self.waits.fetch_sub(1, Ordering::Relaxed) == 1 {
            state.connections.end_wait(connection.id);
        }
    }

    /// Begins an answer over HTTP/2. Closes the connection once the caller has read nothing of it for too long.
    pub(crate) fn begin_answer(self: &Arc<Self>) {
        self.begin_wait();
        let mut state = self.connection.table.lock();
        state.answered.push(Arc::downgrade(self));
    }

    /// Records that the HTTP/2 library asked for the body of the answer for the first time.
    pub(crate) fn begin_answer_body(&self) {
        if self.progress.begin() {
            self.end_wait();
        }
    }

    /// Records that the HTTP/2 library took bytes of the answer.
    pub(crate) fn answer_taken(&self, bytes: usize) {
        if self.progress.taken(bytes) {
            self.begin_wait();
        }
    }

    /// Records that bytes of the answer were sent.
    pub(crate) fn answer_sent(&self, bytes: usize) {
        self.connection.progress(bytes);
        if self.progress.sent(bytes) {
            self.end_wait();
        }
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let connection = &self.connection;
        connection.record_write();
        connection.in_progress.fetch_sub(1, Ordering::Relaxed);
        let table = &connection.table;
        let now = table.epoch.elapsed();
        let connections = &mut table.lock().connections;
        if self.waits.load(Ordering::Relaxed) > 0 {
            connections.end_wait(connection.id);
        }
        connections.end(connection.id, now);
    }
}

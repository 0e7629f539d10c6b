//! Splits a byte stream into server-sent events without copying them.
//!
//! The format is that of the WHATWG HTML standard, section "Server-sent events", with lines that end
//! in LF or CR LF. An event's id has the form `REQUEST/FROM/TO`: the request id, and the number of
//! tokens of the answer before and after the event.

use bytes::{Buf, Bytes, BytesMut};

/// The media type of a stream of events.
pub const MEDIA_TYPE: &str = "text/event-stream";

/// Upper bound on the size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The data of the event that terminates a stream.
pub const DONE: &str = "[DONE]";

/// Splits a stream of bytes into events.
///
/// ```
/// use cornelhitch_target::sse::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"data: a\n");
/// assert_eq!(splitter.next_event(), None);
/// splitter.push(b"\ndata");
/// assert_eq!(&splitter.next_event().unwrap()[..], b"data: a\n\n");
/// assert_eq!(splitter.buffered_len(), 4);
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that are not part of a returned event.
    buffer: BytesMut,
    /// Length of the prefix of the buffer that is known to contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, including the empty line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let Some(end) = event_end(&self.buffer, self.searched) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns the number of buffered bytes; after [`EventSplitter::next_event`] returned `None`,
    /// those of an incomplete event.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buffer.remaining()
    }
}

/// Returns the end of the first event, searching from `searched` on.
fn event_end(buffer: &[u8], searched: usize) -> Option<usize> {
    let tail = buffer.get(searched..)?;
    let line_feeds = tail.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_feeds
        .map(|(at, _)| searched + at)
        .find(|at| ends_empty_line(&buffer[..*at]))
        .map(|at| at + 1)
}

/// Returns whether a line feed after these bytes would end an empty line.
fn ends_empty_line(before: &[u8]) -> bool {
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    line.is_empty() || line.ends_with(b"\n")
}

/// The fields of an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Event<'a> {
    /// The `event` field.
    pub kind: Option<&'a str>,
    /// The `id` field.
    pub id: Option<&'a str>,
    /// The `data` field; the last line if there are several.
    pub data: Option<&'a str>,
}

impl<'a> Event<'a> {
    /// Parses the fields of an event; returns `None` if it is not UTF-8.
    ///
    /// ```
    /// use cornelhitch_target::sse::Event;
    ///
    /// let event = Event::parse(b"id: r1/0/2\ndata: {}\n\n").unwrap();
    /// assert_eq!(event.position().unwrap().end, 2);
    /// ```
    #[must_use]
    pub fn parse(bytes: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut event = Self::default();
        for line in text.lines() {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "event" => event.kind = Some(value),
                "id" => event.id = Some(value),
                "data" => event.data = Some(value),
                _ => (),
            }
        }
        Some(event)
    }

    /// Parses the id; returns `None` if it is missing or not of the form `REQUEST/FROM/TO`.
    #[must_use]
    pub fn position(&self) -> Option<Position<'a>> {
        let mut parts = self.id?.rsplitn(3, '/');
        let end = parts.next()?.parse().ok()?;
        let start = parts.next()?.parse().ok()?;
        let request = parts.next()?;
        (start <= end).then_some(Position {
            request,
            start,
            end,
        })
    }
}

/// The position of an event in the answer, parsed from its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position<'a> {
    /// The id of the request.
    pub request: &'a str,
    /// Tokens of the answer before the event.
    pub start: u64,
    /// Tokens of the answer up to and including the event.
    pub end: u64,
}

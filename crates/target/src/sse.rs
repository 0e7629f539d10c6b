//! Server-sent events, cut out of a stream of bytes without copying.
//!
//! The form is that of the WHATWG HTML standard, section "Server-sent events",
//! with line ends LF or CR LF. An event's id has the form `REQUEST/FROM/TO`:
//! the request, and the tokens of the answer before and after the event.

use bytes::{Buf, Bytes, BytesMut};

/// The largest event in bytes.
pub const LIMIT: usize = 1 << 20;

/// The data of the last event.
pub const DONE: &str = "[DONE]";

/// Cuts bytes into events.
///
/// ```
/// use cornelhitch_target::sse::Splitter;
///
/// let mut splitter = Splitter::default();
/// splitter.push(b"data: a\n");
/// assert_eq!(splitter.event(), None);
/// splitter.push(b"\ndata");
/// assert_eq!(&splitter.event().unwrap()[..], b"data: a\n\n");
/// assert_eq!(splitter.rest(), 4);
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes that no event has taken.
    buffer: BytesMut,
    /// How many of them hold no end of an event.
    searched: usize,
}

impl Splitter {
    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, with the empty line that ends it.
    pub fn event(&mut self) -> Option<Bytes> {
        let Some(end) = end(&self.buffer, self.searched) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// How many bytes are left that make no whole event.
    #[must_use]
    pub fn rest(&self) -> usize {
        self.buffer.remaining()
    }
}

/// Where the first event ends, looking from `searched` on.
fn end(buffer: &[u8], searched: usize) -> Option<usize> {
    let tail = buffer.get(searched..)?;
    let feeds = tail.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    feeds
        .map(|(at, _)| searched + at)
        .find(|at| empty_line(&buffer[..*at]))
        .map(|at| at + 1)
}

/// Whether the line that a feed would end after these bytes is empty.
fn empty_line(before: &[u8]) -> bool {
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    line.is_empty() || line.ends_with(b"\n")
}

/// The fields of one event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its `event` field.
    pub kind: Option<&'a str>,
    /// Its `id` field.
    pub id: Option<&'a str>,
    /// Its `data` field, the last line where it has several.
    pub data: Option<&'a str>,
}

impl<'a> Event<'a> {
    /// Reads the fields of an event; none where it is not UTF-8.
    ///
    /// ```
    /// use cornelhitch_target::sse::Event;
    ///
    /// let event = Event::parse(b"id: r1/0/2\ndata: {}\n\n").unwrap();
    /// assert_eq!(event.position().unwrap().to, 2);
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

    /// What its id tells.
    #[must_use]
    pub fn position(&self) -> Option<Position<'a>> {
        let mut parts = self.id?.rsplitn(3, '/');
        let to = parts.next()?.parse().ok()?;
        let from = parts.next()?.parse().ok()?;
        let request = parts.next()?;
        (from <= to).then_some(Position { request, from, to })
    }
}

/// What an event's id tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position<'a> {
    /// The request that is answered.
    pub request: &'a str,
    /// Tokens of the answer before the event.
    pub from: u64,
    /// Tokens of the answer after it.
    pub to: u64,
}

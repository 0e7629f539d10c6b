//! Log entries, snapshots and the in-memory log.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{Index, Term};
use crate::member::Membership;

/// Approximate size of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 24;

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No payload: the entry that a new leader appends at the start of its term.
    Empty,
    /// A payload proposed by the owner.
    Data(Bytes),
    /// A new membership, in effect from this entry on.
    Membership(Membership),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// The payload.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of the entry in a message, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Empty => ENTRY_OVERHEAD_BYTES,
            Payload::Data(data) => ENTRY_OVERHEAD_BYTES + data.len(),
            Payload::Membership(members) => ENTRY_OVERHEAD_BYTES * (1 + members.len()),
        }
    }
}

/// A snapshot of the owner's state, which replaces all entries up to `index`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry covered.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The membership as of that entry.
    pub membership: Membership,
    /// The owner's encoded state.
    pub data: Bytes,
}

/// The in-memory log: the latest snapshot and the entries after `offset`.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Index, and below it the term, of the entry that precedes the first one in memory.
    offset: Index,
    offset_term: Term,
    entries: VecDeque<Entry>,
    pub(crate) snapshot: Option<Snapshot>,
}

impl Log {
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let offset = snapshot.as_ref().map_or(0, |s| s.index);
        let offset_term = snapshot.as_ref().map_or(0, |s| s.term);
        Self {
            offset,
            offset_term,
            entries: entries.into(),
            snapshot,
        }
    }

    pub(crate) fn offset(&self) -> Index {
        self.offset
    }

    pub(crate) fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    pub(crate) fn last(&self) -> Index {
        self.offset + self.entries.len() as u64
    }

    /// Returns the size of the entries in memory, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.entries.iter().map(|entry| entry.size() as u64).sum()
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.offset_term, |e| e.term)
    }

    pub(crate) fn entry(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.offset + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Returns the term of the entry at `index`, or `None` if the entry is compacted or beyond the
    /// end.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.offset {
            return Some(self.offset_term);
        }
        self.entry(index).map(|e| e.term)
    }

    /// Returns the index before the first entry of the term that the entry at `index` belongs to.
    pub(crate) fn before_term_of(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut at = index;
        while at > self.offset && self.term(at) == term {
            at -= 1;
        }
        at
    }

    /// Returns consecutive entries from `from` on, up to a total of `bytes` but at least one if
    /// there is one.
    pub(crate) fn slice(&self, from: Index, bytes: usize) -> Vec<Entry> {
        let mut sum = 0;
        let mut slice = Vec::new();
        let mut at = from;
        while let Some(entry) = self.entry(at) {
            sum += entry.size();
            if sum > bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            at += 1;
        }
        slice
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Removes the entries at and after `index`.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.offset + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Installs a snapshot of this member's owner and keeps up to `trailing` entries before it, of
    /// `trailing_bytes` at most.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, trailing: u64, trailing_bytes: usize) {
        let offset = self.trailing_offset(snapshot.index, trailing, trailing_bytes);
        while self.offset < offset {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.offset = entry.index;
            self.offset_term = entry.term;
        }
        self.snapshot = Some(snapshot);
    }

    /// Returns the index before the first entry to keep before a snapshot.
    fn trailing_offset(&self, index: Index, trailing: u64, trailing_bytes: usize) -> Index {
        let mut at = index;
        let mut bytes = 0;
        while let Some(entry) = self.entry(at) {
            bytes += entry.size();
            if index - at >= trailing || bytes > trailing_bytes {
                break;
            }
            at -= 1;
        }
        at
    }

    /// Installs a snapshot from a leader. Entries after it are kept if the log matches the
    /// snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.compact(snapshot, 0, 0);
            return;
        }
        self.entries.clear();
        self.offset = snapshot.index;
        self.offset_term = snapshot.term;
        self.snapshot = Some(snapshot);
    }
}

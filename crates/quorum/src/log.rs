//! Entries, snapshots, and the part of the log that a member holds in memory.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{Index, Term};
use crate::member::Membership;

/// Bytes that an entry counts for besides its payload.
const ENTRY_BYTES: usize = 24;

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term.
    Empty,
    /// What the owner proposed.
    Data(Bytes),
    /// The members from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
}

impl Entry {
    /// About how many bytes the entry takes in a message.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Empty => ENTRY_BYTES,
            Payload::Data(data) => ENTRY_BYTES + data.len(),
            Payload::Membership(members) => ENTRY_BYTES * (1 + members.len()),
        }
    }
}

/// The owner's state after the entry at `index`, which stands for all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it holds.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The members after that entry.
    pub membership: Membership,
    /// The owner's state.
    pub data: Bytes,
}

/// The entries in memory, after an offset.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// The index before the first entry in memory, and its term.
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

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.offset_term, |e| e.term)
    }

    pub(crate) fn entry(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.offset + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The term of the entry at `index`, if this member still knows it.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.offset {
            return Some(self.offset_term);
        }
        self.entry(index).map(|e| e.term)
    }

    /// The entry before the first one of the term that `index` has.
    pub(crate) fn before_term_of(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut at = index;
        while at > self.offset && self.term(at) == term {
            at -= 1;
        }
        at
    }

    /// Entries from `from` on, at least one if there is one, else up to a sum of bytes.
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

    /// Drops the entries at and after `index`.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.offset + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Takes the owner's snapshot and keeps up to `trailing` entries before it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, trailing: u64) {
        let offset = snapshot.index.saturating_sub(trailing);
        while self.offset < offset {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.offset = entry.index;
            self.offset_term = entry.term;
        }
        self.snapshot = Some(snapshot);
    }

    /// Takes a leader's snapshot; entries after it stay if the log agrees with it.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.compact(snapshot, 0);
            return;
        }
        self.entries.clear();
        self.offset = snapshot.index;
        self.offset_term = snapshot.term;
        self.snapshot = Some(snapshot);
    }
}

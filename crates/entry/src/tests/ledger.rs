//! What was seen of each request, and what must always hold of it.

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::refusal::Run;

use crate::attempt::{MAX_OVERRUN, STALL_TIMEOUT};
use crate::event::{Attempt, CallId};

/// A broken invariant.
pub type Violation = String;

/// What was seen of one request.
#[derive(Debug, Clone, Default)]
pub struct Entry {
    /// When its answer is due.
    pub deadline: Time,
    /// The last time that its answer moved.
    pub moved: Option<Time>,
    /// Whether it is answered as a stream.
    pub streaming: bool,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Its caller and key.
    pub key: Option<Name>,
    /// Which core a poison request came to.
    pub poison: Option<usize>,
    /// How often its first byte was allowed.
    pub proceeds: u32,
    /// Whether its caller left.
    pub left: bool,
    /// How it ended, and when.
    pub ends: Vec<(Time, Option<Run>)>,
    /// Attempts whose terminator came.
    pub whole: BTreeSet<Attempt>,
}

/// What was seen of all requests.
#[derive(Debug, Default)]
pub struct Ledger {
    /// By request.
    pub entries: BTreeMap<CallId, Entry>,
    /// How often each key was sent.
    keys: BTreeMap<Name, u32>,
    /// Targets that each fingerprint took down.
    lost: BTreeMap<u64, BTreeSet<(Name, u64)>>,
}

impl Ledger {
    /// The first byte of a request may be written.
    pub fn proceeds(&mut self, id: CallId) -> Result<(), Violation> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Err(format!("request {id} was sent and never arrived"));
        };
        entry.proceeds += 1;
        let told = entry.ends.iter().any(|(_, run)| *run == Some(Run::NotRun));
        if told {
            return Err(format!("request {id} was sent after it was called not run"));
        }
        if !entry.repeatable && entry.proceeds > 1 {
            return Err(format!("request {id} may not be repeated and was"));
        }
        if let Some(key) = &entry.key {
            let count = self.keys.entry(key.clone()).or_default();
            *count += 1;
            if *count > 1 {
                return Err(format!("key {key} was sent twice, now as request {id}"));
            }
        }
        Ok(())
    }

    /// A request ended towards its caller.
    pub fn ends(&mut self, id: CallId, run: Option<Run>, now: Time) -> Result<(), Violation> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Err(format!("request {id} ended and never arrived"));
        };
        entry.ends.push((now, run));
        if entry.ends.len() > 1 {
            return Err(format!("request {id} ended twice"));
        }
        if entry.left {
            return Err(format!("request {id} was answered after its caller left"));
        }
        if run == Some(Run::NotRun) && entry.proceeds > 0 {
            return Err(format!("request {id} was sent and is called not run"));
        }
        let due = match entry.moved {
            None => entry.deadline,
            // An answer that stopped coming is continued once.
            Some(moved) if entry.streaming => moved + STALL_TIMEOUT + STALL_TIMEOUT,
            Some(_) => entry.deadline + MAX_OVERRUN,
        };
        if now > due {
            return Err(format!("request {id} ended at {now:?} and was due {due:?}"));
        }
        Ok(())
    }

    /// An answer is called whole.
    pub fn finishes(&mut self, id: CallId, attempt: Attempt, now: Time) -> Result<(), Violation> {
        let entry = self.entries.get(&id);
        if !entry.is_some_and(|entry| entry.whole.contains(&attempt)) {
            return Err(format!("attempt {attempt} of request {id} was not whole"));
        }
        self.ends(id, None, now)
    }

    /// A request took a target down.
    pub fn takes_down(&mut self, fingerprint: u64, life: (Name, u64)) -> Result<(), Violation> {
        let lost = self.lost.entry(fingerprint).or_default();
        lost.insert(life);
        if lost.len() > 2 {
            return Err(format!("fingerprint {fingerprint} took down {lost:?}"));
        }
        Ok(())
    }

    /// Nothing happens any more: every request must have ended.
    pub fn closes(&self) -> Result<(), Violation> {
        for (id, entry) in &self.entries {
            let ended = entry.ends.len() == 1 || (entry.left && entry.ends.is_empty());
            if !ended {
                return Err(format!("request {id} ended {} times", entry.ends.len()));
            }
        }
        Ok(())
    }
}

//! Records what happened to each request and checks the invariants.

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::refusal::Run;

use crate::attempt::{MAX_OVERRUN, STALL_TIMEOUT};
use crate::event::{Attempt, CallId};

/// The description of a broken invariant.
pub type Violation = String;

/// What happened to one request.
#[derive(Debug, Clone, Default)]
pub struct RequestRecord {
    /// When its response is due.
    pub deadline: Time,
    /// The last time that its response made progress.
    pub moved: Option<Time>,
    /// Whether the response is streamed.
    pub streaming: bool,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Its idempotency key.
    pub key: Option<Name>,
    /// The core that the request arrived at, if it is a poison request.
    pub poison: Option<usize>,
    /// Number of attempts that were allowed to write.
    pub proceeds: u32,
    /// Whether its caller disconnected.
    pub left: bool,
    /// When and how it ended; `None` for a complete response.
    pub ends: Vec<(Time, Option<Run>)>,
    /// Attempts whose terminator arrived.
    pub terminated: BTreeSet<Attempt>,
}

/// What happened to all requests.
#[derive(Debug, Default)]
pub struct RequestLog {
    pub records: BTreeMap<CallId, RequestRecord>,
    /// How often each key was sent.
    keys: BTreeMap<Name, u32>,
    /// Targets that each fingerprint took down.
    lost: BTreeMap<u64, BTreeSet<(Name, u64)>>,
}

impl RequestLog {
    /// Records that the first byte of a request may be written.
    pub fn on_proceed(&mut self, id: CallId) -> Result<(), Violation> {
        let Some(record) = self.records.get_mut(&id) else {
            return Err(format!("request {id} was sent and never arrived"));
        };
        record.proceeds += 1;
        let told = record.ends.iter().any(|(_, run)| *run == Some(Run::NotRun));
        if told {
            return Err(format!(
                "request {id} was sent after it was reported as not run"
            ));
        }
        if !record.repeatable && record.proceeds > 1 {
            return Err(format!(
                "request {id} must not be repeated but was sent again"
            ));
        }
        if let Some(key) = &record.key {
            let count = self.keys.entry(key.clone()).or_default();
            *count += 1;
            if *count > 1 {
                return Err(format!("key {key} was sent twice, now as request {id}"));
            }
        }
        Ok(())
    }

    /// Records that a request ended towards its caller.
    pub fn on_end(&mut self, id: CallId, run: Option<Run>, now: Time) -> Result<(), Violation> {
        let Some(record) = self.records.get_mut(&id) else {
            return Err(format!("request {id} ended and never arrived"));
        };
        record.ends.push((now, run));
        if record.ends.len() > 1 {
            return Err(format!("request {id} ended twice"));
        }
        if record.left {
            return Err(format!("request {id} was answered after its caller left"));
        }
        if run == Some(Run::NotRun) && record.proceeds > 0 {
            return Err(format!("request {id} was sent but reported as not run"));
        }
        let due = match record.moved {
            None => record.deadline,
            // A response that stalls is resumed once.
            Some(moved) if record.streaming => moved + STALL_TIMEOUT + STALL_TIMEOUT,
            Some(_) => record.deadline + MAX_OVERRUN,
        };
        if now > due {
            return Err(format!(
                "request {id} ended at {now:?}, after it was due at {due:?}"
            ));
        }
        Ok(())
    }

    /// Records that a response is reported as complete.
    pub fn on_finish(&mut self, id: CallId, attempt: Attempt, now: Time) -> Result<(), Violation> {
        let record = self.records.get(&id);
        if !record.is_some_and(|record| record.terminated.contains(&attempt)) {
            return Err(format!(
                "attempt {attempt} of request {id} was reported as complete without its terminator"
            ));
        }
        self.on_end(id, None, now)
    }

    /// Records that a request took a target down.
    pub fn on_target_lost(
        &mut self,
        fingerprint: u64,
        instance: (Name, u64),
    ) -> Result<(), Violation> {
        let lost = self.lost.entry(fingerprint).or_default();
        lost.insert(instance);
        if lost.len() > 2 {
            return Err(format!("fingerprint {fingerprint} took down {lost:?}"));
        }
        Ok(())
    }

    /// Checks that every request has ended once the simulation is over.
    pub fn check_all_ended(&self) -> Result<(), Violation> {
        for (id, record) in &self.records {
            let ended = record.ends.len() == 1 || (record.left && record.ends.is_empty());
            if !ended {
                return Err(format!("request {id} ended {} times", record.ends.len()));
            }
        }
        Ok(())
    }
}

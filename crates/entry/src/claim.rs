//! The entry side of "at most once".
//!
//! A claim is asked for when the request arrives, so that a resend is answered
//! without waiting in a queue. It is given back when the request was not sent.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_types::id::{CallerId, Name, Time};
use cornelhitch_types::refusal::{Reason, Run};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumDiscriminants, EnumIter};

use crate::event::CallId;

/// How long a claim whose reply never came is watched for a late grant.
pub const WATCH: Duration = Duration::from_mins(10);

/// What control answers to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    derive(EnumIter, Display),
    doc = "A reply without what it carries."
)]
pub enum Reply {
    /// The claim is committed: this request may be sent, once.
    Granted,
    /// The same request is in progress elsewhere.
    InProgress,
    /// The same request was answered, with this.
    Recorded(Bytes),
    /// The same request was sent and nobody knows what became of it.
    Unknown,
    /// The key was used with another body.
    Mismatch,
    /// The key is so old that its outcome is no longer kept.
    Forgotten,
    /// Control cannot be reached; the claim may be committed or not.
    Unavailable,
}

/// What became of a request that had a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum Outcome {
    /// No byte of it was sent: the claim ends, and the key is free.
    NotRun,
    /// It was answered in full; the answer is kept for resends.
    Answered,
    /// It was sent, and its end is not known.
    Unknown,
}

/// What an answer to a claim leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The request goes on to the queue.
    Wait,
    /// The recorded answer goes to the caller.
    Replay,
    /// The caller is refused.
    Refuse {
        /// Why.
        reason: Reason,
        /// Whether the request ran, now or before.
        run: Run,
        /// When to come back.
        retry: Option<Duration>,
        /// Whether a claim may be left that must be given back.
        release: bool,
        /// A sentence for people.
        detail: &'static str,
    },
}

/// One reply and what it leads to.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// The reply.
    pub reply: Kind,
    /// What follows.
    pub next: Next,
}

/// A refusal after which coming back does not help, or only after `retry`.
const fn refuse(
    reply: Kind,
    reason: Reason,
    run: Run,
    retry: Option<Duration>,
    detail: &'static str,
) -> Row {
    let release = matches!(reply, Kind::Unavailable);
    let next = Next::Refuse {
        reason,
        run,
        retry,
        release,
        detail,
    };
    Row { reply, next }
}

/// Time after which a resend may find that its request has ended.
const SOON: Option<Duration> = Some(Duration::from_secs(1));

/// Every reply and what it leads to.
#[rustfmt::skip]
pub const TABLE: [Row; 7] = [
    Row { reply: Kind::Granted, next: Next::Wait },
    Row { reply: Kind::Recorded, next: Next::Replay },
    refuse(Kind::InProgress, Reason::InProgress, Run::Unknown, SOON, "the same request is in progress"),
    refuse(Kind::Unknown, Reason::TargetFailed, Run::Unknown, None, "the same request was sent and its outcome is not known"),
    refuse(Kind::Mismatch, Reason::Mismatch, Run::NotRun, None, "the key was used with another body"),
    refuse(Kind::Forgotten, Reason::Forgotten, Run::Unknown, None, "the outcome of this key is no longer kept"),
    refuse(Kind::Unavailable, Reason::Unavailable, Run::NotRun, SOON, "control cannot commit the claim now"),
];

impl Reply {
    /// What this reply leads to.
    ///
    /// ```
    /// use cornelhitch_entry::claim::{Next, Reply};
    ///
    /// assert_eq!(Reply::Granted.next(), Next::Wait);
    /// ```
    #[must_use]
    pub fn next(&self) -> Next {
        let kind = Kind::from(self);
        let row = TABLE.iter().find(|row| row.reply == kind);
        row.map_or(Next::Wait, |row| row.next)
    }
}

/// A claim that was asked for by a request that has ended unsent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Orphan {
    /// Who asked.
    pub caller: CallerId,
    /// The key.
    pub key: Name,
    /// Until when a late grant is watched for.
    pub until: Time,
}

/// The claims that must be given back should they turn out to be granted.
#[derive(Debug, Default, Serialize)]
pub struct Orphans {
    /// By request.
    calls: BTreeMap<CallId, Orphan>,
}

impl Orphans {
    /// Watches for a late grant.
    pub fn watch(&mut self, id: CallId, caller: CallerId, key: Name, now: Time) {
        let until = now + WATCH;
        self.calls.insert(id, Orphan { caller, key, until });
    }

    /// The orphan that a late grant is for; it stays, since replies come doubled.
    #[must_use]
    pub fn granted(&self, id: CallId) -> Option<&Orphan> {
        self.calls.get(&id)
    }

    /// Drops those whose time is over; ids grow, so the oldest come first.
    pub fn expire(&mut self, now: Time) {
        while let Some(first) = self.calls.first_entry() {
            if first.get().until > now {
                break;
            }
            first.remove();
        }
    }
}

//! Idempotency claims on the entry side: a request with a key runs at most once.
//!
//! The claim is requested when the request arrives, so that a resend is answered without waiting in
//! the queue. It is released if the request was not sent.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_types::id::{CallerId, Name, Time};
use cornelhitch_types::refusal::{Reason, Run};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumDiscriminants, EnumIter};

use crate::event::CallId;

/// How long to watch for a late grant of a claim that got no reply.
pub const LATE_GRANT_WATCH: Duration = Duration::from_mins(10);

/// Control's reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, EnumDiscriminants)]
#[strum_discriminants(
    name(ReplyKind),
    derive(EnumIter, Display),
    doc = "A reply without what it carries."
)]
pub enum Reply {
    /// The claim is committed: this request may be sent once.
    Granted,
    /// The same request is in flight elsewhere.
    InProgress,
    /// The same request was answered, with this response.
    Recorded(Bytes),
    /// The same request was sent and its outcome is unknown.
    Unknown,
    /// The key was used with a different body.
    Mismatch,
    /// The key is so old that its outcome is no longer kept.
    Forgotten,
    /// Control cannot be reached; the claim may or may not be committed.
    Unavailable,
}

/// The outcome of a request with a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum Outcome {
    /// No byte of it was sent: the claim ends and the key may be used again.
    NotRun,
    /// It was answered in full; the response is kept for resends.
    Answered,
    /// It was sent, and its result is unknown.
    Unknown,
}

/// What follows a reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The request is queued.
    Wait,
    /// The recorded response is sent to the caller.
    Replay,
    /// The request is refused.
    Refuse {
        /// The reason given to the caller.
        reason: Reason,
        /// Whether the request ran, now or earlier.
        run: Run,
        /// When the caller may retry; `None` if a retry cannot help.
        retry: Option<Duration>,
        /// Whether the claim may have been committed and must be released.
        release: bool,
        /// A message for people.
        detail: &'static str,
    },
}

/// A kind of reply and what follows it.
#[derive(Debug, Clone, Copy)]
pub struct ReplyStep {
    /// The kind of reply.
    pub reply: ReplyKind,
    /// What follows the reply.
    pub next: NextStep,
}

/// Creates the row for a refusal; `retry` is `None` if a retry cannot help.
const fn refuse(
    reply: ReplyKind,
    reason: Reason,
    run: Run,
    retry: Option<Duration>,
    detail: &'static str,
) -> ReplyStep {
    let release = matches!(reply, ReplyKind::Unavailable);
    let next = NextStep::Refuse {
        reason,
        run,
        retry,
        release,
        detail,
    };
    ReplyStep { reply, next }
}

/// `Retry-After` for a resend whose original request may have ended by then.
const RESEND_RETRY_AFTER: Option<Duration> = Some(Duration::from_secs(1));

/// What follows each kind of reply.
#[rustfmt::skip]
pub const REPLY_STEPS: [ReplyStep; 7] = [
    ReplyStep { reply: ReplyKind::Granted, next: NextStep::Wait },
    ReplyStep { reply: ReplyKind::Recorded, next: NextStep::Replay },
    refuse(ReplyKind::InProgress, Reason::InProgress, Run::Unknown, RESEND_RETRY_AFTER, "the same request is in progress"),
    refuse(ReplyKind::Unknown, Reason::TargetFailed, Run::Unknown, None, "the same request was sent and its outcome is not known"),
    refuse(ReplyKind::Mismatch, Reason::Mismatch, Run::NotRun, None, "the key was used with another body"),
    refuse(ReplyKind::Forgotten, Reason::Forgotten, Run::Unknown, None, "the outcome of this key is no longer kept"),
    refuse(ReplyKind::Unavailable, Reason::Unavailable, Run::NotRun, RESEND_RETRY_AFTER, "control cannot commit the claim now"),
];

impl Reply {
    /// Returns what follows this reply.
    ///
    /// ```
    /// use cornelhitch_entry::claim::{NextStep, Reply};
    ///
    /// assert_eq!(Reply::Granted.next(), NextStep::Wait);
    /// ```
    #[must_use]
    pub fn next(&self) -> NextStep {
        let kind = ReplyKind::from(self);
        let row = REPLY_STEPS.iter().find(|row| row.reply == kind);
        row.map_or(NextStep::Wait, |row| row.next)
    }
}

/// A claim that was requested for a request that ended unsent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrphanedClaim {
    /// The caller that sent the request.
    pub caller: CallerId,
    /// The idempotency key.
    pub key: Name,
    /// When to stop watching for a late grant.
    pub until: Time,
}

/// Claims that must be released if control turns out to have granted them.
#[derive(Debug, Default, Serialize)]
pub struct OrphanedClaims {
    /// Claims by request.
    calls: BTreeMap<CallId, OrphanedClaim>,
}

impl OrphanedClaims {
    /// Watches for a late grant.
    pub fn watch(&mut self, id: CallId, caller: CallerId, key: Name, now: Time) {
        let until = now + LATE_GRANT_WATCH;
        self.calls.insert(id, OrphanedClaim { caller, key, until });
    }

    /// Returns the claim that a late grant is for. It is kept, since replies may be duplicated.
    #[must_use]
    pub fn get(&self, id: CallId) -> Option<&OrphanedClaim> {
        self.calls.get(&id)
    }

    /// Drops expired claims. Ids increase, so the oldest claims come first.
    pub fn expire(&mut self, now: Time) {
        while let Some(first) = self.calls.first_entry() {
            if first.get().until > now {
                break;
            }
            first.remove();
        }
    }
}

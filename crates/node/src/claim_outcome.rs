//! Conversions of claim replies and outcomes between the replicated state and the entry core.

use cornelhitch_control::claims;
use cornelhitch_control::command::Reply;
use cornelhitch_entry::claim;

use crate::exchange::Recorded;

/// Decodes the state machine's reply to a claim; an invalid one counts as unavailable.
#[must_use]
pub fn claim_reply(bytes: &[u8]) -> claim::Reply {
    let Ok(Reply::Claim(answer)) = postcard::from_bytes(bytes) else {
        return claim::Reply::Unavailable;
    };
    match answer {
        claims::ClaimResult::Granted => claim::Reply::Granted,
        claims::ClaimResult::InProgress => claim::Reply::InProgress,
        claims::ClaimResult::Recorded(outcome) => recorded(outcome),
        claims::ClaimResult::Mismatch => claim::Reply::Mismatch,
        claims::ClaimResult::Forgotten => claim::Reply::Forgotten,
        claims::ClaimResult::Done | claims::ClaimResult::Refused(_) => claim::Reply::Unavailable,
    }
}

/// Converts a recorded outcome to a claim reply.
fn recorded(outcome: claims::Outcome) -> claim::Reply {
    let recorded = match outcome {
        claims::Outcome::Unknown => return claim::Reply::Unknown,
        claims::Outcome::Completed { .. } => return claim::Reply::Forgotten,
        claims::Outcome::Answered {
            status,
            content,
            body,
        } => Recorded {
            status,
            media_type: Some(content.to_string()),
            body,
        },
    };
    let bytes = postcard::to_stdvec(&recorded).unwrap_or_default();
    claim::Reply::Recorded(bytes.into())
}

impl From<Recorded> for claims::Outcome {
    fn from(recorded: Recorded) -> Self {
        if recorded.body.len() > claims::MAX_BODY_BYTES {
            return Self::Completed {
                status: recorded.status,
            };
        }
        Self::Answered {
            status: recorded.status,
            content: recorded.media_type.unwrap_or_default().into(),
            body: recorded.body,
        }
    }
}

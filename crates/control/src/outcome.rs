//! The recorded outcome of a request that must not be repeated.

use bytes::Bytes;
use cornelhitch_types::id::Name;
use serde::{Deserialize, Serialize};

/// The largest response body that is kept, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;

/// The longest content type that is kept, in bytes.
pub const MAX_CONTENT_TYPE_BYTES: usize = 256;

/// The outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was answered, and the response is kept.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content: Name,
        /// The body, of at most [`MAX_BODY_BYTES`] bytes.
        body: Bytes,
    },
    /// It was answered, but the body is not kept.
    Completed {
        /// The HTTP status.
        status: u16,
    },
    /// It may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the size of the kept body, in bytes.
    pub(crate) fn body_bytes(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.len(),
            Self::Completed { .. } | Self::Unknown => 0,
        }
    }

    /// Returns the outcome without its body.
    pub(crate) fn without_body(&self) -> Self {
        match self {
            Self::Answered { status, .. } => Self::Completed { status: *status },
            other => other.clone(),
        }
    }

    /// Returns the outcome, without its body if that or the content type is too large.
    pub(crate) fn with_bounded_body(self) -> Self {
        match &self {
            Self::Answered { content, body, .. }
                if body.len() > MAX_BODY_BYTES || content.len() > MAX_CONTENT_TYPE_BYTES =>
            {
                self.without_body()
            }
            _ => self,
        }
    }
}

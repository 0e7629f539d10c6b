//! Re-exports of the types that most users of the crate need.

pub use crate::action::{Action, RejectReason};
pub use crate::config::Config;
pub use crate::core::Core;
pub use crate::event::{Event, MembershipChange};
pub use crate::id::{BatchToken, Index, MemberId, Peer, RequestId, Term, Time};
pub use crate::member::{MemberKind, Membership};
pub use crate::message::Envelope;
pub use crate::status::{Lease, Role, Status};
pub use crate::store::{Batch, Identity, Recovered, Store};

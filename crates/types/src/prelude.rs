//! Commonly used types, for glob imports.

pub use crate::id::{
    CallerId, ClassId, HostId, Incarnation, ModelId, Name, RegionId, ReplicaId, TargetId, Term,
    Time, Version, ZoneId,
};
pub use crate::model::Reference;
pub use crate::order::Order;
pub use crate::refusal::Refusal;
pub use crate::view::{Replica, View};

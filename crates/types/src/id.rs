//! Type aliases for ids, names and time.

use std::sync::Arc;
use std::time::Duration;

/// A short string that is cheap to clone: names of models, zones, targets and so on.
pub type Name = Arc<str>;

/// Time since an epoch that the owner of each core chooses.
///
/// Entry cores count from process start on the monotonic clock; the replicated state machine counts
/// from the Unix epoch, and its log makes the count monotonic.
pub type Time = Duration;

/// A host that runs a cornelhitch process, numbered by its settings.
pub type HostId = u64;

/// Incarnation of a process or disk; later incarnations have larger numbers.
pub type Incarnation = u64;

/// The name under which a target announces itself.
pub type TargetId = Name;

/// Name of a base model in the catalogue.
pub type ModelId = Name;

/// The name of a caller, as stated in its requests.
pub type CallerId = Name;

/// The name of a request class in the fleet settings.
pub type ClassId = Name;

/// The name of an availability zone.
pub type ZoneId = Name;

/// The name of a region: a group of availability zones with fast links between them.
pub type RegionId = Name;

/// One placement of a model on a worker; ids are never reused.
pub type ReplicaId = u64;

/// A term of the replicated log, used also as the fencing number of orders.
pub type Term = u64;

/// A version of the fleet settings; versions only increase.
pub type Version = u64;

//! Aliases for ids and for time.

use std::sync::Arc;
use std::time::Duration;

/// A short text that is cloned often: names of models, zones and targets.
pub type Name = Arc<str>;

/// Time since an epoch that the owner of a core chooses.
///
/// Entry cores count from the start of their process on the monotonic clock;
/// the replicated state machine counts from the Unix epoch, and its log makes
/// that count monotonic.
pub type Time = Duration;

/// A host that runs a cornelhitch process, as its settings number it.
pub type HostId = u64;

/// One life of a process or of a disk; a later life has a larger number.
pub type Incarnation = u64;

/// A target, by the name under which it announces itself.
pub type TargetId = Name;

/// A base model, by its name in the catalogue.
pub type ModelId = Name;

/// A caller, as its requests name it.
pub type CallerId = Name;

/// A class of requests, as the fleet's settings name it.
pub type ClassId = Name;

/// An availability zone.
pub type ZoneId = Name;

/// A region: zones that share fast links.
pub type RegionId = Name;

/// A decided copy of a model on a worker; never used twice.
pub type ReplicaId = u64;

/// A term of the replicated log, which is also the fencing number of orders.
pub type Term = u64;

/// A version of the fleet's settings; it only grows.
pub type Version = u64;

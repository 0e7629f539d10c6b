//! Many entry hosts, the leader with its replicated state, and targets: real cores on a virtual
//! clock.

mod crashing;
mod crashing_callers;
mod crashing_part;
mod crashing_part_schedules;
mod leaving;
mod limits;
mod mass_faults;
mod simulation;

/// Number of entry hosts.
const HOSTS: usize = 9;

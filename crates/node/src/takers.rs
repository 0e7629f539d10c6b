//! Which control host a target is sent to with its next heartbeats.
//!
//! The leader sends targets to the hosts that take heartbeats for it, spread by their names, so that it
//! does not carry the connections itself. A target that comes back has not reached the host it was
//! sent to, and stays for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};
use tokio::sync::watch;

/// Time for which a target that comes back is not sent away again.
const STAY_TIME: Duration = Duration::from_secs(30);

/// The most targets of which it is kept when they were sent away.
const MAX_SENT: usize = 20_000;

/// Chooses where targets' heartbeats go.
#[derive(Debug)]
pub struct Takers {
    addresses: watch::Receiver<Vec<SocketAddr>>,
    /// When targets were sent away.
    sent: Mutex<HashMap<TargetId, Time>>,
}

impl Takers {
    /// Creates the choice among the addresses that the control task publishes: those of other hosts
    /// that take heartbeats while this one leads, otherwise none.
    #[must_use]
    pub fn new(addresses: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self {
            addresses,
            sent: Mutex::default(),
        }
    }

    /// Returns where a target's next heartbeats go; `None` if they stay here.
    #[must_use]
    pub fn next(&self, target: &TargetId, now: Time) -> Option<SocketAddr> {
        let addresses = self.addresses.borrow();
        if addresses.is_empty() {
            return None;
        }
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        if sent.get(target).is_some_and(|at| now < *at + STAY_TIME) {
            return None;
        }
        if sent.len() >= MAX_SENT {
            sent.retain(|_, at| now < *at + STAY_TIME);
        }
        sent.insert(target.clone(), now);
        let hash = cornelhitch_entry::host_share::key(target);
        let at = usize::try_from(hash % addresses.len() as u64).unwrap_or_default();
        addresses.get(at).copied()
    }
}

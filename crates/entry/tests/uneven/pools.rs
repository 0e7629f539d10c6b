//! Idle connections of the hosts to the targets.

use std::collections::HashMap;
use std::time::Duration;

use cornelhitch_entry::prelude::*;
use cornelhitch_entry::warm::IdleConnections;
use cornelhitch_types::id::Time;

use crate::simulation::address;

/// Time that a target takes to accept a connection.
pub const ACCEPT: Duration = Duration::from_millis(1);

/// How hosts keep connections.
#[derive(Debug, Clone, Copy)]
pub struct Keeping {
    /// How long an idle connection is reused.
    pub idle_time: Duration,
    /// Whether targets state it.
    pub stated: bool,
    /// Whether the hosts' cores are told of idle connections.
    pub told: bool,
}

/// The idle connections of all hosts.
pub struct Pools {
    keeping: Keeping,
    /// When each idle connection of a host to a target expires, in order.
    idle: HashMap<(usize, usize), Vec<Time>>,
    /// Requests that were sent on an idle connection, and on a new one.
    pub reused: u32,
    pub opened: u32,
}

impl Pools {
    /// Creates empty pools.
    pub fn new(keeping: Keeping) -> Self {
        Self {
            keeping,
            idle: HashMap::new(),
            reused: 0,
            opened: 0,
        }
    }

    /// Takes a connection for a request; returns whether it was idle.
    pub fn take(&mut self, host: usize, target: usize, now: Time) -> bool {
        let idle = self.idle.entry((host, target)).or_default();
        idle.retain(|until| now < *until);
        let reused = idle.pop().is_some();
        let counter = if reused {
            &mut self.reused
        } else {
            &mut self.opened
        };
        *counter += 1;
        reused
    }

    /// Puts a connection back whose response has ended.
    pub fn put(&mut self, host: usize, target: usize, now: Time) {
        let until = now + self.keeping.idle_time;
        self.idle.entry((host, target)).or_default().push(until);
    }

    /// Returns what the host's core is told of its idle connections to a target.
    pub fn event(&self, host: usize, target: usize) -> Option<Event> {
        let idle = self
            .idle
            .get(&(host, target))
            .filter(|_| self.keeping.told)?;
        let count = u32::try_from(idle.len()).expect("few connections");
        Some(Event::IdleConnections(IdleConnections {
            address: address(target),
            count,
            stated: if self.keeping.stated { count } else { 0 },
            until: idle.last().copied().unwrap_or_default(),
        }))
    }
}
